//! The reducer of one process.
//!
//! A [`Node`] handles one [`Event`] at a time and returns [`Effect`]s. It contains the reducers of the roles of
//! the process: [`Entry`] for callers, [`Agent`] for a backend server, [`Keeper`] for the replicated state, and
//! [`forward::Forward`] for servers without an agent. Nothing here reads a clock, a socket or a file, so any
//! failure can be replayed from its events.

pub mod admin;
mod agent;
pub mod api;
mod client_request;
mod config;
mod contacts;
pub mod decision;
mod effect;
mod entry;
mod event;
pub mod forward;
mod keeper;
mod keeper_client;
mod members;
mod process;
mod rollout;
mod run;
mod stream_keeper;
mod watch;

pub use agent::Agent;
pub use client_request::{Caller, ClientRequest, RequestKind};
pub use config::{Config, Policy};
pub use contacts::Contacts;
pub use effect::{Dial, Effect, Effects, ResponseHead};
pub use entry::{Entry, PlacementDecision, Server as EntryServer};
pub use event::{CacheEvent, Event, ServerEvent, TransferResult};
pub use keeper::Keeper;
pub use keeper_client::{KeeperClient, Purpose};
pub use members::{Member, MemberStatus, Members};
pub use process::{LocalProcess, Node};
pub use rollout::{Plan, plan};
pub use run::Run;
pub use watch::{CONFIG_LEASE, Watch};
