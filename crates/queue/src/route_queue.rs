//! Messages of one route in one partition that wait to be handed out, and which
//! of them goes next.
use crate::prelude::*;

/// One that waits.
#[derive(Clone, Copy, Debug)]
struct QueuedMessage {
    /// Not to be handed out sooner: a pause, or a delay, may not be over yet.
    not_before: Time,
    /// Since when a run is wanted: it was handed in, and its delay was over.
    eligible_at: Time,
    /// How many of its ordering key wait, itself among them; 0 without a key.
    key_backlog: usize,
}

/// Invariants: none waits for less than until its run is wanted, as its delay
/// is over then; each entry of `all` stands in `paused` by its time, or, once that
/// has come, in `ready` and in `shortest`; nothing else stands there.
#[derive(Default)]
pub struct RouteQueue {
    messages: BTreeMap<u64, QueuedMessage>,
    delayed: BTreeSet<(Time, u64)>,
    /// By since when a run is wanted.
    ready: BTreeSet<(Time, u64)>,
    /// By how many of the key wait.
    ready_by_backlog: BTreeSet<(usize, Time, u64)>,
}

impl RouteQueue {
    /// Lets one wait until `at`, of which a run is wanted since `wanted`.
    pub fn insert(&mut self, at: Time, seq: u64, wanted: Time, of_key: usize) {
        self.remove(seq);
        let at = at.max(wanted);
        self.delayed.insert((at, seq));
        self.messages.insert(seq, QueuedMessage { not_before: at, eligible_at: wanted, key_backlog: of_key });
    }
    /// Takes one out, and says for when it stood.
    pub fn remove(&mut self, seq: u64) -> Option<Time> {
        let one = self.messages.remove(&seq)?;
        self.delayed.remove(&(one.not_before, seq));
        self.ready.remove(&(one.eligible_at, seq));
        self.ready_by_backlog.remove(&(one.key_backlog, one.eligible_at, seq));
        Some(one.not_before)
    }
    /// More or fewer of its key wait now.
    pub fn set_key_backlog(&mut self, seq: u64, of_key: usize) {
        let Some(one) = self.messages.get_mut(&seq) else { return };
        let before = std::mem::replace(&mut one.key_backlog, of_key);
        if self.ready_by_backlog.remove(&(before, one.eligible_at, seq)) {
            self.ready_by_backlog.insert((of_key, one.eligible_at, seq));
        }
    }
    /// Until when one that waits is not handed out.
    pub fn not_before(&self, seq: u64) -> Option<Time> {
        self.messages.get(&seq).map(|one| one.not_before)
    }
    /// Notes whose time has come.
    fn move_due_to_ready(&mut self, now: Time) {
        while let Some((_, seq)) = self.delayed.first().copied().filter(|first| first.0 <= now) {
            self.delayed.pop_first();
            if let Some(one) = self.messages.get(&seq) {
                self.ready.insert((one.eligible_at, seq));
                self.ready_by_backlog.insert((one.key_backlog, one.eligible_at, seq));
            }
        }
    }
    /// Lets one that waits do so until `at`, and be as it is otherwise.
    pub fn reschedule(&mut self, seq: u64, at: Time) {
        let Some(one) = self.messages.get(&seq).copied() else { return };
        self.insert(at, seq, one.eligible_at, one.key_backlog);
    }
    /// Since when a run is wanted of one of the oldest that may be handed out.
    pub fn oldest_ready(&self, now: Time) -> Option<Time> {
        let ready = self.ready.first().map(|first| first.0);
        let paused = self.delayed.first().filter(|first| first.0 <= now).and_then(|first| self.messages.get(&first.1));
        ready.into_iter().chain(paused.map(|one| one.eligible_at)).min()
    }
    /// Takes the next that may be handed out, and says for when it stood. Those
    /// of which a run is wanted since `fresh` or later can still begin in time:
    /// of them the oldest goes first. All others are late, whichever goes: the
    /// one whose key has the fewest waiting, so that what comes in of that key
    /// is in time again soonest.
    pub fn pop_in_time(&mut self, fresh: Time, now: Time) -> Option<(Time, u64)> {
        self.move_due_to_ready(now);
        let in_time = self.ready.range((fresh, 0)..).next().map(|first| first.1);
        let seq = in_time.or_else(|| self.ready_by_backlog.first().map(|first| first.2))?;
        Some((self.remove(seq)?, seq))
    }
    /// Takes the one of which a run is wanted for longest.
    pub fn pop_oldest(&mut self, now: Time) -> Option<(Time, u64)> {
        self.move_due_to_ready(now);
        let seq = self.ready.first()?.1;
        Some((self.remove(seq)?, seq))
    }
    /// All that wait, each with the time until which it does.
    pub fn iter(&self) -> impl Iterator<Item = (Time, u64)> + '_ {
        self.messages.iter().map(|(seq, one)| (one.not_before, *seq))
    }
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
    pub fn len(&self) -> usize {
        self.messages.len()
    }
}
