//! The messages of one route in one partition that wait to be dispatched, and the
//! choice of the next one.
use crate::prelude::*;

/// A waiting message.
#[derive(Clone, Copy, Debug)]
struct QueuedMessage {
    /// Not dispatched before this time: a retry pause or the message's delay may not
    /// be over yet.
    not_before: Time,
    /// When the message became eligible: it was accepted, and its delay was over.
    eligible_at: Time,
    /// How many messages of its ordering key wait, itself included; 0 without a key.
    key_backlog: usize,
}

/// The queue of one route.
///
/// Invariants: `not_before` of a message is never earlier than its `eligible_at`, as
/// its delay is over only then; each message is either in `delayed`, or, once its time
/// has come, in `ready` and in `ready_by_backlog`; nothing else is in them.
#[derive(Default)]
pub struct RouteQueue {
    messages: BTreeMap<u64, QueuedMessage>,
    /// By the time before which they are not dispatched.
    delayed: BTreeSet<(Time, u64)>,
    /// By the time at which they became eligible.
    ready: BTreeSet<(Time, u64)>,
    /// By the backlog of their key, then by the time at which they became eligible.
    ready_by_backlog: BTreeSet<(usize, Time, u64)>,
}

impl RouteQueue {
    /// Adds a message, or replaces it. It waits until `not_before`, or until
    /// `eligible_at` if that is later.
    pub fn insert(&mut self, not_before: Time, seq: u64, eligible_at: Time, key_backlog: usize) {
        self.remove(seq);
        let not_before = not_before.max(eligible_at);
        self.delayed.insert((not_before, seq));
        self.messages.insert(seq, QueuedMessage { not_before, eligible_at, key_backlog });
    }
    /// Removes a message; returns the time until which it waited.
    pub fn remove(&mut self, seq: u64) -> Option<Time> {
        let message = self.messages.remove(&seq)?;
        self.delayed.remove(&(message.not_before, seq));
        self.ready.remove(&(message.eligible_at, seq));
        self.ready_by_backlog.remove(&(message.key_backlog, message.eligible_at, seq));
        Some(message.not_before)
    }
    /// Updates how many messages of its key wait.
    pub fn set_key_backlog(&mut self, seq: u64, key_backlog: usize) {
        let Some(message) = self.messages.get_mut(&seq) else { return };
        let before = std::mem::replace(&mut message.key_backlog, key_backlog);
        if self.ready_by_backlog.remove(&(before, message.eligible_at, seq)) {
            self.ready_by_backlog.insert((key_backlog, message.eligible_at, seq));
        }
    }
    /// The time before which a waiting message is not dispatched.
    pub fn not_before(&self, seq: u64) -> Option<Time> {
        self.messages.get(&seq).map(|message| message.not_before)
    }
    /// Moves messages whose time has come to the ready ones.
    fn move_due_to_ready(&mut self, now: Time) {
        while let Some((_, seq)) = self.delayed.first().copied().filter(|first| first.0 <= now) {
            self.delayed.pop_first();
            if let Some(message) = self.messages.get(&seq) {
                self.ready.insert((message.eligible_at, seq));
                self.ready_by_backlog.insert((message.key_backlog, message.eligible_at, seq));
            }
        }
    }
    /// Changes the time until which a message waits.
    pub fn reschedule(&mut self, seq: u64, not_before: Time) {
        let Some(message) = self.messages.get(&seq).copied() else { return };
        self.insert(not_before, seq, message.eligible_at, message.key_backlog);
    }
    /// When one of the oldest messages that may be dispatched became eligible.
    pub fn oldest_ready(&self, now: Time) -> Option<Time> {
        let ready = self.ready.first().map(|first| first.0);
        let due = self.delayed.first().filter(|first| first.0 <= now).and_then(|first| self.messages.get(&first.1));
        ready.into_iter().chain(due.map(|message| message.eligible_at)).min()
    }
    /// Removes the next message that may be dispatched; returns the time until which
    /// it waited. Messages that became eligible at `in_time_since` or later can still
    /// start in time: of them the oldest goes first. All others are late anyway: of
    /// them the one goes whose key has the smallest backlog, so that new messages of
    /// that key are in time again soonest.
    pub fn pop_in_time(&mut self, in_time_since: Time, now: Time) -> Option<(Time, u64)> {
        self.move_due_to_ready(now);
        let in_time = self.ready.range((in_time_since, 0)..).next().map(|first| first.1);
        let seq = in_time.or_else(|| self.ready_by_backlog.first().map(|first| first.2))?;
        Some((self.remove(seq)?, seq))
    }
    /// Removes the message that became eligible first.
    pub fn pop_oldest(&mut self, now: Time) -> Option<(Time, u64)> {
        self.move_due_to_ready(now);
        let seq = self.ready.first()?.1;
        Some((self.remove(seq)?, seq))
    }
    /// All waiting messages, each with the time until which it waits.
    pub fn iter(&self) -> impl Iterator<Item = (Time, u64)> + '_ {
        self.messages.iter().map(|(seq, message)| (message.not_before, *seq))
    }
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }
    pub fn len(&self) -> usize {
        self.messages.len()
    }
}
