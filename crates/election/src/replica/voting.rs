//! Election campaigns and votes.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    /// Requests votes; with `pre_vote`, only asks whether they would be granted.
    pub(super) fn campaign(&mut self, pre_vote: bool, now: Time) {
        if !self.is_voter() {
            return self.become_role(Role::Learner, now);
        }
        self.leader = None;
        if pre_vote {
            self.become_role(Role::PreCandidate, now);
        } else {
            self.become_role(Role::Candidate, now);
            self.state.term = Term(self.state.term.0 + 1);
            self.state.vote = Some(self.own_id().clone());
            self.dirty = true;
        }
        self.election_deadline = now + self.random_campaign_retry_delay();
        self.votes = BTreeMap::from([(self.own_id().clone(), self.state.disk_id)]);
        let term = if pre_vote { Term(self.state.term.0 + 1) } else { self.state.term };
        let (last_index, last_term) = (self.state.last_index(), self.state.last_term());
        let mut others = self.configuration.voter_names();
        others.remove(&self.settings.id);
        for daemon in others {
            self.send(daemon, Message::VoteRequest { pre_vote, term, last_index, last_term });
        }
        self.count_votes(now);
    }

    fn count_votes(&mut self, now: Time) {
        let votes = &self.votes;
        if !self.configuration.has_quorum(|daemon, disk_id| votes.get(daemon) == Some(&disk_id)) {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false, now),
            Role::Candidate => {
                self.become_role(Role::Leader, now);
                self.replicate(now);
            }
            _ => {}
        }
    }

    /// Whether there is or recently was a leader, so that this replica votes
    /// for nobody else.
    fn has_recent_leader(&self, now: Time) -> bool {
        if self.transferred_term == Some(self.state.term) {
            return false;
        }
        let holds_lease = self.role == Role::Leader && self.lease_end().is_some_and(|end| now < end);
        holds_lease || now.since(self.leader_heard_at) < self.settings.timing.election_timeout
    }

    /// Every initialized replica grants votes, whether or not it is a voter by
    /// its own log. The candidate's log is at least as up to date, and the
    /// candidate counts only votes with the disk ids of its own configuration.
    pub(super) fn on_vote_request(&mut self, from: Daemon, pre_vote: bool, term: Term, candidate_last: (Term, u64), now: Time) {
        if !self.state.initialized || self.has_recent_leader(now) {
            return;
        }
        if !pre_vote && term > self.state.term {
            self.adopt_term(term, now);
        }
        let up_to_date = candidate_last >= (self.state.last_term(), self.state.last_index());
        let vote_available = match pre_vote {
            true => term > self.state.term,
            false => term == self.state.term && self.state.vote.as_ref().is_none_or(|vote| *vote == from),
        };
        let granted = up_to_date && vote_available;
        if granted && !pre_vote {
            self.state.vote = Some(from.clone());
            self.dirty = true;
            self.election_deadline = now + self.random_election_timeout();
        }
        // A denial carries this replica's term. Otherwise a candidate with an
        // earlier term would ask for the same term again and again.
        let term = if pre_vote && granted { term } else { self.state.term };
        let disk_id = self.state.disk_id;
        self.send(from, Message::VoteResponse { pre_vote, term, granted, disk_id });
    }

    pub(super) fn on_vote_response(
        &mut self,
        from: Daemon,
        pre_vote: bool,
        term: Term,
        granted: bool,
        disk_id: IncarnationId,
        now: Time,
    ) {
        let denied_before_campaign = pre_vote && !granted && self.role == Role::PreCandidate;
        if (!pre_vote || denied_before_campaign) && term > self.state.term {
            return self.adopt_term(term, now);
        }
        let expected_term = match (pre_vote, self.role) {
            (true, Role::PreCandidate) => Term(self.state.term.0 + 1),
            (false, Role::Candidate) => self.state.term,
            _ => return,
        };
        if granted && term == expected_term {
            self.votes.insert(from, disk_id);
            self.count_votes(now);
        }
    }

    /// Moves to a later term, if `term` is one, without a vote, and becomes passive.
    pub(super) fn adopt_term(&mut self, term: Term, now: Time) {
        if term > self.state.term {
            self.state.term = term;
            self.state.vote = None;
            self.dirty = true;
        }
        self.become_passive(now);
    }

    pub(super) fn on_transfer_leadership(&mut self, from: &Daemon, term: Term, now: Time) {
        let from_leader = self.leader.as_ref() == Some(from);
        if term < self.state.term || !from_leader || self.role != Role::Follower {
            return;
        }
        self.transferred_term = Some(term);
        // All voters get this message. Each waits in proportion to its rank by
        // name, so that one campaigns first.
        let names = self.configuration.voter_names();
        let others = names.iter().filter(|daemon| *daemon != from);
        let rank = others.into_iter().position(|daemon| *daemon == self.settings.id).unwrap_or(0) as u64;
        self.election_deadline = now + Span(rank * self.settings.timing.heartbeat.0 / 2);
        if rank == 0 {
            self.campaign(true, now);
        }
    }
}
