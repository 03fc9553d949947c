//! Servers in need among up to hundreds of entries, without a network.

mod cluster;

use base::prelude::*;
use test_case::test_case;

use cluster::{Plan, Trouble, World, allowed};

fn play(plan: Plan) -> World {
    let world = World::play(plan);
    let Plan { entries, per_second, needy, .. } = world.plan;
    for server in 1..=needy {
        let worst = world.worst(server);
        let (used, asks) = (world.used(server), world.asks);
        println!(
            "{entries} entries, {per_second} a second: {worst} in 4 s, {used:.2} used, {asks} asked"
        );
        assert!(worst <= allowed(per_second), "{worst} in 4 s; allowed {}", allowed(per_second));
    }
    world
}

// Incident LIMIT: what each entry keeps to by itself adds up with their number.
#[test_case(4, 0.4; "four entries, less than one a second")]
#[test_case(4, 1.5; "four entries")]
#[test_case(4, 25.0; "four entries, many a second")]
#[test_case(16, 1.5; "sixteen entries")]
#[test_case(64, 4.0; "sixty-four entries")]
#[test_case(300, 0.4; "three hundred entries, less than one a second")]
#[test_case(300, 1.5; "three hundred entries")]
#[test_case(300, 25.0; "three hundred entries, many a second")]
fn all_entries_together_keep_to_the_limit_and_use_it(entries: usize, per_second: f64) {
    let world = play(Plan::new(entries, per_second));
    assert!(world.used(1) >= 0.6, "{:.2} of what it takes", world.used(1));
    let worst = world.worst_of_all(1);
    println!("{entries} entries, {per_second} a second: {worst} in 4 s of all");
    assert!(worst <= allowed(per_second), "{worst} in 4 s of all; allowed {}", allowed(per_second));
    assert_eq!(world.refused, [] as [u64; 0], "the other servers take the rest");
}

// Same class: who hands out permits is lost, changes, or is there twice.
#[test_case(&[(6_000, Trouble::Leads(0, None)), (8_000, Trouble::Leads(1, Some(2)))]; "it changes after two seconds")]
#[test_case(&[(6_000, Trouble::Leads(0, None)), (6_001, Trouble::Leads(1, Some(2)))]; "it changes at once")]
#[test_case(&[(6_000, Trouble::Leads(0, None))]; "nobody leads any more")]
#[test_case(&[(0, Trouble::Leads(0, None))]; "nobody has ever led")]
#[test_case(&[(6_000, Trouble::Leads(1, Some(2))), (9_000, Trouble::Leads(0, None))]; "two lead for three seconds")]
#[test_case(&[(3_000, Trouble::Loss(0.3)), (12_000, Trouble::Loss(0.0))]; "frames are lost")]
#[test_case(&[(3_000, Trouble::Loss(1.0)), (12_000, Trouble::Loss(0.0))]; "all frames are lost")]
#[test_case(&[(4_000, Trouble::Restart(2)), (7_000, Trouble::Restart(3)), (7_500, Trouble::Restart(2))]; "entries start again")]
fn the_limit_is_kept_whoever_leads(troubles: &[(u64, Trouble)]) {
    for (entries, per_second) in [(8, 0.4), (8, 1.5), (8, 4.0), (24, 2.0)] {
        let troubles = troubles.to_vec();
        let world = play(Plan { troubles, ..Plan::new(entries, per_second) });
        assert!(world.used(1) >= 0.25, "{:.2} of what it takes", world.used(1));
    }
}

// Same class: a single answer without the word, answers that overtake each other.
#[test]
fn a_word_that_is_missing_now_and_then_ends_no_need() {
    for seed in 0..4 {
        play(Plan { silent: 0.05, seed, ..Plan::new(8, 1.5) });
    }
}

// Same class: a server that nobody asks any more can tell nobody that its need is over.
#[test_case(0.0; "it took nothing")]
#[test_case(0.5; "it took little")]
#[test_case(4.0; "it took some")]
fn a_server_whose_need_is_over_is_in_full_use_again(per_second: f64) {
    // The next permit, the one after it, and the answers and words of both.
    let most =
        (limit::permit_interval(per_second) + Duration::from_secs(1) + Duration::from_secs(2))
            .as_millis() as u64;
    for seed in 0..6 {
        let plan = Plan { ends: 10_000, until: 30_000, seed, ..Plan::new(8, per_second) };
        let ends = plan.ends;
        let over = World::play(plan).over.expect("the need is over everywhere");
        println!("{per_second} a second: over after {} ms", over - ends);
        assert!(over - ends <= most, "after {} ms", over - ends);
    }
}

// Incident LIMIT: where all servers are in need, what they cannot take is refused, and those who come back do not come
// together.
#[test]
fn what_all_servers_cannot_take_is_refused() {
    let plan = Plan { servers: 3, needy: 3, load: 40.0, ..Plan::new(8, 4.0) };
    let world = play(plan);
    for server in 1..=3 {
        assert!(world.used(server) >= 0.7, "{:.2} of what it takes", world.used(server));
    }
    assert!(!world.refused.is_empty());
}
