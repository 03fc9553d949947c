//! Distinct keys, detection of invalid blocks, deletion after the last read, and estimates of links.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use base::Time;
use cache::{Link, PIECE_BYTES, Phase, Scope, StoreIndex, block_keys, decode_block, encode_block};
use proptest::prelude::*;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

#[test]
fn keys_differ_by_workspace_model_version_and_adapter() {
    let text = "x".repeat(3 * PIECE_BYTES + 10);
    let (one, two) = ([1; 16], [2; 16]);
    let scope = Scope { salt: &one, model: "m", version: "v1", adapter: "" };
    let scopes = [
        scope,
        Scope { salt: &two, ..scope },
        Scope { model: "mv", version: "1", ..scope },
        Scope { version: "v2", ..scope },
        Scope { adapter: "a", ..scope },
    ];
    let mut seen = HashSet::new();
    for scope in scopes {
        let keys = block_keys(scope, &text);
        assert_eq!(keys.len(), 3);
        assert!(keys.into_iter().all(|key| seen.insert(key)));
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_damaged_block_is_a_miss(
        body in prop::collection::vec(any::<u8>(), 0..200),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
        cut in any::<prop::sample::Index>(),
    ) {
        let key = [7; 16];
        let good = encode_block(&key, 3, &body);
        prop_assert_eq!(decode_block(&key, 3, &good), Ok(&body[..]));
        prop_assert!(decode_block(&[8; 16], 3, &good).is_err(), "wrong key");
        prop_assert!(decode_block(&key, 4, &good).is_err(), "wrong generation");
        let mut bad = good.clone();
        bad[at.index(good.len())] ^= flip;
        prop_assert!(decode_block(&key, 3, &bad).is_err(), "corrupt");
        prop_assert!(decode_block(&key, 3, &good[..cut.index(good.len())]).is_err(), "truncated");
    }

    /// A reader that was told of a block and reads it within its pin never finds it deleted.
    #[test]
    fn no_reader_finds_a_freed_block(steps in prop::collection::vec((0_u8..6, 0_u8..8), 1..300)) {
        let mut index = StoreIndex::new(400);
        let mut now = Time::ZERO;
        let mut store: HashMap<[u8; 16], u64> = HashMap::new();
        let mut readers: Vec<([u8; 16], u64, Time)> = Vec::new();
        let mut generations = HashMap::new();
        for (what, which) in steps {
            let key = [which; 16];
            match what {
                0 => {
                    index.tombstone_lru(now, 100);
                    if let Some(generation) = index.reserve(key, 100) {
                        prop_assert!(!store.contains_key(&key));
                        store.insert(key, generation);
                        generations.insert(key, generation);
                    }
                }
                1 => {
                    let generation = generations.get(&key).copied().unwrap_or(0);
                    index.finish_write(&key, generation, true);
                }
                2 if index.phase(&key) == Some(Phase::Published) => {
                    readers.push((key, generations[&key], now + Duration::from_secs(10)));
                }
                3 => index.record_use(&key),
                4 => {
                    for freed in index.take_expired(now) {
                        store.remove(&freed.key);
                    }
                }
                _ => now = now + Duration::from_millis(u64::from(which) * 700),
            }
            readers.retain(|(_, _, until)| *until >= now);
            for (key, generation, _) in &readers {
                prop_assert_eq!(store.get(key), Some(generation), "deleted during a read");
            }
        }
    }
}

#[test]
fn a_failing_store_is_excluded_for_a_time() {
    let mut link = Link::new(1e6);
    let now = Time::from_millis(1_000);
    link.begin(now, 1_000);
    link.fail(now, 1_000, false);
    assert!(link.is_available(now), "one failure is not enough");
    link.begin(now, 1_000);
    link.fail(now, 1_000, false);
    assert!(!link.is_available(now));
    assert!(link.is_available(now + Duration::from_secs(2)));
    assert_eq!(link.queued, 0);
}

#[test]
fn background_waits_for_the_foreground() {
    let mut link = Link::new(1e6);
    let window = Duration::from_secs(1);
    link.begin(Time::ZERO, 10);
    assert!(!link.begin_background(Time::ZERO, 10, window));
    link.finish(Time(10), 10, 10, false);
    assert!(link.begin_background(Time::ZERO, 10, window));
    assert!(!link.begin_background(Time::ZERO, 1_000_000, window), "over its share");
}

/// Concurrent transfers take longer each, which must not lower the estimated rate of the link.
#[test]
fn the_rate_is_that_of_the_link_and_not_of_one_transfer() {
    let mut link = Link::new(1e9);
    for _ in 0..12 {
        link.begin(Time::ZERO, 1 << 20);
    }
    // One transfer of a MiB completes each millisecond; all started at zero.
    for millis in 1..=12 {
        link.finish(Time::from_millis(millis), 1 << 20, 1 << 20, false);
    }
    assert!(link.rate > 0.9e9, "{}", link.rate);
}
