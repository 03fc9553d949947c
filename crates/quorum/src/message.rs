//! Messages between members.

use base::Time;
use serde::{Deserialize, Serialize};

use crate::{Entry, Snapshot};

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A new disk says that it is empty, to form the first configuration or to be taken in.
    Uninitialized,
    /// The first configuration, as a snapshot.
    Bootstrap(Snapshot),
    /// A request for a vote; with `pre`, only whether it would be given.
    RequestVote {
        /// Term of the election.
        term: u64,
        /// Whether nothing is decided by the answer yet.
        pre: bool,
        /// Whether the leader itself asked for the election.
        transfer: bool,
        /// Last index of the candidate's log.
        last_index: u64,
        /// Term of that index.
        last_term: u64,
    },
    /// The answer to [`Message::RequestVote`].
    Vote {
        /// Term of the election.
        term: u64,
        /// Whether the answer is to a `pre` request.
        pre: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries from the leader, or none as a heartbeat.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        prev_index: u64,
        /// Term of that index.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Highest committed index.
        commit: u64,
        /// The leader's clock at sending; comes back in the answer.
        sent: Time,
        /// The member's clock in its last answer.
        echo: Time,
    },
    /// The answer to [`Message::Append`].
    Appended {
        /// Term of the member.
        term: u64,
        /// Whether the entry before was there.
        ok: bool,
        /// Last index known to agree, or where to go back to.
        index: u64,
        /// The leader's clock from the request.
        sent: Time,
        /// The member's clock at answering.
        at: Time,
    },
    /// A part of a snapshot.
    Install {
        /// Term of the leader.
        term: u64,
        /// The snapshot; its data is the part.
        part: Snapshot,
        /// Where the part begins.
        offset: u64,
        /// Length of the whole data.
        total: u64,
        /// The leader's clock at sending.
        sent: Time,
    },
    /// How much of a snapshot has come.
    Installed {
        /// Term of the member.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Bytes that have come; the total when it is in place.
        offset: u64,
        /// The leader's clock from the request.
        sent: Time,
    },
    /// The leader is leaving: stand for election at once.
    TimeoutNow {
        /// Term of the leader.
        term: u64,
    },
    /// A member that has a log says that nobody counts on it: it may have been replaced while it was
    /// silent, and wants to be taken in again.
    Rejoin,
}
