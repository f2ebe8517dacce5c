//! The proposer's side of the agreement on a key, with the states voting, held, settling and deciding.
//!
//! Each state is a type of its own, so that tasks can be started only with a [`Claim<Held>`], and an outcome can be
//! proposed only in a state that may decide it.

use std::sync::Arc;

use celerywinch_types::{
    Ballot, Grant, Holder, InstanceId, Key, Outcome, Ran, RefusalReason, Step, VoteState,
};

use crate::{Group, Promise};

/// The progress of a phase after a reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Progress<T> {
    /// More replies are needed.
    Pending,
    /// The phase is over.
    Done(T),
}

/// The proposer's side of a key in state `S`.
#[derive(Debug)]
pub struct Claim<S> {
    key: Key,
    digest: u64,
    group: Arc<Group>,
    state: S,
}

/// State in which the proposer waits for a majority of the votes.
#[derive(Debug)]
pub struct Voting {
    holder: Holder,
    /// The replica that is asked before all others.
    first: Option<InstanceId>,
    /// The answers so far; `None` is an abstention.
    answers: Vec<(InstanceId, Option<Grant>)>,
}

/// State in which the proposer has a majority of the votes. Tasks may be started only in this state.
#[derive(Debug)]
pub struct Held {
    holder: Holder,
}

/// State in which the proposer waits for a majority of promises, to learn the outcome of a key that another holder left
/// undecided, or to decide one.
#[derive(Debug)]
pub struct Settling {
    ballot: Ballot,
    promises: Promises,
    abstained: Vec<InstanceId>,
}

/// State in which the proposer waits for a majority to accept the outcome.
#[derive(Debug)]
pub struct Deciding {
    ballot: Ballot,
    outcome: Outcome,
    accepted: Vec<InstanceId>,
}

/// The result of the vote on a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This holder has the claim.
    Won,
    /// Another holder has the claim or may have it.
    Lost(Holder),
    /// Another instance is settling the key.
    Settling,
    /// The outcome is decided.
    Decided(Outcome),
    /// The key is too old to be run.
    TooOld,
    /// The key's time lies in the future.
    TooNew,
    /// The key was used before with another body.
    Conflict,
    /// Too few replicas can vote on the key.
    NoQuorum,
}

impl<S> Claim<S> {
    /// Returns the key.
    #[must_use]
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the hash of the body.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the replicas of the key.
    #[must_use]
    pub fn group(&self) -> &Arc<Group> {
        &self.group
    }

    fn into<T>(self, state: T) -> Claim<T> {
        Claim {
            key: self.key,
            digest: self.digest,
            group: self.group,
            state,
        }
    }

    /// Ends the current phase and settles the key with `ballot`.
    #[must_use]
    pub fn settle(self, ballot: Ballot) -> Claim<Settling> {
        self.into(Settling {
            ballot,
            promises: Promises::default(),
            abstained: Vec::new(),
        })
    }
}

impl Claim<Voting> {
    /// Starts the vote on a claim; `first` is the replica that is asked before all others.
    ///
    /// All entries ask the same replica first, so that of several entries that claim a key at the same time one gets
    /// this vote and the others lose at once. If each entry asked its own replica first, the votes could be split and
    /// none would get the claim.
    #[must_use]
    pub fn new(
        key: Key,
        digest: u64,
        group: Arc<Group>,
        holder: Holder,
        first: Option<InstanceId>,
    ) -> Self {
        Self {
            key,
            digest,
            group,
            state: Voting {
                holder,
                first,
                answers: Vec::new(),
            },
        }
    }

    /// Returns the holder that asks for the claim.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.state.holder
    }

    /// Returns the replicas that have not answered, to which the request is sent again.
    pub fn unanswered(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.group
            .members()
            .iter()
            .copied()
            .filter(|member| !self.state.answers.iter().any(|(id, _)| id == member))
    }

    /// Records a replica's answer; `None` is an abstention.
    pub fn answer(&mut self, from: InstanceId, grant: Option<Grant>) -> Progress<Verdict> {
        let answered = self.state.answers.iter().any(|(id, _)| *id == from);
        if answered || !self.group.contains(from) {
            return Progress::Pending;
        }
        let taken = match &grant {
            Some(Grant::Taken(holder)) if self.state.first == Some(from) => Some(*holder),
            _ => None,
        };
        self.state.answers.push((from, grant));
        if let Some(holder) = taken {
            return Progress::Done(Verdict::Lost(holder));
        }
        self.verdict()
    }

    fn verdict(&self) -> Progress<Verdict> {
        let answers = || self.state.answers.iter().filter_map(|(_, g)| g.as_ref());
        for grant in answers() {
            match grant {
                Grant::Decided(outcome) => {
                    return Progress::Done(Verdict::Decided(outcome.clone()));
                }
                Grant::Conflict => return Progress::Done(Verdict::Conflict),
                _ => {}
            }
        }
        let granted = answers().filter(|g| **g == Grant::Granted).count();
        if granted >= self.group.majority() {
            return Progress::Done(Verdict::Won);
        }
        let outstanding = self.group.members().len() - self.state.answers.len();
        if granted + outstanding >= self.group.majority() {
            return Progress::Pending;
        }
        Progress::Done(self.failed_vote())
    }

    fn failed_vote(&self) -> Verdict {
        let mut failed_vote = Verdict::NoQuorum;
        for grant in self.state.answers.iter().filter_map(|(_, g)| g.as_ref()) {
            match grant {
                Grant::Taken(holder) => return Verdict::Lost(*holder),
                Grant::Settling => failed_vote = Verdict::Settling,
                Grant::TooOld if failed_vote == Verdict::NoQuorum => failed_vote = Verdict::TooOld,
                Grant::TooNew if failed_vote == Verdict::NoQuorum => failed_vote = Verdict::TooNew,
                _ => {}
            }
        }
        failed_vote
    }

    /// Returns the held claim if the vote is won, or else the unchanged claim as an error.
    pub fn into_held(self) -> Result<Claim<Held>, Self> {
        if self.verdict() == Progress::Done(Verdict::Won) {
            let holder = self.state.holder;
            return Ok(self.into(Held { holder }));
        }
        Err(self)
    }
}

impl Claim<Held> {
    /// Proposes an outcome with ballot 1, which only the holder of the claim may use.
    #[must_use]
    pub fn decide(self, outcome: Outcome) -> Claim<Deciding> {
        let ballot = Ballot {
            round: 1,
            proposer: self.state.holder.process,
        };
        self.into(Deciding {
            ballot,
            outcome,
            accepted: Vec::new(),
        })
    }
}

impl Claim<Settling> {
    /// Starts to settle a key that this instance has not claimed.
    #[must_use]
    pub fn settle_key(key: Key, digest: u64, group: Arc<Group>, ballot: Ballot) -> Self {
        Self {
            key,
            digest,
            group,
            state: Settling {
                ballot,
                promises: Promises::default(),
                abstained: Vec::new(),
            },
        }
    }

    /// Returns the ballot in use.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.state.ballot
    }

    /// Records a promise. With a majority, returns the hash of the body and the outcome to propose.
    pub fn promise(
        &mut self,
        from: InstanceId,
        ballot: Ballot,
        promise: Promise,
    ) -> Progress<(u64, Outcome)> {
        if ballot != self.state.ballot || !self.group.contains(from) {
            return Progress::Pending;
        }
        self.state.promises.add(from, promise);
        if self.state.promises.len() < self.group.majority() {
            return Progress::Pending;
        }
        let digest = self.state.promises.digest().unwrap_or(self.digest);
        Progress::Done((digest, self.state.promises.proposal(&self.group)))
    }

    /// Records an abstention; `Done` if a majority of promises has become impossible.
    pub fn abstain(&mut self, from: InstanceId) -> Progress<()> {
        if !self.state.abstained.contains(&from) {
            self.state.abstained.push(from);
        }
        let usable = self.group.members().len() - self.state.abstained.len();
        if usable < self.group.majority() {
            return Progress::Done(());
        }
        Progress::Pending
    }

    /// Proposes the outcome that the promises require.
    #[must_use]
    pub fn decide(self, digest: u64, outcome: Outcome) -> Claim<Deciding> {
        let ballot = self.state.ballot;
        let mut claim = self.into(Deciding {
            ballot,
            outcome,
            accepted: Vec::new(),
        });
        claim.digest = digest;
        claim
    }
}

impl Claim<Deciding> {
    /// Returns the ballot in use.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.state.ballot
    }

    /// Returns the proposed outcome.
    #[must_use]
    pub fn outcome(&self) -> &Outcome {
        &self.state.outcome
    }

    /// Returns the replicas that have not accepted, to which the request is sent again.
    pub fn unanswered(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.group
            .members()
            .iter()
            .copied()
            .filter(|member| !self.state.accepted.contains(member))
    }

    /// Records an acceptance; with a majority, the outcome is decided.
    pub fn accepted(&mut self, from: InstanceId, ballot: Ballot) -> Progress<Outcome> {
        if ballot != self.state.ballot || !self.group.contains(from) {
            return Progress::Pending;
        }
        if !self.state.accepted.contains(&from) {
            self.state.accepted.push(from);
        }
        if self.state.accepted.len() < self.group.majority() {
            return Progress::Pending;
        }
        Progress::Done(self.state.outcome.clone())
    }
}

/// The promises for a ballot, which determine the outcome to propose.
#[derive(Debug, Default)]
pub struct Promises {
    promises: Vec<(InstanceId, Promise)>,
}

impl Promises {
    /// Adds a replica's promise; a second one of the same replica is ignored.
    pub fn add(&mut self, from: InstanceId, promise: Promise) {
        if self.promises.iter().all(|(id, _)| *id != from) {
            self.promises.push((from, promise));
        }
    }

    /// Returns how many replicas have promised.
    #[must_use]
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no replica has promised.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.promises.is_empty()
    }

    fn digest(&self) -> Option<u64> {
        self.promises
            .iter()
            .map(|(_, p)| p.digest)
            .find(|digest| *digest != 0)
    }

    /// Returns the outcome to propose, given promises of a majority.
    ///
    /// The accepted outcome with the highest ballot must be proposed again, since it may be decided already. Without one,
    /// the key is settled as not run if no holder can have had a majority of the votes, or else as a failure whose tasks
    /// may have run.
    #[must_use]
    pub fn proposal(&self, group: &Group) -> Outcome {
        let accepted = self
            .promises
            .iter()
            .filter_map(|(_, p)| p.accepted.as_ref());
        if let Some((_, outcome)) = accepted.max_by_key(|(ballot, _)| *ballot) {
            return outcome.clone();
        }
        match self.possible_holder(group) {
            Some(holder) => Outcome::failure(
                Ran::Maybe,
                Step::Claim,
                &holder.process.instance,
                "the entry that held this key is gone; its tasks may have run",
            ),
            None => Outcome::refusal(
                RefusalReason::Unclaimed,
                Some(0),
                "no entry ever held this key; submit again with a new key",
            ),
        }
    }

    /// Returns a holder that may have had a majority: its votes among the promises plus all replicas without a promise.
    ///
    /// A holder that declared its own vote void is not one, whatever the other replicas voted: it has never started a
    /// task of the key and never will.
    fn possible_holder(&self, group: &Group) -> Option<Holder> {
        let missing = group.members().len() - self.promises.len();
        let void = |holder: Holder| {
            self.promises
                .iter()
                .any(|(_, p)| p.vote == VoteState::Void(holder))
        };
        let voted = self.promises.iter().filter_map(|(_, p)| match p.vote {
            VoteState::For(holder) => Some(holder),
            VoteState::None | VoteState::Void(_) => None,
        });
        voted
            .filter(|holder| !void(*holder))
            .find(|holder| self.votes_for(*holder) + missing >= group.majority())
    }

    fn votes_for(&self, holder: Holder) -> usize {
        self.promises
            .iter()
            .filter(|(_, p)| p.vote == VoteState::For(holder))
            .count()
    }
}
