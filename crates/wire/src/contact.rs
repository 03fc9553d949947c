//! Addresses of processes, as known to other processes.

use serde::{Deserialize, Serialize};

use crate::Hello;

/// A process, and the time since its last contact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// The process's own description.
    pub hello: Hello,
    /// Time since any process had a link to it, milliseconds.
    pub silent_ms: u64,
}
