//! Many clients of one machine read large answers slowly.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::http::{self, Request};
use crate::replica::Replica;
use crate::system::{KEY, List, Machine, Network, System, Unable};

const READERS: usize = 600;
const ANSWER: usize = 4 << 20;
/// A reader takes this much at each turn.
const PIECE: usize = 2 << 10;
const TURN: Duration = Duration::from_millis(500);
/// A reader leaves after this time, and another one comes.
const STAY: Duration = Duration::from_secs(10);
/// The most that come at one machine.
const MOST: usize = 6 * READERS;
/// A replica cuts off an answer that remains unread for so long.
const UNREAD: Duration = Duration::from_secs(5);
/// The machine's memory (`limits.memoryMb`).
const MEMORY_MB: u64 = 110;
const TIME: Duration = Duration::from_secs(60);
/// The rule speaks of two machines and three ends.
const ENDS: usize = 3;

fn document() -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"{kind}\",\
             \"timeoutMs\":60000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"app\",\"maxAttempts\":1,\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConns\":2000,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-board", "/board/", "safe"),
        route("r-sync", "/sync/", "unsafe")
    )
}

fn request(id: &str, path: &str) -> Vec<u8> {
    let headers = [
        ("Host", "app.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Key", KEY),
        ("X-Tamarackbank-Timeout-Ms", "60000"),
    ];
    http::request("POST", path, &headers, b"")
}

fn respond(
    replica: &Replica,
    request: &Request,
    writer: &mut TcpStream,
    board: &[u8],
) -> io::Result<()> {
    writer.set_write_timeout(Some(UNREAD))?;
    if request.path.starts_with("/board/") {
        let head = replica.answer(request, 200, &[("X-Board", "all")], b"");
        let head = String::from_utf8_lossy(&head)
            .replace("Content-Length: 0", &format!("Content-Length: {ANSWER}"));
        writer.write_all(head.as_bytes())?;
        return writer.write_all(board);
    }
    thread::sleep(Duration::from_millis(200));
    writer.write_all(&replica.answer(request, 200, &[], b"done"))
}

/// Keeps the readers of one machine connected, and reads their answers a little at a time or at once.
fn read_all(addr: SocketAddr, slow: bool, over: &AtomicBool, read: &AtomicUsize) {
    let mut sockets = Vec::new();
    let mut piece = vec![0; if slow { PIECE } else { 1 << 20 }];
    let mut next_turn = Instant::now();
    let mut number = 0;
    while !over.load(Ordering::SeqCst) {
        for _ in 0..8 {
            if sockets.len() == READERS || number >= MOST {
                break;
            }
            let Ok(mut socket) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else {
                break;
            };
            number += 1;
            if socket.write_all(&request(&format!("reader-{addr}-{number}"), "/board/all")).is_ok()
            {
                let _ = socket.set_nonblocking(true);
                sockets.push((socket, Instant::now()));
            }
        }
        if !slow || Instant::now() >= next_turn {
            next_turn = Instant::now() + TURN;
            sockets.retain_mut(|(socket, since)| match socket.read(&mut piece) {
                _ if since.elapsed() > STAY => false,
                Ok(0) => false,
                Ok(count) => {
                    read.fetch_add(count, Ordering::SeqCst);
                    true
                }
                Err(error) => error.kind() == ErrorKind::WouldBlock,
            });
        }
        thread::sleep(Duration::from_millis(2));
    }
}

/// Ends the machine's process each time it uses more than its memory, and starts it again, as the platform does. Returns the
/// most that it used and how often it was ended.
fn watch(machine: &mut Machine, until: Instant, record: &Record) -> (u64, usize) {
    let (mut most, mut ends) = (0, 0);
    while Instant::now() < until && ends < ENDS {
        let used = machine.memory_mb();
        most = most.max(used);
        if used > MEMORY_MB {
            record.line(&format!(
                "{} uses {used} MB of {MEMORY_MB}: the platform kills the process",
                machine.ip
            ));
            machine.kill();
            ends += 1;
            thread::sleep(Duration::from_secs(1));
            if machine.start(false).is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    (most, ends)
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    let board = Arc::new(vec![b'b'; ANSWER]);
    let mut replicas = Vec::new();
    for (number, id, zone) in [(101, "i-4a", "za"), (102, "i-4b", "zb"), (103, "i-4c", "zc")] {
        let board = board.clone();
        let respond = move |replica: &Replica, request: &Request, writer: &mut TcpStream| {
            respond(replica, request, writer, &board)
        };
        replicas.push(Replica::start(&network, number, (id, "app", zone), respond)?);
    }
    let list = List::default();
    list.show(replicas.iter().map(|found| found.entry("ready", 1_765_000_000_000, "")).collect());
    let addr = list.start(&network)?;
    let mut system = System::start(&network, addr, (3, 2), "")?;
    system.put(&document())?;
    system.wait_until_served(|number| request(&format!("first-{number}"), "/sync/one"))?;
    record.line(&format!(
        "{READERS} clients of each of two machines ask for answers of {} KB",
        ANSWER >> 10
    ));

    let over = AtomicBool::new(false);
    let read = AtomicUsize::new(0);
    let ordinary = Mutex::new(Vec::new());
    let ends: Vec<(u64, usize)> = thread::scope(|scope| {
        let until = Instant::now() + TIME;
        let mut watches = Vec::new();
        for machine in &mut system.machines[3..] {
            let front = machine.front();
            let (over, read, ordinary) = (&over, &read, &ordinary);
            scope.spawn(move || read_all(front, trouble, over, read));
            for number in 0..3 {
                scope.spawn(move || {
                    for turn in 0.. {
                        if over.load(Ordering::SeqCst) {
                            return;
                        }
                        let id = format!("ordinary-{front}-{number}-{turn}");
                        let answer =
                            http::call(front, &request(&id, "/sync/one"), Duration::from_secs(5));
                        ordinary.lock().unwrap().push((id, answer.status));
                        thread::sleep(Duration::from_millis(50));
                    }
                });
            }
            watches.push(scope.spawn(move || watch(machine, until, record)));
        }
        let ends = watches.into_iter().map(|watch| watch.join().unwrap_or_default()).collect();
        thread::sleep(Duration::from_millis(500));
        over.store(true, Ordering::SeqCst);
        ends
    });
    let arrivals: Vec<_> = replicas.iter().flat_map(Replica::arrivals).collect();
    let ran = |id: &str| arrivals.iter().any(|found| found.id() == id);
    let asked = arrivals.iter().filter(|found| found.path.starts_with("/board/")).count();
    let ordinary = ordinary.lock().unwrap();
    let lost = ordinary.iter().filter(|(id, status)| *status == 0 && ran(id)).count();
    for (id, status) in ordinary.iter() {
        record.line(&format!("{id}: {status}{}", if ran(id) { ", ran" } else { "" }));
    }
    let most = ends.iter().map(|(most, _)| *most).max().unwrap_or(0);
    let counts: Vec<usize> = ends.iter().map(|(_, ends)| *ends).collect();
    record.line(&format!(
        "ends of the processes of two machines: {counts:?}; most memory {most} MB of {MEMORY_MB}; {asked} readers' requests \
         ran, {} KB read; {} ordinary unsafe requests, of which {lost} ran and got no answer",
        read.load(Ordering::SeqCst) >> 10,
        ordinary.len()
    ));
    if asked < READERS / 2 {
        return Err(Unable("too few answers were asked for".to_owned()));
    }
    Ok(counts.iter().any(|ends| *ends < ENDS))
}
