//! Types shared by all crates: names, time, identifiers and result codes.
//!
//! This crate performs no I/O and reads no clock. The current [`Time`] is always passed in by the
//! caller, so that every decision can be replayed from a list of events.
//!
//! ```
//! use base::prelude::*;
//! let start = Time::ZERO;
//! assert_eq!((start + Duration::from_millis(3)).since(start), Duration::from_millis(3));
//! ```

mod code;
mod hex;
mod id;
mod name;
pub mod prelude;
mod time;

pub use code::{Code, Fate};
pub use hex::{hex, unhex};
pub use id::{Incarnation, Numbers, Revision, RunId};
pub use name::Name;
pub use time::Time;
