//! A store crashes and returns empty while a part is about to be saved there a second time.

use stand::kv::{FIRST_MS, Found, LINK_MBPS, Replica, Store, TOKEN_BYTES};
use stand::platform::List;
use stand::record::Record;
use stand::system::{Client, System};
use stand::{Verdict, sleep_ms, trouble};

use super::text;

const KEY: &str = "nu6wsjnbanfqasnmgkcu";
const ROUNDS: usize = 2;

fn config(store: &Store) -> String {
    format!(
        "{{\"version\":5,\"routes\":[{{\"name\":\"r\",\"host\":\"shop.example\",\"pathPrefix\":\"/ask/\",\
         \"routeType\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":600,\"priority\":1,\"service\":\"llm\",\
         \"maxAttempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300}}],\
         \"services\":[{{\"name\":\"kept\",\"kvStoreAddr\":\"{}\",\"zone\":\"z0\",\"kvCapacityTokens\":682544,\
         \"linkMbps\":{LINK_MBPS:.1},\"maxConcurrency\":12,\"managed\":true,\"first_ms\":{FIRST_MS:.1}}},\
         {{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacityTokens\":43407,\"kvTokenBytes\":{TOKEN_BYTES},\"linkMbps\":2200000.0,\
         \"moves\":true,\"backups\":true,\"managed\":true,\"stride\":6,\"maxConcurrency\":12,\"pinMs\":4000.0,\
         \"holdMs\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m0\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[\
         {{\"name\":\"shop\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        store.addr
    )
}

fn ask(system: &System, machine: usize, id: &str, parts: &str) -> u16 {
    let more = [
        ("X-Tamarackbank-Model", "m0"),
        ("X-Tamarackbank-Token-Usage", "6050,80"),
        ("X-Tamarackbank-Prefix-Hash", parts),
    ];
    let client = Client {
        method: "POST",
        host: "shop.example",
        path: "/ask/me",
        id,
        key: Some(KEY),
        body: b"why is the mint wilting",
        more: &more,
    };
    system.request(machine, &client).status
}

pub fn restarted_store(record: &Record) -> Result<Verdict, String> {
    let list = List::start().map_err(text)?;
    let store = Store::start(record).map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..9 {
        let (id, zone) = (format!("i-{number}"), format!("z{}", number % 3));
        replicas.push(Replica::start(&id, &zone, &store, record).map_err(text)?);
    }
    list.show(replicas.iter().map(Replica::entry).collect());
    let system = System::start(list.addr, record).map_err(text)?;
    if system.put(&config(&store))? != 200 {
        return Err("the configuration was refused".to_owned());
    }
    system.wait_ready()?;
    // The leader reads the store, and issues leases.
    sleep_ms(10_000);
    for round in 0..ROUNDS {
        let part = format!("5c1e07a{round}");
        let prompt = |last: usize| format!("{part}:6000,{last:08x}:50");
        std::thread::scope(|scope| {
            // Two machines send the first two requests with a new part at about the same time, so both ask to save it. One
            // of them waits in its server's queue.
            let queued = prompt(round * 100 + 1);
            let (system, id) = (&system, format!("queued-{round}"));
            scope.spawn(move || ask(system, 0, &id, &queued));
            sleep_ms(30);
            ask(system, 1, &format!("first-{round}"), &prompt(round * 100 + 2));
            sleep_ms(650);
            if !store.has(&part) {
                record.line("the store does not have the part");
            }
            // The server of the first request needs its memory for other runs.
            replicas.iter().for_each(|replica| replica.evict(&part));
            sleep_ms(500);
            if trouble() {
                store.restart(50);
            }
            for _ in 0..100 {
                if store.writes(&part) {
                    break;
                }
                sleep_ms(10);
            }
            // Others ask with the same part at the third machine.
            for number in 0..12 {
                let (id, prompt) =
                    (format!("other-{round}-{number}"), prompt(round * 100 + 10 + number));
                scope.spawn(move || ask(system, 2, &id, &prompt));
            }
        });
        sleep_ms(14_000);
    }
    let fetches: Vec<_> = replicas.iter().flat_map(Replica::fetches).collect();
    let partial = fetches.iter().filter(|fetch| fetch.found == Found::Partial).count();
    record.line(&format!(
        "{} parts were fetched from the store and used, {partial} of them not whole",
        fetches.len()
    ));
    if fetches.is_empty() {
        return Err("nothing was fetched from the store".to_owned());
    }
    Ok(if partial > 0 { Verdict::Broken } else { Verdict::Held })
}
