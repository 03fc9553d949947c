//! Frames between the system's own processes.
//!
//! Every link carries [`Frame`]s over one h2 stream in each direction: a length in four bytes, then
//! the frame in bincode. [`encode`] writes one, and [`Decoder`] takes bytes as they come and gives
//! whole frames. Types here belong to the border; the crates above translate them.
//!
//! ```
//! use wire::{Decoder, Frame};
//! let mut decoder = Decoder::default();
//! decoder.push(&wire::encode(&Frame::Idle));
//! assert!(matches!(decoder.next_frame(), Ok(Some(Frame::Idle))));
//! ```

mod ask;
mod cache;
mod codec;
mod contact;
mod digest;
mod frame;
mod inventory;
pub mod limit;
mod list;
mod part;
mod weights;
mod work;

pub use ask::{Answer, ReadIndex, Request};
pub use cache::{CacheDelta, Piece};
pub use codec::{DecodeError, Decoder, MAX_FRAME, encode};
pub use contact::Contact;
pub use digest::Digest;
pub use frame::{Frame, Heartbeat, Hello, Load, NoQuorum, Output, ServerInfo, Start};
pub use inventory::{Holdings, Inventory, ServerLoad, StoredSegment};
pub use list::{List, Listed};
pub use part::Part;
pub use weights::VersionAges;
pub use work::{Call, Priority, Prompt, Work};
