//! What is due to be handed out from one partition, in what order.
use crate::prelude::*;

/// An attempt handed to a delivery and not settled.
#[derive(Clone, Debug)]
pub struct DispatchedAttempt {
    pub duty: Duty,
    pub delivery: Daemon,
    pub attempt: u64,
    /// The desk a success would owe a call-back to; empty for none.
    pub callback: String,
    /// Where a routed message was sent to; none for a queue's own duty.
    pub destination: Option<Destination>,
    /// The life of the delivery that has it: in another, it is over.
    pub incarnation: IncarnationId,
    /// After this, by the leader's clock, no socket of it is open.
    pub deadline: Time,
}

/// Invariants: a seq stands in at most one of `line`, `posts`, `calls` and
/// `flights`; with ordering, only the first seq of a key is in `line`, `posts`
/// or `flights` as work, and the next is let in when the first has durably
/// ended; a key belongs to one route, so the next goes where the first went.
#[derive(Default)]
pub struct DispatchQueues {
    pub ordered: bool,
    pub unrouted: BTreeSet<(Time, u64)>,
    /// Routed messages, by route.
    pub routed: BTreeMap<String, RouteQueue>,
    /// Since when a run is wanted of each routed message: it was handed in,
    /// and its delay was over. None is handed out sooner, whoever lets it in.
    pub eligible_at: BTreeMap<u64, Time>,
    pub callbacks: BTreeMap<String, BTreeSet<(Time, u64)>>,
    pub pending_by_key: BTreeMap<String, BTreeSet<u64>>,
    pub ids: BTreeMap<u64, MessageId>,
    pub in_flight: BTreeMap<u64, DispatchedAttempt>,
}

impl DispatchQueues {
    /// Stands a routed message in its route's line, never before its delay.
    pub fn enqueue_routed(&mut self, route: &str, key: &str, at: Time, seq: u64) {
        let wanted = self.eligible_at.get(&seq).copied().unwrap_or(at);
        let of_key = self.pending_by_key.get(key).map_or(0, BTreeSet::len);
        let due = match self.routed.get_mut(route) {
            Some(due) => due,
            None => self.routed.entry(route.to_string()).or_default(),
        };
        due.insert(at, seq, wanted, of_key);
    }
    /// One more or fewer of a key waits behind its first.
    fn update_key_backlog(&mut self, head: &MessageHeader) {
        let Some(key) = self.pending_by_key.get(&head.key) else { return };
        let (Some(first), Some(due)) = (key.first(), self.routed.get_mut(&head.route)) else { return };
        due.set_key_backlog(*first, key.len());
    }
    /// Lets a record in at `at`.
    pub fn enqueue(&mut self, head: &MessageHeader, stage: Stage, at: Time) {
        match stage {
            Stage::Ended(_) => return,
            Stage::SucceededAwaitingCallback | Stage::EndedAwaitingCallback(_) => {
                self.callbacks.entry(head.callback.clone()).or_default().insert((at, head.seq));
            }
            Stage::Pending if !head.route.is_empty() => {
                if !head.key.is_empty() {
                    let key = self.pending_by_key.entry(head.key.clone()).or_default();
                    key.insert(head.seq);
                    if key.first() != Some(&head.seq) {
                        self.ids.insert(head.seq, head.id.clone());
                        return self.update_key_backlog(head);
                    }
                }
                self.enqueue_routed(&head.route, &head.key, at, head.seq);
            }
            Stage::Pending if self.ordered => {
                let key = self.pending_by_key.entry(head.key.clone()).or_default();
                key.insert(head.seq);
                if key.first() == Some(&head.seq) {
                    self.unrouted.insert((at, head.seq));
                }
            }
            Stage::Pending => {
                self.unrouted.insert((at, head.seq));
            }
        }
        self.ids.insert(head.seq, head.id.clone());
    }
    /// Takes a record out of every line that it may wait in.
    pub fn dequeue(&mut self, head: &MessageHeader) {
        match self.routed.get_mut(&head.route) {
            Some(due) => _ = due.remove(head.seq),
            None => self.unrouted.retain(|(_, seq)| *seq != head.seq),
        }
        if let Some(line) = self.callbacks.get_mut(&head.callback) {
            line.retain(|(_, seq)| *seq != head.seq);
        }
    }
    /// Work on a record has durably ended: the next of its key may go. Said
    /// again, as when its call-back has ended too, it lets nobody in: the next
    /// may have ended meanwhile, and stands in no line only for that.
    pub fn finish_work(&mut self, head: &MessageHeader, now: Time) {
        self.in_flight.remove(&head.seq);
        self.eligible_at.remove(&head.seq);
        match self.routed.get_mut(&head.route) {
            Some(due) => _ = due.remove(head.seq),
            None if head.route.is_empty() => self.unrouted.retain(|(_, s)| *s != head.seq),
            None => {}
        }
        if !self.ordered || head.key.is_empty() {
            return;
        }
        let Some(key) = self.pending_by_key.get_mut(&head.key) else { return };
        if !key.remove(&head.seq) {
            return;
        }
        match key.first() {
            Some(next) => {
                let next = *next;
                if self.in_flight.contains_key(&next) {
                    return;
                }
                match head.route.is_empty() {
                    true => _ = self.unrouted.insert((now, next)),
                    // It may stand there already, resting.
                    false if self.routed.get(&head.route).is_some_and(|d| d.not_before(next).is_some()) => {}
                    false => self.enqueue_routed(&head.route, &head.key, now, next),
                }
            }
            None => {
                self.pending_by_key.remove(&head.key);
            }
        }
    }
    /// Whether a routed message whose work is not over waits, is under way or
    /// has another of its key before it.
    pub fn is_tracked(&self, head: &MessageHeader) -> bool {
        let behind_another =
            || self.pending_by_key.get(&head.key).is_some_and(|k| k.contains(&head.seq) && k.first() != Some(&head.seq));
        let waits = || self.routed.get(&head.route).is_some_and(|due| due.not_before(head.seq).is_some());
        self.in_flight.contains_key(&head.seq) || waits() || (!head.key.is_empty() && behind_another())
    }
    /// Whether an attempt from before the opening may still be under way.
    pub fn is_held(&self, seq: u64, quiet: Time, now: Time) -> bool {
        now < quiet
            && (self.unrouted.contains(&(quiet, seq))
                || self.routed.values().any(|d| d.not_before(seq) == Some(quiet))
                || self.callbacks.values().any(|c| c.contains(&(quiet, seq))))
    }
    pub fn remove_message(&mut self, seq: u64) {
        self.ids.remove(&seq);
        self.in_flight.remove(&seq);
        self.eligible_at.remove(&seq);
        for set in self.callbacks.values_mut() {
            set.retain(|(_, s)| *s != seq);
        }
    }
    /// How many messages could be run now or are: one that waits for its next
    /// try needs no slot yet. Counted no further than `most`.
    pub fn slot_demand(&self, now: Time, most: usize) -> u64 {
        let due = self.unrouted.range(..=(now, u64::MAX)).take(most).count();
        let under_way = self.in_flight.values().filter(|f| matches!(f.duty, Duty::Deliver(_))).count();
        (due + under_way) as u64
    }
    /// Takes the first that is due, and says since when it is.
    pub fn pop_due(&mut self, desk: Option<&str>, now: Time) -> Option<(Time, u64)> {
        let set = match desk {
            Some(d) => self.callbacks.get_mut(d)?,
            None => &mut self.unrouted,
        };
        let first = *set.first()?;
        if first.0 > now {
            return None;
        }
        set.remove(&first);
        Some(first)
    }
    /// Takes out the attempts whose hard end has passed.
    pub fn take_overdue(&mut self, now: Time) -> BTreeMap<u64, DispatchedAttempt> {
        let late: Vec<u64> = self.in_flight.iter().filter(|(_, f)| now >= f.deadline).map(|(seq, _)| *seq).collect();
        late.into_iter().filter_map(|seq| Some((seq, self.in_flight.remove(&seq)?))).collect()
    }
}
