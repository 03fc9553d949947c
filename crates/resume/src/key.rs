//! Identifies streams across requests and processes.

/// Identifies a stream: a hash of the workspace and of the client attempt that received its first event.
///
/// With the workspace in it, nobody can go on with a stream of another workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub [u8; 16]);

impl Key {
    /// The key of a stream; `workspace` is that of the client's API key, if its route requires one.
    pub fn new(workspace: Option<&str>, first_attempt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        // The length separates the two texts. No workspace differs from each that has a name.
        let length = workspace.map_or(u64::MAX, |workspace| workspace.len() as u64);
        hasher.update(&length.to_le_bytes());
        hasher.update(workspace.unwrap_or_default().as_bytes());
        hasher.update(first_attempt.as_bytes());
        let mut key = [0; 16];
        hasher.finalize_xof().fill(&mut key);
        Self(key)
    }
}
