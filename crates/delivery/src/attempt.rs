//! Attempts that a delivery daemon holds.
use crate::prelude::*;

/// Identifies an attempt: its partition, the leader's epoch and the leader's attempt
/// number. Unique over all leaders that a partition ever has.
pub type AttemptId = (PartitionId, Epoch, u64);

/// How far a held attempt has come.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptState {
    /// Waits for a free worker, endpoint or address.
    Waiting,
    Running(CallId),
    /// The outcome is known and is reported until the leader confirms that two stores have it.
    Ended {
        outcome: AttemptOutcome,
        ended_at: Time,
        /// When the outcome was last reported.
        reported_at: Time,
    },
}

/// An attempt that this daemon holds, from its offer until the leader confirms its
/// result. Invariant: no call for it is open after `deadline`.
#[derive(Clone, Debug)]
pub struct HeldAttempt {
    pub offer: Offer,
    pub state: AttemptState,
    pub deadline: Time,
}
