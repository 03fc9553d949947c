//! The stand-in engine over HTTP.
//!
//! | call | what it does |
//! |---|---|
//! | `POST /v1/completions` | streams an answer, from token `resume_from` on |
//! | `POST /v1/cancel` | ends a run |
//! | `GET /load` | returns a load report, which may be up to `LOAD_LAG` old |
//! | `GET /started` | returns the number of runs that were started |
//! | `GET /cache/events?from=N` | returns numbered cache events, some of which are lost |
//! | `GET /cache/blocks` | returns the keys of all blocks and the number of the next event |
//! | `GET`, `PUT /cache/blocks/KEY` | exports or imports a block |
//! | `POST /orders` | loads a weight version; checks the fencing token if so configured |

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use base::{hex, unhex};
use serde_json::{Value, json};
use tiny_http::{Header, Method, Request, Response, Server};

use crate::{Answer, Batch, Job, Output, Profile};

/// Bytes of one exported block.
pub const BLOCK_BYTES: usize = 4_096;
const BYTES_PER_TOKEN: u64 = 4;
/// Age at which a load report is renewed.
const LOAD_LAG: Duration = Duration::from_millis(150);
const STACK_BYTES: usize = 256 << 10;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to listen on; port 0 selects a free port.
    pub addr: SocketAddr,
    /// Speeds and sizes.
    pub profile: Profile,
    /// Weight version at the start.
    pub version: String,
    /// Whether orders with an old fencing token are rejected.
    pub checks_tokens: bool,
    /// Time to load a weight version.
    pub load: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 0)),
            profile: Profile::default(),
            version: "v1".to_owned(),
            checks_tokens: false,
            load: Duration::from_millis(600),
        }
    }
}

enum Chunk {
    Token(u32),
    End(u64, u64),
}

#[derive(Default)]
struct State {
    batch: Batch,
    outputs: HashMap<u64, Sender<Chunk>>,
    /// Number of the run by request ID.
    ids: HashMap<String, u64>,
    next: u64,
    version: String,
    /// Highest fencing token so far.
    token: (u64, u64),
    /// Weight version that is being loaded, and when that ends.
    loading: Option<(Instant, String)>,
    /// The last load report, and when it was made.
    report: (Option<Instant>, Value),
    started: u64,
}

struct Shared {
    state: Mutex<State>,
    wake: Condvar,
    settings: Settings,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a stand-in engine and returns its address.
///
/// # Errors
/// The address cannot be bound.
pub fn start(settings: Settings) -> std::io::Result<SocketAddr> {
    let server = Server::http(settings.addr).map_err(std::io::Error::other)?;
    let addr = server.server_addr().to_ip().unwrap_or(settings.addr);
    let state = State {
        batch: Batch::new(settings.profile.clone()),
        version: settings.version.clone(),
        ..State::default()
    };
    let shared = Arc::new(Shared { state: Mutex::new(state), wake: Condvar::new(), settings });
    let stepper = shared.clone();
    thread::spawn(move || step_all(&stepper));
    thread::spawn(move || {
        while let Ok(request) = server.recv() {
            let shared = shared.clone();
            let handler = move || handle(&shared, request);
            let _ = thread::Builder::new().stack_size(STACK_BYTES).spawn(handler);
        }
    });
    Ok(addr)
}

fn step_all(shared: &Shared) {
    let step = Duration::from_micros(shared.settings.profile.step_us);
    loop {
        let mut state = shared.lock();
        while state.batch.is_idle() {
            state = shared.wake.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        drop(state);
        let next = Instant::now() + step;
        thread::sleep(step);
        let mut state = shared.lock();
        for output in state.batch.step() {
            deliver(&mut state, &output);
        }
        drop(state);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

fn deliver(state: &mut State, output: &Output) {
    match output {
        Output::Token { id, index } => {
            let disconnected = state
                .outputs
                .get(id)
                .is_some_and(|output| output.send(Chunk::Token(*index)).is_err());
            if disconnected {
                state.batch.cancel(*id);
                state.outputs.remove(id);
            }
        }
        Output::End { id, computed, cached } => {
            if let Some(output) = state.outputs.remove(id) {
                let _ = output.send(Chunk::End(*computed, *cached));
            }
        }
    }
}

fn handle(shared: &Shared, mut request: Request) {
    let mut body = Vec::new();
    if request.as_reader().read_to_end(&mut body).is_err() {
        return;
    }
    let url = request.url().to_owned();
    let (path, query) = url.split_once('?').unwrap_or((&url, ""));
    match (request.method().clone(), path) {
        (Method::Post, "/v1/completions") => complete(shared, request, &body),
        (Method::Post, "/v1/cancel") => {
            cancel(shared, &body);
            reply(request, 200, json!({}).to_string().into_bytes());
        }
        (Method::Get, "/load") => reply(request, 200, load(shared).to_string().into_bytes()),
        (Method::Get, "/started") => {
            let started = shared.lock().started;
            reply(request, 200, started.to_string().into_bytes());
        }
        (Method::Get, "/cache/events") => {
            let from = query.strip_prefix("from=").and_then(|from| from.parse().ok());
            let value = events(shared, from.unwrap_or(0));
            reply(request, 200, value.to_string().into_bytes());
        }
        (Method::Get, "/cache/blocks") => {
            let (next, keys) = shared.lock().batch.snapshot();
            let keys: Vec<String> = keys.iter().map(|key| hex(key)).collect();
            let value = json!({ "next": next, "keys": keys });
            reply(request, 200, value.to_string().into_bytes());
        }
        (Method::Post, "/orders") => {
            let (status, value) = order(shared, &body);
            reply(request, status, value.to_string().into_bytes());
        }
        (method, path) => {
            let key = path.strip_prefix("/cache/blocks/").and_then(unhex);
            match (method, key) {
                (Method::Get, Some(key)) => export(shared, request, key),
                (Method::Put, Some(key)) => import(shared, request, key, &body),
                _ => reply(request, 404, Vec::new()),
            }
        }
    }
}

fn complete(shared: &Shared, request: Request, body: &[u8]) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let (Some(prompt), Some(until)) = (value["prompt"].as_str(), value["max_tokens"].as_u64())
    else {
        reply(request, 400, Vec::new());
        return;
    };
    let keys = value["cache_keys"].as_array().map(Vec::as_slice).unwrap_or_default();
    let (sender, lines) = channel();
    let mut state = shared.lock();
    let expected = value["version"].as_str().unwrap_or_default();
    if !expected.is_empty() && expected != state.version {
        drop(state);
        reply(request, 409, b"another weight version".to_vec());
        return;
    }
    state.next += 1;
    state.started += 1;
    let id = state.next;
    let job = Job {
        id,
        prompt_tokens: (prompt.len() as u64).div_ceil(BYTES_PER_TOKEN),
        from: value["resume_from"].as_u64().unwrap_or(0) as u32,
        until: until as u32,
        keys: keys.iter().filter_map(|key| unhex(key.as_str()?)).collect(),
        priority: value["priority"].as_u64().unwrap_or(0) as u8,
    };
    state.batch.submit(job);
    state.outputs.insert(id, sender);
    if let Some(name) = value["request_id"].as_str() {
        state.ids.insert(name.to_owned(), id);
    }
    drop(state);
    shared.wake.notify_all();

    let answer = Answer::new(prompt);
    let mut writer = request.into_writer();
    let head =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut open = writer.write_all(head.as_bytes()).is_ok();
    while open {
        let Ok(line) = lines.recv() else { break };
        open = match line {
            Chunk::Token(index) => {
                let choice = json!({ "text": answer.token(index), "tokens": 1, "index": index });
                event(&mut writer, &json!({ "choices": [choice] }).to_string())
            }
            Chunk::End(computed, cached) => {
                let usage = json!({ "computed_tokens": computed, "cached_tokens": cached });
                let _ = event(&mut writer, &json!({ "usage": usage }).to_string());
                let _ = event(&mut writer, "[DONE]");
                let _ = writer.write_all(b"0\r\n\r\n");
                let _ = writer.flush();
                false
            }
        };
    }
    let mut state = shared.lock();
    state.batch.cancel(id);
    state.outputs.remove(&id);
    state.ids.retain(|_, found| *found != id);
}

/// Writes one server-sent event as a chunk; returns whether that succeeded.
fn event(writer: &mut impl Write, data: &str) -> bool {
    let event = format!("data: {data}\n\n");
    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
    writer.write_all(chunk.as_bytes()).and_then(|()| writer.flush()).is_ok()
}

fn cancel(shared: &Shared, body: &[u8]) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let mut state = shared.lock();
    let id = value["request_id"].as_str().and_then(|name| state.ids.get(name).copied());
    if let Some(id) = id {
        state.batch.cancel(id);
        state.outputs.remove(&id);
    }
}

/// Returns the last load report, renewed only once it is `LOAD_LAG` old, so that reports lag.
fn load(shared: &Shared) -> Value {
    let mut state = shared.lock();
    let stale = state.report.0.is_none_or(|at| at.elapsed() >= LOAD_LAG);
    finish_loading(&mut state);
    if stale {
        let value = json!({
            "running": state.batch.running(),
            "waiting": state.batch.queued(),
            "prefill_tokens": state.batch.prefill_left(),
            "version": state.version,
        });
        state.report = (Some(Instant::now()), value);
    }
    state.report.1.clone()
}

fn events(shared: &Shared, from: u64) -> Value {
    let events: Vec<Value> = shared
        .lock()
        .batch
        .events_from(from)
        .iter()
        .map(|event| json!({ "seq": event.seq, "key": hex(&event.key), "stored": event.stored }))
        .collect();
    json!({ "events": events })
}

fn order(shared: &Shared, body: &[u8]) -> (u16, Value) {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| value[name].as_u64().unwrap_or(0);
    let token = (number("epoch"), number("index"));
    let mut state = shared.lock();
    finish_loading(&mut state);
    if shared.settings.checks_tokens && token < state.token {
        return (409, json!({ "error": "old fencing token" }));
    }
    state.token = state.token.max(token);
    if let Some(version) = value["load"].as_str() {
        let ready = Instant::now() + shared.settings.load;
        state.loading = Some((ready, version.to_owned()));
    }
    (200, json!({ "epoch": state.token.0, "index": state.token.1 }))
}

/// Switches to the weight version that was being loaded once its load time has passed.
fn finish_loading(state: &mut State) {
    if let Some((ready, version)) = &state.loading
        && Instant::now() >= *ready
    {
        state.version.clone_from(version);
        state.loading = None;
        state.batch.clear();
    }
}

fn export(shared: &Shared, request: Request, key: [u8; 16]) {
    if shared.lock().batch.holds(&key) {
        reply(request, 200, block(key));
    } else {
        reply(request, 404, Vec::new());
    }
}

fn import(shared: &Shared, request: Request, key: [u8; 16], body: &[u8]) {
    if body != block(key) {
        reply(request, 400, Vec::new());
        return;
    }
    shared.lock().batch.import(key);
    reply(request, 200, Vec::new());
}

/// The bytes of a block, derived from its key.
pub fn block(key: [u8; 16]) -> Vec<u8> {
    let mut bytes = vec![0; BLOCK_BYTES];
    let mut reader = blake3::Hasher::new().update(&key).finalize_xof();
    reader.fill(&mut bytes);
    bytes
}

/// Responds with a status and a JSON body.
pub(crate) fn reply(request: Request, status: u16, body: Vec<u8>) {
    let mut response = Response::from_data(body).with_status_code(status);
    if let Ok(header) = Header::from_bytes("content-type", "application/json") {
        response.add_header(header);
    }
    let _ = request.respond(response);
}
