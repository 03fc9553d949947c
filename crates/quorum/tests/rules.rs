//! Single rules of the protocol, tested with handwritten messages.

use std::sync::Arc;

use base::prelude::*;
use quorum::{
    Body, Bootstrap, Config, Entry, HardState, Input, Member, Message, Output, Replica, Role,
    Saved, Snapshot, Timing,
};

fn member(name: &str) -> Member {
    Member { name: Name::new(name), disk_id: 1 }
}

/// Replica "a" of three, restarted with one entry of term 1 after its snapshot.
fn restarted() -> Replica {
    let voters = vec![member("a"), member("b"), member("c")];
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        epoch: 1,
        config: Config { voters, learners: Vec::new() },
        data: Arc::from([]),
    };
    let entry = Entry { index: 2, term: 1, body: Body::Empty };
    let saved = Saved {
        hard_state: HardState { term: 1, vote: None },
        snapshot: Some(snapshot),
        entries: vec![entry],
    };
    Replica::new(member("a"), Bootstrap::default(), Timing::default(), 1, saved)
}

fn feed(replica: &mut Replica, now: Time, from: &str, message: Message) -> Vec<Output> {
    let mut out = Vec::new();
    replica.step(now, Input::Message { from: member(from), message }, &mut out);
    confirm_syncs(replica, now, &mut out);
    out
}

/// Confirms all requested syncs.
fn confirm_syncs(replica: &mut Replica, now: Time, out: &mut Vec<Output>) {
    let requested = out.iter().filter_map(|output| match output {
        Output::Persist { seq, .. } => Some(*seq),
        _ => None,
    });
    if let Some(seq) = requested.max() {
        replica.step(now, Input::Persisted { seq }, out);
    }
}

fn granted(out: &[Output]) -> Option<bool> {
    out.iter().find_map(|output| match output {
        Output::Send { message: Message::Vote { granted, .. }, .. } => Some(*granted),
        _ => None,
    })
}

// Before the restart, the replica may have acknowledged a leader whose lease is still valid.
#[test]
fn a_restarted_member_does_not_vote_within_an_earlier_lease() {
    let mut replica = restarted();
    let ask =
        Message::RequestVote { term: 5, pre: false, transfer: false, last_index: 9, last_term: 4 };
    let start = Time::from_millis(100);
    assert_eq!(granted(&feed(&mut replica, start, "b", ask.clone())), Some(false));
    let later = start + Timing::default().election;
    assert_eq!(granted(&feed(&mut replica, later, "b", ask)), Some(true));
}

// Raft, section 3.6.2: an entry of an earlier term may be replaced even if a majority stores it.
#[test]
fn entries_of_an_earlier_term_are_committed_only_with_one_of_the_leaders_own() {
    let mut replica = restarted();
    let mut now = Time::from_millis(100);
    let mut out = Vec::new();
    while *replica.role() != Role::PreCandidate {
        replica.step(now, Input::Tick, &mut out);
        now = now + Duration::from_millis(50);
    }
    feed(&mut replica, now, "b", Message::Vote { term: 2, pre: true, granted: true });
    feed(&mut replica, now, "b", Message::Vote { term: 2, pre: false, granted: true });
    assert_eq!(*replica.role(), Role::Leader);
    let appended = |index| Message::Appended { term: 2, ok: true, index, sent: now, at: now };
    feed(&mut replica, now, "b", appended(2));
    assert_eq!(replica.commit(), 1, "the entry of term 1 may still be replaced");
    feed(&mut replica, now, "b", appended(3));
    assert_eq!(replica.commit(), 3);
}

// While a machine is frozen, messages wait in its buffers. Received afterwards, they must not count as recent contact.
#[test]
fn an_append_delayed_by_a_freeze_is_not_recent_leader_contact() {
    let mut replica = restarted();
    let start = Time::from_millis(100);
    let append = |echo| Message::Append {
        term: 2,
        prev_index: 2,
        prev_term: 1,
        entries: Vec::new(),
        commit: 2,
        sent: start,
        echo,
    };
    feed(&mut replica, start, "b", append(start));
    assert!(replica.has_recent_leader(start));
    let woken = start + Duration::from_secs(4);
    feed(&mut replica, woken, "b", append(start));
    assert!(!replica.has_recent_leader(woken));
}

// Guards against a snapshot that is put together from the chunks of two leaders: both have one at the same index, but leaders need not
// encode the same state to the same bytes.
#[test]
fn chunks_of_two_leaders_are_not_joined() {
    let mut replica = restarted();
    let now = Time::from_millis(1_000);
    let voters = vec![member("a"), member("b"), member("c")];
    let chunk = |term, data: [u8; 2], offset| Message::Install {
        term,
        chunk: Snapshot {
            index: 9,
            term: 2,
            epoch: 1,
            config: Config { voters: voters.clone(), learners: Vec::new() },
            data: Arc::from(data),
        },
        offset,
        total: 4,
        sent: now,
    };
    feed(&mut replica, now, "b", chunk(2, [1, 1], 0));
    feed(&mut replica, now, "c", chunk(3, [2, 2], 0));
    let out = feed(&mut replica, now, "c", chunk(3, [2, 2], 2));
    let restored = out.iter().find_map(|output| match output {
        Output::Restore(snapshot) => Some(snapshot.data.to_vec()),
        _ => None,
    });
    assert_eq!(restored, Some(vec![2, 2, 2, 2]));
}
