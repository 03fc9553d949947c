//! The token bucket of one server, and the retry times of callers whose requests were rejected.

use base::prelude::*;
use limit::{Bucket, RetrySchedule};
use test_case::test_case;

/// Maximum number of calls in four seconds at a rate, as the users define the limit.
fn allowed(per_second: f64) -> usize {
    (6.0 * per_second) as usize + 5
}

/// Times at which permits are taken, milliseconds, if each is taken within 10 ms of being available.
fn take_all(per_second: f64, from: u64, until: u64, bucket: &mut Bucket) -> Vec<u64> {
    let mut times = Vec::new();
    for step in from / 10..until / 10 {
        let now = Time::from_millis(step * 10);
        while bucket.take(now, per_second).is_ok() {
            times.push(step * 10);
        }
    }
    times
}

/// Maximum number of permits in any four seconds.
fn worst(times: &[u64]) -> usize {
    let from =
        |start: &u64| times.iter().filter(|at| **at >= *start && **at < start + 4_000).count();
    times.iter().map(from).max().unwrap_or(0)
}

#[test_case(0.0; "zero")]
#[test_case(0.4; "less than one per second")]
#[test_case(1.5; "a few")]
#[test_case(100.0; "many")]
fn a_rate_is_not_exceeded_and_is_used(per_second: f64) {
    let mut bucket = Bucket::new(Time::ZERO);
    let times = take_all(per_second, 0, 20_000, &mut bucket);
    assert!(worst(&times) <= allowed(per_second), "{} in 4 s", worst(&times));
    let min = (per_second * 20.0 * 0.95).floor() as usize;
    assert!(times.len() >= min.max(3), "{} of {min}", times.len());
}

// Guards against a burst: a server that was not called for a long time gets no accumulated permits.
#[test]
fn unused_permits_do_not_accumulate() {
    let mut bucket = Bucket::new(Time::ZERO);
    assert!(bucket.take(Time::from_millis(60_000), 1.5).is_ok());
    let later = take_all(1.5, 60_010, 64_000, &mut bucket);
    assert!(worst(&later) < allowed(1.5), "{later:?}");
}

// A report and the weight version order that follows it are sent without waiting for permits, since the
// report would otherwise be stale by the time of the order. Both permits are taken on credit.
#[test]
fn a_prioritized_call_may_take_a_permit_on_credit() {
    let mut bucket = Bucket::new(Time::ZERO);
    let now = Time::from_millis(100);
    assert!(bucket.borrow(now, 1.0, 1.0));
    assert!(!bucket.borrow(now, 1.0, 1.0), "one permit is owed");
    assert!(bucket.borrow(now, 1.0, 2.0), "two may be owed");
    assert!(bucket.take(Time::from_millis(2_900), 1.0).is_err(), "the debt is paid first");
    assert!(bucket.take(Time::from_millis(3_100), 1.0).is_ok());
}

#[test]
fn rejected_callers_retry_one_after_the_other() {
    let now = Time::from_millis(1_000);
    let mut schedule = RetrySchedule::default();
    let second = Duration::from_secs(1);
    let times: Vec<u128> = (0..6).map(|_| schedule.next(now, 4.0, second).as_millis()).collect();
    assert_eq!(
        times,
        [250, 500, 750, 1_000, 1_000, 1_000],
        "a caller that cannot wait takes no turn"
    );
    assert_eq!(schedule.next(now, 4.0, 2 * second), second);
}
