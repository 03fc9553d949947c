//! Commands that are replicated through the log, and their replies.

use std::sync::Arc;

use base::{Code, Incarnation, Name, Revision, RunId};
use bincode::config::standard;
use record::{Kind, Record, full_config};
use serde::{Deserialize, Serialize};

use crate::{Claim, ClaimStatus, Outcome};

/// Creates or replaces a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// ID given by the writer, the same when the request is sent again.
    pub request: Name,
    /// The writer.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Version that the record must have; 0 if the record must not exist.
    pub expected_version: u64,
    /// Schema version of the body.
    pub schema: u32,
    /// Minimum schema version that a reader must support.
    pub min_schema: u32,
    /// The body in JSON.
    pub body: String,
}

/// Deletes a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delete {
    /// ID given by the writer, the same when the request is sent again.
    pub request: Name,
    /// The writer.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Kind of the record.
    pub kind: Kind,
    /// Name of the record.
    pub name: Name,
    /// Version that the record must have.
    pub expected_version: u64,
}

/// An order to a backend server to load a weight version. Its position in the log is its fencing
/// token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Agent of the server.
    pub server: Name,
    /// The only incarnation of the agent that may execute the order.
    pub incarnation: Incarnation,
    /// Weight version to load.
    pub version: Name,
    /// Who issued the order.
    pub by: Name,
}

/// Replaces the full configuration. The highest version wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutConfig {
    /// The writer.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Version, assigned by the writer.
    pub version: u64,
    /// The document as the writer sent it; readers receive the same bytes.
    pub source: Arc<[u8]>,
    /// The records that it contains.
    pub parts: Vec<full_config::Part>,
}

/// Sets the weight version that all replicas of a model must load. The highest version wins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promote {
    /// The writer.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// Model.
    pub model: Name,
    /// Weight version.
    pub version: u64,
}

/// Starts or ends the evacuation of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuate {
    /// The writer.
    pub by: Name,
    /// Time of the change by the writer's clock, milliseconds since 1970.
    pub at_ms: u64,
    /// The zone.
    pub zone: Name,
    /// Whether its servers must receive no requests.
    pub active: bool,
    /// Version of the zone's record that the process knew; 0 if it knew none.
    pub expected_version: u64,
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Create or replace a record.
    Put(Put),
    /// Delete a record.
    Delete(Delete),
    /// Claim an idempotency key.
    Claim {
        /// The claim.
        claim: Claim,
        /// An attempt that is known never to start, and whose claim may be replaced.
        replaces: Option<RunId>,
    },
    /// Complete a claim: record how the request ended.
    Complete {
        /// Workspace of the caller.
        workspace: Name,
        /// The idempotency key.
        key: Name,
        /// The attempt that holds the claim.
        run: RunId,
        /// How it ended; `None` if it never ran, which releases the key.
        outcome: Option<Outcome>,
    },
    /// Issue an order to a backend server.
    Issue(Order),
    /// Replace the full configuration.
    PutConfig(PutConfig),
    /// Set the weight version of a model.
    Promote(Promote),
    /// Start or end the evacuation of a zone.
    Evacuate(Evacuate),
}

impl Command {
    /// Encodes the command for the log.
    pub fn encode(&self) -> Arc<[u8]> {
        // Encoding into memory fails only for types that bincode does not support; none are used here.
        bincode::serde::encode_to_vec(self, standard()).unwrap_or_default().into()
    }

    /// Decodes a command from a log entry.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, String> {
        let decoded = bincode::serde::decode_from_slice(bytes, standard());
        decoded.map(|(command, _)| command).map_err(|error| error.to_string())
    }
}

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A put or delete was accepted.
    Accepted {
        /// Position of the change in the log.
        revision: Revision,
        /// Version of the record after the change.
        version: u64,
    },
    /// A put or delete was rejected.
    Rejected {
        /// Reason.
        code: Code,
        /// Description of the error.
        text: String,
        /// The current record, if there is a conflict.
        winner: Option<Record>,
    },
    /// Status of the claim.
    Claim(ClaimStatus),
    /// The completion was recorded, or ignored because it came too late.
    Completed,
    /// The order was issued with this fencing token.
    Issued(Revision),
}
