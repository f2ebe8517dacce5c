//! Pre-votes and elections.

use std::time::Duration;

use celerywinch_types::Time;

use super::{Output, Progress, Raft, Role};
use crate::{KeeperId, Payload, RaftMsg};

impl Raft {
    /// Starts a pre-vote when the election timeout has expired without contact with a leader.
    ///
    /// An election takes two writes in sequence, the candidate's vote and the voters' votes. With disks slower than the
    /// timeout, each election would be overtaken by the next one. So the timeout does not run while this keeper writes a
    /// vote, a candidate allows the voters as long as its own writes take, and a keeper that has granted a pre-vote waits as
    /// long for that candidate.
    pub(super) fn check_election_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.is_writing_vote() {
            self.last_contact = now;
            return;
        }
        let extension = if self.role == Role::Candidate {
            self.write_time * 2
        } else {
            Duration::ZERO
        };
        if now.since(self.last_contact) >= self.timeout + extension
            && self.pre_voted_candidate(now).is_none()
        {
            self.start_pre_vote(now, out);
        }
    }

    /// Returns the candidate whose election may be in progress because this keeper granted it a pre-vote.
    fn pre_voted_candidate(&self, now: Time) -> Option<KeeperId> {
        let span = self.config.election_timeout + self.write_time * 2;
        let recent = self.pre_voted.filter(|(_, at)| now.since(*at) < span);
        recent.map(|(candidate, _)| candidate)
    }

    /// Asks the voters whether they would vote for this keeper, before it raises the term.
    ///
    /// Without the pre-vote, a keeper that was cut off for long would come back with a high term and depose a working
    /// leader. With it, a keeper that cannot win raises no term. A keeper that is not a voter asks to rejoin instead.
    pub(super) fn start_pre_vote(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.is_voter() {
            self.last_contact = now;
            self.send_rejoin(out);
            return;
        }
        if self.role == Role::PreCandidate {
            self.send_rejoin(out);
        }
        self.role = Role::Follower(None);
        self.set_role(now, Role::PreCandidate, out);
        self.votes = vec![self.config.me];
        let msg = RaftMsg::PreVote {
            term: self.term + 1,
            last_log: (self.log.last_term(), self.log.last_index()),
        };
        self.send_to_voters(&msg, out);
        self.check_pre_votes(now, out);
    }

    pub(super) fn send_to_voters(&self, msg: &RaftMsg, out: &mut Vec<Output>) {
        let me = self.config.me;
        for voter in self.log.membership().voters.iter().filter(|v| **v != me) {
            self.send(*voter, msg.clone(), out);
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        last_log: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        if self.role == Role::Blank {
            return;
        }
        // A vote that is being written belongs to an election that may still succeed.
        let no_other = self
            .pre_voted_candidate(now)
            .is_none_or(|other| other == from);
        let free = no_other && !self.has_recent_leader(now) && !self.is_writing_vote();
        let granted = term > self.term && self.is_up_to_date(last_log) && free;
        if granted {
            self.pre_voted = Some((from, now));
        }
        let term = if granted { term } else { self.term };
        self.send(from, RaftMsg::PreVoteReply { term, granted }, out);
    }

    /// Returns whether this keeper leads or had contact with the leader within the election timeout, so that no other keeper
    /// should be elected.
    fn has_recent_leader(&self, now: Time) -> bool {
        match self.role {
            Role::Leader => true,
            Role::Follower(Some(_)) => now.since(self.last_contact) < self.config.election_timeout,
            _ => false,
        }
    }

    fn is_up_to_date(&self, last_log: (u64, u64)) -> bool {
        last_log >= (self.log.last_term(), self.log.last_index())
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if !granted {
            self.observe_term(now, term, None, out);
            return;
        }
        if self.role != Role::PreCandidate || term != self.term + 1 {
            return;
        }
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        self.check_pre_votes(now, out);
    }

    fn check_pre_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.has_vote_majority() {
            self.start_election(now, out);
        }
    }

    fn has_vote_majority(&self) -> bool {
        let membership = self.log.membership();
        let counted = self.votes.iter().filter(|v| membership.voters.contains(v));
        counted.count() >= membership.majority()
    }

    pub(super) fn start_election(&mut self, now: Time, out: &mut Vec<Output>) {
        // The vote is synced before any voter is asked, as this keeper must not vote for another one after a restart.
        self.enter_term(now, self.term + 1, Some(self.config.me), out);
        self.set_role(now, Role::Candidate, out);
    }

    /// Continues after the vote of this keeper was synced, if the term is still the same: replies to the candidate, or
    /// proceeds with its own election.
    pub(super) fn handle_vote_synced(&mut self, now: Time, vote: KeeperId, out: &mut Vec<Output>) {
        if vote != self.config.me {
            let granted = RaftMsg::VoteReply {
                term: self.term,
                granted: true,
            };
            self.send(vote, granted, out);
            return;
        }
        match self.role {
            Role::Blank => self.lead_first_term(now, out),
            Role::Candidate => self.request_votes(now, out),
            Role::Follower(_) | Role::PreCandidate | Role::Leader => {}
        }
    }

    fn request_votes(&mut self, now: Time, out: &mut Vec<Output>) {
        self.votes = vec![self.config.me];
        let msg = RaftMsg::Vote {
            term: self.term,
            last_log: (self.log.last_term(), self.log.last_index()),
        };
        self.send_to_voters(&msg, out);
        if self.has_vote_majority() {
            self.become_leader(now, out);
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        last_log: (u64, u64),
        out: &mut Vec<Output>,
    ) {
        if self.role == Role::Blank {
            return;
        }
        // As with a pre-vote, a working leader is not deposed.
        if self.has_recent_leader(now) && self.leader() != Some(from) && term > self.term {
            return;
        }
        self.observe_term(now, term, None, out);
        let free = self.voted_for.is_none() || self.voted_for == Some(from);
        let granted = term == self.term && free && self.is_up_to_date(last_log);
        if granted {
            // The reply is sent once the vote is synced, as this keeper must not vote for another one after a restart.
            self.last_contact = now;
            self.enter_term(now, term, Some(from), out);
            return;
        }
        let term = self.term;
        self.send(from, RaftMsg::VoteReply { term, granted }, out);
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        now: Time,
        from: KeeperId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        self.observe_term(now, term, None, out);
        if self.role != Role::Candidate || term != self.term || !granted {
            return;
        }
        if !self.votes.contains(&from) {
            self.votes.push(from);
        }
        if self.has_vote_majority() {
            self.become_leader(now, out);
        }
    }

    fn become_leader(&mut self, now: Time, out: &mut Vec<Output>) {
        self.set_role(now, Role::Leader, out);
        let next = self.log.last_index() + 1;
        let progress = Progress {
            next_index: next,
            match_index: 0,
            last_contact: now,
            snapshot_sent: Time::default(),
        };
        let others = self.other_keepers();
        self.progress = others
            .into_iter()
            .map(|keeper| (keeper, progress))
            .collect();
        // It was silent before this keeper became leader, and counts as lost soon.
        if let Some((leader, last_contact)) = self.former_leader
            && let Some(progress) = self.progress.get_mut(&leader)
        {
            progress.last_contact = last_contact;
        }
        // Entries of earlier terms are committed only together with an entry of this term.
        self.propose(now, Payload::Noop, out);
    }
}
