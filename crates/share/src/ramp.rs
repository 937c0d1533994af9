use crate::prelude::*;

/// A fresh worker's warm-up: few at once and spaced out, then more.
#[derive(Clone, Copy, Debug)]
pub struct Ramp {
    pub since: Time,
    pub warm: Span,
    pub last: Time,
}

impl Ramp {
    /// How many it may run at once now, of `full`.
    pub fn slots(&self, full: u32, now: Time) -> u32 {
        let done = now.since(self.since).0;
        if done >= self.warm.0 {
            return full;
        }
        (u64::from(full) * done / self.warm.0.max(1)).max(1) as u32
    }
    /// Whether enough time has passed since the last start.
    pub fn spaced(&self, now: Time) -> bool {
        let done = now.since(self.since).0;
        if done >= self.warm.0 {
            return true;
        }
        let gap = 400_000 * (self.warm.0 - done) / self.warm.0.max(1);
        now.since(self.last).0 >= gap
    }
}
