//! The HTTP API for operators, as pure functions over text.
//!
//! | call | what it does |
//! |---|---|
//! | `GET /health`, `/ready` | whether the process is alive; whether it serves |
//! | `GET /dump` | the complete state as JSON |
//! | `GET /v1/records[/KIND[/NAME]]` | records in this process's configuration |
//! | `PUT /v1/records/KIND/NAME` | puts a record: `{"expect", "schema", "min_schema", "body"}` |
//! | `DELETE /v1/records/KIND/NAME?expect=N` | deletes a record |
//! | `GET /v1/evacuations` | the availability zones that were evacuated, and whether they still are |
//! | `PUT`, `DELETE /v1/evacuations/ZONE` | starts or ends the evacuation of a zone |
//! | `GET /v1/history` | all changes and their authors, in log order; on a keeper |
//! | `GET /v1/servers` | the processes and their status, on a keeper; servers without an agent, stores, weights |
//! | `GET /v1/force/EPOCH.INDEX` | how many processes have applied a revision, and which lag behind; on a keeper |
//! | `GET /v1/quarantine` | the quarantined prompt segments and requests; on an entry that forwards requests |
//! | `DELETE /v1/quarantine/MODEL/SEGMENT` or `SERVICE/REQUEST` | releases a segment or a request at all entries; on any of them |
//! | `GET /v1/explain/REQUEST` | how a backend server was chosen; on the entry that served the request |

use base::{Code, Name, Revision};
use record::{Change, Kind, Record};
use serde_json::{Value, json};
use state::{Command, Delete, Evacuate, Promote, Put, PutConfig, Reply};

use crate::api::Request;

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admin {
    /// Whether the process serves.
    Ready,
    /// The complete state.
    Dump,
    /// Records, of one kind or one name if given.
    Records {
        /// Only of this kind.
        kind: Option<Kind>,
        /// Only of this name.
        name: Option<Name>,
    },
    /// Put a record.
    Put(Put),
    /// Delete a record.
    Delete(Delete),
    /// The changes.
    History,
    /// The processes.
    Servers,
    /// Which processes have applied a revision.
    Force(Revision),
    /// How a backend server was chosen.
    Explain(String),
    /// The quarantined prompt segments and requests.
    Quarantine,
    /// Release a segment or a request from quarantine.
    Release {
        /// Model of the segment, or service of the request.
        scope: Name,
        /// ID of the segment, or digest of the request.
        id: u128,
    },
    /// Put a complete configuration.
    PutConfig(PutConfig),
    /// Read the complete configuration that was put last.
    StoredConfig,
    /// Set the newest weight version of a model.
    Promote(Promote),
    /// Start or end the evacuation of a zone. The process that handles it sets the expected version.
    Evacuate(Evacuate),
    /// The evacuations.
    Evacuations,
}

fn bad(text: impl Into<String>) -> (Code, String) {
    (Code::BadRecord, text.into())
}

/// Parses an operator's request; `at_ms` is the wall clock.
///
/// # Errors
/// The code and a message for an invalid request.
pub fn parse(request: &Request, at_ms: u64) -> Result<Admin, (Code, String)> {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let words: Vec<&str> = path.split('/').filter(|word| !word.is_empty()).collect();
    let kind = |text: &str| text.parse::<Kind>().map_err(bad);
    match (request.method.as_str(), words.as_slice()) {
        ("GET", ["ready"]) => Ok(Admin::Ready),
        ("GET", ["dump"]) => Ok(Admin::Dump),
        ("GET", ["v1", "records"]) => Ok(Admin::Records { kind: None, name: None }),
        ("GET", ["v1", "records", of]) => Ok(Admin::Records { kind: Some(kind(of)?), name: None }),
        ("GET", ["v1", "records", of, name]) => {
            Ok(Admin::Records { kind: Some(kind(of)?), name: Some(Name::new(name)) })
        }
        ("PUT", ["v1", "records", of, name]) => put(request, kind(of)?, name, at_ms),
        ("DELETE", ["v1", "records", of, name]) => {
            let expect = query.strip_prefix("expect=").and_then(|text| text.parse().ok());
            let expect = expect.ok_or_else(|| bad("expect: the version you have read"))?;
            Ok(Admin::Delete(Delete {
                request: request_id(request, at_ms),
                by: operator(request),
                at_ms,
                kind: kind(of)?,
                name: Name::new(name),
                expected_version: expect,
            }))
        }
        ("GET", ["v1", "evacuations"]) => Ok(Admin::Evacuations),
        ("PUT", ["v1", "evacuations", zone]) => Ok(evacuate(operator(request), at_ms, zone, true)),
        ("DELETE", ["v1", "evacuations", zone]) => {
            Ok(evacuate(operator(request), at_ms, zone, false))
        }
        ("GET", ["v1", "history"]) => Ok(Admin::History),
        ("GET", ["v1", "servers"]) => Ok(Admin::Servers),
        ("GET", ["v1", "force", revision]) => revision
            .split_once('.')
            .and_then(|(epoch, index)| {
                Some(Revision { epoch: epoch.parse().ok()?, index: index.parse().ok()? })
            })
            .map(Admin::Force)
            .ok_or_else(|| bad("a revision is EPOCH.INDEX")),
        ("GET", ["v1", "quarantine"]) => Ok(Admin::Quarantine),
        ("DELETE", ["v1", "quarantine", scope, id]) => u128::from_str_radix(id, 16)
            .map(|id| Admin::Release { scope: Name::new(scope), id })
            .map_err(|_| bad("a segment or a request is a hexadecimal number")),
        ("GET", ["v1", "explain", id]) => Ok(Admin::Explain((*id).to_owned())),
        _ => Err((Code::NoSuchPath, format!("{} {}", request.method, path))),
    }
}

/// A call that starts or ends the evacuation of a zone.
pub fn evacuate(by: Name, at_ms: u64, zone: &str, active: bool) -> Admin {
    let zone = Name::new(zone);
    Admin::Evacuate(Evacuate { by, at_ms, zone, active, expected_version: 0 })
}

fn operator(request: &Request) -> Name {
    Name::new(request.header("x-operator").unwrap_or("unnamed"))
}

fn request_id(request: &Request, at_ms: u64) -> Name {
    // Without an ID from the operator, each attempt is a separate request.
    let generated = || format!("{at_ms}-{}", blake3::hash(&request.body).to_hex());
    request.header("x-request-id").map_or_else(|| Name::from(generated()), Name::new)
}

fn put(request: &Request, kind: Kind, name: &str, at_ms: u64) -> Result<Admin, (Code, String)> {
    let value: Value =
        serde_json::from_slice(&request.body).map_err(|error| bad(error.to_string()))?;
    if !value["body"].is_object() {
        return Err(bad("body: a JSON object"));
    }
    let number = |key: &str, default: u64| match &value[key] {
        Value::Null => Ok(default),
        found => found.as_u64().ok_or_else(|| bad(format!("{key}: a whole number"))),
    };
    Ok(Admin::Put(Put {
        request: request_id(request, at_ms),
        by: operator(request),
        at_ms,
        kind,
        name: Name::new(name),
        expected_version: number("expect", 0)?,
        schema: number("schema", u64::from(record::schema::newest(kind)))? as u32,
        min_schema: number("min_schema", 1)? as u32,
        body: value["body"].to_string(),
    }))
}

/// The command of a request that changes something. That of an evacuation needs the record version that the process knows,
/// and is not made here.
pub fn command(admin: &Admin) -> Option<Command> {
    match admin {
        Admin::Put(put) => Some(Command::Put(put.clone())),
        Admin::Delete(delete) => Some(Command::Delete(delete.clone())),
        Admin::PutConfig(put) => Some(Command::PutConfig(put.clone())),
        Admin::Promote(promote) => Some(Command::Promote(promote.clone())),
        _ => None,
    }
}

/// A record as JSON.
pub fn record(record: &Record) -> Value {
    json!({
        "kind": record.kind.as_str(),
        "name": &*record.name,
        "version": record.version,
        "schema": record.schema,
        "min_schema": record.min_schema,
        "revision": record.revision.to_string(),
        "by": &*record.by,
        "at_ms": record.at_ms,
        "body": record.fields(),
    })
}

/// A record of an evacuation as JSON.
pub fn evacuation(record: &Record) -> Value {
    json!({
        "zone": &*record.name,
        "active": record.fields().get("active"),
        "version": record.version,
        "revision": record.revision.to_string(),
        "by": &*record.by,
        "at_ms": record.at_ms,
    })
}

/// A change as JSON.
pub fn change(change: &Change) -> Value {
    json!({
        "kind": change.kind.as_str(),
        "name": &*change.name,
        "revision": change.revision.to_string(),
        "by": &*change.by,
        "at_ms": change.at_ms,
        "record": change.record.as_ref().map(record),
    })
}

/// Status and body of the reply to a change.
pub fn reply(reply: &Reply) -> (u16, Value) {
    match reply {
        Reply::Accepted { revision, version } => {
            (200, json!({ "revision": revision.to_string(), "version": version }))
        }
        Reply::Rejected { code, text, winner } => {
            let winner = winner.as_ref().map(record);
            let error = json!({ "code": code.number(), "type": code.as_str(), "message": text });
            (code.status(), json!({ "error": error, "winner": winner }))
        }
        Reply::Claim(_) | Reply::Completed | Reply::Issued(_) => (200, json!({})),
    }
}
