//! Reads of stores whose response is older than the read: a copy of an earlier response on the same connection.

mod forwarder;

use std::net::SocketAddr;

use base::prelude::*;
use cache::salt_number;
use fleet::{Listed, StoreDelta, StoredSegment};
use node::Effect;
use node::forward::{ControlCall, Event};
use wire::{Holdings, save};

use forwarder::Harness;
use forwarder::fixture::{STORE, config, listed};

/// Interval between two ticks, milliseconds.
const TICK_MS: u64 = 50;
/// Time in which a new leader has read its store and issued leases, milliseconds.
const START_MS: u64 = 20_000;
/// Number of the next event when the store is read completely.
const NEXT: u64 = 9;
/// Longest lease, and the bound of the age of a clock; milliseconds.
const LONGEST_LEASE_MS: u64 = 10_000;
const CLOCK_AGE_MS: u64 = 2_000;
/// How much older a copy is than the response to the read, milliseconds.
const COPY_AGE_MS: u64 = 8_000;
/// Time in which responses may be copies: a few reads.
const COPIES_TIME: Duration = Duration::from_secs(1);

fn store() -> SocketAddr {
    STORE.parse().expect("an address")
}

/// The only segment, of this length.
fn segment(tokens: u32) -> StoredSegment {
    StoredSegment { salt: "*/m/1".to_owned(), id: 1, tokens }
}

/// A response of the store in this incarnation.
fn response(harness: &Harness, epoch: u64, next: u64, segments: &[StoredSegment]) -> StoreDelta {
    let clock_ms = Some(harness.servers_clock_ms());
    StoreDelta { epoch, next_event: next, gap: false, clock_ms, segments: segments.to_vec() }
}

fn leader(term: u64) -> Harness {
    let server = Listed { models: vec![(Name::new("m"), 1)], ..listed(1) };
    let mut harness = Harness::with_list(vec![server]);
    harness.term = Some(term);
    harness
}

/// Passes time at a leader whose reads are answered at once. `respond` answers those of the store by their first event and by
/// whether they have to be fresh.
fn pass(
    harness: &mut Harness,
    millis: u64,
    mut respond: impl FnMut(&Harness, Option<u64>, bool) -> StoreDelta,
) {
    for _ in 0..millis / TICK_MS {
        harness.wait(TICK_MS);
        for effect in std::mem::take(&mut harness.out) {
            match effect {
                Effect::Call(ControlCall::ReadStore { addr, since, fresh }) => {
                    let delta = if addr == store() {
                        respond(harness, since, fresh)
                    } else {
                        response(harness, 1, 0, &[])
                    };
                    harness.event(Event::StoreRead { addr, since, delta: Ok(delta) });
                }
                Effect::Call(ControlCall::CheckStore { addr, since, began }) => {
                    let epoch = Ok(respond(harness, Some(since), true).epoch);
                    harness.event(Event::StoreChecked { addr, began, epoch });
                }
                _ => {}
            }
        }
    }
}

/// A leader whose store holds these segments, long after it began to lead.
fn leader_of(segments: &[StoredSegment]) -> Harness {
    let mut harness = leader(1);
    pass(&mut harness, START_MS, |harness, since, _| {
        response(harness, 1, NEXT, if since.is_none() { segments } else { &[] })
    });
    harness
}

fn is_offered(harness: &Harness) -> bool {
    let held = harness.forward.inventory().holdings;
    let mut held = held.iter().filter(|held| held.store == store());
    held.any(|held| held.segments.iter().any(|segment| segment.id == 1))
}

/// Time passes until the leader reads the store; returns the first event and whether the read has to be fresh.
fn next_read(harness: &mut Harness) -> (Option<u64>, bool) {
    for _ in 0..100 {
        harness.wait(TICK_MS);
        let reads = std::mem::take(&mut harness.out).into_iter().find_map(|effect| match effect {
            Effect::Call(ControlCall::ReadStore { addr, since, fresh }) if addr == store() => {
                Some((since, fresh))
            }
            _ => None,
        });
        if let Some(read) = reads {
            return read;
        }
    }
    panic!("no read of the store");
}

// Guards against a segment that is fetched although the store has dropped it: events of an earlier response are applied again.
#[test]
fn events_before_the_requested_one_are_not_applied() {
    let mut harness = leader_of(&[segment(2_500)]);
    assert!(is_offered(&harness));
    let read = |harness: &mut Harness, since, next, segments: &[StoredSegment]| {
        let delta = Ok(response(harness, 1, next, segments));
        harness.event(Event::StoreRead { addr: store(), since: Some(since), delta });
    };
    read(&mut harness, NEXT, NEXT + 1, &[segment(0)]);
    assert!(!is_offered(&harness), "it was dropped");
    read(&mut harness, NEXT + 1, NEXT, &[segment(2_500)]);
    assert!(!is_offered(&harness), "offered by an earlier response");
    assert_eq!(next_read(&mut harness), (None, true), "the complete inventory is read");
}

// Guards against a store that is out of use for longer than one read, since another incarnation numbers its events anew.
#[test]
fn a_store_that_has_restarted_is_read_completely() {
    let mut harness = leader_of(&[segment(2_500)]);
    let delta = Ok(response(&harness, 2, 1, &[segment(2_500)]));
    harness.event(Event::StoreRead { addr: store(), since: Some(NEXT), delta });
    assert!(!is_offered(&harness));
    assert_eq!(next_read(&mut harness), (None, true));
}

// Guards against a fetch of a segment that is being written: a late response says that it is complete in an incarnation of
// the store that has ended before the last save of it began.
#[test]
fn events_that_may_precede_the_last_save_offer_nothing() {
    let mut harness = leader_of(&[]);
    for (number, entry) in ["e1", "e2"].into_iter().enumerate() {
        let saves = vec![save::Save { store: store(), salt: salt_number("*/m/1"), id: 1 }];
        let request = save::Request { number: number as u64, saves, left_ms: 5_000 };
        harness.step(|forward, cx, _| {
            let reply = forward.saves_requested(cx, &Name::new(entry), &request);
            assert!(!reply.permitted.is_empty(), "{entry}");
            forward.saves_ended(cx, &Name::new(entry), &[number as u64]);
        });
    }
    // Without a read in flight from before the saves have ended.
    pass(&mut harness, 500, |harness, _, _| response(harness, 1, NEXT, &[]));
    assert_eq!(next_read(&mut harness), (Some(NEXT), false));
    let delta = Ok(response(&harness, 1, NEXT + 1, &[segment(2_500)]));
    harness.event(Event::StoreRead { addr: store(), since: Some(NEXT), delta });
    assert!(!is_offered(&harness), "the store may have restarted since");
    pass(&mut harness, TICK_MS, |harness, _, _| response(harness, 1, NEXT + 1, &[]));
    assert!(is_offered(&harness), "a check has shown the same incarnation");
}

// Guards against a store that is offered while entries still fetch by the inventory of an earlier leader: the new one counts
// from a clock that the store named before.
#[test]
fn a_new_leader_counts_from_a_clock_that_was_read_after_it_began() {
    let old = leader_of(&[segment(2_500)]);
    let mut harness = leader(2);
    harness.now = old.now;
    harness.forward.inventory_advertised(&old.forward.inventory());
    let began = harness.now;
    let lease = config().lease;
    let mut copied = false;
    let mut offered = None;
    for _ in 0..600 {
        // The store has restarted while the leader changed.
        pass(&mut harness, TICK_MS, |harness, _, fresh| {
            let mut delta = response(harness, 2, NEXT, &[]);
            let elapsed = harness.now.since(began);
            if !fresh && elapsed >= lease && elapsed < lease + COPIES_TIME {
                copied = true;
                delta.clock_ms = delta.clock_ms.map(|clock_ms| clock_ms - COPY_AGE_MS);
            }
            delta
        });
        let inventory = harness.forward.inventory();
        let is_offered = |held: &Holdings| held.store == store() && held.epoch == Some(2);
        if inventory.holdings.iter().any(is_offered) {
            offered = Some(harness.now.since(began));
            break;
        }
    }
    let wait = lease + Duration::from_millis(LONGEST_LEASE_MS + CLOCK_AGE_MS);
    assert!(offered.is_some_and(|offered| offered > wait), "offered after {offered:?}");
    assert!(copied, "no response was a copy");
}
