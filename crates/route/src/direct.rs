//! The choice among servers that are called without an agent.
//!
//! Answers the pattern in which a few long prompts and many short ones meet at servers that read
//! prompts between the tokens of other runs: the server is taken from which the first token is
//! expected first, by prompt tokens to read before it, runs beside it, and the memory that they leave. Equal servers share the
//! load at random, so that several entries do not follow each other.

/// Time that one more run beside a request adds to its first token, milliseconds: a part of an
/// engine's step, since each run makes the step longer.
const BESIDE_MS: f64 = 1.0;
/// Time that a run adds which finds no free place, milliseconds: about an engine's run divided by
/// its places.
const WAITING_MS: f64 = 20.0;
/// Readings that a token costs which finds no memory: the newest run is preempted for it and read again, and other
/// runs wait meanwhile.
const PREEMPTED: f64 = 2.0;
/// Time of the way to another availability zone and back, milliseconds.
const ZONE_MS: f64 = 2.0;
/// Least reading rate, against a division by zero.
const LEAST_PER_MS: f64 = 0.001;
/// Difference below which two servers count as equal, milliseconds.
const EQUAL_MS: f64 = 3.0;

/// What is known of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Runs there, of this entry and, as last heard, of others.
    pub running: u32,
    /// Most runs at once.
    pub slots: u32,
    /// Prompt tokens of this request that it must read.
    pub prefill_tokens: u64,
    /// Prompt tokens of earlier requests that it still reads.
    pub queued_tokens: u64,
    /// Prompt tokens that it reads in a millisecond.
    pub tokens_per_ms: f64,
    /// Whether it stands in the entry's availability zone.
    pub same_zone: bool,
    /// Tokens of memory of the runs there.
    pub memory_in_use: u64,
    /// Tokens of memory that this request needs.
    pub memory_needed: u64,
    /// Tokens that its memory holds; 0 where nothing is known of it.
    pub memory_capacity: u64,
    /// Time of the request's transfers, milliseconds.
    pub transfer_ms: f64,
    /// What makes it the worse choice by as much, though no time passes, milliseconds.
    pub penalty_ms: f64,
}

/// Time that the server reads the request's own prompt, milliseconds.
pub fn prefill_ms(candidate: &Candidate) -> f64 {
    candidate.prefill_tokens as f64 / candidate.tokens_per_ms.max(LEAST_PER_MS)
}

/// Time that runs beside a request add to its first token, milliseconds.
pub fn in_flight_ms(runs: u32) -> f64 {
    f64::from(runs) * BESIDE_MS
}

/// Estimated time to the first token, milliseconds.
pub fn first_token_ms(candidate: &Candidate) -> f64 {
    let tokens_per_ms = candidate.tokens_per_ms.max(LEAST_PER_MS);
    let read = candidate.queued_tokens as f64 / tokens_per_ms + prefill_ms(candidate);
    let memory = if candidate.memory_capacity > 0 { candidate.memory_capacity } else { u64::MAX };
    let over = (candidate.memory_in_use + candidate.memory_needed).saturating_sub(memory) as f64;
    let runs = candidate.running.min(candidate.slots);
    let waiting = (candidate.running + 1).saturating_sub(candidate.slots);
    let way = if candidate.same_zone { 0.0 } else { ZONE_MS };
    read + in_flight_ms(runs)
        + f64::from(waiting) * WAITING_MS
        + over * PREEMPTED / tokens_per_ms
        + way
        + candidate.transfer_ms
}

/// What a server is chosen by, the least first, milliseconds.
pub fn cost_ms(candidate: &Candidate) -> f64 {
    first_token_ms(candidate) + candidate.penalty_ms
}

/// The index of the server to take; `point`, from 0 to 1, picks among equal ones.
pub fn choose(candidates: &[Candidate], point: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(cost_ms).collect();
    let best = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal: Vec<usize> =
        (0..costs.len()).filter(|index| costs[*index] <= best + EQUAL_MS).collect();
    let index = (point * equal.len() as f64) as usize;
    equal.get(index.min(equal.len() - 1)).copied()
}
