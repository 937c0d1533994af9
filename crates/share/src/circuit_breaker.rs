use crate::prelude::*;

/// Pauses what keeps failing, and lets one attempt probe it now and then.
/// Invariant: `pause` doubles with each failed probe, to its cap.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreaker {
    pub failures: u32,
    trip: u32,
    pause: Span,
    cap: Span,
    until: Time,
}

impl CircuitBreaker {
    pub fn new(trip: u32, cap: Span) -> CircuitBreaker {
        CircuitBreaker { failures: 0, trip, pause: Span::millis(250), cap, until: Time(0) }
    }
    pub fn is_open(&self, now: Time) -> bool {
        now < self.until
    }
    /// Open, or about to probe: one at a time.
    pub fn is_tripped(&self) -> bool {
        self.failures >= self.trip
    }
    /// True when this opens it.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < self.trip {
            return false;
        }
        self.until = now + self.pause;
        self.pause = Span((self.pause.0 * 2).min(self.cap.0));
        self.failures == self.trip
    }
    /// True when this shuts it.
    pub fn record_success(&mut self) -> bool {
        let was = self.is_tripped();
        *self = CircuitBreaker::new(self.trip, self.cap);
        was
    }
}
