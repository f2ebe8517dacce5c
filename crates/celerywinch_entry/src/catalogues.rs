//! Distribution of catalogues, and the rules by which a version is put in force.
//!
//! The keeper that leads sends a committed version to all instances. An instance that learns of a later version from a
//! heartbeat requests it from the sender. A version thus costs one message per instance, and an instance that missed it
//! gets it after the next heartbeat of any instance that has it.
//!
//! A received version is *pending* until it is put in force. That happens once it is on the local disk, or, at an
//! instance without a disk, once all other live entries of the data centre have the version too. A process that
//! restarts without a disk can then learn from any of them which version was in force. The version in force never goes
//! back.

use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::{Catalogue, Document};
use celerywinch_members::PeerState;
use celerywinch_types::{InstanceId, MemberMsg, PeerMsg, Time};

use crate::{Entry, Event, Invariant, Output};

/// How long a pending version waits for the other entries before it is put in force without them.
///
/// An entry that is alive but does not adopt the version must not delay the change everywhere.
const PENDING_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between requests for a catalogue.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// The pending catalogue, and whether this entry may serve by the catalogue in force.
#[derive(Debug, Default)]
pub(crate) struct CatalogueState {
    pending: Option<Arc<Catalogue>>,
    pending_since: Time,
    saved_version: u64,
    last_request: Time,
    /// Whether the catalogue in force is at least as new as the one that an earlier incarnation had in force.
    pub(crate) current: bool,
}

impl Entry {
    /// Returns the later of the pending version and the one in force.
    pub(crate) fn latest_version(&self) -> u64 {
        let pending = self.catalogue_state.pending.as_ref();
        pending
            .map_or(0, |pending| pending.version())
            .max(self.catalogue.version())
    }

    /// Puts a catalogue in force that was in force before, or was given at the start.
    pub(crate) fn initial_catalogue(&mut self, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) {
        self.catalogue_state.saved_version = catalogue.version();
        self.catalogue_state.current = self.config.keepers.is_empty() || self.config.durable;
        self.put_in_force(catalogue, out);
    }

    /// Handles a catalogue that the store committed; the instance that leads sends it to all others.
    pub(crate) fn catalogue_committed(
        &mut self,
        now: Time,
        catalogue: Arc<Catalogue>,
        leads: bool,
        out: &mut Vec<Output>,
    ) {
        if !self.set_pending(now, catalogue, out) || !leads {
            return;
        }
        let peers: Vec<_> = self.peers.iter().map(|(id, _)| id).collect();
        for peer in peers {
            if self.peers.is_reachable(peer) {
                self.send_catalogue(peer, out);
            }
        }
    }

    /// Makes a later version the pending one. Returns false if it is not later.
    fn set_pending(&mut self, now: Time, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) -> bool {
        if catalogue.version() <= self.latest_version() {
            return false;
        }
        self.catalogue_state.pending = Some(catalogue.clone());
        self.catalogue_state.pending_since = now;
        if self.config.durable {
            out.push(Output::SaveCatalogue(catalogue));
        }
        // The other entries learn of the pending version at once, so that they can put it in force.
        for peer in self.local_peers() {
            self.send_heartbeat(now, peer, out);
        }
        self.tick_catalogue(now, out);
        true
    }

    /// Records that a version is on the local disk.
    pub(crate) fn catalogue_saved(&mut self, now: Time, version: u64, out: &mut Vec<Output>) {
        self.catalogue_state.saved_version = self.catalogue_state.saved_version.max(version);
        self.tick_catalogue(now, out);
    }

    /// Sends the latest catalogue to another instance.
    pub(crate) fn send_catalogue(&self, to: InstanceId, out: &mut Vec<Output>) {
        let latest = self
            .catalogue_state
            .pending
            .as_ref()
            .unwrap_or(&self.catalogue);
        if latest.version() == 0 {
            return;
        }
        let Ok(document) = serde_json::to_vec(latest.document()) else {
            return;
        };
        let msg = MemberMsg::Catalogue {
            version: latest.version(),
            document,
        };
        out.push(Output::Send(to, PeerMsg::Member(msg)));
    }

    /// Checks a catalogue from another instance and makes it the pending one if it is valid and later.
    pub(crate) fn receive_catalogue(
        &mut self,
        now: Time,
        version: u64,
        document: &[u8],
        out: &mut Vec<Output>,
    ) {
        if version <= self.latest_version() {
            return;
        }
        let Ok(document) = serde_json::from_slice::<Document>(document) else {
            return;
        };
        if let Ok(catalogue) = Catalogue::check(version, document) {
            self.set_pending(now, Arc::new(catalogue), out);
        }
    }

    /// Requests the catalogue of a peer whose heartbeat reported a later version.
    pub(crate) fn check_peer_version(
        &mut self,
        now: Time,
        peer: InstanceId,
        out: &mut Vec<Output>,
    ) {
        let theirs = self
            .peers
            .get(peer)
            .map_or(0, |peer| peer.pending_catalogue);
        let due = now.since(self.catalogue_state.last_request) >= REQUEST_INTERVAL
            || self.catalogue_state.last_request == Time(0);
        if theirs > self.latest_version() && due {
            self.catalogue_state.last_request = now;
            let msg = PeerMsg::Member(MemberMsg::CatalogueWanted);
            out.push(Output::Send(peer, msg));
        }
        self.tick_catalogue(now, out);
    }

    /// Puts the pending catalogue in force once that is allowed, and checks whether this entry may serve by the one in
    /// force.
    pub(crate) fn tick_catalogue(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(pending) = self.catalogue_state.pending.clone()
            && self.can_put_in_force(now, pending.version())
        {
            self.catalogue_state.pending = None;
            self.put_in_force(pending, out);
        }
        if !self.catalogue_state.current {
            self.catalogue_state.current = self.is_up_to_date();
        }
    }

    /// Whether a pending version is on the local disk, or, without a disk, known to the other entries.
    fn can_put_in_force(&self, now: Time, version: u64) -> bool {
        if self.config.durable {
            return self.catalogue_state.saved_version >= version;
        }
        let all_received = self
            .peers
            .local()
            .all(|(_, peer)| peer.pending_catalogue >= version);
        all_received || now.since(self.catalogue_state.pending_since) >= PENDING_TIMEOUT
    }

    /// Whether the catalogue in force is certainly no older than the one that an earlier incarnation had in force.
    ///
    /// This requires that no peer reported a later version, and one of two conditions. Either another entry of the data
    /// centre kept running, and every other one sent a heartbeat or is dead: all entries that were alive had received
    /// the catalogue that was in force. Or a majority of the keepers sent a heartbeat: one of them has every accepted
    /// version.
    fn is_up_to_date(&self) -> bool {
        let version = self.catalogue.version();
        if version == 0 {
            return false;
        }
        let caught_up = self
            .peers
            .iter()
            .all(|(_, peer)| !peer.has_heartbeat || peer.pending_catalogue <= version);
        let local = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.dc == self.config.dc);
        let local: Vec<_> = local.map(|(_, peer)| peer).collect();
        let kept_running = local.iter().any(|peer| peer.has_heartbeat && peer.current);
        let all_known = local
            .iter()
            .all(|p| p.has_heartbeat || p.state == PeerState::Dead);
        caught_up && (kept_running && all_known || self.has_keeper_majority())
    }

    /// Whether a heartbeat of a majority of the keepers was received, counting this instance.
    fn has_keeper_majority(&self) -> bool {
        let keepers = &self.config.keepers;
        let me = self.me();
        let has_heartbeat =
            |id: &&InstanceId| **id == me || self.peers.get(**id).is_some_and(|p| p.has_heartbeat);
        keepers.iter().filter(has_heartbeat).count() > keepers.len() / 2
    }

    fn put_in_force(&mut self, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) {
        let version = catalogue.version();
        let holds = version >= self.catalogue.version();
        let detail = || format!("catalogue version {version} is older than the one in force");
        self.assert(holds, Invariant::NoRevert, detail, out);
        if version <= self.catalogue.version() {
            return;
        }
        self.dispatch.set_catalogue(&catalogue);
        self.catalogue = catalogue;
        out.push(Output::Event(Event::Catalogue { version }));
    }
}
