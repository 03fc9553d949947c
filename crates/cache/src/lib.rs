//! Prefix cache: keys, the directory of who holds what, blocks on the stores, links.
//!
//! A prompt is cut into pieces of [`PIECE`] bytes, about a thousand tokens. The [`Key`] of a piece
//! is a hash over the workspace's salt, model, weight version, adapter and all text up to its end,
//! so a hit across workspaces or weight versions cannot happen. A block on a store carries a
//! header; [`unseal`] gives nothing for a block that is torn, replaced or foreign, which is a miss.
//!
//! Prompts whose callers name the parts themselves go by [`Named`] parts instead, and [`Held`] is
//! what a server is believed to hold of them, [`Stock`] what lies on the stores.

mod block;
mod directory;
mod keep;
mod key;
mod link;
mod named;
mod shelf;
mod stock;

pub use block::{BadBlock, seal, unseal};
pub use directory::{Directory, Holder};
pub use keep::Keep;
pub use key::{Key, PIECE, Scope, TOKEN, chain, rank, tokens};
pub use link::Link;
pub use named::{Held, Named};
pub use shelf::{Freed, Phase, Shelf};
pub use stock::{Place, Stock, salt_number};
