//! The protocol between the system's processes.
//!
//! Every link carries [`Frame`]s over one HTTP/2 stream in each direction: a length in four bytes,
//! followed by the frame in bincode. [`encode`] encodes a frame, and [`Decoder`] reassembles frames from
//! received bytes. The types in this crate are protocol types, which the other crates convert to their
//! own.
//!
//! bincode identifies fields and variants by their position. They must never be moved, removed or
//! changed in type, since processes of different builds exchange frames during an upgrade.
//!
//! ```
//! use wire::{Decoder, Frame};
//! let mut decoder = Decoder::default();
//! decoder.push(&wire::encode(&Frame::Idle));
//! assert!(matches!(decoder.next_frame(), Ok(Some(Frame::Idle))));
//! ```

mod cache;
mod codec;
mod contact;
mod digest;
mod frame;
mod inventory;
pub mod limit;
mod list;
mod part;
pub mod quarantine;
mod request;
pub mod save;
pub mod stream;
mod version_ages;
mod work;

pub use cache::{CacheDelta, Piece};
pub use codec::{DecodeError, Decoder, MAX_FRAME, encode};
pub use contact::Contact;
pub use digest::Digest;
pub use frame::{Frame, Heartbeat, Hello, Load, NoQuorum, Output, ServerInfo, Start};
pub use inventory::{FetchLease, Holdings, Inventory, ServerLoad, StoredSegment, WorkTime};
pub use list::{List, Listed};
pub use part::Part;
pub use request::{Answer, ReadIndex, Request};
pub use version_ages::VersionAges;
pub use work::{Call, Priority, Prompt, Work};
