//! Where a process can be reached, as others know it.

use serde::{Deserialize, Serialize};

use crate::Hello;

/// A process, and how old the last sign of it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// What it said of itself.
    pub hello: Hello,
    /// Time since a process was linked to it, milliseconds.
    pub silent_ms: u64,
}
