//! How long an attempt that another leader dispatched may still be running.
use crate::prelude::*;

/// How much later than this store another leader may have received a
/// configuration: a leader that can't confirm its configuration for longer than
/// this dispatches nothing.
const MAX_CONFIG_LAG: Span = Span::secs(3);
/// Lengthens the hold by a tenth, because clocks run at different rates.
const CLOCK_RATE_PERCENT: u64 = 110;

/// The longest that an attempt can last from its dispatch, under any
/// configuration that some leader may have used recently.
/// Invariant: each duration in `earlier` is longer than the one that replaced it.
#[derive(Debug, Default)]
pub struct LongestAttempt {
    /// Under the current configuration.
    current: Span,
    /// Under earlier configurations, each with the time until which it counts.
    earlier: Vec<(Span, Time)>,
}

impl LongestAttempt {
    /// Records that under the configuration in force an attempt lasts `longest` at most.
    pub fn set_current(&mut self, longest: Span, now: Time) {
        self.earlier.retain(|(_, until)| now < *until);
        if longest < self.current {
            self.earlier.push((self.current, now + self.current + MAX_CONFIG_LAG));
        }
        self.current = longest;
    }

    /// How long a new leader waits before it dispatches messages that an earlier
    /// leader may have dispatched: after it, no attempt dispatched before `now` is
    /// still running.
    pub fn failover_hold(&self, now: Time) -> Span {
        let earlier = self.earlier.iter().filter(|(_, until)| now < *until).map(|(longest, _)| *longest);
        earlier.fold(self.current, Span::max).percent(CLOCK_RATE_PERCENT)
    }
}
