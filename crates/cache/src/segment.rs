//! Prompt parts that a caller names by an ID, and what a server is believed to hold of them.

use std::collections::HashMap;

use base::Time;

/// A part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Segment {
    /// ID given by the caller; the same text has the same ID.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parts that a server is believed to hold, from what was sent there.
#[derive(Clone, Debug, Default)]
pub struct SegmentCache {
    segments: HashMap<(u64, u64), (u32, Time)>,
    tokens: u64,
}

impl SegmentCache {
    /// Parts at the start of a prompt that were sent to the server since a time, and so need not be
    /// read again; `salt` tells apart what must not be shared.
    pub fn cached_prefix(&self, salt: u64, prompt: &[Segment], since: Time) -> usize {
        let sent = |segment: &&Segment| {
            self.segments.get(&(salt, segment.id)).is_some_and(|(_, at)| *at >= since)
        };
        prompt.iter().take_while(sent).count()
    }

    /// A prompt was given to the server; the least recently used parts yield beyond `most` tokens.
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

    /// The server has lost everything.
    pub fn clear(&mut self) {
        self.segments.clear();
        self.tokens = 0;
    }
}
