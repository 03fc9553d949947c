//! The operators' HTTP listener: tiny_http on a few threads.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use base::Code;
use node::{Event, ResponseHead, admin, api};
use tiny_http::{Header, Request, Response, Server};

use crate::clock::unix_ms;
use crate::metrics::Metrics;
use crate::response::{self, CompleteResponse};
use crate::{Input, Inputs, start};

/// Threads that serve requests.
const THREADS: usize = 8;
/// Largest body of an operator's request in bytes.
pub(crate) const MAX_BODY: u64 = 4 << 20;

struct Shared {
    inputs: Inputs,
    metrics: Arc<Metrics>,
    key: String,
}

/// Serves operators until the process ends.
///
/// # Errors
/// The address can't be bound.
pub fn run(
    addr: SocketAddr,
    key: &str,
    inputs: &Inputs,
    metrics: &Arc<Metrics>,
) -> std::io::Result<SocketAddr> {
    let server = Server::http(addr).map_err(std::io::Error::other)?;
    let bound = server.server_addr().to_ip().unwrap_or(addr);
    let server = Arc::new(server);
    let shared =
        Arc::new(Shared { inputs: inputs.clone(), metrics: metrics.clone(), key: key.to_owned() });
    for _ in 0..THREADS {
        let server = server.clone();
        let shared = shared.clone();
        thread::Builder::new().name("operators".to_owned()).spawn(move || {
            while let Ok(request) = server.recv() {
                exchange(&shared, request);
            }
        })?;
    }
    Ok(bound)
}

fn exchange(shared: &Shared, mut request: Request) {
    let (head, body) = answer(shared, &mut request);
    let mut response = Response::from_data(body).with_status_code(head.status);
    let mut headers = head.headers;
    headers.push(("content-type", head.content_type));
    for (name, value) in headers {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    }
    let _ = request.respond(response);
}

fn answer(shared: &Shared, request: &mut Request) -> (ResponseHead, Vec<u8>) {
    let reject = |code, text: &str| api::rejection(None, code, text, Duration::ZERO);
    match request.url() {
        "/health" => return plain(b"ok\n".to_vec()),
        "/metrics" => return plain(shared.metrics.text()),
        _ => {}
    }
    let headers: Vec<(String, String)> = request
        .headers()
        .iter()
        .map(|header| {
            (header.field.as_str().as_str().to_ascii_lowercase(), header.value.to_string())
        })
        .collect();
    let allowed = shared.key.is_empty()
        || request.url() == "/ready"
        || headers.contains(&("authorization".to_owned(), format!("Bearer {}", shared.key)));
    if !allowed {
        return reject(Code::BadKey, "the operators' key is needed");
    }
    let mut body = Vec::new();
    if request.as_reader().take(MAX_BODY + 1).read_to_end(&mut body).is_err() {
        return reject(Code::BadBody, "the body ended early");
    }
    if body.len() as u64 > MAX_BODY {
        return reject(Code::BodyTooLarge, "the body is over 4 MiB");
    }
    let parsed = api::Request {
        method: request.method().as_str().to_owned(),
        path: request.url().to_owned(),
        headers,
        body,
    };
    match admin::parse(&parsed, unix_ms()) {
        Ok(admin) => query(shared, admin),
        Err((code, text)) => reject(code, &text),
    }
}

fn query(shared: &Shared, admin: admin::Admin) -> (ResponseHead, Vec<u8>) {
    let call = start::call_number();
    let (sender, mut receiver) = response::pair();
    let event = Event::Admin { call, admin: Box::new(admin) };
    let mut complete = CompleteResponse::default();
    if shared.inputs.send(Input::Open { call, sender, event }).is_ok() {
        while let Some(event) = receiver.events.blocking_recv() {
            if complete.push(&receiver, event) {
                break;
            }
        }
    }
    (complete.head, complete.body)
}

pub(crate) fn plain(body: Vec<u8>) -> (ResponseHead, Vec<u8>) {
    let head =
        ResponseHead { status: 200, content_type: "text/plain".to_owned(), headers: Vec::new() };
    (head, body)
}
