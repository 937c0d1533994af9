use crate::prelude::*;

/// Stops calls to a target that keeps failing, and lets one call through from
/// time to time to probe it.
///
/// Invariant: `pause` doubles with each failed probe, up to `max_pause`.
#[derive(Clone, Copy, Debug)]
pub struct CircuitBreaker {
    /// Failures since the last success.
    pub failures: u32,
    /// How many failures in a row open the breaker.
    failure_threshold: u32,
    /// How long the breaker stays open after the next failure.
    pause: Span,
    max_pause: Span,
    open_until: Time,
}

impl CircuitBreaker {
    pub fn new(failure_threshold: u32, max_pause: Span) -> CircuitBreaker {
        CircuitBreaker { failures: 0, failure_threshold, pause: Span::millis(250), max_pause, open_until: Time(0) }
    }
    /// Whether no calls are allowed now.
    pub fn is_open(&self, now: Time) -> bool {
        now < self.open_until
    }
    /// Whether the breaker is open or half-open. While half-open it allows one
    /// call at a time.
    pub fn is_tripped(&self) -> bool {
        self.failures >= self.failure_threshold
    }
    /// Records a failed call. Returns whether it opened a closed breaker.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < self.failure_threshold {
            return false;
        }
        self.open_until = now + self.pause;
        self.pause = Span((self.pause.0 * 2).min(self.max_pause.0));
        self.failures == self.failure_threshold
    }
    /// Records a successful call. Returns whether it closed the breaker.
    pub fn record_success(&mut self) -> bool {
        let was_tripped = self.is_tripped();
        *self = CircuitBreaker::new(self.failure_threshold, self.max_pause);
        was_tripped
    }
}
