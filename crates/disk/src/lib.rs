//! Durable storage of a keeper.
//!
//! A directory contains the disk's identity, a snapshot, a log segment and the addresses of other
//! processes. Each record in a segment consists of a length, a CRC-32 and a bincode body.
//! [`Store::write`] writes several records with one sync. A crash may leave a torn write at the end of
//! the segment, which [`Store::open`] truncates. An invalid record that is followed by a valid one is
//! not a torn write but corruption of synced data, and the store does not open. [`Recent`] holds records that are only
//! needed for minutes.

mod error;
mod recent;
mod segment;
mod store;

pub use error::Error;
pub use recent::Recent;
pub use store::{Opened, Store};
