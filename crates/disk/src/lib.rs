//! The keeper's files.
//!
//! A folder holds the disk's identity, snapshots and log segments. Each record in a segment is a
//! length, a CRC-32 and bincode. [`Store::write`] puts many records down with one sync. After a
//! crash the end of the last segment may be torn; [`Store::open`] cuts it off. A bad record with a
//! good one behind it is no torn end: synced bytes have changed, and the store refuses to open.

mod error;
mod segment;
mod store;

pub use error::Error;
pub use store::{Opened, Store};
