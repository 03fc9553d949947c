//! Backend servers that are known from a list and called without an agent.
//!
//! [`Servers`] joins three sources of different age: the platform's list, which lags; the answers of
//! the servers themselves; and what this process has sent them. [`rollout::Rollout::due`] says which of them
//! to order to another weight version next, and [`Versions`] which versions runs may begin on meanwhile.

mod health;
mod limit;
pub mod rollout;
mod server;
mod servers;
mod store_delta;
mod versions;

pub use health::{Backoff, Eligibility, Health, MAX_BACKOFF, Notice};
pub use limit::{Calls, Limit, LimitNotice, Throttle};
pub use server::{Listed, Load, OtherLoad, Report, Server};
pub use servers::{Key, Servers};
pub use store_delta::{StoreDelta, StoredSegment};
pub use versions::Versions;
