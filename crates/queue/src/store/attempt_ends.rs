//! Attempts that did not end as their leader expected: log events, counters and
//! requeueing.
use crate::prelude::*;

impl Store {
    /// Handles attempts whose deadline passed without a result: their messages go on.
    /// After this process has stalled, the messages that wait unread are processed
    /// first, as they may contain the results.
    pub(super) fn expire_overdue_attempts(&mut self, partition: &PartitionId, now: Time) {
        if self.stall_detector.is_catching_up(now) {
            return;
        }
        let Some(lead) = self.partitions.get_mut(partition).and_then(|part| part.leader_state.as_mut()) else { return };
        let mut expired = Vec::new();
        for (seq, dispatched) in lead.queues.take_overdue(now) {
            lead.overdue_attempts.record_overdue(dispatched.attempt, dispatched.deadline);
            *self.unreported_in_a_row.entry(dispatched.duty.clone()).or_default() += 1;
            expired.extend(lead.queues.ids.get(&seq).map(|id| (id.clone(), dispatched)));
        }
        for (id, dispatched) in expired {
            self.counts.unreported_attempts += 1;
            self.log(
                LogEvent::AttemptEndUnreported,
                format!("{partition} {id} attempt {} at {}", dispatched.attempt, dispatched.delivery),
            );
            self.on_attempt_expired(partition, &id, now);
        }
    }

    /// Whether a message taken from a ready queue may be dispatched: for an attempt while
    /// it is pending, for a call-back while one is owed. Any other message must not be in
    /// a queue, so that is logged as a fault.
    pub(super) fn may_dispatch(&mut self, partition: &PartitionId, id: &MessageId, is_callback: bool) -> bool {
        let stage = self.partitions.get(partition).and_then(|part| part.records.get(id)).map(|record| record.stage);
        let fits = match stage {
            Some(Stage::Pending) => !is_callback,
            Some(Stage::SucceededAwaitingCallback | Stage::EndedAwaitingCallback(_)) => is_callback,
            Some(Stage::Ended(_)) | None => false,
        };
        if fits {
            return true;
        }
        self.counts.ended_messages_dequeued += 1;
        self.log(LogEvent::EndedMessageDequeued, format!("{partition} {id}"));
        false
    }

    /// Puts a pending message that is in no queue back into its route's queue; otherwise
    /// nothing would ever run it again. It becomes due now, or when the waiting period
    /// after the opening ends.
    pub(super) fn requeue_stranded(&mut self, partition: &PartitionId, id: &MessageId, now: Time) {
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let (Some(lead), Some(record)) = (part.leader_state.as_mut(), part.records.get(id)) else { return };
        lead.queues.ids.insert(record.header.seq, id.clone());
        lead.queues.enqueue_routed(record.header.route_queue(), &record.header.key, lead.hold_until.max(now), record.header.seq);
        self.counts.stranded_requeued += 1;
        self.log(LogEvent::StrandedMessageRequeued, format!("{partition} {id}"));
    }

    /// Checks a success of an attempt that this leader does not consider in flight. Logs
    /// whether it was only reported late or ran past its deadline.
    pub(super) fn log_late_success(&mut self, from: &Daemon, result: &AttemptResult, now: Time) {
        let Some(part) = self.partitions.get_mut(&result.partition) else { return };
        let Some(lead) = part.leader_state.as_mut() else { return };
        let unread = self.stall_detector.max_read_delay(now);
        let Some(late) = lead.overdue_attempts.classify_success(result, lead.epoch, lead.hold_until, unread, now) else { return };
        let seq = part.records.get(&result.id).map(|record| record.header.seq);
        let current = seq.and_then(|seq| lead.queues.in_flight.get(&seq)).map(|f| f.attempt);
        let current = current.map_or(String::from("no attempt in flight now"), |n| format!("attempt {n} in flight now"));
        let text = format!(
            "{} {} attempt {} of epoch {} at {from}: {late}, {current}",
            result.partition, result.id, result.attempt, result.epoch
        );
        let event = match late.is_violation() {
            true => {
                self.counts.overrun_attempts += 1;
                LogEvent::AttemptOverran
            }
            false => {
                self.counts.late_successes += 1;
                LogEvent::LateSuccess
            }
        };
        self.log(event, text);
    }
}
