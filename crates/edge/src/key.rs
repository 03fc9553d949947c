//! Bearer keys, which are stored only as hashes.

/// The hash of a bearer key, as a workspace's record holds it.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
