use crate::prelude::*;

/// At most so many sends in any window, whoever held the duty before.
///
/// A steady holder uses eight tenths of the allowance and a newcomer, for
/// its first window, nine hundredths: even two changes of holder inside one
/// window stay under the whole, with room for jitter on the way.
///
/// Invariant: `sent` holds the times of all sends inside the last window.
#[derive(Clone, Debug)]
pub struct Allowance {
    whole: u64,
    since: Time,
    sent: VecDeque<Time>,
}

/// The rule's 5 s and a quarter second for jitter between send and arrival.
pub const WINDOW: Span = Span::millis(5250);

impl Allowance {
    /// `rate` a second, by a holder that began at `since`.
    pub fn new(rate: u32, since: Time) -> Allowance {
        Allowance { whole: u64::from(rate) * 5, since, sent: VecDeque::new() }
    }
    /// A new charter states another rate; what was sent still counts.
    pub fn rate(&mut self, rate: u32) {
        self.whole = u64::from(rate) * 5;
    }
    fn most(&self, now: Time) -> u64 {
        match now.since(self.since) < WINDOW {
            true => (self.whole * 9 / 100).max(1),
            false => (self.whole * 80 / 100).max(1),
        }
    }
    /// How many may be sent now.
    pub fn room(&mut self, now: Time) -> u64 {
        while self.sent.front().is_some_and(|t| now.since(*t) >= WINDOW) {
            self.sent.pop_front();
        }
        self.most(now).saturating_sub(self.sent.len() as u64)
    }
    pub fn take(&mut self, now: Time) -> bool {
        if self.room(now) == 0 {
            return false;
        }
        self.sent.push_back(now);
        true
    }
}
