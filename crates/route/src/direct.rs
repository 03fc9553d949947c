//! The choice among servers that are called without an agent.
//!
//! Answers the pattern in which a few long prompts and many short ones meet at servers that read
//! prompts between the tokens of other runs: the server is taken from which the first token is
//! expected first, by prompt tokens to read before it and runs beside it. Equal servers share the
//! load at random, so that several entries do not follow each other.

/// Time that one more run beside a request adds to its first token, milliseconds: a part of an
/// engine's step, since each run makes the step longer.
const BESIDE_MS: f64 = 1.0;
/// Time that a run adds which finds no free place, milliseconds: about an engine's run divided by
/// its places.
const WAITING_MS: f64 = 20.0;
/// Time of the way to another availability zone and back, milliseconds.
const ZONE_MS: f64 = 2.0;
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
    pub missing: u64,
    /// Prompt tokens of earlier requests that it still reads.
    pub ahead: u64,
    /// Prompt tokens that it reads in a millisecond.
    pub per_ms: f64,
    /// Whether it stands in the entry's availability zone.
    pub near: bool,
    /// Time that is added for another reason, milliseconds.
    pub penalty_ms: f64,
}

/// Estimated time to the first token, milliseconds.
pub fn cost(candidate: &Candidate) -> f64 {
    let read = (candidate.ahead + candidate.missing) as f64 / candidate.per_ms.max(0.001);
    let beside = candidate.running.min(candidate.slots);
    let waiting = (candidate.running + 1).saturating_sub(candidate.slots);
    let way = if candidate.near { 0.0 } else { ZONE_MS };
    read + f64::from(beside) * BESIDE_MS
        + f64::from(waiting) * WAITING_MS
        + way
        + candidate.penalty_ms
}

/// The index of the server to take; `point`, from 0 to 1, picks among equal ones.
pub fn choose(candidates: &[Candidate], point: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(cost).collect();
    let best = costs.iter().copied().min_by(f64::total_cmp)?;
    let equal: Vec<usize> =
        (0..costs.len()).filter(|index| costs[*index] <= best + EQUAL_MS).collect();
    let index = (point * equal.len() as f64) as usize;
    equal.get(index.min(equal.len() - 1)).copied()
}
