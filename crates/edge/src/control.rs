//! The operators' HTTP listener. A process with several threads runs it on a thread of its own.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{io, thread};

use base::Code;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::admin::{self, Admin};
use node::{Event, ResponseHead, api};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

use crate::body;
use crate::budget::{Budget, Reservation};
use crate::clock::unix_ms;
use crate::connections::{Connection, Connections, State, Tracked};
use crate::meter::{Counted, Meter, Socket};
use crate::metrics::Metrics;
use crate::response::{self, CompleteResponse};
use crate::{Input, Inputs, Protocol, start};

/// Largest body of an operator's request in bytes.
pub(crate) const MAX_BODY: usize = 4 << 20;
/// Longest wait for a request, and for the next one on an idle connection.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest read buffer of a connection in bytes, which limits the size of a request head.
const READ_BUFFER: usize = 16 << 10;
/// Longest time for which an operator may leave sent bytes unacknowledged.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Retry-After of a request for which there is no memory.
const RETRY: Duration = Duration::from_secs(1);

/// A response and the memory that is reserved for it.
type Reply = (Response<Full<Bytes>>, Vec<Reservation>);

/// State of the listener.
#[derive(Debug)]
pub struct Control {
    /// Protocol of the deployment; without it the listener serves the product's own protocol and the metrics.
    pub protocol: Option<Rc<dyn Protocol>>,
    /// Key that operators must show in the product's own protocol; none if empty.
    pub key: String,
    /// Memory for bodies.
    pub budget: Arc<Budget>,
    /// Connections of operators.
    pub connections: Arc<Connections>,
    /// Receives the requests.
    pub inputs: Inputs,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

/// Starts a thread that serves operators in the product's own protocol.
#[derive(Debug)]
pub struct Start {
    /// Key that operators must show; none if empty.
    pub key: String,
    /// Maximum number of connections.
    pub connections: usize,
    /// Memory for bodies.
    pub budget: Arc<Budget>,
    /// Receives the requests.
    pub inputs: Inputs,
    /// Metrics.
    pub metrics: Arc<Metrics>,
}

impl Start {
    /// Serves operators until the process ends; returns the address of the listener.
    ///
    /// # Errors
    /// The address can't be bound, or the thread can't be started.
    pub fn start(self, addr: SocketAddr) -> io::Result<SocketAddr> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let listener = runtime.block_on(TcpListener::bind(addr))?;
        let bound = listener.local_addr()?;
        thread::Builder::new().name("operators".to_owned()).spawn(move || {
            let Self { key, connections, budget, inputs, metrics } = self;
            let connections = connection_table(connections, &metrics);
            let control = Control { protocol: None, key, budget, connections, inputs, metrics };
            LocalSet::new().block_on(&runtime, run(listener, Rc::new(control)));
        })?;
        Ok(bound)
    }
}

/// The table of the connections of one operators' listener.
pub(crate) fn connection_table(max: usize, metrics: &Arc<Metrics>) -> Arc<Connections> {
    Connections::new(max, "operators' connections", metrics.clone())
}

/// Serves operators until the runtime ends.
pub async fn run(listener: TcpListener, control: Rc<Control>) {
    loop {
        let (socket, open) = control.connections.accept(&listener, "operators' listener").await;
        let number = open.number;
        let task = spawn_local(connection(socket, control.clone(), open));
        control.connections.set_task(number, task.abort_handle());
    }
}

async fn connection(socket: TcpStream, control: Rc<Control>, open: Connection) {
    let _ = socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
    let meter = Meter::default();
    let socket = Socket::new(socket, meter.clone());
    let service = service_fn(|request| {
        let (control, state) = (control.clone(), open.state.clone());
        let request = meter.request(request);
        async move {
            let (response, held) = exchange(&control, &state, request).await;
            Ok::<_, Infallible>(response.map(|body| Tracked::new(body, state, held)))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(ARRIVAL_TIMEOUT).max_buf_size(READ_BUFFER);
    if let Err(error) = builder.serve_connection(TokioIo::new(socket), service).await {
        log::debug!("operator's connection: {error}");
    }
}

async fn exchange(control: &Control, state: &State, request: Request<Counted>) -> Reply {
    state.advance();
    let (head, body) = request.into_parts();
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    if control.protocol.is_none() {
        match path.as_str() {
            "/health" => return plain(control, b"ok\n".to_vec()),
            "/metrics" => return plain(control, control.metrics.text()),
            _ => {}
        }
        let shown = head.headers.get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
        let allowed = control.key.is_empty()
            || path == "/ready"
            || shown == Some(format!("Bearer {}", control.key).as_bytes());
        if !allowed {
            return reject(Code::BadKey, "the operators' key is needed");
        }
    }
    let limits = body::Limits { size: MAX_BODY, time: ARRIVAL_TIMEOUT };
    let body = match body::read(body, limits, &control.budget, state).await {
        Ok(body) => body,
        Err(failure) => {
            failure.count(&control.metrics);
            let (code, text) = failure.code();
            log::info!(code = code.number(), text:% = text; "operator request rejected");
            return reject(code, text);
        }
    };
    state.serve();
    let (body, held) = body.into_contiguous(&control.budget);
    let parsed = match &control.protocol {
        Some(protocol) => protocol.parse_operator_request(&head, &body, unix_ms()),
        None => admin::parse(&to_request(&head, path, body), unix_ms()),
    };
    match parsed {
        Ok(admin) => query(control, admin, held).await,
        Err((code, text)) => {
            log::info!(code = code.number(), text:% = text; "operator request rejected");
            reject(code, &text)
        }
    }
}

fn to_request(head: &http::request::Parts, path: String, body: Vec<u8>) -> api::Request {
    let headers = head.headers.iter().map(|(name, value)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    api::Request { method: head.method.as_str().to_owned(), path, headers: headers.collect(), body }
}

async fn query(control: &Control, admin: Admin, held: Reservation) -> Reply {
    let call = start::call_number();
    let (sender, mut receiver) = response::pair(control.budget.clone(), control.metrics.clone());
    let event = Event::Admin { call, admin: Box::new(admin) };
    let mut complete = CompleteResponse::default();
    if control.inputs.send(Input::Open { call, sender, event }).is_ok() {
        while let Some(item) = receiver.events.recv().await {
            if complete.push(&receiver, item) {
                break;
            }
        }
    }
    drop(held);
    (response(complete.head, complete.body), complete.reservations)
}

fn plain(control: &Control, body: Vec<u8>) -> Reply {
    let Some(held) = control.budget.reserve(body.len()) else {
        control.metrics.record_limit("response memory");
        return reject(Code::Overloaded, "too many bytes of other requests are held here");
    };
    let head =
        ResponseHead { status: 200, content_type: "text/plain".to_owned(), headers: Vec::new() };
    (response(head, body), vec![held])
}

fn reject(code: Code, text: &str) -> Reply {
    let (head, body) = api::rejection(None, code, text, RETRY);
    (response(head, body), Vec::new())
}

fn response(head: ResponseHead, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut builder =
        Response::builder().status(head.status).header("content-type", head.content_type);
    for (name, value) in head.headers {
        builder = builder.header(name, value);
    }
    // All headers are set by this process, so none can be invalid.
    builder.body(Full::new(body.into())).unwrap_or_default()
}
