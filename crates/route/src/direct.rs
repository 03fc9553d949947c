//! Selection among servers that are called without an agent.
//!
//! Long and short prompts compete at servers that interleave prefill with the decoding of other
//! runs. The server with the earliest expected first token is chosen, estimated from the prompt
//! tokens to prefill before it, the runs in flight and the free memory. Equal servers are chosen at
//! random, so that several entries do not all choose the same one.

/// Time that each run in flight adds to a request's first token, milliseconds: a part of an engine's
/// step, since each run makes the step longer.
const IN_FLIGHT_MS: f64 = 1.0;
/// Time that each run waiting for a slot adds, milliseconds: about the duration of a run divided by
/// the number of slots.
const SLOT_WAIT_MS: f64 = 20.0;
/// Prefill cost of each token that exceeds the memory, in tokens: the newest run is preempted and
/// its prompt is prefilled again, while other runs wait.
const PREEMPTION_COST: f64 = 2.0;
/// Round trip to another availability zone, milliseconds.
const ZONE_MS: f64 = 2.0;
/// Lower bound of the prefill rate, which prevents a division by zero.
const MIN_TOKENS_PER_MS: f64 = 0.001;
/// Difference from the lowest cost within which servers count as equal, milliseconds.
const TIE_MS: f64 = 3.0;

/// The estimated state of a server, and what this request needs there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Runs in flight there: those of this entry, and those last reported for other entries.
    pub running: u32,
    /// Maximum number of concurrent runs.
    pub slots: u32,
    /// Prompt tokens of this request to prefill.
    pub prefill_tokens: u64,
    /// Prompt tokens of earlier requests still to prefill.
    pub queued_tokens: u64,
    /// Prefill rate, prompt tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Whether it is in the entry's availability zone.
    pub same_zone: bool,
    /// Memory of the runs there, tokens.
    pub memory_in_use: u64,
    /// Memory that this request needs, tokens.
    pub memory_needed: u64,
    /// Memory of the server, tokens; 0 if unknown, which means no limit.
    pub memory_capacity: u64,
    /// Time to transfer the request's cached prompt segments, milliseconds.
    pub transfer_ms: f64,
    /// Time that this request's own work usually takes there after its prompt is read, milliseconds.
    pub work_ms: f64,
    /// Expected relative change of the time that work takes on its VM now; 0 if unknown.
    pub slowdown: f64,
    /// Added to the cost but not to the estimated time, milliseconds.
    pub penalty_ms: f64,
}

/// Time to prefill the request's own prompt, milliseconds.
pub fn prefill_ms(candidate: &Candidate) -> f64 {
    candidate.prefill_tokens as f64 / candidate.tokens_per_ms.max(MIN_TOKENS_PER_MS)
}

/// Time that runs in flight add to a request's first token, milliseconds.
pub fn in_flight_ms(runs: u32) -> f64 {
    f64::from(runs) * IN_FLIGHT_MS
}

/// Estimated time to the first token, milliseconds.
pub fn first_token_ms(candidate: &Candidate) -> f64 {
    let tokens_per_ms = candidate.tokens_per_ms.max(MIN_TOKENS_PER_MS);
    let prefill = candidate.queued_tokens as f64 / tokens_per_ms + prefill_ms(candidate);
    let memory = if candidate.memory_capacity > 0 { candidate.memory_capacity } else { u64::MAX };
    let excess = (candidate.memory_in_use + candidate.memory_needed).saturating_sub(memory) as f64;
    let in_flight = candidate.running.min(candidate.slots);
    let waiting = (candidate.running + 1).saturating_sub(candidate.slots);
    let zone = if candidate.same_zone { 0.0 } else { ZONE_MS };
    let work = prefill
        + in_flight_ms(in_flight)
        + f64::from(waiting) * SLOT_WAIT_MS
        + excess * PREEMPTION_COST / tokens_per_ms;
    work * (1.0 + candidate.slowdown)
        + candidate.work_ms * candidate.slowdown
        + zone
        + candidate.transfer_ms
}

/// The cost that servers are compared by, milliseconds.
pub fn cost_ms(candidate: &Candidate) -> f64 {
    first_token_ms(candidate) + candidate.penalty_ms
}

/// The index of the server to use; `point`, from 0 to 1, selects among equal ones.
///
/// Where servers report how long work takes, plain requests go to the better one of two servers chosen at random
/// (Mitzenmacher, "How Useful Is Old Information?", 2000). They take less time than the exchange of load between
/// entries, so if all entries chose the best server, they would crowd it before any of them noticed.
pub fn choose(candidates: &[Candidate], point: f64) -> Option<usize> {
    let uses_work_time = |candidate: &Candidate| candidate.work_ms * candidate.slowdown != 0.0;
    if candidates.len() > 2 && candidates.iter().any(uses_work_time) {
        return Some(better_of_two(candidates, point));
    }
    choose_within(candidates, 0.0, point)
}

/// The index of a server with the lowest cost, among those whose cost is up to `tie_ms` above the lowest, but none at which more of the
/// request's own prompt is prefilled or transferred than at the best one.
pub fn choose_within(candidates: &[Candidate], tie_ms: f64, point: f64) -> Option<usize> {
    let costs: Vec<f64> = candidates.iter().map(cost_ms).collect();
    let best = (0..costs.len()).min_by(|one, other| costs[*one].total_cmp(&costs[*other]))?;
    let own_ms = |index: usize| prefill_ms(&candidates[index]) + candidates[index].transfer_ms;
    let max_own_ms = own_ms(best) + TIE_MS;
    let is_equal = |index: &usize| {
        let above = costs[*index] - costs[best];
        above <= TIE_MS || (above <= tie_ms && own_ms(*index) <= max_own_ms)
    };
    let equal: Vec<usize> = (0..costs.len()).filter(is_equal).collect();
    let index = (point * equal.len() as f64) as usize;
    equal.get(index.min(equal.len() - 1)).copied()
}

/// The better one of two different servers that `point` selects; there must be two.
fn better_of_two(candidates: &[Candidate], point: f64) -> usize {
    let last = candidates.len() - 1;
    let scaled = point * candidates.len() as f64;
    let first = (scaled as usize).min(last);
    let second = (((scaled - first as f64) * last as f64) as usize).min(last - 1);
    let second = if second >= first { second + 1 } else { second };
    if cost_ms(&candidates[second]) < cost_ms(&candidates[first]) { second } else { first }
}
