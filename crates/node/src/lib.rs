//! The reducer of one process.
//!
//! A [`Node`] takes one [`Event`] at a time and answers with [`Effect`]s. It holds the reducers of
//! the roles the process plays: [`Entry`] towards callers, [`Agent`] beside a backend server.
//! Nothing here reads a clock, a socket or a file, so any failure can be replayed from its events.

mod agent;
pub mod api;
mod ask;
mod config;
mod effect;
mod entry;
mod event;
mod process;
mod run;

pub use agent::Agent;
pub use ask::{Ask, Caller, Want};
pub use config::Config;
pub use effect::{Effect, Effects, Reply};
pub use entry::Entry;
pub use event::{Event, Server};
pub use process::{Me, Node};
pub use run::Run;
