//! Parts that callers name: what a server is believed to hold, and what lies on stores.

use std::net::SocketAddr;

use base::Time;
use cache::{Inventory, Location, Segment, SegmentCache, salt_number};

fn prompt(ids: &[u64]) -> Vec<Segment> {
    ids.iter().map(|id| Segment { id: *id, tokens: 100 }).collect()
}

fn store(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

#[test]
fn only_a_beginning_counts_and_never_under_another_salt() {
    let mut held = SegmentCache::default();
    held.insert(Time(5), 1, &prompt(&[1, 2, 3]), 1_000);
    let found = |salt, ids: &[u64]| held.cached_prefix(salt, &prompt(ids), Time::ZERO);
    assert_eq!(found(1, &[1, 2, 9]), 2);
    assert_eq!(found(1, &[9, 2, 3]), 0, "a part is of use only behind those before it");
    assert_eq!(found(2, &[1, 2, 3]), 0, "other weights or another workspace");
    assert_eq!(held.cached_prefix(1, &prompt(&[1]), Time(6)), 0, "sent too long ago");
}

#[test]
fn the_least_recently_used_parts_yield() {
    let mut held = SegmentCache::default();
    for (at, id) in [1, 2, 3, 1, 4].into_iter().enumerate() {
        held.insert(Time(at as u64), 1, &prompt(&[id]), 300);
    }
    let found: Vec<u64> =
        (1..=4).filter(|id| held.cached_prefix(1, &prompt(&[*id]), Time::ZERO) == 1).collect();
    assert_eq!(found, [1, 3, 4]);
}

#[test]
fn a_store_that_was_born_again_holds_nothing_of_before() {
    let mut stock = Inventory::default();
    let place = |id| Location { salt: 1, id };
    stock.replace(store(1), 7, &[(place(1), 100), (place(2), 50)]);
    stock.update(store(1), 7, &[(place(3), 30)], &[place(1)]);
    assert_eq!(stock.tokens(store(1)), 80);
    assert_eq!(stock.holders(place(2), 50).count(), 1);
    assert_eq!(stock.holders(place(2), 51).count(), 0, "a shorter part is not the whole one");
    stock.update(store(1), 8, &[(place(4), 10)], &[]);
    assert_eq!((stock.holders(place(2), 50).count(), stock.tokens(store(1))), (0, 10));
    stock.remove_store(store(1));
    assert!(!stock.contains_store(store(1)));
}

#[test]
fn salts_have_the_same_number_in_every_build() {
    assert_eq!(salt_number("*/m/1"), salt_number("*/m/1"));
    assert_ne!(salt_number("*/m/1"), salt_number("*/m/2"));
    // The first bytes of the BLAKE3 hash of nothing.
    assert_eq!(salt_number(""), 0xa6a1_f9f5_b949_13af);
}
