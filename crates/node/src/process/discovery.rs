//! Exchange of the addresses of other processes with peers.

use base::prelude::*;
use wire::{Contact, Frame, Hello};

use super::Node;
use crate::decision::Decision;
use crate::{Effect, Effects};

impl Node {
    /// Sends the tracked keepers to a new peer, and the peer to the others if it is a new keeper.
    pub(super) fn exchange_contacts(&mut self, now: Time, hello: &Hello, out: &mut Effects) {
        let changed = self.contacts.connected(now, hello, out);
        if hello.name == self.local.hello.name {
            return;
        }
        let mut keepers = self.contacts.keepers(now);
        keepers.retain(|contact| contact.hello.name != hello.name);
        if !keepers.is_empty() {
            out.push(Effect::Send { to: hello.name.clone(), frame: Frame::Contacts(keepers) });
        }
        if changed {
            let contact = Contact { hello: hello.clone(), silent_ms: 0 };
            self.broadcast(&hello.name, vec![contact], out);
        }
    }

    /// Handles the processes that a keeper tracks.
    pub(super) fn handle_members(
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
        self.handle_contacts(now, from, &contacts, out);
    }

    /// Handles contacts from a peer, and passes on new ones to the other peers.
    pub(super) fn handle_contacts(
        &mut self,
        now: Time,
        from: &Name,
        contacts: &[Contact],
        out: &mut Effects,
    ) {
        let changed = self.contacts.apply_reported(now, contacts, out);
        for contact in changed.iter().filter(|contact| contact.hello.name != *from) {
            let (process, addr) = (contact.hello.name.clone(), contact.hello.addr);
            out.push(Effect::Decision(Box::new(Decision::PeerLearned {
                process,
                addr,
                from: from.clone(),
            })));
        }
        self.broadcast(from, changed, out);
    }

    /// Sends those contacts that are keepers to every peer except one.
    fn broadcast(&self, except: &Name, mut contacts: Vec<Contact>, out: &mut Effects) {
        contacts.retain(|contact| contact.hello.keeper);
        if contacts.is_empty() {
            return;
        }
        let me = &self.local.hello.name;
        for peer in self.peers.keys().filter(|peer| *peer != except && *peer != me) {
            let frame = Frame::Contacts(contacts.clone());
            out.push(Effect::Send { to: peer.clone(), frame });
        }
    }

    /// Removes processes that are gone; a keeper never removes a voter.
    pub(super) fn expire_contacts(&mut self, now: Time, out: &mut Effects) {
        let config = self.keeper.as_ref().map(|keeper| keeper.replica().config());
        let is_voter = |name: &Name| {
            config.is_some_and(|config| config.voters.iter().any(|voter| voter.name == *name))
        };
        self.contacts.tick(now, &self.peers, is_voter, out);
    }
}
