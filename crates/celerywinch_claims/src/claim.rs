//! The proposer's side of a key, as a life cycle: voting, held, settling, deciding.
//!
//! Each state is a type of its own, so that only a [`Claim<Held>`] can be asked to start tasks and
//! only a state that may decide an outcome can propose one.

use std::sync::Arc;

use celerywinch_types::{
    Ballot, Grant, Holder, InstanceId, Key, Outcome, Ran, RefusalReason, Step, VoteState,
};

use crate::{Group, Promise};

/// What a reply brought about.
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

/// Waits for a majority of the votes.
#[derive(Debug)]
pub struct Voting {
    holder: Holder,
    first: Option<InstanceId>,
    answers: Vec<(InstanceId, Option<Grant>)>,
}

/// Has a majority of the votes: the one state in which tasks may be started.
#[derive(Debug)]
pub struct Held {
    holder: Holder,
}

/// Waits for a majority of promises, to find out or to end what another holder left.
#[derive(Debug)]
pub struct Settling {
    ballot: Ballot,
    promises: Promises,
    abstained: Vec<InstanceId>,
}

/// Waits for a majority to accept the outcome.
#[derive(Debug)]
pub struct Deciding {
    ballot: Ballot,
    outcome: Outcome,
    accepted: Vec<InstanceId>,
}

/// How voting ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This holder has the claim.
    Won,
    /// Another holder has it or may have it.
    Lost(Holder),
    /// Another instance is settling the key.
    Settling,
    /// The outcome is decided.
    Decided(Outcome),
    /// The key is too old to be run.
    TooOld,
    /// The key's time lies in the future.
    TooNew,
    /// The key was used with another body.
    Conflict,
    /// Too few replicas can vote on the key.
    NoQuorum,
}

impl<S> Claim<S> {
    /// The key.
    #[must_use]
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Hash of the body.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The replicas.
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

    /// Gives up waiting and settles the key with `ballot`.
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
    /// Starts to ask for votes; `first` is the replica that is asked before all others.
    ///
    /// All entries ask the same replica first, so of several that want a key at the same moment
    /// one gets that vote and the others give way. If each began with its own vote, they could
    /// split the votes and none would get the claim.
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

    /// Who asks.
    #[must_use]
    pub fn holder(&self) -> Holder {
        self.state.holder
    }

    /// The replicas that have not answered, for sending the request again.
    pub fn unanswered(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.group
            .members()
            .iter()
            .copied()
            .filter(|member| !self.state.answers.iter().any(|(id, _)| id == member))
    }

    /// Takes a replica's answer; `None` is an abstention.
    pub fn answer(&mut self, from: InstanceId, grant: Option<Grant>) -> Progress<Verdict> {
        let known = self.state.answers.iter().any(|(id, _)| *id == from);
        if known || !self.group.contains(from) {
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
        let silent = self.group.members().len() - self.state.answers.len();
        if granted + silent >= self.group.majority() {
            return Progress::Pending;
        }
        Progress::Done(self.loss())
    }

    fn loss(&self) -> Verdict {
        let mut loss = Verdict::NoQuorum;
        for grant in self.state.answers.iter().filter_map(|(_, g)| g.as_ref()) {
            match grant {
                Grant::Taken(holder) => return Verdict::Lost(*holder),
                Grant::Settling => loss = Verdict::Settling,
                Grant::TooOld if loss == Verdict::NoQuorum => loss = Verdict::TooOld,
                Grant::TooNew if loss == Verdict::NoQuorum => loss = Verdict::TooNew,
                _ => {}
            }
        }
        loss
    }

    /// Turns a won vote into the claim; gives the claim back unchanged if there is no majority.
    pub fn into_held(self) -> Result<Claim<Held>, Self> {
        if self.verdict() == Progress::Done(Verdict::Won) {
            let holder = self.state.holder;
            return Ok(self.into(Held { holder }));
        }
        Err(self)
    }
}

impl Claim<Held> {
    /// Proposes the outcome with the ballot that only the holder of the claim may use.
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
    /// Starts to settle a key that this instance did not claim.
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

    /// The ballot in use.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.state.ballot
    }

    /// Takes a promise; when there is a majority, gives the outcome to propose.
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

    /// Takes an abstention; `Done` when a majority can no longer be had.
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

    /// Proposes what the promises call for.
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
    /// The ballot in use.
    #[must_use]
    pub fn ballot(&self) -> Ballot {
        self.state.ballot
    }

    /// The outcome that is proposed.
    #[must_use]
    pub fn outcome(&self) -> &Outcome {
        &self.state.outcome
    }

    /// The replicas that have not accepted, for sending the request again.
    pub fn unanswered(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.group
            .members()
            .iter()
            .copied()
            .filter(|member| !self.state.accepted.contains(member))
    }

    /// Takes an acceptance; when there is a majority, the outcome is decided.
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

/// The promises of a ballot, and what they allow to be said.
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

    /// How many replicas promised.
    #[must_use]
    pub fn len(&self) -> usize {
        self.promises.len()
    }

    /// Whether no replica promised.
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

    /// The outcome to propose, given promises of a majority.
    ///
    /// An accepted outcome must be proposed again, for it may be decided already. Without one the
    /// key is settled as not run, if no holder can have had a majority of the votes, and as may
    /// have run otherwise.
    #[must_use]
    pub fn proposal(&self, group: &Group) -> Outcome {
        let accepted = self
            .promises
            .iter()
            .filter_map(|(_, p)| p.accepted.as_ref());
        if let Some((_, outcome)) = accepted.max_by_key(|(ballot, _)| *ballot) {
            return outcome.clone();
        }
        match self.possible_winner(group) {
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

    /// A holder that may have had a majority: its votes here plus all replicas not heard from.
    ///
    /// A vote that its own holder declared void does not count, and neither do the unheard ones
    /// for it: that holder has never started a task of the key and never will.
    fn possible_winner(&self, group: &Group) -> Option<Holder> {
        let unheard = group.members().len() - self.promises.len();
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
            .find(|holder| self.votes_for(*holder) + unheard >= group.majority())
    }

    fn votes_for(&self, holder: Holder) -> usize {
        self.promises
            .iter()
            .filter(|(_, p)| p.vote == VoteState::For(holder))
            .count()
    }
}
