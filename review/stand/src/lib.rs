//! Stand-ins of the review: a small deployment of the product's own processes on loopback addresses, the platform's list,
//! servers, and clients. Everything that is sent, answered and run is written to a record.

pub mod engine;
pub mod http;
pub mod kv;
pub mod platform;
pub mod record;
pub mod replica;
pub mod system;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun(String),
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_ms(millis: u64) {
    std::thread::sleep(std::time::Duration::from_millis(millis));
}

/// The current Unix millisecond.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
