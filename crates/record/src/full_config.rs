//! A full configuration: all routes, services and workspaces, written in one step under a version
//! assigned by the writer.
//!
//! Each [`Part`] is validated like a single record, and the parts are validated against each other.

use std::collections::{HashMap, HashSet};

use base::Name;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Kind, schema};

/// Kinds of records that a full configuration replaces.
pub const KINDS: [Kind; 3] = [Kind::Route, Kind::Service, Kind::Workspace];

/// One record of a full configuration, in the newest schema version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// What it describes.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
    /// The body: a JSON object.
    pub body: String,
}

/// Validates a full configuration and returns all errors.
pub fn errors(parts: &[Part]) -> Vec<String> {
    let mut found = Vec::new();
    let mut names = HashSet::new();
    let mut paths = HashMap::new();
    let mut keys = HashMap::new();
    let mut bodies = Vec::new();
    for part in parts {
        let error = |text: &str| format!("{} '{}': {text}", part.kind, part.name);
        if !KINDS.contains(&part.kind) || part.name.is_empty() {
            found.push(error("not a part of a whole configuration"));
        }
        if !names.insert((part.kind, &part.name)) {
            found.push(error("stands twice"));
        }
        let Ok(body) = serde_json::from_str::<Map<String, Value>>(&part.body) else {
            found.push(error("the body is no JSON object"));
            continue;
        };
        for text in schema::errors(part.kind, schema::newest(part.kind), &body) {
            found.push(error(&text));
        }
        bodies.push((part, body));
    }
    for (part, body) in &bodies {
        let error = |text: &str| format!("{} '{}': {text}", part.kind, part.name);
        for (kind, name) in schema::references(part.kind, body) {
            if KINDS.contains(&kind) && !names.contains(&(kind, &Name::new(&name))) {
                found.push(error(&format!("there is no {kind} '{name}'")));
            }
        }
        if part.kind == Kind::Route {
            let path = (body.get("host"), body.get("prefix"));
            if let Some(other) = paths.insert(path, &part.name) {
                found.push(error(&format!("same host and prefix as '{other}'")));
            }
        }
        for key in body.get("keys").and_then(Value::as_array).into_iter().flatten() {
            match keys.insert(key.as_str(), &part.name) {
                Some(other) if *other != part.name => {
                    found.push(error(&format!("shares a key with '{other}'")));
                }
                _ => {}
            }
        }
    }
    found
}
