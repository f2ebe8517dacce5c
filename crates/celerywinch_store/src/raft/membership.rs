//! Formation of the group, and changes of its membership by one keeper at a time.

use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

use super::{Output, Raft, Role};
use crate::{Entry, KeeperId, Membership, Payload, RaftMsg};

/// The number of hellos after which a keeper is taken to have an empty disk.
const MIN_HELLOS: u32 = 3;
/// How long a hello, a request to rejoin or other contact counts as recent.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a voter must be silent before a learner that has the whole log replaces it. Longer than a restart takes, so
/// that a voter that comes back with its disk is still a voter.
const REPLACE_AFTER: Duration = Duration::from_secs(5);

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
        if let Some(next) = self.next_membership(now, &membership) {
            self.propose(now, Payload::Membership(next), out);
        }
    }

    /// Returns whether no entry of the current term is committed yet; before that a leader must not change the membership.
    fn lacks_commit_in_term(&self) -> bool {
        self.log.term(self.commit_index) != Some(self.term)
    }

    fn next_membership(&self, now: Time, membership: &Membership) -> Option<Membership> {
        for blank in self.active_blanks(now) {
            if membership.all().any(|keeper| keeper == blank) {
                continue;
            }
            let mut next = membership.clone();
            if let Some(old) = membership.keeper_of(blank.instance) {
                next.voters.retain(|keeper| *keeper != old);
                next.learners.retain(|keeper| *keeper != old);
                return (!next.voters.is_empty()).then_some(next);
            }
            next.learners.push(blank);
            return Some(next);
        }
        if let Some(next) = self.readmit_learner(now, membership) {
            return Some(next);
        }
        if membership.voters.len() > self.config.max_voters {
            return self.remove_extra_voter(now, membership);
        }
        if membership.voters.len() == self.config.max_voters
            && self.lost_voter(now, membership).is_none()
        {
            return None;
        }
        self.promote_learner(now, membership)
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

    fn promote_learner(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let caught_up = membership.learners.iter().find(|learner| {
            let progress = self.progress.get(learner);
            let has_contact = |p: &super::Progress| now.since(p.last_contact) <= CONTACT_TIMEOUT;
            progress.is_some_and(|p| p.match_index >= self.commit_index && has_contact(p))
        })?;
        let mut next = membership.clone();
        next.learners.retain(|keeper| keeper != caught_up);
        next.voters.push(*caught_up);
        next.voters.sort_unstable();
        Some(next)
    }

    /// Returns the voter with the oldest contact, if that is more than [`REPLACE_AFTER`] ago.
    fn lost_voter(&self, now: Time, membership: &Membership) -> Option<KeeperId> {
        let me = self.config.me;
        let others = membership.voters.iter().filter(|voter| **voter != me);
        let last_contact = |voter: &&KeeperId| self.progress.get(voter).map(|p| p.last_contact);
        let lost = others.min_by_key(last_contact)?;
        let silent = now.since(last_contact(&lost).unwrap_or_default());
        (silent > REPLACE_AFTER).then_some(*lost)
    }

    /// Removes the voter with the oldest contact, which another one has replaced. If it is back, it becomes a learner.
    fn remove_extra_voter(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let me = self.config.me;
        let last_contact = |voter: &&KeeperId| self.progress.get(voter).map(|p| p.last_contact);
        let others = membership.voters.iter().filter(|voter| **voter != me);
        let oldest = others.min_by_key(last_contact)?;
        let mut next = membership.clone();
        next.voters.retain(|voter| voter != oldest);
        if self.lost_voter(now, membership).is_none() {
            next.learners.push(*oldest);
        }
        Some(next)
    }
}
