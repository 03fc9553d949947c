//! Bearer keys, which are kept only as hashes.

/// The form in which a workspace's record holds a bearer key.
pub fn key_hash(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
