//! Seeds of the processes' random numbers.

use std::collections::HashSet;

use base::{Incarnation, Name};
use wire::Hello;

/// The seed of a process with this name and start time.
fn seed(name: &str, started: u64) -> u64 {
    let hello = Hello {
        name: Name::new(name),
        incarnation: Incarnation(started),
        zone: Name::new("a"),
        addr: ([10, 0, 0, 1], 1).into(),
        entry: true,
        keeper: true,
        server: None,
    };
    hello.seed()
}

// Guards against equal seeds: processes that started at the same time drew the same election timeouts and split every
// vote for six seconds.
#[test]
fn processes_that_start_at_the_same_time_get_different_seeds() {
    let started = 1_782_618_012_836_000;
    let names = (1..=300).map(|number| format!("10.{}.0.{number}", number % 6));
    let seeds: HashSet<u64> = names.map(|name| seed(&name, started)).collect();
    assert_eq!(seeds.len(), 300);
    assert_ne!(seed("a", started), seed("a", started + 1));
}
