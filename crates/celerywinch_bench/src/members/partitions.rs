//! Cuts between members, and what they do to messages.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_member::Input;
use celerywinch_types::{FleetMsg, InstanceId, Time};
use rand::Rng;
use rand::seq::index::sample;

use super::world::{Event, World};

/// Of the entries, so many are cut off at once, in tenths.
const ISOLATED_TENTHS: usize = 4;
/// A cut of many entries lasts so many times as long as other faults, up to 5 s: longer than a lease
/// and the silence after which a process counts as lost, by several times.
const DURATION_FACTOR: u32 = 2;
/// What is sent for this long after a cut has begun is on a connection that nobody has given up yet: a
/// ping is sent every 300 ms, and its answer waited for 700 ms.
const DETECTION_TIME: Duration = Duration::from_millis(1_000);

/// Entries that are cut off from all other members, and the messages that wait for the end of that.
#[derive(Debug, Default)]
pub(crate) struct IsolatedEntries {
    entries: BTreeSet<usize>,
    since: Time,
    deferred: BTreeMap<(usize, usize), Vec<Event>>,
}

impl IsolatedEntries {
    /// Whether two members do not reach each other.
    pub(crate) fn separates(&self, one: usize, other: usize) -> bool {
        one != other && (self.entries.contains(&one) || self.entries.contains(&other))
    }

    pub(crate) fn contains(&self, entry: usize) -> bool {
        self.entries.contains(&entry)
    }

    /// Keeps a message that is sent on a connection which the sender still takes for sound; later ones
    /// are lost.
    pub(crate) fn defer(&mut self, now: Time, from: usize, to: usize, event: Event) {
        if now.since(self.since) <= DETECTION_TIME {
            self.deferred.entry((from, to)).or_default().push(event);
        }
    }
}

impl World {
    pub(crate) fn is_cut(&self, from: u8, to: u8) -> bool {
        from != to && (self.cut_dcs.contains(&from) || self.cut_dcs.contains(&to))
    }

    pub(crate) fn cut_data_centre(&mut self, duration: Duration) {
        let dc = self.random.random_range(0..self.options.dcs);
        if self.cut_dcs.is_empty() {
            self.cut_dcs.insert(dc);
            self.snapshot_evacuations();
            self.schedule(self.now + duration, Event::HealDataCentre(dc));
        }
    }

    pub(crate) fn heal_data_centre(&mut self, dc: u8) {
        self.cut_dcs.remove(&dc);
        self.reset_links();
        self.announce_unknown_peers();
        self.send_evacuations();
    }

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

    /// The cut has healed: links open anew, and what was held up on the old ones arrives at some time
    /// after that, in the order in which it was sent. The system sends again what is not acknowledged
    /// after pauses that double, so the last pause is as long as the cut at most.
    pub(crate) fn end_isolation(&mut self) {
        self.isolated.entries.clear();
        let longest = self.now.since(self.isolated.since);
        for (_, events) in std::mem::take(&mut self.isolated.deferred) {
            let pause = self.random.random_range(Duration::ZERO..longest);
            let due = self.now + pause;
            for event in events {
                self.schedule(due, event);
            }
        }
        self.reset_links();
        self.announce_unknown_peers();
        self.send_evacuations();
    }

    /// Links open again after a cut.
    fn reset_links(&mut self) {
        for index in 0..self.members.len() {
            for other in 0..self.members.len() {
                if index != other && self.members[index].is_up() {
                    self.input(index, Input::LinkReset(InstanceId(other as u32 + 1)));
                }
            }
        }
    }

    /// Messages between two members may have been lost.
    pub(crate) fn reset_link(&mut self, index: usize, peer: usize) {
        let incarnation = self.members[index].incarnation();
        self.schedule(self.now, Event::LinkReset(index, incarnation, peer));
    }

    /// Members that started on two sides of a cut learn of each other when it has healed, as keepers
    /// tell in a deployment. Without that two of them would dispatch for one data centre for ever.
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
