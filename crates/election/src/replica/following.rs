//! The follower and learner: copying the leader's log.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    pub(super) fn on_append(&mut self, from: Daemon, request: AppendRequest<C>, now: Time) {
        let sent_at = request.sent_at;
        let outcome = self.handle_append(&from, request, now);
        let (term, disk_id) = (self.state.term, self.state.disk_id);
        self.send(from, Message::AppendResponse { term, outcome, disk_id, sent_at });
    }

    fn handle_append(&mut self, from: &Daemon, request: AppendRequest<C>, now: Time) -> AppendOutcome {
        if request.term < self.state.term {
            return AppendOutcome::StaleTerm;
        }
        self.follow_leader(from, request.term, now);
        let AppendRequest { previous_index, previous_term, snapshot, entries, commit_index, .. } = request;
        if let Some(snapshot) = snapshot {
            self.install_snapshot(snapshot);
        }
        if !self.state.initialized {
            return AppendOutcome::NeedsSnapshot;
        }
        let covered_by_snapshot = previous_index < self.state.snapshot.index;
        if !covered_by_snapshot && self.state.term_at(previous_index) != Some(previous_term) {
            let hint = self.commit_index.min(previous_index.saturating_sub(1));
            return AppendOutcome::Mismatch { hint };
        }
        let match_index = previous_index + entries.len() as u64;
        self.store_entries(previous_index, entries);
        self.commit_and_apply(commit_index.min(match_index));
        self.become_passive(now);
        // Entries that the snapshot covers are committed, so they equal every leader's.
        AppendOutcome::Accepted { match_index: match_index.max(self.state.snapshot.index) }
    }

    fn follow_leader(&mut self, leader: &Daemon, term: Term, now: Time) {
        if term > self.state.term || !matches!(self.role, Role::Follower | Role::Learner) {
            self.adopt_term(term, now);
        }
        self.leader_heard_at = now;
        self.election_deadline = now + self.random_election_timeout();
        self.leader = Some(leader.clone());
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        if self.state.initialized && snapshot.index <= self.applied_index {
            return;
        }
        self.applied_index = snapshot.index;
        self.commit_index = self.commit_index.max(snapshot.index);
        self.state.install_snapshot(snapshot);
        self.dirty = true;
        self.actions.push(Action::InstallSnapshot(self.state.snapshot.clone()));
        self.refresh_configuration();
    }

    fn store_entries(&mut self, previous_index: u64, entries: Vec<Entry<C>>) {
        let mut changed = false;
        for (index, entry) in (previous_index + 1..).zip(entries) {
            let already_stored = index <= self.state.snapshot.index || self.state.term_at(index) == Some(entry.term);
            if already_stored {
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

    /// Raises the commit index and applies the entries up to it.
    pub(super) fn commit_and_apply(&mut self, commit_index: u64) {
        self.commit_index = self.commit_index.max(commit_index);
        while self.applied_index < self.commit_index {
            let Some(entry) = self.state.entry(self.applied_index + 1) else { return };
            self.applied_index += 1;
            if let Command::Apply(command) = &entry.command {
                self.actions.push(Action::Apply(self.applied_index, entry.term, command.clone()));
            }
        }
    }
}
