//! Calls of the process's own to servers without an agent and to the list of servers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Name;
use bytes::Bytes;
use fleet::rollout::Reply;
use fleet::{Listed, Notice};
use http::{HeaderMap, HeaderValue, Request, header};
use http_body_util::{BodyExt, Full, Limited};
use node::{Event, forward};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::pool::Pool;
use crate::{Call, Input, Inputs, Protocol};

/// Longest wait for an answer; the list is read more often than a server may change unnoticed.
const ANSWER: Duration = Duration::from_secs(1);
/// Longest time for all pages of the list: some thousand servers, at the few calls a second that the
/// platform answers.
const LIST: Duration = Duration::from_secs(5);
/// Pause before a page that was refused for too many calls is asked for again.
const BUSY: Duration = Duration::from_millis(100);
/// Longest wait for the answer to an order: servers take or refuse it at once, and it may be given
/// again.
const ORDER: Duration = Duration::from_millis(400);
/// Longest wait of a store for events.
const EVENTS: Duration = Duration::from_secs(1);
/// Largest answer, bytes: some thousand servers.
const MOST: usize = 4 << 20;
/// Largest answer to a question for a report, or to an order, bytes.
const SMALL: usize = 64 << 10;
/// Most pages of the list; more would be a list without an end.
const MOST_PAGES: usize = 200;
/// Time between two looks for connections that were idle for too long.
const SWEEP: Duration = Duration::from_secs(1);

/// Status, body and headers of an answer, or what went wrong.
type Answer = Result<(u16, Bytes, HeaderMap), String>;

/// What the calls need.
#[derive(Debug)]
pub struct Client {
    /// Connections.
    pub pool: Rc<Pool>,
    /// Words.
    pub protocol: Rc<dyn Protocol>,
    /// Takes what comes back.
    pub inputs: Inputs,
    /// Address of the list, if there is one.
    pub list: Option<SocketAddr>,
    /// Name of this process in orders.
    pub holder: Name,
}

/// Makes the calls until the host is gone.
pub async fn run(client: Rc<Client>, mut calls: UnboundedReceiver<forward::ControlCall>) {
    let pool = client.pool.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
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
                let list = within(LIST, self.read_list(addr)).await;
                Some(forward::Event::Listed { list })
            }
            forward::ControlCall::Report { id, addr } => {
                let answer =
                    self.call(addr, self.protocol.report_request(&id), (ANSWER, SMALL)).await;
                let notice = self.notice(&answer);
                match good(answer).and_then(|body| self.protocol.parse_report(&body)) {
                    Ok(report) => Some(forward::Event::Reported { id, report, notice }),
                    Err(error) => {
                        log::warn!(server:% = id, error; "server report unavailable");
                        Some(forward::Event::ReportFailed { id, notice })
                    }
                }
            }
            forward::ControlCall::ReadStore { addr, since } => {
                let call = self.protocol.store_request(since, EVENTS);
                let answer = self.call(addr, call, (EVENTS + ANSWER, MOST)).await;
                let delta = good(answer)
                    .and_then(|body| self.protocol.parse_store_delta(since.is_none(), &body));
                if let Err(error) = &delta {
                    log::warn!(store:% = addr, error:% = error; "store inventory unavailable");
                }
                Some(forward::Event::StoreRead { addr, since, delta })
            }
            forward::ControlCall::FreeSegments { addr, epoch, segments } => {
                let call = self.protocol.free_request(epoch, &segments);
                let answer = self.call(addr, call, (ANSWER, SMALL)).await;
                let status = answer.as_ref().map_or(0, |(status, ..)| *status);
                let error = answer.err().unwrap_or_default();
                // What went shows in the store's events.
                log::info!(
                    store:% = addr, parts = segments.len(), status = u64::from(status), error:% = error;
                    "stale prompt segments freed"
                );
                None
            }
            forward::ControlCall::Change(change) => {
                let call = self.protocol.version_change_request(&change, &self.holder);
                let answer = self.call(change.addr, call, (ORDER, SMALL)).await;
                let notice = self.notice(&answer);
                let status = match &answer {
                    Ok((status, ..)) => *status,
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

    /// What a server's answer says of what it takes; another server than the one that was called says nothing.
    fn notice(&self, answer: &Answer) -> Notice {
        match answer {
            Ok((status, _, headers)) if *status != forward::MISDIRECTED => {
                self.protocol.parse_notice(*status, headers)
            }
            _ => Notice::default(),
        }
    }

    async fn read_list(&self, addr: SocketAddr) -> Result<Vec<Listed>, String> {
        let mut servers = Vec::new();
        let mut from = None;
        for _ in 0..MOST_PAGES {
            let answer =
                self.call(addr, self.protocol.list_request(from.as_deref()), (ANSWER, MOST)).await;
            if matches!(&answer, Ok((429 | 503, ..))) {
                // Others read it too; what was read so far is still good.
                sleep(BUSY).await;
                continue;
            }
            let page = self.protocol.parse_list_page(&good(answer)?)?;
            servers.extend(page.servers);
            from = page.next;
            if from.is_none() {
                return Ok(servers);
            }
        }
        Err("the list has no end".to_owned())
    }

    /// Makes a call whose answer may take so long and be so large.
    async fn call(&self, addr: SocketAddr, call: Call, (time, most): (Duration, usize)) -> Answer {
        within(time, self.send(addr, call, most)).await
    }

    async fn send(&self, addr: SocketAddr, call: Call, most: usize) -> Answer {
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call.path.parse().map_err(|error| format!("path: {error}"))?;
        *request.headers_mut() = call.headers;
        let host = HeaderValue::from_str(&addr.to_string()).map_err(|error| error.to_string())?;
        request.headers_mut().insert(header::HOST, host);
        let sent = self.pool.send(addr, request).await;
        let (response, lease) = sent.map_err(|failure| format!("{failure:?}"))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, most).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        lease.done().await;
        Ok((parts.status.as_u16(), body, parts.headers))
    }
}

/// The body of an answer that is a success.
fn good(answer: Answer) -> Result<Bytes, String> {
    match answer? {
        (200, body, _) => Ok(body),
        (status, ..) => Err(format!("status {status}")),
    }
}

async fn within<T>(
    time: Duration,
    call: impl Future<Output = Result<T, String>>,
) -> Result<T, String> {
    timeout(time, call).await.unwrap_or_else(|_| Err("no answer in time".to_owned()))
}
