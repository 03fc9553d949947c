//! A sound store of kept parts, and sound model replicas that fetch from it and save to it as the headers say.

use std::collections::{BTreeMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};
use crate::record::Record;
use crate::unix_ms;

/// Latency of each transfer of the store.
pub const FIRST_MS: f64 = 6.0;
/// Rate of its link.
pub const LINK_MBPS: f64 = 200_000.0;
/// Bytes of a token.
pub const TOKEN_BYTES: f64 = 163_840.0;

/// Text that a part is shared under, and its ID.
type Key = (String, String);

/// Events of a store or a replica, which one reader waits for.
#[derive(Default)]
struct Events {
    epoch: u64,
    /// Unix millisecond of the start.
    born: u64,
    /// Each with its sign, key and tokens.
    events: Vec<(char, Key, u32)>,
    parts: BTreeMap<Key, Part>,
    down: bool,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    tokens: u32,
    complete: bool,
}

/// What a fetch found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Miss,
    Whole,
    /// The part is being written.
    Partial,
}

#[derive(Clone)]
struct Log {
    state: Arc<(Mutex<Events>, Condvar)>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

impl Log {
    fn new() -> Self {
        let state = Events { epoch: unix_ms(), born: unix_ms(), ..Events::default() };
        Self { state: Arc::new((Mutex::new(state), Condvar::new())), sockets: Arc::default() }
    }

    fn add(&self, key: Key, tokens: u32) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the parts");
        state.parts.insert(key.clone(), Part { tokens, complete: true });
        state.events.push(('+', key, tokens));
        changed.notify_all();
    }

    /// Drops what it keeps of the part of this ID.
    fn drop_part(&self, id: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the parts");
        let keys: Vec<Key> = state.parts.keys().filter(|(_, found)| found == id).cloned().collect();
        for key in keys {
            state.parts.remove(&key);
            state.events.push(('-', key, 0));
        }
        changed.notify_all();
    }

    /// The answer to a call of the system; none if it is of no kind that is known here.
    fn call(&self, request: &Request) -> Option<String> {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the parts");
        let clock = unix_ms();
        match path {
            "/v1/kv-events" => {
                let since =
                    query.strip_prefix("since=").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait =
                    request.header("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait.min(1_000));
                let epoch = state.epoch;
                while state.events.len() <= since && state.epoch == epoch {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).expect("the parts").0;
                }
                let text = |(number, (sign, (salt, id), tokens)): (usize, &(char, Key, u32))| {
                    format!("[{},\"{sign}\",\"{salt}\",\"{id}\",{tokens},\"m0\"]", number + 1)
                };
                let events = state.events.iter().enumerate().skip(since).map(text);
                let events = events.collect::<Vec<_>>().join(",");
                Some(json(&format!(
                    "{{\"bootEpoch\":{},\"next\":{},\"lost\":false,\"clock_ms\":{},\"born\":{},\"events\":[{events}]}}",
                    state.epoch,
                    state.events.len(),
                    unix_ms(),
                    state.born
                )))
            }
            "/v1/kv-list" => {
                let whole = state.parts.iter().filter(|(_, part)| part.complete);
                let text = |((salt, id), part): (&Key, &Part)| {
                    format!("[\"{salt}\",\"{id}\",{},\"m0\"]", part.tokens)
                };
                let held = whole.map(text).collect::<Vec<_>>().join(",");
                let written = state.parts.iter().filter(|(_, part)| !part.complete);
                let text = |((salt, id), part): (&Key, &Part)| {
                    format!("[\"{salt}\",\"{id}\",0,{}]", part.tokens)
                };
                let partial = written.map(text).collect::<Vec<_>>().join(",");
                Some(json(&format!(
                    "{{\"bootEpoch\":{},\"next\":{},\"clock_ms\":{clock},\"born\":{},\"held\":[{held}],\"partial\":[{partial}]}}",
                    state.epoch,
                    state.events.len(),
                    state.born
                )))
            }
            "/v1/kv-free" => {
                // A part is freed if the call names its text and ID, the incarnation and no time that has passed.
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let number = |name: &str| {
                    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
                    rest.split([',', '}']).next()?.trim().parse::<u64>().ok()
                };
                let stale = number("bootEpoch").is_some_and(|epoch| epoch != state.epoch)
                    || number("until_ms").is_some_and(|until| until < clock);
                if stale {
                    return Some(json("{}").replacen("200 OK", "409 Conflict", 1));
                }
                let named = |(salt, id): &&Key| body.contains(&format!("[\"{salt}\",\"{id}\"]"));
                let freed: Vec<Key> = state.parts.keys().filter(named).cloned().collect();
                for key in freed {
                    state.parts.remove(&key);
                    state.events.push(('-', key, 0));
                }
                changed.notify_all();
                Some(json("{}"))
            }
            "/v1/report" => Some(json(&format!(
                "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":43407,\"handles\":0,\
                 \"bootEpoch\":{},\"clock_ms\":{clock},\"born\":{}}}",
                state.epoch, state.born
            ))),
            _ => None,
        }
    }
}

/// Time of a transfer to or from the store in another zone, at the latency, the rate and the bytes per token that the
/// configuration names.
fn transfer(tokens: u32) -> Duration {
    let bits = f64::from(tokens) * TOKEN_BYTES * 8.0;
    Duration::from_secs_f64(FIRST_MS / 1_000.0 + 2.0 * bits / (LINK_MBPS * 1e6))
}

fn json(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Serves connections until the log is down, with a function for what the log doesn't know.
fn serve(
    listener: TcpListener,
    log: Log,
    other: impl Fn(&Request) -> Option<String> + Clone + Send + 'static,
) {
    std::thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            if log.state.0.lock().expect("the parts").down {
                continue;
            }
            if let Ok(kept) = socket.try_clone() {
                log.sockets.lock().expect("the sockets").push(kept);
            }
            let (log, other) = (log.clone(), other.clone());
            std::thread::spawn(move || {
                let Ok(mut writer) = socket.try_clone() else { return };
                let _ = writer.set_nodelay(true);
                let mut reader = BufReader::new(socket);
                while let Some(request) = read_request(&mut reader) {
                    let Some(answer) = log.call(&request).or_else(|| other(&request)) else {
                        return;
                    };
                    if writer.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    log: Log,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { addr: listener.local_addr()?, log: Log::new(), record: record.clone() };
        serve(listener, store.log.clone(), |_| None);
        Ok(store)
    }

    /// Crashes, and returns empty after this time.
    pub fn restart(&self, down_ms: u64) {
        {
            let mut state = self.log.state.0.lock().expect("the parts");
            state.down = true;
            state.parts.clear();
            state.events.clear();
            state.epoch += 1;
            state.born = unix_ms();
        }
        for socket in self.log.sockets.lock().expect("the sockets").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        self.record.line("the store crashes");
        std::thread::sleep(Duration::from_millis(down_ms));
        self.log.state.0.lock().expect("the parts").down = false;
        self.record.line("the store is back and empty");
    }

    /// Saves a part unless the store has it, or is writing it.
    fn save(&self, key: Key, tokens: u32, by: &str) {
        let epoch = {
            let mut state = self.log.state.0.lock().expect("the parts");
            if state.down || state.parts.contains_key(&key) {
                return;
            }
            state.parts.insert(key.clone(), Part { tokens, complete: false });
            state.epoch
        };
        self.record.line(&format!("the store begins to write part {} for {by}", key.1));
        std::thread::sleep(transfer(tokens));
        if self.log.state.0.lock().expect("the parts").epoch == epoch {
            self.log.add(key.clone(), tokens);
            self.record.line(&format!("the store has part {} whole, of {by}", key.1));
        }
    }

    fn find(&self, key: &Key) -> Found {
        let state = self.log.state.0.lock().expect("the parts");
        match state.parts.get(key) {
            Some(part) if part.complete => Found::Whole,
            Some(_) => Found::Partial,
            None => Found::Miss,
        }
    }

    /// Whether the store has the part of this ID whole.
    pub fn has(&self, id: &str) -> bool {
        let state = self.log.state.0.lock().expect("the parts");
        state.parts.iter().any(|((_, found), part)| found == id && part.complete)
    }

    /// Whether the store is writing the part of this ID.
    pub fn writes(&self, id: &str) -> bool {
        let state = self.log.state.0.lock().expect("the parts");
        state.parts.iter().any(|((_, found), part)| found == id && !part.complete)
    }
}

/// A fetch that a request made use of.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub request: String,
    pub part: String,
    pub found: Found,
}

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    zone: String,
    born: u64,
    log: Log,
    store: Store,
    fetches: Arc<Mutex<Vec<Fetch>>>,
    runs: Arc<Mutex<HashSet<String>>>,
    record: Record,
}

impl Replica {
    pub fn start(id: &str, zone: &str, store: &Store, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            zone: zone.to_owned(),
            born: unix_ms(),
            log: Log::new(),
            store: store.clone(),
            fetches: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let own = replica.clone();
        serve(listener, replica.log.clone(), move |request| Some(own.run(request)));
        Ok(replica)
    }

    /// Its entry in the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\",\
             \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"id\":\"{}\",\"born\":{}}}",
            self.addr, self.zone, self.id, self.born
        )
        .into_bytes()
    }

    /// Its memory goes to other runs: the part yields.
    pub fn evict(&self, part: &str) {
        self.log.drop_part(part);
    }

    pub fn fetches(&self) -> Vec<Fetch> {
        self.fetches.lock().expect("the fetches").clone()
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().expect("the runs").contains(id)
    }

    /// Runs a request. One whose ID begins with `queued` waits for other prompts first.
    fn run(&self, request: &Request) -> String {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let id = header("x-tamarackbank-request-id");
        if request
            .header("x-tamarackbank-expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Tamarackbank-Request-Id: {id}\r\n\
                 X-Tamarackbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let shared_under = header("x-tamarackbank-cache-salt");
        let (fetch, save) = (header("x-tamarackbank-kv-fetch"), header("x-tamarackbank-kv-save"));
        let until: u64 = header("x-tamarackbank-kv-until").parse().unwrap_or(u64::MAX);
        self.record.line(&format!(
            "server {} has {id}, fetch [{fetch}], save [{save}], until {until}",
            self.id
        ));
        self.runs.lock().expect("the runs").insert(id.clone());
        if id.starts_with("queued") {
            std::thread::sleep(Duration::from_millis(1_500));
        }
        let store = self.store.addr.to_string();
        let named = |list: &str, index: usize| {
            list.split(',').nth(index).is_some_and(|addr| addr.trim() == store)
        };
        let parts = header("x-tamarackbank-prefix-hash");
        let parts: Vec<(String, u32)> = parts
            .split(',')
            .filter_map(|part| {
                let (part, tokens) = part.trim().split_once(':')?;
                Some((part.to_owned(), tokens.parse().ok()?))
            })
            .collect();
        for (index, (part, tokens)) in parts.iter().enumerate() {
            let key = (shared_under.clone(), part.clone());
            let held = self.log.state.0.lock().expect("the parts").parts.contains_key(&key);
            let mut fetched = false;
            if !held && named(&fetch, index) {
                let found = self.store.find(&key);
                std::thread::sleep(transfer(*tokens));
                let in_time = unix_ms() < until;
                self.record.line(&format!(
                    "server {} fetches part {part} for {id} from the store: {found:?}, used: {}",
                    self.id,
                    in_time && found != Found::Miss
                ));
                if in_time && found != Found::Miss {
                    fetched = true;
                    let fetch = Fetch { request: id.clone(), part: part.clone(), found };
                    self.fetches.lock().expect("the fetches").push(fetch);
                }
            }
            if !held && !fetched {
                // Part of the prefill.
                std::thread::sleep(Duration::from_millis(u64::from(tokens / 45)));
            }
            if !held {
                self.log.add(key.clone(), *tokens);
            }
            if named(&save, index) {
                let (own, tokens, by) = (self.store.clone(), *tokens, id.clone());
                std::thread::spawn(move || own.save(key, tokens, &by));
            }
        }
        let events: String =
            (1..=3).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
        format!(
            "HTTP/1.1 200 OK\r\nX-Tamarackbank-Request-Id: {id}\r\nContent-Type: text/event-stream\r\n\
             X-Tamarackbank-Server-Signature: signed.{}\r\nX-Tamarackbank-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
            self.id,
            events.len()
        )
    }
}
