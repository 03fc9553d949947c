//! Admission: fair queues, concurrency limits, retry budgets, breakers.
//!
//! [`Queue`] holds what waits, fair by workspace inside each priority class. [`Budget`] bounds
//! retries for a whole pool of servers, and [`SharedBudget`] an entry's part of a budget that all entries share.
//! [`Bucket`] keeps to the rate that a server takes from all. [`Breaker`] leaves a server alone that fails or is slow.
//! [`LogLimiter`] bounds the log lines of each kind.
//! [`Usage`] tells who is over their share. [`Rate`] estimates how fast a pool works, for refusals that say truthfully when to come back.

mod breaker;
mod bucket;
mod budget;
mod log_limiter;
mod queue;
mod rate;
mod retries;
mod usage;

pub use breaker::Breaker;
pub use bucket::{Bucket, MIN_RATE, RetrySchedule, permit_interval};
pub use budget::Budget;
pub use log_limiter::LogLimiter;
pub use queue::{Item, Queue};
pub use rate::Rate;
pub use retries::{Allowance, SharedBudget};
pub use usage::Usage;
