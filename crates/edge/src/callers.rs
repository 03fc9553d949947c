//! The callers' HTTP listener: hyper on the tokio thread.
//!
//! Connections are capped, and a request must arrive whole within a set time.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use base::Code;
use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::{Event, ResponseHead, api};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::meter::{Counted, Meter, Socket};
use crate::response::{self, ResponseEvent, ResponseReceiver};
use crate::{Input, Inputs, accept};

const RETRY: Duration = Duration::from_secs(1);
/// Longest time that sent bytes may stay unread by a caller.
const UNREAD: Duration = Duration::from_secs(20);
/// Connections that are told at once that there are too many.
const TURNED_AWAY: usize = 256;
const MAX_HEADERS: usize = 64;
const READ_BUFFER: usize = 16 << 10;

/// Limits of the listener.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Most connections.
    pub connections: usize,
    /// Largest body, bytes.
    pub body: usize,
    /// Longest wait for a whole request.
    pub arrival: Duration,
}

struct Shared {
    limits: Limits,
    inputs: Inputs,
}

/// Serves callers until the runtime ends.
pub async fn run(listener: TcpListener, limits: Limits, inputs: Inputs) {
    let places = Arc::new(Semaphore::new(limits.connections));
    let aways = Arc::new(Semaphore::new(TURNED_AWAY));
    let shared = Arc::new(Shared { limits, inputs });
    loop {
        let socket = accept::next(&listener, "callers' listener").await;
        let Ok(place) = places.clone().try_acquire_owned() else {
            // Beyond these, a connection is closed without a word.
            if let Ok(place) = aways.clone().try_acquire_owned() {
                tokio::spawn(async move {
                    let _ = timeout(RETRY, turn_away(socket)).await;
                    drop(place);
                });
            }
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            connection(shared, socket).await;
            drop(place);
        });
    }
}

async fn turn_away(mut socket: TcpStream) {
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
    // Closing with unread bytes would reset the connection before the answer is read.
    let mut unread = [0; 4_096];
    while socket.read(&mut unread).await.is_ok_and(|count| count > 0) {}
}

async fn connection(shared: Arc<Shared>, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let _ = socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNREAD));
    let arrival = shared.limits.arrival;
    let meter = Meter::default();
    let socket = Socket::new(socket, meter.clone());
    let service = service_fn(move |request| exchange(shared.clone(), meter.request(request)));
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
    shared: Arc<Shared>,
    request: Request<Counted>,
) -> Result<Response<Answer>, Infallible> {
    let (head, body) = request.into_parts();
    let body = match collect(&shared.limits, body).await {
        Ok(body) => body,
        Err((code, text)) => return Ok(refuse(code, text)),
    };
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
        Err((code, text)) => return Ok(refuse(code, &text)),
    };
    let call = super::start::call_number();
    let (sender, receiver) = response::pair();
    let event = Event::Request { call, request: ask };
    if shared.inputs.send(Input::Open { call, sender, event }).is_err() {
        return Ok(refuse(Code::Draining, "this entry is stopping"));
    }
    Ok(answer(Exchange { call, receiver, inputs: shared.inputs.clone(), open: true }).await)
}

async fn collect(limits: &Limits, body: Counted) -> Result<Vec<u8>, (Code, &'static str)> {
    let limited = Limited::new(body, limits.body);
    match timeout(limits.arrival, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            Err((Code::BodyTooLarge, "the body is over the size that is set here"))
        }
        Ok(Err(_)) => Err((Code::BadBody, "the body ended early")),
        Err(_) => Err((Code::SlowCaller, "the body did not arrive in time")),
    }
}

async fn answer(mut exchange: Exchange) -> Response<Answer> {
    match exchange.receiver.events.recv().await {
        Some(ResponseEvent::Begin(head)) => {
            let body = Answer::Stream(exchange);
            response(&head, body)
        }
        _ => refuse(Code::Internal, "no answer was made"),
    }
}

fn refuse(code: Code, text: &str) -> Response<Answer> {
    log::info!(code = code.number(); "request rejected before complete");
    let (head, bytes) = api::rejection(None, code, text, RETRY);
    response(&head, Answer::Whole(Some(bytes.into())))
}

fn response(head: &ResponseHead, body: Answer) -> Response<Answer> {
    let mut builder = Response::builder().status(head.status);
    if !head.content_type.is_empty() {
        builder = builder.header("content-type", &head.content_type);
    }
    for (name, value) in &head.headers {
        builder = builder.header(*name, value);
    }
    // Only a plain service's content type is not ours; one that no header can hold is left out.
    builder.body(body).unwrap_or_else(|_| Response::new(Answer::Whole(None)))
}

/// One exchange; dropped early, it tells the reducer that the caller went away.
struct Exchange {
    call: u64,
    receiver: ResponseReceiver,
    inputs: Inputs,
    open: bool,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.open {
            let _ = self.inputs.send(Input::Event(Event::ClientDisconnected { call: self.call }));
        }
    }
}

enum Answer {
    Whole(Option<Bytes>),
    Stream(Exchange),
}

impl Body for Answer {
    type Data = Bytes;
    type Error = &'static str;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let exchange = match &mut *self {
            Self::Whole(bytes) => return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(exchange) => exchange,
        };
        if !exchange.open {
            return Poll::Ready(None);
        }
        let Poll::Ready(event) = exchange.receiver.events.poll_recv(cx) else {
            return Poll::Pending;
        };
        match event {
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
