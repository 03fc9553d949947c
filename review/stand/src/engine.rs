//! A sound model replica: it holds models with their weights, keeps parts of prompts by the text that they are shared under,
//! takes orders, and answers with a short stream.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Request, read_request};
use crate::record::Record;

/// Time of a load of weights.
const LOAD: Duration = Duration::from_millis(320);

/// A request that it has run.
#[derive(Clone, Debug)]
pub struct EngineRun {
    pub at_ms: u64,
    pub id: String,
    pub tenant: String,
    pub model: String,
    /// Version of the weights that it began on.
    pub version: u64,
    /// The kept parts that it used, and the tenants whose requests made them.
    pub used: Vec<(String, String)>,
}

#[derive(Debug, Default)]
struct State {
    models: BTreeMap<String, u64>,
    /// Number of orders accepted.
    seq: u64,
    busy: bool,
    fence: u64,
    /// The kept parts: by text, model and ID, with the tenant whose request made them.
    parts: HashMap<(String, String, String), String>,
    runs: Vec<EngineRun>,
    /// Versions that were named.
    named: BTreeSet<(String, u64)>,
}

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// Unix millisecond of its start.
    born: u64,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        models: &[&str],
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let models = models.iter().map(|name| ((*name).to_owned(), 1)).collect();
        let engine = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr()?,
            born: crate::unix_ms(),
            state: Arc::new(Mutex::new(State { models, ..State::default() })),
            record: record.clone(),
        };
        let own = engine.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.connection(socket));
            }
        });
        Ok(engine)
    }

    /// Its entry in the platform's list.
    pub fn entry(&self) -> Vec<u8> {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\",\"models\":{},\"id\":\"{}\",\"born\":{}}}",
            self.service,
            self.addr,
            self.zone,
            self.models(),
            self.id,
            self.born
        )
        .into_bytes()
    }

    fn models(&self) -> String {
        let state = self.state.lock().expect("the state");
        let model = |(name, version): (&String, &u64)| {
            format!("{{\"name\":\"{name}\",\"version\":{version},\"adapters\":[]}}")
        };
        format!("[{}]", state.models.iter().map(model).collect::<Vec<_>>().join(","))
    }

    /// Version of the weights of a model.
    pub fn version(&self, model: &str) -> u64 {
        self.state.lock().expect("the state").models.get(model).copied().unwrap_or(0)
    }

    /// A version was named, so that it may be ordered.
    pub fn name_version(&self, model: &str, version: u64) {
        self.state.lock().expect("the state").named.insert((model.to_owned(), version));
    }

    pub fn runs(&self) -> Vec<EngineRun> {
        self.state.lock().expect("the state").runs.clone()
    }

    fn connection(&self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(socket);
        while let Some(request) = read_request(&mut reader) {
            let answer = match request.path.split('?').next().unwrap_or_default() {
                "/v1/report" => json(200, &self.report()),
                "/v1/order" => self.order(&request),
                "/v1/kv-events" => {
                    let wait = request.header("wait-ms").and_then(|text| text.parse().ok());
                    std::thread::sleep(Duration::from_millis(wait.unwrap_or(0).min(1_000)));
                    json(
                        200,
                        &format!(
                            "{{\"bootEpoch\":7,\"next\":0,\"lost\":false,\"events\":[],\"born\":{}}}",
                            self.born
                        ),
                    )
                }
                "/v1/kv-list" => json(
                    200,
                    &format!("{{\"bootEpoch\":7,\"next\":0,\"held\":[],\"born\":{}}}", self.born),
                ),
                _ => self.run(&request),
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let models = self.models();
        let state = self.state.lock().expect("the state");
        format!(
            "{{\"stage\":\"colocated\",\"models\":{models},\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":43407,\"handles\":0,\"bootEpoch\":7,\"born\":{}}}",
            state.busy, state.seq, self.born
        )
    }

    fn order(&self, request: &Request) -> String {
        if self.is_other(request) {
            return json(421, "{}");
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (Some(model), Some(version), Some(token)) =
            (word(&body, "model"), number(&body, "version"), number(&body, "fencingToken"))
        else {
            return json(400, "{}");
        };
        let mut state = self.state.lock().expect("the state");
        let status = if token < state.fence {
            412
        } else if state.models.get(&model) == Some(&version) {
            200
        } else if !state.named.contains(&(model.clone(), version)) {
            400
        } else if state.busy || number(&body, "precondition").is_some_and(|seq| seq != state.seq) {
            409
        } else {
            202
        };
        state.fence = state.fence.max(token);
        self.record
            .line(&format!("server {} is ordered {model} version {version}: {status}", self.id));
        if status == 202 {
            state.seq += 1;
            state.busy = true;
            let own = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(LOAD);
                let mut state = own.state.lock().expect("the state");
                state.parts.retain(|(_, of, _), _| *of != model);
                own.record.line(&format!("server {} holds {model} version {version}", own.id));
                state.models.insert(model, version);
                state.busy = false;
            });
        }
        drop(state);
        json(status, "{}")
    }

    fn is_other(&self, request: &Request) -> bool {
        request.header("x-tamarackbank-expect-instance").is_some_and(|expected| expected != self.id)
    }

    fn run(&self, request: &Request) -> String {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let id = header("x-tamarackbank-request-id");
        let model = header("x-tamarackbank-model");
        let tenant = header("x-tamarackbank-tenant");
        let shared_under = header("x-tamarackbank-cache-salt");
        let mut state = self.state.lock().expect("the state");
        let version = state.models.get(&model).copied().unwrap_or(0);
        let expected = request.header("x-tamarackbank-expect-version");
        let other_version = expected.is_some_and(|expected| expected != version.to_string());
        if self.is_other(request) || other_version {
            self.record.line(&format!(
                "server {} answers 421 to {id} for {model}: it holds version {version}, expected {}",
                self.id,
                expected.unwrap_or("any")
            ));
            return format!(
                "HTTP/1.1 421 Misdirected\r\nX-Tamarackbank-Request-Id: {id}\r\n\
                 X-Tamarackbank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let parts = header("x-tamarackbank-prefix-hash");
        let parts = parts.split(',').filter_map(|part| Some(part.trim().split_once(':')?.0));
        let keys: Vec<_> =
            parts.map(|part| (shared_under.clone(), model.clone(), part.to_owned())).collect();
        let kept =
            keys.iter().map_while(|key| state.parts.get(key).map(|by| (key.2.clone(), by.clone())));
        let used: Vec<(String, String)> = kept.collect();
        for key in keys {
            state.parts.entry(key).or_insert_with(|| tenant.clone());
        }
        let from: Vec<String> =
            used.iter().map(|(part, by)| format!("{part} made by {by}")).collect();
        self.record.line(&format!(
            "server {} runs {id} of tenant {tenant} on {model} version {version}, shared under {shared_under:?}, \
             uses [{}]",
            self.id,
            from.join(", ")
        ));
        let at_ms = self.record.now_ms();
        state.runs.push(EngineRun { at_ms, id: id.clone(), tenant, model, version, used });
        drop(state);
        let events: String =
            (1..=3).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect();
        format!(
            "HTTP/1.1 200 OK\r\nX-Tamarackbank-Request-Id: {id}\r\nContent-Type: text/event-stream\r\n\
             X-Tamarackbank-Server-Signature: signed.{}\r\nX-Tamarackbank-Weight-Versions: {version}\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n0\r\n\r\n",
            self.id,
            events.len()
        )
    }
}

fn json(status: u16, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The value of a field of a flat JSON object.
fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    Some(rest.split([',', '}']).next()?.trim())
}

fn word(body: &str, name: &str) -> Option<String> {
    Some(field(body, name)?.trim_matches('"').to_owned())
}

fn number(body: &str, name: &str) -> Option<u64> {
    field(body, name)?.parse().ok()
}
