//! The stand-in plain service: echoes and counts calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;
use tiny_http::Server;

use super::engine::reply;

/// Starts a stand-in plain service with this service time and returns its address.
///
/// `/count` returns the number of all other calls so far.
///
/// # Errors
/// The address cannot be bound.
pub fn start(addr: SocketAddr, service_time: Duration) -> std::io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let count = Arc::new(AtomicU64::new(0));
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let count = count.clone();
            thread::spawn(move || handle(request, &count, service_time));
        }
    });
    Ok(bound)
}

fn handle(mut request: tiny_http::Request, count: &AtomicU64, service_time: Duration) {
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
    thread::sleep(service_time);
    let value = json!({
        "call": number,
        "method": request.method().as_str(),
        "path": request.url(),
        "body": String::from_utf8_lossy(&body),
    });
    reply(request, 200, value.to_string().into_bytes());
}
