//! The leader: its lease, replication to other replicas, and commitment.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    pub(super) fn begin_term(&mut self, now: Time) {
        self.elected_at = now;
        self.next_heartbeat_at = now;
        self.leader = Some(self.own_id().clone());
        self.progress.clear();
        self.track_voters(now);
        self.actions.push(Action::BecameLeader(self.state.term));
        self.append_entry(Command::Noop);
    }

    /// Starts to track the progress of every other voter that is not tracked yet.
    pub(super) fn track_voters(&mut self, now: Time) {
        let next_index = self.state.last_index() + 1;
        for daemon in self.configuration.voter_names() {
            if daemon != self.settings.id {
                self.progress.entry(daemon).or_insert_with(|| Progress::new(next_index, now));
            }
        }
    }

    /// Whether this replica is the leader and may serve requests: it has applied
    /// an entry of its own term, has not given up leadership, and its lease,
    /// counted from when the answered heartbeats were sent, has not expired.
    pub fn is_active_leader(&self, now: Time) -> bool {
        self.role == Role::Leader
            && self.transferred_term != Some(self.state.term)
            && self.state.term_at(self.applied_index) == Some(self.state.term)
            && self.lease_end().is_some_and(|end| now < end)
    }

    /// When the lease expires that a quorum's responses give; `None` without a quorum.
    pub(super) fn lease_end(&self) -> Option<Time> {
        let lease_from = |daemon: &Daemon, disk_id: IncarnationId| {
            if *daemon == self.settings.id {
                return (disk_id == self.state.disk_id).then_some(Time(u64::MAX));
            }
            let progress = self.progress.get(daemon).filter(|p| p.disk_id == disk_id && p.last_acked_sent_at > Time(0))?;
            Some(progress.last_acked_sent_at + self.settings.timing.leader_lease())
        };
        self.configuration.quorum_value(lease_from)
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        if self.transferred_term == Some(self.state.term) {
            // No more heartbeats: they would keep the other voters from campaigning.
            if now >= self.next_heartbeat_at + self.settings.timing.election_timeout {
                self.become_passive(now);
            }
            return;
        }
        if self.leaving_since.is_some_and(|since| now.since(since) >= LEADER_LEAVE_TIMEOUT) {
            return self.begin_transfer(now);
        }
        let lease_expired = self.lease_end().is_none_or(|end| now >= end);
        if lease_expired && now.since(self.elected_at) > self.settings.timing.election_timeout.times(2) {
            self.leader = None;
            return self.become_passive(now);
        }
        if now >= self.next_heartbeat_at {
            self.drop_silent_learners(now);
            self.change_membership(now);
            self.replicate(now);
        }
    }

    /// Sends missing entries or a heartbeat to every voter, and to learners
    /// only every `HEARTBEATS_PER_LEARNER` heartbeats.
    pub(super) fn replicate(&mut self, now: Time) {
        if now >= self.next_heartbeat_at {
            self.heartbeat_rounds += 1;
            self.next_heartbeat_at = now + self.settings.timing.heartbeat;
        }
        let voters = self.configuration.voter_names();
        let include_learners = self.heartbeat_rounds.is_multiple_of(HEARTBEATS_PER_LEARNER);
        let targets: Vec<Daemon> =
            self.progress.keys().filter(|daemon| include_learners || voters.contains(*daemon)).cloned().collect();
        for daemon in targets {
            self.replicate_to(&daemon, now);
        }
    }

    /// Sends one replica its missing entries or the snapshot. A silent replica
    /// gets only a heartbeat, so that the same entries are not sent repeatedly.
    pub(super) fn replicate_to(&mut self, daemon: &Daemon, now: Time) {
        let may_send_entries = self.may_send_entries(daemon, now);
        let Some(progress) = self.progress.get_mut(daemon) else { return };
        if progress.silent_for(now) > self.settings.timing.disconnected_after() {
            progress.replicating = false;
        }
        let entries_compacted = progress.next_index <= self.state.snapshot.index;
        let replicating = progress.replicating && may_send_entries;
        let with_snapshot = replicating && (progress.needs_snapshot || entries_compacted);
        let previous_index = match with_snapshot {
            true => self.state.snapshot.index,
            false => (progress.next_index - 1).max(self.state.snapshot.index),
        };
        let last = if replicating { self.state.last_index() } else { previous_index };
        if with_snapshot || last > previous_index {
            progress.in_flight_since = Some(now);
        }
        let entries = (previous_index + 1..=last).filter_map(|index| self.state.entry(index).cloned());
        let request = AppendRequest {
            term: self.state.term,
            previous_index,
            previous_term: self.state.term_at(previous_index).unwrap_or_default(),
            snapshot: with_snapshot.then(|| self.state.snapshot.clone()),
            entries: entries.take(MAX_ENTRIES_PER_REQUEST).collect(),
            commit_index: self.commit_index,
            sent_at: now,
        };
        self.send(daemon.clone(), Message::Append(request));
    }

    /// Whether entries or a snapshot may be sent to this replica now. Voters
    /// always get them. There may be many learners, and the operators'
    /// configuration, which entries and snapshots carry, is large: sending it to
    /// all learners at once, and again with each heartbeat, would take more
    /// memory than the leader has. So a learner gets nothing more until it had
    /// time to answer, and at most `MAX_LEARNERS_IN_FLIGHT` learners are served
    /// at a time.
    fn may_send_entries(&self, daemon: &Daemon, now: Time) -> bool {
        if self.configuration.voter_names().contains(daemon) {
            return true;
        }
        let is_busy = |progress: &Progress| progress.in_flight_since.is_some_and(|sent_at| self.may_still_answer(sent_at, now));
        let busy = |name: &Daemon| self.progress.get(name).is_some_and(is_busy);
        let voters = self.configuration.voter_names();
        let busy_learners = self.progress.keys().filter(|name| !voters.contains(*name) && busy(name)).count();
        !busy(daemon) && busy_learners < MAX_LEARNERS_IN_FLIGHT
    }

    /// Whether a response to a request of `sent_at` can still be expected.
    fn may_still_answer(&self, sent_at: Time, now: Time) -> bool {
        now.since(sent_at) < self.settings.timing.election_timeout
    }

    /// Sends entries to further learners that need them. Called when a learner
    /// has answered.
    fn replicate_to_lagging_learners(&mut self, now: Time) {
        let last_index = self.state.last_index();
        let voters = self.configuration.voter_names();
        let is_lagging =
            |progress: &Progress| progress.replicating && (progress.needs_snapshot || progress.next_index <= last_index);
        let lagging = self.progress.iter().filter(|(name, progress)| !voters.contains(*name) && is_lagging(progress));
        for learner in lagging.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if self.may_send_entries(&learner, now) {
                self.replicate_to(&learner, now);
            }
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        from: Daemon,
        term: Term,
        outcome: AppendOutcome,
        disk_id: IncarnationId,
        sent_at: Time,
        now: Time,
    ) {
        if term > self.state.term {
            return self.adopt_term(term, now);
        }
        if self.role != Role::Leader || term < self.state.term || sent_at > now {
            return;
        }
        let last_index = self.state.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        let was_replicating = progress.replicating;
        if !progress.record_response(disk_id, sent_at) {
            return;
        }
        progress.apply_outcome(outcome, last_index);
        let is_lagging = progress.needs_snapshot || progress.next_index <= last_index;
        let rejected = !matches!(outcome, AppendOutcome::Accepted { .. });
        let is_learner = !self.configuration.is_voter(&from, disk_id);
        self.advance_commit(now);
        if is_learner {
            return self.replicate_to_lagging_learners(now);
        }
        if is_lagging && (rejected || !was_replicating) {
            self.replicate_to(&from, now);
        }
    }

    /// Commits the entries that a quorum holds durably, if the last of them is
    /// of the current term.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let durable_index_of = |daemon: &Daemon, disk_id: IncarnationId| {
            if *daemon == self.settings.id {
                return (disk_id == self.state.disk_id).then_some(self.durable_index);
            }
            self.progress.get(daemon).filter(|p| p.disk_id == disk_id).map(|p| p.match_index)
        };
        let Some(index) = self.configuration.quorum_value(durable_index_of) else { return };
        if index > self.commit_index && self.state.term_at(index) == Some(self.state.term) {
            self.commit_and_apply(index);
            self.complete_membership_change(now);
        }
    }

    /// Gives up leadership in favour of another voter, preferably the one with
    /// the most entries. All voters are told, so that they grant their votes
    /// before the election timeout.
    pub fn transfer_leadership(&mut self, now: Time) -> Vec<Action<C>> {
        self.begin_transfer(now);
        self.finish_step()
    }

    pub(super) fn begin_transfer(&mut self, now: Time) {
        if self.role != Role::Leader || self.transferred_term == Some(self.state.term) {
            return;
        }
        let term = self.state.term;
        self.replicate(now);
        self.transferred_term = Some(term);
        self.next_heartbeat_at = now + self.settings.timing.heartbeat;
        let is_voter = |daemon: &Daemon, progress: &Progress| self.configuration.is_voter(daemon, progress.disk_id);
        let mut voters: Vec<(u64, Daemon)> =
            self.progress.iter().filter(|(d, p)| is_voter(d, p)).map(|(d, p)| (p.match_index, d.clone())).collect();
        // The voter with the most entries is told first, so that it campaigns first.
        voters.sort_by(|a, b| b.cmp(a));
        for (_, daemon) in voters {
            self.send(daemon, Message::TransferLeadership { term });
        }
    }
}
