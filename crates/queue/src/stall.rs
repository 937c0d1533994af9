//! Detects that this process was stalled: frozen, or not scheduled. Messages that
//! arrived during a stall are still unread in its sockets when it resumes.
use crate::prelude::*;

/// Steps come at least every 20 ms; a longer gap than this is a stall.
const STALL_THRESHOLD: Span = Span::millis(500);
/// How long after a stall the messages that arrived during it are still being read.
const CATCH_UP_PERIOD: Span = Span::millis(500);

/// Detects stalls by the gaps between steps.
#[derive(Debug, Default)]
pub struct StallDetector {
    /// When the previous step began.
    last_step: Option<Time>,
    /// When the process resumed, and how long it had been stalled.
    latest_stall: Option<(Time, Span)>,
}

impl StallDetector {
    /// Records that a step begins.
    pub fn record_step(&mut self, now: Time) {
        let gap = self.last_step.map_or(Span::ZERO, |last| now.since(last));
        self.last_step = Some(now);
        if gap > STALL_THRESHOLD {
            self.latest_stall = Some((now, gap));
        }
    }

    /// How long a message that is read now may have waited because the process
    /// was stalled; zero once all such messages have been read.
    pub fn max_read_delay(&self, now: Time) -> Span {
        match self.latest_stall {
            Some((resumed, duration)) if now.since(resumed) < CATCH_UP_PERIOD => duration + now.since(resumed),
            _ => Span::ZERO,
        }
    }

    /// Whether messages that arrived during a stall may still be unread.
    pub fn is_catching_up(&self, now: Time) -> bool {
        self.max_read_delay(now) > Span::ZERO
    }
}
