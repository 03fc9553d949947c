//! The stand-in store VM: holds blocks in memory up to a size and simulates a link of a fixed rate.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tiny_http::{Method, Request, Server};

use super::engine::reply;

type Blocks = Arc<Mutex<HashMap<String, Vec<u8>>>>;

/// Starts a stand-in store with this capacity in bytes and this link rate, and returns its address.
///
/// # Errors
/// The address cannot be bound.
pub fn start(
    addr: SocketAddr,
    capacity: usize,
    bytes_per_second: u64,
) -> std::io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let blocks = Blocks::default();
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let blocks = blocks.clone();
            thread::spawn(move || handle(request, &blocks, capacity, bytes_per_second));
        }
    });
    Ok(bound)
}

fn handle(mut request: Request, blocks: &Blocks, capacity: usize, rate: u64) {
    let key = request.url().trim_start_matches("/blocks/").to_owned();
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let method = request.method().clone();
    let (status, bytes) = {
        let mut blocks = blocks.lock().unwrap_or_else(PoisonError::into_inner);
        match method {
            Method::Get => match blocks.get(&key) {
                Some(bytes) => (200, bytes.clone()),
                None => (404, Vec::new()),
            },
            Method::Put => {
                let used: usize = blocks.values().map(Vec::len).sum();
                if used + body.len() > capacity {
                    (507, Vec::new())
                } else {
                    blocks.insert(key, body.clone());
                    (200, Vec::new())
                }
            }
            Method::Delete => {
                blocks.remove(&key);
                (200, Vec::new())
            }
            _ => (405, Vec::new()),
        }
    };
    let moved = (body.len() + bytes.len()) as u64;
    thread::sleep(Duration::from_micros(moved * 1_000_000 / rate.max(1)));
    reply(request, status, bytes);
}
