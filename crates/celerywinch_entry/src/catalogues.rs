//! How a catalogue comes into force, and never goes back.
//!
//! The leading keeper pushes a committed version to all instances; whoever hears in a heartbeat of
//! a later version than its own asks for it. So a version spreads in one message an instance, and
//! reaches one that missed the push with the next heartbeat of anyone who has it.
//!
//! A version is *held* first and put in force a moment later: when it is on the own disk, or, at an
//! instance without one, when all other entries of the data centre that are alive hold it too.
//! A process that restarts without a disk can then learn from any of them what was in force before.

use std::sync::Arc;
use std::time::Duration;

use celerywinch_catalogue::{Catalogue, Document};
use celerywinch_members::PeerState;
use celerywinch_types::{InstanceId, MemberMsg, PeerMsg, Time};

use crate::{Entry, Event, Invariant, Output};

/// How long others are waited for before a version is put in force without them.
///
/// One that is alive and yet does not take the version must not hold up a change everywhere.
const PATIENCE: Duration = Duration::from_millis(1000);
/// Between two requests for a catalogue.
const ASK_EVERY: Duration = Duration::from_millis(250);

/// What is held, and whether this entry may serve.
#[derive(Debug, Default)]
pub(crate) struct Holding {
    held: Option<Arc<Catalogue>>,
    since: Time,
    saved: u64,
    asked: Time,
    /// Whether what is in force is no older than what was in force before this process started.
    pub(crate) current: bool,
}

impl Entry {
    pub(crate) fn held_version(&self) -> u64 {
        let held = self.holding.held.as_ref();
        held.map_or(0, |held| held.version())
            .max(self.catalogue.version())
    }

    /// From the own disk: it was in force before.
    pub(crate) fn start_catalogue(&mut self, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) {
        self.holding.saved = catalogue.version();
        self.holding.current = self.config.keepers.is_empty() || self.config.durable;
        self.put_in_force(catalogue, out);
    }

    pub(crate) fn committed(
        &mut self,
        now: Time,
        catalogue: Arc<Catalogue>,
        leads: bool,
        out: &mut Vec<Output>,
    ) {
        if !self.hold(now, catalogue, out) || !leads {
            return;
        }
        let peers: Vec<_> = self.peers.iter().map(|(id, _)| id).collect();
        for peer in peers {
            if self.peers.is_reachable(peer) {
                self.send_catalogue(peer, out);
            }
        }
    }

    /// Holds a later version; false if it is not later.
    fn hold(&mut self, now: Time, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) -> bool {
        if catalogue.version() <= self.held_version() {
            return false;
        }
        self.holding.held = Some(catalogue.clone());
        self.holding.since = now;
        if self.config.durable {
            out.push(Output::SaveCatalogue(catalogue));
        }
        // The others learn at once that it is held here, so that they can put it in force.
        for peer in self.local_peers() {
            self.beat(now, peer, out);
        }
        self.tend_catalogue(now, out);
        true
    }

    pub(crate) fn saved(&mut self, now: Time, version: u64, out: &mut Vec<Output>) {
        self.holding.saved = self.holding.saved.max(version);
        self.tend_catalogue(now, out);
    }

    pub(crate) fn send_catalogue(&self, to: InstanceId, out: &mut Vec<Output>) {
        let held = self.holding.held.as_ref().unwrap_or(&self.catalogue);
        if held.version() == 0 {
            return;
        }
        let Ok(document) = serde_json::to_vec(held.document()) else {
            return;
        };
        let msg = MemberMsg::Catalogue {
            version: held.version(),
            document,
        };
        out.push(Output::Send(to, PeerMsg::Member(msg)));
    }

    pub(crate) fn catalogue_heard(
        &mut self,
        now: Time,
        version: u64,
        document: &[u8],
        out: &mut Vec<Output>,
    ) {
        if version <= self.held_version() {
            return;
        }
        let Ok(document) = serde_json::from_slice::<Document>(document) else {
            return;
        };
        if let Ok(catalogue) = Catalogue::check(version, document) {
            self.hold(now, Arc::new(catalogue), out);
        }
    }

    /// A heartbeat told what a peer holds.
    pub(crate) fn compare_catalogues(
        &mut self,
        now: Time,
        peer: InstanceId,
        out: &mut Vec<Output>,
    ) {
        let theirs = self
            .peers
            .get(peer)
            .map_or(0, |peer| peer.pending_catalogue);
        let due = now.since(self.holding.asked) >= ASK_EVERY || self.holding.asked == Time(0);
        if theirs > self.held_version() && due {
            self.holding.asked = now;
            let msg = PeerMsg::Member(MemberMsg::CatalogueWanted);
            out.push(Output::Send(peer, msg));
        }
        self.tend_catalogue(now, out);
    }

    /// Puts what is held in force once it may be, and finds out whether this entry may serve.
    pub(crate) fn tend_catalogue(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Some(held) = self.holding.held.clone()
            && self.may_put_in_force(now, held.version())
        {
            self.holding.held = None;
            self.put_in_force(held, out);
        }
        if !self.holding.current {
            self.holding.current = self.finds_current();
        }
    }

    fn may_put_in_force(&self, now: Time, version: u64) -> bool {
        if self.config.durable {
            return self.holding.saved >= version;
        }
        let all_hold = self
            .peers
            .local()
            .all(|(_, peer)| peer.pending_catalogue >= version);
        all_hold || now.since(self.holding.since) >= PATIENCE
    }

    /// Whether what is in force can be no older than what an earlier life had in force.
    ///
    /// Either another entry of the data centre lived on, for all that were alive held what was in
    /// force; or a majority of the keepers was heard, one of which has every accepted version.
    fn finds_current(&self) -> bool {
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
        let lived_on = local.iter().any(|peer| peer.has_heartbeat && peer.current);
        let all_known = local
            .iter()
            .all(|p| p.has_heartbeat || p.state == PeerState::Dead);
        caught_up && (lived_on && all_known || self.met_keepers())
    }

    fn met_keepers(&self) -> bool {
        let keepers = &self.config.keepers;
        let me = self.me();
        let met =
            |id: &&InstanceId| **id == me || self.peers.get(**id).is_some_and(|p| p.has_heartbeat);
        keepers.iter().filter(met).count() > keepers.len() / 2
    }

    fn put_in_force(&mut self, catalogue: Arc<Catalogue>, out: &mut Vec<Output>) {
        let version = catalogue.version();
        let holds = version >= self.catalogue.version();
        let detail = || format!("version {version} was offered");
        self.assert(holds, Invariant::NoRevert, detail, out);
        if version <= self.catalogue.version() {
            return;
        }
        self.dispatch.set_catalogue(&catalogue);
        self.catalogue = catalogue;
        out.push(Output::Event(Event::Catalogue { version }));
    }
}
