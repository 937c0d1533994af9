//! Where deliberate faults touch messages and durable state.
use super::*;

impl World {
    /// The earlier rule for snapshots: the log is emptied, and what the
    /// replica has answered stands.
    pub(super) fn clear_log(&mut self, machine: Machine, request: &AppendRequest<u32>) -> Result<(), Violation> {
        if self.breakage != Some(Breakage::ClearsLogOnSnapshot) {
            return Ok(());
        }
        self.persist(machine)?;
        let state = cleared_log(&self.nodes[&machine].latest, request);
        self.replace_state(machine, state)
    }

    /// Restarts a replica with a state that it would not have come to itself.
    pub(super) fn replace_state(&mut self, machine: Machine, state: HardState<u32>) -> Result<(), Violation> {
        let ledger = Arc::make_mut(&mut self.ledger);
        ledger.on_state(&state)?;
        ledger.on_durable(&state)?;
        self.node_mut(machine).disk = state;
        self.start(machine);
        Ok(())
    }

    /// Its disk as it was before the last entry and the last vote.
    pub(super) fn return_with_older_disk(&mut self, machine: Machine) -> Result<(), Violation> {
        let mut state = self.nodes[&machine].disk.clone();
        state.log.pop();
        state.vote = None;
        self.replace_state(machine, state)
    }

    /// A heartbeat that its receiver does not hear renews the leader's lease.
    pub(super) fn answer_for_the_deaf(&mut self, from: Machine, to: Machine, message: &Message<u32>) {
        let Message::Append(request) = message else { return };
        let Some(receiver) = self.nodes.get(&to) else { return };
        let arrives = receiver.hears && self.nodes.get(&from).is_none_or(|node| node.is_heard);
        if arrives || self.breakage != Some(Breakage::AnswersForTheDeaf) {
            return;
        }
        let outcome = AppendOutcome::Accepted { match_index: request.previous_index };
        let answer =
            Message::AppendResponse { term: request.term, outcome, disk_id: receiver.disk.disk_id, sent_at: request.sent_at };
        let fingerprint = hash_of((to, from, hash_of_encoding(&answer)));
        self.pending.push(Arc::new(Envelope { from: to, to: from, message: answer, fingerprint }));
    }

    /// These reach a leader that is cut off.
    pub(super) fn is_answer_for_the_deaf(&self, envelope: &Envelope) -> bool {
        let runs = self.nodes.get(&envelope.to).is_some_and(|node| node.replica.is_some());
        let is_answer = matches!(envelope.message, Message::AppendResponse { .. });
        runs && is_answer && self.breakage == Some(Breakage::AnswersForTheDeaf)
    }

    pub(super) fn altered_at_delivery(&self, envelope: &Envelope) -> Message<u32> {
        let mut message = envelope.message.clone();
        if self.breakage != Some(Breakage::CountsAnyMark) {
            return message;
        }
        let receiver = &self.nodes[&envelope.to].latest;
        let configuration = receiver.configuration_at(receiver.last_index()).1;
        let named = configuration.voters.get(&name(envelope.from)).map(|voter| voter.disk_id);
        if let (Message::VoteResponse { disk_id, .. } | Message::AppendResponse { disk_id, .. }, Some(named)) =
            (&mut message, named)
        {
            *disk_id = named;
        }
        message
    }

    /// Sends entries one by one, and the news of what a quorum holds, whatever
    /// its term, in a message of its own.
    pub(super) fn send_earlier_commit(&mut self, from: Machine, to: Machine, request: &mut AppendRequest<u32>) {
        request.entries.truncate(1);
        let state = &self.nodes[&from].latest;
        let counted = (1..=state.last_index()).rev().find(|index| self.ledger.counted(*index, state)).unwrap_or(0);
        if counted > request.commit_index && request.snapshot.is_none() {
            let news = AppendRequest { commit_index: counted, entries: Vec::new(), ..request.clone() };
            self.post(from, to, Message::Append(news));
        }
    }
}
