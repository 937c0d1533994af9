//! How long an attempt that another leader handed out may still be under way.
use crate::prelude::*;

/// How much later than this store another leader may have learnt of a
/// configuration: none hands out what it can't confirm for longer.
const MAX_CONFIG_LAG: Span = Span::secs(3);
/// For clocks that run at different rates, in parts of a hundred.
const CLOCK_RATE_PERCENT: u64 = 110;

/// The longest that an attempt lasts from its hand-out, by any configuration
/// that a leader may have used lately.
/// Invariant: `earlier` only holds what is longer than what came after it.
#[derive(Debug, Default)]
pub struct LongestAttempt {
    current: Span,
    earlier: Vec<(Span, Time)>,
}

impl LongestAttempt {
    /// A configuration is in force by which an attempt lasts so long at most.
    pub fn set_current(&mut self, longest: Span, now: Time) {
        self.earlier.retain(|(_, until)| now < *until);
        if longest < self.current {
            self.earlier.push((self.current, now + self.current + MAX_CONFIG_LAG));
        }
        self.current = longest;
    }

    /// After this long, no attempt handed out before now is under way.
    pub fn failover_hold(&self, now: Time) -> Span {
        let earlier = self.earlier.iter().filter(|(_, until)| now < *until).map(|(longest, _)| *longest);
        earlier.fold(self.current, Span::max).percent(CLOCK_RATE_PERCENT)
    }
}
