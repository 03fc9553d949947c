//! The I/O side of a process: threads and sockets around one reducer.
//!
//! [`start`] opens every listener and runs the reducer on a stakker thread. Callers connect through hyper and other
//! processes through h2, both on one tokio thread; operators connect through hyper on another, and backend servers are
//! called through ureq. [`single::run`] uses one thread, for VMs with a part of a core: the reducer and the sockets share one
//! loop, and requests are forwarded to servers without an agent in the [`Protocol`] of the deployment. This crate only
//! translates; every decision is made in [`node::Node`].

mod accept;
pub mod body;
pub mod budget;
mod callers;
mod clock;
pub mod connections;
mod control;
mod direct;
mod events;
mod files;
mod forward;
mod host;
mod key;
mod logging;
mod meter;
mod metrics;
pub mod net;
mod notes;
mod pool;
mod protocol;
mod queue;
mod response;
mod server;
pub mod single;
mod start;
mod transfer;
mod window;

pub use clock::{Clock, incarnation, unix_ms};
pub use events::{EventSplitter, is_event_stream};
pub use host::{Exit, Input, Inputs};
pub use key::key_hash;
pub use logging::{limit_log, log_to_stderr, log_to_stdout};
pub use metrics::Metrics;
pub use protocol::{Call, Page, Protocol};
pub use start::{Running, Stopper, keeper_folder, start};
