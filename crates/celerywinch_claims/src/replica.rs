//! A replica of a group, with its votes, promises and accepted outcomes in memory.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use celerywinch_types::{Ballot, Grant, Holder, Key, Outcome, VoteState, WallMs};

/// Limits on the age of keys, the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Tasks of a key older than this are never started.
    pub window: Duration,
    /// Largest difference between two wall clocks.
    pub skew: Duration,
    /// How long a record is kept after the window, for lookups.
    pub retention: Duration,
}

impl Limits {
    /// Whether a key is too old to be run, by the caller's clock.
    #[must_use]
    pub fn too_old(&self, key: &Key, wall: WallMs) -> bool {
        key.created_at().0.saturating_add(millis(self.window)) < wall.0
    }

    /// Whether the time of a key is further in the future than the allowed clock skew.
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
    /// It takes no part in the agreement on this key, see [`Replica::abstains`].
    Abstains,
}

/// A replica's promise, with its state of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Its vote on the claim.
    pub vote: VoteState,
    /// Hash of the body, or zero if the key is unknown.
    pub digest: u64,
    /// The outcome that it accepted last.
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
    /// When this incarnation started, by its own clock.
    start: WallMs,
    /// Keys created up to this time may have been voted on by an earlier incarnation.
    abstain_until: WallMs,
    records: HashMap<Key, Record>,
    /// The recorded keys, by the time at which their records are removed.
    expiry: BTreeSet<(WallMs, Key)>,
}

impl Replica {
    /// Creates an empty replica that starts at `wall`.
    ///
    /// A restarted replica has lost its votes, and must not vote as if it had given none: one holder could have
    /// its lost vote and another one a new vote, and both would start the tasks. It therefore abstains on keys created
    /// before its start plus the skew. This is sufficient, because the earlier incarnation voted on no key that was
    /// created later than its clock plus the skew ([`Limits::too_new`]), and older keys become too old to run while
    /// the replica abstains.
    #[must_use]
    pub fn new(limits: Limits, wall: WallMs) -> Self {
        Self {
            limits,
            start: wall,
            abstain_until: WallMs(wall.0.saturating_add(millis(limits.skew))),
            records: HashMap::new(),
            expiry: BTreeSet::new(),
        }
    }

    /// Counts the start as `ahead` later, because the clock of a peer is ahead by that much.
    ///
    /// The clock of this process may have been set back during the restart, and keys that the earlier incarnation
    /// voted on would look new.
    pub fn raise_start(&mut self, ahead: Duration) {
        let until = self.start.0 + millis(ahead) + millis(self.limits.skew);
        self.abstain_until = self.abstain_until.max(WallMs(until));
    }

    /// Returns the number of recorded keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether the replica must not take part in the agreement on `key`.
    ///
    /// It abstains if the key may have been voted on by an earlier incarnation; if the key is so new that a later
    /// incarnation would not abstain on it ([`Replica::new`]); and if a record of the key may have expired, because
    /// an empty record would allow the key to be settled as not run.
    #[must_use]
    pub fn abstains(&self, wall: WallMs, key: &Key) -> bool {
        if self.records.contains_key(key) {
            return false;
        }
        key.created_at() <= self.abstain_until
            || self.limits.too_old(key, wall)
            || self.limits.too_new(key, wall)
    }

    /// Votes on `key` for the first holder that asks; `None` is an abstention.
    pub fn vote(&mut self, wall: WallMs, key: &Key, digest: u64, holder: Holder) -> Option<Grant> {
        if let Some(record) = self.records.get(key) {
            return Some(existing_vote(record, digest, holder));
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

    /// Marks this replica's vote for a holder in the same process as void: the holder gave up before any start.
    ///
    /// Without this mark, a key whose votes were split could only be settled as "may have run".
    pub fn abandon(&mut self, key: &Key, holder: Holder) {
        if let Some(record) = self.records.get_mut(key)
            && record.vote == VoteState::For(holder)
        {
            record.vote = VoteState::Void(holder);
        }
    }

    /// Promises to accept no outcome with a ballot below `ballot`, and not to vote on `key` any more.
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

    /// Accepts an outcome, unless a higher ballot was promised.
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

    /// Records that the outcome of `ballot` is decided.
    ///
    /// A replica that missed this ballot and accepted an earlier one may have another outcome, which must not count as
    /// decided. Later ballots can only have the decided outcome.
    pub fn learn(&mut self, key: &Key, ballot: Ballot) {
        if let Some(record) = self.records.get_mut(key) {
            let accepted = record.accepted.as_ref();
            record.decided |= accepted.is_some_and(|(at, _)| *at >= ballot);
        }
    }

    /// Returns the hash of the body and the decided outcome of a key, if this replica knows them.
    #[must_use]
    pub fn decided(&self, key: &Key) -> Option<(u64, &Outcome)> {
        let record = self.records.get(key).filter(|r| r.decided)?;
        let (_, outcome) = record.accepted.as_ref()?;
        Some((record.digest, outcome))
    }

    /// Returns the state of a key and its decided outcome, without changing either.
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

    /// Removes keys that can no longer be run or looked up, at most `max_keys` of them.
    pub fn expire(&mut self, wall: WallMs, max_keys: usize) {
        for _ in 0..max_keys {
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
            let expires_at = WallMs(key.created_at().max(wall).0.saturating_add(keep));
            expiry.insert((expires_at, key.clone()));
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

fn existing_vote(record: &Record, digest: u64, holder: Holder) -> Grant {
    if record.digest != 0 && record.digest != digest {
        return Grant::Conflict;
    }
    if record.decided
        && let Some((_, outcome)) = &record.accepted
    {
        return Grant::Decided(outcome.clone());
    }
    match record.vote {
        // A repeated request of a holder that still waits for the vote.
        VoteState::For(voted) if voted == holder && record.promised.round < 2 => Grant::Granted,
        VoteState::For(voted) | VoteState::Void(voted) if voted != holder => Grant::Taken(voted),
        VoteState::None | VoteState::For(_) | VoteState::Void(_) => Grant::Settling,
    }
}
