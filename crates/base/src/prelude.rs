//! The common types, for one `use` at the head of a file.

pub use crate::{Code, Fate, Incarnation, Name, Revision, RunId, Time};
pub use std::time::Duration;
