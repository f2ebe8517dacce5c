//! Links to the other processes.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use celerywinch_links::LinkEvent;
use celerywinch_member::Input;
use celerywinch_types::{Contact, FleetMsg, InstanceId, Process, ProcessKind, Time};

use super::Core;
use crate::config_sync::ConfigSyncInput;
use crate::store::StoreInput;

/// Between two heartbeats to seeds that were not heard yet; as often as to others.
const SEED_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Opens links to instances that were heard of.
    pub(super) fn open_links(&mut self, instances: &[InstanceId]) {
        for instance in instances {
            if *instance == self.me.instance || self.links.contains(*instance) {
                continue;
            }
            let addr = Ipv4Addr::from(instance.0);
            let port = self.config.link_addr.port();
            self.links.open(*instance, SocketAddr::from((addr, port)));
        }
    }

    pub(super) fn handle_accepted(&mut self, now: Time, from: Process) {
        self.open_links(&[from.instance]);
        // What it sent on an earlier stream may be lost: ends of tasks, or tasks.
        self.input(now, Input::LinkReset(from.instance));
    }

    pub(super) fn handle_link_event(&mut self, now: Time, peer: InstanceId, event: LinkEvent) {
        match event {
            LinkEvent::Opened | LinkEvent::Replaced => {
                let beat = self.member.heartbeat_for(now, peer);
                self.links.send(peer, FleetMsg::Heartbeat(beat));
                self.send_contacts(peer);
                self.send_workers(peer);
                self.input(now, Input::LinkReset(peer));
            }
            LinkEvent::Refused => {
                self.input(now, Input::ConnectionRefused(peer));
                self.sync_config(now, ConfigSyncInput::ConnectionRefused(peer));
            }
            LinkEvent::Lost => {}
        }
    }

    /// Tells a process of all workers that are known here.
    ///
    /// A worker is told once, to the entries that are heard at that moment. One that a keeper's link
    /// had reached, but whose first heartbeat was still on its way, would never learn of the workers
    /// that announced themselves in between, and dispatch without them for as long as it runs. So
    /// each that is heard, for the first time or again, is told of all.
    pub(super) fn send_workers(&self, to: InstanceId) {
        if !self.directory.is_empty() {
            let notes = self.directory.announcements();
            self.links.send(to, FleetMsg::Workers(notes));
        }
    }

    fn send_contacts(&self, to: InstanceId) {
        if !self.member.sends_contacts(to) {
            return;
        }
        let peers = self.member.peers().all();
        let contacts = peers.map(|(instance, view)| Contact {
            instance,
            kind: view.heartbeat.kind,
        });
        let contacts = contacts.collect();
        self.links.send(to, FleetMsg::Contacts(contacts));
    }

    pub(super) fn add_peer(&mut self, from: Process) {
        self.open_links(&[from.instance]);
        self.broadcast_contact(from.instance);
        self.update_keepers();
    }

    /// Tells the others of a process that was not known, so that few seeds suffice to find all.
    fn broadcast_contact(&self, instance: InstanceId) {
        let peers = self.member.peers();
        let Some(view) = peers.get(instance) else {
            return;
        };
        if self.config.kind != ProcessKind::Keeper {
            return;
        }
        let contact = Contact {
            instance,
            kind: view.heartbeat.kind,
        };
        for (peer, _) in peers.all().filter(|(peer, _)| *peer != instance) {
            self.links.send(peer, FleetMsg::Contacts(vec![contact]));
        }
    }

    /// The log looks for its group at all keepers that were heard of.
    fn update_keepers(&mut self) {
        let keepers: BTreeSet<_> = self.member.peers().keepers().collect();
        if keepers != self.contacts {
            self.contacts = keepers;
            let contacts = self.contacts.iter().copied().collect();
            self.to_store(StoreInput::Contacts(contacts));
        }
    }

    /// Seeds that were never heard get heartbeats too: by these they learn of this process.
    pub(super) fn contact_seeds(&mut self, now: Time) {
        if now.since(self.seeds_contacted) < SEED_INTERVAL {
            return;
        }
        self.seeds_contacted = now;
        let peers = self.member.peers();
        let seeds = self.config.seeds.iter().copied();
        let unheard: Vec<_> = seeds.filter(|seed| peers.get(*seed).is_none()).collect();
        for seed in unheard {
            let beat = self.member.heartbeat_for(now, seed);
            self.links.send(seed, FleetMsg::Heartbeat(beat));
        }
    }

    pub(super) fn remove_peer(&mut self, peer: InstanceId) {
        if !self.config.seeds.contains(&peer) {
            self.links.close(peer);
        }
    }

    /// Entries that are heard.
    pub(super) fn entries(&self, now: Time) -> Vec<InstanceId> {
        let alive = self.member.peers().alive(now);
        let entries = alive.filter(|(_, view)| view.heartbeat.kind == ProcessKind::Entry);
        entries.map(|(id, _)| id).collect()
    }
}
