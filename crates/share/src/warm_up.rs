use crate::prelude::*;

/// A fresh worker's warm-up: few at once and spaced out, then more.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    pub started_at: Time,
    pub duration: Span,
    pub last_start: Time,
}

impl WarmUp {
    pub fn is_warming(&self, now: Time) -> bool {
        now.since(self.started_at) < self.duration
    }
    /// How many it may run at once now over all its senders, of `full`.
    pub fn slots(&self, full: u32, now: Time) -> u32 {
        if !self.is_warming(now) {
            return full;
        }
        let done = now.since(self.started_at).0;
        (u64::from(full) * done / self.duration.0.max(1)).max(1) as u32
    }
    /// Whether enough time has passed since the last start by a sender that
    /// has `mine` of the worker's `slots`: all together keep the ramp's pace.
    pub fn may_start(&self, slots: u32, mine: u32, now: Time) -> bool {
        if !self.is_warming(now) {
            return true;
        }
        let done = now.since(self.started_at).0;
        let gap = 400_000 * (self.duration.0 - done) / self.duration.0.max(1);
        now.since(self.last_start).0 >= gap * u64::from(slots.max(1)) / u64::from(mine.max(1))
    }
}
