use crate::prelude::*;

/// The warm-up of a new worker: it starts with few attempts, spaced out, and
/// gets more over time.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    pub started_at: Time,
    pub duration: Span,
    /// When an attempt was last started at the worker.
    pub last_start: Time,
}

/// Time between two starts on one slot when the warm-up begins; it falls to
/// zero by its end.
const FIRST_START_INTERVAL: Span = Span::millis(400);

impl WarmUp {
    /// Whether the worker is still warming up.
    pub fn is_warming(&self, now: Time) -> bool {
        now.since(self.started_at) < self.duration
    }
    /// How many attempts the worker may run at once now, counted over all
    /// daemons that send to it; `full` once it is warm.
    pub fn slots(&self, full: u32, now: Time) -> u32 {
        if !self.is_warming(now) {
            return full;
        }
        let elapsed = now.since(self.started_at).0;
        (u64::from(full) * elapsed / self.duration.0.max(1)).max(1) as u32
    }
    /// Whether a sender that has `own_slots` of the worker's `slots` may start
    /// an attempt: enough time must have passed since the last start for all
    /// senders together to keep the warm-up's pace.
    pub fn may_start(&self, slots: u32, own_slots: u32, now: Time) -> bool {
        if !self.is_warming(now) {
            return true;
        }
        let elapsed = now.since(self.started_at).0;
        let interval = FIRST_START_INTERVAL.0 * (self.duration.0 - elapsed) / self.duration.0.max(1);
        now.since(self.last_start).0 >= interval * u64::from(slots.max(1)) / u64::from(own_slots.max(1))
    }
}
