//! Links to other processes, and what is sent when one opens.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use celerywinch_links::LinkEvent;
use celerywinch_member::Input;
use celerywinch_types::{Contact, FleetMsg, InstanceId, Process, ProcessKind, Time};

use super::Core;
use crate::config_sync::ConfigSyncInput;
use crate::store::StoreInput;

/// Interval of heartbeats to seeds that have not sent one yet: the same as between frequent peers.
const SEED_INTERVAL: Duration = Duration::from_millis(100);

impl Core {
    /// Opens links to those instances that have none.
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
        // Messages on its earlier stream, such as tasks and their ends, may be lost.
        self.input(now, Input::LinkReset(from.instance));
    }

    pub(super) fn handle_link_event(&mut self, now: Time, peer: InstanceId, event: LinkEvent) {
        match event {
            LinkEvent::Opened | LinkEvent::Replaced => {
                let heartbeat = self.member.heartbeat_for(now, peer);
                self.links.send(peer, FleetMsg::Heartbeat(heartbeat));
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

    /// Sends the announcements of all known workers to a process.
    ///
    /// A changed announcement is sent once, to the entries that are live at that moment. An entry with an open link whose
    /// first heartbeat had not arrived yet would never learn of the workers announced in between, and would dispatch without
    /// them as long as it runs. So all announcements are sent to each peer that becomes live, for the first time or again.
    pub(super) fn send_workers(&self, to: InstanceId) {
        if !self.directory.is_empty() {
            let announcements = self.directory.announcements();
            self.links.send(to, FleetMsg::Workers(announcements));
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

    /// Sends the contact of a new process to all peers, if this is a keeper, so that a few seeds suffice to find all processes.
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

    /// Passes the known keepers and their data centres to the log, which searches for its group at all of them.
    fn update_keepers(&mut self) {
        let keepers: BTreeMap<_, _> = self.member.peers().keepers().collect();
        if keepers != self.contacts {
            self.contacts = keepers;
            self.to_store(StoreInput::Contacts(self.contacts.clone()));
        }
    }

    /// Sends heartbeats to seeds that have never sent one, as these learn of this process by them.
    pub(super) fn contact_seeds(&mut self, now: Time) {
        if now.since(self.seeds_contacted) < SEED_INTERVAL {
            return;
        }
        self.seeds_contacted = now;
        let peers = self.member.peers();
        let seeds = self.config.seeds.iter().copied();
        let unknown: Vec<_> = seeds.filter(|seed| peers.get(*seed).is_none()).collect();
        for seed in unknown {
            let heartbeat = self.member.heartbeat_for(now, seed);
            self.links.send(seed, FleetMsg::Heartbeat(heartbeat));
        }
    }

    pub(super) fn remove_peer(&mut self, peer: InstanceId) {
        if !self.config.seeds.contains(&peer) {
            self.links.close(peer);
        }
    }

    /// Returns the live entries.
    pub(super) fn entries(&self, now: Time) -> Vec<InstanceId> {
        let alive = self.member.peers().alive(now);
        let entries = alive.filter(|(_, view)| view.heartbeat.kind == ProcessKind::Entry);
        entries.map(|(id, _)| id).collect()
    }
}
