//! Prompts with a segment that crashes each server which begins a response to it, without a network.

mod fleet;

use test_case::test_case;

use fleet::{DEADLY, Deadly, Fault, Plan, STABLE_MS, TRAFFIC_FROM_MS, World, deadly};

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

// Guards against deadly requests that come so seldom that each crash is the only one for seconds.
#[test]
fn a_segment_that_crashes_one_server_at_a_time_is_held_back() {
    let plan = Plan { deadly: vec![deadly(DEADLY, 0, 0.008)], ..Plan::new(5) };
    let until = plan.deadly[0].until;
    check(&World::simulate(plan), DEADLY, 0, until);
}

// Guards against knowledge that is lost with the process that has it: entries, the leader among the keepers, or all of them at
// the same moment, after which keepers have what they saved.
#[test_case(&[(9_000, 4), (10_000, 5), (10_000, 6), (13_000, 7)]; "entries")]
#[test_case(&[(8_600, 0), (12_000, 1), (16_000, 2)]; "keepers in turn")]
#[test_case(&[(12_000, 0), (12_000, 1), (12_000, 2), (12_000, 3), (12_000, 4), (12_000, 5), (12_000, 6), (12_000, 7)]; "all at once")]
fn a_deadly_segment_is_held_back_while_entries_restart(kills: &[(u64, usize)]) {
    let faults = kills.iter().map(|(at, host)| (*at, Fault::Kill(*host, 700))).collect();
    let plan = Plan { faults, ..Plan::tainted(6) };
    let until = plan.deadly[0].until;
    let world = World::simulate(plan);
    check(&world, DEADLY, 0, until);
    let crashes = world.crash_times(DEADLY).len();
    assert!(crashes <= fleet::FREE_CRASHES, "{crashes} crashes: known before the restarts");
}

// Guards against crashes with other causes that hide the segment or spread the blame to sound ones.
#[test_case(7)]
#[test_case(8)]
fn a_deadly_segment_is_held_back_while_servers_crash_by_themselves(seed: u64) {
    let crashes = (0..20).map(|step| (7_000 + step * 1_100, Fault::Crash(step as usize % 18)));
    let breaks = (0..40).map(|step| (6_000 + step * 600, Fault::Break(step as usize % 18)));
    let plan = Plan { faults: crashes.chain(breaks).collect(), ..Plan::tainted(seed) };
    let until = plan.deadly[0].until;
    let world = World::simulate(plan);
    check(&world, DEADLY, 0, until);
    assert_eq!(world.wrongly_held(), [] as [u128; 0]);
}

// Guards against a quarantine that forgets a segment once its requests pause.
#[test]
fn a_segment_that_comes_again_is_still_held_back() {
    let day = deadly(DEADLY, 0, 0.05);
    let first = Deadly { until: 12_000, ..day };
    let second = Deadly { from: 18_000, until: 40_000, ..day };
    let plan = Plan { deadly: vec![first, second], end: 44_000, ..Plan::new(9) };
    let world = World::simulate(plan);
    check(&world, DEADLY, 0, 40_000);
    let crashes = world.crash_times(DEADLY);
    // One trial is due by then, 30 s after the last crash.
    assert!(crashes.len() <= 5, "{crashes:?}");
}

// Guards against a segment that stays quarantined although servers survive it now.
#[test]
fn a_segment_that_has_become_harmless_is_served_again() {
    let day = Deadly { harmless_from: 15_000, until: 60_000, ..deadly(DEADLY, 0, 0.05) };
    let plan = Plan { deadly: vec![day], end: 64_000, ..Plan::new(10) };
    let world = World::simulate(plan);
    let late = world
        .requests
        .iter()
        .filter(|request| request.deadly.is_some() && (50_000..60_000).contains(&request.at));
    let (served, all) =
        late.fold((0, 0), |(served, all), request| (served + u32::from(request.served), all + 1));
    assert!(served * 10 >= all * 9, "{served} of {all} served after the first trial");
}

// Guards against blaming the segments of sound requests for crashes, broken responses, lost connections and standstills that
// have other causes.
#[test]
fn crashes_with_other_causes_hold_back_nothing() {
    let mut blamed = 0;
    let mut crashes = 0;
    for seed in 100..120 {
        let mut faults = Vec::new();
        for step in 0..30_u64 {
            let at = 6_000 + step * 900;
            let server = (step * 7 + seed) as usize % 18;
            faults.push((at, Fault::Crash(server)));
            // Three servers end at about the same moment.
            if step % 6 == 0 {
                faults.push((at + 5, Fault::Crash((server + 5) % 18)));
                faults.push((at + 300, Fault::Crash((server + 9) % 18)));
            }
            faults.push((at + 150, Fault::Break((server + 3) % 18)));
            if step % 8 == 3 {
                faults.push((at + 200, Fault::Reset(step as usize % 8)));
                faults.push((at + 250, Fault::Freeze((step as usize + 3) % 8, 1_500)));
            }
        }
        let world = World::simulate(Plan { faults, ..Plan::new(seed) });
        crashes += world.crashes.len();
        let wrong = world.wrongly_held();
        blamed += wrong.len();
        if !wrong.is_empty() {
            println!("seed {seed}: {wrong:?}");
        }
    }
    println!("{blamed} sound segments blamed for {crashes} crashes");
    assert_eq!(blamed, 0, "of {crashes} crashes");
}
