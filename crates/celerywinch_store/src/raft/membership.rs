//! Formation of the group, and changes of its membership by one keeper at a time.

use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

use super::voters::{Change, Group, Member};
use super::{Output, Progress, Raft, Role};
use crate::{Entry, KeeperId, Membership, Payload, RaftMsg};

/// The number of hellos after which a keeper is taken to have an empty disk.
const MIN_HELLOS: u32 = 3;
/// How long a hello, a request to rejoin or other contact counts as recent.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a learner may be silent before it is removed. It asks to rejoin when it is back.
const LEARNER_TIMEOUT: Duration = Duration::from_secs(30);

/// A keeper with an empty disk that has sent hellos.
#[derive(Clone, Copy, Debug)]
pub(super) struct BlankKeeper {
    keeper: KeeperId,
    last_contact: Time,
    count: u32,
}

impl Raft {
    /// Sends hellos from a keeper with an empty disk, and forms the first group if all keepers of the settings are blank.
    ///
    /// Such a keeper must not vote as if its log were complete: the leader may count entries as committed that this instance
    /// had synced before and has lost with its disk.
    pub(super) fn discover_group(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.last_sent) < self.config.heartbeat_interval {
            return;
        }
        self.last_sent = now;
        let me = self.config.me.instance;
        for instance in self.discovery_targets() {
            let msg = RaftMsg::Hello { in_group: false };
            out.push(Output::Send(instance, None, msg));
        }
        let forming = !self.pending_writes.is_empty();
        if self.config.bootstrap && !forming && self.config.instances.contains(&me) {
            self.bootstrap_group(now, out);
        }
    }

    /// Returns the other instances at which the group may be found: those of the settings and the contacts.
    fn discovery_targets(&self) -> Vec<InstanceId> {
        let me = self.config.me.instance;
        let mut targets = self.config.instances.clone();
        targets.extend(&self.contacts);
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|instance| *instance != me);
        targets
    }

    /// Asks to be admitted as a learner. A keeper that was replaced while it was away gets no messages from the leader and
    /// cannot be elected, so otherwise it would never answer a request again.
    pub(super) fn send_rejoin(&self, out: &mut Vec<Output>) {
        for instance in self.discovery_targets() {
            out.push(Output::Send(instance, None, RaftMsg::Rejoin));
        }
    }

    /// Forms the first group once every keeper of the settings is known to have an empty disk, as only then no existing log
    /// can be lost.
    fn bootstrap_group(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = self.config.me;
        let mut voters = self.active_blanks(now);
        voters.retain(|keeper| self.config.instances.contains(&keeper.instance));
        voters.push(me);
        if voters.len() < self.config.instances.len() {
            return;
        }
        voters.sort_unstable();
        // Only the first keeper writes the first entry, so that it is unique; the others receive it from its log.
        if voters.first() != Some(&me) {
            return;
        }
        let membership = Membership {
            voters,
            learners: Vec::new(),
        };
        let entry = Entry {
            index: 1,
            term: 0,
            payload: Payload::Membership(membership),
        };
        self.log.push(entry.clone());
        self.persist_entries(now, vec![entry], out);
        // The others are blank and accept entries from any leader, so this keeper becomes leader of term 1 without an
        // election. Its entries are committed once a majority follows.
        self.enter_term(now, 1, Some(me), out);
    }

    /// Becomes leader of the first term. No other keeper can: they have no group that could elect them.
    pub(super) fn lead_first_term(&mut self, now: Time, out: &mut Vec<Output>) {
        self.set_role(now, Role::Leader, out);
        self.progress.clear();
        self.sync_progress(now);
        self.propose(now, Payload::Noop, out);
    }

    pub(super) fn handle_hello(
        &mut self,
        now: Time,
        from: KeeperId,
        in_group: bool,
        out: &mut Vec<Output>,
    ) {
        if in_group {
            self.blanks.remove(&from.instance);
            return;
        }
        let blank = self.blanks.entry(from.instance).or_insert(BlankKeeper {
            keeper: from,
            last_contact: now,
            count: 0,
        });
        if blank.keeper != from || now.since(blank.last_contact) > CONTACT_TIMEOUT {
            blank.keeper = from;
            blank.count = 0;
        }
        blank.last_contact = now;
        blank.count += 1;
        if self.role != Role::Blank {
            self.send(from, RaftMsg::Hello { in_group: true }, out);
        }
    }

    /// Returns the keepers with empty disks that have recently sent at least [`MIN_HELLOS`] hellos. A single one may be a
    /// delayed message from a disk that has long been in use or is gone.
    fn active_blanks(&self, now: Time) -> Vec<KeeperId> {
        let present = self.blanks.values().filter(|blank| {
            blank.count >= MIN_HELLOS && now.since(blank.last_contact) <= CONTACT_TIMEOUT
        });
        present.map(|blank| blank.keeper).collect()
    }

    /// Proposes the next change of the membership, if one is due.
    ///
    /// A keeper whose instance came back with an empty disk is replaced in steps of one keeper, each committed before the
    /// next: the old keeper is removed, the new one is added as a learner, and it becomes a voter once it has the whole log.
    /// So if a second keeper is lost right after the replacement, the remaining majority has all committed entries.
    pub(super) fn update_membership(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.log.membership_index() > self.commit_index || self.lacks_commit_in_term() {
            return;
        }
        let membership = self.log.membership();
        let next = self.next_membership(now, &membership);
        if let Some(next) = next.filter(|next| self.has_answering_majority(now, next)) {
            let changed = next
                .voters
                .iter()
                .filter(|v| !membership.voters.contains(v));
            let dropped = membership
                .voters
                .iter()
                .filter(|v| !next.voters.contains(v));
            // Majorities of two memberships that differ by more than one voter may have no voter in common.
            assert!(changed.count() + dropped.count() <= 1, "{next:?}");
            self.propose(now, Payload::Membership(next), out);
        }
    }

    /// Returns whether a membership could commit entries at present.
    fn has_answering_majority(&self, now: Time, membership: &Membership) -> bool {
        let group = self.group(now, membership);
        let answering = group.voters.iter().filter(|voter| group.answers(voter));
        answering.count() >= membership.majority()
    }

    /// Returns whether no entry of the current term is committed yet; before that a leader must not change the membership.
    fn lacks_commit_in_term(&self) -> bool {
        self.log.term(self.commit_index) != Some(self.term)
    }

    fn next_membership(&mut self, now: Time, membership: &Membership) -> Option<Membership> {
        for blank in self.active_blanks(now) {
            if membership.all().any(|keeper| keeper == blank) {
                continue;
            }
            let mut next = membership.clone();
            if let Some(old) = membership.keeper_of(blank.instance) {
                next.voters.retain(|keeper| *keeper != old);
                next.learners.retain(|keeper| *keeper != old);
                self.returned.insert(blank.instance);
                return (!next.voters.is_empty()).then_some(next);
            }
            if !self.returned.contains(&blank.instance) {
                let order = self.admitted.len() as u64;
                self.admitted.entry(blank).or_insert(order);
            }
            next.learners.push(blank);
            return Some(next);
        }
        if let Some(next) = self.readmit_learner(now, membership) {
            return Some(next);
        }
        let group = self.group(now, membership);
        let mut next = membership.clone();
        match group.next_change() {
            Some(Change::Promote(keeper)) => {
                next.learners.retain(|learner| *learner != keeper);
                next.voters.push(keeper);
                next.voters.sort_unstable();
            }
            Some(Change::Demote(keeper)) => {
                next.voters.retain(|voter| *voter != keeper);
                next.learners.push(keeper);
            }
            Some(Change::Remove(keeper)) => next.voters.retain(|voter| *voter != keeper),
            None => {
                let lost = group.learners.iter();
                let lost = lost.max_by_key(|learner| learner.silence)?;
                if lost.silence <= LEARNER_TIMEOUT {
                    return None;
                }
                next.learners.retain(|learner| *learner != lost.keeper);
            }
        }
        Some(next)
    }

    /// Describes a membership as this leader knows its keepers.
    fn group(&self, now: Time, membership: &Membership) -> Group {
        let member = |keeper: &KeeperId, is_voter: bool| {
            let is_me = *keeper == self.config.me;
            let progress = self.progress.get(keeper);
            let last_contact = progress.map_or(Time::default(), |p| p.last_contact);
            let matched = progress.map_or(0, |p| p.match_index);
            let leaving = self.leaving.get(keeper);
            Member {
                keeper: *keeper,
                dc: self.data_centres.get(&keeper.instance).copied(),
                silence: if is_me {
                    Duration::ZERO
                } else {
                    now.since(last_contact)
                },
                has_log: is_voter || matched > 0,
                caught_up: is_voter || matched >= self.commit_index,
                leaving: if is_me {
                    self.is_leaving
                } else {
                    leaving.is_some_and(|at| now.since(*at) <= CONTACT_TIMEOUT)
                },
                admitted: self.admitted.get(keeper).copied(),
            }
        };
        let voters = membership.voters.iter().map(|keeper| member(keeper, true));
        let learners = membership
            .learners
            .iter()
            .map(|keeper| member(keeper, false));
        Group {
            leader: self.config.me,
            voters: voters.collect(),
            learners: learners.collect(),
            max_voters: self.config.max_voters,
            max_silence: self.config.election_timeout * 3 / 2,
        }
    }

    /// Tells the leader that this keeper stops as planned, so that a learner takes its place before it ends.
    pub(super) fn announce_leave(&mut self, now: Time, out: &mut Vec<Output>) {
        let Role::Follower(Some(leader)) = self.role else {
            return;
        };
        if now.since(self.last_sent) >= self.config.heartbeat_interval {
            self.last_sent = now;
            self.send(leader, RaftMsg::Leave, out);
        }
    }

    /// Passes the leadership on if this keeper does not vote any more, or stops as planned and no learner can take its place.
    pub(super) fn resign_if_due(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.commit_index < self.log.last_index() || self.lacks_commit_in_term() {
            return;
        }
        let membership = self.log.membership();
        let group = self.group(now, &membership);
        let is_due = !self.is_voter() || (self.is_leaving && group.next_change().is_none());
        if !is_due {
            return;
        }
        let last = self.log.last_index();
        let has_log = |voter: &&Member| {
            let progress: Option<&Progress> = self.progress.get(&voter.keeper);
            progress.is_some_and(|p| p.match_index >= last)
        };
        let voters = group.voters.iter().filter(|v| v.keeper != self.config.me);
        let sound = voters.filter(|v| group.answers(v) && !v.leaving);
        let successor = sound.filter(has_log).min_by_key(|voter| voter.silence);
        if let Some(successor) = successor.map(|voter| voter.keeper) {
            let term = self.term;
            self.send_to_voters(&RaftMsg::Resign { term, successor }, out);
            self.set_role(now, Role::Follower(None), out);
        }
    }

    /// Handles the resignation of the leader. Its successor starts an election at once, and the others vote in it although
    /// they had contact with a leader just before.
    pub(super) fn handle_resign(
        &mut self,
        now: Time,
        from: KeeperId,
        resignation: (u64, KeeperId),
        out: &mut Vec<Output>,
    ) {
        let (term, successor) = resignation;
        if term != self.term || self.role != Role::Follower(Some(from)) {
            return;
        }
        self.set_role(now, Role::Follower(None), out);
        if successor == self.config.me && self.is_voter() {
            self.start_election(now, out);
        }
    }

    /// Adds as a learner a keeper that has a log but is no longer a member and asks to rejoin.
    fn readmit_learner(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let recent = |at: &Time| now.since(*at) <= CONTACT_TIMEOUT;
        let mut returning = self.rejoining.iter().filter(|(_, at)| recent(at));
        let (keeper, _) =
            returning.find(|(keeper, _)| membership.keeper_of(keeper.instance).is_none())?;
        let mut next = membership.clone();
        next.learners.push(*keeper);
        Some(next)
    }
}
