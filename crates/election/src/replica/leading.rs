//! The leader: its lease, replication, and what is committed.
use super::*;

impl<C: Clone + PartialEq> Replica<C> {
    pub(super) fn begin_term(&mut self, now: Time) {
        self.elected = now;
        self.heartbeat_due = now;
        self.leader = Some(self.me().clone());
        self.progress.clear();
        self.follow_voters(now);
        self.actions.push(Action::BecameLeader(self.state.term));
        self.append_entry(Command::Noop);
    }

    /// Keeps a progress for every other voter.
    pub(super) fn follow_voters(&mut self, now: Time) {
        let next = self.state.last_index() + 1;
        for daemon in self.configuration.voter_names() {
            if daemon != self.settings.id {
                self.progress.entry(daemon).or_insert_with(|| Progress::new(next, now));
            }
        }
    }

    /// Whether the leader may act now: an entry of its term is committed and
    /// its lease, counted from when heartbeats were sent, still runs.
    pub fn is_active_leader(&self, now: Time) -> bool {
        self.role == Role::Leader
            && self.transferred != Some(self.state.term)
            && self.state.term_at(self.applied) == Some(self.state.term)
            && self.lease_end().is_some_and(|end| now < end)
    }

    /// When the lease that a quorum's answers give ends; `None` without one.
    pub(super) fn lease_end(&self) -> Option<Time> {
        let answered = |daemon: &Daemon, disk_id: Mark| {
            if *daemon == self.settings.id {
                return (disk_id == self.state.disk_id).then_some(Time(u64::MAX));
            }
            let progress = self.progress.get(daemon).filter(|p| p.disk_id == disk_id && p.heard > Time(0))?;
            Some(progress.heard + self.settings.timing.leader_lease())
        };
        self.configuration.quorum_value(answered)
    }

    pub(super) fn tick_leader(&mut self, now: Time) {
        if self.transferred == Some(self.state.term) {
            // Heartbeats would keep the others from campaigning.
            if now >= self.heartbeat_due + self.settings.timing.election_timeout {
                self.rest(now);
            }
            return;
        }
        if self.leaving.is_some_and(|since| now.since(since) >= LEADER_LEAVES_WITHIN) {
            return self.begin_transfer(now);
        }
        let lost = self.lease_end().is_none_or(|end| now >= end);
        if lost && now.since(self.elected) > self.settings.timing.election_timeout.times(2) {
            self.leader = None;
            return self.rest(now);
        }
        if now >= self.heartbeat_due {
            self.forget_learners(now);
            self.change_membership(now);
            self.replicate(now);
        }
    }

    /// Sends every voter what it lacks, learners on every few heartbeats.
    pub(super) fn replicate(&mut self, now: Time) {
        if now >= self.heartbeat_due {
            self.heartbeats += 1;
            self.heartbeat_due = now + self.settings.timing.heartbeat;
        }
        let voters = self.configuration.voter_names();
        let learners_too = self.heartbeats.is_multiple_of(HEARTBEATS_PER_LEARNER);
        let targets: Vec<Daemon> =
            self.progress.keys().filter(|daemon| learners_too || voters.contains(*daemon)).cloned().collect();
        for daemon in targets {
            self.replicate_to(&daemon, now);
        }
    }

    /// Sends one replica what it lacks. To one that is silent only a
    /// heartbeat goes, not the same entries again and again.
    pub(super) fn replicate_to(&mut self, daemon: &Daemon, now: Time) {
        let may_carry = self.may_carry(daemon, now);
        let Some(progress) = self.progress.get_mut(daemon) else { return };
        if progress.silent_for(now) > self.settings.timing.connected_within() {
            progress.replicating = false;
        }
        let behind_log = progress.next <= self.state.snapshot.index;
        let replicating = progress.replicating && may_carry;
        let with_snapshot = replicating && (progress.needs_snapshot || behind_log);
        let previous_index = match with_snapshot {
            true => self.state.snapshot.index,
            false => (progress.next - 1).max(self.state.snapshot.index),
        };
        let last = if replicating { self.state.last_index() } else { previous_index };
        if with_snapshot || last > previous_index {
            progress.in_flight = Some(now);
        }
        let entries = (previous_index + 1..=last).filter_map(|index| self.state.entry(index).cloned());
        let request = AppendRequest {
            term: self.state.term,
            previous_index,
            previous_term: self.state.term_at(previous_index).unwrap_or_default(),
            snapshot: with_snapshot.then(|| self.state.snapshot.clone()),
            entries: entries.take(ENTRIES_PER_REQUEST).collect(),
            commit_index: self.commit_index,
            sent_at: now,
        };
        self.send(daemon.clone(), Message::Append(request));
    }

    /// Whether entries or a snapshot may be sent to this replica now. Voters
    /// always get them. There may be many learners, and a configuration is long:
    /// what is on its way to all of them at once, and again with each heartbeat,
    /// would be more than the leader's memory. So a learner gets nothing again
    /// before it had time to answer, and few get something at one time.
    fn may_carry(&self, daemon: &Daemon, now: Time) -> bool {
        if self.configuration.voter_names().contains(daemon) {
            return true;
        }
        let is_busy = |progress: &Progress| progress.in_flight.is_some_and(|begun| self.may_yet_answer(begun, now));
        let busy = |name: &Daemon| self.progress.get(name).is_some_and(is_busy);
        let voters = self.configuration.voter_names();
        let busy_learners = self.progress.keys().filter(|name| !voters.contains(*name) && busy(name)).count();
        !busy(daemon) && busy_learners < LEARNERS_AT_ONCE
    }

    fn may_yet_answer(&self, begun: Time, now: Time) -> bool {
        now.since(begun) < self.settings.timing.election_timeout
    }

    /// A learner has answered: another one that lacks something gets it.
    fn feed_learners(&mut self, now: Time) {
        let last_index = self.state.last_index();
        let voters = self.configuration.voter_names();
        let lacks = |progress: &Progress| progress.replicating && (progress.needs_snapshot || progress.next <= last_index);
        let lacking = self.progress.iter().filter(|(name, progress)| !voters.contains(*name) && lacks(progress));
        for learner in lacking.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            if self.may_carry(&learner, now) {
                self.replicate_to(&learner, now);
            }
        }
    }

    pub(super) fn on_append_response(
        &mut self,
        from: Daemon,
        term: Term,
        outcome: AppendOutcome,
        disk_id: Mark,
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
        if !progress.observe(disk_id, sent_at) {
            return;
        }
        progress.advance(outcome, last_index);
        let lacks = progress.needs_snapshot || progress.next <= last_index;
        let rejected = !matches!(outcome, AppendOutcome::Accepted { .. });
        let learner = !self.configuration.is_voter(&from, disk_id);
        self.advance_commit(now);
        if learner {
            return self.feed_learners(now);
        }
        if lacks && (rejected || !was_replicating) {
            self.replicate_to(&from, now);
        }
    }

    /// Commits what a quorum holds durably, in the current term only.
    pub(super) fn advance_commit(&mut self, now: Time) {
        let held = |daemon: &Daemon, disk_id: Mark| {
            if *daemon == self.settings.id {
                return (disk_id == self.state.disk_id).then_some(self.durable);
            }
            self.progress.get(daemon).filter(|p| p.disk_id == disk_id).map(|p| p.match_index)
        };
        let Some(index) = self.configuration.quorum_value(held) else { return };
        if index > self.commit_index && self.state.term_at(index) == Some(self.state.term) {
            self.advance_applied(index);
            self.complete_membership_change(now);
        }
    }

    /// The leader leaves: it acts no more, and the voter that holds most takes
    /// over. All voters are told, so that they vote for it.
    pub fn transfer_leadership(&mut self, now: Time) -> Vec<Action<C>> {
        self.begin_transfer(now);
        self.finish()
    }

    pub(super) fn begin_transfer(&mut self, now: Time) {
        if self.role != Role::Leader || self.transferred == Some(self.state.term) {
            return;
        }
        let term = self.state.term;
        self.replicate(now);
        self.transferred = Some(term);
        self.heartbeat_due = now + self.settings.timing.heartbeat;
        let is_voter = |daemon: &Daemon, progress: &Progress| self.configuration.is_voter(daemon, progress.disk_id);
        let mut voters: Vec<(u64, Daemon)> =
            self.progress.iter().filter(|(d, p)| is_voter(d, p)).map(|(d, p)| (p.match_index, d.clone())).collect();
        // The first told asks first.
        voters.sort_by(|a, b| b.cmp(a));
        for (_, daemon) in voters {
            self.send(daemon, Message::TransferLeadership { term });
        }
    }
}
