//! Messages and changes of peers and endpoints.

use std::time::Duration;

use celerywinch_members::{Change, PeerChange, RENEWAL_INTERVAL, Source};
use celerywinch_types::{
    EndpointAnnouncement, Heartbeat, InstanceId, MemberMsg, PeerMsg, Process, Renewal, Time, WallMs,
};

use crate::{Entry, Event, Output};

/// Largest lag of the wall clock behind a peer's. With a larger lag, the clock counts as set back.
const MAX_CLOCK_LAG: Duration = Duration::from_millis(100);

impl Entry {
    /// Handles a message of another instance, which also shows that the instance is alive.
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
            // The host passes messages of the store to a state machine of its own.
            PeerMsg::Store(_) => {}
        }
    }

    /// Records that no process listens at a peer's address.
    pub(crate) fn connection_refused(&mut self, now: Time, id: InstanceId, out: &mut Vec<Output>) {
        let mut changes = Vec::new();
        self.peers.record_refusal(id, &mut changes);
        self.peer_changes(now, changes, out);
    }

    /// Advances the failure detector and the leases of endpoints, and sends renewals that are due.
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

    /// Settles the keys whose claims an ended incarnation of a peer held, and relays elsewhere what was relayed to it.
    fn peer_lost(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        self.refresh_owners();
        self.recheck_watched(now, peer, out);
        self.reroute(now, peer, out);
    }

    /// Requests all endpoints from a peer, if it is in the same data centre.
    fn request_endpoints(&mut self, peer: InstanceId, out: &mut Vec<Output>) {
        let local = self.peers.get(peer).is_some_and(|p| p.dc == self.config.dc);
        if local {
            let msg = PeerMsg::Member(MemberMsg::EndpointsWanted);
            out.push(Output::Send(peer, msg));
        }
    }

    /// Updates the entries that share the data centre's slots: those that are reachable and not stopping.
    pub(crate) fn refresh_owners(&mut self) {
        let serving = self.peers.local().filter(|(_, peer)| !peer.stopping);
        let owners = serving.map(|(id, _)| id).collect();
        self.dispatch.set_owners(owners);
    }

    /// Sends a heartbeat to a peer.
    pub(crate) fn send_heartbeat(&mut self, now: Time, peer: InstanceId, out: &mut Vec<Output>) {
        let Some((echo, receives, known_incarnation)) = self.peers.heartbeat_fields(now, peer)
        else {
            return;
        };
        self.heartbeat_sequence += 1;
        let heartbeat = Heartbeat {
            sequence: self.heartbeat_sequence,
            wall: self.wall(now),
            sent: now,
            echo,
            receives,
            known_incarnation,
            catalogue: self.catalogue.version(),
            pending_catalogue: self.latest_version(),
            current: self.catalogue_state.current,
            stopping: self.stopping,
            queued: u32::try_from(self.dispatch.queued()).unwrap_or(u32::MAX),
        };
        let msg = PeerMsg::Member(MemberMsg::Heartbeat(heartbeat));
        out.push(Output::Send(peer, msg));
    }

    fn member_msg(&mut self, now: Time, from: InstanceId, msg: MemberMsg, out: &mut Vec<Output>) {
        match msg {
            MemberMsg::Heartbeat(heartbeat) => {
                let wall = self.wall(now);
                self.check_clock(wall, heartbeat.wall);
                self.peers.record_heartbeat(now, wall, from, &heartbeat);
                self.refresh_owners();
                self.check_peer_version(now, from, out);
            }
            MemberMsg::Endpoints(announcements) => {
                self.receive_announcements(now, announcements, out);
            }
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

    /// Extends the span of keys on which the local replicas abstain, if the wall clock is behind a peer's. If the clock
    /// was set back during a restart, keys of which the records are lost would otherwise look new.
    fn check_clock(&mut self, own: WallMs, peer: WallMs) {
        let behind = Duration::from_millis(peer.0.saturating_sub(own.0));
        if behind > MAX_CLOCK_LAG {
            for replica in self.replicas.values_mut() {
                replica.raise_start(behind);
            }
        }
    }

    /// Records the announcement of an endpoint. A change is sent to the other entries of the data centre at once, a
    /// renewal with the next batch.
    pub(crate) fn announce(
        &mut self,
        now: Time,
        announcement: EndpointAnnouncement,
        out: &mut Vec<Output>,
    ) {
        let addr = announcement.addr;
        let mut changes = Vec::new();
        let is_new = self
            .endpoints
            .announce(now, announcement, Source::Endpoint, &mut changes);
        self.endpoint_changes(changes, out);
        if !is_new {
            return;
        }
        let Some(announcement) = self.endpoints.announcement(now, addr) else {
            return;
        };
        for peer in self.local_peers() {
            let msg = MemberMsg::Endpoints(vec![announcement.clone()]);
            out.push(Output::Send(peer, PeerMsg::Member(msg)));
        }
    }

    /// Returns the reachable peers of the same data centre.
    pub(crate) fn local_peers(&self) -> Vec<InstanceId> {
        self.peers.local().map(|(id, _)| id).collect()
    }

    /// Records announcements of endpoints of this data centre that another entry sent on.
    fn receive_announcements(
        &mut self,
        now: Time,
        announcements: Vec<EndpointAnnouncement>,
        out: &mut Vec<Output>,
    ) {
        let mut changes = Vec::new();
        for announcement in announcements
            .into_iter()
            .filter(|announcement| announcement.dc == self.config.dc)
        {
            self.endpoints
                .announce(now, announcement, Source::Entry, &mut changes);
        }
        self.endpoint_changes(changes, out);
    }

    /// Records renewals that another entry sent on, and requests its endpoints if one of them is not known.
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

    /// Sends the renewals since the last batch to the other entries of the data centre.
    ///
    /// Only renewals that endpoints sent to this entry are sent on, each once. This limits the cost of a renewal to one
    /// message per peer, and no copies circulate between entries.
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
                    let Some(record) = self.endpoints.get(addr) else {
                        continue;
                    };
                    self.dispatch.update(&record.announcement);
                    (
                        addr,
                        format!("{:?}", record.announcement.state).to_lowercase(),
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
