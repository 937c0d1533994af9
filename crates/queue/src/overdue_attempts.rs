//! Checks that attempts end by the deadline that their leader relies on. A leader
//! that receives no result of an attempt dispatches the message again after the
//! deadline; that is safe only if the earlier attempt is no longer running then.
use crate::prelude::*;

/// Most overdue attempts, and most classified successes, that are kept.
const MAX_TRACKED_ATTEMPTS: usize = 4096;

/// What the success of an attempt shows that was already considered over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateSuccess {
    /// It ended before its deadline, but was reported late.
    ReportedLate { by: Span },
    /// It was still running after the deadline that its leader had set.
    EndedAfterDeadline { by: Span },
    /// It was dispatched by an earlier leader, and was still running after the time
    /// until which this leader held inherited messages back.
    EndedAfterHold { by: Span },
}

impl LateSuccess {
    /// Whether the attempt was still running after its time limit.
    pub fn is_violation(self) -> bool {
        !matches!(self, LateSuccess::ReportedLate { .. })
    }
}

impl std::fmt::Display for LateSuccess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LateSuccess::ReportedLate { by } => write!(f, "reported {} ms after the attempt's deadline", by.as_millis()),
            LateSuccess::EndedAfterDeadline { by } => write!(f, "ended {} ms after the attempt's deadline", by.as_millis()),
            LateSuccess::EndedAfterHold { by } => write!(f, "ended {} ms after the hold on inherited messages", by.as_millis()),
        }
    }
}

/// The attempts of one leader's epoch whose deadline passed without a result.
/// Invariants: the success of an attempt is classified once; both collections are
/// bounded.
#[derive(Debug, Default)]
pub struct OverdueAttempts {
    /// Deadlines of the overdue attempts, by attempt.
    deadlines: BTreeMap<u64, Time>,
    /// Attempts of earlier epochs whose success was classified.
    classified: BTreeSet<(Epoch, u64)>,
}

impl OverdueAttempts {
    /// Records that the deadline of an attempt of this epoch passed without a result.
    pub fn record_overdue(&mut self, attempt: u64, deadline: Time) {
        self.deadlines.insert(attempt, deadline);
        if self.deadlines.len() > MAX_TRACKED_ATTEMPTS {
            self.deadlines.pop_first();
        }
    }

    /// Classifies a success, reported at `now`, of an attempt that this leader does
    /// not list as in flight. `epoch` and `hold_until` are the leader's; `read_delay`
    /// is how long the report may have waited unread in this process.
    pub fn classify_success(
        &mut self,
        result: &AttemptResult,
        epoch: Epoch,
        hold_until: Time,
        read_delay: Span,
        now: Time,
    ) -> Option<LateSuccess> {
        let ended_at = Time(now.0.saturating_sub(result.ended_ago.0 + read_delay.0));
        if result.epoch != epoch {
            let first = self.classified.insert((result.epoch, result.attempt));
            if self.classified.len() > MAX_TRACKED_ATTEMPTS {
                self.classified.pop_first();
            }
            return (first && ended_at > hold_until).then(|| LateSuccess::EndedAfterHold { by: ended_at.since(hold_until) });
        }
        let deadline = self.deadlines.remove(&result.attempt)?;
        match ended_at > deadline {
            true => Some(LateSuccess::EndedAfterDeadline { by: ended_at.since(deadline) }),
            false => Some(LateSuccess::ReportedLate { by: now.since(deadline) }),
        }
    }
}
