//! How the injected faults alter messages and durable state.
use super::*;

impl World {
    /// An earlier implementation of snapshots: installing one empties the log,
    /// although the replica has acknowledged its entries.
    pub(super) fn clear_log(&mut self, machine: Machine, request: &AppendRequest<u32>) -> Result<(), Violation> {
        if self.fault != Some(InjectedFault::ClearsLogOnSnapshot) {
            return Ok(());
        }
        self.persist(machine)?;
        let state = state_with_cleared_log(&self.nodes[&machine].latest_state, request);
        self.restart_with_state(machine, state)
    }

    /// Restarts a replica with a state that a correct replica would not reach.
    pub(super) fn restart_with_state(&mut self, machine: Machine, state: HardState<u32>) -> Result<(), Violation> {
        let checker = Arc::make_mut(&mut self.checker);
        checker.on_write_issued(&state)?;
        checker.on_durable(&state)?;
        self.node_mut(machine).disk = state;
        self.start(machine);
        Ok(())
    }

    /// Restarts a replica with its disk as it was before the last entry and vote.
    pub(super) fn return_with_outdated_disk(&mut self, machine: Machine) -> Result<(), Violation> {
        let mut state = self.nodes[&machine].disk.clone();
        state.log.pop();
        state.vote = None;
        self.restart_with_state(machine, state)
    }

    /// Acknowledges a heartbeat that its receiver does not get, so that it renews
    /// the leader's lease.
    pub(super) fn acknowledge_undelivered(&mut self, from: Machine, to: Machine, message: &Message<u32>) {
        let Message::Append(request) = message else { return };
        let Some(receiver) = self.nodes.get(&to) else { return };
        let arrives = receiver.inbound_open && self.nodes.get(&from).is_none_or(|node| node.outbound_open);
        if arrives || self.fault != Some(InjectedFault::AcknowledgesUndelivered) {
            return;
        }
        let outcome = AppendOutcome::Accepted { match_index: request.previous_index };
        let answer =
            Message::AppendResponse { term: request.term, outcome, disk_id: receiver.disk.disk_id, sent_at: request.sent_at };
        let fingerprint = hash_of((to, from, hash_of_encoding(&answer)));
        self.pending.push(Arc::new(Envelope { from: to, to: from, message: answer, fingerprint }));
    }

    /// Whether this is such an acknowledgement; it also reaches an isolated leader.
    pub(super) fn is_forged_acknowledgement(&self, envelope: &Envelope) -> bool {
        let runs = self.nodes.get(&envelope.to).is_some_and(|node| node.replica.is_some());
        let is_answer = matches!(envelope.message, Message::AppendResponse { .. });
        runs && is_answer && self.fault == Some(InjectedFault::AcknowledgesUndelivered)
    }

    /// The message as it is delivered: with `CountsAnyDiskId`, a response carries
    /// the disk id of its sender in the receiver's configuration.
    pub(super) fn altered_message(&self, envelope: &Envelope) -> Message<u32> {
        let mut message = envelope.message.clone();
        if self.fault != Some(InjectedFault::CountsAnyDiskId) {
            return message;
        }
        let receiver = &self.nodes[&envelope.to].latest_state;
        let configuration = receiver.configuration_at(receiver.last_index()).1;
        let configured_id = configuration.voters.get(&name(envelope.from)).map(|voter| voter.disk_id);
        if let (Message::VoteResponse { disk_id, .. } | Message::AppendResponse { disk_id, .. }, Some(configured_id)) =
            (&mut message, configured_id)
        {
            *disk_id = configured_id;
        }
        message
    }

    /// Sends entries one at a time, and in a separate message the index up to
    /// which a quorum holds them, whatever their term, as the commit index.
    pub(super) fn commit_earlier_terms(&mut self, from: Machine, to: Machine, request: &mut AppendRequest<u32>) {
        request.entries.truncate(1);
        let state = &self.nodes[&from].latest_state;
        let quorum_index =
            (1..=state.last_index()).rev().find(|index| self.checker.was_held_by_quorum(*index, state)).unwrap_or(0);
        if quorum_index > request.commit_index && request.snapshot.is_none() {
            let early_commit = AppendRequest { commit_index: quorum_index, entries: Vec::new(), ..request.clone() };
            self.enqueue(from, to, Message::Append(early_commit));
        }
    }
}
