//! Common types, for import with a single `use`.

pub use crate::{Code, Fate, Incarnation, Name, Numbers, Revision, RunId, Time};
pub use std::time::Duration;
