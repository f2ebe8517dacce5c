//! Peers and endpoints, and what follows from their changes.

use std::time::Duration;

use celerywinch_members::{Change, PeerChange, RENEWAL_INTERVAL, Source};
use celerywinch_types::{
    EndpointAnnouncement, Heartbeat, InstanceId, MemberMsg, PeerMsg, Process, Renewal, Time, WallMs,
};

use crate::{Entry, Event, Output};

/// A wall clock further behind a peer's than this is taken to have been set back.
const MAX_CLOCK_LAG: Duration = Duration::from_millis(100);

impl Entry {
    pub(crate) fn peer_msg(
        &mut self,
        now: Time,
        from: Process,
        msg: PeerMsg,
        out: &mut Vec<Output>,
    ) {
        let mut changes = Vec::new();
        self.peers
            .record_contact(now, from.instance, from.incarnation, &mut changes);
        self.peer_changes(now, changes, out);
        match msg {
            PeerMsg::Claim(msg) => self.claim_msg(now, from.instance, msg, out),
            PeerMsg::Member(msg) => self.member_msg(now, from.instance, msg, out),
            PeerMsg::Relay(msg) => self.relay_msg(now, from, msg, out),
            PeerMsg::Slot(msg) => self.slot_msg(now, from.instance, msg, out),
            // The store is another state machine of the host.
            PeerMsg::Store(_) => {}
        }
    }

    pub(crate) fn connection_refused(&mut self, now: Time, id: InstanceId, out: &mut Vec<Output>) {
        let mut changes = Vec::new();
        self.peers.record_refusal(id, &mut changes);
        self.peer_changes(now, changes, out);
    }

    pub(crate) fn tick_members(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut changes = Vec::new();
        self.peers.tick(now, &mut changes);
        self.peer_changes(now, changes, out);
        let mut endpoints = Vec::new();
        self.endpoints.tick(now, &mut endpoints);
        self.endpoint_changes(endpoints, out);
        if now.since(self.last_renewals) >= RENEWAL_INTERVAL {
            self.last_renewals = now;
            self.send_renewals(now, out);
        }
    }

    fn peer_changes(&mut self, now: Time, changes: Vec<PeerChange>, out: &mut Vec<Output>) {
        for change in changes {
            match change {
                PeerChange::HeartbeatDue(peer) => self.send_heartbeat(now, peer, out),
                PeerChange::Up(peer) => {
                    out.push(Output::Event(Event::PeerUp { peer }));
                    self.request_endpoints(peer, out);
                    self.refresh_owners();
                }
                PeerChange::Probe(peer) => {
                    out.push(Output::Event(Event::PeerSuspect { peer }));
                    out.push(Output::Probe(peer));
                }
                PeerChange::Down(peer) => {
                    out.push(Output::Event(Event::PeerDown { peer }));
                    self.peer_lost(now, peer, out);
                }
                PeerChange::Restarted(peer, _) => {
                    out.push(Output::Event(Event::PeerRestarted { peer }));
                    self.peer_lost(now, peer, out);
                    self.request_endpoints(peer, out);
                }
            }
        }
    }

    /// What a life of a peer held is settled, and what was passed to it goes elsewhere.
    fn peer_lost(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.refresh_owners();
        self.recheck_watched(now, peer, out);
        self.reroute(now, peer, out);
    }

    fn request_endpoints(&mut self, peer: InstanceId, out: &mut Vec<Output>) {
        let local = self.peers.get(peer).is_some_and(|p| p.dc == self.config.dc);
        if local {
            let msg = PeerMsg::Member(MemberMsg::EndpointsWanted);
            out.push(Output::Send(peer, msg));
        }
    }

    /// The entries that share the data centre's slots: those alive and not stopping.
    pub(crate) fn refresh_owners(&mut self) {
        let serving = self.peers.local().filter(|(_, peer)| !peer.stopping);
        let owners = serving.map(|(id, _)| id).collect();
        self.dispatch.set_owners(owners);
    }

    pub(crate) fn send_heartbeat(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let Some((echo, hears, knows)) = self.peers.heartbeat_fields(now, peer) else {
            return;
        };
        self.heartbeat_sequence += 1;
        let beat = Heartbeat {
            sequence: self.heartbeat_sequence,
            wall: self.wall(now),
            sent: now,
            echo,
            receives: hears,
            known_incarnation: knows,
            catalogue: self.catalogue.version(),
            pending_catalogue: self.latest_version(),
            current: self.catalogue_state.current,
            stopping: self.stopping,
            queued: u32::try_from(self.dispatch.queued()).unwrap_or(u32::MAX),
        };
        let msg = PeerMsg::Member(MemberMsg::Heartbeat(beat));
        out.push(Output::Send(peer, msg));
    }

    fn member_msg(&mut self, now: Time, from: InstanceId, msg: MemberMsg, out: &mut Vec<Output>) {
        match msg {
            MemberMsg::Heartbeat(beat) => {
                let wall = self.wall(now);
                self.check_clock(wall, beat.wall);
                self.peers.record_heartbeat(now, wall, from, &beat);
                self.refresh_owners();
                self.check_peer_version(now, from, out);
            }
            MemberMsg::Endpoints(notes) => self.receive_announcements(now, notes, out),
            MemberMsg::Renewals(renewals) => self.receive_renewals(now, from, renewals, out),
            MemberMsg::EndpointsWanted => {
                let msg = MemberMsg::Endpoints(self.endpoints.announcements(now));
                out.push(Output::Send(from, PeerMsg::Member(msg)));
            }
            MemberMsg::CatalogueWanted => self.send_catalogue(from, out),
            MemberMsg::Catalogue { version, document } => {
                self.receive_catalogue(now, version, &document, out);
            }
            MemberMsg::Leave => {
                self.peers.record_leave(from);
                self.refresh_owners();
            }
        }
    }

    /// A clock that was set back during a restart would make forgotten keys look new.
    fn check_clock(&mut self, own: WallMs, peer: WallMs) {
        let behind = Duration::from_millis(peer.0.saturating_sub(own.0));
        if behind > MAX_CLOCK_LAG {
            for replica in self.replicas.values_mut() {
                replica.raise_start(behind);
            }
        }
    }

    /// An endpoint announced itself here: other entries of the data centre get to know at once
    /// what is new, and renewals with the next batch.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        note: EndpointAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let addr = note.addr;
        let mut changes = Vec::new();
        let news = self
            .endpoints
            .announce(now, note, Source::Endpoint, &mut changes);
        self.endpoint_changes(changes, out);
        if !news {
            return;
        }
        let Some(note) = self.endpoints.announcement(now, addr) else {
            return;
        };
        for peer in self.local_peers() {
            let msg = MemberMsg::Endpoints(vec![note.clone()]);
            out.push(Output::Send(peer, PeerMsg::Member(msg)));
        }
    }

    pub(crate) fn local_peers(&self) -> Vec<InstanceId> {
        self.peers.local().map(|(id, _)| id).collect()
    }

    fn receive_announcements(
        &mut self,
        now: Time,
        notes: Vec<EndpointAnnouncement>,
        out: &mut Vec<Output>,
    ) {
        let mut changes = Vec::new();
        for note in notes.into_iter().filter(|note| note.dc == self.config.dc) {
            self.endpoints
                .announce(now, note, Source::Entry, &mut changes);
        }
        self.endpoint_changes(changes, out);
    }

    fn receive_renewals(
        &mut self,
        now: Time,
        from: InstanceId,
        renewals: Vec<Renewal>,
        out: &mut Vec<Output>,
    ) {
        let mut changes = Vec::new();
        let mut unknown = false;
        for renewal in renewals {
            unknown |= !self.endpoints.renew(now, renewal, &mut changes);
        }
        self.endpoint_changes(changes, out);
        if unknown {
            self.request_endpoints(from, out);
        }
    }

    /// Only renewals that arrived here are passed on, each once, so that one costs one message a
    /// peer and copies do not travel in circles.
    fn send_renewals(&mut self, now: Time, out: &mut Vec<Output>) {
        let renewals = self.endpoints.renewals(now);
        if renewals.is_empty() {
            return;
        }
        for peer in self.local_peers() {
            let msg = MemberMsg::Renewals(renewals.clone());
            out.push(Output::Send(peer, PeerMsg::Member(msg)));
        }
    }

    fn endpoint_changes(&mut self, changes: Vec<Change>, out: &mut Vec<Output>) {
        for change in changes {
            let (endpoint, state) = match change {
                Change::Updated(addr) => {
                    let Some(known) = self.endpoints.get(addr) else {
                        continue;
                    };
                    self.dispatch.update(&known.announcement);
                    (
                        addr,
                        format!("{:?}", known.announcement.state).to_lowercase(),
                    )
                }
                Change::Gone(addr) => {
                    self.dispatch.remove(addr);
                    (addr, "lapsed".to_owned())
                }
            };
            out.push(Output::Event(Event::Endpoint { endpoint, state }));
        }
    }
}
