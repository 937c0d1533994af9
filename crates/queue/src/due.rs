//! Messages of one route in one partition that wait to be handed out, and which
//! of them goes next.
use crate::prelude::*;

/// One that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Not to be handed out sooner: a pause, or a delay, may not be over yet.
    at: Time,
    /// Since when a run is wanted: it was handed in, and its delay was over.
    wanted: Time,
    /// How many of its ordering key wait, itself among them; 0 without a key.
    of_key: usize,
}

/// Invariants: none waits for less than until its run is wanted, as its delay
/// is over then; each entry of `all` stands in `paused` by its time, or, once that
/// has come, in `ready` and in `shortest`; nothing else stands there.
#[derive(Default)]
pub struct Due {
    all: BTreeMap<u64, Waiting>,
    paused: BTreeSet<(Time, u64)>,
    /// By since when a run is wanted.
    ready: BTreeSet<(Time, u64)>,
    /// By how many of the key wait.
    shortest: BTreeSet<(usize, Time, u64)>,
}

impl Due {
    /// Lets one wait until `at`, of which a run is wanted since `wanted`.
    pub fn put(&mut self, at: Time, seq: u64, wanted: Time, of_key: usize) {
        self.take(seq);
        let at = at.max(wanted);
        self.paused.insert((at, seq));
        self.all.insert(seq, Waiting { at, wanted, of_key });
    }
    /// Takes one out, and says for when it stood.
    pub fn take(&mut self, seq: u64) -> Option<Time> {
        let one = self.all.remove(&seq)?;
        self.paused.remove(&(one.at, seq));
        self.ready.remove(&(one.wanted, seq));
        self.shortest.remove(&(one.of_key, one.wanted, seq));
        Some(one.at)
    }
    /// More or fewer of its key wait now.
    pub fn set_of_key(&mut self, seq: u64, of_key: usize) {
        let Some(one) = self.all.get_mut(&seq) else { return };
        let before = std::mem::replace(&mut one.of_key, of_key);
        if self.shortest.remove(&(before, one.wanted, seq)) {
            self.shortest.insert((of_key, one.wanted, seq));
        }
    }
    /// Until when one that waits is not handed out.
    pub fn when(&self, seq: u64) -> Option<Time> {
        self.all.get(&seq).map(|one| one.at)
    }
    /// Notes whose time has come.
    fn promote(&mut self, now: Time) {
        while let Some((_, seq)) = self.paused.first().copied().filter(|first| first.0 <= now) {
            self.paused.pop_first();
            if let Some(one) = self.all.get(&seq) {
                self.ready.insert((one.wanted, seq));
                self.shortest.insert((one.of_key, one.wanted, seq));
            }
        }
    }
    /// Lets one that waits do so until `at`, and be as it is otherwise.
    pub fn put_off(&mut self, seq: u64, at: Time) {
        let Some(one) = self.all.get(&seq).copied() else { return };
        self.put(at, seq, one.wanted, one.of_key);
    }
    /// Since when a run is wanted of one of the oldest that may be handed out.
    pub fn oldest(&self, now: Time) -> Option<Time> {
        let ready = self.ready.first().map(|first| first.0);
        let paused = self.paused.first().filter(|first| first.0 <= now).and_then(|first| self.all.get(&first.1));
        ready.into_iter().chain(paused.map(|one| one.wanted)).min()
    }
    /// Takes the next that may be handed out, and says for when it stood. Those
    /// of which a run is wanted since `fresh` or later can still begin in time:
    /// of them the oldest goes first. All others are late, whichever goes: the
    /// one whose key has the fewest waiting, so that what comes in of that key
    /// is in time again soonest.
    pub fn pop_fresh(&mut self, fresh: Time, now: Time) -> Option<(Time, u64)> {
        self.promote(now);
        let in_time = self.ready.range((fresh, 0)..).next().map(|first| first.1);
        let seq = in_time.or_else(|| self.shortest.first().map(|first| first.2))?;
        Some((self.take(seq)?, seq))
    }
    /// Takes the one of which a run is wanted for longest.
    pub fn pop_oldest(&mut self, now: Time) -> Option<(Time, u64)> {
        self.promote(now);
        let seq = self.ready.first()?.1;
        Some((self.take(seq)?, seq))
    }
    /// All that wait, each with the time until which it does.
    pub fn iter(&self) -> impl Iterator<Item = (Time, u64)> + '_ {
        self.all.iter().map(|(seq, one)| (one.at, *seq))
    }
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
    pub fn len(&self) -> usize {
        self.all.len()
    }
}
