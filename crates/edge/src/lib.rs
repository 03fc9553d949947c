//! The edges of a process: threads and sockets around one reducer.
//!
//! [`start`] opens every listener and runs the reducer on a stakker thread. Callers come through
//! hyper and links between processes through h2, both on one tokio thread; operators come through
//! tiny_http, and backend servers are called through ureq. The edges only translate: everything
//! that decides is in [`node::Node`].

mod callers;
mod clock;
mod host;
mod logging;
mod net;
mod operators;
mod outlet;
mod server;
mod start;

pub use clock::{Clock, incarnation};
pub use host::Input;
pub use logging::log_to_stderr;
pub use start::{Running, Stopper, start};
