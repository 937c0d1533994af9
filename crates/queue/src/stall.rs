//! Whether this process stood still: frozen, or kept from its processor. What
//! others said meanwhile lies unread in its sockets when it goes on.
use crate::prelude::*;

/// Steps come each 20 ms at least; a longer gap than this is a standstill.
const STALL_THRESHOLD: Span = Span::millis(500);
/// So long after it what lay unread is still being read.
const CATCH_UP_PERIOD: Span = Span::millis(500);

/// Notices standstills by the gaps between steps.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// The step before this one.
    last_step: Option<Time>,
    /// When the process went on, and how long it had stood still.
    latest_stall: Option<(Time, Span)>,
}

impl StallDetector {
    /// Notes that a step begins.
    pub fn record_step(&mut self, now: Time) {
        let gap = self.last_step.map_or(Span::ZERO, |last| now.since(last));
        self.last_step = Some(now);
        if gap > STALL_THRESHOLD {
            self.latest_stall = Some((now, gap));
        }
    }

    /// How long a word that is read now may have lain unread because the
    /// process stood still; zero when all of them have been read.
    pub fn max_read_delay(&self, now: Time) -> Span {
        match self.latest_stall {
            Some((woke, lasted)) if now.since(woke) < CATCH_UP_PERIOD => lasted + now.since(woke),
            _ => Span::ZERO,
        }
    }

    /// Whether words from before may still lie unread.
    pub fn is_catching_up(&self, now: Time) -> bool {
        self.max_read_delay(now) > Span::ZERO
    }
}
