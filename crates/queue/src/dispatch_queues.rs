//! The messages of one partition that wait to be dispatched, and the attempts that
//! are in flight.
use crate::prelude::*;

/// An attempt that was sent to a delivery and has no result yet.
#[derive(Clone, Debug)]
pub struct DispatchedAttempt {
    pub duty: Duty,
    pub delivery: Daemon,
    pub attempt: u64,
    /// The address that is called back after a success; empty for none.
    pub callback: String,
    /// Where a routed message was sent; `None` for a message of a queue.
    pub destination: Option<Destination>,
    /// The incarnation of the delivery: once it restarts, the attempt is over.
    pub incarnation: IncarnationId,
    /// After this, by the leader's clock, no connection of the attempt is open.
    pub deadline: Time,
    /// Size of the body that was offered.
    pub body_bytes: u64,
}

/// The dispatch state of one partition; messages are named by sequence number.
///
/// Invariants: a sequence number is in at most one of `unrouted`, `routed`,
/// `callbacks` and `in_flight`; with ordering, only the first of a key is in
/// `unrouted`, `routed` or, for its work, in `in_flight`, and the next is added when
/// the end of the first is durable.
#[derive(Default)]
pub struct DispatchQueues {
    /// Whether messages of one ordering key are dispatched one after the other.
    pub ordered: bool,
    /// Messages of a queue, by the time before which they are not dispatched.
    pub unrouted: BTreeSet<(Time, u64)>,
    /// Routed messages, by `MessageHeader::route_queue`.
    pub routed: BTreeMap<String, RouteQueue>,
    /// When each routed message became eligible: it was accepted, and its delay was
    /// over. None is dispatched sooner, whatever adds it to a queue.
    pub eligible_at: BTreeMap<u64, Time>,
    /// Call-backs that are due or wait for a retry, by address.
    pub callbacks: BTreeMap<String, BTreeSet<(Time, u64)>>,
    /// Messages whose work is not over, by ordering key.
    pub pending_by_key: BTreeMap<String, BTreeSet<u64>>,
    /// The message ids of all sequence numbers here.
    pub ids: BTreeMap<u64, MessageId>,
    /// Routed messages that wait, or have waited, for messages of their ordering key which
    /// other partitions store.
    pub predecessor_checks: BTreeMap<u64, PredecessorCheck>,
    /// Attempts in flight, by the sequence number of their message.
    pub in_flight: BTreeMap<u64, DispatchedAttempt>,
}

impl DispatchQueues {
    /// Adds a routed message to its route's queue, to be dispatched at `not_before` or,
    /// if that is later, when its delay is over.
    pub fn enqueue_routed(&mut self, route: &str, key: &str, not_before: Time, seq: u64) {
        let eligible_at = self.eligible_at.get(&seq).copied().unwrap_or(not_before);
        let key_backlog = self.pending_by_key.get(key).map_or(0, BTreeSet::len);
        let queue = match self.routed.get_mut(route) {
            Some(queue) => queue,
            None => self.routed.entry(route.to_string()).or_default(),
        };
        queue.insert(not_before, seq, eligible_at, key_backlog);
    }
    /// Updates the backlog of a key in the queue entry of its first message.
    fn update_key_backlog(&mut self, header: &MessageHeader) {
        let Some(key) = self.pending_by_key.get(&header.key) else { return };
        let (Some(first), Some(queue)) = (key.first(), self.routed.get_mut(header.route_queue())) else { return };
        queue.set_key_backlog(*first, key.len());
    }
    /// Adds a record to the queue that fits its stage, to be dispatched at `not_before`.
    pub fn enqueue(&mut self, header: &MessageHeader, stage: Stage, not_before: Time) {
        match stage {
            Stage::Ended(_) => return,
            Stage::SucceededAwaitingCallback | Stage::EndedAwaitingCallback(_) => {
                self.callbacks.entry(header.callback.clone()).or_default().insert((not_before, header.seq));
            }
            Stage::Pending if !header.route.is_empty() => {
                if !header.key.is_empty() {
                    let key = self.pending_by_key.entry(header.key.clone()).or_default();
                    key.insert(header.seq);
                    if key.first() != Some(&header.seq) {
                        self.ids.insert(header.seq, header.id.clone());
                        return self.update_key_backlog(header);
                    }
                }
                self.enqueue_routed(header.route_queue(), &header.key, not_before, header.seq);
            }
            Stage::Pending if self.ordered => {
                let key = self.pending_by_key.entry(header.key.clone()).or_default();
                key.insert(header.seq);
                if key.first() == Some(&header.seq) {
                    self.unrouted.insert((not_before, header.seq));
                }
            }
            Stage::Pending => {
                self.unrouted.insert((not_before, header.seq));
            }
        }
        self.ids.insert(header.seq, header.id.clone());
    }
    /// Removes a record from every queue that it may wait in.
    pub fn dequeue(&mut self, header: &MessageHeader) {
        match self.routed.get_mut(header.route_queue()) {
            Some(queue) => _ = queue.remove(header.seq),
            None => self.unrouted.retain(|(_, seq)| *seq != header.seq),
        }
        if let Some(callbacks) = self.callbacks.get_mut(&header.callback) {
            callbacks.retain(|(_, seq)| *seq != header.seq);
        }
    }
    /// The end of the work on a record is durable. Returns the next of its key, which
    /// goes on with `enqueue_next`. A second call, as when its call-back has ended too,
    /// returns nothing: the next may have ended meanwhile, and may be in no queue for
    /// just that reason.
    pub fn finish_work(&mut self, header: &MessageHeader) -> Option<u64> {
        self.in_flight.remove(&header.seq);
        self.eligible_at.remove(&header.seq);
        self.predecessor_checks.remove(&header.seq);
        match self.routed.get_mut(header.route_queue()) {
            Some(queue) => _ = queue.remove(header.seq),
            None if header.route.is_empty() => self.unrouted.retain(|(_, s)| *s != header.seq),
            None => {}
        }
        if !self.ordered || header.key.is_empty() {
            return None;
        }
        let key = self.pending_by_key.get_mut(&header.key)?;
        if !key.remove(&header.seq) {
            return None;
        }
        let next = key.first().copied();
        if next.is_none() {
            self.pending_by_key.remove(&header.key);
        }
        next.filter(|next| !self.in_flight.contains_key(next))
    }
    /// Adds a message to its queue after the work on the one before it in its key has
    /// finished.
    pub fn enqueue_next(&mut self, header: &MessageHeader, now: Time) {
        match header.route.is_empty() {
            true => _ = self.unrouted.insert((now, header.seq)),
            // It may be in the queue already, held back after a failover.
            false if self.routed.get(header.route_queue()).is_some_and(|queue| queue.not_before(header.seq).is_some()) => {}
            false => self.enqueue_routed(header.route_queue(), &header.key, now, header.seq),
        }
    }
    /// Whether a routed message whose work is not over waits in a queue, is in flight
    /// or waits behind another of its key.
    pub fn is_tracked(&self, header: &MessageHeader) -> bool {
        let behind_another =
            || self.pending_by_key.get(&header.key).is_some_and(|k| k.contains(&header.seq) && k.first() != Some(&header.seq));
        let is_waiting = || self.routed.get(header.route_queue()).is_some_and(|queue| queue.not_before(header.seq).is_some());
        self.in_flight.contains_key(&header.seq) || is_waiting() || (!header.key.is_empty() && behind_another())
    }
    /// Whether a message is still held back after a failover, because an attempt of an
    /// earlier leader may still be running.
    pub fn is_held(&self, seq: u64, hold_until: Time, now: Time) -> bool {
        now < hold_until
            && (self.unrouted.contains(&(hold_until, seq))
                || self.routed.values().any(|d| d.not_before(seq) == Some(hold_until))
                || self.callbacks.values().any(|c| c.contains(&(hold_until, seq))))
    }
    /// Removes a message that has ended.
    pub fn remove_message(&mut self, seq: u64) {
        self.ids.remove(&seq);
        self.in_flight.remove(&seq);
        self.eligible_at.remove(&seq);
        for set in self.callbacks.values_mut() {
            set.retain(|(_, s)| *s != seq);
        }
    }
    /// How many messages of a queue need a slot: those that are due and those that are
    /// in flight. One that waits for its next try needs none yet. Counts at most `max`
    /// due ones.
    pub fn slot_demand(&self, now: Time, max: usize) -> u64 {
        let due = self.unrouted.range(..=(now, u64::MAX)).take(max).count();
        let in_flight = self.in_flight.values().filter(|f| matches!(f.duty, Duty::Deliver(_))).count();
        (due + in_flight) as u64
    }
    /// Removes the first that is due and returns since when it is: a call-back to this
    /// address, or without one a message of a queue.
    pub fn pop_due(&mut self, callback: Option<&str>, now: Time) -> Option<(Time, u64)> {
        let set = match callback {
            Some(address) => self.callbacks.get_mut(address)?,
            None => &mut self.unrouted,
        };
        let first = *set.first()?;
        if first.0 > now {
            return None;
        }
        set.remove(&first);
        Some(first)
    }
    /// Removes and returns the attempts whose deadline has passed.
    pub fn take_overdue(&mut self, now: Time) -> BTreeMap<u64, DispatchedAttempt> {
        let overdue: Vec<u64> = self.in_flight.iter().filter(|(_, f)| now >= f.deadline).map(|(seq, _)| *seq).collect();
        overdue.into_iter().filter_map(|seq| Some((seq, self.in_flight.remove(&seq)?))).collect()
    }
}
