//! The edges of a process: threads and sockets around one reducer.
//!
//! [`start`] opens every listener and runs the reducer on a stakker thread. Callers come through
//! hyper and links between processes through h2, both on one tokio thread; operators come through
//! tiny_http, and backend servers are called through ureq. The edges only translate: everything
//! that decides is in [`node::Node`].

mod callers;
mod clock;
mod files;
mod host;
mod key;
mod logging;
mod metrics;
mod net;
mod operators;
mod outlet;
mod server;
mod start;
mod transfer;

pub use clock::{Clock, incarnation, unix_ms};
pub use host::{Exit, Input};
pub use key::key_hash;
pub use logging::log_to_stderr;
pub use start::{Running, Stopper, keeper_folder, start};
