//! Calls that the process itself makes to servers without an agent and to the server list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use bytes::Bytes;
use fleet::rollout::Reply;
use fleet::{Listed, Notice, StoreDelta};
use http::{HeaderMap, HeaderValue, Request, header};
use node::{Event, forward};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::body::{self, Sendable};
use crate::budget::Budget;
use crate::pool::{Lease, Match, Pool};
use crate::{Call, Input, Inputs, Protocol};

/// Longest wait for a response; the list is read more often than a server may change unnoticed.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for all pages of the list: some thousand servers, at the few calls per second that the platform allows.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before a page that was rejected because of too many calls is requested again.
const BUSY_RETRY: Duration = Duration::from_millis(100);
/// Longest wait for the response to an order: servers accept or reject it immediately, and it may be repeated.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time for which a store may wait for events before it responds.
const EVENTS_WAIT: Duration = Duration::from_secs(1);
/// Largest response in bytes: some thousand servers.
const MAX_RESPONSE: usize = 4 << 20;
/// Largest size of all pages of the list together, in bytes: some thousand servers with some models each.
const MAX_LIST: usize = 8 << 20;
/// Largest response to a report request or an order, in bytes.
const MAX_SMALL_RESPONSE: usize = 64 << 10;
/// Divisor of the memory for bodies for the part that responses to calls to servers and stores may use together. They are
/// parsed into at most five times their size.
const MEMORY_DIVISOR: u64 = 4;
/// Maximum number of pages of the list; more are taken for a list without an end.
const MAX_PAGES: usize = 200;
/// Interval at which connections that were idle for too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A response that was read completely.
#[derive(Debug)]
struct Answer {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
    /// Its connection, closed when dropped.
    lease: Lease,
}

/// A response, or the error.
type CallResult = Result<Answer, String>;

/// Makes the calls.
#[derive(Debug)]
pub struct Client {
    /// Connections to servers.
    pub pool: Rc<Pool>,
    /// Protocol of the deployment.
    pub protocol: Rc<dyn Protocol>,
    /// Receives the results.
    pub inputs: Inputs,
    /// Address of the server list, if there is one.
    pub list: Option<SocketAddr>,
    /// Name of this process in orders.
    pub holder: Name,
    /// Memory for responses.
    pub memory: Memory,
}

/// Memory for the responses to the process's own calls, apart from that for clients' bodies, so that neither takes the
/// other's.
#[derive(Debug)]
pub struct Memory {
    /// For the responses of servers and stores.
    servers: Arc<Budget>,
    /// For the pages of the list, which is read once at a time: servers and stores don't take its memory.
    list: Arc<Budget>,
}

impl Memory {
    /// A part of the bytes that the process may use.
    pub fn new(memory: u64) -> Self {
        Self {
            servers: Budget::new(memory / MEMORY_DIVISOR, MAX_RESPONSE),
            list: Budget::new(0, MAX_RESPONSE),
        }
    }
}

/// Makes calls until the host is gone.
pub async fn run(client: Rc<Client>, mut calls: UnboundedReceiver<forward::ControlCall>) {
    let pool = client.pool.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP_INTERVAL).await;
            pool.sweep();
        }
    });
    while let Some(call) = calls.recv().await {
        let client = client.clone();
        spawn_local(async move {
            if let Some(event) = client.perform(call).await {
                let _ = client.inputs.send(Input::Event(Event::Forward(event)));
            }
        });
    }
}

impl Client {
    async fn perform(&self, call: forward::ControlCall) -> Option<forward::Event> {
        match call {
            forward::ControlCall::ReadList => {
                let addr = self.list?;
                let list = with_timeout(LIST_TIMEOUT, self.read_list(addr)).await;
                Some(forward::Event::Listed { list })
            }
            forward::ControlCall::Report { id, addr } => {
                let result = self
                    .call(
                        addr,
                        self.protocol.report_request(&id),
                        Match::Connection,
                        (RESPONSE_TIMEOUT, MAX_SMALL_RESPONSE),
                    )
                    .await;
                let notice = self.notice(&result);
                match success_body(result).and_then(|body| self.protocol.parse_report(&body)) {
                    Ok(report) => Some(forward::Event::Reported { id, report, notice }),
                    Err(error) => {
                        log::warn!(server:% = id, error; "server report unavailable");
                        Some(forward::Event::ReportFailed { id, notice })
                    }
                }
            }
            forward::ControlCall::ReadStore { addr, since, fresh } => {
                let matched = if fresh { Match::Connection } else { Match::Content };
                let delta = self.read_store(addr, since, EVENTS_WAIT, matched).await;
                Some(forward::Event::StoreRead { addr, since, delta })
            }
            forward::ControlCall::CheckStore { addr, since, began } => {
                // A copy of an earlier response could name the incarnation before a restart.
                let delta =
                    self.read_store(addr, Some(since), Duration::ZERO, Match::Connection).await;
                let epoch = delta.map(|delta| delta.epoch);
                Some(forward::Event::StoreChecked { addr, began, epoch })
            }
            forward::ControlCall::FreeSegments { addr, epoch, until_ms, segments } => {
                let call = self.protocol.free_request(epoch, until_ms, &segments);
                let limits = (RESPONSE_TIMEOUT, MAX_SMALL_RESPONSE);
                let result = self.call(addr, call, Match::Connection, limits).await;
                let status = result.as_ref().map_or(0, |answer| answer.status);
                let error = result.err().unwrap_or_default();
                // The store's events show what was freed.
                log::info!(
                    store:% = addr, parts = segments.len(), status = u64::from(status), error:% = error;
                    "stale prompt segments freed"
                );
                None
            }
            forward::ControlCall::Change(change) => {
                let call = self.protocol.version_change_request(&change, &self.holder);
                let limits = (ORDER_TIMEOUT, MAX_SMALL_RESPONSE);
                let result = self.call(change.addr, call, Match::Connection, limits).await;
                let notice = self.notice(&result);
                let status = match &result {
                    Ok(answer) => answer.status,
                    Err(error) => {
                        log::warn!(server:% = change.id, error:% = error; "weight version order failed");
                        0
                    }
                };
                log::info!(server:% = change.id, status = u64::from(status); "weight version order answered");
                let reply = match status {
                    200 | 202 => Reply::Accepted,
                    409 => Reply::Conflict,
                    _ => Reply::Failed,
                };
                Some(forward::Event::ChangeAnswered { id: change.id, reply, notice })
            }
        }
    }

    /// The notice in a server's response, unless another server than the intended one responded.
    fn notice(&self, result: &CallResult) -> Notice {
        match result {
            Ok(answer) if answer.status != forward::MISDIRECTED => {
                self.protocol.parse_notice(answer.status, &answer.headers)
            }
            _ => Notice::default(),
        }
    }

    async fn read_list(&self, addr: SocketAddr) -> Result<Vec<Listed>, String> {
        let mut servers = Vec::new();
        let mut from = None;
        let mut bytes_left = MAX_LIST;
        for _ in 0..MAX_PAGES {
            let result = self
                .call(
                    addr,
                    self.protocol.list_request(from.as_deref()),
                    Match::Connection,
                    (RESPONSE_TIMEOUT, MAX_RESPONSE.min(bytes_left)),
                )
                .await;
            if matches!(&result, Ok(Answer { status: 429 | 503, .. })) {
                // Other processes read the list too; the pages read so far remain valid.
                sleep(BUSY_RETRY).await;
                continue;
            }
            let body = success_body(result)?;
            bytes_left -= body.len();
            let page = self.protocol.parse_list_page(&body)?;
            servers.extend(page.servers);
            from = page.next;
            if from.is_none() {
                return Ok(servers);
            }
        }
        Err("the list has too many pages".to_owned())
    }

    /// Reads the events of a store or server from a number on, for which it may wait for this time, or its complete inventory.
    async fn read_store(
        &self,
        addr: SocketAddr,
        since: Option<u64>,
        wait: Duration,
        mut matched: Match<'_>,
    ) -> Result<StoreDelta, String> {
        let delta = loop {
            match self.read_delta(addr, since, wait, matched).await {
                Ok(Some(delta)) => break Ok(delta),
                Ok(None) => {
                    log::warn!(store:% = addr, since; "events of an earlier response ignored");
                    matched = Match::Connection;
                }
                Err(error) => break Err(error),
            }
        };
        if let Err(error) = &delta {
            log::warn!(store:% = addr, error:% = error; "store inventory unavailable");
        }
        delta
    }

    /// Makes one call for events or for the complete inventory. None if the connection had been used before and the response
    /// may be a copy of an earlier one, since it does not continue at `since`; the connection is closed then.
    async fn read_delta(
        &self,
        addr: SocketAddr,
        since: Option<u64>,
        wait: Duration,
        matched: Match<'_>,
    ) -> Result<Option<StoreDelta>, String> {
        let call = self.protocol.store_request(since, wait);
        let read = async {
            let answer = self.send(addr, call, matched, MAX_RESPONSE).await?;
            let reused = answer.lease.connection().carried > 0;
            let (body, lease) = success(answer)?;
            let delta = self.protocol.parse_store_delta(since.is_none(), &body)?;
            let continues = since.is_none_or(|since| delta.continues(since));
            if continues {
                lease.done().await;
            }
            Ok((continues || !reused).then_some(delta))
        };
        with_timeout(wait + RESPONSE_TIMEOUT, read).await
    }

    /// Makes a call with limits on the duration and on the size of the response.
    async fn call(
        &self,
        addr: SocketAddr,
        call: Call,
        matched: Match<'_>,
        (time, max_bytes): (Duration, usize),
    ) -> CallResult {
        with_timeout(time, self.send(addr, call, matched, max_bytes)).await
    }

    async fn send(
        &self,
        addr: SocketAddr,
        call: Call,
        matched: Match<'_>,
        max_bytes: usize,
    ) -> CallResult {
        let mut request = Request::new(Sendable::from(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|error| format!("path: {error}"))?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_str(&addr.to_string()).map_err(|error| error.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        let sent = self.pool.send(addr, matched, request).await;
        let (response, lease) = sent.map_err(|failed| format!("{:?}", failed.failure))?;
        let (parts, body) = response.into_parts();
        let is_list = self.list == Some(addr);
        let budget = if is_list { &self.memory.list } else { &self.memory.servers };
        let body = body::read_response(body, max_bytes, budget).await;
        let body = body.map_err(|failure| failure.code().1.to_owned())?;
        Ok(Answer { status: parts.status.as_u16(), headers: parts.headers, body, lease })
    }
}

/// The body and the connection of a successful response.
fn success(answer: Answer) -> Result<(Bytes, Lease), String> {
    match answer {
        Answer { status: 200, body, lease, .. } => Ok((body, lease)),
        Answer { status, .. } => Err(format!("status {status}")),
    }
}

/// The body of a successful response, whose connection is closed.
fn success_body(result: CallResult) -> Result<Bytes, String> {
    Ok(success(result?)?.0)
}

async fn with_timeout<T>(
    time: Duration,
    call: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    timeout(time, call).await.unwrap_or_else(|_| Err("no answer in time".to_owned()))
}
