//! Requests for the agreed state.

use base::{Name, Revision};
use serde::{Deserialize, Serialize};
use state::{Adopted, ClaimStatus, Command, Reply};

/// A request to a keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Put a command into the log.
    Command(Command),
    /// Read how far the log has come.
    ReadIndex,
    /// Read where a claimed request stands.
    ClaimStatus {
        /// Workspace.
        workspace: Name,
        /// The caller's key.
        key: Name,
    },
    /// Read the whole configuration that was written last.
    Adopted,
}

/// How far the log has come, by a linearizable read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadIndex {
    /// Latest change of records.
    pub records: Revision,
    /// Latest place in the log.
    pub position: Revision,
}

/// A keeper's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The reply to a command.
    Reply(Reply),
    /// The reply to [`Request::ReadIndex`].
    ReadIndex(ReadIndex),
    /// The reply to [`Request::ClaimStatus`].
    ClaimStatus(Option<ClaimStatus>),
    /// This keeper cannot answer; the leader, if it knows one.
    NotLeader(Option<Name>),
    /// The reply to [`Request::Adopted`].
    Adopted(Option<Adopted>),
}
