//! An entry of another writer, with bytes that can't be read, stands in the platform's list while a replica drains.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http;
use crate::replica::Replica;
use crate::system::{KEY, List, Network, System, Unable};

const WORK: Duration = Duration::from_millis(200);
const DRAIN: Duration = Duration::from_millis(3_000);
/// From the start of traffic: the other writer's entry, the drain of one replica, its end, and the end of traffic.
const ENTRY_AT: Duration = Duration::from_secs(5);
const DRAIN_AT: Duration = Duration::from_secs(9);
const END_AT: Duration = Duration::from_secs(17);
const OVER_AT: Duration = Duration::from_secs(19);
const PAUSE: Duration = Duration::from_millis(60);

struct Sent {
    id: String,
    machine: usize,
    at: Instant,
    status: u16,
    complete: bool,
}

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-sync\",\"host\":\"app.example\",\"pathPrefix\":\"/sync/\",\
         \"routeType\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"app\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn request(id: &str) -> Vec<u8> {
    let headers = [
        ("Host", "app.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Key", KEY),
        ("X-Tamarackbank-Timeout-Ms", "3000"),
    ];
    http::request("POST", "/sync/one", &headers, b"probe settings")
}

fn client(
    (machine, addr): (usize, SocketAddr),
    number: usize,
    over: &AtomicBool,
    sent: &Mutex<Vec<Sent>>,
) {
    for turn in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("m{machine}-c{number}-{turn}");
        let at = Instant::now();
        let answer = http::call(addr, &request(&id), Duration::from_secs(4));
        let (status, complete) = (answer.status, answer.complete);
        sent.lock().unwrap().push(Sent { id, machine, at, status, complete });
        thread::sleep(PAUSE);
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    let respond = |replica: &Replica, request: &http::Request, writer: &mut TcpStream| {
        thread::sleep(WORK);
        let load = [("X-Tamarackbank-Server-Load", "1,0,8")];
        writer.write_all(&replica.answer(request, 200, &load, b"done"))
    };
    let mut replicas = Vec::new();
    for (number, id, zone) in [(101, "i-0a", "za"), (102, "i-0b", "zb"), (103, "i-0c", "zc")] {
        replicas.push(Replica::start(&network, number, (id, "app", zone), respond)?);
    }
    let entry = |replica: &Replica, state: &str| replica.entry(state, 1_765_000_000_000, "");
    let list = List::default();
    list.show(replicas.iter().map(|replica| entry(replica, "ready")).collect());
    let addr = list.start(&network)?;
    let system = System::start(&network, addr, (3, 1), "")?;
    system.put(&document())?;
    system.wait_until_served(|number| request(&format!("first-{number}")))?;
    record.line("4 machines serve; traffic of unsafe requests begins");

    let start = Instant::now();
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (machine, found) in system.machines.iter().enumerate() {
        for number in 0..3 {
            let (over, sent, addr) = (over.clone(), sent.clone(), found.front());
            clients.push(thread::spawn(move || client((machine, addr), number, &over, &sent)));
        }
    }
    let wait = |until: Duration| thread::sleep((start + until).saturating_duration_since(Instant::now()));

    wait(ENTRY_AT);
    // Latin-1 in a name: no UTF-8, which JSON is.
    let other = [
        &b"{\"id\":\"w-1\",\"service\":\"entrep\xf4t\",\"address\":\"127.0.0.1:9\",\"zone\":\"za\","[..],
        &b"\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1765000000000,\"models\":[]}"[..],
    ]
    .concat();
    let others = if trouble { vec![other] } else { Vec::new() };
    let show = |entries: Vec<Vec<u8>>| list.show(entries.into_iter().chain(others.clone()).collect());
    show(replicas.iter().map(|replica| entry(replica, "ready")).collect());
    record.line(if trouble { "the list has an entry of another writer" } else { "the list stays as it is" });

    wait(DRAIN_AT);
    let leaving = replicas.remove(0);
    let staying = || replicas.iter().map(|replica| entry(replica, "ready"));
    show([entry(&leaving, "draining")].into_iter().chain(staying()).collect());
    let drained_at = Instant::now();
    let reads = list.reads();
    record.line(&format!("the list shows {} as draining", leaving.id));

    wait(END_AT);
    show(staying().collect());
    leaving.end();
    record.line(&format!("{} has ended, and the list shows it no more", leaving.id));
    let reads = list.reads() - reads;

    wait(OVER_AT);
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let arrivals = leaving.arrivals();
    let sent = sent.lock().unwrap();
    let (mut late, mut lost, mut refused) = (0, 0, 0);
    for sent in sent.iter() {
        let arrival = arrivals.iter().find(|found| found.id() == sent.id);
        let ran = arrival.map_or("", |_| " ran at the replica that drains");
        let is_late = sent.at > drained_at + DRAIN && arrival.is_some();
        let is_lost = is_late && !(sent.status == 200 && sent.complete);
        late += usize::from(is_late);
        lost += usize::from(is_lost);
        refused += usize::from(sent.status == 503);
        let mark = if is_lost { " LATE, LOST" } else if is_late { " LATE" } else { "" };
        let text = format!("{} at machine {}: {}{ran}{mark}", sent.id, sent.machine + 1, sent.status);
        record.line_at(sent.at, &text);
    }
    record.line(&format!(
        "{} requests; {reads} reads of the list during the drain; sent more than {} ms after the list showed it as \
         draining, and run there: {late}; of these without an answer: {lost}; refused in all: {refused}",
        sent.len(),
        DRAIN.as_millis()
    ));
    if sent.len() < 200 || reads == 0 {
        return Err(Unable("too little was sent, or the list was not read".to_owned()));
    }
    Ok(late == 0)
}
