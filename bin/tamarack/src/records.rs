//! Commands on records.

use std::io::Read;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::client::{Client, Error};
use crate::{args, orders, table};

const POLL_INTERVAL: Duration = Duration::from_millis(300);

/// Shows records.
pub fn get(client: &Client, get: &args::Get) -> Result<(), Error> {
    let mut path = "/v1/records".to_owned();
    for word in get.of.iter().take(2) {
        path.push('/');
        path.push_str(word);
    }
    let value = client.get(&path)?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    let keys = ["kind", "name", "version", "schema", "revision", "by", "body"];
    table::print(&keys, &table::rows(&value["records"], &keys));
    Ok(())
}

/// Puts a record.
pub fn put(client: &Client, put: &args::Put) -> Result<(), Error> {
    let body = read_body(put.file.as_deref()).map_err(Error::Rejected)?;
    let body: Value = serde_json::from_str(&body)
        .map_err(|error| Error::Rejected(format!("invalid body: {error}")))?;
    let request = put.request.clone().unwrap_or_else(request_id);
    let text = json!({ "expect": put.expect, "schema": put.schema, "body": body }).to_string();
    let path = format!("/v1/records/{}/{}", put.kind, put.name);
    let value = client.send("PUT", &path, &text, &request)?;
    print_accepted(client, &value);
    if put.wait {
        let revision = value["revision"].as_str().unwrap_or_default().to_owned();
        return orders::wait(client, &args::Wait { revision, seconds: 30 });
    }
    Ok(())
}

/// Deletes a record.
pub fn delete(client: &Client, delete: &args::Delete) -> Result<(), Error> {
    let path = format!("/v1/records/{}/{}?expect={}", delete.kind, delete.name, delete.expect);
    let value = client.send("DELETE", &path, "", &request_id())?;
    print_accepted(client, &value);
    Ok(())
}

/// Shows all changes.
pub fn history(client: &Client) -> Result<(), Error> {
    let value = client.get("/v1/history")?;
    if client.json {
        println!("{value}");
        return Ok(());
    }
    print_changes(&value["changes"]);
    Ok(())
}

/// Prints changes as they are made.
pub fn watch(client: &Client, watch: &args::Watch) -> Result<(), Error> {
    let mut seen = client.get("/v1/history")?["changes"].as_array().map_or(0, Vec::len);
    let mut left = watch.count;
    loop {
        std::thread::sleep(POLL_INTERVAL);
        let value = client.get("/v1/history")?;
        let changes = value["changes"].as_array().map(Vec::as_slice).unwrap_or_default();
        for change in &changes[seen.min(changes.len())..] {
            println!("{change}");
            if watch.count > 0 {
                left -= 1;
                if left == 0 {
                    return Ok(());
                }
            }
        }
        seen = changes.len();
    }
}

fn print_changes(changes: &Value) {
    let keys = ["revision", "by", "kind", "name"];
    let mut rows = table::rows(changes, &keys);
    let list = changes.as_array().map(Vec::as_slice).unwrap_or_default();
    for (row, change) in rows.iter_mut().zip(list) {
        let record = &change["record"];
        row.push(if record.is_null() {
            "deleted".to_owned()
        } else {
            table::cell(&record["body"])
        });
    }
    table::print(&["revision", "by", "kind", "name", "body"], &rows);
}

/// Prints that a change was accepted.
pub fn print_accepted(client: &Client, value: &Value) {
    if client.json {
        println!("{value}");
    } else {
        let (revision, version) = (table::cell(&value["revision"]), table::cell(&value["version"]));
        println!("accepted as version {version}, revision {revision}");
    }
}

/// Creates a request ID.
pub fn request_id() -> String {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("tamarack-{}-{}", std::process::id(), since.as_nanos())
}

/// Reads a body from a file, or from standard input if there is none.
fn read_body(path: Option<&Path>) -> Result<String, String> {
    let Some(path) = path else {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(|error| error.to_string())?;
        return Ok(text);
    };
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}
