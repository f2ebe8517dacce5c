//! Simulated operators that start and end evacuations of data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_pool::{Call, Request};
use celerywinch_types::{DataCentreId, Evacuations, Time};
use rand::Rng;

use super::history::Violation;
use super::world::World;

/// How long a member may still start tasks in a data centre after it could learn of its evacuation.
const MAX_START_DELAY: Duration = Duration::from_secs(3);

/// Evacuations that the keepers have acknowledged, and the time since which each is in force.
#[derive(Debug, Default)]
pub(crate) struct AcknowledgedEvacuations {
    pub(crate) evacuations: Evacuations,
    since: BTreeMap<DataCentreId, Time>,
    /// Snapshot of `evacuations` taken when the most recent partition began.
    at_partition: Evacuations,
}

impl World {
    /// Starts the evacuation of a random data centre, or ends it if it is evacuated.
    pub(crate) fn evacuate(&mut self) {
        let dc = DataCentreId(self.random.random_range(0..self.options.dcs));
        let now = self.now;
        let acknowledged = &mut self.acknowledged;
        acknowledged.evacuations.revision += 1;
        if acknowledged.since.remove(&dc).is_some() {
            acknowledged.evacuations.dcs.remove(&dc);
        } else {
            acknowledged.since.insert(dc, now);
            acknowledged.evacuations.dcs.insert(dc);
        }
        self.send_evacuations();
    }

    /// Records the evacuations in force when a partition begins.
    pub(crate) fn snapshot_evacuations(&mut self) {
        self.acknowledged.at_partition = self.acknowledged.evacuations.clone();
    }

    /// Returns the evacuations that a starting member receives along with its configuration. In a real fleet
    /// both come from a peer, whose heartbeat carries evacuations as new as its configuration version.
    /// A partitioned member receives those in force when the most recent partition began.
    pub(crate) fn evacuations_at_start(&self, member: usize) -> Evacuations {
        let unreachable =
            self.cut_dcs.contains(&self.members[member].dc) || self.isolated.contains(member);
        if unreachable {
            self.acknowledged.at_partition.clone()
        } else {
            self.acknowledged.evacuations.clone()
        }
    }

    /// Sends the evacuations to all members that can be reached; the others get them once they can
    /// be reached again.
    pub(crate) fn send_evacuations(&mut self) {
        for member in 0..self.members.len() {
            self.send_evacuations_to(member);
        }
    }

    pub(crate) fn send_evacuations_to(&mut self, member: usize) {
        let host = &self.members[member];
        let unreachable = self.cut_dcs.contains(&host.dc) || self.isolated.contains(member);
        if unreachable
            || !host.is_up()
            || host.is_frozen()
            || self.acknowledged.evacuations.revision == 0
        {
            return;
        }
        let evacuations = self.acknowledged.evacuations.clone();
        self.record_told(member, &evacuations);
        self.input(member, Input::Evacuations(evacuations));
    }

    /// Records since when a member knows of each evacuation that is in force. A member that no message can reach does not
    /// know of it, even if it was told of an earlier one.
    pub(crate) fn record_told(&mut self, member: usize, evacuations: &Evacuations) {
        let now = self.now;
        let told = &mut self.members[member].told_evacuations;
        told.retain(|dc, _| evacuations.dcs.contains(dc));
        for dc in &evacuations.dcs {
            let since = self.acknowledged.since.get(dc);
            let told = told.entry(*dc).or_insert(now);
            if since.is_some_and(|since| *told < *since) {
                *told = now;
            }
        }
    }

    /// Records a violation if the call starts a task in a data centre after the permitted delay since `member` was told of
    /// its evacuation.
    pub(crate) fn check_evacuated_start(&mut self, member: usize, index: usize, call: &Call) {
        let Request::Start { task, .. } = call.request else {
            return;
        };
        let dc = DataCentreId(self.workers[index].dc);
        let since = self.acknowledged.since.get(&dc);
        let told = self.members[member].told_evacuations.get(&dc);
        let told = told.filter(|told| since.is_some_and(|since| *since <= **told));
        if told.is_some_and(|told| self.now.since(*told) > MAX_START_DELAY) {
            let worker = self.workers[index].worker.id.clone();
            self.violations
                .push(Violation::InEvacuatedDataCentre(task, worker));
        }
    }
}
