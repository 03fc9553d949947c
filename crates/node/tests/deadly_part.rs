//! Prompts with a segment that crashes each server which begins a response to it, without a network.

mod fleet;

use test_case::test_case;

use fleet::{DEADLY, Plan, STABLE_MS, TRAFFIC_FROM_MS, World, deadly};

/// Requests with a deadly segment that may reach servers once it must be known.
const MAX_LATE_ARRIVALS: usize = 3;
/// How often sound requests must begin at the first attempt, against the time before.
const MIN_BEGUN: f64 = 0.5;

/// Checks both rules for a segment in requests of this kind that come until `until`. The second one is checked from twice the
/// stable time after the first crash, which is earlier than the rule binds.
fn check(world: &World, segment: u64, kind: u64, until: u64) {
    let crashes = world.crash_times(segment);
    let late = world.late_arrivals(segment);
    println!("segment {segment}: crashes at {crashes:?}, {late} late arrivals");
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} requests after the fifth of {} crashes",
        crashes.len()
    );
    let first = *crashes.first().expect("a crash");
    let before = world.begun(kind, 0, TRAFFIC_FROM_MS..TRAFFIC_FROM_MS + 4_000);
    let beside = world.begun(kind, 0, first + 2 * STABLE_MS..until);
    println!("sound requests begun at the first attempt: {beside:.2}; before: {before:.2}");
    assert!(beside >= MIN_BEGUN * before, "{beside:.2} of the sound requests; before {before:.2}");
}

// Guards against requests whose prompt holds one deadly segment being carried from server to server, by retries of
// entries that do not know what the segment did elsewhere.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_deadly_segment_is_held_back(seed: u64) {
    let plan = Plan::tainted(seed);
    let until = plan.deadly[0].until;
    let world = World::simulate(plan);
    check(&world, DEADLY, 0, until);
}

// Guards against two such segments at the same time hiding each other.
#[test]
fn two_deadly_segments_in_two_kinds_are_held_back() {
    let deadly = vec![deadly(DEADLY, 0, 0.05), deadly(DEADLY + 1, 1, 0.05)];
    let until = deadly[0].until;
    let world = World::simulate(Plan { deadly, ..Plan::new(4) });
    check(&world, DEADLY, 0, until);
    check(&world, DEADLY + 1, 1, until);
}
