//! The stand-in plain service: echoes calls, and counts those that may not be repeated.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;
use tiny_http::Server;

use super::engine::reply;

/// Starts a stand-in plain service that takes this long for each call; gives its address.
///
/// `GET /count` tells how many other calls ran.
///
/// # Errors
/// The address cannot be bound.
pub fn start(addr: SocketAddr, takes: Duration) -> std::io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let count = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let count = count.clone();
            thread::spawn(move || handle(request, &count, takes));
        }
    });
    Ok(bound)
}

fn handle(mut request: tiny_http::Request, count: &AtomicU64, takes: Duration) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    if request.url() == "/count" {
        let value = json!({ "count": count.load(Ordering::SeqCst) });
        reply(request, 200, value.to_string().into_bytes());
        return;
    }
    let number = count.fetch_add(1, Ordering::SeqCst) + 1;
    thread::sleep(takes);
    let value = json!({
        "call": number,
        "method": request.method().as_str(),
        "path": request.url(),
        "body": String::from_utf8_lossy(&body),
    });
    reply(request, 200, value.to_string().into_bytes());
}
