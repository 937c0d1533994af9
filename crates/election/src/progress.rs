//! What the leader tracks about each other replica.
use crate::prelude::*;

/// The replication state of one voter or learner.
#[derive(Clone)]
pub(crate) struct Progress {
    /// Index of the next entry to send.
    pub next_index: u64,
    /// Index of the last entry known to be durable there and equal to the leader's.
    pub match_index: u64,
    /// The data directory for which `match_index` holds; 0 before the first response.
    pub disk_id: IncarnationId,
    /// When the latest request that was answered had been sent, by the leader's clock.
    pub last_acked_sent_at: Time,
    /// The replica asked for the snapshot.
    pub needs_snapshot: bool,
    /// The replica has answered since it was last silent, so entries may be sent to it.
    pub replicating: bool,
    /// When the entries or snapshot were sent that it has not answered yet.
    pub in_flight_since: Option<Time>,
    /// The address and zone that the replica announced. For a voter that a change
    /// removed, those of the previous configuration. `None` for a voter that
    /// never announced itself.
    pub announced_voter: Option<Voter>,
    /// When it last said that it is about to stop.
    pub leave_requested_at: Option<Time>,
    /// Since when the leader has tracked the replica.
    pub tracked_since: Time,
}

impl Progress {
    pub fn new(next_index: u64, now: Time) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            disk_id: IncarnationId(0),
            last_acked_sent_at: Time(0),
            needs_snapshot: false,
            replicating: false,
            in_flight_since: None,
            announced_voter: None,
            leave_requested_at: None,
            tracked_since: now,
        }
    }

    /// For how long the replica has not answered.
    pub fn silent_for(&self, now: Time) -> Span {
        now.since(self.last_acked_sent_at.max(self.tracked_since))
    }

    /// Records the disk id and send time of a response. Returns whether the
    /// response counts: a late one of an earlier data directory does not.
    pub fn record_response(&mut self, disk_id: IncarnationId, sent_at: Time) -> bool {
        if self.disk_id != disk_id {
            if self.disk_id != IncarnationId(0) && sent_at <= self.last_acked_sent_at {
                return false;
            }
            // The entries of the earlier data directory are lost.
            self.disk_id = disk_id;
            self.match_index = 0;
            self.leave_requested_at = None;
        }
        self.last_acked_sent_at = self.last_acked_sent_at.max(sent_at);
        self.in_flight_since = self.in_flight_since.filter(|since| sent_at < *since);
        true
    }

    /// Records the outcome of a request; the leader's log ends at `last_index`.
    pub fn apply_outcome(&mut self, outcome: AppendOutcome, last_index: u64) {
        self.replicating = true;
        match outcome {
            AppendOutcome::Accepted { match_index } => {
                self.match_index = self.match_index.max(match_index);
                self.next_index = self.match_index.min(last_index) + 1;
                self.needs_snapshot = false;
            }
            AppendOutcome::Mismatch { hint } => {
                self.next_index = hint.min(last_index) + 1;
                self.match_index = self.match_index.min(hint);
            }
            AppendOutcome::NeedsSnapshot => {
                self.needs_snapshot = true;
                self.match_index = 0;
            }
            AppendOutcome::StaleTerm => {}
        }
    }
}
