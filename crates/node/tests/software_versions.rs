//! Streams that break off while servers of several software versions serve, without a network.

mod fleet;

use test_case::test_case;

use fleet::{Fault, Plan, TRAFFIC_FROM_MS, World};

/// Seconds of the traffic, as simulated milliseconds.
const fn at(ms: u64) -> u64 {
    TRAFFIC_FROM_MS + ms
}

/// Half of the servers are replaced from 2 s on.
fn half_released() -> Vec<(u64, Fault)> {
    (0..9).map(|step| (at(2_000) + 400 * step, Fault::Release(step as usize, 2))).collect()
}

fn simulate(seed: u64, faults: Vec<(u64, Fault)>) -> World {
    let world = World::simulate(Plan { faults, stream_retries: 3, end: 30_000, ..Plan::new(seed) });
    let (counted, continued) = world.resumptions();
    println!("{} mixed, {continued} of {counted} resumptions went on", world.mixed_streams());
    world
}

// Guards against a stream that goes on, within its response, at a server of another software version than the one that began
// it: servers crash and break off responses while two versions serve.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_broken_response_goes_on_at_its_own_software_version(seed: u64) {
    let crashes = (0..12).map(|step| (at(8_000) + 900 * step, Fault::Crash(9 + step as usize)));
    let breaks = (0..40).map(|step| (at(7_000) + 350 * step, Fault::Break(9 + step as usize % 18)));
    let faults = half_released().into_iter().chain(crashes).chain(breaks).collect();
    let world = simulate(seed, faults);
    assert_eq!(world.mixed_streams(), 0);
}

// Guards against a stream that a client resumes at an entry which sends it to another software version: entries are killed in
// turn, so that the client comes to one that knows nothing of it.
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
fn a_resumed_stream_goes_on_at_its_own_software_version(seed: u64) {
    let kills = (0..14).map(|step| (at(7_000) + 800 * step, Fault::Kill(step as usize % 8, 700)));
    let world = simulate(seed, half_released().into_iter().chain(kills).collect());
    check(&world);
}

// Guards against the same after all entries lost power at once, while both versions serve or once the old one has left: what they
// know comes from the disks of keepers.
#[test_case(7, &half_released(); "both versions serve")]
#[test_case(8, &(0..18).map(|server| (at(2_000), Fault::Release(server, 2))).collect::<Vec<_>>(); "the old one is leaving")]
fn a_stream_resumed_after_a_loss_of_power_keeps_its_software_version(
    seed: u64,
    releases: &[(u64, Fault)],
) {
    let losses = [at(4_300), at(12_000), at(17_000)]
        .into_iter()
        .flat_map(|time| (0..8).map(move |host| (time, Fault::Kill(host, 1_200))));
    let world = simulate(seed, releases.iter().copied().chain(losses).collect());
    check(&world);
}

/// No stream is mixed, and nine tenths of the resumed ones go on while servers of their version serve.
fn check(world: &World) {
    assert_eq!(world.mixed_streams(), 0);
    let (counted, continued) = world.resumptions();
    assert!(counted >= 12, "{counted} resumptions");
    assert!(continued * 10 >= counted * 9, "{continued} of {counted} resumptions went on");
}
