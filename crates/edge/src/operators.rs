//! The operators' HTTP listener: tiny_http on a few threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread;

use crate::Input;

const THREADS: usize = 8;

/// Serves operators until the process ends.
///
/// # Errors
/// The address cannot be bound.
pub fn run(addr: SocketAddr, inputs: &Sender<Input>) -> std::io::Result<SocketAddr> {
    let server = tiny_http::Server::http(addr).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let server = Arc::new(server);
    for _ in 0..THREADS {
        let server = server.clone();
        let inputs = inputs.clone();
        thread::Builder::new().name("operators".to_owned()).spawn(move || {
            while let Ok(request) = server.recv() {
                exchange(request, &inputs);
            }
        })?;
    }
    Ok(bound)
}

fn exchange(request: tiny_http::Request, _inputs: &Sender<Input>) {
    let code = if request.url() == "/health" { 200 } else { 404 };
    let _ = request.respond(tiny_http::Response::empty(code));
}
