//! Prompt segments: the estimate of what a server holds, and the inventory of the stores.

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
fn only_a_prefix_counts_and_only_under_the_same_salt() {
    let mut cache = SegmentCache::default();
    cache.insert(Time(5), 1, &prompt(&[1, 2, 3]), 1_000);
    let found = |salt, ids: &[u64]| cache.cached_prefix(salt, &prompt(ids), Time::ZERO);
    assert_eq!(found(1, &[1, 2, 9]), 2);
    assert_eq!(found(1, &[9, 2, 3]), 0, "a segment counts only after all segments before it");
    assert_eq!(found(2, &[1, 2, 3]), 0, "another weight version or workspace");
    assert_eq!(cache.cached_prefix(1, &prompt(&[1]), Time(6)), 0, "sent too long ago");
}

#[test]
fn the_least_recently_used_segments_are_evicted() {
    let mut cache = SegmentCache::default();
    for (at, id) in [1, 2, 3, 1, 4].into_iter().enumerate() {
        cache.insert(Time(at as u64), 1, &prompt(&[id]), 300);
    }
    let found: Vec<u64> =
        (1..=4).filter(|id| cache.cached_prefix(1, &prompt(&[*id]), Time::ZERO) == 1).collect();
    assert_eq!(found, [1, 3, 4]);
}

#[test]
fn a_restarted_store_holds_no_earlier_segments() {
    let mut inventory = Inventory::default();
    let location = |id| Location { salt: 1, id };
    inventory.replace(store(1), 7, &[(location(1), 100), (location(2), 50)]);
    inventory.update(store(1), 7, &[(location(3), 30)], &[location(1)]);
    assert_eq!(inventory.tokens(store(1)), 80);
    assert_eq!(inventory.holders(location(2), 50).count(), 1);
    assert_eq!(
        inventory.holders(location(2), 51).count(),
        0,
        "a shorter stored segment does not count"
    );
    inventory.update(store(1), 8, &[(location(4), 10)], &[]);
    assert_eq!((inventory.holders(location(2), 50).count(), inventory.tokens(store(1))), (0, 10));
    inventory.remove_store(store(1));
    assert!(!inventory.contains_store(store(1)));
}

#[test]
fn salts_have_the_same_number_in_every_build() {
    assert_eq!(salt_number("*/m/1"), salt_number("*/m/1"));
    assert_ne!(salt_number("*/m/1"), salt_number("*/m/2"));
    // The first bytes of the BLAKE3 hash of the empty string.
    assert_eq!(salt_number(""), 0xa6a1_f9f5_b949_13af);
}
