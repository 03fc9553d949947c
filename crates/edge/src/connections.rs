//! The connections of a listener: their number is bounded, and at the bound the one that has waited longest for its
//! client is closed in favor of a new one.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use base::Time;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, yield_now};

use crate::metrics::Metrics;
use crate::{Clock, accept};

/// Memory in bytes that a connection without a request may take: a read buffer for the largest head, a write buffer and
/// the state of its task.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Divisor of the process's memory for connections of callers.
const MEMORY_DIVISOR: u64 = 4;
/// Smallest bound on the connections of a listener.
const MIN_CONNECTIONS: u64 = 4;

/// Maximum numbers of connections, as parts of the descriptors of a process. The rest is left for connections to
/// servers, links and files.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shares {
    /// Connections of callers.
    pub callers: usize,
    /// Connections to each operators' listener.
    pub operators: usize,
    /// Links whose peer is not known yet.
    pub unknown_links: usize,
    /// Idle connections to servers.
    pub idle_servers: usize,
}

impl Shares {
    /// The shares of a process with this many descriptors and bytes of memory. If it forwards requests itself, each of
    /// them may need another connection to a server.
    pub fn new(max_fds: u64, memory: u64, forwards: bool) -> Self {
        let part = |numerator: u64, denominator: u64| {
            (max_fds * numerator / denominator).max(MIN_CONNECTIONS) as usize
        };
        let by_memory = (memory / MEMORY_DIVISOR / CONNECTION_BYTES) as usize;
        Self {
            callers: if forwards { part(5, 16) } else { part(1, 2) }.min(by_memory),
            operators: part(1, 32),
            unknown_links: part(1, 32),
            idle_servers: part(1, 16),
        }
    }
}

/// State of a connection.
#[derive(Debug)]
pub struct State {
    clock: Clock,
    /// Whether a request of the client is being served; otherwise the process waits for the client.
    serving: AtomicBool,
    /// When the client last completed a head, made progress with a body or got a complete response, microseconds.
    since: AtomicU64,
}

impl State {
    /// Records progress of the client.
    pub fn advance(&self) {
        self.since.store(self.clock.now().0, Ordering::Relaxed);
    }

    /// Records that a request was received completely.
    pub fn serve(&self) {
        self.serving.store(true, Ordering::Relaxed);
    }

    /// Records that the request has ended.
    fn finish(&self) {
        self.advance();
        self.serving.store(false, Ordering::Relaxed);
    }

    /// Since when the process has waited for the client; `None` while it serves a request.
    fn waits_since(&self) -> Option<Time> {
        let waits = !self.serving.load(Ordering::Relaxed);
        waits.then(|| Time(self.since.load(Ordering::Relaxed)))
    }
}

/// The connection that is closed in favor of a new one: the one that has waited for its client for longest.
pub fn choose(connections: impl Iterator<Item = (u64, Option<Time>)>) -> Option<u64> {
    let waiting = connections.filter_map(|(number, since)| Some((since?, number)));
    waiting.min().map(|(_, number)| number)
}

#[derive(Debug)]
struct Open {
    state: Arc<State>,
    task: Option<AbortHandle>,
}

#[derive(Debug, Default)]
struct Table {
    next: u64,
    open: BTreeMap<u64, Open>,
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Connections {
    max: usize,
    clock: Clock,
    label: &'static str,
    metrics: Arc<Metrics>,
    table: Mutex<Table>,
}

impl Connections {
    /// At most `max` connections; `label` names the limit in the log and in the metric.
    pub fn new(max: usize, label: &'static str, metrics: Arc<Metrics>) -> Arc<Self> {
        let (clock, table) = (Clock::default(), Mutex::default());
        Arc::new(Self { max, clock, label, metrics, table })
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        // After a panic in another thread the entries are still usable.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Accepts the next connection that is admitted; `name` identifies the listener in logged errors. While all connections
    /// serve requests, new ones are closed.
    pub async fn accept(
        self: &Arc<Self>,
        listener: &TcpListener,
        name: &str,
    ) -> (TcpStream, Connection) {
        loop {
            let socket = accept::next(listener, name).await;
            if let Some(open) = self.admit().await {
                return (socket, open);
            }
        }
    }

    /// Adds a connection, for which another may be closed; `None` if all serve requests.
    pub async fn admit(self: &Arc<Self>) -> Option<Connection> {
        let closed = {
            let mut table = self.table();
            if table.open.len() < self.max {
                None
            } else {
                let open = table.open.iter().filter(|(_, open)| open.task.is_some());
                let found = choose(open.map(|(number, open)| (*number, open.state.waits_since())));
                self.metrics.record_limit(self.label);
                let Some(found) = found else {
                    log::info!(listener = self.label; "connection refused: all others serve requests");
                    return None;
                };
                table.open.remove(&found)
            }
        };
        if let Some(Open { state, task: Some(task) }) = closed {
            let idle = self.clock.now().since(Time(state.since.load(Ordering::Relaxed)));
            log::info!(listener = self.label, idle_ms = idle.as_millis() as u64; "idle connection closed: limit reached");
            task.abort();
            // The task that is aborted closes its descriptor before the next one is opened.
            yield_now().await;
        }
        let state = Arc::new(State {
            clock: self.clock,
            serving: AtomicBool::new(false),
            since: AtomicU64::new(self.clock.now().0),
        });
        let mut table = self.table();
        table.next += 1;
        let number = table.next;
        table.open.insert(number, Open { state: state.clone(), task: None });
        Some(Connection { number, state, connections: self.clone() })
    }

    /// Sets the task that holds a connection and is aborted to close it.
    pub fn set_task(&self, number: u64, task: AbortHandle) {
        if let Some(open) = self.table().open.get_mut(&number) {
            open.task = Some(task);
        }
    }
}

/// An open connection, removed from the table when dropped.
#[derive(Debug)]
pub struct Connection {
    /// Its number.
    pub number: u64,
    /// Its state.
    pub state: Arc<State>,
    connections: Arc<Connections>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.connections.table().open.remove(&self.number);
    }
}

/// The body of a response, whose end is the end of its request.
#[derive(Debug)]
pub struct Tracked<B, H = ()> {
    body: B,
    state: Arc<State>,
    _held: H,
}

impl<B, H> Tracked<B, H> {
    /// Tracks a body; `held` is dropped with it.
    pub fn new(body: B, state: Arc<State>, held: H) -> Self {
        Self { body, state, _held: held }
    }
}

impl<B, H> Drop for Tracked<B, H> {
    fn drop(&mut self) {
        self.state.finish();
    }
}

impl<B: Body<Data = Bytes> + Unpin, H: Unpin> Body for Tracked<B, H> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
