//! Taking over the leader's log.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    pub(super) fn on_append(&mut self, from: Daemon, request: AppendRequest<C>, now: Time) {
        let sent_at = request.sent_at;
        let outcome = self.take_append(&from, request, now);
        let (term, disk_id) = (self.state.term, self.state.disk_id);
        self.send(from, Message::AppendResponse { term, outcome, disk_id, sent_at });
    }

    fn take_append(&mut self, from: &Daemon, request: AppendRequest<C>, now: Time) -> AppendOutcome {
        if request.term < self.state.term {
            return AppendOutcome::StaleTerm;
        }
        self.follow(from, request.term, now);
        let AppendRequest { previous_index, previous_term, snapshot, entries, commit_index, .. } = request;
        if let Some(snapshot) = snapshot {
            self.take_snapshot(snapshot);
        }
        if !self.state.initialized {
            return AppendOutcome::NeedsSnapshot;
        }
        let covered = previous_index < self.state.snapshot.index;
        if !covered && self.state.term_at(previous_index) != Some(previous_term) {
            let hint = self.commit_index.min(previous_index.saturating_sub(1));
            return AppendOutcome::Mismatch { hint };
        }
        let match_index = previous_index + entries.len() as u64;
        self.take_entries(previous_index, entries);
        self.advance_applied(commit_index.min(match_index));
        self.rest(now);
        // Entries that the snapshot covers agree with every leader's.
        AppendOutcome::Accepted { match_index: match_index.max(self.state.snapshot.index) }
    }

    fn follow(&mut self, leader: &Daemon, term: Term, now: Time) {
        if term > self.state.term || !matches!(self.role, Role::Follower | Role::Learner) {
            self.adopt_term(term, now);
        }
        self.heard = now;
        self.election_due = now + self.random_election_timeout();
        self.leader = Some(leader.clone());
    }

    fn take_snapshot(&mut self, snapshot: Snapshot) {
        if self.state.initialized && snapshot.index <= self.applied {
            return;
        }
        self.applied = snapshot.index;
        self.commit_index = self.commit_index.max(snapshot.index);
        self.state.install(snapshot);
        self.dirty = true;
        self.actions.push(Action::InstallSnapshot(self.state.snapshot.clone()));
        self.refresh_configuration();
    }

    fn take_entries(&mut self, previous_index: u64, entries: Vec<Entry<C>>) {
        let mut changed = false;
        for (index, entry) in (previous_index + 1..).zip(entries) {
            let held = index <= self.state.snapshot.index || self.state.term_at(index) == Some(entry.term);
            if held {
                continue;
            }
            self.state.truncate_from(index);
            self.state.log.push(entry);
            changed = true;
        }
        if changed {
            self.dirty = true;
            self.refresh_configuration();
        }
    }

    /// Raises the commit index and applies what it covers.
    pub(super) fn advance_applied(&mut self, commit_index: u64) {
        self.commit_index = self.commit_index.max(commit_index);
        while self.applied < self.commit_index {
            let Some(entry) = self.state.entry(self.applied + 1) else { return };
            self.applied += 1;
            if let Command::Apply(command) = &entry.command {
                self.actions.push(Action::Apply(self.applied, entry.term, command.clone()));
            }
        }
    }
}
