//! Keys of a prompt's prefix blocks.
//!
//! Settings and some identifiers call a prefix block a piece.

/// Bytes of a prompt in one prefix block.
pub const PIECE_BYTES: usize = 4_000;
/// Average bytes of a prompt per token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Key of a prefix block.
pub type Key = [u8; 16];

/// Everything besides the text that determines a key.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Salt of the workspace.
    pub salt: &'a [u8; 16],
    /// Model.
    pub model: &'a str,
    /// Weight version.
    pub version: &'a str,
    /// Adapter; empty for none.
    pub adapter: &'a str,
}

/// Keys of the complete prefix blocks of a prompt, in their order.
///
/// A remainder shorter than [`PIECE_BYTES`] has no key.
pub fn block_keys(scope: Scope<'_>, text: &str) -> Vec<Key> {
    let mut hasher = blake3::Hasher::new_derive_key("tamarackbank cache block");
    hasher.update(scope.salt);
    for part in [scope.model, scope.version, scope.adapter] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    text.as_bytes()
        .chunks_exact(PIECE_BYTES)
        .map(|block| {
            hasher.update(block);
            let mut key = [0; 16];
            key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
            key
        })
        .collect()
}

/// Rank of a holder for a key (rendezvous hashing): all processes agree on the holder with the highest rank without
/// communicating.
pub fn holder_rank(key: &Key, holder: &str) -> u64 {
    let hash = blake3::Hasher::new().update(key).update(holder.as_bytes()).finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Number of tokens of a prompt, estimated from its bytes.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN as u64)
}
