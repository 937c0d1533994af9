//! What a leader knows of one peer's copy of its partition.
use crate::prelude::*;

/// A backup that owes an acknowledgement may be silent for so many times what
/// one takes.
const SILENCE_PER_SLOWEST_ACK: u64 = 8;
/// With each acknowledgement that was faster, the slowest one remembered
/// counts for so many parts of a hundred.
const SLOWEST_ACK_DECAY_PERCENT: u64 = 95;

/// How long a backup of one partition may be silent. The shortest time doubles
/// each time one gives way for it, so that slow acknowledgements of a load that
/// is too high do not make backups change, which costs copies and adds to it.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    pub min: Span,
    pub max: Span,
}

/// The shortest time where no backup has given way of late.
const INITIAL_MIN_SILENCE: Span = Span::millis(150);
/// After so long without one that gave way the shortest time halves.
const MIN_SILENCE_HALVING_PERIOD: Span = Span::secs(10);

/// The shortest time of one partition, and since when it stands.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveMinSilence {
    min: Span,
    since: Time,
}

impl AdaptiveMinSilence {
    pub fn new(now: Time) -> AdaptiveMinSilence {
        AdaptiveMinSilence { min: INITIAL_MIN_SILENCE, since: now }
    }
    /// A backup gave way because it was silent.
    pub fn record_replacement(&mut self, longest: Span, now: Time) {
        *self = AdaptiveMinSilence { min: self.current(now).times(2).min(longest), since: now };
    }
    /// The shortest time now.
    pub fn current(&self, now: Time) -> Span {
        let halvings = (now.since(self.since).0 / MIN_SILENCE_HALVING_PERIOD.0).min(16);
        Span(self.min.0 >> halvings).max(INITIAL_MIN_SILENCE)
    }
}

#[derive(Clone, Debug, Default)]
pub struct PeerProgress {
    pub disk_id: IncarnationId,
    /// Ops of this epoch it has synced; `None` until it is whole under it.
    pub synced_op: Option<u64>,
    pub sent_op: u64,
    /// The ops it lacks are no longer kept here.
    pub must_fetch: bool,
    /// Since when it lacks something.
    pub behind_since: Option<Time>,
    pub last_contact: Time,
    pub last_request: Time,
    /// The last op of a frame that it has not acknowledged, and when that was
    /// sent. Of several under way only the first is timed.
    timed_append: Option<(u64, Time)>,
    /// How long an acknowledgement takes: the slowest of late.
    slowest_ack: Span,
}

impl PeerProgress {
    /// Ops up to `upto` were sent to it.
    pub fn record_sent(&mut self, upto: u64, now: Time) {
        self.sent_op = upto;
        self.timed_append.get_or_insert((upto, now));
    }

    /// It has synced all ops up to `upto`.
    pub fn record_ack(&mut self, upto: u64, now: Time) {
        self.last_contact = now;
        let Some((_, sent)) = self.timed_append.filter(|timed| timed.0 <= upto) else { return };
        self.timed_append = None;
        self.slowest_ack = self.slowest_ack.percent(SLOWEST_ACK_DECAY_PERCENT).max(now.since(sent));
    }

    /// Notes whether it lacks something of what was written up to `top`.
    pub fn update_behind(&mut self, top: u64, now: Time) -> bool {
        let behind = self.synced_op.is_none_or(|have| have < top);
        let since = self.timed_append.map_or(now, |timed| timed.1);
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(since));
        if !behind {
            self.timed_append = None;
        }
        behind
    }

    /// Whether it was silent for too long since `since`, when it became a backup,
    /// and since it lacks something. Only one that was fast as a backup is given
    /// less than the longest time.
    pub fn is_silent(&self, since: Time, patience: SilenceLimits, now: Time) -> bool {
        let was_fast = self.synced_op.is_some() && self.last_contact > since && self.slowest_ack > Span::ZERO;
        let patience = match was_fast {
            true => self.slowest_ack.times(SILENCE_PER_SLOWEST_ACK).max(patience.min).min(patience.max),
            false => patience.max,
        };
        let owed = self.behind_since.or(self.timed_append.map(|timed| timed.1)).unwrap_or(now);
        now.since(self.last_contact.max(since).max(owed)) > patience
    }
}
