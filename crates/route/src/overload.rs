//! Refuses at once what other work would make too late.
//!
//! Answers the pattern of metastable overload: a shock of some seconds (a crash, lost power, emptied stores) fills queues
//! and memory at the servers, runs last longer, kept prompt parts are dropped for them and read again, and that work keeps
//! the queues full for as long as the load lasts, although it was served before. Nothing is gained by queueing what
//! misses its target anyway; once it is refused, queues drain within seconds and the same load is served again.
//!
//! What a request must have read counts more than once, since it holds up all other runs: while queues are full, requests
//! whose prompt parts are kept go first, so that parts come back into use before others are read anew. It counts up to a
//! part of the target: a request that is large by itself is not refused for its size.

use std::time::Duration;

use crate::direct::{self, Candidate};

/// Least time after which a refused caller comes back: queues drain in about as long.
const COME_BACK: Duration = Duration::from_secs(1);

/// Part of a target that is planned with, since about half of all answers come later than estimated.
const PLANNED: f64 = 0.8;
/// How many times a request's own reading counts: all other runs wait for it too.
const OTHERS: f64 = 4.0;
/// Part of a target up to which that counts.
const OWN: f64 = 0.5;

/// Time to the first token that is not due to the request's own prompt, milliseconds.
fn delay(candidate: &Candidate) -> f64 {
    direct::first_token_ms(candidate) - direct::prefill_ms(candidate)
}

/// Whether to send a request to the best server; `waited` is the time that has passed since it came.
///
/// # Errors
/// It would miss its target. Gives the least time after which its caller may come back, to be spread.
pub fn admit(best: &Candidate, target: Duration, waited: Duration) -> Result<(), Duration> {
    let target_ms = target.as_secs_f64() * 1_000.0 * PLANNED;
    let own = (direct::prefill_ms(best) * OTHERS).min(target_ms * OWN);
    let late = delay(best) + own + waited.as_secs_f64() * 1_000.0 - target_ms;
    if late <= 0.0 {
        return Ok(());
    }
    Err(COME_BACK + Duration::from_secs_f64(late / 1_000.0))
}
