//! Callers whose requests are forwarded: reads each, holds it through its tries, passes the answer on.
//!
//! One task holds a request, its caller and its connection to a server. It tells the reducer what
//! happens and does what the reducer orders; bytes go straight from the server to the caller.

use std::convert::Infallible;
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use base::{Code, Name};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header, request};
use http_body::Frame;
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited, StreamBody};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::forward::{self, Action, Attempt, Event, Rejection};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, channel, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_stream::wrappers::ReceiverStream;

use crate::meter::{Counted, Meter, Socket};
use crate::pool::{Failure, Lease, Pool};
use crate::{Input, Inputs, Protocol, Splitter, accept, start};

/// Longest time that sent bytes may stay unread by a caller.
const UNREAD: Duration = Duration::from_secs(4);
/// Pieces of an answer that wait for a caller who reads slowly; then the server waits too.
const AHEAD: usize = 32;
/// Content type of a stream of events.
const EVENTS: &str = "text/event-stream";

/// What a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request, bytes.
    pub head: usize,
    /// Largest body, bytes.
    pub body: usize,
    /// Longest wait for a body, and for the next request on a connection.
    pub idle: Duration,
}

/// What every exchange needs.
#[derive(Debug)]
pub struct Shared {
    /// Limits.
    pub limits: Limits,
    /// Words.
    pub protocol: Rc<dyn Protocol>,
    /// Connections to servers.
    pub pool: Rc<Pool>,
    /// Takes what happens.
    pub inputs: Inputs,
    /// How far the stop of the process has come.
    pub phase: watch::Receiver<Phase>,
}

/// How far the stop of a process has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serves,
    /// It was asked to stop: callers shall not use their connections again.
    Stops,
    /// The balancer knows: idle connections are closed.
    Closes,
}

type Piece = Result<Frame<Bytes>, &'static str>;
type Answer = Response<Either<Full<Bytes>, Relay>>;
type Relay = StreamBody<ReceiverStream<Piece>>;

/// Serves callers until the runtime ends.
pub async fn run(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let socket = accept::next(&listener, "callers' listener").await;
        spawn_local(connection(shared.clone(), socket));
    }
}

async fn connection(shared: Rc<Shared>, socket: TcpStream) {
    let set = socket
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNREAD)));
    if let Err(error) = set {
        log::debug!("caller's connection: {error}");
    }
    let limits = shared.limits;
    let mut phase = shared.phase.clone();
    let meter = Meter::default();
    let socket = Socket::new(socket, meter.clone());
    let service = service_fn(move |request| exchange(shared.clone(), meter.request(request)));
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(8 << 10))
        .half_close(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        // The sender of the phase lives as long as the process.
        _ = phase.wait_for(|phase| *phase == Phase::Closes) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("caller's connection: {error}");
    }
}

async fn exchange(shared: Rc<Shared>, request: Request<Counted>) -> Result<Answer, Infallible> {
    let (parts, body) = request.into_parts();
    let head = match shared.protocol.parse_request(&parts) {
        Ok(head) => head,
        Err(text) => return Ok(shared.reject("", Code::BadHeader, &text)),
    };
    let body =
        match timeout(shared.limits.idle, Limited::new(body, shared.limits.body).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Ok(shared.reject(&head.id, Code::BodyTooLarge, "the body is too large"));
            }
            Ok(Err(error)) => {
                return Ok(shared.reject(&head.id, Code::BadBody, &error.to_string()));
            }
            Err(_) => {
                return Ok(shared.reject(&head.id, Code::SlowCaller, "the body came too slowly"));
            }
        };
    let call = start::call_number();
    let (orders_in, orders) = unbounded_channel();
    let (answer_in, answer) = oneshot::channel();
    let id = head.id.clone();
    let input = Input::Forward { call, orders: orders_in, head: Box::new(head) };
    if shared.inputs.send(input).is_err() {
        return Ok(shared.reject(&id, Code::Draining, "this entry is stopping"));
    }
    let exchange = Exchange {
        call,
        id,
        headers: end_to_end(&parts.headers),
        parts,
        body,
        caller: Caller::Waits(answer_in),
        events: None,
        shared: shared.clone(),
    };
    spawn_local(exchange.run(orders));
    let mut answer = match answer.await {
        Ok(answer) => answer,
        Err(_) => shared.reject("", Code::Internal, "no answer was made"),
    };
    if *shared.phase.borrow() != Phase::Serves {
        answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

impl Shared {
    /// An answer to a request that the reducer has not seen.
    fn reject(&self, id: &str, code: Code, text: &str) -> Answer {
        log::info!(request = id, code = code.number(), text; "request rejected before reading");
        let refusal = Rejection { code, status: code.status(), text: "", retry_after: None };
        self.protocol.rejection_response(id, &refusal).map(|body| Either::Left(Full::new(body)))
    }

    fn tell(&self, event: Event) {
        // The reducer is gone only when the process ends.
        let _ = self.inputs.send(Input::Event(node::Event::Forward(event)));
    }
}

enum Caller {
    Waits(oneshot::Sender<Answer>),
    Reads(Sender<Piece>),
    Done,
}

impl Caller {
    /// Returns once the caller is gone.
    async fn gone(&mut self) {
        match self {
            Self::Waits(answer) => answer.closed().await,
            Self::Reads(pieces) => pieces.closed().await,
            Self::Done => pending().await,
        }
    }
}

/// What came next.
enum Next {
    Action(Option<Action>),
    Gone,
    Sent(Result<(Response<Counted>, Lease), Failure>),
}

/// A request that is being forwarded.
struct Exchange {
    call: u64,
    id: Name,
    parts: request::Parts,
    headers: HeaderMap,
    body: Bytes,
    caller: Caller,
    /// The events passed on, if the answer is a stream of them.
    events: Option<Splitter>,
    shared: Rc<Shared>,
}

impl Exchange {
    async fn run(mut self, mut orders: UnboundedReceiver<Action>) {
        let mut order = self.next_order(&mut orders).await;
        loop {
            order = match order {
                Some(Action::Send(to)) => self.attempt(&to, &mut orders).await,
                Some(Action::Reject(refusal)) => {
                    self.refuse(&refusal).await;
                    return;
                }
                // There is nothing to pass on without a try; the exchange has ended.
                Some(Action::Deliver) | None => return,
            };
        }
    }

    async fn next_order(&mut self, orders: &mut UnboundedReceiver<Action>) -> Option<Action> {
        tokio::select! {
            biased;
            order = orders.recv() => order,
            () = self.caller.gone() => self.left(),
        }
    }

    fn left(&mut self) -> Option<Action> {
        self.shared.tell(Event::ClientDisconnected { call: self.call });
        None
    }

    /// One try; gives the order that follows it, or none when the exchange has ended.
    async fn attempt(
        &mut self,
        to: &Attempt,
        orders: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        let request = self.request(to);
        let pool = self.shared.pool.clone();
        let next = tokio::select! {
            biased;
            order = orders.recv() => Next::Action(order),
            () = self.caller.gone() => Next::Gone,
            sent = pool.send(to.addr, request) => Next::Sent(sent),
        };
        let (response, lease) = match next {
            Next::Action(order) => return order,
            Next::Gone => return self.left(),
            Next::Sent(Ok(sent)) => sent,
            Next::Sent(Err(failure)) => {
                let failure = match failure {
                    Failure::NotSent => forward::Failure::NotSent,
                    Failure::Lost => forward::Failure::NoResponse,
                };
                self.shared.tell(Event::Failed { call: self.call, failure });
                return self.next_order(orders).await;
            }
        };
        let (parts, body) = response.into_parts();
        let answer = self.shared.protocol.parse_response_head(&self.id, &parts);
        let (matches_request, not_run) = (answer.matches_request, answer.not_run);
        self.shared.tell(Event::Answered { call: self.call, answer });
        match self.next_order(orders).await {
            Some(Action::Deliver) => {
                self.begin(&parts);
                self.relay(body, lease, orders).await
            }
            other => {
                if matches_request && not_run {
                    lease.discard(Response::from_parts(parts, body));
                }
                other
            }
        }
    }

    fn request(&self, to: &Attempt) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        request.method_mut().clone_from(&self.parts.method);
        request.uri_mut().clone_from(&self.parts.uri);
        let after = self.events.as_ref().and_then(Splitter::last);
        *request.headers_mut() =
            self.shared.protocol.upstream_headers(self.headers.clone(), to, after);
        request
    }

    /// Gives the caller the head of an answer, unless one was given.
    fn begin(&mut self, parts: &http::response::Parts) {
        if !matches!(self.caller, Caller::Waits(_)) {
            return;
        }
        let kind = parts.headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
        if kind.is_some_and(|kind| kind.starts_with(EVENTS)) {
            self.events = Some(Splitter::default());
        }
        let (pieces, taken) = channel(AHEAD);
        let body = StreamBody::new(ReceiverStream::new(taken));
        let mut response = Response::new(Either::Right(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = end_to_end(&parts.headers);
        self.answer(response, Caller::Reads(pieces));
    }

    fn answer(&mut self, response: Answer, then: Caller) {
        if let Caller::Waits(answer) = std::mem::replace(&mut self.caller, then) {
            // A caller who has gone shows at the next step.
            let _ = answer.send(response);
        }
    }

    /// Passes a body on.
    async fn relay(
        &mut self,
        mut body: Counted,
        lease: Lease,
        orders: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        let mut began = false;
        loop {
            let frame = tokio::select! {
                biased;
                order = orders.recv() => return order,
                () = self.caller.gone() => return self.left(),
                frame = body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if !began {
                        began = true;
                        self.shared.tell(Event::BodyStarted { call: self.call });
                    }
                    let bytes = match &mut self.events {
                        Some(events) => events.push(&bytes),
                        None => bytes,
                    };
                    if self.events.as_ref().is_some_and(Splitter::is_too_large) {
                        return self.broken(lease, "an event is too large", orders).await;
                    }
                    if !self.pass(bytes).await {
                        return self.left();
                    }
                }
                Some(Err(error)) => {
                    return self.broken(lease, &error.to_string(), orders).await;
                }
                None => {
                    let rest = self.events.as_mut().map(Splitter::rest).unwrap_or_default();
                    if !self.pass(rest).await {
                        return self.left();
                    }
                    self.caller = Caller::Done;
                    self.shared.tell(Event::Completed { call: self.call });
                    lease.done().await;
                    return None;
                }
            }
        }
    }

    /// The answer broke off; its connection is closed.
    async fn broken(
        &mut self,
        lease: Lease,
        why: &str,
        orders: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        log::info!(request:% = self.id, why; "response aborted");
        drop(lease);
        if let Some(events) = &mut self.events {
            // The rest of an event that was cut comes again from another server.
            events.rest();
        }
        self.shared.tell(Event::Failed { call: self.call, failure: forward::Failure::Aborted });
        self.next_order(orders).await
    }

    async fn pass(&mut self, bytes: Bytes) -> bool {
        match &self.caller {
            Caller::Reads(pieces) if !bytes.is_empty() => {
                pieces.send(Ok(Frame::data(bytes))).await.is_ok()
            }
            _ => true,
        }
    }

    async fn refuse(&mut self, refusal: &Rejection) {
        match std::mem::replace(&mut self.caller, Caller::Done) {
            Caller::Waits(answer) => {
                let response = self.shared.protocol.rejection_response(&self.id, refusal);
                // A caller who has gone needs no answer.
                let _ = answer.send(response.map(|body| Either::Left(Full::new(body))));
            }
            Caller::Reads(pieces) => {
                let _ = pieces.send(Err("the answer was cut")).await;
            }
            Caller::Done => {}
        }
    }
}

/// Headers without those that concern one connection only (RFC 9110, section 7.6.1).
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const ONE_CONNECTION: [HeaderName; 7] = [
        header::CONNECTION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let mut kept = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            kept.remove(name.trim());
        }
    }
    for name in &ONE_CONNECTION {
        kept.remove(name);
    }
    kept
}
