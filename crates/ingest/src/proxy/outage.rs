//! What a proxy has seen of leaders that do not answer and of partitions that
//! nobody keeps just now: where it sends nothing new, and for how long a
//! message that can go nowhere else waits.
use crate::prelude::*;

/// A leader that left a copy without a word gets nothing new for so long,
/// counted from the last such copy.
const AVOIDED: Span = Span::secs(2);
/// One that says that it is not the leader, so long.
const AVOIDED_ELSEWHERE: Span = Span::millis(500);
/// Silent for so long it is taken for lost: longer than a copy takes that goes
/// around a cut, whose answer would have ended the silence.
const LOST_AFTER: Span = Span::millis(300);
/// One message in so long is sent to a lost leader all the same, to hear when
/// it is back.
const PROBED: Span = Span::millis(150);
/// A planned hand-over leaves a partition without a leader for no longer. An
/// outage that has lasted longer is a failure, and lasts for a lease.
const HAND_OVER: Span = Span::millis(300);

/// A leader without a word.
#[derive(Clone, Copy, Debug)]
struct Silence {
    since: Time,
    avoided_until: Time,
    probed: Time,
}

/// Invariant: a leader or a partition is named here only while nothing heard
/// since has shown the contrary.
#[derive(Debug, Default)]
pub struct Outages {
    silent: BTreeMap<Daemon, Silence>,
    /// Partitions without a leader, and since when.
    unkept: BTreeMap<PartitionId, Time>,
}

impl Outages {
    /// A copy had no word of this leader for a while, or its line closed.
    pub fn note_silence(&mut self, leader: &Daemon, now: Time) {
        let until = now + AVOIDED;
        let known = self.silent.get(leader).filter(|silence| now < silence.avoided_until);
        let (since, probed) = known.map_or((now, now), |silence| (silence.since, silence.probed));
        self.silent.insert(leader.clone(), Silence { since, avoided_until: until, probed });
    }

    /// It answered that it does not keep the partition: nothing was written.
    pub fn note_elsewhere(&mut self, leader: Option<&Daemon>, place: &PartitionId, now: Time) {
        self.unkept.entry(place.clone()).or_insert(now);
        if let Some(leader) = leader {
            let silence = Silence { since: now, avoided_until: now + AVOIDED_ELSEWHERE, probed: now };
            self.silent.insert(leader.clone(), silence);
        }
    }

    /// A word of this leader came.
    pub fn heard(&mut self, leader: &Daemon) {
        self.silent.remove(leader);
    }

    /// A message was taken in this partition.
    pub fn taken(&mut self, place: &PartitionId) {
        self.unkept.remove(place);
    }

    /// Whether a message that may be kept elsewhere is not sent to it.
    pub fn avoids(&self, leader: &Daemon, now: Time) -> bool {
        self.silent.get(leader).is_some_and(|silence| now < silence.avoided_until)
    }

    /// Whether a message that only this leader may take is refused at once.
    /// One now and then is not, to hear when the leader is back.
    pub fn refuses(&mut self, leader: &Daemon, now: Time) -> bool {
        let Some(silence) = self.silent.get_mut(leader) else { return false };
        let lost = now < silence.avoided_until && now.since(silence.since) >= LOST_AFTER;
        if !lost || now.since(silence.probed) < PROBED {
            return lost;
        }
        silence.probed = now;
        false
    }

    /// For how long a message waits for a partition without a leader, of which
    /// no copy is on its way, when its verdict is wanted within `wanted`:
    /// through a hand-over, but not for the end of a failure, as it would be
    /// refused late then.
    pub fn patience(&self, place: &PartitionId, wanted: Span, now: Time) -> Span {
        let begun = self.unkept.get(place).copied().unwrap_or(now);
        match now.since(begun) < HAND_OVER {
            true => wanted.times(2),
            false => Span(wanted.0 / 4),
        }
    }
}
