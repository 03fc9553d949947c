//! Admission of requests of several classes: sends a request, lets it wait, or rejects it.
//!
//! [`overload`] compares the best server's estimate with a request's own target only. A burst of a
//! less urgent class with a long target then fills every server up to that target, and no server is
//! left at which a more urgent class with a short target is in time. Here the backlog that a less
//! urgent request may join is bounded by the smallest target of the more urgent classes in use, and
//! its memory must be free: a full server evicts runs, whose work is repeated.
//!
//! A request that can't be sent may wait for as long as it can still be in time. Its own prefill counts
//! at most as a part of each bound, so that no request is rejected for its size alone.

use std::time::Duration;

use crate::direct::{self, Candidate};
use crate::overload;

/// Fraction of a more urgent class's target that a less urgent request may use up at a server, since
/// the requests of several entry nodes are sent there before these learn of each other.
const URGENT_FRACTION: f64 = 0.7;
/// Part of a server's memory that a less urgent request leaves free: more urgent requests and those
/// that other entry nodes send at the same moment need it.
const RESERVED_MEMORY: f64 = 0.25;
/// Upper bound of a request's own prefill in the bound of a more urgent class.
const MAX_PREFILL_FRACTION: f64 = 0.5;
/// Time after which a server without free memory is considered again, milliseconds: about the time
/// in which one of its runs ends.
const MEMORY_WAIT_MS: f64 = 50.0;
/// Cost difference within which servers count as equal, as a fraction of the target.
/// Entry nodes that learn of a free server together would otherwise all choose it.
const TIE_FRACTION: f64 = 0.1;
/// Fraction of the useful wait within which a request behind others must be expected to go. Estimates of
/// the release rate lag behind, and a request that is sent late in its wait often misses its target.
const WAIT_FRACTION: f64 = 0.5;
/// Minimum time after which the caller of a rejected request may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum Retry-After: the length of a burst is not known.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Number of classes of targets within a rank.
const TARGET_CLASSES: u8 = 25;
/// Target below which all count as equally short, milliseconds, and number of classes per doubling of it.
const MIN_TARGET_MS: f64 = 50.0;
const CLASSES_PER_DOUBLING: f64 = 2.0;

/// The class of a request; lower ones are more urgent. The rank decides, and within a rank the target: a request with a
/// short one has little time to wait, and would be late behind long prompts that have.
pub fn class(rank: u8, target: Duration) -> u8 {
    let doublings = (target.as_secs_f64() * 1_000.0 / MIN_TARGET_MS).max(1.0).log2();
    let within = (doublings * CLASSES_PER_DOUBLING).min(f64::from(TARGET_CLASSES - 1)) as u8;
    rank.min(u8::MAX / TARGET_CLASSES - 1) * TARGET_CLASSES + within
}

/// A request, as far as its admission depends on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Target time to first token.
    pub target: Duration,
    /// Time since its arrival.
    pub waited: Duration,
    /// Smallest target of the more urgent classes in use at its service, if it must leave room for them.
    pub urgent_target: Option<Duration>,
    /// Prompt tokens that are queued at the server for less urgent requests beyond the one that is
    /// being prefilled, as far as known. The server prefills this request before them.
    pub overtaken_tokens: u64,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to the best server.
    Send,
    /// Let it wait.
    Wait {
        /// Time from now after which sending it is of no use.
        at_most: Duration,
        /// Estimated time until a server can take it.
        late: Duration,
    },
    /// Reject it: it would miss its target.
    Reject {
        /// Estimated time until a server could take such a request.
        late: Duration,
    },
}

/// Decides what to do with a request whose best server is `best`.
pub fn decide(best: &Candidate, request: &Request) -> Admission {
    let reachable = Candidate {
        queued_tokens: best.queued_tokens.saturating_sub(request.overtaken_tokens),
        ..*best
    };
    // The weight of a prefill stands for the delay of other runs, which waiting does not increase.
    let (usable_ms, waited_ms) =
        (overload::usable_ms(request.target), request.waited.as_secs_f64() * 1_000.0);
    let prefill_ms = direct::prefill_ms(best).min(usable_ms * MAX_PREFILL_FRACTION);
    let own_ms = overload::weighted_ms(&reachable, request.target)
        .max(overload::delay_ms(&reachable) + prefill_ms + waited_ms)
        - usable_ms;
    let urgent_ms = request.urgent_target.map_or(0.0, |target| urgent_late_ms(best, target));
    let late_ms = own_ms.max(urgent_ms);
    if late_ms <= 0.0 {
        return Admission::Send;
    }
    let late = Duration::from_secs_f64(late_ms / 1_000.0);
    let service_ms = direct::prefill_ms(best) + best.transfer_ms;
    let latest = latest_start(request.target, service_ms);
    let at_most = latest.saturating_sub(request.waited);
    if at_most.is_zero() { Admission::Reject { late } } else { Admission::Wait { at_most, late } }
}

/// Time by which the backlog of a server exceeds what a more urgent class can bear, milliseconds.
fn urgent_late_ms(best: &Candidate, target: Duration) -> f64 {
    let bound_ms = target.as_secs_f64() * 1_000.0 * URGENT_FRACTION;
    let prefill_ms = direct::prefill_ms(best).min(bound_ms * MAX_PREFILL_FRACTION);
    let late_ms = overload::delay_ms(best) + prefill_ms - bound_ms;
    let usable = (best.memory_capacity as f64 * (1.0 - RESERVED_MEMORY)) as u64;
    let is_full = best.memory_capacity > 0
        && best.memory_in_use > 0
        && best.memory_in_use + best.memory_needed > usable;
    if is_full { late_ms.max(MEMORY_WAIT_MS) } else { late_ms }
}

/// Whether a request waits that may do so for `at_most`: the queue ahead of it is expected to last for
/// `queue`, and a server could take it in `late`.
pub fn is_worth_waiting(queue: Duration, late: Duration, at_most: Duration) -> bool {
    late < at_most && queue <= at_most.mul_f64(WAIT_FRACTION)
}

/// Cost difference within which servers count as equal, milliseconds.
pub fn tie_ms(target: Duration) -> f64 {
    target.as_secs_f64() * 1_000.0 * TIE_FRACTION
}

/// Latest time after its arrival at which sending a request is of use, if its own work takes
/// `service_ms`.
pub fn latest_start(target: Duration, service_ms: f64) -> Duration {
    let target_ms = overload::usable_ms(target);
    let service_ms = service_ms.min(target_ms * MAX_PREFILL_FRACTION);
    Duration::from_secs_f64((target_ms - service_ms).max(0.0) / 1_000.0)
}

/// The Retry-After of a rejected request: `late` until the queue and the backlog have drained, then
/// spread over a time in proportion to `excess`, the requests for each one served, so that not more
/// callers return in a second than are served. `point`, from 0 to 1, selects within that time.
pub fn retry_after(late: Duration, excess: f64, point: f64) -> Duration {
    let min = MIN_RETRY_AFTER + late;
    min.mul_f64(1.0 + excess.max(1.0) * point).min(MAX_RETRY_AFTER.mul_f64(0.5 + point / 2.0))
}
