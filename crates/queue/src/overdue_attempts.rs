//! Whether attempts end when their leader counts on it. A leader that heard
//! nothing of an attempt hands its message out again after the attempt's end;
//! that is safe only if no run of it goes on beyond that end.
use crate::prelude::*;

/// Attempts remembered after their end, and successes judged, at most.
const MAX_TRACKED_ATTEMPTS: usize = 4096;

/// What a success of an attempt that was taken for over shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateSuccess {
    /// It ended in time and was told late.
    ReportedLate { by: Span },
    /// It ran on beyond the end that its leader had set.
    EndedAfterDeadline { by: Span },
    /// It was handed out by an earlier leader, and ran on beyond the rest that
    /// its records were given when this one opened.
    EndedAfterHold { by: Span },
}

impl LateSuccess {
    /// Whether an attempt did not end when it had to.
    pub fn is_violation(self) -> bool {
        !matches!(self, LateSuccess::ReportedLate { .. })
    }
}

impl std::fmt::Display for LateSuccess {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LateSuccess::ReportedLate { by } => write!(f, "told {} ms after the attempt's end", by.as_millis()),
            LateSuccess::EndedAfterDeadline { by } => write!(f, "ended {} ms after the attempt's end", by.as_millis()),
            LateSuccess::EndedAfterHold { by } => write!(f, "ended {} ms after the rest at the opening", by.as_millis()),
        }
    }
}

/// The attempts of one leader's epoch that passed their end without a word.
/// Invariants: of each attempt a success is judged once; both are bounded.
#[derive(Debug, Default)]
pub struct OverdueAttempts {
    deadlines: BTreeMap<u64, Time>,
    classified: BTreeSet<(Epoch, u64)>,
}

impl OverdueAttempts {
    /// An attempt of this epoch passed its end without a word.
    pub fn record_overdue(&mut self, attempt: u64, end: Time) {
        self.deadlines.insert(attempt, end);
        if self.deadlines.len() > MAX_TRACKED_ATTEMPTS {
            self.deadlines.pop_first();
        }
    }

    /// Judges a success, told at `now`, of an attempt that is not under way by
    /// the leader's own account. `epoch` and `rest` are the leader's; `unread`
    /// is how long the word may have waited to be read here.
    pub fn classify_success(
        &mut self,
        told: &AttemptResult,
        epoch: Epoch,
        rest: Time,
        unread: Span,
        now: Time,
    ) -> Option<LateSuccess> {
        let ended = Time(now.0.saturating_sub(told.ended_ago.0 + unread.0));
        if told.epoch != epoch {
            let first = self.classified.insert((told.epoch, told.attempt));
            if self.classified.len() > MAX_TRACKED_ATTEMPTS {
                self.classified.pop_first();
            }
            return (first && ended > rest).then(|| LateSuccess::EndedAfterHold { by: ended.since(rest) });
        }
        let end = self.deadlines.remove(&told.attempt)?;
        match ended > end {
            true => Some(LateSuccess::EndedAfterDeadline { by: ended.since(end) }),
            false => Some(LateSuccess::ReportedLate { by: now.since(end) }),
        }
    }
}
