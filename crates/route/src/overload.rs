//! Admission control: rejects requests that would miss their target time to first token.
//!
//! This prevents metastable overload. A shock of a few seconds (a crash, a power loss, emptied stores)
//! fills queues and memory at the servers. Runs then take longer, cached prompt segments are evicted
//! to make space for them and have to be prefilled again, and that work keeps the queues full for as
//! long as the load lasts, although the same load was served before. Queueing a request that misses
//! its target anyway gains nothing. When such requests are rejected, queues drain within seconds and
//! the same load is served again.
//!
//! A request's own prefill is weighted more than once, since it delays all other runs. While queues
//! are full, requests whose segments are cached are therefore preferred, so that cached segments come
//! back into use before others are prefilled. The weighted time is capped at a part of the target, so
//! that a large request is not rejected for its size alone.

use std::time::Duration;

use crate::direct::{self, Candidate};

/// Minimum time after which the caller of a rejected request may retry: queues drain in about as long.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Fraction of the target that estimates must stay within, since about half of all responses come later
/// than estimated.
const TARGET_FRACTION: f64 = 0.8;
/// Weight of a request's own prefill time, since all other runs wait for it too.
const PREFILL_WEIGHT: f64 = 4.0;
/// Upper bound of the weighted prefill time, as a fraction of the planned target.
const MAX_PREFILL_FRACTION: f64 = 0.5;

/// Time to first token without the request's own prefill, milliseconds.
pub(crate) fn delay_ms(candidate: &Candidate) -> f64 {
    direct::first_token_ms(candidate) - direct::prefill_ms(candidate)
}

/// The part of a target that estimates must stay within, milliseconds.
pub(crate) fn usable_ms(target: Duration) -> f64 {
    target.as_secs_f64() * 1_000.0 * TARGET_FRACTION
}

/// Time by which a request would exceed the usable part of its target, milliseconds; negative if it is
/// in time.
fn late_ms(best: &Candidate, target: Duration, waited: Duration) -> f64 {
    weighted_ms(best, target) + waited.as_secs_f64() * 1_000.0 - usable_ms(target)
}

/// Time to first token with the request's own prefill weighted, milliseconds.
pub(crate) fn weighted_ms(best: &Candidate, target: Duration) -> f64 {
    let max = usable_ms(target) * MAX_PREFILL_FRACTION;
    delay_ms(best) + (direct::prefill_ms(best) * PREFILL_WEIGHT).min(max)
}

/// Decides whether a request is sent to the best server; `waited` is the time since its arrival.
///
/// # Errors
/// It would miss its target. The error is the minimum time after which its caller may retry; the
/// caller of this function adds jitter.
pub fn admit(best: &Candidate, target: Duration, waited: Duration) -> Result<(), Duration> {
    let late = late_ms(best, target, waited);
    if late <= 0.0 {
        return Ok(());
    }
    Err(MIN_RETRY_AFTER + Duration::from_secs_f64(late / 1_000.0))
}
