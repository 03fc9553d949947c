//! A model engine without I/O or clocks: continuous batching with a prefix cache.

use std::collections::{BTreeMap, HashMap, VecDeque};

/// Speeds and sizes of an engine.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Time of one step, microseconds.
    pub step_us: u64,
    /// Maximum number of runs in one batch.
    pub slots: usize,
    /// Prompt tokens computed in one step.
    pub prefill: u64,
    /// Blocks that fit into the accelerator's memory.
    pub blocks: usize,
    /// Prompt tokens in one block.
    pub block_tokens: u64,
    /// One cache event in this many is lost; 0 for none.
    pub lose_every: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self {
            step_us: 6_000,
            slots: 16,
            prefill: 256,
            blocks: 512,
            block_tokens: 1_000,
            lose_every: 0,
        }
    }
}

/// A run for the engine.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Number of the run.
    pub id: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Index of the first token to generate.
    pub from: u32,
    /// Index after the last token to generate.
    pub until: u32,
    /// Keys of the prompt's complete blocks.
    pub keys: Vec<[u8; 16]>,
    /// Priority; higher ones go first.
    pub priority: u8,
}

/// An output of one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// One token of a run.
    Token {
        /// Number of the run.
        id: u64,
        /// Index of the token.
        index: u32,
    },
    /// The end of a run.
    End {
        /// Number of the run.
        id: u64,
        /// Prompt tokens computed.
        computed: u64,
        /// Prompt tokens taken from the cache.
        cached: u64,
    },
}

/// A numbered cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// Sequence number; lost events leave gaps.
    pub seq: u64,
    /// Key of the block.
    pub key: [u8; 16],
    /// Whether the block was stored; otherwise it was evicted.
    pub stored: bool,
}

#[derive(Debug)]
struct Active {
    job: Job,
    /// Index of the next token to generate.
    next: u32,
    /// Tokens still to compute before the next one can be generated.
    prefill_left: u64,
    cached: u64,
}

/// A continuous batch with a prefix cache.
#[derive(Debug, Default)]
pub struct Batch {
    /// Speeds and sizes.
    pub profile: Profile,
    active: Vec<Active>,
    waiting: VecDeque<Job>,
    /// Time of last use by block, counted in uses.
    cache: HashMap<[u8; 16], u64>,
    /// Blocks by time of last use, for eviction of the least recently used.
    by_use: BTreeMap<u64, [u8; 16]>,
    uses: u64,
    events: Vec<Event>,
    seq: u64,
}

impl Batch {
    /// Creates an idle engine.
    pub fn new(profile: Profile) -> Self {
        Self { profile, ..Self::default() }
    }

    /// Whether no run is active or waiting.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty() && self.waiting.is_empty()
    }

    /// Number of runs in the batch.
    pub fn running(&self) -> usize {
        self.active.len()
    }

    /// Number of runs that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Prompt tokens still to compute.
    pub fn prefill_left(&self) -> u64 {
        let active: u64 = self.active.iter().map(|active| active.prefill_left).sum();
        let waiting: u64 = self.waiting.iter().map(|job| job.prompt_tokens).sum();
        active + waiting
    }

    /// Queues a run behind those of the same or a higher priority.
    pub fn submit(&mut self, job: Job) {
        let index = self.waiting.iter().position(|other| other.priority < job.priority);
        self.waiting.insert(index.unwrap_or(self.waiting.len()), job);
    }

    /// Ends a run early; returns whether it was found.
    pub fn cancel(&mut self, id: u64) -> bool {
        let before = self.active.len() + self.waiting.len();
        self.active.retain(|active| active.job.id != id);
        self.waiting.retain(|job| job.id != id);
        before != self.active.len() + self.waiting.len()
    }

    /// Runs one step of the batch.
    pub fn step(&mut self) -> Vec<Output> {
        self.admit();
        let mut budget = self.profile.prefill;
        let mut outputs = Vec::new();
        let mut ended = Vec::new();
        // Prefill in order of priority, then of admission.
        let mut order: Vec<usize> = (0..self.active.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(self.active[*index].job.priority));
        for index in order {
            let active = &mut self.active[index];
            let tokens = active.prefill_left.min(budget);
            active.prefill_left -= tokens;
            budget -= tokens;
        }
        for index in 0..self.active.len() {
            let active = &mut self.active[index];
            if active.prefill_left > 0 {
                continue;
            }
            if active.next < active.job.until {
                outputs.push(Output::Token { id: active.job.id, index: active.next });
                active.next += 1;
            }
            if active.next >= active.job.until {
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            let active = self.active.remove(index);
            self.store(&active.job.keys);
            outputs.push(Output::End {
                id: active.job.id,
                computed: active.job.prompt_tokens.saturating_sub(active.cached),
                cached: active.cached,
            });
        }
        outputs
    }

    /// Whether a block is in the cache.
    pub fn holds(&self, key: &[u8; 16]) -> bool {
        self.cache.contains_key(key)
    }

    /// Puts a block that was fetched from elsewhere into the cache.
    pub fn import(&mut self, key: [u8; 16]) {
        self.touch(key);
    }

    /// Evicts all blocks, as a change of weights does.
    pub fn clear(&mut self) {
        let keys: Vec<[u8; 16]> = self.cache.keys().copied().collect();
        for key in keys {
            self.evict(key);
        }
    }

    /// Cache events from a sequence number on. Lost events never appear; old ones are dropped.
    pub fn events_from(&self, seq: u64) -> Vec<Event> {
        let lose = self.profile.lose_every;
        let lost = |event: &Event| lose > 0 && event.seq % lose == lose - 1;
        self.events.iter().filter(|event| event.seq >= seq && !lost(event)).copied().collect()
    }

    /// The sequence number of the next event, and the keys of all cached blocks.
    pub fn snapshot(&self) -> (u64, Vec<[u8; 16]>) {
        (self.seq, self.cache.keys().copied().collect())
    }

    fn admit(&mut self) {
        while self.active.len() < self.profile.slots {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            let hit = job.keys.iter().take_while(|key| self.cache.contains_key(*key)).count();
            self.store(&job.keys[..hit]);
            let cached = (hit as u64 * self.profile.block_tokens).min(job.prompt_tokens);
            // A resumed run computes the tokens that the caller already has again, like prompt tokens.
            let prefill_left = ((job.prompt_tokens - cached) + u64::from(job.from)).max(1);
            self.active.push(Active { next: job.from, prefill_left, cached, job });
        }
    }

    /// Marks blocks as used, last ones first: the end of a prefix is evicted before its beginning, which other
    /// prompts may share.
    fn store(&mut self, keys: &[[u8; 16]]) {
        for key in keys.iter().rev() {
            self.touch(*key);
        }
    }

    fn touch(&mut self, key: [u8; 16]) {
        self.uses += 1;
        let before = self.cache.insert(key, self.uses);
        self.by_use.insert(self.uses, key);
        if let Some(before) = before {
            self.by_use.remove(&before);
            return;
        }
        self.record(key, true);
        while self.cache.len() > self.profile.blocks {
            let Some((_, oldest)) = self.by_use.first_key_value() else {
                return;
            };
            self.evict(*oldest);
        }
    }

    fn evict(&mut self, key: [u8; 16]) {
        if let Some(used) = self.cache.remove(&key) {
            self.by_use.remove(&used);
            self.record(key, false);
        }
    }

    fn record(&mut self, key: [u8; 16], stored: bool) {
        /// Minimum number of events that are retained.
        const RETAINED: usize = 8_192;
        self.events.push(Event { seq: self.seq, key, stored });
        self.seq += 1;
        if self.events.len() > 2 * RETAINED {
            self.events.drain(..RETAINED);
        }
    }
}
