//! What a process tells its peers of others, and hears of them.

use base::prelude::*;
use wire::{Contact, Frame, Hello};

use super::Node;
use crate::decision::Decision;
use crate::{Effect, Effects};

impl Node {
    /// Tells a new peer of the keepers known, and the others of the peer if it is a keeper.
    pub(super) fn exchange_contacts(&mut self, now: Time, hello: &Hello, out: &mut Effects) {
        let news = self.contacts.connected(now, hello, out);
        if hello.name == self.me.hello.name {
            return;
        }
        let mut keepers = self.contacts.keepers(now);
        keepers.retain(|contact| contact.hello.name != hello.name);
        if !keepers.is_empty() {
            out.push(Effect::Send { to: hello.name.clone(), frame: Frame::Contacts(keepers) });
        }
        if news {
            let contact = Contact { hello: hello.clone(), silent_ms: 0 };
            self.broadcast(&hello.name, vec![contact], out);
        }
    }

    /// Takes the processes that a keeper knows.
    pub(super) fn members_told(
        &mut self,
        now: Time,
        from: &Name,
        hellos: Vec<Hello>,
        out: &mut Effects,
    ) {
        if let Some(entry) = &mut self.entry {
            entry.set_members(&hellos);
        }
        let contact = |hello| Contact { hello, silent_ms: 0 };
        let contacts: Vec<Contact> = hellos.into_iter().map(contact).collect();
        self.contacts_told(now, from, &contacts, out);
    }

    /// Takes contacts that a peer told of, and tells the others what is news.
    pub(super) fn contacts_told(
        &mut self,
        now: Time,
        from: &Name,
        contacts: &[Contact],
        out: &mut Effects,
    ) {
        let news = self.contacts.told(now, contacts, out);
        for contact in news.iter().filter(|contact| contact.hello.name != *from) {
            let (process, addr) = (contact.hello.name.clone(), contact.hello.addr);
            out.push(Effect::Decision(Box::new(Decision::PeerLearned {
                process,
                addr,
                from: from.clone(),
            })));
        }
        self.broadcast(from, news, out);
    }

    /// Tells every peer but one of those contacts that are keepers.
    fn broadcast(&self, except: &Name, mut contacts: Vec<Contact>, out: &mut Effects) {
        contacts.retain(|contact| contact.hello.keeper);
        if contacts.is_empty() {
            return;
        }
        let me = &self.me.hello.name;
        for peer in self.peers.keys().filter(|peer| *peer != except && *peer != me) {
            let frame = Frame::Contacts(contacts.clone());
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Forgets processes that are gone; a keeper never forgets a voter.
    pub(super) fn expire_contacts(&mut self, now: Time, out: &mut Effects) {
        let config = self.keeper.as_ref().map(|keeper| keeper.quorum().config());
        let votes = |name: &Name| {
            config.is_some_and(|config| config.voters.iter().any(|voter| voter.name == *name))
        };
        self.contacts.tick(now, &self.peers, votes, out);
    }
}
