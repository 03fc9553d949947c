//! Forwards callers' requests: reads each one, holds it during its attempts and forwards the response.
//!
//! One task holds a request, its caller and its connection to a server. It reports events to the reducer and executes
//! the reducer's actions; the bytes of a response go directly from the server to the caller.

use std::convert::Infallible;
use std::future::{pending, ready};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::{Code, Name};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, Either, Full};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use node::forward::{self, Action, Attempt, Event, Rejection, ResponseHead};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::sync::{oneshot, watch};
use tokio::task::{spawn_local, yield_now};

use crate::body::{self, Blocks, Sendable};
use crate::budget::Budget;
use crate::connections::{Connection, Connections, State, Tracked};
use crate::events::is_event_stream;
use crate::meter::{Counted, Meter, Socket};
use crate::metrics::Metrics;
use crate::pool::{Failed, Failure, Lease, Match, Pool};
use crate::{EventSplitter, Input, Inputs, Protocol, queue, start};

/// Longest time for which a caller may leave sent bytes unacknowledged.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(4);
/// Retry-After of a request for whose body there is no room: bodies that stall are refused after that time.
const RETRY: Duration = Duration::from_secs(1);

/// Limits on what a caller sends.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request head in bytes.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
    /// Longest wait for a body, and for the next request on a connection.
    pub idle: Duration,
}

/// State shared by all exchanges.
#[derive(Debug)]
pub struct Shared {
    /// Limits.
    pub limits: Limits,
    /// Protocol of the deployment.
    pub protocol: Rc<dyn Protocol>,
    /// Connections to servers.
    pub pool: Rc<Pool>,
    /// Memory for bodies and responses.
    pub budget: Arc<Budget>,
    /// Connections of callers.
    pub connections: Arc<Connections>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Receives the events.
    pub inputs: Inputs,
    /// Shutdown phase of the process.
    pub phase: watch::Receiver<Phase>,
}

/// Shutdown phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves requests.
    Serving,
    /// Shutdown was requested: responses ask callers to close their connections.
    Stopping,
    /// The balancer has noticed the shutdown: idle connections are closed.
    Closing,
}

type CallerResponse = Response<Either<Full<Bytes>, queue::Receiver>>;

/// Serves callers until the runtime ends.
pub async fn run(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let (socket, open) = shared.connections.accept(&listener, "callers' listener").await;
        let number = open.number;
        let task = spawn_local(connection(shared.clone(), socket, open));
        shared.connections.set_task(number, task.abort_handle());
    }
}

async fn connection(shared: Rc<Shared>, socket: TcpStream, open: Connection) {
    let set = socket
        .set_nodelay(true)
        .and_then(|()| socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNREAD_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("caller's connection: {error}");
    }
    let limits = shared.limits;
    let mut phase = shared.phase.clone();
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
        .header_read_timeout(limits.idle)
        .max_buf_size(limits.head.max(8 << 10))
        .half_close(false);
    let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        // The sender of the phase exists as long as the process.
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("caller's connection: {error}");
    }
}

async fn exchange(shared: &Rc<Shared>, state: &State, request: Request<Counted>) -> CallerResponse {
    state.advance();
    let (parts, body) = request.into_parts();
    let mut head = match shared.protocol.parse_request(&parts) {
        Ok(head) => head,
        Err(text) => return shared.reject("", Code::BadHeader, &text),
    };
    let limits = body::Limits { size: shared.limits.body, time: shared.limits.idle };
    let body = match body::read(body, limits, &shared.budget, state).await {
        Ok(body) => body,
        Err(failure) => {
            failure.count(&shared.metrics);
            let (code, text) = failure.code();
            return shared.reject(&head.id, code, text);
        }
    };
    state.serve();
    head.digest = Some(digest(&parts, &body));
    let call = start::call_number();
    let (actions_in, actions) = unbounded_channel();
    let (response_in, response) = oneshot::channel();
    let id = head.id.clone();
    let input = Input::Forward { call, actions: actions_in, head: Box::new(head) };
    if shared.inputs.send(input).is_err() {
        return shared.reject(&id, Code::Draining, "this entry is stopping");
    }
    let exchange = Exchange {
        call,
        id,
        headers: end_to_end(&parts.headers),
        parts,
        body: body.into_sendable(),
        caller: Caller::AwaitsHead(response_in),
        events: None,
        shared: shared.clone(),
    };
    spawn_local(exchange.run(actions));
    let mut response = match response.await {
        Ok(response) => response,
        Err(_) => shared.reject("", Code::Internal, "no answer was made"),
    };
    if *shared.phase.borrow() != Phase::Serving {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Digest of what a caller repeats as it sends a request again: no headers, as its ID and its time limit change.
fn digest(parts: &request::Parts, body: &Blocks) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(parts.method.as_str().as_bytes()).update(b" ");
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    // Neither of them contains a line end, which a body may.
    hasher.update(path.as_bytes()).update(b"\n");
    for bytes in body.iter() {
        hasher.update(bytes);
    }
    let mut bytes = [0; size_of::<u128>()];
    hasher.finalize_xof().fill(&mut bytes);
    u128::from_le_bytes(bytes)
}

impl Shared {
    /// Rejects a request that was not passed to the reducer.
    fn reject(&self, id: &str, code: Code, text: &str) -> CallerResponse {
        log::info!(request = id, code = code.number(), text; "request rejected before reading");
        let retry_after = (code == Code::Overloaded).then_some(RETRY);
        let rejection = Rejection { code, status: code.status(), text: "", retry_after };
        self.protocol.rejection_response(id, &rejection).map(|body| Either::Left(Full::new(body)))
    }

    fn notify(&self, event: Event) {
        // The reducer is gone only when the process ends.
        let _ = self.inputs.send(Input::Event(node::Event::Forward(event)));
    }
}

enum Caller {
    AwaitsHead(oneshot::Sender<CallerResponse>),
    ReadsBody(queue::Sender),
    Done,
}

impl Caller {
    /// Returns once the caller has disconnected.
    async fn disconnected(&mut self) {
        match self {
            Self::AwaitsHead(head) => head.closed().await,
            Self::ReadsBody(frames) => frames.closed().await,
            Self::Done => pending().await,
        }
    }
}

/// What happened first during an attempt.
#[expect(clippy::large_enum_variant, reason = "one value at a time, which is taken apart at once")]
enum Next {
    Action(Option<Action>),
    Disconnected,
    Sent(Result<(Response<Counted>, Lease), Failed>),
}

/// A request that is being forwarded.
struct Exchange {
    call: u64,
    id: Name,
    parts: request::Parts,
    headers: HeaderMap,
    body: Sendable,
    caller: Caller,
    /// Splits the forwarded events, if the response is an event stream.
    events: Option<EventSplitter>,
    shared: Rc<Shared>,
}

impl Exchange {
    async fn run(mut self, mut actions: UnboundedReceiver<Action>) {
        let mut action = self.next_action(&mut actions).await;
        loop {
            action = match action {
                Some(Action::Send(to)) => self.attempt(&to, &mut actions).await,
                Some(Action::Reject(rejection)) => {
                    self.reject(&rejection);
                    return;
                }
                // Without an attempt there is no response to deliver; the exchange has ended.
                Some(Action::Deliver) | None => return,
            };
        }
    }

    async fn next_action(&mut self, actions: &mut UnboundedReceiver<Action>) -> Option<Action> {
        tokio::select! {
            biased;
            action = actions.recv() => action,
            () = self.caller.disconnected() => self.caller_disconnected(),
        }
    }

    fn caller_disconnected(&mut self) -> Option<Action> {
        self.shared.notify(Event::ClientDisconnected { call: self.call });
        None
    }

    /// Makes one attempt; returns the action that follows it, or `None` if the exchange has ended.
    async fn attempt(
        &mut self,
        to: &Attempt,
        actions: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        let request = self.request(to);
        let pool = self.shared.pool.clone();
        let id = self.id.clone();
        let mut sent = pin!(pool.send(to.addr, Match::Id(&id), request));
        let next = tokio::select! {
            biased;
            sent = sent.as_mut() => Next::Sent(sent),
            action = actions.recv() => Next::Action(action),
            () = self.caller.disconnected() => Next::Disconnected,
        };
        let (response, lease) = match next {
            Next::Action(action) => {
                self.report_received(sent).await;
                return action;
            }
            Next::Disconnected => {
                self.report_received(sent).await;
                return self.caller_disconnected();
            }
            Next::Sent(Ok(sent)) => sent,
            Next::Sent(Err(failed)) => {
                self.log_failed(to, failed);
                let failure = match failed.failure {
                    Failure::NotSent => forward::Failure::NotSent,
                    Failure::Lost => forward::Failure::NoResponse,
                };
                self.shared.notify(Event::Failed { call: self.call, failure });
                return self.next_action(actions).await;
            }
        };
        let (parts, body) = response.into_parts();
        let response = self.response_head(&parts, &lease);
        let (matches_request, not_run) = (response.matches_request, response.not_run);
        self.log_response(to, &response);
        self.shared.notify(Event::ResponseReceived { call: self.call, response });
        match self.next_action(actions).await {
            Some(Action::Deliver) => {
                if let Some(events) = &mut self.events {
                    events.resume();
                }
                self.begin(&parts);
                self.relay(body, lease, actions).await
            }
            other => {
                if matches_request && not_run {
                    lease.discard_refusal(Response::from_parts(parts, body));
                }
                other
            }
        }
    }

    fn response_head(&self, parts: &http::response::Parts, lease: &Lease) -> ResponseHead {
        let head = self.shared.protocol.parse_response_head(&self.id, parts);
        ResponseHead { connection: lease.connection(), ..head }
    }

    /// Logs a response that is not delivered, with the connection that it came on: a copy of an earlier refusal can only
    /// come on the connection of that refusal.
    fn log_response(&self, to: &Attempt, response: &ResponseHead) {
        let status = u64::from(response.status);
        let forward::Connection { number: connection, carried, refused } = response.connection;
        if !response.matches_request {
            log::warn!(
                request:% = self.id, server:% = to.id, status, connection, carried, refused;
                "response to another request"
            );
        } else if response.not_run {
            log::info!(
                request:% = self.id, server:% = to.id, status, connection, carried, refused;
                "attempt refused"
            );
        }
    }

    fn log_failed(&self, to: &Attempt, failed: Failed) {
        let on = failed.connection.unwrap_or_default();
        log::info!(
            request:% = self.id, server:% = to.id, why:? = failed.failure, connection = on.number,
            carried = on.carried, refused = on.refused;
            "attempt without response"
        );
    }

    /// Reports the response to an attempt that ends, if it has been received: the server may ask for no more requests.
    /// Does not wait for one, since the server works until the connection is closed.
    async fn report_received(
        &self,
        sent: Pin<&mut impl Future<Output = Result<(Response<Counted>, Lease), Failed>>>,
    ) {
        // The task that reads the connection runs first.
        yield_now().await;
        let sent = tokio::select! {
            biased;
            sent = sent => sent,
            () = ready(()) => return,
        };
        if let Ok((response, lease)) = sent {
            let (parts, _) = response.into_parts();
            let response = self.response_head(&parts, &lease);
            self.shared.notify(Event::ResponseReceived { call: self.call, response });
        }
    }

    fn request(&self, to: &Attempt) -> Request<Sendable> {
        let mut request = Request::new(self.body.clone());
        request.method_mut().clone_from(&self.parts.method);
        request.uri_mut().clone_from(&self.parts.uri);
        let after = self.events.as_ref().and_then(EventSplitter::last_event_id);
        *request.headers_mut() =
            self.shared.protocol.upstream_headers(&self.id, self.headers.clone(), to, after);
        request
    }

    /// Sends the caller the head of a response, unless one was sent before.
    fn begin(&mut self, parts: &http::response::Parts) {
        if !matches!(self.caller, Caller::AwaitsHead(_)) {
            return;
        }
        let mut headers = end_to_end(&parts.headers);
        if is_event_stream(&parts.headers) {
            self.events = Some(EventSplitter::default());
            // The events of another server may have another length.
            headers.remove(header::CONTENT_LENGTH);
        }
        let (frames, body) = queue::pair(self.shared.budget.clone(), self.shared.metrics.clone());
        let mut response = Response::new(Either::Right(body));
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        self.send_head(response, Caller::ReadsBody(frames));
    }

    fn send_head(&mut self, response: CallerResponse, then: Caller) {
        if let Caller::AwaitsHead(head) = std::mem::replace(&mut self.caller, then) {
            // If the caller has disconnected, the next step notices it.
            let _ = head.send(response);
        }
    }

    /// Forwards a body.
    async fn relay(
        &mut self,
        mut body: Counted,
        lease: Lease,
        actions: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        let mut started = false;
        loop {
            let frame = tokio::select! {
                biased;
                action = actions.recv() => return action,
                () = self.caller.disconnected() => return self.caller_disconnected(),
                frame = body.frame() => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else { continue };
                    if !started {
                        started = true;
                        self.shared.notify(Event::BodyStarted { call: self.call });
                    }
                    let bytes = match &mut self.events {
                        Some(events) => events.push(&bytes),
                        None => bytes,
                    };
                    if self.events.as_ref().is_some_and(EventSplitter::is_too_large) {
                        return self.handle_abort(lease, "an event is too large", actions).await;
                    }
                    if self.events.as_ref().is_some_and(EventSplitter::is_out_of_order) {
                        let why = "the continuation repeats events";
                        return self.handle_abort(lease, why, actions).await;
                    }
                    if !self.send_to_caller(bytes).await {
                        return self.caller_disconnected();
                    }
                }
                Some(Err(error)) => {
                    return self.handle_abort(lease, &error.to_string(), actions).await;
                }
                // A response without a length ends with its connection, also where that broke off.
                None if self.events.as_ref().is_some_and(EventSplitter::is_inside_event) => {
                    let why = "the stream ended inside an event";
                    return self.handle_abort(lease, why, actions).await;
                }
                None => {
                    let rest =
                        self.events.as_mut().map(EventSplitter::take_partial).unwrap_or_default();
                    if !self.send_to_caller(rest).await {
                        return self.caller_disconnected();
                    }
                    self.caller = Caller::Done;
                    self.shared.notify(Event::Completed { call: self.call });
                    lease.done().await;
                    return None;
                }
            }
        }
    }

    /// Handles an aborted response, whose connection is closed.
    async fn handle_abort(
        &mut self,
        lease: Lease,
        why: &str,
        actions: &mut UnboundedReceiver<Action>,
    ) -> Option<Action> {
        log::info!(request:% = self.id, why; "response aborted");
        drop(lease);
        self.shared.notify(Event::Failed { call: self.call, failure: forward::Failure::Aborted });
        self.next_action(actions).await
    }

    async fn send_to_caller(&mut self, bytes: Bytes) -> bool {
        match &self.caller {
            Caller::ReadsBody(frames) if !bytes.is_empty() => frames.send(bytes).await,
            _ => true,
        }
    }

    fn reject(&mut self, rejection: &Rejection) {
        match std::mem::replace(&mut self.caller, Caller::Done) {
            Caller::AwaitsHead(head) => {
                let response = self.shared.protocol.rejection_response(&self.id, rejection);
                // A caller who has disconnected needs no response.
                let _ = head.send(response.map(|body| Either::Left(Full::new(body))));
            }
            Caller::ReadsBody(frames) => frames.cut("the answer was cut"),
            Caller::Done => {}
        }
    }
}

/// Headers without those that apply to one connection only (RFC 9110, section 7.6.1).
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [HeaderName; 7] = [
        header::CONNECTION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
    ];
    let mut forwarded = headers.clone();
    for value in headers.get_all(header::CONNECTION) {
        for name in value.to_str().unwrap_or_default().split(',') {
            forwarded.remove(name.trim());
        }
    }
    for name in &HOP_BY_HOP {
        forwarded.remove(name);
    }
    forwarded
}
