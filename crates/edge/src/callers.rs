//! The callers' HTTP listener: hyper on the tokio thread.
//!
//! The number of connections is limited, and the body of a request must arrive at a minimum rate.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::Code;
use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::{Event, ResponseHead, api};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::body;
use crate::budget::{Budget, Reservation};
use crate::connections::{Connection, Connections, State, Tracked};
use crate::meter::{Counted, Meter, Socket};
use crate::metrics::Metrics;
use crate::response::{self, ResponseEvent, ResponseReceiver};
use crate::{Input, Inputs, accept};

/// Retry-After of requests rejected here, and the time limit for rejecting a connection.
const RETRY: Duration = Duration::from_secs(1);
/// Longest time for which a caller may leave sent bytes unacknowledged.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of excess connections that are concurrently sent a rejection; any further ones are closed.
const MAX_REJECTING: usize = 256;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Read buffer of a connection in bytes, which limits the size of a request head.
const READ_BUFFER: usize = 16 << 10;

/// Limits of the listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Longest wait for a head and for progress of a body, and time after which a body must keep to the minimum rate.
    pub arrival: Duration,
}

struct Shared {
    limits: Limits,
    budget: Arc<Budget>,
    metrics: Arc<Metrics>,
    inputs: Inputs,
}

/// Serves callers until the runtime ends.
pub async fn run(
    listener: TcpListener,
    limits: Limits,
    inputs: Inputs,
    budget: Arc<Budget>,
    metrics: Arc<Metrics>,
) {
    let connections = Connections::new(limits.connections, "callers' connections", metrics.clone());
    let rejecting = Arc::new(Semaphore::new(MAX_REJECTING));
    let shared = Arc::new(Shared { limits, budget, metrics, inputs });
    loop {
        let socket = accept::next(&listener, "callers' listener").await;
        let Some(open) = connections.admit().await else {
            // If `MAX_REJECTING` connections are being rejected already, this one is closed without a response.
            if let Ok(slot) = rejecting.clone().try_acquire_owned() {
                tokio::spawn(async move {
                    let _ = timeout(RETRY, reject_connection(socket)).await;
                    drop(slot);
                });
            }
            continue;
        };
        let shared = shared.clone();
        let number = open.number;
        let task = tokio::spawn(connection(shared, socket, open));
        connections.set_task(number, task.abort_handle());
    }
}

async fn reject_connection(mut socket: TcpStream) {
    let (head, body) =
        api::rejection(None, Code::Overloaded, "too many connections are open here", RETRY);
    let mut text = format!("HTTP/1.1 {} Full\r\nconnection: close\r\n", head.status);
    for (name, value) in &head.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    if socket.write_all(&bytes).await.is_err() || socket.shutdown().await.is_err() {
        return;
    }
    // Closing with unread bytes would reset the connection before the caller has read the response.
    let mut discarded = [0; 4_096];
    while socket.read(&mut discarded).await.is_ok_and(|count| count > 0) {}
}

async fn connection(shared: Arc<Shared>, socket: TcpStream, open: Connection) {
    let _ = socket.set_nodelay(true);
    let _ = socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
    let arrival = shared.limits.arrival;
    let meter = Meter::default();
    let socket = Socket::new(socket, meter.clone());
    let service = service_fn(|request| {
        let (shared, state) = (shared.clone(), open.state.clone());
        let request = meter.request(request);
        async move {
            let response = exchange(&shared, &state, request).await;
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, state, ())))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(arrival)
        .max_headers(MAX_HEADERS)
        .max_buf_size(READ_BUFFER)
        .half_close(false);
    let _ = builder.serve_connection(TokioIo::new(socket), service).await;
}

async fn exchange(
    shared: &Shared,
    state: &State,
    request: Request<Counted>,
) -> Response<ResponseBody> {
    state.advance();
    let (head, body) = request.into_parts();
    let limits = body::Limits { size: shared.limits.body, time: shared.limits.arrival };
    let body = match body::read(body, limits, &shared.budget, state).await {
        Ok(body) => body,
        Err(failure) => {
            failure.count(&shared.metrics);
            let (code, text) = failure.code();
            return reject(code, text);
        }
    };
    state.serve();
    let (body, held) = body.into_contiguous(&shared.budget);
    let headers = head
        .headers
        .iter()
        .map(|(name, value)| {
            (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let request = api::Request {
        method: head.method.as_str().to_owned(),
        path: head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
        headers,
        body,
    };
    let ask = match api::parse(&request) {
        Ok(ask) => Box::new(ask),
        Err((code, text)) => return reject(code, &text),
    };
    let call = super::start::call_number();
    let (sender, receiver) = response::pair(shared.budget.clone(), shared.metrics.clone());
    let event = Event::Request { call, request: ask };
    if shared.inputs.send(Input::Open { call, sender, event }).is_err() {
        return reject(Code::Draining, "this entry is stopping");
    }
    let inputs = shared.inputs.clone();
    respond(Exchange { call, receiver, inputs, open: true, _held: held }).await
}

async fn respond(mut exchange: Exchange) -> Response<ResponseBody> {
    match exchange.receiver.events.recv().await {
        Some((ResponseEvent::Begin(head), _)) => {
            let body = ResponseBody::Stream(exchange);
            response(&head, body)
        }
        _ => reject(Code::Internal, "no answer was made"),
    }
}

fn reject(code: Code, text: &str) -> Response<ResponseBody> {
    log::info!(code = code.number(); "request rejected before complete");
    let (head, bytes) = api::rejection(None, code, text, RETRY);
    response(&head, ResponseBody::Complete(Some(bytes.into())))
}

fn response(head: &ResponseHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut builder = Response::builder().status(head.status);
    if !head.content_type.is_empty() {
        builder = builder.header("content-type", &head.content_type);
    }
    for (name, value) in &head.headers {
        builder = builder.header(*name, value);
    }
    // Only the content type of a plain service comes from outside; if it isn't a valid header value, the response is
    // empty.
    builder.body(body).unwrap_or_else(|_| Response::new(ResponseBody::Complete(None)))
}

/// One exchange. If dropped before its end, it notifies the reducer that the caller disconnected.
struct Exchange {
    call: u64,
    receiver: ResponseReceiver,
    inputs: Inputs,
    open: bool,
    /// Memory of the request.
    _held: Reservation,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.open {
            let _ = self.inputs.send(Input::Event(Event::ClientDisconnected { call: self.call }));
        }
    }
}

enum ResponseBody {
    Complete(Option<Bytes>),
    Stream(Exchange),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let exchange = match &mut *self {
            Self::Complete(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(exchange) => exchange,
        };
        if !exchange.open {
            return Poll::Ready(None);
        }
        let Poll::Ready(event) = exchange.receiver.events.poll_recv(cx) else {
            return Poll::Pending;
        };
        match event.map(|(event, _)| event) {
            Some(ResponseEvent::Body(bytes)) => {
                exchange.receiver.mark_sent(bytes.len());
                Poll::Ready(Some(Ok(Frame::data(bytes.into()))))
            }
            Some(ResponseEvent::Finish(true)) => {
                exchange.open = false;
                Poll::Ready(None)
            }
            Some(ResponseEvent::Begin(_) | ResponseEvent::Finish(false)) | None => {
                exchange.open = false;
                Poll::Ready(Some(Err("the answer was cut")))
            }
        }
    }
}
