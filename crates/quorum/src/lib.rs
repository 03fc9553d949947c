//! Consensus on a replicated log among a small group of keepers.
//!
//! [`Replica`] is a deterministic state machine without I/O: [`Replica::step`] takes the current time
//! and one [`Input`] and returns [`Output`]s. It implements Raft (Ongaro, "Consensus: Bridging Theory
//! and Practice", 2014) with pre-vote, check-quorum, a leader lease on the monotonic clock, read
//! index, snapshots and single-server membership changes.
//!
//! It extends Raft in two ways. A voter is identified by its name and its disk: an empty disk gets a
//! new identity, so it can never vote as the replica that used the old disk. The log has an epoch,
//! which is increased by each restore from a backup, so that fencing tokens issued before the restore
//! are recognised as outdated.
//!
//! A message is sent only after the state that it promises is synced: [`Output::Persist`] requests a
//! sync, and [`Input::Persisted`] releases the messages that depend on it.

mod election;
mod install;
mod io;
mod leader;
mod log;
mod member;
mod message;
mod read;
mod replica;

pub use io::{Bootstrap, Input, Output, Role, Saved, Timing};
pub use log::{Body, Entry, HardState, Snapshot, Write};
pub use member::{Config, Member};
pub use message::Message;
pub use replica::Replica;
