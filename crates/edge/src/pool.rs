//! Connections to servers that are called without an agent: a non-blocking HTTP/1.1 client.
//!
//! A connection serves one request at a time. An idle one is reused only for a part of the server's keep-alive time,
//! since a request that crosses the server's close is lost. Dropping a [`Lease`] closes the connection, which makes the
//! server stop.
//!
//! A server may write an extra copy of an earlier response, at any time, on the connection of that response. A connection
//! is therefore only reused where something tells such a copy from the response to the next request ([`Match`]): the
//! copy of a refusal would else be taken for the refusal of a request that runs. Attempts, clients and list entries may
//! all repeat an ID, so the rule holds here, where every request passes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use node::forward::Connection;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::body::Sendable;
use crate::meter::{self, Counted, Meter, Socket};

/// Longest wait for a connection unless the settings say otherwise; as long as callers allow for theirs.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which unacknowledged bytes end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a server is assumed to keep an idle connection if it does not say.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Longest keep-alive time of a server that is used.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Fraction of the server's keep-alive time for which an idle connection is reused.
const REUSE_FRACTION: f64 = 0.5;
/// Maximum number of idle connections to one server.
const MAX_IDLE: usize = 32;
/// Maximum number of IDs that a connection remembers; it carries no more requests.
const MAX_IDS: usize = 1_024;
/// Largest body in bytes that is read only to reuse its connection.
const MAX_DISCARDED: usize = 64 << 10;
/// Longest wait for such a body, and for a request to be read whose response is complete.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// What tells the response to a request from copies of earlier responses on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match<'a> {
    /// This ID, which the response repeats. The connection has carried no request with the same ID.
    Id(&'a str),
    /// The content of the response. The connection carries no requests of other kinds.
    Content,
    /// Nothing. The connection carries no other request.
    Connection,
}

/// Why a request has no response. The names of the variants appear in logged errors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of it was sent.
    NotSent,
    /// All or a part of it was sent.
    Lost,
}

/// A request that has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Why.
    pub failure: Failure,
    /// The connection that it was sent on; none if no connection was established.
    pub connection: Option<Connection>,
}

#[derive(Debug)]
struct Conn {
    sender: SendRequest<Sendable>,
    meter: Meter,
    driver: AbortHandle,
    number: u64,
    /// Number of requests that it has carried.
    carried: u32,
    /// Hashes of their IDs.
    ids: Vec<u64>,
    /// Number of these that the server refused.
    refused: u32,
}

impl Conn {
    /// This connection, before the request that it carries now.
    fn before_last(&self) -> Connection {
        let carried = self.carried.saturating_sub(1);
        Connection { number: self.number, carried, refused: self.refused }
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.until > now && self.conn.sender.is_ready()
    }
}

/// Idle connections that one request may choose from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Group {
    addr: SocketAddr,
    /// Whether they carry requests with IDs.
    ids: bool,
}

/// The idle connections, by server.
#[derive(Debug)]
pub struct Pool {
    connect_timeout: Duration,
    max_idle: usize,
    idle: RefCell<HashMap<Group, Vec<Idle>>>,
    /// Number of the latest connection, established or not.
    latest: Cell<u64>,
    /// Keyed at random, so that clients can't choose IDs with equal hashes.
    hasher: RandomState,
}

/// A connection with a response in flight, closed when dropped.
#[derive(Debug)]
pub struct Lease {
    pool: Rc<Pool>,
    group: Group,
    conn: Conn,
    /// None if the connection is not reused.
    reuse_time: Option<Duration>,
}

impl Pool {
    /// Keeps at most `max_idle` idle connections and waits at most `connect_timeout` for a new one.
    pub fn new(max_idle: usize, connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            max_idle,
            idle: RefCell::default(),
            latest: Cell::default(),
            hasher: RandomState::new(),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// There is no response.
    pub async fn send(
        self: &Rc<Self>,
        addr: SocketAddr,
        matched: Match<'_>,
        mut request: Request<Sendable>,
    ) -> Result<(Response<Counted>, Lease), Failed> {
        let id = if let Match::Id(id) = matched { Some(self.hasher.hash_one(id)) } else { None };
        let group = Group { addr, ids: id.is_some() };
        let may_reuse = matched != Match::Connection;
        loop {
            let idle = if may_reuse { self.take(group, id) } else { None };
            let (mut conn, reused) = if let Some(conn) = idle {
                (conn, true)
            } else {
                let connected = self.connect(addr).await;
                let not_sent = Failed { failure: Failure::NotSent, connection: None };
                (connected.map_err(|_| not_sent)?, false)
            };
            conn.carried += 1;
            conn.ids.extend(id);
            let connection = Some(conn.before_last());
            let failed = |failure| Failed { failure, connection };
            let written = conn.meter.written();
            match conn.sender.try_send_request(request).await {
                // No request asks for another protocol (101); other interim responses are skipped.
                Ok(response) if response.status().is_informational() => {
                    return Err(failed(Failure::Lost));
                }
                Ok(response) => {
                    let reuse_time = reuse_time(&response).filter(|_| may_reuse);
                    let meter = conn.meter.clone();
                    let response = response.map(|body| Counted::new(body, meter));
                    return Ok((response, Lease { pool: self.clone(), group, conn, reuse_time }));
                }
                Err(mut error) => {
                    let unsent = error.take_message().filter(|_| conn.meter.written() == written);
                    match unsent {
                        // The server closed the connection while it was idle.
                        Some(unsent) if reused => request = unsent,
                        Some(_) => return Err(failed(Failure::NotSent)),
                        None => return Err(failed(Failure::Lost)),
                    }
                }
            }
        }
    }

    /// The latest idle connection of a group that has carried no request with this ID.
    fn take(&self, group: Group, id: Option<u64>) -> Option<Conn> {
        let now = Instant::now();
        let mut all = self.idle.borrow_mut();
        let idle = all.get_mut(&group)?;
        idle.retain(|found| found.is_usable(now));
        let fits = |found: &Idle| id.is_none_or(|id| !found.conn.ids.contains(&id));
        if let Some(found) = idle.iter().rposition(fits) {
            return Some(idle.remove(found).conn);
        }
        // The new connection takes the place of one that was passed over, so that their number does not grow with the
        // requests of a client that repeats its ID.
        idle.pop();
        None
    }

    async fn connect(&self, addr: SocketAddr) -> std::io::Result<Conn> {
        let number = self.latest.get() + 1;
        self.latest.set(number);
        connect(addr, number, self.connect_timeout).await
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|found| found.until > now && !found.conn.sender.is_closed());
            !idle.is_empty()
        });
    }
}

impl Lease {
    /// The connection, before the request of this response.
    pub fn connection(&self) -> Connection {
        self.conn.before_last()
    }

    /// Returns the connection to the pool after the response was read completely.
    pub async fn done(mut self) {
        let Some(reuse_time) = self.reuse_time else {
            return;
        };
        if self.conn.ids.len() >= MAX_IDS {
            return;
        }
        // The end of the body may be visible before the connection is free: the server may respond before it has read the
        // request.
        let ready = timeout(DISCARD_TIMEOUT, self.conn.sender.ready());
        if !matches!(ready.await, Ok(Ok(()))) {
            return;
        }
        let mut all = self.pool.idle.borrow_mut();
        let total: usize = all.values().map(Vec::len).sum();
        let idle = all.entry(self.group).or_default();
        if idle.len() < MAX_IDLE && total < self.pool.max_idle {
            idle.push(Idle { conn: self.conn, until: Instant::now() + reuse_time });
        }
    }

    /// Reads a refusal, which nobody needs, so that its connection can be reused.
    pub fn discard_refusal(mut self, response: Response<Counted>) {
        self.conn.refused += 1;
        spawn_local(async move {
            let body = Limited::new(response.into_body(), MAX_DISCARDED).collect();
            if matches!(timeout(DISCARD_TIMEOUT, body).await, Ok(Ok(_))) {
                self.done().await;
            }
        });
    }
}

async fn connect(addr: SocketAddr, number: u64, max_wait: Duration) -> std::io::Result<Conn> {
    let socket = timeout(max_wait, TcpStream::connect(addr)).await??;
    socket.set_nodelay(true)?;
    socket2::SockRef::from(&socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let meter = Meter::default();
    let socket = TokioIo::new(Socket::new(socket, meter.clone()));
    let mut builder = Builder::new();
    builder.max_buf_size(meter::BUFFER);
    let (sender, connection) = builder.handshake(socket).await.map_err(std::io::Error::other)?;
    // The request that uses the connection notices its end.
    let driver = spawn_local(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {addr}: {error}");
        }
    });
    let driver = driver.abort_handle();
    Ok(Conn { sender, meter, driver, number, carried: 0, ids: Vec::new(), refused: 0 })
}

/// For how long the connection of a response may be reused; `None` if the server closes it.
fn reuse_time<T>(response: &Response<T>) -> Option<Duration> {
    let text = |name| response.headers().get(name).and_then(|value| value.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes || response.version() != http::Version::HTTP_11 {
        return None;
    }
    let keep_alive = response.headers().get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = keep_alive.and_then(|value| {
        value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let keep_alive = seconds.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs).min(MAX_KEEP_ALIVE);
    Some(keep_alive.mul_f64(REUSE_FRACTION))
}
