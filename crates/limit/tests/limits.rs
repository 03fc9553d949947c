//! Queue fairness and shedding, retry budgets, breakers, completion rates and log limits.

use std::collections::HashSet;
use std::time::Duration;

use base::{Name, Time};
use limit::{Breaker, Budget, Item, Queue, Rate};
use proptest::prelude::*;

fn item(number: u64, workspace: &str, class: u8) -> Item {
    Item { number, workspace: Name::new(workspace), class, cost: 1.0, share: 1.0 }
}

fn drain(queue: &mut Queue) -> Vec<u64> {
    let mut numbers = Vec::new();
    while let Some(first) = queue.heads().first().copied() {
        queue.take(first);
        numbers.push(first);
    }
    numbers
}

#[test]
fn a_flood_does_not_hold_up_a_small_workspace() {
    let mut queue = Queue::new(1_000);
    for number in 0..100 {
        queue.push(item(number, "large", 1));
    }
    queue.push(item(500, "small", 1));
    let order = drain(&mut queue);
    let position = order.iter().position(|number| *number == 500).expect("it is queued");
    assert!(position <= 1, "position {position}");
}

#[test]
fn a_higher_class_goes_first_and_a_lower_one_is_shed() {
    let mut queue = Queue::new(3);
    assert_eq!(queue.push(item(1, "a", 0)), None);
    assert_eq!(queue.push(item(2, "b", 1)), None);
    assert_eq!(queue.push(item(3, "a", 1)), None);
    assert_eq!(queue.push(item(4, "c", 2)), Some(1), "the lowest class is shed");
    assert_eq!(
        queue.push(item(5, "d", 0)),
        Some(5),
        "an item of a lower class than all others is rejected"
    );
    assert_eq!(drain(&mut queue)[0], 4);
}

#[test]
fn a_full_queue_sheds_the_flooding_workspace() {
    let mut queue = Queue::new(10);
    for number in 0..10 {
        queue.push(item(number, "large", 1));
    }
    assert_eq!(queue.push(item(50, "small", 1)), Some(9));
    assert_eq!(queue.push(item(51, "large", 1)), Some(51));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    /// No item is lost or returned twice.
    #[test]
    fn every_item_comes_out_once(steps in prop::collection::vec((0_u8..4, 0_u8..3), 1..200)) {
        let mut queue = Queue::new(50);
        let mut inside = HashSet::new();
        for (number, (workspace, class)) in steps.into_iter().enumerate() {
            let item = item(number as u64, &format!("w{workspace}"), class);
            let out = queue.push(item);
            inside.insert(number as u64);
            if let Some(out) = out {
                prop_assert!(inside.remove(&out));
            }
            prop_assert_eq!(queue.len(), inside.len());
        }
        let mut out = drain(&mut queue);
        out.sort_unstable();
        let mut left: Vec<u64> = inside.into_iter().collect();
        left.sort_unstable();
        prop_assert_eq!(out, left);
    }
}

#[test]
fn retries_are_bounded_by_successes() {
    let mut budget = Budget::default();
    let first = (0..1_000).filter(|_| budget.spend()).count();
    assert!(first <= 20);
    for _ in 0..100 {
        budget.earn();
    }
    let then = (0..1_000).filter(|_| budget.spend()).count();
    assert!(then <= 10, "{then}");
}

#[test]
fn a_breaker_opens_on_failures_and_lets_one_run_probe() {
    let mut breaker = Breaker::default();
    let now = Time::from_millis(100);
    for _ in 0..3 {
        assert!(breaker.allows(now));
        breaker.sent();
        breaker.failed(now);
    }
    assert!(!breaker.allows(now));
    let later = now + Duration::from_secs(1);
    assert!(breaker.allows(later));
    breaker.sent();
    assert!(!breaker.allows(later), "one probe at a time");
    breaker.succeeded(later, 0.1, None);
    assert!(breaker.allows(later) && !breaker.is_open());
}

#[test]
fn a_breaker_opens_on_slowness_against_peers() {
    let mut breaker = Breaker::default();
    let now = Time::from_millis(100);
    breaker.succeeded(now, 0.01, Some(0.01));
    for _ in 0..4 {
        breaker.succeeded(now, 0.5, Some(0.01));
    }
    assert!(!breaker.allows(now));
}

/// Under load all servers are slower than at their best: a server that is as slow as its peers stays in
/// use.
#[test]
fn a_breaker_stays_closed_under_load() {
    let mut breaker = Breaker::default();
    let now = Time::from_millis(100);
    breaker.succeeded(now, 0.01, None);
    for _ in 0..20 {
        breaker.succeeded(now, 0.5, None);
        breaker.succeeded(now, 0.5, Some(0.4));
    }
    assert!(breaker.allows(now) && !breaker.is_open());
}

#[test]
fn the_rate_predicts_the_wait() {
    let mut rate = Rate::default();
    assert_eq!(rate.wait(10), None);
    for millis in 0..5_000 {
        if millis % 10 == 0 {
            rate.ended(Time::from_millis(millis), true);
        }
    }
    let wait = rate.wait(200).expect("measured").as_secs_f64();
    assert!((1.5..2.5).contains(&wait), "{wait}");
}

#[test]
fn log_lines_of_a_kind_are_limited_and_suppressed_ones_counted() {
    let mut limiter = limit::LogLimiter::new(3);
    let second = Duration::from_secs(1);
    let start = Time::ZERO + second;
    assert_eq!(limiter.end_window(start), []);
    let written = (0..10).filter(|_| limiter.allow("request ended")).count();
    assert_eq!(written, 3);
    assert!(limiter.allow("became leader"), "a rarer kind still appears");
    limiter.count_suppressed("became leader");
    assert_eq!(limiter.end_window(start + second / 2), [], "the window has not ended");
    let suppressed = limiter.end_window(start + second);
    let suppressed: Vec<(&str, u64)> = suppressed.iter().map(|(kind, n)| (&**kind, *n)).collect();
    assert_eq!(suppressed, [("became leader", 1), ("request ended", 7)]);
    assert!(limiter.allow("request ended"), "a new window");
}
