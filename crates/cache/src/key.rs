//! Keys of a prompt's pieces.

/// Bytes of a prompt in one piece.
pub const PIECE_BYTES: usize = 4_000;
/// Bytes of a prompt in one token, on average.
pub const BYTES_PER_TOKEN: usize = 4;

/// The key of a piece.
pub type Key = [u8; 16];

/// What besides the text decides about a key.
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

/// Keys of the whole pieces of a prompt, first piece first.
///
/// A last part shorter than [`PIECE_BYTES`] has no key.
pub fn block_keys(scope: Scope<'_>, text: &str) -> Vec<Key> {
    let mut hasher = blake3::Hasher::new_derive_key("tamarackbank cache block");
    hasher.update(scope.salt);
    for part in [scope.model, scope.version, scope.adapter] {
        hasher.update(&(part.len() as u64).to_be_bytes());
        hasher.update(part.as_bytes());
    }
    text.as_bytes()
        .chunks_exact(PIECE_BYTES)
        .map(|piece| {
            hasher.update(piece);
            let mut key = [0; 16];
            key.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
            key
        })
        .collect()
}

/// Rank of a holder for a key: the highest is its home, on which all who ask agree without talk.
pub fn holder_rank(key: &Key, holder: &str) -> u64 {
    let hash = blake3::Hasher::new().update(key).update(holder.as_bytes()).finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(first)
}

/// Tokens of a prompt, estimated from its bytes.
pub fn estimate_tokens(text: &str) -> u64 {
    (text.len() as u64).div_ceil(BYTES_PER_TOKEN as u64)
}
