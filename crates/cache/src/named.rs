//! Prompt parts that a caller names by an ID, and what a server is believed to hold of them.

use std::collections::HashMap;

use base::Time;

/// A part of a prompt, in the order of the prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Named {
    /// ID given by the caller; the same text has the same ID.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parts that a server is believed to hold, from what was sent there.
#[derive(Clone, Debug, Default)]
pub struct Held {
    parts: HashMap<(u64, u64), (u32, Time)>,
    tokens: u64,
}

impl Held {
    /// Parts at the start of a prompt that were sent to the server since a time, and so need not be
    /// read again; `salt` tells apart what must not be shared.
    pub fn found(&self, salt: u64, prompt: &[Named], since: Time) -> usize {
        let sent =
            |part: &&Named| self.parts.get(&(salt, part.id)).is_some_and(|(_, at)| *at >= since);
        prompt.iter().take_while(sent).count()
    }

    /// A prompt was given to the server; the least recently used parts yield beyond `most` tokens.
    pub fn used(&mut self, now: Time, salt: u64, prompt: &[Named], most: u64) {
        for part in prompt {
            let old = self.parts.insert((salt, part.id), (part.tokens, now));
            self.tokens += u64::from(part.tokens);
            self.tokens -= old.map_or(0, |(tokens, _)| u64::from(tokens));
        }
        while self.tokens > most {
            let oldest = self.parts.iter().min_by_key(|(_, (_, at))| *at);
            let Some((key, tokens)) = oldest.map(|(key, (tokens, _))| (*key, *tokens)) else {
                return;
            };
            self.parts.remove(&key);
            self.tokens -= u64::from(tokens);
        }
    }

    /// The server has lost everything.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}
