//! Agreement on one log among a few keepers.
//!
//! [`Replica`] is a plain reducer: [`Replica::step`] takes the present time and one [`Input`] and gives
//! [`Output`]s. It follows Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014) with
//! pre-vote, check-quorum, a leader lease on the monotonic clock, read-index, snapshots and one
//! membership change at a time.
//!
//! Two rules go beyond it. A voter is a name and a disk: an empty disk has another identity, so it
//! can never vote under an old one. And the log has an epoch, which a restore from a backup raises,
//! so that fencing tokens from before the restore are old.
//!
//! Nothing is sent before what it promises is synced: [`Output::Persist`] asks for a sync, and
//! [`Input::Persisted`] lets the answers out that wait for it.

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
