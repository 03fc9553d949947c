//! Commands in the log and their replies.

use std::sync::Arc;

use base::{Code, Incarnation, Name, Revision, RunId};
use bincode::config::standard;
use record::{Kind, Record, full_config};
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimStatus, Outcome};

/// A new content for a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The writer's id of this request; a resend carries the same.
    pub request: Name,
    /// Who writes.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Version that the writer has read; 0 for a new record.
    pub expected_version: u64,
    /// Schema version of the body.
    pub schema: u32,
    /// Least schema version that a reader must know.
    pub min_schema: u32,
    /// The body in JSON.
    pub body: String,
}

/// The end of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delete {
    /// The writer's id of this request.
    pub request: Name,
    /// Who writes.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Version that the writer has read.
    pub expected_version: u64,
}

/// An order to a backend server; its place in the log is its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Agent beside the server.
    pub server: Name,
    /// The one life of the agent that may obey.
    pub incarnation: Incarnation,
    /// Weight version to load.
    pub version: Name,
    /// Who caused it.
    pub by: Name,
}

/// A whole configuration; the highest version of its writers wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// Who writes.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// Version given by the writer.
    pub version: u64,
    /// The document as the writer sent it, given back to readers byte for byte.
    pub source: Arc<[u8]>,
    /// The records in it.
    pub parts: Vec<full_config::Part>,
}

/// A weight version that all replicas of a model shall hold; the highest wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promote {
    /// Who writes.
    pub by: Name,
    /// When, milliseconds since 1970 by the writer's clock.
    pub at_ms: u64,
    /// Model.
    pub model: Name,
    /// Weight version.
    pub version: u64,
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Put a record.
    Put(Put),
    /// Delete a record.
    Delete(Delete),
    /// Claim a request; `replaces` names a dispatch that is proved never to start.
    Claim {
        /// The claim.
        claim: Claim,
        /// A dispatch that never starts.
        replaces: Option<RunId>,
    },
    /// Note how a claimed request ended.
    Complete {
        /// Workspace that asked.
        workspace: Name,
        /// Its key.
        key: Name,
        /// The dispatch.
        run: RunId,
        /// How it ended; none when it never ran, which frees the key.
        outcome: Option<Outcome>,
    },
    /// Issue an order.
    Issue(Order),
    /// Put a whole configuration.
    Adopt(Adopt),
    /// Name a weight version.
    Promote(Promote),
}

impl Command {
    /// The bytes for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding into memory fails only for types bincode cannot hold, and this has none.
        bincode::serde::encode_to_vec(self, standard()).unwrap_or_default().into()
    }

    /// The command in an entry of the log.
    ///
    /// # Errors
    /// The bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let decoded = bincode::serde::decode_from_slice(bytes, standard());
        decoded.map(|(command, _)| command).map_err(|error| error.to_string())
    }
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A put or delete was accepted.
    Accepted {
        /// Where it stands in the log.
        revision: Revision,
        /// Version of the record after it.
        version: u64,
    },
    /// A put or delete was refused.
    Rejected {
        /// Why.
        code: Code,
        /// What is wrong.
        text: String,
        /// The record that stands.
        winner: Option<Record>,
    },
    /// Where a claim stands.
    Claim(ClaimStatus),
    /// A settlement was noted or came too late.
    Completed,
    /// An order was issued with this fencing token.
    Issued(Revision),
}
