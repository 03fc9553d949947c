//! Prefix cache: keys, the directory of who holds what, blocks on the stores, links.
//!
//! A prompt is cut into pieces of [`PIECE_BYTES`] bytes, about a thousand tokens. The [`Key`] of a piece
//! is a hash over the workspace's salt, model, weight version, adapter and all text up to its end,
//! so a hit across workspaces or weight versions cannot happen. A block on a store carries a
//! header; [`decode_block`] gives nothing for a block that is torn, replaced or foreign, which is a miss.
//!
//! Prompts whose callers name the parts themselves go by [`Segment`] parts instead, and [`SegmentCache`] is
//! what a server is believed to hold of them, [`Inventory`] what lies on the stores.

mod block;
mod directory;
mod inventory;
mod key;
mod link;
mod retention;
mod segment;
mod store_index;

pub use block::{BlockError, decode_block, encode_block};
pub use directory::{Directory, Holder};
pub use inventory::{Inventory, Location, salt_number};
pub use key::{BYTES_PER_TOKEN, Key, PIECE_BYTES, Scope, block_keys, estimate_tokens, holder_rank};
pub use link::Link;
pub use retention::Retention;
pub use segment::{Segment, SegmentCache};
pub use store_index::{FreedBlock, Phase, StoreIndex};
