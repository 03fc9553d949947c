//! Which processes a process dials, and which addresses it sends to others.

mod harness;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, Time};
use harness::{Harness, KEEPER, engine, hello};
use node::{Contacts, Dial, Effect, Effects, Event};
use test_case::test_case;
use wire::{Contact, Frame, Hello};

const LONG: Duration = Duration::from_secs(3_600);

fn at(port: u16, hello: Hello) -> Hello {
    Hello { addr: addr(port), ..hello }
}

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn keeper(name: &str, incarnation: u64, port: u16) -> Hello {
    Hello { keeper: true, ..at(port, hello(name, incarnation, None)) }
}

fn contact(hello: Hello) -> Contact {
    Contact { hello, silent_ms: 0 }
}

/// The ports that are dialled after these effects.
fn dialled(out: &Effects) -> Vec<u16> {
    let mut ports = Vec::new();
    for effect in out {
        match effect {
            Effect::Dial { addr, .. } => ports.push(addr.port()),
            Effect::StopDialing { addr } => ports.retain(|port| *port != addr.port()),
            _ => {}
        }
    }
    ports
}

/// Names of the keepers that are sent to a peer.
fn reported(out: &Effects, peer: &str) -> Vec<String> {
    let frames = out.iter().filter_map(|effect| match effect {
        Effect::Send { to, frame: Frame::Contacts(contacts) } if **to == *peer => Some(contacts),
        _ => None,
    });
    frames.flatten().map(|contact| contact.hello.name.to_string()).collect()
}

// Incident CONFIG, RECOVER: two keepers that were connected only to the same entry never connected to each other.
#[test]
fn an_entry_makes_keepers_known_to_each_other() {
    let mut harness = Harness::entry();
    let first = keeper("k1", 1, 11);
    let out = harness.step(Event::Connected(first));
    assert_eq!(reported(&out, "k1"), [KEEPER]);
    let out = harness.step(Event::Connected(keeper("k2", 1, 12)));
    assert_eq!(reported(&out, "k2"), ["k1", KEEPER]);
    assert_eq!(reported(&out, "k1"), ["k2"]);
    assert_eq!(reported(&out, KEEPER), ["k2"]);
    let out = harness.step(Event::Connected(keeper("k2", 1, 12)));
    assert_eq!(reported(&out, "k1"), [] as [String; 0], "it has been sent before");
}

#[test]
fn what_a_peer_tells_is_passed_on_once() {
    let mut harness = Harness::entry();
    harness.step(Event::Connected(at(3, hello("entry-2", 1, None))));
    let frame = Frame::Contacts(vec![contact(keeper("k1", 1, 11))]);
    let out = harness.frame("entry-2", frame.clone());
    assert_eq!(dialled(&out), [11]);
    assert_eq!(reported(&out, KEEPER), ["k1"]);
    assert_eq!(reported(&out, "entry-2"), [] as [String; 0], "it is the source");
    assert_eq!(reported(&harness.frame(KEEPER, frame), "entry-2"), [] as [String; 0]);
}

#[test_case(2, &[12]; "a later incarnation")]
#[test_case(1, &[]; "an earlier incarnation")]
fn the_word_of_the_later_life_is_right(incarnation: u64, dials: &[u16]) {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 1, 11))], &mut out);
    assert_eq!(dialled(&out), [11]);
    let mut update = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", incarnation, 12))], &mut update);
    assert_eq!(dialled(&update), dials);
    let stopped = update
        .iter()
        .any(|effect| matches!(effect, Effect::StopDialing { addr: at } if *at == addr(11)));
    assert_eq!(stopped, !dials.is_empty(), "the previous address");
}

#[test]
fn a_process_that_speaks_for_itself_is_believed() {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 5, 11))], &mut out);
    // The clock that numbers incarnations was set back, and another process has the old address now.
    assert!(contacts.connected(Time::ZERO, &keeper("k1", 4, 12), &mut out));
    assert!(contacts.connected(Time::ZERO, &keeper("k2", 4, 12), &mut out));
    assert_eq!(dialled(&out), [12]);
    let names: Vec<Name> =
        contacts.keepers(Time::ZERO).into_iter().map(|contact| contact.hello.name).collect();
    assert_eq!(names, [Name::new("k2")]);
}

#[test]
fn entries_dial_agents_and_others_do_not() {
    for (local, dials) in [("entry-1", &[21_u16][..]), ("agent-2", &[])] {
        let mut contacts = Contacts::new(hello(local, 1, None));
        let mut out = Effects::new();
        contacts.apply_reported(
            Time::ZERO,
            &[contact(at(21, hello("agent-1", 1, Some(engine()))))],
            &mut out,
        );
        assert_eq!(dialled(&out), dials, "{local}");
    }
}

#[test_case(true, false, &[]; "silent for long")]
#[test_case(true, true, &[11]; "a voter")]
#[test_case(false, false, &[11]; "while no keeper is connected")]
fn silent_processes_are_forgotten(keeper_connected: bool, votes: bool, dials: &[u16]) {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 1, 11))], &mut out);
    let other = hello(KEEPER, 1, None);
    let peers: BTreeMap<Name, Hello> =
        keeper_connected.then(|| (other.name.clone(), other)).into_iter().collect();
    for step in 0..2 {
        contacts.tick(Time::ZERO + LONG * step, &peers, |_| votes, &mut out);
    }
    assert_eq!(dialled(&out), dials);
}

#[test]
fn seeds_are_dialled_until_the_settings_name_others() {
    let mut contacts = Contacts::new(at(10, hello("entry-1", 1, None)));
    let mut out = Effects::new();
    contacts.set_seeds(vec![addr(10), addr(11), addr(12)], &mut out);
    assert_eq!(dialled(&out), [11, 12], "not the process itself");
    contacts.connected(Time::ZERO, &keeper("k1", 1, 11), &mut out);
    contacts.set_seeds(vec![addr(13)], &mut out);
    assert_eq!(dialled(&out), [11, 13], "a tracked keeper is still dialled");
}

#[test]
fn keepers_look_for_whoever_has_lost_them() {
    let mut contacts = Contacts::new(keeper("k1", 1, 11));
    let mut out = Effects::new();
    contacts.connected(Time::ZERO, &at(31, hello("entry-1", 1, None)), &mut out);
    contacts.connected(Time::ZERO, &keeper("k2", 1, 12), &mut out);
    let found: Vec<(u16, Dial)> = out
        .iter()
        .filter_map(|effect| match effect {
            Effect::Dial { addr, when } => Some((addr.port(), *when)),
            _ => None,
        })
        .collect();
    assert_eq!(found, [(31, Dial::WhileDisconnected), (12, Dial::Always)]);
}

#[test_case(keeper("k1", 1, 11), &["entry-1", "k2"]; "a keeper")]
#[test_case(hello("entry-2", 1, None), &[]; "a process without a disk")]
fn keepers_remember_where_everybody_was(local: Hello, names: &[&str]) {
    let mut contacts = Contacts::new(local.clone());
    let mut out = Effects::new();
    contacts.connected(Time::ZERO, &at(31, hello("entry-1", 1, None)), &mut out);
    contacts.connected(Time::ZERO, &keeper("k2", 1, 12), &mut out);
    let tick = |contacts: &mut Contacts, seconds: u64| {
        let mut out = Effects::new();
        let now = Time::ZERO + Duration::from_secs(seconds);
        contacts.tick(now, &BTreeMap::new(), |_| false, &mut out);
        let saved = out.into_iter().find_map(|effect| match effect {
            Effect::SaveContacts(contacts) => Some(contacts),
            _ => None,
        });
        saved.unwrap_or_default()
    };
    let saved = tick(&mut contacts, 1);
    let found: Vec<&str> = saved.iter().map(|contact| &*contact.hello.name).collect();
    assert_eq!(found, names);
    assert_eq!(tick(&mut contacts, 2), [], "nothing has changed");
    let mut again = Contacts::new(local);
    let mut out = Effects::new();
    again.load_saved(Time::ZERO, &saved, &mut out);
    assert_eq!(dialled(&out).len(), names.len());
    assert_eq!(tick(&mut again, 3), [], "it is on the disk already");
}
