//! The replicated state machine: records, claims, orders and the audit log.
//!
//! [`State::apply`] applies one command at its position in the log. It is deterministic, so that every
//! keeper reaches the same state: it reads no clock, and all times come from the writers. A command
//! may be applied more than once, because a writer that receives no reply sends it again.

mod claim;
mod command;
mod evacuation;
mod machine;
mod put_config;

pub use claim::{Claim, ClaimStatus, Outcome};
pub use command::{Command, Delete, Evacuate, Order, Promote, Put, PutConfig, Reply};
pub use machine::State;
pub use put_config::StoredConfig;
