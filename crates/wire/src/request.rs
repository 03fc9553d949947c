//! Requests to keepers about the replicated state.

use base::{Name, Revision};
use serde::{Deserialize, Serialize};
use state::{ClaimStatus, Command, Reply, StoredConfig};

/// A request to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Append a command to the log.
    Command(Command),
    /// Read the current position of the log.
    ReadIndex,
    /// Read the status of a claim.
    ClaimStatus {
        /// Workspace.
        workspace: Name,
        /// The caller's idempotency key.
        key: Name,
    },
    /// Read the current full configuration.
    StoredConfig,
}

/// The position of the log, obtained by a linearizable read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndex {
    /// Revision of the latest change of a record.
    pub records: Revision,
    /// Position of the latest entry in the log.
    pub position: Revision,
}

/// A keeper's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The reply to a command.
    Reply(Reply),
    /// The reply to [`Request::ReadIndex`].
    ReadIndex(ReadIndex),
    /// The reply to [`Request::ClaimStatus`].
    ClaimStatus(Option<ClaimStatus>),
    /// This keeper cannot answer because it is not the leader; the leader's name, if it knows one.
    NotLeader(Option<Name>),
    /// The reply to [`Request::StoredConfig`].
    StoredConfig(Option<StoredConfig>),
}
