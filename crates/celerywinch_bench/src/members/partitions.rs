//! Network partitions between members, and their effect on messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_types::{FleetMsg, InstanceId, Time};
use rand::Rng;
use rand::seq::index::sample;

use super::world::{Event, World};

/// Share of the entries that are isolated at once, in tenths.
const ISOLATED_TENTHS: usize = 4;
/// Duration of an isolation of entries as a multiple of that of other faults. It lasts up to 5 s: several times as long
/// as a lease, and as the time without contact after which a process counts as lost.
const DURATION_FACTOR: u32 = 2;
/// Time after the start of a partition until members close their broken connections: a ping is sent every 300 ms and
/// times out after 700 ms. Messages that are sent earlier are delayed, later ones are lost.
const DETECTION_TIME: Duration = Duration::from_millis(1_000);

/// Entries that are partitioned from all other members, and the messages deferred until the partition heals.
#[derive(Debug, Default)]
pub(crate) struct IsolatedEntries {
    entries: BTreeSet<usize>,
    since: Time,
    deferred: BTreeMap<(usize, usize), Vec<Event>>,
}

impl IsolatedEntries {
    /// Returns whether two members cannot reach each other.
    pub(crate) fn separates(&self, one: usize, other: usize) -> bool {
        one != other && (self.entries.contains(&one) || self.entries.contains(&other))
    }

    pub(crate) fn contains(&self, entry: usize) -> bool {
        self.entries.contains(&entry)
    }

    /// Defers a message that is sent on a connection which the sender has not closed yet. Later messages are lost.
    pub(crate) fn defer(&mut self, now: Time, from: usize, to: usize, event: Event) {
        if now.since(self.since) <= DETECTION_TIME {
            self.deferred.entry((from, to)).or_default().push(event);
        }
    }
}

impl World {
    /// Returns whether two data centres are partitioned from each other.
    pub(crate) fn is_cut(&self, from: u8, to: u8) -> bool {
        from != to && (self.cut_dcs.contains(&from) || self.cut_dcs.contains(&to))
    }

    /// Partitions a random data centre from all others, unless one is partitioned already.
    pub(crate) fn cut_data_centre(&mut self, duration: Duration) {
        let dc = self.random.random_range(0..self.options.dcs);
        if self.cut_dcs.is_empty() {
            self.cut_dcs.insert(dc);
            self.snapshot_evacuations();
            self.schedule(self.now + duration, Event::HealDataCentre(dc));
        }
    }

    /// Ends the partition of a data centre.
    pub(crate) fn heal_data_centre(&mut self, dc: u8) {
        self.cut_dcs.remove(&dc);
        self.reset_links();
        self.announce_unknown_peers();
        self.send_evacuations();
    }

    /// Isolates some entries from all other members, unless some are isolated already.
    pub(crate) fn isolate_entries(&mut self, duration: Duration) {
        if !self.isolated.entries.is_empty() {
            return;
        }
        let all = self.members.len();
        let count = (all * ISOLATED_TENTHS).div_ceil(10);
        let drawn = sample(&mut self.random, all, count);
        self.isolated.entries = drawn.into_iter().collect();
        self.isolated.since = self.now;
        self.snapshot_evacuations();
        self.schedule(self.now + duration * DURATION_FACTOR, Event::EndIsolation);
    }

    /// Ends the isolation of entries: links are reopened, and the messages deferred on the old ones arrive later, in the
    /// order in which they were sent. TCP retransmits with exponential backoff, so the last pause is at most as long as
    /// the partition.
    pub(crate) fn end_isolation(&mut self) {
        self.isolated.entries.clear();
        let max_pause = self.now.since(self.isolated.since);
        for (_, events) in std::mem::take(&mut self.isolated.deferred) {
            let pause = self.random.random_range(Duration::ZERO..max_pause);
            let due = self.now + pause;
            for event in events {
                self.schedule(due, event);
            }
        }
        self.reset_links();
        self.announce_unknown_peers();
        self.send_evacuations();
    }

    /// Resets all links of members after a partition.
    fn reset_links(&mut self) {
        for index in 0..self.members.len() {
            for other in 0..self.members.len() {
                if index != other && self.members[index].is_up() {
                    self.input(index, Input::LinkReset(InstanceId(other as u32 + 1)));
                }
            }
        }
    }

    /// Reports to a member that messages on its link to a peer may have been lost.
    pub(crate) fn reset_link(&mut self, index: usize, peer: usize) {
        let incarnation = self.members[index].incarnation();
        self.schedule(self.now, Event::LinkReset(index, incarnation, peer));
    }

    /// Sends heartbeats to members from all peers that they do not know. Members that started on different sides of a
    /// partition learn of each other from the keepers in a deployment. Without that, two of them would dispatch for one
    /// data centre indefinitely.
    pub(crate) fn announce_unknown_peers(&mut self) {
        for index in 0..self.members.len() {
            for other in 0..self.members.len() {
                if index != other && self.members[other].is_up() && !self.knows_peer(index, other) {
                    let theirs = self.heartbeat_from(other, index);
                    self.deliver(other, index, FleetMsg::Heartbeat(theirs));
                }
            }
        }
    }

    fn knows_peer(&self, index: usize, other: usize) -> bool {
        let member = self.members[index].member.as_ref();
        let peer = InstanceId(other as u32 + 1);
        member.is_none_or(|member| member.peers().get(peer).is_some())
    }
}
