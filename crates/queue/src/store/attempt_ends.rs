//! What the log and the counts tell of attempts that did not end as their
//! leader counted on.
use crate::prelude::*;

impl Store {
    /// Attempts whose end passed without a word: their messages go on. After a
    /// standstill the words that lie unread are heard first.
    pub(super) fn lapse_overdue(&mut self, place: &PartitionId, now: Time) {
        if self.standstill.is_catching_up(now) {
            return;
        }
        let Some(own) = self.parts.get_mut(place).and_then(|p| p.leader_state.as_mut()) else { return };
        let mut over = Vec::new();
        for (seq, flight) in own.queues.take_overdue(now) {
            own.overdue_attempts.record_overdue(flight.attempt, flight.deadline);
            *self.mute.entry(flight.duty.clone()).or_default() += 1;
            over.extend(own.queues.ids.get(&seq).map(|id| (id.clone(), flight)));
        }
        for (id, flight) in over {
            self.counts.lapsed += 1;
            self.note(LogEvent::AttemptEndUnreported, format!("{place} {id} attempt {} at {}", flight.attempt, flight.delivery));
            self.lapsed(place, &id, now);
        }
    }

    /// Whether a record that was taken out of a line may be handed out: for
    /// work while its work is not over, for a call-back while one is owed. Any
    /// other must stand in no line.
    pub(super) fn may_hand_out(&mut self, place: &PartitionId, id: &MessageId, call_back: bool) -> bool {
        let stage = self.parts.get(place).and_then(|p| p.records.get(id)).map(|r| r.stage);
        let fits = match stage {
            Some(Stage::Pending) => !call_back,
            Some(Stage::SucceededAwaitingCallback | Stage::EndedAwaitingCallback(_)) => call_back,
            Some(Stage::Ended(_)) | None => false,
        };
        if fits {
            return true;
        }
        self.counts.ended_handed_out += 1;
        self.note(LogEvent::EndedMessageDequeued, format!("{place} {id}"));
        false
    }

    /// An open message that nothing would ever run again: it waits from now on,
    /// or until the rest at the opening is over.
    pub(super) fn let_in_again(&mut self, place: &PartitionId, id: &MessageId, now: Time) {
        let Some(p) = self.parts.get_mut(place) else { return };
        let (Some(own), Some(r)) = (p.leader_state.as_mut(), p.records.get(id)) else { return };
        own.queues.ids.insert(r.header.seq, id.clone());
        own.queues.enqueue_routed(&r.header.route, &r.header.key, own.hold_until.max(now), r.header.seq);
        self.counts.stranded += 1;
        self.note(LogEvent::StrandedMessageRequeued, format!("{place} {id}"));
    }

    /// Judges a success of an attempt that is not under way here.
    pub(super) fn judge_success(&mut self, from: &Daemon, told: &AttemptResult, now: Time) {
        let Some(p) = self.parts.get_mut(&told.partition) else { return };
        let Some(own) = p.leader_state.as_mut() else { return };
        let unread = self.standstill.max_read_delay(now);
        let Some(late) = own.overdue_attempts.classify_success(told, own.epoch, own.hold_until, unread, now) else { return };
        let seq = p.records.get(&told.id).map(|r| r.header.seq);
        let again = seq.and_then(|seq| own.queues.in_flight.get(&seq)).map(|f| f.attempt);
        let again = again.map_or(String::from("none under way now"), |n| format!("attempt {n} under way now"));
        let text =
            format!("{} {} attempt {} of epoch {} at {from}: {late}, {again}", told.partition, told.id, told.attempt, told.epoch);
        let note = match late.is_violation() {
            true => {
                self.counts.outlived += 1;
                LogEvent::AttemptOverran
            }
            false => {
                self.counts.told_late += 1;
                LogEvent::LateSuccess
            }
        };
        self.note(note, text);
    }
}
