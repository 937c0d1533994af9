//! What a keeper knows of one sibling's copy of its partition.
use crate::prelude::*;

/// A mate that owes an acknowledgement may be silent for so many times what
/// one takes, and for no less than this.
const ACKNOWLEDGEMENTS_WAITED: u64 = 8;
const PATIENCE_LEAST: Span = Span::millis(150);
/// With each acknowledgement that was faster, the slowest one remembered
/// counts for so many parts of a hundred.
const SLOWEST_KEPT: u64 = 95;

#[derive(Clone, Debug, Default)]
pub struct Sib {
    pub mark: Mark,
    /// Ops of this epoch it has synced; `None` until it is whole under it.
    pub have: Option<u64>,
    pub sent: u64,
    /// The ops it lacks are no longer kept here.
    pub short: bool,
    /// Since when it lacks something.
    pub owed: Option<Time>,
    pub heard: Time,
    pub asked: Time,
    /// The last op of a frame that it has not acknowledged, and when that was
    /// sent. Of several under way only the first is timed.
    timed: Option<(u64, Time)>,
    /// How long an acknowledgement takes: the slowest of late.
    slowest: Span,
}

impl Sib {
    /// Ops up to `upto` were sent to it.
    pub fn note_sent(&mut self, upto: u64, now: Time) {
        self.sent = upto;
        self.timed.get_or_insert((upto, now));
    }

    /// It has synced all ops up to `upto`.
    pub fn note_acknowledged(&mut self, upto: u64, now: Time) {
        self.heard = now;
        let Some((_, sent)) = self.timed.filter(|timed| timed.0 <= upto) else { return };
        self.timed = None;
        self.slowest = self.slowest.percent(SLOWEST_KEPT).max(now.since(sent));
    }

    /// Notes whether it lacks something of what was written up to `top`.
    pub fn note_behind(&mut self, top: u64, now: Time) -> bool {
        let behind = self.have.is_none_or(|have| have < top);
        let since = self.timed.map_or(now, |timed| timed.1);
        self.owed = behind.then(|| self.owed.unwrap_or(since));
        if !behind {
            self.timed = None;
        }
        behind
    }

    /// Whether it was silent for too long since `since`, when it became a mate,
    /// and since it lacks something. One that copies the whole is given
    /// `longest`.
    pub fn is_silent(&self, since: Time, longest: Span, now: Time) -> bool {
        let patience = match self.have {
            Some(_) => self.slowest.times(ACKNOWLEDGEMENTS_WAITED).max(PATIENCE_LEAST).min(longest),
            None => longest,
        };
        let owed = self.owed.or(self.timed.map(|timed| timed.1)).unwrap_or(now);
        now.since(self.heard.max(since).max(owed)) > patience
    }
}
