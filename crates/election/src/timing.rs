//! The intervals and timeouts of the election.
use crate::prelude::*;

/// Timeouts of the election and the snapshot threshold.
///
/// Invariant: `heartbeat * 3 <= election_timeout`. The leader's lease is the
/// election timeout minus a margin for clock drift, so it ends before any
/// replica that answered the leader votes for another candidate.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two heartbeats of the leader.
    pub heartbeat: Span,
    /// For this long after a message of the leader a replica votes for nobody else.
    pub election_timeout: Span,
    /// Clock rates differ by at most this percentage.
    pub drift_percent: u64,
    /// Applied entries that the log holds before a snapshot replaces them.
    pub entries_before_snapshot: usize,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat: Span::millis(200),
            election_timeout: Span::millis(900),
            drift_percent: 5,
            entries_before_snapshot: 64,
        }
    }
}

impl Timing {
    /// The length of the leader's lease, counted from when it sent the heartbeat.
    pub fn leader_lease(&self) -> Span {
        self.election_timeout.percent(100 - 2 * self.drift_percent)
    }
    /// A replica that has been silent for this long is treated as disconnected.
    pub fn disconnected_after(&self) -> Span {
        self.election_timeout.times(2)
    }
}
