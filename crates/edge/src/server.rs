//! The client of an agent's backend server: blocking ureq calls on threads.
//!
//! The agent admits no more runs than the server has slots, which also limits the number of threads.

use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use base::{Code, Name, Revision, RunId, hex};
use bytes::Bytes;
use node::{Effect, Event, ServerEvent, TransferResult};
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;
use wire::{Call, Load, Part, Prompt, Work};

use crate::events::EVENT_STREAM;
use crate::transfer::Transfer;
use crate::window::{Window, Windows};
use crate::{EventSplitter, Input, Inputs};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the server's load is read.
const LOAD_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time for which the server's load is read, or a run aborted.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for the answer to an order; a server may load the weights before it answers.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after its deadline at which the response to a run ends that its server was asked to abort.
const ABORT_GRACE: Duration = Duration::from_secs(5);
/// Largest load report in bytes: it has a few numbers and a version.
const MAX_LOAD_BYTES: u64 = 16 << 10;
/// Stack size of a thread in bytes.
const STACK_BYTES: usize = 256 << 10;
/// Largest part of a plain response read at once, in bytes.
const CHUNK_BYTES: usize = 16 << 10;
/// Longest line of an engine's stream in bytes.
const MAX_LINE_BYTES: u64 = 256 << 10;
/// Largest response to a run in bytes: a response to a plain request is complete before an entry sends it on.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Largest stream of an engine in bytes, framing and comments included.
const MAX_STREAM_BYTES: u64 = 64 << 20;

/// The client.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    base: String,
    transfer: Transfer,
    windows: Windows,
    inputs: Inputs,
}

/// One event of an engine's stream.
#[derive(Deserialize)]
struct Streamed {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Usage {
    computed_tokens: u32,
    #[serde(default)]
    cached_tokens: u32,
}

enum Failure {
    /// Nothing reached the server.
    NotSent,
    /// The server may have run it.
    Sent(Code),
}

impl Client {
    /// Creates a client of the server at this address.
    pub fn new(
        addr: SocketAddr,
        stores: Vec<(Name, SocketAddr)>,
        piece_bytes: u64,
        inputs: Inputs,
    ) -> Self {
        let config = Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            // A server may write an answer once more; on a connection of its own, no run finds another's.
            .max_idle_connections(0)
            .build();
        let base = format!("http://{addr}");
        let transfer = Transfer::new(base.clone(), stores, piece_bytes);
        Self { agent: config.into(), base, transfer, windows: Windows::default(), inputs }
    }

    /// Executes an effect of the agent; results are sent as events.
    pub fn perform(&self, effect: Effect) {
        let client = self.clone();
        let failed = match &effect {
            Effect::Acked { run, seq } => {
                self.windows.ack(*run, *seq);
                return;
            }
            Effect::Serve { run, .. } => {
                self.windows.open(*run);
                Some(ServerEvent::Failed { run: *run, sent: false, code: Code::Overloaded })
            }
            Effect::Fetch { key, store } => Some(ServerEvent::Fetched {
                key: *key,
                store: store.clone(),
                result: TransferResult::Failed,
            }),
            _ => None,
        };
        if spawn(move || client.perform_now(effect)).is_err()
            && let Some(failed) = failed
        {
            if let ServerEvent::Failed { run, .. } = failed {
                self.windows.remove(run);
            }
            self.send(failed);
        }
    }

    fn perform_now(&self, effect: Effect) {
        match effect {
            Effect::Serve { run, priority, time, work } => self.work(run, priority, time, &work),
            Effect::Abort { run } => self.abort(run),
            Effect::Fetch { key, store } => self.send(self.transfer.fetch(key, store)),
            Effect::Save { key, store, generation } => {
                self.send(self.transfer.save(key, store, generation));
            }
            Effect::Free { key, store } => self.transfer.free(&key, &store),
            Effect::PollCache { from } => self.send_if_some(self.transfer.events(from)),
            Effect::ListCache => self.send_if_some(self.transfer.list()),
            Effect::Order { token, load } => self.order(token, &load),
            _ => {}
        }
    }

    fn send_if_some(&self, event: Option<ServerEvent>) {
        if let Some(event) = event {
            self.send(event);
        }
    }

    /// Asks the server to abort a run, then ends the connection of one that goes on.
    fn abort(&self, run: RunId) {
        let url = format!("{}/v1/cancel", self.base);
        let body = json!({ "request_id": request_id(run) }).to_string();
        let request = self.agent.post(&url).config().timeout_global(Some(REPORT_TIMEOUT)).build();
        let _ = request.send(&body);
        self.windows.close(run);
    }

    fn order(&self, token: Revision, load: &Name) {
        let url = format!("{}/orders", self.base);
        let body = json!({ "epoch": token.epoch, "index": token.index, "load": &**load });
        let request = self.agent.post(&url).config().timeout_global(Some(ORDER_TIMEOUT)).build();
        let answer = request.send(body.to_string());
        let ok = answer.is_ok_and(|response| response.status().as_u16() == 200);
        self.send(ServerEvent::Ordered { token, ok });
    }

    /// Reads the server's load periodically.
    pub fn watch_load(&self) {
        let client = self.clone();
        let _ = spawn(move || {
            let mut is_available = true;
            loop {
                let error = match client.load() {
                    Ok(Some(load)) => {
                        client.send(ServerEvent::Load(load));
                        None
                    }
                    Ok(None) => Some("invalid report".to_owned()),
                    Err(error) => Some(error.to_string()),
                };
                if let Some(error) = error.as_ref().filter(|_| is_available) {
                    log::warn!(error:%; "load report unavailable");
                }
                is_available = error.is_none();
                thread::sleep(LOAD_INTERVAL);
            }
        });
    }

    fn load(&self) -> Result<Option<Load>, ureq::Error> {
        let request = self.agent.get(format!("{}/load", self.base));
        let mut response = request.config().timeout_global(Some(REPORT_TIMEOUT)).build().call()?;
        let body = response.body_mut().with_config().limit(MAX_LOAD_BYTES).read_to_vec()?;
        Ok(serde_json::from_slice(&body).ok().and_then(|value| parse_load(&value)))
    }

    fn send(&self, event: ServerEvent) {
        let _ = self.inputs.send(Input::Event(Event::Server(event)));
    }

    fn work(&self, run: RunId, priority: u8, time: Option<Duration>, work: &Work) {
        let mut output = Output {
            run,
            window: self.windows.get(run).unwrap_or_default(),
            bytes: 0,
            client: self,
        };
        let time = time.map(|time| time + ABORT_GRACE);
        let result = match work {
            Work::Prompt(prompt) => self.prompt(&mut output, priority, time, prompt),
            Work::Call(call) => self.call(&mut output, time, call),
        };
        self.windows.remove(run);
        match result {
            Ok((computed, cached)) => self.send(ServerEvent::Done { run, computed, cached }),
            Err(Failure::NotSent) => {
                self.send(ServerEvent::Failed { run, sent: false, code: Code::NoServer });
            }
            Err(Failure::Sent(code)) => self.send(ServerEvent::Failed { run, sent: true, code }),
        }
    }

    fn prompt(
        &self,
        output: &mut Output<'_>,
        priority: u8,
        time: Option<Duration>,
        prompt: &Prompt,
    ) -> Result<(u32, u32), Failure> {
        let keys: Vec<String> = prompt.keys.iter().map(|key| hex(key)).collect();
        let body = json!({
            "model": &*prompt.model,
            "version": &*prompt.version,
            "prompt": &*prompt.text,
            "max_tokens": prompt.max_tokens,
            "resume_from": prompt.resume_from,
            "cache_keys": keys,
            "request_id": request_id(output.run),
            "priority": priority,
            "stream": true,
        });
        let url = format!("{}/v1/completions", self.base);
        let request = self.agent.post(&url).config().timeout_global(time).build();
        let response = request.content_type("application/json").send(body.to_string());
        let mut response = response.map_err(|error| failure(&error))?;
        if response.status().as_u16() != 200 {
            return Err(Failure::Sent(Code::ServerError));
        }
        tokens(output, response.body_mut().with_config().limit(MAX_STREAM_BYTES).reader())
    }

    fn call(
        &self,
        output: &mut Output<'_>,
        time: Option<Duration>,
        call: &Call,
    ) -> Result<(u32, u32), Failure> {
        let request = http::Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path))
            .header("content-type", &call.content_type)
            .header("x-request-id", request_id(output.run))
            .body(call.body.clone());
        // A request with an invalid method or path is not sent.
        let request = request.map_err(|_| Failure::NotSent)?;
        let request = self.agent.configure_request(request).timeout_global(time).build();
        let mut response = self.agent.run(request).map_err(|error| failure(&error))?;
        let kind = response.headers().get("content-type").and_then(|kind| kind.to_str().ok());
        let head = Part::Head {
            status: response.status().as_u16(),
            content_type: kind.unwrap_or_default().to_owned(),
        };
        let is_stream = kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM));
        let mut events = is_stream.then(EventSplitter::default);
        output.send(head)?;
        let mut reader = response.body_mut().as_reader();
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            match reader.read(&mut chunk) {
                Ok(0) if events.as_ref().is_some_and(EventSplitter::is_inside_event) => {
                    return Err(output.cut("the stream ended inside an event"));
                }
                Ok(0) => return Ok((0, 0)),
                Ok(count) => {
                    if let Some(events) = &mut events {
                        events.push(&Bytes::copy_from_slice(&chunk[..count]));
                        if events.is_too_large() {
                            return Err(output.cut("an event is too large"));
                        }
                    }
                    output.send(Part::Bytes(chunk[..count].to_vec()))?;
                }
                Err(error) => return Err(output.cut(&error.to_string())),
            }
        }
    }
}

/// The parts of one run's response.
struct Output<'a> {
    run: RunId,
    window: Arc<Window>,
    /// Total size of the parts.
    bytes: usize,
    client: &'a Client,
}

impl Output<'_> {
    /// Sends a part once the window has space; fails if the response ends here.
    fn send(&mut self, part: Part) -> Result<(), Failure> {
        self.bytes += match &part {
            Part::Tokens { text, .. } => text.len(),
            Part::Bytes(bytes) => bytes.len(),
            Part::Head { .. } | Part::End { .. } => 0,
        };
        if self.bytes > MAX_RESPONSE_BYTES {
            return Err(self.cut("the response is too large"));
        }
        if !self.window.reserve() {
            return Err(self.cut("the run was aborted"));
        }
        self.client.send(ServerEvent::Part { run: self.run, part });
        Ok(())
    }

    fn cut(&self, why: &str) -> Failure {
        log::info!(run:% = self.run, why, bytes = self.bytes as u64; "response cut");
        Failure::Sent(Code::Cut)
    }
}

fn tokens(output: &mut Output<'_>, body: impl Read) -> Result<(u32, u32), Failure> {
    let mut usage = (0, 0);
    let mut body = BufReader::new(body);
    let mut line = Vec::new();
    loop {
        next_line(&mut body, &mut line).map_err(|error| output.cut(&error.to_string()))?;
        let Ok(line) = str::from_utf8(line.trim_ascii_end()) else {
            return Err(output.cut("a line is not UTF-8"));
        };
        let Some(data) = line.strip_prefix("data: ") else {
            if output.window.is_closed() {
                return Err(output.cut("the run was aborted"));
            }
            continue;
        };
        if data == "[DONE]" {
            return Ok(usage);
        }
        let event: Streamed =
            serde_json::from_str(data).map_err(|error| output.cut(&error.to_string()))?;
        for choice in event.choices.into_iter().filter(|choice| !choice.text.is_empty()) {
            let count = choice.tokens.unwrap_or(1);
            output.send(Part::Tokens { text: choice.text, count })?;
        }
        if let Some(seen) = event.usage {
            usage = (seen.computed_tokens, seen.cached_tokens);
        }
    }
}

fn parse_load(value: &Value) -> Option<Load> {
    let limit = &value["limit_per_second"];
    let named = limit.as_f64().and_then(fleet::Limit::new);
    if named.is_none() && !limit.is_null() {
        log::warn!(limit:% = limit; "invalid rate limit in load report");
    }
    Some(Load {
        limit: named.map(|limit| limit.0),
        running: value["running"].as_u64()? as u32,
        waiting: value["waiting"].as_u64()? as u32,
        version: Name::new(value["version"].as_str()?),
        ..Load::default()
    })
}

/// Reads the next line; fails if it is not terminated.
fn next_line(reader: &mut impl BufRead, line: &mut Vec<u8>) -> io::Result<()> {
    line.clear();
    let count = reader.take(MAX_LINE_BYTES).read_until(b'\n', line)?;
    match line.last() {
        Some(b'\n') => Ok(()),
        _ if count as u64 == MAX_LINE_BYTES => Err(io::Error::other("a line is too large")),
        _ => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn failure(error: &ureq::Error) -> Failure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect) => Failure::NotSent,
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Failure::NotSent
        }
        _ => Failure::Sent(Code::Cut),
    }
}

fn request_id(run: RunId) -> String {
    format!("{run}-{}", run.attempt)
}

fn spawn(work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new().name("server".to_owned()).stack_size(STACK_BYTES).spawn(work).map(|_| ())
}
