//! Prefix cache: keys, the directory of holders, blocks on the stores, links.
//!
//! A prompt is divided into prefix blocks of [`PIECE_BYTES`] bytes, about a thousand tokens. The [`Key`] of a block is
//! a hash over the workspace's salt, model, weight version, adapter and all text up to the block's end, so that a hit
//! across workspaces or weight versions can't happen. A block on a store has a header; [`decode_block`] rejects a
//! block that is truncated, corrupt or has another key or generation, which is a miss.
//!
//! Prompts whose callers name the segments themselves use [`Segment`]s instead: [`SegmentCache`] estimates which of
//! them a server holds, and [`Inventory`] tracks which of them the stores hold.

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
