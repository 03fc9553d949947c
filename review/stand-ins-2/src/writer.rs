//! An entry of another writer, in which a field is missing, names a replica of one service as one of another.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::http::{self, Request};
use crate::replica::Replica;
use crate::system::{KEY, List, Network, System, Unable};

const WORK: Duration = Duration::from_millis(30);
/// The list is read every second.
const SETTLE: Duration = Duration::from_secs(4);
const ROUNDS: usize = 15;
const BORN: u64 = 1_765_000_000_000;

fn document() -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"pathPrefix\":\"{prefix}\",\"routeType\":\"unsafe\",\
             \"timeoutMs\":3000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":1,\
             \"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\"tls\":false}}")
    };
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{},{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        route("r-sync", "/sync/", "sync"),
        route("r-desk", "/desk/", "desk"),
        service("sync"),
        service("desk")
    )
}

fn request(id: &str, path: &str) -> Vec<u8> {
    let headers = [
        ("Host", "app.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Key", KEY),
        ("X-Tamarackbank-Timeout-Ms", "3000"),
    ];
    http::request("POST", path, &headers, b"one change")
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    let respond = |replica: &Replica, request: &Request, writer: &mut TcpStream| {
        thread::sleep(WORK);
        let body = format!("done by {}", replica.service);
        writer.write_all(&replica.answer(request, 200, &[], body.as_bytes()))
    };
    let mut replicas = Vec::new();
    let places = [(101, "i-3a", "sync", "za"), (102, "i-3b", "sync", "zb"), (103, "i-3c", "desk", "zc"), (104, "i-3d", "desk", "za")];
    for (number, id, service, zone) in places {
        replicas.push(Replica::start(&network, number, (id, service, zone), respond)?);
    }
    let entries = || -> Vec<Vec<u8>> { replicas.iter().map(|found| found.entry("ready", BORN, "")).collect() };
    let list = List::default();
    list.show(entries());
    let addr = list.start(&network)?;
    let system = System::start(&network, addr, (3, 1), "")?;
    system.put(&document())?;
    system.wait_until_served(|number| request(&format!("first-{number}"), "/sync/one"))?;
    record.line("4 machines serve");

    if trouble {
        // Complete but for `coldLeftMs`.
        let Replica { id, addr, zone, .. } = &replicas[2];
        let other = format!(
            "{{\"id\":\"{id}\",\"service\":\"sync\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"born\":{BORN},\"stage\":\"colocated\",\"models\":[]}}"
        );
        record.line(&format!("an entry of another writer: {other}"));
        list.show(entries().into_iter().chain([other.into_bytes()]).collect());
    }
    thread::sleep(SETTLE);
    let mut served = 0;
    for round in 0..ROUNDS {
        for (machine, found) in system.machines.iter().enumerate() {
            for path in ["/sync/one", "/desk/one"] {
                let id = format!("m{machine}-{}-{round}", &path[1..5]);
                let answer = http::call(found.front(), &request(&id, path), Duration::from_secs(4));
                served += usize::from(answer.status == 200 && answer.complete);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                record.line(&format!("{id} at machine {}: {} {body}", machine + 1, answer.status));
            }
        }
    }
    let mut astray = 0;
    for replica in &replicas {
        for arrival in replica.arrivals() {
            if !arrival.path.starts_with(&format!("/{}/", replica.service)) {
                astray += 1;
                let text = format!("{} {} ran at {} of {} BROKEN", arrival.id(), arrival.path, replica.id, replica.service);
                record.line_at(arrival.at, &text);
            }
        }
    }
    record.line(&format!(
        "{served} of {} served; run by a service to which the configuration doesn't send them: {astray}",
        2 * ROUNDS * system.machines.len()
    ));
    if served < ROUNDS * system.machines.len() {
        return Err(Unable("too few requests were served".to_owned()));
    }
    Ok(astray == 0)
}
