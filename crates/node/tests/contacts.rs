//! Whom a process looks for, and what it tells others of addresses.

mod harness;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use base::{Name, Time};
use harness::{Bed, KEEPER, engine, hello};
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

fn keeper(name: &str, life: u64, port: u16) -> Hello {
    Hello { keeper: true, ..at(port, hello(name, life, None)) }
}

fn contact(hello: Hello) -> Contact {
    Contact { hello, silent_ms: 0 }
}

/// The addresses that are dialled after these effects.
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

/// Names of the keepers that a peer is told of.
fn told(out: &Effects, peer: &str) -> Vec<String> {
    let frames = out.iter().filter_map(|effect| match effect {
        Effect::Send { to, frame: Frame::Contacts(contacts) } if **to == *peer => Some(contacts),
        _ => None,
    });
    frames.flatten().map(|contact| contact.hello.name.to_string()).collect()
}

// Incident CONFIG, RECOVER: two keepers that were linked to the same entry, and to nobody else, never met.
#[test]
fn an_entry_makes_keepers_known_to_each_other() {
    let mut bed = Bed::entry();
    let first = keeper("k1", 1, 11);
    let out = bed.step(Event::Connected(first));
    assert_eq!(told(&out, "k1"), [KEEPER]);
    let out = bed.step(Event::Connected(keeper("k2", 1, 12)));
    assert_eq!(told(&out, "k2"), ["k1", KEEPER]);
    assert_eq!(told(&out, "k1"), ["k2"]);
    assert_eq!(told(&out, KEEPER), ["k2"]);
    let out = bed.step(Event::Connected(keeper("k2", 1, 12)));
    assert_eq!(told(&out, "k1"), [] as [String; 0], "it is known by now");
}

#[test]
fn what_a_peer_tells_is_passed_on_once() {
    let mut bed = Bed::entry();
    bed.step(Event::Connected(at(3, hello("entry-2", 1, None))));
    let frame = Frame::Contacts(vec![contact(keeper("k1", 1, 11))]);
    let out = bed.frame("entry-2", frame.clone());
    assert_eq!(dialled(&out), [11]);
    assert_eq!(told(&out, KEEPER), ["k1"]);
    assert_eq!(told(&out, "entry-2"), [] as [String; 0], "it told so itself");
    assert_eq!(told(&bed.frame(KEEPER, frame), "entry-2"), [] as [String; 0]);
}

#[test_case(2, &[12]; "a later life")]
#[test_case(1, &[]; "an earlier life")]
fn the_word_of_the_later_life_is_right(life: u64, dials: &[u16]) {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 1, 11))], &mut out);
    assert_eq!(dialled(&out), [11]);
    let mut moved = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", life, 12))], &mut moved);
    assert_eq!(dialled(&moved), dials);
    let left = moved
        .iter()
        .any(|effect| matches!(effect, Effect::StopDialing { addr: at } if *at == addr(11)));
    assert_eq!(left, !dials.is_empty(), "the address that it has left");
}

#[test]
fn a_process_that_speaks_for_itself_is_believed() {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 5, 11))], &mut out);
    // The clock that numbers its lives was set back, and another now has its old address.
    assert!(contacts.connected(Time::ZERO, &keeper("k1", 4, 12), &mut out));
    assert!(contacts.connected(Time::ZERO, &keeper("k2", 4, 12), &mut out));
    assert_eq!(dialled(&out), [12]);
    let names: Vec<Name> =
        contacts.keepers(Time::ZERO).into_iter().map(|contact| contact.hello.name).collect();
    assert_eq!(names, [Name::new("k2")]);
}

#[test]
fn entries_dial_agents_and_others_do_not() {
    for (me, dials) in [("entry-1", &[21_u16][..]), ("agent-2", &[])] {
        let mut contacts = Contacts::new(hello(me, 1, None));
        let mut out = Effects::new();
        contacts.apply_reported(
            Time::ZERO,
            &[contact(at(21, hello("agent-1", 1, Some(engine()))))],
            &mut out,
        );
        assert_eq!(dialled(&out), dials, "{me}");
    }
}

#[test_case(true, false, &[]; "silent for long")]
#[test_case(true, true, &[11]; "a voter")]
#[test_case(false, false, &[11]; "while no keeper is linked")]
fn silent_processes_are_forgotten(in_touch: bool, votes: bool, dials: &[u16]) {
    let mut contacts = Contacts::new(hello("entry-1", 1, None));
    let mut out = Effects::new();
    contacts.apply_reported(Time::ZERO, &[contact(keeper("k1", 1, 11))], &mut out);
    let other = hello(KEEPER, 1, None);
    let peers: BTreeMap<Name, Hello> =
        in_touch.then(|| (other.name.clone(), other)).into_iter().collect();
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
    assert_eq!(dialled(&out), [11, 12], "the process itself is none");
    contacts.connected(Time::ZERO, &keeper("k1", 1, 11), &mut out);
    contacts.set_seeds(vec![addr(13)], &mut out);
    assert_eq!(dialled(&out), [11, 13], "a keeper that is known is dialled on");
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
fn keepers_remember_where_everybody_was(me: Hello, names: &[&str]) {
    let mut contacts = Contacts::new(me.clone());
    let mut out = Effects::new();
    contacts.connected(Time::ZERO, &at(31, hello("entry-1", 1, None)), &mut out);
    contacts.connected(Time::ZERO, &keeper("k2", 1, 12), &mut out);
    let tick = |contacts: &mut Contacts, seconds: u64| {
        let mut out = Effects::new();
        let now = Time::ZERO + Duration::from_secs(seconds);
        contacts.tick(now, &BTreeMap::new(), |_| false, &mut out);
        let kept = out.into_iter().find_map(|effect| match effect {
            Effect::SaveContacts(contacts) => Some(contacts),
            _ => None,
        });
        kept.unwrap_or_default()
    };
    let kept = tick(&mut contacts, 1);
    let found: Vec<&str> = kept.iter().map(|contact| &*contact.hello.name).collect();
    assert_eq!(found, names);
    assert_eq!(tick(&mut contacts, 2), [], "nothing has changed");
    let mut again = Contacts::new(me);
    let mut out = Effects::new();
    again.load_saved(Time::ZERO, &kept, &mut out);
    assert_eq!(dialled(&out).len(), names.len());
    assert_eq!(tick(&mut again, 3), [], "the disk holds it");
}
