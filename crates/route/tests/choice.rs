//! `choose` follows the estimates, within the bound on load.

use std::time::Duration;

use route::{Candidate, Need, Weights, choose, estimate};

fn candidate(name: &str) -> Candidate {
    Candidate {
        name: name.into(),
        free_slots: 4,
        per_token: Duration::from_micros(20),
        per_piece: Duration::from_millis(5),
        ..Candidate::default()
    }
}

fn need(pieces: usize, known_pieces: usize) -> Need {
    Need { tokens: pieces as u64 * 1_000 + 100, pieces, known_pieces, piece_bytes: 1 << 20 }
}

#[test]
fn fetching_gives_way_to_computing_when_the_link_is_slow() {
    let fast = Candidate { fetchable_pieces: 8, ..candidate("a") };
    let slow = Candidate { per_piece: Duration::from_millis(50), ..fast.clone() };
    let weights = Weights::default();
    assert_eq!(estimate(&weights, &need(8, 8), &fast).fetch_pieces, 8);
    assert_eq!(estimate(&weights, &need(8, 8), &slow).fetch_pieces, 0);
}

#[test]
fn the_weights_decide_between_measures() {
    // Fetching takes longer than recomputing, but needs no prefill.
    let slow =
        Candidate { fetchable_pieces: 8, per_piece: Duration::from_millis(24), ..candidate("a") };
    let links = Weights { first_token: 0.4, recompute: 1.0, link: 0.1 };
    assert_eq!(estimate(&Weights::default(), &need(8, 8), &slow).fetch_pieces, 0);
    assert_eq!(estimate(&links, &need(8, 8), &slow).fetch_pieces, 8);
}

#[test]
fn a_busy_holder_gives_way_to_an_idle_server() {
    let busy = Candidate { local_pieces: 4, wait: Duration::from_secs(1), ..candidate("busy") };
    let holder = Candidate { wait: Duration::from_millis(10), ..busy.clone() };
    let idle = candidate("idle");
    let weights = Weights::default();
    let pick = |list: &[Candidate]| choose(&weights, &need(4, 4), list, 0).map(|c| c.index);
    assert_eq!(pick(&[busy, idle.clone()]), Some(1));
    assert_eq!(pick(&[holder, idle]), Some(0));
}

#[test]
fn load_is_bounded_however_warm_a_server_is() {
    let mut list: Vec<Candidate> = (0..4).map(|place| candidate(&format!("c{place}"))).collect();
    list[0].local_pieces = 8;
    list[0].running = 40;
    let choice = choose(&Weights::default(), &need(8, 8), &list, 0).expect("a candidate");
    assert_ne!(choice.index, 0);
}

#[test]
fn entries_that_decide_at_once_spread_over_equals() {
    let list: Vec<Candidate> = (0..8).map(|place| candidate(&format!("c{place}"))).collect();
    let mut chosen: Vec<usize> = (0..8)
        .filter_map(|spread| choose(&Weights::default(), &need(1, 0), &list, spread))
        .map(|choice| choice.index)
        .collect();
    chosen.dedup();
    assert_eq!(chosen.len(), 8);
}

#[test]
fn a_full_server_is_never_chosen() {
    let full = Candidate { free_slots: 0, ..candidate("full") };
    assert!(choose(&Weights::default(), &need(1, 0), &[full], 0).is_none());
}
