//! Bringing operators' changes to the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_catalogue::{Applied, ApplyError, Edit};
use celerywinch_types::{InstanceId, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::message::encode_edit;
use crate::{ProposalAnswer, ProposalId, StoreMsg};

/// How long an answer is waited for before another keeper is tried.
const ATTEMPT: Duration = Duration::from_millis(150);
/// The longest pause before a keeper is asked again that knew no leader.
const PAUSE_MS: u64 = 60;
/// How long a change is tried in all.
const GIVE_UP: Duration = Duration::from_secs(8);

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerOutput {
    /// Send a message.
    Send(InstanceId, StoreMsg),
    /// A change has its answer; none means that it is not known whether it was accepted.
    Done(ProposalId, Option<Result<Applied, ApplyError>>),
}

#[derive(Debug)]
struct Open {
    edit: Vec<u8>,
    since: Time,
    next: Time,
}

/// Brings changes to the leader and waits for their answers.
#[derive(Debug)]
pub struct Proposer {
    keepers: Vec<InstanceId>,
    leader: Option<InstanceId>,
    open: BTreeMap<ProposalId, Open>,
    serial: u64,
    random: ChaCha8Rng,
}

impl Proposer {
    /// Starts with the instances that are keepers by the settings.
    #[must_use]
    pub fn new(keepers: Vec<InstanceId>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // An answer to an earlier life of this process must not be taken for one to this life.
        let serial = random.random_range(1..u64::MAX / 2);
        Self {
            keepers,
            leader: None,
            open: BTreeMap::new(),
            serial,
            random,
        }
    }

    /// Starts to bring a change to the leader.
    ///
    /// # Errors
    ///
    /// The change cannot be encoded.
    pub fn propose(
        &mut self,
        now: Time,
        edit: &Edit,
        out: &mut Vec<ProposerOutput>,
    ) -> anyhow::Result<ProposalId> {
        self.serial += 1;
        let id = ProposalId(self.serial);
        let open = Open {
            edit: encode_edit(edit)?,
            since: now,
            next: now,
        };
        self.open.insert(id, open);
        self.tick(now, out);
        Ok(id)
    }

    /// Takes an answer.
    pub fn handle_answer(
        &mut self,
        now: Time,
        from: InstanceId,
        id: ProposalId,
        answer: ProposalAnswer,
        out: &mut Vec<ProposerOutput>,
    ) {
        match answer {
            ProposalAnswer::Done(result) => {
                self.leader = Some(from);
                if self.open.remove(&id).is_some() {
                    out.push(ProposerOutput::Done(id, Some(result)));
                }
            }
            ProposalAnswer::NotLeader(hint) => {
                let known = hint.is_some_and(|hint| hint != from);
                self.leader = hint.filter(|hint| *hint != from);
                self.again(now, id, known);
                self.tick(now, out);
            }
            ProposalAnswer::Unknown => {
                self.leader = None;
                self.again(now, id, false);
            }
        }
    }

    fn again(&mut self, now: Time, id: ProposalId, at_once: bool) {
        let pause = if at_once {
            Duration::ZERO
        } else {
            Duration::from_millis(self.random.random_range(10..PAUSE_MS))
        };
        if let Some(open) = self.open.get_mut(&id) {
            open.next = now + pause;
        }
    }

    /// Lets time pass: tries again, and gives up.
    pub fn tick(&mut self, now: Time, out: &mut Vec<ProposerOutput>) {
        let over = |open: &Open| now.since(open.since) >= GIVE_UP;
        let given_up: Vec<_> = self.open.iter().filter(|(_, open)| over(open)).collect();
        let given_up: Vec<_> = given_up.into_iter().map(|(id, _)| *id).collect();
        for id in given_up {
            self.open.remove(&id);
            out.push(ProposerOutput::Done(id, None));
        }
        for (id, open) in &mut self.open {
            if open.next > now {
                continue;
            }
            let target = self
                .leader
                .or_else(|| self.keepers.choose(&mut self.random).copied());
            let Some(target) = target else {
                continue;
            };
            open.next = now + ATTEMPT;
            // A leader that does not answer in time may be gone.
            self.leader = None;
            let edit = open.edit.clone();
            out.push(ProposerOutput::Send(
                target,
                StoreMsg::Propose { id: *id, edit },
            ));
        }
    }
}
