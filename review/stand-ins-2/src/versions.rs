//! A replica starts again under its ID with other software, and crashes again while it writes streams.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{self, Answer, Request};
use crate::replica::Replica;
use crate::system::{KEY, List, Network, System, Unable};

const EVENTS: usize = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// The list lags by this time.
const LIST_LAG: Duration = Duration::from_millis(800);
/// From the start of traffic: the first crash, and the end of traffic.
const FIRST_CRASH_AT: Duration = Duration::from_secs(5);
const OVER_AT: Duration = Duration::from_secs(40);
const CRASHES: usize = 16;
const DOWN: Duration = Duration::from_millis(200);
const UP: Duration = Duration::from_millis(700);
/// Between the last crash of a series and the next series.
const PAUSE: Duration = Duration::from_millis(2_500);
/// The rule allows two streams.
const ALLOWED: usize = 2;

struct Stream {
    id: String,
    machine: usize,
    at: Instant,
    answer: Answer,
}

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-draft\",\"host\":\"llm.example\",\"pathPrefix\":\"/draft/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":2000,\"priority\":0,\"service\":\"llm\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":true,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn request(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "llm.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Key", KEY),
        ("X-Tamarackbank-Timeout-Ms", "12000"),
    ];
    http::request("POST", "/draft/one", &headers, b"draft a reply")
}

/// Writes a stream whose events name the software that made them.
fn respond(replica: &Replica, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
    if request.path.starts_with("/v1/") {
        return writer.write_all(&http::answer(404, &[], b""));
    }
    let id = request.header("x-tamarackbank-request-id").unwrap_or_default();
    let after = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Tamarackbank-Request-Id: {id}\r\nX-Tamarackbank-Server-Signature: {}.{id}\r\n\r\n",
        replica.id
    );
    writer.write_all(head.as_bytes())?;
    for number in after + 1..=EVENTS {
        if replica.has_ended() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let event = format!("id: {number}\ndata: {} {}\n\n", replica.software, replica.id);
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    writer.write_all(b"0\r\n\r\n")
}

fn client(
    (machine, addr): (usize, SocketAddr),
    number: usize,
    over: &AtomicBool,
    streams: &Mutex<Vec<Stream>>,
) {
    // Streams begin at all times.
    thread::sleep(Duration::from_millis(430 * number as u64 + 50 * machine as u64));
    for turn in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("m{machine}-c{number}-{turn}");
        let at = Instant::now();
        let answer = http::call(addr, &request(&id), Duration::from_secs(12));
        streams.lock().unwrap().push(Stream { id, machine, at, answer });
        thread::sleep(Duration::from_millis(150));
    }
}

/// The software versions and replicas in the order of a stream's events.
fn makers(answer: &Answer) -> (Vec<String>, Vec<String>) {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let (mut versions, mut replicas) = (Vec::new(), Vec::new());
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let (version, replica) = data.split_once(' ').unwrap_or((data, ""));
        versions.push(version.to_owned());
        replicas.push(replica.to_owned());
    }
    versions.dedup();
    replicas.dedup();
    (versions, replicas)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    let mut replicas = Vec::new();
    let mut start_replica = |number: u8, id: &str, zone: &str, software: &str| {
        let addr = SocketAddr::new(network.ip(number), 0);
        let replica = Replica::start_at(addr, (id, "llm", zone), software, respond)?;
        replicas.push(replica);
        Ok::<(), Unable>(())
    };
    start_replica(101, "i-2a", "za", "v1")?;
    start_replica(102, "i-2b", "zb", "v1")?;
    start_replica(103, "i-2c", "zc", "v1")?;
    start_replica(104, "i-2d", "za", "v2")?;
    let list = List::default();
    let others: Vec<Vec<u8>> =
        replicas[1..].iter().map(|replica| replica.entry("ready", 1_765_000_000_000, "")).collect();
    let show = |list: &List, replica: &Replica, born: u64| {
        let first = replica.entry("ready", born, "");
        list.show([first].into_iter().chain(others.clone()).collect());
    };
    let mut born = 1_765_000_000_000;
    show(&list, &replicas[0], born);
    let addr = list.start(&network)?;
    let system = System::start(&network, addr, (3, 5), "")?;
    system.put(&document())?;
    system.wait_until_served(|number| request(&format!("first-{number}")))?;
    record.line("8 machines serve; traffic of resumable streams begins");

    let start = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let streams = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (machine, found) in system.machines.iter().enumerate() {
        for number in 0..3 {
            let (over, streams, addr) = (over.clone(), streams.clone(), found.front());
            clients.push(thread::spawn(move || client((machine, addr), number, &over, &streams)));
        }
    }
    thread::sleep(FIRST_CRASH_AT);
    let mut current = replicas[0].clone();
    let addr = current.addr;
    for crash in 0..CRASHES {
        current.end();
        record.line(&format!("{} of {} crashes", current.id, current.software));
        thread::sleep(DOWN);
        born += 10_000;
        // Without the disruption it starts again with the software that it had.
        let software = if trouble && crash % 2 == 0 { "v2" } else { "v1" };
        current = Replica::start_at(addr, ("i-2a", "llm", "za"), software, respond)?;
        record.line(&format!("{} starts again, with {software}", current.id));
        let (list, shown, others) = (list.clone(), current.clone(), others.clone());
        thread::spawn(move || {
            thread::sleep(LIST_LAG);
            let first = shown.entry("ready", born, "");
            list.show([first].into_iter().chain(others).collect());
        });
        thread::sleep(if crash % 2 == 0 { UP } else { PAUSE });
    }
    thread::sleep((start + OVER_AT).saturating_duration_since(Instant::now()));
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let streams = streams.lock().unwrap();
    let (mut mixed, mut resumed, mut complete) = (0, 0, 0);
    for Stream { id, machine, at, answer } in streams.iter() {
        let (versions, replicas) = makers(answer);
        mixed += usize::from(versions.len() > 1);
        resumed += usize::from(replicas.len() > 1);
        complete += usize::from(answer.complete);
        let mark = if versions.len() > 1 { " MIXED" } else { "" };
        let end = if answer.complete { "complete" } else { "cut" };
        let text = format!(
            "{id} at machine {}: {} {end}, events of {} by {}{mark}",
            machine + 1,
            answer.status,
            versions.join(" then "),
            replicas.join(" then ")
        );
        record.line_at(*at, &text);
    }
    record.line(&format!(
        "{} streams, {complete} complete, {resumed} went on at another replica, {mixed} hold events of two software versions \
         ({ALLOWED} are allowed)",
        streams.len()
    ));
    if complete < 50 {
        return Err(Unable("too few streams were complete".to_owned()));
    }
    Ok(mixed <= ALLOWED)
}
