//! Whether this process stood still: frozen, or kept from its processor. What
//! others said meanwhile lies unread in its sockets when it goes on.
use crate::prelude::*;

/// Steps come each 20 ms at least; a longer gap than this is a standstill.
const GAP: Span = Span::millis(500);
/// So long after it what lay unread is still being read.
const CATCHING_UP: Span = Span::millis(500);

/// Notices standstills by the gaps between steps.
#[derive(Debug, Default)]
pub struct Standstill {
    /// The step before this one.
    last: Option<Time>,
    /// When the process went on, and how long it had stood still.
    latest: Option<(Time, Span)>,
}

impl Standstill {
    /// Notes that a step begins.
    pub fn note_step(&mut self, now: Time) {
        let gap = self.last.map_or(Span::ZERO, |last| now.since(last));
        self.last = Some(now);
        if gap > GAP {
            self.latest = Some((now, gap));
        }
    }

    /// How long a word that is read now may have lain unread because the
    /// process stood still; zero when all of them have been read.
    pub fn unread(&self, now: Time) -> Span {
        match self.latest {
            Some((woke, lasted)) if now.since(woke) < CATCHING_UP => lasted + now.since(woke),
            _ => Span::ZERO,
        }
    }

    /// Whether words from before may still lie unread.
    pub fn is_catching_up(&self, now: Time) -> bool {
        self.unread(now) > Span::ZERO
    }
}
