//! Configuration, inputs and outputs of a replica.

use std::sync::Arc;

use base::prelude::*;

use crate::{Entry, HardState, Member, Message, Snapshot, Write};

/// Timing parameters of the protocol.
#[derive(Clone, Debug)]
pub struct Timing {
    /// Interval between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Minimum election timeout. The leader lease is derived from it.
    pub election: Duration,
    /// Maximum difference in rate between two clocks, per mille.
    pub drift_permille: u32,
    /// Number of applied entries after which a snapshot is requested.
    pub snapshot_after: u64,
    /// Bytes of applied entries after which a snapshot is requested. A snapshot of more than half of that is replaced
    /// only after twice its own size.
    pub snapshot_after_bytes: usize,
    /// Time without a response after which a voter may be replaced by a member with a new disk.
    pub replace_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            election: Duration::from_millis(450),
            drift_permille: 50,
            snapshot_after: 10_000,
            snapshot_after_bytes: 4 << 20,
            replace_after: Duration::from_secs(3),
        }
    }
}

impl Timing {
    /// How long the leader lease lasts after a message was sent that a majority acknowledged.
    pub fn lease(&self) -> Duration {
        self.election * (1_000 - self.drift_permille) / 1_000
    }
}

/// Current role of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Collects pre-votes to find out whether it could win an election.
    PreCandidate,
    /// Campaigns for leadership.
    Candidate,
    /// The leader of its term.
    Leader,
}

/// How the first configuration is created and later extended.
#[derive(Clone, Debug, Default)]
pub struct Bootstrap {
    /// Names of the initial voters.
    pub names: Vec<Name>,
    /// Epoch of a configuration that this replica creates; must be greater than any earlier epoch.
    pub epoch: u64,
    /// Desired number of voters. A learner that has caught up is promoted while there are fewer.
    pub voters_wanted: usize,
    /// Whether members other than the initial voters are added as learners, to be promoted later.
    pub accept_new_members: bool,
}

impl Bootstrap {
    /// Parameters for a cluster of exactly these voters.
    pub fn of(names: Vec<Name>, epoch: u64) -> Self {
        Self { voters_wanted: names.len(), names, epoch, accept_new_members: false }
    }
}

/// State read from the disk at startup.
#[derive(Clone, Debug, Default)]
pub struct Saved {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// An event for a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another member.
    Message {
        /// The sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// A command to append to the log.
    Propose {
        /// ID that is returned in [`Output::Accepted`] or [`Output::Rejected`].
        id: u64,
        /// The command.
        data: Arc<[u8]>,
    },
    /// A linearizable read.
    Read {
        /// ID that is returned in [`Output::Readable`] or [`Output::Rejected`].
        id: u64,
    },
    /// All writes up to and including this one are synced.
    Persisted {
        /// Sequence number of the write.
        seq: u64,
    },
    /// The snapshot requested by [`Output::Snapshot`] is ready.
    Snapshotted {
        /// Index of the last entry that it includes.
        index: u64,
        /// The encoded state machine.
        data: Arc<[u8]>,
    },
    /// Transfer the leadership to another voter, if this replica leads.
    TransferLeadership,
    /// Another process has seen a configuration, so a replica with an empty disk must not create one.
    ClusterExists,
}

/// An action that the caller must perform for a replica.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: Member,
        /// The message.
        message: Message,
    },
    /// Write and sync to disk. Writes must be performed in the order of their sequence numbers.
    Persist {
        /// Sequence number of the write.
        seq: u64,
        /// Data to write.
        write: Write,
    },
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Replace the state machine's state by this snapshot.
    Restore(Snapshot),
    /// A proposal was appended to the leader's log. It is committed once an entry with this index and
    /// term is applied.
    Accepted {
        /// ID of the proposal.
        id: u64,
        /// Index of its entry.
        index: u64,
        /// Term of its entry.
        term: u64,
    },
    /// A proposal or read was rejected because this replica is not the leader or lost the leadership.
    Rejected {
        /// ID of the proposal or read.
        id: u64,
        /// The leader, if one is known.
        leader: Option<Member>,
    },
    /// A read is confirmed: the state machine may be read once this index is applied.
    Readable {
        /// ID of the read.
        id: u64,
        /// The read index.
        index: u64,
    },
    /// Create a snapshot of the state machine in its current state.
    Snapshot {
        /// Index of the last applied entry.
        index: u64,
    },
}
