//! Elections.

use std::time::Duration;

use celerywinch_types::Time;

use super::{Output, Progress, Raft, Role};
use crate::{KeeperId, Payload, RaftMsg};

impl Raft {
    /// Stands for election once no leader was heard for long enough.
    ///
    /// An election takes two writes, the candidate's and the voters'. With disks slower than the timeout each election would be
    /// overtaken by the next one, so time in which this keeper writes a vote does not count, a candidate gives the voters
    /// as long as its own writes take, and whoever has backed one waits for it as long.
    pub(super) fn await_election(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.writes_vote() {
            self.heard = now;
            return;
        }
        let votes = if self.role == Role::Candidate {
            self.write_time * 2
        } else {
            Duration::ZERO
        };
        if now.since(self.heard) >= self.timeout + votes && self.backed_other(now).is_none() {
            self.stand(now, out);
        }
    }

    /// The candidate whose election may be under way, as this keeper said that it would be of use.
    fn backed_other(&self, now: Time) -> Option<KeeperId> {
        let span = self.config.election_timeout + self.write_time * 2;
        let backed = self.backed.filter(|(_, at)| now.since(*at) < span);
        backed.map(|(candidate, _)| candidate)
    }

    /// Time is up without a leader: asks first whether an election would be of use.
    ///
    /// A keeper that was cut off for long would otherwise come back with a high term and depose a
    /// leader that works. With the question, it raises no term while it cannot win.
    pub(super) fn stand(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.is_voter() {
            self.heard = now;
            self.ask_to_rejoin(out);
            return;
        }
        if self.role == Role::PreCandidate {
            self.ask_to_rejoin(out);
        }
        self.role = Role::Follower(None);
        self.set_role(now, Role::PreCandidate, out);
        self.votes = vec![self.config.me];
        let msg = RaftMsg::PreVote {
            term: self.term + 1,
            last: (self.log.last_term(), self.log.last_index()),
        };
        self.ask_voters(&msg, out);
        self.count_pre_votes(now, out);
    }

    pub(super) fn ask_voters(&self, msg: &RaftMsg, out: &mut Vec<Output>) {
        let me = self.config.me;
        for voter in self.log.membership().voters.iter().filter(|v| **v != me) {
            self.send(*voter, msg.clone(), out);
        }
    }

    pub(super) fn pre_vote(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        last: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        if self.role == Role::Blank {
            return;
        }
        // A vote that is being written belongs to an election that may still be won.
        let backs = self.backed_other(now).is_none_or(|other| other == from);
        let free = backs && !self.has_leader(now) && !self.writes_vote();
        let granted = term > self.term && self.up_to_date(last) && free;
        if granted {
            self.backed = Some((from, now));
        }
        let term = if granted { term } else { self.term };
        self.send(from, RaftMsg::PreVoteReply { term, granted }, out);
    }

    /// Whether a leader was heard of so lately that nobody should be elected in its place.
    fn has_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => true,
            Role::Follower(Some(_)) => now.since(self.heard) < self.config.election_timeout,
            _ => false,
        }
    }

    fn up_to_date(&self, last: (u64, u64)) -> bool {
        last >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn pre_vote_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if !granted {
            self.observe(now, term, None, out);
            return;
        }
        if self.role != Role::PreCandidate || term != self.term + 1 {
            return;
        }
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.count_pre_votes(now, out);
    }

    fn count_pre_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_votes() {
            self.ask_for_votes(now, out);
        }
    }

    fn has_votes(&self) -> bool {
        let membership = self.log.membership();
        let counted = self.votes.iter().filter(|v| membership.voters.contains(v));
        counted.count() >= membership.majority()
    }

    fn ask_for_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        // Synced before anyone is asked: after a restart this keeper must not vote for another.
        self.enter_term(now, self.term + 1, Some(self.config.me), out);
        self.set_role(now, Role::Candidate, out);
    }

    /// This keeper's vote for a keeper is synced, and the term is still the same.
    pub(super) fn voted(&mut self, now: Time, vote: KeeperId, out: &mut Vec<Output>) {
        if vote != self.config.me {
            let granted = RaftMsg::VoteReply {
                term: self.term,
                granted: true,
            };
            self.send(vote, granted, out);
            return;
        }
        match self.role {
            Role::Blank => self.appoint(now, out),
            Role::Candidate => self.count_own_vote(now, out),
            Role::Follower(_) | Role::PreCandidate | Role::Leader => {}
        }
    }

    fn count_own_vote(&mut self, now: Time, out: &mut Vec<Output>) {
        self.votes = vec![self.config.me];
        let msg = RaftMsg::Vote {
            term: self.term,
            last: (self.log.last_term(), self.log.last_index()),
        };
        self.ask_voters(&msg, out);
        if self.has_votes() {
            self.take_lead(now, out);
        }
    }

    pub(super) fn vote(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        last: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        if self.role == Role::Blank {
            return;
        }
        // As with the question before: a working leader is not deposed.
        if self.has_leader(now) && self.leader() != Some(from) && term > self.term {
            return;
        }
        self.observe(now, term, None, out);
        let free = self.vote.is_none() || self.vote == Some(from);
        let granted = term == self.term && free && self.up_to_date(last);
        if granted {
            // Told once it is synced: after a restart this keeper must not vote for another.
            self.heard = now;
            self.enter_term(now, term, Some(from), out);
            return;
        }
        let term = self.term;
        self.send(from, RaftMsg::VoteReply { term, granted }, out);
    }

    pub(super) fn vote_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        self.observe(now, term, None, out);
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        if self.has_votes() {
            self.take_lead(now, out);
        }
    }

    fn take_lead(&mut self, now: Time, out: &mut Vec<Output>) {
        self.set_role(now, Role::Leader, out);
        let next = self.log.last_index() + 1;
        let progress = Progress {
            next,
            matched: 0,
            heard: now,
            installing: Time::default(),
        };
        let others = self.others();
        self.progress = others
            .into_iter()
            .map(|keeper| (keeper, progress))
            .collect();
        // Entries of earlier terms are committed only together with one of this term.
        self.propose(now, Payload::Noop, out);
    }
}
