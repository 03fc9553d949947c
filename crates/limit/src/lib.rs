//! Admission: fair queues, concurrency limits, retry budgets, breakers.
//!
//! [`Queue`] holds waiting requests, with fairness between workspaces inside each priority class;
//! [`WaitList`] adds times, ranks in use and the shares of ranks.
//! [`Budget`] bounds the retries of a pool of servers, [`SharedBudget`] one entry's part of a retry
//! budget that all entries share. [`Bucket`] enforces a server's rate limit for all processes
//! together. [`Breaker`] stops requests to a server that fails or is slow. [`LogLimiter`] bounds the
//! log lines of each kind. [`Usage`] finds workspaces that exceed their share. [`Rate`] estimates the
//! completion rate of a pool, for an accurate Retry-After in rejections.

mod breaker;
mod bucket;
mod budget;
mod log_limiter;
mod queue;
mod rate;
mod retries;
mod usage;
mod wait_list;

pub use breaker::Breaker;
pub use bucket::{Bucket, MIN_RATE, RetrySchedule, permit_interval};
pub use budget::Budget;
pub use log_limiter::LogLimiter;
pub use queue::{Item, Queue};
pub use rate::Rate;
pub use retries::{Allowance, SharedBudget};
pub use usage::Usage;
pub use wait_list::{WaitList, Waiter};
