//! What the agreed log drives: records, claims, orders and the audit.
//!
//! [`State::apply`] takes one command at its place in the log and is the same on every keeper:
//! it reads no clock, and times come from the writers. Every command may come twice, since a writer
//! that heard nothing sends it again.

mod adopt;
mod claim;
mod command;
mod machine;

pub use adopt::Adopted;
pub use claim::{Claim, ClaimStatus, Outcome};
pub use command::{Adopt, Command, Delete, Order, Promote, Put, Reply};
pub use machine::State;
