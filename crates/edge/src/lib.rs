//! The edges of a process: threads and sockets around one reducer.
//!
//! [`start`] opens every listener and runs the reducer on a stakker thread. Callers come through
//! hyper and links between processes through h2, both on one tokio thread; operators come through
//! tiny_http, and backend servers are called through ureq. [`single::run`] does with one thread, for
//! VMs with a part of a core: reducer and sockets share one loop, and requests are forwarded to
//! servers without an agent in the words of a [`Protocol`]. The edges only translate: everything
//! that decides is in [`node::Node`].

mod accept;
mod callers;
mod clock;
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
mod net;
mod notes;
mod operators;
mod pool;
mod protocol;
mod response;
mod server;
pub mod single;
mod start;
mod transfer;

pub use clock::{Clock, incarnation, unix_ms};
pub use events::Splitter;
pub use host::{Exit, Input, Inputs};
pub use key::key_hash;
pub use logging::{limit_log, log_to_stderr, log_to_stdout};
pub use protocol::{Call, Page, Protocol};
pub use start::{Running, Stopper, keeper_folder, start};
