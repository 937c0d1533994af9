//! What a leader knows of one peer's copy of its partition.
use crate::prelude::*;

/// A backup that owes an acknowledgement may be silent for so many times what
/// one takes.
const ACKNOWLEDGEMENTS_WAITED: u64 = 8;
/// With each acknowledgement that was faster, the slowest one remembered
/// counts for so many parts of a hundred.
const SLOWEST_KEPT: u64 = 95;

/// How long a backup of one partition may be silent. The shortest time doubles
/// each time one gives way for it, so that slow acknowledgements of a load that
/// is too high do not make backups change, which costs copies and adds to it.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    pub least: Span,
    pub longest: Span,
}

/// The shortest time where no backup has given way of late.
const PATIENCE_LEAST: Span = Span::millis(150);
/// After so long without one that gave way the shortest time halves.
const PATIENCE_EASED: Span = Span::secs(10);

/// The shortest time of one partition, and since when it stands.
#[derive(Clone, Copy, Debug)]
pub struct PatienceLeast {
    least: Span,
    since: Time,
}

impl PatienceLeast {
    pub fn new(now: Time) -> PatienceLeast {
        PatienceLeast { least: PATIENCE_LEAST, since: now }
    }
    /// A backup gave way because it was silent.
    pub fn note_given_way(&mut self, longest: Span, now: Time) {
        *self = PatienceLeast { least: self.now(now).times(2).min(longest), since: now };
    }
    /// The shortest time now.
    pub fn now(&self, now: Time) -> Span {
        let halvings = (now.since(self.since).0 / PATIENCE_EASED.0).min(16);
        Span(self.least.0 >> halvings).max(PATIENCE_LEAST)
    }
}

#[derive(Clone, Debug, Default)]
pub struct PeerProgress {
    pub mark: IncarnationId,
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

impl PeerProgress {
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

    /// Whether it was silent for too long since `since`, when it became a backup,
    /// and since it lacks something. Only one that was fast as a backup is given
    /// less than the longest time.
    pub fn is_silent(&self, since: Time, patience: Patience, now: Time) -> bool {
        let was_fast = self.have.is_some() && self.heard > since && self.slowest > Span::ZERO;
        let patience = match was_fast {
            true => self.slowest.times(ACKNOWLEDGEMENTS_WAITED).max(patience.least).min(patience.longest),
            false => patience.longest,
        };
        let owed = self.owed.or(self.timed.map(|timed| timed.1)).unwrap_or(now);
        now.since(self.heard.max(since).max(owed)) > patience
    }
}
