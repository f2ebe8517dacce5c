//! The replica of a group: votes, promises and accepted outcomes, in memory.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use celerywinch_types::{Ballot, Grant, Holder, Key, Outcome, VoteState, WallMs};

/// Bounds on the age of keys, the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A key older than this is never run.
    pub window: Duration,
    /// How far wall clocks may be apart.
    pub skew: Duration,
    /// How long a record is kept after the window, for lookups.
    pub retention: Duration,
}

impl Limits {
    /// Whether a key is too old to be run, by the clock of whoever asks.
    #[must_use]
    pub fn too_old(&self, key: &Key, wall: WallMs) -> bool {
        key.created_at().0.saturating_add(millis(self.window)) < wall.0
    }

    /// Whether a key's time lies further in the future than clocks may be apart.
    #[must_use]
    pub fn too_new(&self, key: &Key, wall: WallMs) -> bool {
        key.created_at().0 > wall.0.saturating_add(millis(self.skew))
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Why a replica did not promise or accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It has promised this higher ballot.
    Preempted(Ballot),
    /// The key may have been voted on in an earlier life of the replica.
    Abstains,
}

/// What a replica tells with its promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Its vote on the claim.
    pub vote: VoteState,
    /// Hash of the body, zero if the key is not known.
    pub digest: u64,
    /// The outcome it accepted last.
    pub accepted: Option<(Ballot, Outcome)>,
}

#[derive(Debug)]
struct Record {
    digest: u64,
    vote: VoteState,
    promised: Ballot,
    accepted: Option<(Ballot, Outcome)>,
    decided: bool,
}

/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    limits: Limits,
    start: WallMs,
    /// Keys born up to here may have been voted on in an earlier life.
    blank_until: WallMs,
    records: HashMap<Key, Record>,
    expiry: BTreeSet<(WallMs, Key)>,
}

impl Replica {
    /// A replica that starts, with an empty memory, at `wall`.
    ///
    /// A replica that lost its memory must not vote as if it had seen nothing: a holder could have
    /// its forgotten vote and another holder a new one, and both would start the tasks. It
    /// abstains on keys born before its start plus the skew. That suffices, for in its earlier
    /// life it voted on no key that was born later than its clock plus the skew
    /// ([`Limits::too_new`]), and older keys outgrow the window while it abstains.
    #[must_use]
    pub fn new(limits: Limits, wall: WallMs) -> Self {
        Self {
            limits,
            start: wall,
            blank_until: WallMs(wall.0.saturating_add(millis(limits.skew))),
            records: HashMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// A peer's clock is ahead by `ahead`: the own one may have been set back during the restart,
    /// and forgotten keys would look new. Counts the start as that much later.
    pub fn raise_start(&mut self, ahead: Duration) {
        let until = self.start.0 + millis(ahead) + millis(self.limits.skew);
        self.blank_until = self.blank_until.max(WallMs(until));
    }

    /// How many keys are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the replica must not take part in agreement on `key`.
    ///
    /// It does not if the key may have been voted on in an earlier life, nor if it is so new that a
    /// later life could not tell that it took part ([`Replica::new`]), and not if a record of
    /// the key may have expired: an empty record would let the key be settled as not run.
    #[must_use]
    pub fn abstains(&self, wall: WallMs, key: &Key) -> bool {
        if self.records.contains_key(key) {
            return false;
        }
        key.created_at() <= self.blank_until
            || self.limits.too_old(key, wall)
            || self.limits.too_new(key, wall)
    }

    /// Gives the vote on `key` to the first holder that asks; `None` is an abstention.
    pub fn vote(&mut self, wall: WallMs, key: &Key, digest: u64, holder: Holder) -> Option<Grant> {
        if let Some(record) = self.records.get(key) {
            return Some(standing_vote(record, digest, holder));
        }
        if self.limits.too_old(key, wall) {
            return Some(Grant::TooOld);
        }
        if self.limits.too_new(key, wall) {
            return Some(Grant::TooNew);
        }
        if self.abstains(wall, key) {
            return None;
        }
        let record = self.record(wall, key);
        record.digest = digest;
        record.vote = VoteState::For(holder);
        Some(Grant::Granted)
    }

    /// Marks the own vote of a holder in this very process as given up before any start.
    ///
    /// Without it a key whose votes were split could only end in "may have run".
    pub fn abandon(&mut self, key: &Key, holder: Holder) {
        if let Some(record) = self.records.get_mut(key)
            && record.vote == VoteState::For(holder)
        {
            record.vote = VoteState::Void(holder);
        }
    }

    /// Promises to accept nothing below `ballot`, and to vote no more on `key`.
    pub fn prepare(
        &mut self,
        wall: WallMs,
        key: &Key,
        ballot: Ballot,
    ) -> Result<Promise, Rejection> {
        if self.abstains(wall, key) {
            return Err(Rejection::Abstains);
        }
        let record = self.record(wall, key);
        if ballot < record.promised {
            return Err(Rejection::Preempted(record.promised));
        }
        record.promised = ballot;
        Ok(Promise {
            vote: record.vote,
            digest: record.digest,
            accepted: record.accepted.clone(),
        })
    }

    /// Accepts an outcome unless a higher ballot was promised.
    pub fn accept(
        &mut self,
        wall: WallMs,
        key: &Key,
        digest: u64,
        ballot: Ballot,
        outcome: &Outcome,
    ) -> Result<(), Rejection> {
        if self.abstains(wall, key) {
            return Err(Rejection::Abstains);
        }
        let record = self.record(wall, key);
        if ballot < record.promised {
            return Err(Rejection::Preempted(record.promised));
        }
        record.promised = ballot;
        record.digest = digest;
        record.accepted = Some((ballot, outcome.clone()));
        Ok(())
    }

    /// Notes that the outcome of this ballot is decided.
    ///
    /// A replica that accepted an earlier ballot, and missed this one, has another outcome and must
    /// not take that for the decided one; later ballots can only have the same.
    pub fn learn(&mut self, key: &Key, ballot: Ballot) {
        if let Some(record) = self.records.get_mut(key) {
            let accepted = record.accepted.as_ref();
            record.decided |= accepted.is_some_and(|(at, _)| *at >= ballot);
        }
    }

    /// The decided outcome of a key and the hash of its body, if this replica knows them.
    #[must_use]
    pub fn decided(&self, key: &Key) -> Option<(u64, &Outcome)> {
        let record = self.records.get(key).filter(|r| r.decided)?;
        let (_, outcome) = record.accepted.as_ref()?;
        Some((record.digest, outcome))
    }

    /// What is known of a key, without changing anything; the last value is the decided outcome.
    #[must_use]
    pub fn inspect(&self, key: &Key) -> Option<(Promise, Option<Outcome>)> {
        let record = self.records.get(key)?;
        let promise = Promise {
            vote: record.vote,
            digest: record.digest,
            accepted: record.accepted.clone(),
        };
        let decided = self.decided(key).map(|(_, outcome)| outcome.clone());
        Some((promise, decided))
    }

    /// Forgets what nobody can run or ask for any more; at most `most` keys.
    pub fn expire(&mut self, wall: WallMs, most: usize) {
        for _ in 0..most {
            let Some((at, _)) = self.expiry.first() else {
                return;
            };
            if *at > wall {
                return;
            }
            let Some((_, key)) = self.expiry.pop_first() else {
                return;
            };
            self.records.remove(&key);
        }
    }

    fn record(&mut self, wall: WallMs, key: &Key) -> &mut Record {
        let limits = self.limits;
        let expiry = &mut self.expiry;
        self.records.entry(key.clone()).or_insert_with(|| {
            let keep = millis(limits.window + limits.skew * 2 + limits.retention);
            let forget_at = WallMs(key.created_at().max(wall).0.saturating_add(keep));
            expiry.insert((forget_at, key.clone()));
            Record {
                digest: 0,
                vote: VoteState::None,
                promised: Ballot::default(),
                accepted: None,
                decided: false,
            }
        })
    }
}

fn standing_vote(record: &Record, digest: u64, holder: Holder) -> Grant {
    if record.digest != 0 && record.digest != digest {
        return Grant::Conflict;
    }
    if record.decided
        && let Some((_, outcome)) = &record.accepted
    {
        return Grant::Decided(outcome.clone());
    }
    match record.vote {
        // Only a message sent twice by a holder that still waits for the vote.
        VoteState::For(voted) if voted == holder && record.promised.round < 2 => Grant::Granted,
        VoteState::For(voted) | VoteState::Void(voted) if voted != holder => Grant::Taken(voted),
        VoteState::None | VoteState::For(_) | VoteState::Void(_) => Grant::Settling,
    }
}
