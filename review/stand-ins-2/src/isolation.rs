//! A tenant becomes isolated by a change of the configuration, after its prompts have been cached.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::http::{self, Request};
use crate::replica::Replica;
use crate::system::{KEY, List, Network, System, Unable};

const OTHER_KEY: &str = "key-of-second-tenant";
const MODEL: &str = "m0";
/// Part of a prompt that both tenants use: the text of a common instruction.
const SHARED: &str = "5c1e07a2";
const CONVERGE: Duration = Duration::from_millis(2_000);
const SETTLE: Duration = Duration::from_millis(3_500);

/// What one replica keeps: which tenant's request made a part, by salt and ID.
type Cache = Arc<Mutex<HashMap<(String, String), String>>>;

fn document(version: u64, isolated: bool) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-tip\",\"host\":\"llm.example\",\"pathPrefix\":\"/tip/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":2000,\"priority\":0,\"service\":\"llm\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":8,\"kvCapacityTokens\":43407,\"kvTokenBytes\":163840,\"linkMbps\":2200000.0,\
         \"moves\":true,\"backups\":true,\"managed\":true,\"stride\":6,\"maxConcurrency\":12,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"{MODEL}\"}}]}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"first\",\"apiKeys\":[\"{KEY}\"],\"priority\":1,\"isolated\":{isolated}}},\
         {{\"name\":\"second\",\"apiKeys\":[\"{OTHER_KEY}\"],\"priority\":1,\"isolated\":false}}]}}"
    )
}

fn prompt(id: &str, key: &str, own: usize) -> Vec<u8> {
    let parts = format!("{SHARED}:800,{:x}:250", 0xe444_0000 + own);
    let headers = [
        ("Host", "llm.example"),
        ("X-Tamarackbank-Request-Id", id),
        ("X-Tamarackbank-Model", MODEL),
        ("X-Tamarackbank-Token-Usage", "1050,20"),
        ("X-Tamarackbank-Prefix-Hash", &parts),
        ("X-Tamarackbank-Timeout-Ms", "12000"),
        ("X-Tamarackbank-Key", key),
    ];
    http::request("POST", "/tip/one", &headers, b"prompt")
}

/// A request that used a part which another tenant's request made.
struct Use {
    id: String,
    tenant: String,
    maker: String,
    isolated: bool,
}

fn respond(
    replica: &Replica,
    request: &Request,
    cache: &Cache,
    uses: &Mutex<Vec<Use>>,
    isolated: &AtomicBool,
) -> Vec<u8> {
    if request.path == "/v1/report" {
        let body = format!(
            "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
             \"seq\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":43407,\"handles\":0,\"clock_ms\":1765000000000}}"
        );
        return http::answer(200, &[("Content-Type", "application/json")], body.as_bytes());
    }
    if request.path.starts_with("/v1/kv-") {
        let body = b"{\"bootEpoch\":77,\"next\":1,\"lost\":false,\"events\":[],\"held\":[],\"clock_ms\":1765000000000}";
        thread::sleep(Duration::from_millis(200));
        return http::answer(200, &[("Content-Type", "application/json")], body);
    }
    let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
    let (salt, tenant) = (header("x-tamarackbank-cache-salt"), header("x-tamarackbank-tenant"));
    let parts = header("x-tamarackbank-prefix-hash");
    let mut kept = cache.lock().unwrap();
    let mut reads = true;
    for part in parts.split(',').filter_map(|part| part.split_once(':')).map(|(id, _)| id) {
        let place = (salt.clone(), part.to_owned());
        match kept.get(&place) {
            Some(maker) if reads => {
                if *maker != tenant {
                    let isolated = isolated.load(Ordering::SeqCst);
                    let (id, maker) = (header("x-tamarackbank-request-id"), maker.clone());
                    uses.lock().unwrap().push(Use { id, tenant: tenant.clone(), maker, isolated });
                }
            }
            _ => {
                reads = false;
                kept.insert(place, tenant.clone());
            }
        }
    }
    drop(kept);
    thread::sleep(Duration::from_millis(20));
    let more = [("Content-Type", "text/event-stream"), ("X-Tamarackbank-Weight-Versions", "1")];
    replica.answer(request, 200, &more, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, Unable> {
    let network = Network::find()?;
    // Without the disruption the tenant is isolated from the first configuration on.
    let isolated = Arc::new(AtomicBool::new(!trouble));
    let uses = Arc::new(Mutex::new(Vec::new()));
    let mut replicas = Vec::new();
    for (number, id, zone) in [(101, "i-1a", "za"), (102, "i-1b", "zb")] {
        let (cache, uses, isolated) = (Cache::default(), uses.clone(), isolated.clone());
        let respond = move |replica: &Replica, request: &Request, writer: &mut TcpStream| {
            writer.write_all(&respond(replica, request, &cache, &uses, &isolated))
        };
        replicas.push(Replica::start(&network, number, (id, "llm", zone), respond)?);
    }
    let list = List::default();
    let models = format!("{{\"name\":\"{MODEL}\",\"version\":1,\"adapters\":[]}}");
    let entry = |replica: &Replica| replica.entry("ready", 1_765_000_000_000, &models);
    list.show(replicas.iter().map(entry).collect());
    let addr = list.start(&network)?;
    let system = System::start(&network, addr, (3, 1), "")?;
    system.put(&document(1, !trouble))?;
    system.wait_until_served(|number| prompt(&format!("first-{number}"), KEY, number))?;

    let send = |phase: &str, key: &str, tenant: &str| {
        let mut served = 0;
        for turn in 0..8 {
            for (machine, found) in system.machines.iter().enumerate() {
                let id = format!("{phase}-{tenant}-m{machine}-{turn}");
                let own = turn * 10 + machine + if tenant == "first" { 100 } else { 500 };
                let answer = http::call(found.front(), &prompt(&id, key, own), Duration::from_secs(5));
                served += usize::from(answer.status == 200 && answer.complete);
                record.line(&format!("{id} at machine {}: {}", machine + 1, answer.status));
            }
        }
        served
    };
    let before = send("before", KEY, "first");
    if trouble {
        system.put(&document(2, true))?;
        record.line("acknowledged: the first tenant is isolated");
    }
    thread::sleep(SETTLE);
    isolated.store(true, Ordering::SeqCst);
    record.line(&format!("{} ms are over since then", CONVERGE.as_millis()));
    let after = send("after", OTHER_KEY, "second") + send("after", KEY, "first");

    for arrival in replicas.iter().flat_map(Replica::arrivals) {
        let header = |name| arrival.header(name);
        let (tenant, salt) = (header("x-tamarackbank-tenant"), header("x-tamarackbank-cache-salt"));
        record.line_at(arrival.at, &format!("{} ran: tenant {tenant}, salt {salt}", arrival.id()));
    }
    let uses = uses.lock().unwrap();
    for used in uses.iter() {
        let Use { id, tenant, maker, isolated } = used;
        let mark = if *isolated { " BROKEN" } else { "" };
        record.line(&format!("{id} of {tenant} used a part that a request of {maker} made{mark}"));
    }
    let broken = uses.iter().filter(|used| used.isolated).count();
    record.line(&format!("served {before} before and {after} after; uses across the wall: {broken}"));
    if before < 20 || after < 40 {
        return Err(Unable("too few requests were served".to_owned()));
    }
    Ok(broken == 0)
}
