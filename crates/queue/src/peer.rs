//! What a leader knows about one peer's copy of its partition.
use crate::prelude::*;

/// A backup that owes an acknowledgement may be silent for this many times its
/// recent slowest acknowledgement.
const SILENCE_PER_SLOWEST_ACK: u64 = 8;
/// Each acknowledgement reduces the remembered slowest time to this percentage, so
/// that old slow acknowledgements lose weight.
const SLOWEST_ACK_DECAY_PERCENT: u64 = 95;

/// How long a backup of one partition may be silent before it is replaced. The
/// minimum doubles each time a backup is replaced for being silent: otherwise slow
/// acknowledgements under overload would replace backups again and again, and each
/// replacement costs a copy, which adds to the load.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    pub min: Span,
    pub max: Span,
}

/// The minimum while no backup was replaced recently.
const INITIAL_MIN_SILENCE: Span = Span::millis(150);
/// The minimum halves after each such period without a replacement.
const MIN_SILENCE_HALVING_PERIOD: Span = Span::secs(10);

/// The minimum silence limit of one partition, and when it was last raised.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveMinSilence {
    min: Span,
    since: Time,
}

impl AdaptiveMinSilence {
    pub fn new(now: Time) -> AdaptiveMinSilence {
        AdaptiveMinSilence { min: INITIAL_MIN_SILENCE, since: now }
    }
    /// Records that a backup was replaced because it was silent.
    pub fn record_replacement(&mut self, max: Span, now: Time) {
        *self = AdaptiveMinSilence { min: self.current(now).times(2).min(max), since: now };
    }
    /// The minimum at `now`.
    pub fn current(&self, now: Time) -> Span {
        let halvings = (now.since(self.since).0 / MIN_SILENCE_HALVING_PERIOD.0).min(16);
        Span(self.min.0 >> halvings).max(INITIAL_MIN_SILENCE)
    }
}

/// How far one peer's copy is, and when it was last in contact.
#[derive(Clone, Debug, Default)]
pub struct PeerProgress {
    /// The data folder that the peer last reported.
    pub disk_id: IncarnationId,
    /// The last op of this epoch that it has synced; `None` until its copy is
    /// complete under this epoch.
    pub synced_op: Option<u64>,
    /// The last op that was sent to it.
    pub sent_op: u64,
    /// The ops that it lacks are no longer retained here, so it has to fetch a
    /// complete copy.
    pub must_fetch: bool,
    /// Since when it lacks an op.
    pub behind_since: Option<Time>,
    /// When it last acknowledged or answered.
    pub last_contact: Time,
    /// When it was last told to catch up or to fetch a copy.
    pub last_request: Time,
    /// The last op of an unacknowledged append, and when that was sent. Of several
    /// appends in flight only the first is timed.
    timed_append: Option<(u64, Time)>,
    /// The slowest recent acknowledgement.
    slowest_ack: Span,
}

impl PeerProgress {
    /// Records that ops up to `up_to` were sent to it.
    pub fn record_sent(&mut self, up_to: u64, now: Time) {
        self.sent_op = up_to;
        self.timed_append.get_or_insert((up_to, now));
    }

    /// Records that it has synced all ops up to `up_to`.
    pub fn record_ack(&mut self, up_to: u64, now: Time) {
        self.last_contact = now;
        let Some((_, sent)) = self.timed_append.filter(|timed| timed.0 <= up_to) else { return };
        self.timed_append = None;
        self.slowest_ack = self.slowest_ack.percent(SLOWEST_ACK_DECAY_PERCENT).max(now.since(sent));
    }

    /// Updates and returns whether it lacks any op up to `last_op`.
    pub fn update_behind(&mut self, last_op: u64, now: Time) -> bool {
        let behind = self.synced_op.is_none_or(|synced| synced < last_op);
        let since = self.timed_append.map_or(now, |timed| timed.1);
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(since));
        if !behind {
            self.timed_append = None;
        }
        behind
    }

    /// Whether it was silent for too long: since `since`, when it became a backup,
    /// and since it began to lack an op. Only a peer that has acknowledged as a
    /// backup gets less than the maximum.
    pub fn is_silent(&self, since: Time, limits: SilenceLimits, now: Time) -> bool {
        let has_acknowledged = self.synced_op.is_some() && self.last_contact > since && self.slowest_ack > Span::ZERO;
        let allowed = match has_acknowledged {
            true => self.slowest_ack.times(SILENCE_PER_SLOWEST_ACK).max(limits.min).min(limits.max),
            false => limits.max,
        };
        let behind_since = self.behind_since.or(self.timed_append.map(|timed| timed.1)).unwrap_or(now);
        now.since(self.last_contact.max(since).max(behind_since)) > allowed
    }
}
