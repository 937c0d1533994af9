//! What the leader knows of one other replica.
use crate::prelude::*;

/// A replica as the leader follows it, voter or learner.
#[derive(Clone)]
pub(crate) struct Progress {
    /// The next entry to send.
    pub next: u64,
    /// The last entry known to be durable there and equal to ours.
    pub match_index: u64,
    /// The data directory that `matched` speaks of.
    pub disk_id: Mark,
    /// The latest request, by our clock when it was sent, that was answered.
    pub heard: Time,
    /// It asked for the snapshot, or what it lacks is no longer in the log.
    pub needs_snapshot: bool,
    /// It answered since it was last silent: entries may be sent to it.
    pub replicating: bool,
    /// When entries or a snapshot were sent to it that it has not answered yet.
    pub in_flight: Option<Time>,
    /// As it announced itself, or as the configuration named it that it was
    /// left out of; `None` for a voter that never had to.
    pub announced: Option<Voter>,
    /// When it last said that it is about to stop.
    pub left: Option<Time>,
    /// When it was first followed, or last announced itself.
    pub since: Time,
}

impl Progress {
    pub fn new(next: u64, now: Time) -> Progress {
        Progress {
            next,
            match_index: 0,
            disk_id: Mark(0),
            heard: Time(0),
            needs_snapshot: false,
            replicating: false,
            in_flight: None,
            announced: None,
            left: None,
            since: now,
        }
    }

    /// How long it has not answered.
    pub fn silent_for(&self, now: Time) -> Span {
        now.since(self.heard.max(self.since))
    }

    /// Takes the mark and time of an answer; says whether the answer counts.
    /// A late answer of an earlier data directory is dropped.
    pub fn observe(&mut self, disk_id: Mark, sent_at: Time) -> bool {
        if self.disk_id != disk_id {
            if self.disk_id != Mark(0) && sent_at <= self.heard {
                return false;
            }
            // What the earlier directory held is gone.
            self.disk_id = disk_id;
            self.match_index = 0;
            self.left = None;
        }
        self.heard = self.heard.max(sent_at);
        self.in_flight = self.in_flight.filter(|begun| sent_at < *begun);
        true
    }

    /// Takes the outcome of a request, in a log that ends at `last_index`.
    pub fn advance(&mut self, outcome: AppendOutcome, last_index: u64) {
        self.replicating = true;
        match outcome {
            AppendOutcome::Accepted { match_index } => {
                self.match_index = self.match_index.max(match_index);
                self.next = self.match_index.min(last_index) + 1;
                self.needs_snapshot = false;
            }
            AppendOutcome::Mismatch { hint } => {
                self.next = hint.min(last_index) + 1;
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
