//! Campaigns and votes.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    /// Asks for votes; first, with `pre_vote`, whether they would be granted.
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
            self.state.vote = Some(self.me().clone());
            self.dirty = true;
        }
        self.election_due = now + self.random_campaign_pause();
        self.votes = BTreeMap::from([(self.me().clone(), self.state.disk_id)]);
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

    /// Whether a leader is heard, so that nobody else is voted for.
    fn hears_leader(&self, now: Time) -> bool {
        if self.transferred == Some(self.state.term) {
            return false;
        }
        let leads = self.role == Role::Leader && self.lease_end().is_some_and(|end| now < end);
        leads || now.since(self.heard) < self.settings.timing.election_timeout
    }

    /// Any replica with a state of the group grants votes, whether or not its
    /// own log says that it is a voter: the candidate, whose log is no older,
    /// counts only those marks that its own configuration names.
    pub(super) fn on_vote_request(&mut self, from: Daemon, pre_vote: bool, term: Term, last: (Term, u64), now: Time) {
        if !self.state.initialized || self.hears_leader(now) {
            return;
        }
        if !pre_vote && term > self.state.term {
            self.adopt_term(term, now);
        }
        let up_to_date = last >= (self.state.last_term(), self.state.last_index());
        let free = match pre_vote {
            true => term > self.state.term,
            false => term == self.state.term && self.state.vote.as_ref().is_none_or(|vote| *vote == from),
        };
        let granted = up_to_date && free;
        if granted && !pre_vote {
            self.state.vote = Some(from.clone());
            self.dirty = true;
            self.election_due = now + self.random_election_timeout();
        }
        // A denial names our own term: a candidate that is behind would
        // otherwise ask for the same term again and again.
        let term = if pre_vote && granted { term } else { self.state.term };
        let disk_id = self.state.disk_id;
        self.send(from, Message::VoteResponse { pre_vote, term, granted, disk_id });
    }

    pub(super) fn on_vote_response(&mut self, from: Daemon, pre_vote: bool, term: Term, granted: bool, disk_id: Mark, now: Time) {
        let denied_before_campaign = pre_vote && !granted && self.role == Role::PreCandidate;
        if (!pre_vote || denied_before_campaign) && term > self.state.term {
            return self.adopt_term(term, now);
        }
        let wanted = match (pre_vote, self.role) {
            (true, Role::PreCandidate) => Term(self.state.term.0 + 1),
            (false, Role::Candidate) => self.state.term,
            _ => return,
        };
        if granted && term == wanted {
            self.votes.insert(from, disk_id);
            self.count_votes(now);
        }
    }

    /// Follows a later term; a vote of the earlier one is over.
    pub(super) fn adopt_term(&mut self, term: Term, now: Time) {
        if term > self.state.term {
            self.state.term = term;
            self.state.vote = None;
            self.dirty = true;
        }
        self.rest(now);
    }

    pub(super) fn on_transfer_leadership(&mut self, from: &Daemon, term: Term, now: Time) {
        let from_leader = self.leader.as_ref() == Some(from);
        if term < self.state.term || !from_leader || self.role != Role::Follower {
            return;
        }
        self.transferred = Some(term);
        // Several hear it: each waits by its place, so that one asks first.
        let names = self.configuration.voter_names();
        let others = names.iter().filter(|daemon| *daemon != from);
        let place = others.into_iter().position(|daemon| *daemon == self.settings.id).unwrap_or(0) as u64;
        self.election_due = now + Span(place * self.settings.timing.heartbeat.0 / 2);
        if place == 0 {
            self.campaign(true, now);
        }
    }
}
