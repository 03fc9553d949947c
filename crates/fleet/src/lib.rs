//! Backend servers that are discovered from a list and called without an agent.
//!
//! [`Servers`] combines three sources of different age: the platform's list, which lags; the servers' own responses
//! and reports; and the requests that this process has sent them. [`rollout::Rollout::due_orders`] selects the servers to
//! order to another weight version next, and [`Versions`] the versions on which runs may start meanwhile.

mod cold;
mod health;
mod limit;
pub mod rollout;
mod server;
mod servers;
mod store_delta;
mod versions;

pub use cold::{Cold, ColdSource, Unreachable};
pub use health::{Backoff, Eligibility, Health, MAX_BACKOFF, Notice};
pub use limit::{Calls, Limit, LimitNotice, RateLimit};
pub use server::{Listed, Load, OtherLoad, Report, Server, WorkTime};
pub use servers::{Key, Servers};
pub use store_delta::{StoreDelta, StoredSegment};
pub use versions::Versions;
