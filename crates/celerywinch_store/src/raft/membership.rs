//! Forming the group, and replacing its keepers one at a time.

use std::time::Duration;

use celerywinch_types::{InstanceId, Time};

use super::{Output, Raft, Role};
use crate::{Entry, KeeperId, Membership, Payload, RaftMsg};

/// How often a keeper with an empty disk must be heard before it counts as one.
const MIN_HELLOS: u32 = 3;
/// How long such a message counts.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// A voter that was not heard for this long is replaced by a learner that has the whole log. Longer
/// than a restart takes, so that one that comes back with its disk finds its place.
const REPLACE_AFTER: Duration = Duration::from_secs(5);

/// A keeper with an empty disk that was heard of.
#[derive(Clone, Copy, Debug)]
pub(super) struct BlankKeeper {
    keeper: KeeperId,
    last_contact: Time,
    count: u32,
}

impl Raft {
    /// A keeper with an empty disk says so to all instances that are keepers by the settings.
    ///
    /// It must not vote as if it had lost nothing: entries that it had synced before would be
    /// committed in the leader's eyes and missing in its own.
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

    /// Where a group may be found: the instances of the settings, and those heard of since.
    fn discovery_targets(&self) -> Vec<InstanceId> {
        let me = self.config.me.instance;
        let mut known = self.config.instances.clone();
        known.extend(&self.contacts);
        known.sort_unstable();
        known.dedup();
        known.retain(|instance| *instance != me);
        known
    }

    /// A keeper that was replaced while it was away hears no leader, and cannot be elected. It asks
    /// to learn again, or it would answer nothing for ever.
    pub(super) fn send_rejoin(&self, out: &mut Vec<Output>) {
        for instance in self.discovery_targets() {
            out.push(Output::Send(instance, None, RaftMsg::Rejoin));
        }
    }

    /// The first group: only if every keeper of the settings has an empty disk, since then there
    /// is no log that could be forgotten.
    fn bootstrap_group(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = self.config.me;
        let mut voters = self.active_blanks(now);
        voters.retain(|keeper| self.config.instances.contains(&keeper.instance));
        voters.push(me);
        if voters.len() < self.config.instances.len() {
            return;
        }
        voters.sort_unstable();
        // One alone writes the first entry, so that there is one first entry; the others get it
        // from its log.
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
        // It leads its first term if a majority follows; the others are blank and take the entry
        // from whoever says that it leads, so it appoints itself in term 1.
        self.enter_term(now, 1, Some(me), out);
    }

    /// Leads the first term: nobody else can, for the others have no group to be elected by.
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

    /// Keepers with empty disks that were heard several times lately. One late message of a disk
    /// that is long in use, or gone, is not enough.
    fn active_blanks(&self, now: Time) -> Vec<KeeperId> {
        let present = self.blanks.values().filter(|blank| {
            blank.count >= MIN_HELLOS && now.since(blank.last_contact) <= CONTACT_TIMEOUT
        });
        present.map(|blank| blank.keeper).collect()
    }

    /// A leader replaces a keeper whose instance came back with an empty disk, in steps of one
    /// keeper, each committed before the next: the old one is removed, the new one learns, and only
    /// when it has the whole log does it count. A second loss right after the repair thus finds
    /// a majority that has everything.
    pub(super) fn update_membership(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.log.membership_index() > self.commit_index || self.lacks_commit_in_term() {
            return;
        }
        let membership = self.log.membership();
        if let Some(next) = self.next_membership(now, &membership) {
            self.propose(now, Payload::Membership(next), out);
        }
    }

    /// A leader may change the group only once an entry of its own term is committed.
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

    /// One with a log that is no member any more learns again.
    fn readmit_learner(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let fresh = |at: &Time| now.since(*at) <= CONTACT_TIMEOUT;
        let mut returning = self.rejoining.iter().filter(|(_, at)| fresh(at));
        let (keeper, _) =
            returning.find(|(keeper, _)| membership.keeper_of(keeper.instance).is_none())?;
        let mut next = membership.clone();
        next.learners.push(*keeper);
        Some(next)
    }

    fn promote_learner(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let caught_up = membership.learners.iter().find(|learner| {
            let progress = self.progress.get(learner);
            let heard = |p: &super::Progress| now.since(p.last_contact) <= CONTACT_TIMEOUT;
            progress.is_some_and(|p| p.match_index >= self.commit_index && heard(p))
        })?;
        let mut next = membership.clone();
        next.learners.retain(|keeper| keeper != caught_up);
        next.voters.push(*caught_up);
        next.voters.sort_unstable();
        Some(next)
    }

    /// The voter that was not heard for the longest time, if that is too long.
    fn lost_voter(&self, now: Time, membership: &Membership) -> Option<KeeperId> {
        let me = self.config.me;
        let others = membership.voters.iter().filter(|voter| **voter != me);
        let heard = |voter: &&KeeperId| self.progress.get(voter).map(|p| p.last_contact);
        let lost = others.min_by_key(heard)?;
        let silent = now.since(heard(&lost).unwrap_or_default());
        (silent > REPLACE_AFTER).then_some(*lost)
    }

    /// One voter too many: the lost one that was replaced leaves. If it is back, it learns.
    fn remove_extra_voter(&self, now: Time, membership: &Membership) -> Option<Membership> {
        let me = self.config.me;
        let heard = |voter: &&KeeperId| self.progress.get(voter).map(|p| p.last_contact);
        let others = membership.voters.iter().filter(|voter| **voter != me);
        let last = others.min_by_key(heard)?;
        let mut next = membership.clone();
        next.voters.retain(|voter| voter != last);
        if self.lost_voter(now, membership).is_none() {
            next.learners.push(*last);
        }
        Some(next)
    }
}
