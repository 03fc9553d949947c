//! Seeded failure schedules. The environment variable `SEEDS` sets their number.

mod cluster;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use cluster::{Cluster, Faults, Sabotage};
use test_case::test_case;

const SEEDS: u64 = 40;
const ROUNDS: u64 = 150;
const THREE: &[&str] = &["a", "b", "c"];
const SPARE: &[&str] = &["a", "b", "c", "spare"];
const FIVE: &[&str] = &["a", "b", "c", "d", "e"];

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn schedule(seed: u64, names: &[&str], faults: Faults, sabotage: Sabotage) -> Cluster {
    let mut cluster = Cluster::new(seed, names, Faults::default(), sabotage);
    cluster.run(Duration::from_secs(2));
    assert!(cluster.leader().is_some(), "seed {seed}: no first leader");
    cluster.set_faults(faults);
    let mut command = 0;
    for round in 0..ROUNDS {
        for name in names {
            command += 1;
            cluster.propose(name, command);
            cluster.read(name, round * 10 + command);
        }
        cluster.run(Duration::from_millis(40));
    }
    cluster.heal();
    cluster.run(Duration::from_secs(12));
    cluster.check();
    cluster
}

fn all() -> Faults {
    Faults { drop: 300, duplicate: 300, crash: 8, freeze: 8, isolate: 6, lose_disk: 0 }
}

#[test_case(THREE, Faults { drop: 500, duplicate: 500, ..Faults::default() }; "bad links")]
#[test_case(THREE, Faults { crash: 20, ..Faults::default() }; "crashes that lose unsynced bytes")]
#[test_case(THREE, Faults { freeze: 20, isolate: 10, ..Faults::default() }; "freezes and cuts")]
#[test_case(THREE, Faults { lose_disk: 30, ..Faults::default() }; "lost disks")]
#[test_case(THREE, all(); "all but lost disks among three")]
#[test_case(FIVE, Faults { lose_disk: 20, ..all() }; "all among five")]
#[test_case(SPARE, Faults { lose_disk: 30, ..Faults::default() }; "lost disks beside a spare")]
#[test_case(SPARE, Faults { lose_disk: 20, ..all() }; "all beside a spare")]
fn nothing_accepted_is_lost(names: &[&str], faults: Faults) {
    let (mut acked, mut lost_disks) = (0, 0);
    for seed in 0..seeds() {
        let cluster = schedule(seed, names, faults, Sabotage::None);
        assert!(cluster.converged(), "seed {seed}: members differ after healing");
        assert!(cluster.leader().is_some(), "seed {seed}: no leader after healing");
        acked += cluster.acked.len();
        lost_disks += cluster.lost_disks;
    }
    assert!(
        faults.lose_disk == 0 || lost_disks as u64 > seeds() / 2,
        "only {lost_disks} disks were lost"
    );
    assert!(acked as u64 > seeds() * ROUNDS / 4, "only {acked} commands were accepted");
}

/// Fills the disks of all members in turn, never two at once, while commands come; returns the cluster some time after the last
/// one has room again. The first moment differs from seed to seed by a millisecond.
fn disks_full_in_turn(seed: u64, names: &[&str], window: Duration, faults: Faults) -> Cluster {
    let mut cluster = Cluster::new(seed, names, Faults::default(), Sabotage::None);
    cluster.run(Duration::from_secs(2));
    cluster.set_faults(faults);
    let mut command = 0;
    let mut propose = |cluster: &mut Cluster, time: Duration| {
        let end = cluster.now + time;
        while cluster.now < end {
            for name in names {
                command += 1;
                cluster.propose(name, command);
            }
            cluster.run(Duration::from_millis(20));
        }
    };
    propose(&mut cluster, Duration::from_millis(100 + seed));
    for _ in 0..2 {
        for name in names {
            cluster.fill_disk(name, window);
            propose(&mut cluster, window + Duration::from_millis(seed * 7 % 400));
        }
    }
    cluster.heal();
    propose(&mut cluster, Duration::from_secs(3));
    cluster
}

// Guards against changes that are refused or unanswered for good after disks were full one after another.
#[test_case(THREE, 1_000, Faults::default(); "three, shorter than a replacement")]
#[test_case(THREE, 3_000, Faults::default(); "three")]
#[test_case(SPARE, 1_000, Faults::default(); "beside a spare, shorter than a replacement")]
#[test_case(SPARE, 3_000, Faults::default(); "beside a spare")]
#[test_case(FIVE, 3_000, Faults::default(); "five")]
#[test_case(SPARE, 3_000, Faults { freeze: 4, drop: 100, ..Faults::default() }; "beside a spare, with freezes and losses")]
fn changes_are_accepted_after_disks_were_full_in_turn(
    names: &[&str],
    window_ms: u64,
    faults: Faults,
) {
    for seed in 0..seeds() {
        let mut cluster = disks_full_in_turn(seed, names, Duration::from_millis(window_ms), faults);
        let before = cluster.acked.len();
        let sent = cluster.now;
        let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        cluster.propose(&leader, u64::MAX);
        cluster.run(Duration::from_secs(1));
        let acked = cluster.acked[before..].iter().any(|acked| acked.sent >= sent);
        assert!(acked, "seed {seed}: a command was not accepted");
        cluster.run(Duration::from_secs(4));
        cluster.check();
        assert!(cluster.converged(), "seed {seed}: members differ");
    }
}

/// One member loses its disk, and another crashes while the first is being replaced or right after.
fn second_loss(seed: u64, sabotage: Sabotage) {
    let mut cluster = Cluster::new(seed, THREE, Faults::default(), sabotage);
    cluster.run(Duration::from_secs(2));
    let leader = cluster.leader().expect("a first leader");
    let others: Vec<_> = cluster.names().into_iter().filter(|name| *name != leader).collect();
    cluster.isolate(&others[0]);
    for command in 1..=70 {
        cluster.propose(&leader, command);
        cluster.run(Duration::from_millis(10));
    }
    cluster.run(Duration::from_millis(300));
    assert_eq!(cluster.acked.len(), 70, "seed {seed}");
    cluster.lose_disk(&others[1], Duration::from_millis(50));
    cluster.heal();
    cluster.run(Duration::from_millis(10 * (seed % 40)));
    cluster.crash(&leader, Duration::from_secs(6));
    cluster.run(Duration::from_secs(4));
    for name in others {
        cluster.propose(&name, 100 + seed);
    }
    cluster.run(Duration::from_secs(10));
    cluster.check();
}

#[test]
fn a_second_loss_during_a_repair_loses_nothing() {
    for seed in 0..2 * seeds() {
        second_loss(seed, Sabotage::None);
    }
}

/// A voter fails permanently and is replaced by a learner. After that, a second member loses its disk.
#[test]
fn a_spare_takes_the_place_of_a_voter_that_is_gone_so_that_the_next_loss_is_borne() {
    for seed in 0..seeds() {
        let mut cluster = Cluster::new(seed, SPARE, Faults::default(), Sabotage::None);
        cluster.run(Duration::from_secs(3));
        let gone = ["a", "b", "c"][seed as usize % 3];
        cluster.crash(gone, Duration::from_secs(3_600));
        cluster.run(Duration::from_secs(4));
        let leader = cluster.leader().expect("two of three lead");
        cluster.propose(&leader, 1);
        cluster.run(Duration::from_millis(100));
        let second =
            cluster.names().into_iter().find(|name| **name != *gone && !name.starts_with('s'));
        cluster.lose_disk(&second.expect("an initial voter"), Duration::from_millis(50));
        cluster.run(Duration::from_secs(4));
        let leader = cluster.leader().unwrap_or_else(|| panic!("seed {seed}: no leader"));
        cluster.propose(&leader, 2);
        cluster.run(Duration::from_secs(1));
        assert_eq!(cluster.acked.len(), 2, "seed {seed}");
        cluster.check();
    }
}

fn fails(run: impl Fn(u64), seeds: u64) -> bool {
    (0..seeds).any(|seed| catch_unwind(AssertUnwindSafe(|| run(seed))).is_err())
}

/// The checks must detect a replica that acknowledges writes before they are synced.
#[test]
fn a_sync_confirmed_too_early_is_detected() {
    let faults = Faults { crash: 60, ..Faults::default() };
    let run = |seed| {
        schedule(seed, THREE, faults, Sabotage::EarlySync);
    };
    assert!(fails(run, 50), "no schedule detected the early sync");
}

/// The checks must detect a replica that votes under its old identity after losing its disk.
#[test]
fn a_lost_disk_that_keeps_its_identity_is_seen() {
    assert!(
        fails(|seed| second_loss(seed, Sabotage::SameIdentity), 200),
        "no schedule detected the reused identity"
    );
}
