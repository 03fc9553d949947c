//! Record fields per kind and schema version, and their validation.

use serde_json::{Map, Value};

use crate::Kind;

/// The newest schema version of a kind that this build supports.
pub const fn newest(kind: Kind) -> u32 {
    match kind {
        Kind::Workspace => 4,
        Kind::Service => 3,
        Kind::Route => 2,
        _ => 1,
    }
}

/// The fields of a kind in a schema version. Later versions add fields to earlier ones.
pub fn fields(kind: Kind, schema: u32) -> &'static [&'static str] {
    match (kind, schema) {
        (Kind::Model, _) => &["max_tokens", "description"],
        (Kind::Version | Kind::Adapter, _) => &["model", "digest"],
        (Kind::Workspace, 1) => &["key", "models", "concurrency", "share", "description"],
        (Kind::Workspace, 2) => &["keys", "models", "concurrency", "share", "description"],
        (Kind::Workspace, 3) => without_last(fields(kind, 4)),
        (Kind::Workspace, _) => &[
            "keys",
            "models",
            "concurrency",
            "share",
            "description",
            "isolated",
            "rank",
            "regions",
        ],
        (Kind::Priority, _) => &["class"],
        (Kind::Role, _) => &["models", "description"],
        (Kind::Service, 1) => &["once", "description"],
        (Kind::Service, 2) => without_last(fields(kind, 3)),
        (Kind::Service, _) => &["once", "description", "connections", "engine", "store", "cold"],
        (Kind::Server, _) => &["drain", "checks_tokens", "role"],
        (Kind::Rollout, _) => &["model", "version", "parallel", "floor", "paused"],
        (Kind::Evacuation, _) => &["active"],
        (Kind::Route, 1) => without_last(fields(kind, 2)),
        (Kind::Route, _) => &[
            "host",
            "prefix",
            "repeat",
            "timeout_ms",
            "target_ms",
            "rank",
            "backends",
            "attempts",
            "public",
            "sticky",
            "gap_ms",
            "description",
            "regions",
        ],
    }
}

/// The fields before the last one was added.
fn without_last(fields: &'static [&'static str]) -> &'static [&'static str] {
    fields.split_last().map_or(&[], |(_, earlier)| earlier)
}

/// Merges a body written with `schema` into `old`, written with `old_schema`, and returns the resulting
/// schema version and body.
///
/// If the old schema version is newer, it is retained, together with the fields of the old body that
/// the writer's schema does not include.
pub fn merge(
    kind: Kind,
    schema: u32,
    new: Map<String, Value>,
    old_schema: u32,
    old: &Map<String, Value>,
) -> (u32, Map<String, Value>) {
    if old_schema <= schema {
        return (schema, new);
    }
    let known = fields(kind, schema);
    let mut body = upgrade(kind, schema, old_schema, new);
    for (key, value) in old {
        if !known.contains(&key.as_str()) && !body.contains_key(key) {
            body.insert(key.clone(), value.clone());
        }
    }
    (old_schema, body)
}

/// Converts a body from one schema version to a later one, as far as this build supports it.
pub fn upgrade(kind: Kind, from: u32, to: u32, mut body: Map<String, Value>) -> Map<String, Value> {
    if kind == Kind::Workspace
        && from < 2
        && to >= 2
        && let Some(key) = body.remove("key")
    {
        body.insert("keys".to_owned(), Value::Array(vec![key]));
    }
    body
}

/// Validates a body and returns all errors. Unknown fields are errors only in schema versions that this
/// build supports.
pub fn errors(kind: Kind, schema: u32, body: &Map<String, Value>) -> Vec<String> {
    let mut found = Vec::new();
    if schema == 0 {
        found.push("schema: 1 or more".to_owned());
    }
    if schema <= newest(kind) {
        let known = fields(kind, schema);
        for key in body.keys().filter(|key| !known.contains(&key.as_str())) {
            found.push(format!("{key}: unknown field; allowed: {}", known.join(", ")));
        }
    }
    for (key, value) in body {
        let constraint = constraint(key);
        if let Some((text, good)) = constraint
            && !good(value)
        {
            found.push(format!("{key}: {text}"));
        }
    }
    for key in required(kind) {
        if !body.contains_key(*key) {
            found.push(format!("{key}: missing"));
        }
    }
    found
}

type Check = fn(&Value) -> bool;

fn constraint(key: &str) -> Option<(&'static str, Check)> {
    let texts: Check =
        |value| value.as_array().is_some_and(|list| list.iter().all(Value::is_string));
    let count: Check = |value| value.as_u64().is_some_and(|count| (1..=1_000_000).contains(&count));
    match key {
        "model" | "version" | "digest" | "role" | "description" | "key" => {
            Some(("a string", Value::is_string))
        }
        "models" | "keys" | "regions" => Some(("a list of strings", texts)),
        "concurrency" | "share" | "max_tokens" | "parallel" => Some(("1 to 1000000", count)),
        "timeout_ms" | "attempts" => Some(("1 or more", |value| value.as_u64() > Some(0))),
        "host" => Some(("a string", Value::is_string)),
        "prefix" => Some(("a path that begins and ends with a slash", |value| {
            value.as_str().is_some_and(|text| text.starts_with('/') && text.ends_with('/'))
        })),
        "repeat" => Some(("never, always, resume", |value| {
            value.as_str().is_some_and(|word| ["never", "always", "resume"].contains(&word))
        })),
        "backends" => Some(("a list of {service, weight} with a weight above 0", |value| {
            value.as_array().is_some_and(|list| {
                let good = |part: &Value| part["service"].is_string() && part["weight"].is_u64();
                list.iter().all(good) && list.iter().any(|part| part["weight"].as_u64() > Some(0))
            })
        })),
        "floor" | "target_ms" | "rank" | "gap_ms" | "connections" => {
            Some(("a whole number", Value::is_u64))
        }
        "drain" | "checks_tokens" | "paused" | "public" | "sticky" | "isolated" | "active" => {
            Some(("true, false", Value::is_boolean))
        }
        "class" => Some(("low, normal, high", |value| {
            value.as_str().is_some_and(|class| ["low", "normal", "high"].contains(&class))
        })),
        "cold" => Some(("{duration_ms, per_second}", |value| {
            value["duration_ms"].is_u64() && value["per_second"].as_f64() > Some(0.0)
        })),
        "once" => Some(("a list of {method, prefix}", |value| {
            value.as_array().is_some_and(|list| {
                list.iter().all(|rule| rule["method"].is_string() && rule["prefix"].is_string())
            })
        })),
        _ => None,
    }
}

fn required(kind: Kind) -> &'static [&'static str] {
    match kind {
        Kind::Version | Kind::Adapter => &["model"],
        Kind::Priority => &["class"],
        Kind::Rollout => &["model", "version"],
        Kind::Evacuation => &["active"],
        Kind::Route => &["host", "prefix", "timeout_ms", "backends"],
        _ => &[],
    }
}

/// The records that a body refers to.
pub fn references(kind: Kind, body: &Map<String, Value>) -> Vec<(Kind, String)> {
    let mut found = Vec::new();
    let mut add = |kind: Kind, value: &Value| {
        if let Some(name) = value.as_str() {
            found.push((kind, name.to_owned()));
        }
    };
    match kind {
        Kind::Version | Kind::Adapter => add(Kind::Model, &body["model"]),
        Kind::Rollout => {
            add(Kind::Model, &body["model"]);
            add(Kind::Version, &body["version"]);
        }
        Kind::Workspace | Kind::Role => {
            for model in body.get("models").and_then(Value::as_array).into_iter().flatten() {
                add(Kind::Model, model);
            }
        }
        Kind::Server => {
            if let Some(role) = body.get("role") {
                add(Kind::Role, role);
            }
        }
        Kind::Route => {
            for part in body.get("backends").and_then(Value::as_array).into_iter().flatten() {
                add(Kind::Service, &part["service"]);
            }
        }
        Kind::Model | Kind::Priority | Kind::Service | Kind::Evacuation => {}
    }
    found
}
