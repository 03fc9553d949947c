//! What a member takes in and what it asks for.

use std::sync::Arc;

use base::prelude::*;

use crate::{Entry, HardState, Member, Message, Snapshot, Write};

/// Times of the protocol.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Least silence after which a member stands for election; also the term of the lease.
    pub election: Duration,
    /// Largest rate by which two clocks may differ, in thousandths.
    pub drift_permille: u32,
    /// Applied entries after which a snapshot is asked for.
    pub snapshot_after: u64,
    /// Silence after which a voter's new disk takes the place of its old one.
    pub replace_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            election: Duration::from_millis(450),
            drift_permille: 50,
            snapshot_after: 10_000,
            replace_after: Duration::from_secs(3),
        }
    }
}

impl Timing {
    /// How long a leader may trust an answer, from the moment it asked.
    pub fn lease(&self) -> Duration {
        self.election * (1_000 - self.drift_permille) / 1_000
    }
}

/// What a member is at present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// How the first configuration is formed.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    /// Names of the first voters.
    pub names: Vec<Name>,
    /// Epoch of a configuration that this member forms; greater than any earlier one.
    pub epoch: u64,
    /// Voters wanted; a learner that has caught up fills a place that is free.
    pub voters_wanted: usize,
    /// Whether members beyond the founders are taken in as learners, to fill such places later.
    pub accept_new_members: bool,
}

impl Bootstrap {
    /// A quorum of exactly these names.
    pub fn of(names: Vec<Name>, epoch: u64) -> Self {
        Self { voters_wanted: names.len(), names, epoch, accept_new_members: false }
    }
}

/// What a member found on its disk.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    /// Term and vote.
    pub hard_state: HardState,
    /// Last snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

/// What a member takes in.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passes.
    Tick,
    /// A message from another member.
    Message {
        /// The sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// A command for the log.
    Propose {
        /// Number that comes back in [`Output::Accepted`].
        id: u64,
        /// The command.
        data: Arc<[u8]>,
    },
    /// A linearizable read.
    Read {
        /// Number that comes back in [`Output::Readable`].
        id: u64,
    },
    /// Everything up to this request is synced.
    Persisted {
        /// Number of the request.
        seq: u64,
    },
    /// A snapshot that was asked for.
    Snapshotted {
        /// Last index it holds.
        index: u64,
        /// The state machine's bytes.
        data: Arc<[u8]>,
    },
    /// Hand leadership over.
    TransferLeadership,
    /// Some process knows a configuration, so an empty disk must not form one.
    ClusterExists,
}

/// What a member asks for.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write and sync, in the order of the requests.
    Persist {
        /// Number of the request.
        seq: u64,
        /// What to write.
        write: Write,
    },
    /// Apply a committed entry.
    Apply(Entry),
    /// Replace the state machine.
    Restore(Snapshot),
    /// A proposal has its place; it is accepted once that index is applied with that term.
    Accepted {
        /// Number of the proposal.
        id: u64,
        /// Its index.
        index: u64,
        /// Its term.
        term: u64,
    },
    /// A proposal or read was not taken; the leader, if one is known.
    Rejected {
        /// Number of the proposal or read.
        id: u64,
        /// Whom to ask.
        leader: Option<Member>,
    },
    /// The state machine may be read once this index is applied.
    Readable {
        /// Number of the read.
        id: u64,
        /// The index.
        index: u64,
    },
    /// Make a snapshot of the state machine as it is now.
    Snapshot {
        /// Index that was applied last.
        index: u64,
    },
}
