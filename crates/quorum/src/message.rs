//! Messages between members.

use base::Time;
use serde::{Deserialize, Serialize};

use crate::{Entry, Snapshot};

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's disk is empty; it waits for the first configuration or to be added as a member.
    Uninitialized,
    /// The first configuration, as a snapshot for a replica with an empty disk.
    Bootstrap(Snapshot),
    /// A request for a vote, or for a pre-vote.
    RequestVote {
        /// Term of the election.
        term: u64,
        /// Whether this is a pre-vote, which does not change the voter's state.
        pre: bool,
        /// Whether the leader started the election to transfer its leadership.
        transfer: bool,
        /// Last index of the candidate's log.
        last_index: u64,
        /// Term of the entry at that index.
        last_term: u64,
    },
    /// The response to [`Message::RequestVote`].
    Vote {
        /// Term of the election.
        term: u64,
        /// Whether this answers a pre-vote.
        pre: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; empty for a heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index of the entry before the first one in `entries`.
        prev_index: u64,
        /// Term of the entry at that index.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Highest committed index.
        commit: u64,
        /// The leader's clock when it sent the message; returned in the response.
        sent: Time,
        /// The receiver's clock from its last response.
        echo: Time,
    },
    /// The response to [`Message::Append`].
    Appended {
        /// Term of the responder.
        term: u64,
        /// Whether the log matched at `prev_index`.
        ok: bool,
        /// The last index that matches the leader's log or, if `ok` is false, the index from which
        /// the leader should retry.
        index: u64,
        /// The leader's clock, copied from the request.
        sent: Time,
        /// The responder's clock when it answered.
        at: Time,
    },
    /// A chunk of a snapshot.
    Install {
        /// Term of the leader.
        term: u64,
        /// The snapshot, with only this chunk as its data.
        chunk: Snapshot,
        /// Offset of the chunk in the snapshot's data, bytes.
        offset: u64,
        /// Length of the complete data, bytes.
        total: u64,
        /// The leader's clock when it sent the message.
        sent: Time,
    },
    /// The response to [`Message::Install`].
    Installed {
        /// Term of the responder.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Bytes received so far; equal to the total once the snapshot is installed.
        offset: u64,
        /// The leader's clock, copied from the request.
        sent: Time,
    },
    /// The leader gives up its leadership: the receiver starts an election immediately.
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
    /// The sender has a log but no contact to a leader. It may have been removed from the
    /// configuration while it was unreachable, and asks to be added again.
    Rejoin,
}
