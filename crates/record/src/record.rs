//! Records and their changes.

use std::sync::Arc;

use base::{Name, Revision};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::Kind;

/// A configuration record as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it describes.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: Name,
    /// Number of accepted changes since its creation, starting at 1.
    pub version: u64,
    /// Schema version of the body.
    pub schema: u32,
    /// Minimum schema version that a reader must support.
    pub min_schema: u32,
    /// The body: a JSON object with sorted keys.
    pub body: Arc<str>,
    /// Log position of its creation. A record that is deleted and created again under the same name
    /// has a different one.
    pub created: Revision,
    /// Log position of its last change.
    pub revision: Revision,
    /// Author of the last change.
    pub by: Name,
    /// Time of the last change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
}

impl Record {
    /// The body as a map; empty if it is not a JSON object.
    pub fn fields(&self) -> Map<String, Value> {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// An accepted change of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Log position of the change.
    pub revision: Revision,
    /// The record after the change; `None` if it was deleted.
    pub record: Option<Record>,
    /// Author of the change.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
}
