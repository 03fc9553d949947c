//! A request that crashes the replicas that begin to run it comes again at the machine through which all clients of its
//! service come.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{self, Request};
use crate::replica::Replica;
use crate::system::{KEY, List, Network, System, Unable};

const WORK: Duration = Duration::from_millis(400);
const CLIENTS: usize = 20;
/// A replica that has crashed is back after this time, and in the list after its lag.
const DOWN: Duration = Duration::from_millis(3_000);
const LIST_LAG: Duration = Duration::from_millis(800);
const COMINGS: usize = 12;
const INTERVAL: Duration = Duration::from_millis(6_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Retries after the third crash that the rule allows.
const ALLOWED: usize = 3;
const FIRST_BORN: u64 = 1_765_000_000_000;
const POISON: &str = "/sync/poison";

fn document() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"r-sync\",\"host\":\"app.example\",\"pathPrefix\":\"/sync/\",\
         \"routeType\":\"unsafe\",\"timeoutMs\":5000,\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"app\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

fn request(id: &str, path: &str, body: &str) -> Vec<u8> {
    let headers = [
        ("Host", "app.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Key", KEY),
        ("X-Tamarackbank-Timeout-Ms", "5000"),
    ];
    http::request("POST", path, &headers, body.as_bytes())
}

/// The places of the replicas, each with the one that runs there now and how often one has started there.
struct Fleet {
    replicas: Mutex<Vec<(Replica, u64)>>,
    list: List,
    harmful: bool,
    crashes: Mutex<Vec<Instant>>,
    record: Record,
}

impl Fleet {
    fn show(&self) {
        let replicas = self.replicas.lock().unwrap();
        let entry = |(replica, starts): &(Replica, u64)| {
            replica.entry("ready", FIRST_BORN + starts * 10_000, "")
        };
        self.list.show(replicas.iter().map(entry).collect());
    }

    fn respond(
        self: &Arc<Self>,
        replica: &Replica,
        request: &Request,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        if request.path == POISON && self.harmful {
            let (fleet, crashed) = (self.clone(), replica.clone());
            thread::spawn(move || fleet.crash(&crashed));
            thread::sleep(Duration::from_secs(1));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        thread::sleep(WORK);
        if replica.has_ended() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        writer.write_all(&replica.answer(request, 200, &[], b"done"))
    }

    fn crash(self: &Arc<Self>, crashed: &Replica) {
        crashed.end();
        self.crashes.lock().unwrap().push(Instant::now());
        self.record.line(&format!("{} has crashed", crashed.id));
        thread::sleep(DOWN);
        let fleet = self.clone();
        let respond = move |replica: &Replica, request: &Request, writer: &mut TcpStream| {
            fleet.respond(replica, request, writer)
        };
        let names = (crashed.id.as_str(), "app", crashed.zone.as_str());
        let Ok(started) = Replica::start_at(crashed.addr, names, "v1", respond) else { return };
        started.keep_arrivals_of(crashed);
        self.record.line(&format!("{} is back", started.id));
        thread::sleep(LIST_LAG);
        for (replica, starts) in self.replicas.lock().unwrap().iter_mut() {
            if replica.id == started.id {
                (*replica, *starts) = (started.clone(), *starts + 1);
            }
        }
        self.show();
    }
}

fn client(
    addr: SocketAddr,
    number: usize,
    over: &AtomicBool,
    sent: &Mutex<Vec<(String, Instant, u16)>>,
) {
    for turn in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{number}-{turn}");
        let at = Instant::now();
        let answer = http::call(addr, &request(&id, "/sync/one", &id), Duration::from_secs(6));
        sent.lock().unwrap().push((id, at, answer.status));
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    let list = List::default();
    let fleet = Arc::new(Fleet {
        replicas: Mutex::default(),
        list: list.clone(),
        harmful: trouble,
        crashes: Mutex::default(),
        record: record.clone(),
    });
    for (number, id, zone) in
        [(101, "i-5a", "za"), (102, "i-5b", "zb"), (103, "i-5c", "zc"), (104, "i-5d", "za")]
    {
        let serving = fleet.clone();
        let respond = move |replica: &Replica, request: &Request, writer: &mut TcpStream| {
            serving.respond(replica, request, writer)
        };
        let replica = Replica::start(&network, number, (id, "app", zone), respond)?;
        fleet.replicas.lock().unwrap().push((replica, 0));
    }
    fleet.show();
    let addr = list.start(&network)?;
    let system = System::start(&network, addr, (3, 1), "")?;
    system.put(&document())?;
    system.wait_until_served(|number| request(&format!("first-{number}"), "/sync/one", "first"))?;
    let front = system.machines[3].front();
    record.line("4 machines serve; the clients of the service come at machine 4");

    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (over, sent) = (over.clone(), sent.clone());
        clients.push(thread::spawn(move || client(front, number, &over, &sent)));
    }
    thread::sleep(Duration::from_secs(3));
    let (mut ran, mut late) = (0, 0);
    for coming in 0..COMINGS {
        let id = format!("poison-{coming}");
        let at = Instant::now();
        let answer =
            http::call(front, &request(&id, POISON, "the same each time"), Duration::from_secs(6));
        let reached = |replicas: &[(Replica, u64)]| {
            replicas
                .iter()
                .any(|(replica, _)| replica.arrivals().iter().any(|found| found.id() == id))
        };
        let reached = reached(&fleet.replicas.lock().unwrap());
        let third_crash = fleet.crashes.lock().unwrap().get(2).copied();
        let is_late = reached && third_crash.is_some_and(|third| at > third + STABLE_WINDOW);
        ran += usize::from(reached);
        late += usize::from(is_late);
        let how = if reached { "reached a replica" } else { "reached no replica" };
        let mark = if is_late { " LATE" } else { "" };
        record.line(&format!("{id}: {} {how}{mark}", answer.status));
        thread::sleep((at + INTERVAL).saturating_duration_since(Instant::now()));
    }
    over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let mut lost = 0;
    for (id, at, status) in sent.iter().filter(|(.., status)| *status != 200) {
        lost += usize::from(*status == 502 || *status == 0);
        record.line_at(*at, &format!("{id}: {status}"));
    }
    record.line(&format!(
        "{COMINGS} comings, {ran} reached a replica, {late} of them later than {} ms after the third crash ({ALLOWED} are \
         allowed); {} ordinary unsafe requests, of which {lost} ran and were lost",
        STABLE_WINDOW.as_millis(),
        sent.len()
    ));
    if sent.len() < 500 {
        return Err(Unable("too little was sent".to_owned()));
    }
    Ok(late <= ALLOWED)
}
