//! Forming the group, and replacing its keepers one at a time.

use std::time::Duration;

use celerywinch_types::Time;

use super::{Output, Raft, Role};
use crate::{Entry, Group, KeeperId, Payload, RaftMsg};

/// How often a keeper with an empty disk must be heard before it counts as one.
const BLANK_HELLOS: u32 = 3;
/// How long such a message counts.
const BLANK_MEMORY: Duration = Duration::from_secs(2);

/// A keeper with an empty disk that was heard of.
#[derive(Clone, Copy, Debug)]
pub(super) struct Blank {
    keeper: KeeperId,
    heard: Time,
    count: u32,
}

impl Raft {
    /// A keeper with an empty disk says so to all instances that are keepers by the settings.
    ///
    /// It must not vote as if it had lost nothing: entries that it had synced before would be
    /// committed in the leader's eyes and missing in its own.
    pub(super) fn look_for_group(&mut self, now: Time, out: &mut Vec<Output>) {
        if now.since(self.sent) < self.config.heartbeat {
            return;
        }
        self.sent = now;
        let me = self.config.me.instance;
        for instance in self.config.instances.iter().filter(|i| **i != me) {
            let msg = RaftMsg::Hello { formed: false };
            out.push(Output::Send(*instance, None, msg));
        }
        self.form_group(now, out);
    }

    /// The first group: only if every keeper of the settings has an empty disk, since then there
    /// is no log that could be forgotten.
    fn form_group(&mut self, now: Time, out: &mut Vec<Output>) {
        let me = self.config.me;
        let mut voters = self.present_blanks(now);
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
        let group = Group {
            voters,
            learners: Vec::new(),
        };
        let entry = Entry {
            index: 1,
            term: 0,
            payload: Payload::Group(group),
        };
        self.log.push(entry.clone());
        out.push(Output::Persist(vec![entry]));
        // It leads its first term if a majority follows; the others are blank and take the entry
        // from whoever says that it leads, so it appoints itself in term 1.
        self.term = 1;
        self.vote = Some(me);
        out.push(Output::PersistVote {
            term: 1,
            vote: Some(me),
        });
        self.appoint(now, out);
    }

    /// Leads the first term: nobody else can, for the others have no group to be elected by.
    fn appoint(&mut self, now: Time, out: &mut Vec<Output>) {
        self.set_role(now, Role::Leader, out);
        self.progress.clear();
        self.follow_group(now);
        self.propose(now, Payload::Noop, out);
    }

    pub(super) fn hello(&mut self, now: Time, from: KeeperId, formed: bool, out: &mut Vec<Output>) {
        if formed {
            self.blanks.remove(&from.instance);
            return;
        }
        let blank = self.blanks.entry(from.instance).or_insert(Blank {
            keeper: from,
            heard: now,
            count: 0,
        });
        if blank.keeper != from || now.since(blank.heard) > BLANK_MEMORY {
            blank.keeper = from;
            blank.count = 0;
        }
        blank.heard = now;
        blank.count += 1;
        if self.role != Role::Blank {
            self.send(from, RaftMsg::Hello { formed: true }, out);
        }
    }

    /// Keepers with empty disks that were heard several times lately. One late message of a disk
    /// that is long in use, or gone, is not enough.
    fn present_blanks(&self, now: Time) -> Vec<KeeperId> {
        let present = self
            .blanks
            .values()
            .filter(|blank| blank.count >= BLANK_HELLOS && now.since(blank.heard) <= BLANK_MEMORY);
        present.map(|blank| blank.keeper).collect()
    }

    /// A leader replaces a keeper whose instance came back with an empty disk, in steps of one
    /// keeper, each committed before the next: the old one is removed, the new one learns, and only
    /// when it has the whole log does it count. A second loss right after the repair thus finds
    /// a majority that has everything.
    pub(super) fn tend_group(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.log.group_index() > self.commit || self.commit_of_term_missing() {
            return;
        }
        let group = self.log.group();
        if let Some(next) = self.next_group(now, &group) {
            self.propose(now, Payload::Group(next), out);
        }
    }

    /// A leader may change the group only once an entry of its own term is committed.
    fn commit_of_term_missing(&self) -> bool {
        self.log.term(self.commit) != Some(self.term)
    }

    fn next_group(&self, now: Time, group: &Group) -> Option<Group> {
        for blank in self.present_blanks(now) {
            if group.all().any(|keeper| keeper == blank) {
                continue;
            }
            let mut next = group.clone();
            if let Some(old) = group.of(blank.instance) {
                next.voters.retain(|keeper| *keeper != old);
                next.learners.retain(|keeper| *keeper != old);
                return (!next.voters.is_empty()).then_some(next);
            }
            next.learners.push(blank);
            return Some(next);
        }
        let caught_up = group.learners.iter().find(|learner| {
            let progress = self.progress.get(learner);
            progress.is_some_and(|p| p.matched >= self.commit)
        })?;
        let mut next = group.clone();
        next.learners.retain(|keeper| keeper != caught_up);
        next.voters.push(*caught_up);
        next.voters.sort_unstable();
        Some(next)
    }
}
