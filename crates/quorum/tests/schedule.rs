//! Seeded schedules of failures; `SEEDS` in the environment runs more of them.

mod bed;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use bed::{Bed, Faults, Sabotage};
use test_case::test_case;

const SEEDS: u64 = 40;
const ROUNDS: u64 = 150;
const THREE: &[&str] = &["a", "b", "c"];
const SPARE: &[&str] = &["a", "b", "c", "spare"];
const FIVE: &[&str] = &["a", "b", "c", "d", "e"];

fn seeds() -> u64 {
    std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

fn schedule(seed: u64, names: &[&str], faults: Faults, sabotage: Sabotage) -> Bed {
    let mut bed = Bed::new(seed, names, Faults::default(), sabotage);
    bed.run(Duration::from_secs(2));
    assert!(bed.leader().is_some(), "seed {seed}: no first leader");
    bed.set_faults(faults);
    let mut command = 0;
    for round in 0..ROUNDS {
        for name in names {
            command += 1;
            bed.propose(name, command);
            bed.read(name, round * 10 + command);
        }
        bed.run(Duration::from_millis(40));
    }
    bed.heal();
    bed.run(Duration::from_secs(12));
    bed.check();
    bed
}

fn all() -> Faults {
    Faults { drop: 300, duplicate: 300, crash: 8, freeze: 8, cut: 6, lose_disk: 0 }
}

#[test_case(THREE, Faults { drop: 500, duplicate: 500, ..Faults::default() }; "bad links")]
#[test_case(THREE, Faults { crash: 20, ..Faults::default() }; "crashes that lose unsynced bytes")]
#[test_case(THREE, Faults { freeze: 20, cut: 10, ..Faults::default() }; "freezes and cuts")]
#[test_case(THREE, Faults { lose_disk: 30, ..Faults::default() }; "lost disks")]
#[test_case(THREE, all(); "all but lost disks among three")]
#[test_case(FIVE, Faults { lose_disk: 20, ..all() }; "all among five")]
#[test_case(SPARE, Faults { lose_disk: 30, ..Faults::default() }; "lost disks beside a spare")]
#[test_case(SPARE, Faults { lose_disk: 20, ..all() }; "all beside a spare")]
fn nothing_accepted_is_lost(names: &[&str], faults: Faults) {
    let (mut acked, mut lost) = (0, 0);
    for seed in 0..seeds() {
        let bed = schedule(seed, names, faults, Sabotage::None);
        assert!(bed.converged(), "seed {seed}: members differ after healing");
        assert!(bed.leader().is_some(), "seed {seed}: no leader after healing");
        acked += bed.acked.len();
        lost += bed.lost;
    }
    assert!(faults.lose_disk == 0 || lost as u64 > seeds() / 2, "only {lost} disks were lost");
    assert!(acked as u64 > seeds() * ROUNDS / 4, "only {acked} commands were accepted");
}

/// One disk is lost, and another VM is lost while or right after the first is repaired.
fn second_loss(seed: u64, sabotage: Sabotage) {
    let mut bed = Bed::new(seed, THREE, Faults::default(), sabotage);
    bed.run(Duration::from_secs(2));
    let leader = bed.leader().expect("a first leader");
    let others: Vec<_> = bed.names().into_iter().filter(|name| *name != leader).collect();
    bed.cut(&others[0]);
    for command in 1..=70 {
        bed.propose(&leader, command);
        bed.run(Duration::from_millis(10));
    }
    bed.run(Duration::from_millis(300));
    assert_eq!(bed.acked.len(), 70, "seed {seed}");
    bed.lose_disk(&others[1], Duration::from_millis(50));
    bed.heal();
    bed.run(Duration::from_millis(10 * (seed % 40)));
    bed.crash(&leader, Duration::from_secs(6));
    bed.run(Duration::from_secs(4));
    for name in others {
        bed.propose(&name, 100 + seed);
    }
    bed.run(Duration::from_secs(10));
    bed.check();
}

#[test]
fn a_second_loss_during_a_repair_loses_nothing() {
    for seed in 0..2 * seeds() {
        second_loss(seed, Sabotage::None);
    }
}

/// A voter is gone for good and a spare is there; once that is repaired, a second disk is lost.
#[test]
fn a_spare_takes_the_place_of_a_voter_that_is_gone_so_that_the_next_loss_is_borne() {
    for seed in 0..seeds() {
        let mut bed = Bed::new(seed, SPARE, Faults::default(), Sabotage::None);
        bed.run(Duration::from_secs(3));
        let gone = ["a", "b", "c"][seed as usize % 3];
        bed.crash(gone, Duration::from_secs(3_600));
        bed.run(Duration::from_secs(4));
        let leader = bed.leader().expect("two of three lead");
        bed.propose(&leader, 1);
        bed.run(Duration::from_millis(100));
        let second = bed.names().into_iter().find(|name| **name != *gone && !name.starts_with('s'));
        bed.lose_disk(&second.expect("a founder"), Duration::from_millis(50));
        bed.run(Duration::from_secs(4));
        let leader = bed.leader().unwrap_or_else(|| panic!("seed {seed}: nobody leads"));
        bed.propose(&leader, 2);
        bed.run(Duration::from_secs(1));
        assert_eq!(bed.acked.len(), 2, "seed {seed}");
        bed.check();
    }
}

fn fails(run: impl Fn(u64), seeds: u64) -> bool {
    (0..seeds).any(|seed| catch_unwind(AssertUnwindSafe(|| run(seed))).is_err())
}

/// The checks see a member that breaks a promise.
#[test]
fn a_sync_confirmed_too_early_is_seen() {
    let faults = Faults { crash: 60, ..Faults::default() };
    let run = |seed| {
        schedule(seed, THREE, faults, Sabotage::EarlySync);
    };
    assert!(fails(run, 50), "no schedule showed the fault");
}

#[test]
fn a_lost_disk_that_keeps_its_identity_is_seen() {
    assert!(fails(|seed| second_loss(seed, Sabotage::SameIdentity), 200), "not shown");
}
