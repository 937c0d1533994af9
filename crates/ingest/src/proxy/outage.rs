//! What a proxy has observed of leaders that do not answer and of partitions without a
//! leader: which leaders get no new messages, and how long a message waits that can go
//! to no other partition.
use crate::prelude::*;

/// A leader that left a copy unanswered gets no new message for this long, counted from
/// the last such copy.
const AVOID_SILENT_FOR: Span = Span::secs(2);
/// A store that answers that it is not the leader gets no new message for this long.
const AVOID_NON_LEADER_FOR: Span = Span::millis(500);
/// A leader that is silent for this long counts as lost. Longer than a copy takes that is
/// relayed around a network partition, whose answer would have ended the silence.
const LOST_AFTER: Span = Span::millis(300);
/// One message per interval is still sent to a lost leader, to find out when it is back.
const PROBE_INTERVAL: Span = Span::millis(150);
/// A planned handover leaves a partition without a leader for at most this long. A longer
/// outage is a failure and lasts until the lease ends.
const MAX_HANDOVER: Span = Span::millis(300);

/// A leader that does not answer.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Time,
    avoided_until: Time,
    last_probe: Time,
}

/// Invariant: a leader or a partition is listed here only while no later answer has shown
/// that it works.
#[derive(Debug, Default)]
pub struct Outages {
    silent_leaders: BTreeMap<Daemon, Silence>,
    /// Partitions without a leader, and since when.
    leaderless_since: BTreeMap<PartitionId, Time>,
}

impl Outages {
    /// This leader left a copy unanswered for a while, or its connection closed.
    pub fn record_silence(&mut self, leader: &Daemon, now: Time) {
        let until = now + AVOID_SILENT_FOR;
        let earlier = self.silent_leaders.get(leader).filter(|silence| now < silence.avoided_until);
        let (since, last_probe) = earlier.map_or((now, now), |silence| (silence.since, silence.last_probe));
        self.silent_leaders.insert(leader.clone(), Silence { since, avoided_until: until, last_probe });
    }

    /// The store answered that it does not lead the partition; nothing was written.
    pub fn record_not_leader(&mut self, leader: Option<&Daemon>, partition: &PartitionId, now: Time) {
        self.leaderless_since.entry(partition.clone()).or_insert(now);
        if let Some(leader) = leader {
            let silence = Silence { since: now, avoided_until: now + AVOID_NON_LEADER_FOR, last_probe: now };
            self.silent_leaders.insert(leader.clone(), silence);
        }
    }

    /// An answer of this leader arrived.
    pub fn record_answer(&mut self, leader: &Daemon) {
        self.silent_leaders.remove(leader);
    }

    /// A message was accepted in this partition.
    pub fn record_accepted(&mut self, partition: &PartitionId) {
        self.leaderless_since.remove(partition);
    }

    /// Whether a message that may go to another partition is not sent to this leader.
    pub fn should_avoid(&self, leader: &Daemon, now: Time) -> bool {
        self.silent_leaders.get(leader).is_some_and(|silence| now < silence.avoided_until)
    }

    /// Whether a message that only this leader may accept is rejected at once. One message
    /// per `PROBE_INTERVAL` is not, to find out when the leader is back.
    pub fn should_reject(&mut self, leader: &Daemon, now: Time) -> bool {
        let Some(silence) = self.silent_leaders.get_mut(leader) else { return false };
        let lost = now < silence.avoided_until && now.since(silence.since) >= LOST_AFTER;
        if !lost || now.since(silence.last_probe) < PROBE_INTERVAL {
            return lost;
        }
        silence.last_probe = now;
        false
    }

    /// How long a message with no open copy waits for a partition without a leader, when
    /// its response is due within `target`: long enough for a planned handover, but not
    /// until the end of a failure, as it would then be rejected late.
    pub fn max_wait(&self, partition: &PartitionId, target: Span, now: Time) -> Span {
        let since = self.leaderless_since.get(partition).copied().unwrap_or(now);
        match now.since(since) < MAX_HANDOVER {
            true => target.times(2),
            false => Span(target.0 / 4),
        }
    }
}
