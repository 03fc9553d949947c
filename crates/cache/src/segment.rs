//! Prompt segments, which callers name by IDs, and an estimate of the segments that a server holds.

use std::collections::HashMap;

use base::Time;

/// A segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Segment {
    /// ID from the caller; the same text has the same ID.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Estimate of the segments that a server holds, from the prompts sent there.
#[derive(Clone, Debug, Default)]
pub struct SegmentCache {
    segments: HashMap<(u64, u64), (u32, Time)>,
    tokens: u64,
}

impl SegmentCache {
    /// Number of segments at the start of a prompt that were sent to the server after `since` and so need no prefill;
    /// `salt` separates segments that must not be shared.
    pub fn cached_prefix(&self, salt: u64, prompt: &[Segment], since: Time) -> usize {
        let sent = |segment: &&Segment| {
            self.segments.get(&(salt, segment.id)).is_some_and(|(_, at)| *at >= since)
        };
        prompt.iter().take_while(sent).count()
    }

    /// Records a prompt sent to the server; evicts the least recently used segments beyond `max_tokens`.
    pub fn insert(&mut self, now: Time, salt: u64, prompt: &[Segment], max_tokens: u64) {
        for segment in prompt {
            let old = self.segments.insert((salt, segment.id), (segment.tokens, now));
            self.tokens += u64::from(segment.tokens);
            self.tokens -= old.map_or(0, |(tokens, _)| u64::from(tokens));
        }
        while self.tokens > max_tokens {
            let oldest = self.segments.iter().min_by_key(|(_, (_, at))| *at);
            let Some((key, tokens)) = oldest.map(|(key, (tokens, _))| (*key, *tokens)) else {
                return;
            };
            self.segments.remove(&key);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Removes all segments, as the server has lost them.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.tokens = 0;
    }
}
