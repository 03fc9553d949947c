//! A whole configuration that is written at once, under a version of its writer.
//!
//! It holds every route, service and workspace. Its [`Part`]s are checked as single records are,
//! and against each other: what one record cannot show is wrong only here.

use std::collections::{HashMap, HashSet};

use base::Name;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::{Kind, schema};

/// Kinds of records that a whole configuration replaces.
pub const KINDS: [Kind; 3] = [Kind::Route, Kind::Service, Kind::Workspace];

/// One record of a whole configuration, in the newest schema.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// What it describes.
    pub kind: Kind,
    /// Its name.
    pub name: Name,
    /// The body: a JSON object.
    pub body: String,
}

/// What is wrong with a whole configuration; empty if nothing is.
pub fn errors(parts: &[Part]) -> Vec<String> {
    let mut found = Vec::new();
    let mut names = HashSet::new();
    let mut places = HashMap::new();
    let mut keys = HashMap::new();
    let mut bodies = Vec::new();
    for part in parts {
        let say = |text: &str| format!("{} '{}': {text}", part.kind, part.name);
        if !KINDS.contains(&part.kind) || part.name.is_empty() {
            found.push(say("not a part of a whole configuration"));
        }
        if !names.insert((part.kind, &part.name)) {
            found.push(say("stands twice"));
        }
        let Ok(body) = serde_json::from_str::<Map<String, Value>>(&part.body) else {
            found.push(say("the body is no JSON object"));
            continue;
        };
        for mistake in schema::errors(part.kind, schema::newest(part.kind), &body) {
            found.push(say(&mistake));
        }
        bodies.push((part, body));
    }
    for (part, body) in &bodies {
        let say = |text: &str| format!("{} '{}': {text}", part.kind, part.name);
        for (kind, name) in schema::references(part.kind, body) {
            if KINDS.contains(&kind) && !names.contains(&(kind, &Name::new(&name))) {
                found.push(say(&format!("there is no {kind} '{name}'")));
            }
        }
        if part.kind == Kind::Route {
            let place = (body.get("host"), body.get("prefix"));
            if let Some(other) = places.insert(place, &part.name) {
                found.push(say(&format!("same host and prefix as '{other}'")));
            }
        }
        for key in body.get("keys").and_then(Value::as_array).into_iter().flatten() {
            match keys.insert(key.as_str(), &part.name) {
                Some(other) if *other != part.name => {
                    found.push(say(&format!("shares a key with '{other}'")));
                }
                _ => {}
            }
        }
    }
    found
}
