//! Commands on servers, rollouts and processes.

use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};

use crate::client::{Client, Error};
use crate::records::{print_accepted, request_id};
use crate::{args, table};

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Shows the processes; then the servers without an agent, the stores and the weights that requests can be
/// forwarded to.
pub fn servers(client: &Client) -> Result<(), Error> {
    let value = client.get("/v1/servers")?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    let keys =
        ["name", "standing", "zone", "link", "serves", "version", "held", "slots", "revision"];
    table::print(&keys, &table::rows(&value["servers"], &keys));
    let backends = [
        "server", "service", "address", "zone", "region", "usable", "why_not", "slots", "runs",
        "reading", "version",
    ];
    let stores = ["store", "address", "zone", "region", "known", "held", "tokens", "sending_ms"];
    let weights = ["model", "version", "least", "age_ms", "servers", "behind"];
    print_section("servers without an agent", &value["backends"], &backends);
    print_section("stores", &value["stores"], &stores);
    print_section("weights", &value["weights"], &weights);
    Ok(())
}

/// Prints a list under a title, unless it is empty.
fn print_section(title: &str, list: &Value, keys: &[&str]) {
    let rows = table::rows(list, keys);
    if !rows.is_empty() {
        println!("\n{title}");
        table::print(keys, &rows);
    }
}

/// Waits until a revision is in force on every process.
pub fn wait(client: &Client, wait: &args::Wait) -> Result<(), Error> {
    let deadline = Instant::now() + Duration::from_secs(wait.seconds);
    loop {
        let value = client.get(&format!("/v1/force/{}", wait.revision))?;
        let lagging = value["lagging"].as_array().map_or(0, Vec::len);
        if lagging == 0 {
            println!("in force on {} processes", table::cell(&value["applied"]));
            return Ok(());
        }
        if Instant::now() >= deadline {
            let keys = ["name", "standing", "revision"];
            table::print(&keys, &table::rows(&value["lagging"], &keys));
            return Err(Error::Rejected(format!("{lagging} processes lag")));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Sets whether a backend server is drained; the other fields of its record stay.
pub fn drain(client: &Client, server: &str, drain: bool) -> Result<(), Error> {
    change(client, "server", server, |body| {
        body.insert("drain".to_owned(), json!(drain));
    })
}

/// Starts or ends the evacuation of a zone.
pub fn evacuate(client: &Client, evacuate: &args::Evacuate) -> Result<(), Error> {
    let method = if evacuate.end { "DELETE" } else { "PUT" };
    let path = format!("/v1/evacuations/{}", evacuate.zone);
    let value = client.send(method, &path, "", &request_id())?;
    print_accepted(client, &value);
    Ok(())
}

/// Shows the zones that were evacuated.
pub fn evacuations(client: &Client) -> Result<(), Error> {
    let value = client.get("/v1/evacuations")?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    let keys = ["zone", "active", "version", "revision", "by", "at_ms"];
    table::print(&keys, &table::rows(&value["evacuations"], &keys));
    Ok(())
}

/// Puts the rollout record of a model.
pub fn rollout(client: &Client, rollout: &args::Rollout) -> Result<(), Error> {
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
) -> Result<(), Error> {
    let path = format!("/v1/records/{kind}/{name}");
    let record = match client.get(&path) {
        Ok(value) => value["records"][0].clone(),
        Err(Error::Rejected(_)) => Value::Null,
        Err(error) => return Err(error),
    };
    let mut body = record["body"].as_object().cloned().unwrap_or_default();
    edit(&mut body);
    let expect = record["version"].as_u64().unwrap_or(0);
    let text = json!({ "expect": expect, "body": body }).to_string();
    let value = client.send("PUT", &path, &text, &request_id())?;
    print_accepted(client, &value);
    Ok(())
}

/// Prints the JSON that a path returns, indented for people.
pub fn print_json(client: &Client, path: &str) -> Result<(), Error> {
    let value = client.get(path)?;
    let text = if client.json { value.to_string() } else { format!("{value:#}") };
    println!("{text}");
    Ok(())
}

/// Shows how a backend server was chosen for a request.
pub fn explain(client: &Client, request: &str) -> Result<(), Error> {
    let value = client.get(&format!("/v1/explain/{request}"))?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    if value["tries"].is_array() {
        print_attempts(&value);
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

/// Shows the quarantined prompt segments and requests.
pub fn quarantine(client: &Client) -> Result<(), Error> {
    let value = client.get("/v1/quarantine")?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    let keys = [
        "model",
        "segments",
        "service",
        "request",
        "servers",
        "last_crash_ms",
        "trials",
        "last_trial_at",
    ];
    table::print(&keys, &table::rows(&value["quarantine"], &keys));
    Ok(())
}

/// Releases a prompt segment or a request from quarantine.
pub fn release(client: &Client, release: &args::Release) -> Result<(), Error> {
    let path = format!("/v1/quarantine/{}/{}", release.scope, release.id);
    let value = client.send("DELETE", &path, "", &request_id())?;
    println!("released {}", table::cell(&value["released"]));
    Ok(())
}

/// Prints the attempts of a forwarded request, with the inputs of each placement and the result.
fn print_attempts(value: &Value) {
    let line = |value: &Value, keys: &[&str]| {
        let cells: Vec<String> =
            keys.iter().map(|key| format!("{key}={}", table::cell(&value[*key]))).collect();
        println!("  {}", cells.join("  "));
    };
    let weights = ["version", "version_least", "version_newest", "version_newest_age_ms"];
    let servers = ["server", "usable", "leaving", "runs", "reading", "version"];
    let of = |key: &str| table::cell(&value[key]);
    println!("request {} on route {} to service {}", of("request"), of("route"), of("service"));
    for (number, attempt) in (1..).zip(value["tries"].as_array().into_iter().flatten()) {
        let ago = table::cell(&attempt["ms_ago"]);
        println!("\nattempt {number} went to {}, {ago} ms ago", table::cell(&attempt["server"]));
        line(attempt, &["address", "rank", "left_ms", "list_age_ms"]);
        line(attempt, &["reading", "fetching", "ahead", "beside", "cost_ms"]);
        line(attempt, &weights);
        line(attempt, &["fetch", "save"]);
        print_section("servers at that time", &attempt["servers"], &servers);
    }
    let end = &value["ended"];
    if end.is_null() {
        println!("\nstill in flight");
        return;
    }
    println!("\nended");
    line(end, &["code", "status", "took_ms", "first_ms"]);
    line(end, &weights);
    print_section("servers at that time", &end["servers"], &servers);
}
