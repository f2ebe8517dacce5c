//! Decides which keepers vote.
//!
//! The group must bear the losses that its settings allow at each moment, and a machine that is replaced does not count among them.
//! So the voters are changed before a loss where one can be expected, and soon after it where not:
//!
//! - With enough keepers, [`SPARE_VOTERS`] more vote than the losses need, so that the removal of any of them is borne as well.
//! - Else a keeper that joins with an empty disk takes the place of one of its data centre: it may be its successor.
//! - A keeper that stops as planned, or does not answer, is replaced at once.
//! - The voters are spread over the data centres, so that none of these has a majority.
//!
//! A learner is promoted before a voter is removed, and each change is committed before the next one.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use celerywinch_types::DataCentreId;

use crate::KeeperId;

/// The number of voters beyond those that the losses need: the group then bears one loss more.
const SPARE_VOTERS: usize = 2;

/// What the leader knows of a keeper of the group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Member {
    pub(super) keeper: KeeperId,
    pub(super) dc: Option<DataCentreId>,
    /// How long it has not answered.
    pub(super) silence: Duration,
    /// Whether it has acknowledged a part of the log.
    pub(super) has_log: bool,
    /// Whether it has all committed entries.
    pub(super) caught_up: bool,
    /// Whether it stops as planned.
    pub(super) leaving: bool,
    /// How many keepers this leader had admitted before it, if it has admitted it.
    pub(super) admitted: Option<u64>,
}

/// The keepers of a group, as its leader knows them.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) leader: KeeperId,
    pub(super) voters: Vec<Member>,
    pub(super) learners: Vec<Member>,
    /// The number of voters that bears the losses.
    pub(super) max_voters: usize,
    /// How long a keeper may be silent before it counts as lost.
    pub(super) max_silence: Duration,
}

/// A change of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Change {
    /// A learner becomes a voter.
    Promote(KeeperId),
    /// A voter becomes a learner.
    Demote(KeeperId),
    /// A voter leaves the group; it asks to rejoin when it is back.
    Remove(KeeperId),
}

impl Group {
    /// Returns the next change of the voters, if one is due.
    pub(super) fn next_change(&self) -> Option<Change> {
        let retiring = self.retiring();
        if self.voters.len() > self.max_voters
            && let Some(change) = self.remove_unsound(&retiring)
        {
            return Some(change);
        }
        let wanted = self.wanted_voters();
        if self.voters.len() > wanted {
            return self.demote_crowded();
        }
        let staying: Vec<_> = self.voters.iter().filter(|v| self.stays(v)).collect();
        let is_retiring = |member: &Member| retiring.contains(&member.keeper);
        let sound = staying.iter().filter(|voter| !is_retiring(voter)).count();
        let usable = self
            .learners
            .iter()
            .filter(|l| l.caught_up && self.stays(l));
        // A keeper that makes way for its successor is still better than one that does not answer.
        let lacking = usable.filter(|learner| {
            let voters = if is_retiring(learner) {
                staying.len()
            } else {
                sound
            };
            voters < wanted
        });
        let promoted = lacking.min_by_key(|learner| {
            let same_dc = staying.iter().filter(|voter| voter.dc == learner.dc);
            (is_retiring(learner), same_dc.count(), learner.keeper)
        });
        let promoted = promoted.or_else(|| self.spreading_learner(&retiring))?;
        Some(Change::Promote(promoted.keeper))
    }

    /// Returns the number of voters in each data centre, or none if one is not known.
    fn voters_by_dc(&self) -> Option<BTreeMap<DataCentreId, usize>> {
        let mut counts = BTreeMap::new();
        for voter in &self.voters {
            *counts.entry(voter.dc?).or_default() += 1;
        }
        Some(counts)
    }

    /// Returns a learner in a data centre that has at least two voters less than another one. Its loss, and that of the other
    /// one, are borne if the voters are spread evenly.
    fn spreading_learner(&self, retiring: &BTreeSet<KeeperId>) -> Option<&Member> {
        let counts = self.voters_by_dc()?;
        let most = counts.values().copied().max()?;
        let usable = self.learners.iter().filter(|learner| {
            learner.caught_up && self.stays(learner) && !retiring.contains(&learner.keeper)
        });
        let in_dc = |dc: Option<DataCentreId>| Some(counts.get(&dc?).copied().unwrap_or(0));
        let sparse = usable.filter(|l| in_dc(l.dc).is_some_and(|count| count + 2 <= most));
        sparse.min_by_key(|learner| (in_dc(learner.dc), learner.keeper))
    }

    /// Demotes one of more voters than are wanted, in the data centre that has the most of them, unless each has one.
    fn demote_crowded(&self) -> Option<Change> {
        let counts = self.voters_by_dc()?;
        let most = counts.values().copied().max().filter(|most| *most > 1)?;
        let in_crowded = |voter: &&Member| voter.dc.is_some_and(|dc| counts[&dc] == most);
        let crowded = self.voters.iter().filter(in_crowded);
        let demoted = crowded.max_by_key(|voter| (voter.keeper != self.leader, voter.keeper))?;
        Some(Change::Demote(demoted.keeper))
    }

    /// Returns whether a member answers and does not stop.
    fn stays(&self, member: &Member) -> bool {
        self.answers(member) && !member.leaving
    }

    /// Returns whether a member has answered recently.
    pub(super) fn answers(&self, member: &Member) -> bool {
        member.keeper == self.leader || member.silence <= self.max_silence
    }

    /// Returns whether a member can vote, now or once it has caught up.
    fn is_usable(&self, member: &Member) -> bool {
        self.stays(member) && member.has_log
    }

    fn members(&self) -> impl Iterator<Item = &Member> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns whether there are enough keepers that any one of them may be removed beside the losses.
    fn has_spare_voters(&self) -> bool {
        let usable = self.members().filter(|member| self.is_usable(member));
        usable.count() >= self.max_voters.saturating_add(SPARE_VOTERS)
    }

    fn wanted_voters(&self) -> usize {
        if self.has_spare_voters() {
            self.max_voters.saturating_add(SPARE_VOTERS)
        } else {
            self.max_voters
        }
    }

    /// Returns the members for which a successor may have joined: the same number of keepers of their data centre were
    /// admitted later. Without spare voters these make way, as the others are less likely to be removed.
    fn retiring(&self) -> BTreeSet<KeeperId> {
        if self.has_spare_voters() {
            return BTreeSet::new();
        }
        let mut by_dc: BTreeMap<DataCentreId, Vec<&Member>> = BTreeMap::new();
        for member in self.members().filter(|member| self.is_usable(member)) {
            if let Some(dc) = member.dc {
                by_dc.entry(dc).or_default().push(member);
            }
        }
        let mut retiring = BTreeSet::new();
        for mut members in by_dc.into_values() {
            members.sort_by_key(|member| (member.admitted, member.keeper));
            let admitted = members.iter().filter(|member| member.admitted.is_some());
            let count = admitted.count().min(members.len() - 1);
            retiring.extend(members.iter().take(count).map(|member| member.keeper));
        }
        retiring
    }

    /// Removes a voter that does not answer, makes way or stops as planned, in this order.
    fn remove_unsound(&self, retiring: &BTreeSet<KeeperId>) -> Option<Change> {
        let lost = self.voters.iter().filter(|member| !self.answers(member));
        if let Some(lost) = lost.max_by_key(|member| member.silence) {
            return Some(Change::Remove(lost.keeper));
        }
        let unsound = self.voters.iter();
        let unsound = unsound.filter(|v| v.leaving || retiring.contains(&v.keeper));
        // The leader last, as it resigns with its vote.
        let demoted = unsound.min_by_key(|v| (!v.leaving, v.keeper == self.leader))?;
        Some(Change::Demote(demoted.keeper))
    }
}

#[cfg(test)]
#[path = "voters_tests.rs"]
mod tests;
