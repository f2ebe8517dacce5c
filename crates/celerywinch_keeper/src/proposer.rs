//! Proposal of operators' changes to the leader.

use std::collections::BTreeMap;
use std::time::Duration;

use celerywinch_catalogue::{Applied, ApplyError, Edit};
use celerywinch_types::{InstanceId, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::message::encode_edit;
use crate::{ProposalAnswer, ProposalId, StoreMsg};

/// How long to wait for an answer before another keeper is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(150);
/// The maximum delay before the next attempt, after an answer from a keeper that knows no leader.
const MAX_RETRY_DELAY_MS: u64 = 60;
/// The time limit of a proposal, over all attempts.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(8);

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposerOutput {
    /// Send a message.
    Send(InstanceId, StoreMsg),
    /// A proposal is complete; `None` means that it is not known whether the change was accepted.
    Done(ProposalId, Option<Result<Applied, ApplyError>>),
}

/// A proposal without an answer.
#[derive(Debug)]
struct PendingProposal {
    edit: Vec<u8>,
    started_at: Time,
    next_attempt: Time,
}

/// Sends changes to the leader, and retries until they are answered or their time limit has passed.
#[derive(Debug)]
pub struct Proposer {
    keepers: Vec<InstanceId>,
    leader: Option<InstanceId>,
    pending: BTreeMap<ProposalId, PendingProposal>,
    last_id: u64,
    random: ChaCha8Rng,
}

impl Proposer {
    /// Creates a proposer that sends to the given keepers, those of the settings.
    #[must_use]
    pub fn new(keepers: Vec<InstanceId>, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // Starts at a random number, so that an answer to an earlier incarnation of this process is not taken for an answer
        // to this one.
        let last_id = random.random_range(1..u64::MAX / 2);
        Self {
            keepers,
            leader: None,
            pending: BTreeMap::new(),
            last_id,
            random,
        }
    }

    /// Starts a proposal of a change and returns its id.
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
        self.last_id += 1;
        let id = ProposalId(self.last_id);
        let pending = PendingProposal {
            edit: encode_edit(edit)?,
            started_at: now,
            next_attempt: now,
        };
        self.pending.insert(id, pending);
        self.tick(now, out);
        Ok(id)
    }

    /// Handles the answer of a keeper.
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
                if self.pending.remove(&id).is_some() {
                    out.push(ProposerOutput::Done(id, Some(result)));
                }
            }
            ProposalAnswer::NotLeader(hint) => {
                let has_hint = hint.is_some_and(|hint| hint != from);
                self.leader = hint.filter(|hint| *hint != from);
                self.schedule_retry(now, id, has_hint);
                self.tick(now, out);
            }
            ProposalAnswer::Unknown => {
                self.leader = None;
                self.schedule_retry(now, id, false);
            }
        }
    }

    fn schedule_retry(&mut self, now: Time, id: ProposalId, immediately: bool) {
        let delay = if immediately {
            Duration::ZERO
        } else {
            Duration::from_millis(self.random.random_range(10..MAX_RETRY_DELAY_MS))
        };
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.next_attempt = now + delay;
        }
    }

    /// Gives up the proposals whose time limit has passed, and sends those whose next attempt is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<ProposerOutput>) {
        let expired = |pending: &PendingProposal| now.since(pending.started_at) >= PROPOSAL_TIMEOUT;
        let timed_out: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| expired(pending))
            .collect();
        let timed_out: Vec<_> = timed_out.into_iter().map(|(id, _)| *id).collect();
        for id in timed_out {
            self.pending.remove(&id);
            out.push(ProposerOutput::Done(id, None));
        }
        for (id, pending) in &mut self.pending {
            if pending.next_attempt > now {
                continue;
            }
            let target = self
                .leader
                .or_else(|| self.keepers.choose(&mut self.random).copied());
            let Some(target) = target else {
                continue;
            };
            pending.next_attempt = now + ATTEMPT_TIMEOUT;
            // The leader may be gone if it does not answer in time, so the attempt after this one goes to any keeper.
            self.leader = None;
            let edit = pending.edit.clone();
            out.push(ProposerOutput::Send(
                target,
                StoreMsg::Propose { id: *id, edit },
            ));
        }
    }
}
