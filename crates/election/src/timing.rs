//! The intervals an election runs by.
use crate::prelude::*;

/// Invariant: `heartbeat * 3 <= election_timeout`. The leader's own lease is
/// the election timeout less the margin for clock drift, so it ends before any
/// replica that heard the leader would vote for another.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Between two heartbeats of the leader.
    pub heartbeat: Span,
    /// How long a replica that heard the leader votes for nobody else.
    pub election_timeout: Span,
    /// Clock rates differ by at most this percentage.
    pub drift_percent: u64,
    /// Entries kept before a snapshot replaces them.
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
    /// The leader's lease, counted from when it sent the heartbeat.
    pub fn leader_lease(&self) -> Span {
        self.election_timeout.percent(100 - 2 * self.drift_percent)
    }
    /// A replica that answered within this is taken to be connected.
    pub fn connected_within(&self) -> Span {
        self.election_timeout.times(2)
    }
}
