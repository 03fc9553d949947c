//! One record.

use std::sync::Arc;

use base::{Name, Revision};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::Kind;

/// One record as it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What it describes.
    pub kind: Kind,
    /// Its name, unique within the kind.
    pub name: Name,
    /// Counts its accepted changes, from 1.
    pub version: u64,
    /// Schema version of the body.
    pub schema: u32,
    /// Least schema version that a reader must know.
    pub min_schema: u32,
    /// The body: a JSON object with sorted keys.
    pub body: Arc<str>,
    /// Where its creation stands in the log; another life of the same name has another.
    pub created: Revision,
    /// Where its last change stands in the log.
    pub revision: Revision,
    /// Who made the last change.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
}

impl Record {
    /// The body as a map; empty if it is no object.
    pub fn fields(&self) -> Map<String, Value> {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// One accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Where the change stands in the log.
    pub revision: Revision,
    /// The record after it; none when it was deleted.
    pub record: Option<Record>,
    /// Who made it.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
}
