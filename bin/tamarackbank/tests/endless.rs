//! Servers and stores that send well-framed bytes without end: the memory of the agent that calls them, and of the entry,
//! stays within its bound, the connections are closed, and other requests are served meanwhile.

mod harness;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

use test_case::test_case;

use harness::{Member, agent, completion, folder, get, member, post, until, workspace};

/// Maximum growth of a process's memory while a server sends without end.
const MAX_GROWTH_KB: u64 = 32 << 10;
/// Growth beyond which a process is killed to protect the machine.
const KILL_GROWTH_KB: u64 = 400 << 10;
/// Time for which a server sends without end.
const DURATION: Duration = Duration::from_secs(3);
/// Size of a stored piece, and of a block in the engine, in bytes.
const PIECE_BYTES: u64 = 4_136;
const BLOCK_BYTES: usize = 4_096;

/// What a server sends without end, and in answer to what.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    /// A string in the engine's load, in valid chunks.
    Load,
    /// The same without a length.
    LoadUnframed,
    /// Interim responses instead of the engine's load.
    LoadInterim,
    /// A string in the engine's cache events.
    Events,
    /// Numbers in place of the engine's cache events.
    EventNumbers,
    /// Valid keys in the engine's list of blocks.
    List,
    /// A block of the engine that is to be saved.
    EngineBlock,
    /// The body of the engine's answer to an imported block.
    EngineAnswer,
    /// A block of the store that is to be fetched.
    StoreBlock,
    /// The body of the store's answer to a write.
    StoreAnswer,
}

/// A stand-in of an engine, a plain service and a store.
struct Server {
    addr: String,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    endless: Mutex<Option<Endless>>,
    /// Number of answers without end that were begun, and of those whose connection the other side has closed.
    begun: AtomicU64,
    closed: AtomicU64,
    /// Writes to the store that were accepted, and whether it rejects further ones.
    stored: AtomicU64,
    is_full: AtomicBool,
    /// Blocks of the store by path.
    blocks: Mutex<std::collections::HashMap<String, Vec<u8>>>,
    /// Whether it answers every request.
    is_good: bool,
    /// Before each answer of the store but the first on a connection, it repeats that first one.
    repeats: AtomicBool,
}

impl Server {
    fn start(is_good: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        let state = Arc::new(State { is_good, ..State::default() });
        let shared = state.clone();
        spawn(move || {
            for socket in listener.incoming().flatten() {
                let state = shared.clone();
                spawn(move || state.connection(socket));
            }
        });
        Self { addr, state }
    }

    fn set_endless(&self, endless: Option<Endless>) {
        *self.state.endless.lock().expect("the state") = endless;
    }

    fn begun(&self) -> u64 {
        self.state.begun.load(Ordering::SeqCst)
    }

    /// Waits until the other side has closed every connection on which the server sent without end.
    fn await_closed(&self) {
        assert!(self.begun() > 0, "the server sent without end");
        until("the end of all such connections", || {
            self.begun() == self.state.closed.load(Ordering::SeqCst)
        });
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.set_endless(None);
    }
}

impl State {
    fn connection(&self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = BufReader::new(socket);
        let mut first: Option<Vec<u8>> = None;
        while let Some((method, path, body)) = request(&mut reader) {
            let Some(answer) = self.answer(&mut writer, &method, &path, &body) else {
                return;
            };
            if path.starts_with("/blocks/") && self.repeats.load(Ordering::SeqCst) {
                if let Some(first) = &first {
                    let _ = writer.write_all(first);
                }
                first.get_or_insert_with(|| answer.clone());
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// The answer to a request; `None` once the connection has ended.
    fn answer(
        &self,
        writer: &mut TcpStream,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Option<Vec<u8>> {
        let endless = *self.endless.lock().expect("the state");
        let is = |kind| endless == Some(kind);
        let key = "\"00112233445566778899aabbccddeeff\",";
        let text = String::from_utf8_lossy(body);
        let (path, get) = (path.split('?').next().unwrap_or_default(), method == "GET");
        match path {
            "/load" if is(Endless::Load) => self.send(writer, CHUNKED, "{\"version\":\"", "v1"),
            "/load" if is(Endless::LoadUnframed) => {
                self.send_raw(writer, "HTTP/1.1 200 OK\r\n\r\n{\"version\":\"", "v1")
            }
            "/load" if is(Endless::LoadInterim) => {
                self.send_raw(writer, "", "HTTP/1.1 103 Early\r\n\r\n")
            }
            "/load" => Some(whole(
                200,
                br#"{"running":0,"waiting":0,"prefill_tokens":0,"version":"v1"}"#,
            )),
            "/cache/events" if is(Endless::Events) => {
                self.send(writer, CHUNKED, "{\"events\":[{\"key\":\"", "ab")
            }
            "/cache/events" if is(Endless::EventNumbers) => {
                self.send(writer, CHUNKED, "{\"events\":[", "0,")
            }
            // A gap in the numbers makes the agent read the list.
            "/cache/events" if is(Endless::List) => Some(whole(
                200,
                br#"{"events":[{"seq":99,"key":"00112233445566778899aabbccddeeff","stored":true}]}"#,
            )),
            "/cache/events" => Some(whole(200, br#"{"events":[]}"#)),
            "/cache/blocks" if is(Endless::List) => {
                self.send(writer, CHUNKED, "{\"next\":0,\"keys\":[", key)
            }
            "/cache/blocks" => Some(whole(200, br#"{"next":0,"keys":[]}"#)),
            "/v1/completions" => self.completion(writer, &text),
            "/v1/cancel" => Some(whole(200, b"{}")),
            _ if self.is_good && path.starts_with("/e") => Some(whole(200, b"")),
            "/endless" => self.send(writer, CHUNKED, "", "more and more "),
            "/event" => self.send(writer, EVENTS, "data: on", " and on"),
            "/events" => self.send(writer, EVENTS, "", "data: on\n\n"),
            _ if path.starts_with("/cache/blocks/") => match get {
                true if is(Endless::EngineBlock) => self.send(writer, CHUNKED, "", "block"),
                true => Some(whole(200, &[7; BLOCK_BYTES])),
                false if is(Endless::EngineAnswer) => self.send(writer, CHUNKED, "", "ok "),
                false => Some(whole(200, b"")),
            },
            _ if path.starts_with("/blocks/") => self.store(writer, method, path, body, endless),
            _ => Some(whole(200, body)),
        }
    }

    fn completion(&self, writer: &mut TcpStream, body: &str) -> Option<Vec<u8>> {
        if !self.is_good && body.contains("endless tokens") {
            let token = "data: {\"choices\":[{\"text\":\"word \",\"tokens\":1}]}\n\n";
            return self.send(writer, EVENTS, "", token);
        }
        if !self.is_good && body.contains("endless line") {
            return self.send(writer, EVENTS, "data: {\"choices\":[{\"text\":\"", "word ");
        }
        if !self.is_good && body.contains("endless comments") {
            return self.send(writer, EVENTS, "", ": nothing yet\n\n");
        }
        let events = "data: {\"choices\":[{\"text\":\"word\",\"tokens\":1}]}\n\n\
                      data: {\"usage\":{\"computed_tokens\":1000,\"cached_tokens\":0}}\n\n\
                      data: [DONE]\n\n";
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n",
            events.len()
        );
        Some((head + events).into_bytes())
    }

    fn store(
        &self,
        writer: &mut TcpStream,
        method: &str,
        path: &str,
        body: &[u8],
        endless: Option<Endless>,
    ) -> Option<Vec<u8>> {
        let mut blocks = self.blocks.lock().expect("the state");
        match method {
            "GET" if endless == Some(Endless::StoreBlock) => {
                drop(blocks);
                self.send(writer, CHUNKED, "", "block")
            }
            "GET" => match blocks.get(path) {
                Some(block) => Some(whole(200, block)),
                None => Some(whole(404, b"")),
            },
            "PUT" if endless == Some(Endless::StoreAnswer) => {
                drop(blocks);
                self.send(writer, CHUNKED, "", "stored ")
            }
            "PUT" if self.is_full.load(Ordering::SeqCst) => Some(whole(503, b"")),
            "PUT" => {
                blocks.insert(path.to_owned(), body.to_vec());
                self.stored.fetch_add(1, Ordering::SeqCst);
                Some(whole(200, b""))
            }
            _ => Some(whole(200, b"")),
        }
    }

    /// Sends a body without end in chunks, until the other side closes the connection.
    fn send(&self, writer: &mut TcpStream, head: &str, first: &str, then: &str) -> Option<Vec<u8>> {
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let first = if first.is_empty() { String::new() } else { chunk(first) };
        self.send_raw(writer, &format!("{head}{first}"), &chunk(&then.repeat(1_000)))
    }

    fn send_raw(&self, writer: &mut TcpStream, first: &str, then: &str) -> Option<Vec<u8>> {
        self.begun.fetch_add(1, Ordering::SeqCst);
        let _ = writer.set_write_timeout(Some(Duration::from_millis(100)));
        let block = then.repeat((64 << 10) / then.len() + 1);
        let mut rest = first.as_bytes();
        loop {
            if rest.is_empty() {
                rest = block.as_bytes();
            }
            match writer.write(rest) {
                Ok(count) => rest = &rest[count..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => {
                    self.closed.fetch_add(1, Ordering::SeqCst);
                    return None;
                }
            }
        }
    }
}

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENTS: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

fn whole(status: u16, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

fn request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let line = |reader: &mut BufReader<TcpStream>| {
        let mut line = String::new();
        (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    };
    let first = line(reader)?;
    let mut words = first.split(' ').map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let mut length = 0;
    loop {
        let header = line(reader)?.to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, path, body))
}

/// Measures the memory of processes, and kills one that grows beyond [`KILL_GROWTH_KB`].
struct Watch {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<u64>>,
}

impl Watch {
    fn start(members: &[&Member]) -> Self {
        let ids: Vec<u32> = members.iter().map(|member| member.process.child.id()).collect();
        let before: Vec<u64> = ids.iter().map(|id| memory_kb(*id).unwrap_or(0)).collect();
        let stop: Arc<AtomicBool> = Arc::default();
        let stopped = stop.clone();
        let thread = spawn(move || {
            let mut growth = vec![0; ids.len()];
            while !stopped.load(Ordering::SeqCst) {
                for (index, id) in ids.iter().enumerate() {
                    let grown = memory_kb(*id).unwrap_or(0).saturating_sub(before[index]);
                    growth[index] = growth[index].max(grown);
                    if grown > KILL_GROWTH_KB {
                        println!("process {id} is killed: growth {grown} KB");
                        let _ = std::process::Command::new("kill")
                            .args(["-KILL", &id.to_string()])
                            .status();
                    }
                }
                sleep(Duration::from_millis(10));
            }
            growth
        });
        Self { stop, thread }
    }

    /// Asserts that no process has grown by more than [`MAX_GROWTH_KB`].
    fn finish(self, what: &str) {
        self.stop.store(true, Ordering::SeqCst);
        let growth = self.thread.join().expect("the watch ends");
        println!("{what}: growth {growth:?} KB");
        assert!(growth.iter().all(|grown| *grown <= MAX_GROWTH_KB), "{what}: {growth:?} KB");
    }
}

fn memory_kb(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// Starts an entry that knows a store.
fn entry(folder: &Path, store: &str) -> Member {
    let text = format!(
        "[process]\nname = entry-1\nroles = entry, keeper\nlink = 127.0.0.1:0\noperators = 127.0.0.1:0\n\
         data = {}\n[keeper]\nvoters = entry-1\n[entry]\ncallers = 127.0.0.1:0\n\
         [stores]\nstore-1 = {store}\n",
        folder.join("entry-1").display()
    );
    let member = member(folder, "entry-1", &text);
    workspace(&member.operators);
    member
}

/// A system of an entry and the agents of a faulty engine, which is also the store, and of the same as a plain service.
/// Another engine and plain service are without fault.
struct System {
    server: Server,
    entry: Member,
    engine: Member,
    plain: Member,
    _good: (Server, Vec<Member>),
}

impl System {
    fn start(name: &str, with_good: bool) -> Self {
        let folder = folder(&format!("endless-{name}"));
        let (server, good) = (Server::start(false), Server::start(true));
        let entry = entry(&folder, &server.addr);
        let more = format!("serves = demo\n[stores]\nstore-1 = {}", server.addr);
        let engine = agent(&folder, "agent-1", &server.addr, &more, &entry.link);
        let more = "kind = plain\nserves = probes";
        let plain = agent(&folder, "agent-2", &server.addr, more, &entry.link);
        let mut others = Vec::new();
        if with_good {
            others.push(agent(&folder, "agent-3", &good.addr, "serves = demo", &entry.link));
            others.push(agent(&folder, "agent-4", &good.addr, more, &entry.link));
        }
        let system = Self { server, entry, engine, plain, _good: (good, others) };
        until("a served prompt", || system.prompt("short") == 200);
        until("a served call", || system.call("/svc/probes/short") == 200);
        system
    }

    fn prompt(&self, prompt: &str) -> u16 {
        post(&self.entry.callers, "/v1/completions", &completion(prompt, 20, false), &[]).0
    }

    fn call(&self, path: &str) -> u16 {
        post(&self.entry.callers, path, "x", &[]).0
    }

    fn watch(&self) -> Watch {
        Watch::start(&[&self.engine, &self.plain, &self.entry])
    }

    /// Sends short requests for a while, all of which must be served.
    fn serve(&self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            assert_eq!(self.prompt("short"), 200);
            assert_eq!(self.call("/svc/probes/short"), 200);
            sleep(Duration::from_millis(20));
        }
    }
}

/// A prompt of several pieces that no other one has.
fn long_prompt(number: usize) -> String {
    format!("prompt {number} {}", "word ".repeat(3_000))
}

// Guards against an incident that the operators reported: a replica sent an answer without end, the process that had
// called it kept all of it and ran out of memory, and with it the requests of others.
#[test_case(Endless::Load; "load")]
#[test_case(Endless::LoadUnframed; "load without a length")]
#[test_case(Endless::LoadInterim; "interim responses")]
#[test_case(Endless::Events; "cache events")]
#[test_case(Endless::EventNumbers; "cache events of another shape")]
#[test_case(Endless::List; "list of blocks")]
fn an_endless_answer_to_a_report_is_closed_on(endless: Endless) {
    let system = System::start(&format!("{endless:?}"), false);
    let watch = system.watch();
    system.server.set_endless(Some(endless));
    system.serve(DURATION);
    system.server.set_endless(None);
    watch.finish(&format!("{endless:?}"));
    system.server.await_closed();
}

// Guards against the same in a transfer of cache blocks.
#[test_case(Endless::EngineBlock; "block of the engine")]
#[test_case(Endless::EngineAnswer; "answer of the engine")]
#[test_case(Endless::StoreBlock; "block of the store")]
#[test_case(Endless::StoreAnswer; "answer of the store")]
fn an_endless_answer_to_a_transfer_is_closed_on(endless: Endless) {
    let system = System::start(&format!("{endless:?}"), false);
    let stored = || system.server.state.stored.load(Ordering::SeqCst);
    assert_eq!(system.prompt(&long_prompt(0)), 200);
    until("saved pieces", || stored() >= 3);
    let watch = system.watch();
    system.server.set_endless(Some(endless));
    let end = Instant::now() + DURATION;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        assert_eq!(system.prompt(&long_prompt(number)), 200);
        assert_eq!(system.prompt(&long_prompt(0)), 200);
        system.serve(Duration::from_millis(100));
    }
    system.server.set_endless(None);
    watch.finish(&format!("{endless:?}"));
    system.server.await_closed();
}

// Guards against the same in the answer to a request, whether its caller reads it or not.
#[test_case("/svc/probes/endless", "x", true; "bytes")]
#[test_case("/svc/probes/endless", "x", false; "bytes that are not read")]
#[test_case("/svc/probes/event", "x", true; "an event")]
#[test_case("/svc/probes/events", "x", false; "events that are not read")]
#[test_case("/v1/completions", "endless tokens", true; "tokens")]
#[test_case("/v1/completions", "endless tokens", false; "tokens that are not read")]
#[test_case("/v1/completions", "endless line", true; "a line of a stream")]
#[test_case("/v1/completions", "endless comments", true; "comments of a stream")]
fn an_endless_answer_to_a_request_is_closed_on(path: &str, what: &str, reads: bool) {
    for stream in [false, true] {
        if stream && path != "/v1/completions" {
            continue;
        }
        let name = format!("{path}-{what}-{reads}-{stream}").replace(['/', ' '], "-");
        let system = System::start(&name, true);
        let body = match path {
            "/v1/completions" => completion(what, 100, stream),
            _ => what.to_owned(),
        };
        let watch = system.watch();
        let mut callers = Vec::new();
        until("an answer without end", || {
            callers.push(send(&system.entry.callers, path, &body));
            sleep(Duration::from_millis(50));
            system.server.begun() > 0
        });
        let readers: Vec<_> = callers.into_iter().map(|caller| hold(caller, reads)).collect();
        system.serve(DURATION);
        for reader in readers {
            reader.join().expect("a caller ends");
        }
        watch.finish(&name);
        system.server.await_closed();
    }
}

/// Keeps a caller's connection while the server sends without end, and reads from it or not.
fn hold(mut caller: TcpStream, reads: bool) -> JoinHandle<()> {
    spawn(move || {
        let mut bytes = [0; 8 << 10];
        let end = Instant::now() + DURATION + Duration::from_secs(1);
        let _ = caller.set_read_timeout(Some(Duration::from_millis(200)));
        while Instant::now() < end {
            if !reads {
                sleep(Duration::from_millis(100));
            } else if matches!(caller.read(&mut bytes), Ok(0)) {
                break;
            }
        }
    })
}

/// Sends a request and returns its connection.
fn send(callers: &str, path: &str, body: &str) -> TcpStream {
    let mut socket = TcpStream::connect(callers).expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer demo\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    socket.write_all(head.as_bytes()).expect("a head is sent");
    socket.write_all(body.as_bytes()).expect("a body is sent");
    socket
}

// Guards against parts that an agent keeps without limit for an entry that has stopped reading.
#[test]
fn parts_that_an_entry_does_not_read_are_not_kept_without_limit() {
    let system = System::start("stopped-entry", false);
    let watch = Watch::start(&[&system.plain, &system.engine]);
    let callers: Vec<TcpStream> = (0..6)
        .map(|number| {
            if number % 2 == 0 {
                return send(&system.entry.callers, "/svc/probes/endless", "x");
            }
            let body = completion("endless tokens", 30_000, true);
            send(&system.entry.callers, "/v1/completions", &body)
        })
        .collect();
    until("answers without end", || system.server.begun() >= 6);
    system.entry.process.signal("STOP");
    sleep(DURATION);
    system.entry.process.signal("CONT");
    watch.finish("stopped entry");
    drop(callers);
    system.server.await_closed();
}

// Guards against an answer that a store writes once more on a kept connection and that is taken for the answer to the next
// write: the rejected block counts as stored, and entries send runs that fetch it.
#[test]
fn a_repeated_answer_of_a_store_is_not_taken_for_another_write() {
    let system = System::start("repeats", false);
    let state = &system.server.state;
    state.repeats.store(true, Ordering::SeqCst);
    for number in 0..4 {
        assert_eq!(system.prompt(&long_prompt(number)), 200);
    }
    until("saved pieces", || state.stored.load(Ordering::SeqCst) >= 3);
    state.is_full.store(true, Ordering::SeqCst);
    for number in 4..8 {
        assert_eq!(system.prompt(&long_prompt(number)), 200);
        sleep(Duration::from_millis(100));
    }
    sleep(Duration::from_secs(1));
    let dump = get(&system.engine.operators, "/dump");
    let kept = dump["agent"]["transfers"]["kept_bytes"].as_u64();
    assert_eq!(kept, Some(state.stored.load(Ordering::SeqCst) * PIECE_BYTES), "{dump}");
}
