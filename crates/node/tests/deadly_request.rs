//! Plain requests that crash each server which runs them, without a network.

mod fleet;

use test_case::test_case;

use fleet::{DEADLY, Fault, Plan, STABLE_MS, TRAFFIC_FROM_MS, World, deadly};

/// Such requests that may reach servers once they must be known.
const MAX_LATE_ARRIVALS: usize = 3;
/// Fraction of the sound requests that must be served from then on.
const MIN_SERVED: f64 = 0.95;
/// A request that may run once, and one that may be repeated.
const ONCE: u64 = 0;
const SAFE: u64 = 1;

/// A plain service: few servers and short runs, most of which are alone at their server.
fn plain(seed: u64) -> Plan {
    Plan { plain: true, servers: 4, load: [29.0, 12.0], ..Plan::new(seed) }
}

fn check(world: &World, request: u64) {
    let crashes = world.crash_times(request);
    let late = world.late_arrivals(request);
    println!("request {request}: crashes at {crashes:?}, {late} late arrivals");
    assert!(!crashes.is_empty(), "it never ran");
    assert!(late <= MAX_LATE_ARRIVALS, "{late} after the third of {} crashes", crashes.len());
    let wrong = world.wrongly_held();
    assert_eq!(wrong, [] as [u128; 0], "sound requests");
}

// Guards against a request that crashes each server which begins to run it, and that its caller sends again under new IDs at
// any entry.
#[test_case(1, ONCE)]
#[test_case(2, ONCE)]
#[test_case(3, ONCE)]
#[test_case(4, SAFE)]
#[test_case(5, SAFE)]
#[test_case(6, SAFE)]
fn a_deadly_request_is_held_back(seed: u64, kind: u64) {
    let plan = Plan { deadly: vec![deadly(DEADLY, kind, 0.03)], ..plain(seed) };
    let until = plan.deadly[0].until;
    let world = World::simulate(plan);
    check(&world, DEADLY);
    let third = world.crash_times(DEADLY).get(2).copied().unwrap_or(TRAFFIC_FROM_MS + 4_000);
    let served = world.served(third + STABLE_MS..until);
    assert!(served >= MIN_SERVED, "{served} of the sound requests served");
}

// Guards against one such request that hides another.
#[test_case(7)]
#[test_case(8)]
fn two_deadly_requests_are_held_back(seed: u64) {
    let deadly = vec![deadly(DEADLY, ONCE, 0.15), deadly(DEADLY + 1, SAFE, 0.15)];
    let world = World::simulate(Plan { deadly, servers: 6, ..plain(seed) });
    check(&world, DEADLY);
    check(&world, DEADLY + 1);
}

// Guards against requests that come so seldom that the crashes are many seconds apart.
#[test_case(9)]
#[test_case(10)]
fn a_deadly_request_that_comes_seldom_is_held_back(seed: u64) {
    let plan = Plan { deadly: vec![deadly(DEADLY, ONCE, 0.01)], ..plain(seed) };
    check(&World::simulate(plan), DEADLY);
}

// Guards against knowledge that is lost with the process that has it.
#[test_case(&[(9_000, 4), (10_000, 5), (10_000, 6), (13_000, 7)]; "entries")]
#[test_case(&[(8_600, 0), (12_000, 1), (16_000, 2)]; "keepers in turn")]
#[test_case(&[(16_000, 0), (16_000, 1), (16_000, 2), (16_000, 3), (16_000, 4), (16_000, 5), (16_000, 6), (16_000, 7)]; "all at once")]
fn a_deadly_request_is_held_back_while_entries_restart(kills: &[(u64, usize)]) {
    let faults = kills.iter().map(|(at, host)| (*at, Fault::Kill(*host, 700))).collect();
    let plan = Plan { faults, deadly: vec![deadly(DEADLY, ONCE, 0.03)], ..plain(11) };
    check(&World::simulate(plan), DEADLY);
}

// Guards against crashes with other causes that hide the request or spread the blame to sound ones.
#[test_case(12, ONCE)]
#[test_case(13, SAFE)]
fn a_deadly_request_is_held_back_while_servers_crash_by_themselves(seed: u64, kind: u64) {
    let crashes = (0..10).map(|step| (7_000 + step * 2_100, Fault::Crash(step as usize % 6)));
    let breaks = (0..40).map(|step| (6_000 + step * 600, Fault::Break(step as usize % 6)));
    let faults = crashes.chain(breaks).collect();
    let deadly = vec![deadly(DEADLY, kind, 0.05)];
    check(&World::simulate(Plan { faults, deadly, servers: 6, ..plain(seed) }), DEADLY);
}

// Guards against blaming sound requests that are tried again while servers crash, break off responses, or entries lose their
// connections, also where one or two servers are all there are.
#[test_case(1)]
#[test_case(2)]
#[test_case(5)]
fn crashes_with_other_causes_hold_back_no_request(servers: usize) {
    let mut crashes = 0;
    for seed in 100..110 {
        let mut faults = Vec::new();
        for step in 0..14_u64 {
            let at = 6_000 + step * 2_000;
            let server = (step * 7 + seed) as usize % servers;
            faults.push((at, Fault::Crash(server)));
            faults.push((at + 250, Fault::Crash((server + 1) % servers)));
            faults.push((at + 150, Fault::Break((server + 2) % servers)));
            if step % 4 == 3 {
                faults.push((at + 200, Fault::Reset(step as usize % 8)));
            }
        }
        let load = [300.0, 300.0];
        let world = World::simulate(Plan { servers, load, faults, ..plain(seed) });
        crashes += world.crashes.len();
        assert_eq!(world.wrongly_held(), [] as [u128; 0], "seed {seed}");
    }
    println!("no request blamed for {crashes} crashes");
}
