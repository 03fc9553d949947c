//! Commands on servers, rollouts and processes.

use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};

use crate::client::{Client, Trouble};
use crate::records::{accepted, request_id};
use crate::{args, table};

const LOOK: Duration = Duration::from_millis(200);

/// Shows the processes, and what requests without an agent can go to.
pub fn servers(client: &Client) -> Result<(), Trouble> {
    let value = client.get("/v1/servers")?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    let keys =
        ["name", "standing", "zone", "link", "serves", "version", "held", "slots", "revision"];
    table::print(&keys, &table::rows(&value["servers"], &keys));
    let backends = [
        "server", "service", "address", "zone", "usable", "why_not", "slots", "runs", "reading",
        "version",
    ];
    let stores = ["store", "address", "zone", "known", "held", "tokens", "sending_ms"];
    let weights = ["model", "version", "least", "age_ms", "servers", "behind"];
    section("servers without an agent", &value["backends"], &backends);
    section("stores", &value["stores"], &stores);
    section("weights", &value["weights"], &weights);
    Ok(())
}

/// Prints a list under a title, if there is anything in it.
fn section(title: &str, list: &Value, keys: &[&str]) {
    let rows = table::rows(list, keys);
    if !rows.is_empty() {
        println!("\n{title}");
        table::print(keys, &rows);
    }
}

/// Waits until a revision is in force everywhere.
pub fn wait(client: &Client, wait: &args::Wait) -> Result<(), Trouble> {
    let end = Instant::now() + Duration::from_secs(wait.seconds);
    loop {
        let value = client.get(&format!("/v1/force/{}", wait.revision))?;
        let lagging = value["lagging"].as_array().map_or(0, Vec::len);
        if lagging == 0 {
            println!("in force on {} processes", table::cell(&value["applied"]));
            return Ok(());
        }
        if Instant::now() >= end {
            let keys = ["name", "standing", "revision"];
            table::print(&keys, &table::rows(&value["lagging"], &keys));
            return Err(Trouble::Refused(format!("{lagging} processes lag")));
        }
        std::thread::sleep(LOOK);
    }
}

/// Sets whether a backend server takes new work; its other fields stay.
pub fn drain(client: &Client, server: &str, drain: bool) -> Result<(), Trouble> {
    change(client, "server", server, |body| {
        body.insert("drain".to_owned(), json!(drain));
    })
}

/// Sets a rollout.
pub fn rollout(client: &Client, rollout: &args::Rollout) -> Result<(), Trouble> {
    change(client, "rollout", &rollout.model, |body| {
        body.insert("model".to_owned(), json!(rollout.model));
        body.insert("version".to_owned(), json!(rollout.version));
        body.insert("parallel".to_owned(), json!(rollout.parallel));
        body.insert("floor".to_owned(), json!(rollout.floor));
        body.insert("paused".to_owned(), json!(rollout.pause));
    })
}

/// Reads a record, changes its body and puts it back under the version that was read.
fn change(
    client: &Client,
    kind: &str,
    name: &str,
    edit: impl FnOnce(&mut Map<String, Value>),
) -> Result<(), Trouble> {
    let path = format!("/v1/records/{kind}/{name}");
    let record = match client.get(&path) {
        Ok(value) => value["records"][0].clone(),
        Err(Trouble::Refused(_)) => Value::Null,
        Err(trouble) => return Err(trouble),
    };
    let mut body = record["body"].as_object().cloned().unwrap_or_default();
    edit(&mut body);
    let expect = record["version"].as_u64().unwrap_or(0);
    let text = json!({ "expect": expect, "body": body }).to_string();
    let value = client.ask("PUT", &path, &text, &request_id())?;
    accepted(client, &value);
    Ok(())
}

/// Prints what a path answers.
pub fn show(client: &Client, path: &str) -> Result<(), Trouble> {
    let value = client.get(path)?;
    let text = if client.json { value.to_string() } else { format!("{value:#}") };
    println!("{text}");
    Ok(())
}

/// Shows how a backend server was chosen.
pub fn explain(client: &Client, request: &str) -> Result<(), Trouble> {
    let value = client.get(&format!("/v1/explain/{request}"))?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    if value["tries"].is_array() {
        placed(&value);
        return Ok(());
    }
    println!("request {request} went to {}", table::cell(&value["agent"]));
    let keys = [
        "agent",
        "first_token_ms",
        "wait_ms",
        "fetching_ms",
        "prefill_ms",
        "fetch_pieces",
        "recomputed_tokens",
        "cost",
    ];
    table::print(&keys, &table::rows(&value["candidates"], &keys));
    Ok(())
}

/// Prints what was known when a forwarded request was placed.
fn placed(value: &Value) {
    let line = |value: &Value, keys: &[&str]| {
        let cells: Vec<String> =
            keys.iter().map(|key| format!("{key}={}", table::cell(&value[*key]))).collect();
        println!("  {}", cells.join("  "));
    };
    let weights = ["version", "version_least", "version_newest", "version_newest_age_ms"];
    let servers = ["server", "usable", "leaving", "runs", "reading", "version"];
    let of = |key: &str| table::cell(&value[key]);
    println!("request {} on route {} to service {}", of("request"), of("route"), of("service"));
    for (number, placed) in (1..).zip(value["tries"].as_array().into_iter().flatten()) {
        let ago = table::cell(&placed["ms_ago"]);
        println!("\ntry {number} went to {}, {ago} ms ago", table::cell(&placed["server"]));
        line(placed, &["address", "rank", "left_ms", "list_age_ms"]);
        line(placed, &["reading", "fetching", "ahead", "beside", "cost_ms"]);
        line(placed, &weights);
        line(placed, &["fetch", "save"]);
        section("known then", &placed["servers"], &servers);
    }
    let end = &value["ended"];
    if end.is_null() {
        println!("\nit is under way");
        return;
    }
    println!("\nended");
    line(end, &["code", "status", "took_ms", "first_ms"]);
    line(end, &weights);
    section("known then", &end["servers"], &servers);
}
