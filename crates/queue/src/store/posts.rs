//! Routed messages: dispatched to any delivery that can reach a worker of their service,
//! and retried, given up or expired.
use super::dispatch::stage_after_work;
use super::offers::OfferBatch;
use super::{Body, BodyWaiter};
use crate::prelude::*;

/// The capacity for routed messages that a delivery last reported.
///
/// Invariant: of each delivery only the newest report counts.
pub struct RoutedCapacityReport {
    incarnation: IncarnationId,
    /// Earlier incarnations of the delivery. A late report from one of them is ignored.
    earlier_incarnations: Vec<IncarnationId>,
    requested_at: Time,
    received_at: Time,
    services: BTreeMap<String, u32>,
    addresses: BTreeSet<Duty>,
    body_bytes: u64,
}

/// Remembered per delivery. A report from an incarnation before these would come hours
/// late.
const MAX_EARLIER_INCARNATIONS: usize = 16;
/// A report older than this is ignored.
const MAX_ROUTED_CAPACITY_AGE: Span = Span::millis(1200);
/// Call-backs to one address that one store has in flight at once.
const MAX_CALLBACKS_PER_ADDRESS: u32 = 6;
/// Delay before a failed call-back is retried. It doubles with each retry, up to the
/// maximum.
const CALLBACK_RETRY_DELAY: Span = Span::millis(300);
const MAX_CALLBACK_RETRY_DELAY: Span = Span::secs(2);
/// Delays before a message is run again: after a failure (doubled each time, up to the
/// maximum), after an unknown outcome (likewise), and after an attempt that did not
/// start.
const FAILED_RETRY_DELAY: Span = Span::millis(60);
const MAX_FAILED_RETRY_DELAY: Span = Span::secs(2);
const UNKNOWN_OUTCOME_RETRY_DELAY: Span = Span::millis(120);
const MAX_UNKNOWN_OUTCOME_RETRY_DELAY: Span = Span::secs(5);
const NOT_STARTED_RETRY_DELAY: Span = Span::millis(40);
/// Bodies read back from disk at once for one ready queue.
const MAX_BODY_READS_PER_QUEUE: u32 = 16;
const BODY_READ_RETRY_DELAY: Span = Span::secs(1);

/// When a message was accepted, on this store's clock. For a message read from disk or
/// copied from a peer this is computed from the wall-clock time in its header.
pub(super) fn accepted_at(header: &MessageHeader, started_at: Time, started_unix_micros: u64, now: Time) -> Time {
    if header.accepted_unix_micros == 0 || started_unix_micros == 0 {
        return now;
    }
    let unix_now = started_unix_micros + now.since(started_at).0;
    Time(now.0.saturating_sub(unix_now.saturating_sub(header.accepted_unix_micros)))
}

/// A queue of one partition in which something is due, with its position in the dispatch
/// order.
struct ReadyQueue {
    priority: u32,
    oldest_due: Time,
    partition: PartitionId,
    /// The pattern of the route, or the call-back address.
    pattern_or_address: String,
}

impl Store {
    /// Records a delivery's capacity for routed messages, unless a newer report is known.
    pub(super) fn on_routed_capacity(
        &mut self,
        from: &Daemon,
        requested_at: Time,
        capacity: RoutedCapacity,
        partitions: &[(PartitionId, Epoch)],
        in_flight: &[InFlightAttempt],
        now: Time,
    ) {
        let previous = self.routed_capacity.get(from);
        let is_overtaken = |t: &RoutedCapacityReport| t.incarnation == capacity.incarnation && t.requested_at > requested_at;
        if previous.is_some_and(|t| is_overtaken(t) || t.earlier_incarnations.contains(&capacity.incarnation)) {
            return;
        }
        self.dispatch_needed = true;
        let mut earlier_incarnations = previous.map(|t| t.earlier_incarnations.clone()).unwrap_or_default();
        if let Some(incarnation) = previous.map(|t| t.incarnation).filter(|incarnation| *incarnation != capacity.incarnation) {
            earlier_incarnations.push(incarnation);
            earlier_incarnations.drain(..earlier_incarnations.len().saturating_sub(MAX_EARLIER_INCARNATIONS));
            self.end_attempts_of_earlier_incarnations(from, capacity.incarnation, now);
        }
        let services = capacity.services.into_iter().collect();
        let addresses = capacity.addresses.into_iter().collect();
        self.routed_capacity.insert(
            from.clone(),
            RoutedCapacityReport {
                incarnation: capacity.incarnation,
                earlier_incarnations,
                requested_at,
                received_at: now,
                services,
                addresses,
                body_bytes: capacity.body_bytes,
            },
        );
        self.requeue_unclaimed_routed(from, partitions, in_flight, now);
    }

    /// A delivery has restarted: the attempts of its earlier incarnation are over, and
    /// may have run.
    fn end_attempts_of_earlier_incarnations(&mut self, from: &Daemon, incarnation: IncarnationId, now: Time) {
        let mut ended = Vec::new();
        for (partition, part) in &self.partitions {
            let Some(lead) = part.leader_state.as_ref() else { continue };
            let of_earlier = lead
                .queues
                .in_flight
                .iter()
                .filter(|(_, f)| f.delivery == *from && f.destination.is_some() && f.incarnation != incarnation);
            ended.extend(of_earlier.filter_map(|(seq, _)| Some((partition.clone(), *seq, lead.queues.ids.get(seq)?.clone()))));
        }
        for (partition, seq, id) in ended {
            if let Some(lead) = self.partitions.get_mut(&partition).and_then(|part| part.leader_state.as_mut()) {
                lead.queues.in_flight.remove(&seq);
            }
            self.retry_routed(&partition, &id, AttemptOutcome::Unknown, now);
        }
    }

    /// A delivery that knows this leader's epoch accepts nothing from an earlier leader
    /// any more. Once every delivery has reported so, only the attempts that one of them
    /// lists are still in flight, and the other messages need not wait any longer.
    fn requeue_unclaimed_routed(
        &mut self,
        from: &Daemon,
        partitions: &[(PartitionId, Epoch)],
        in_flight: &[InFlightAttempt],
        now: Time,
    ) {
        let deliveries: BTreeSet<&Daemon> = self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).collect();
        for (partition, epoch) in partitions {
            let Some(part) = self.partitions.get_mut(partition) else { continue };
            let Some(lead) = part.leader_state.as_mut() else { continue };
            if lead.epoch != *epoch || lead.phase != Phase::Serving || lead.hold_until <= now {
                continue;
            }
            let claimed = in_flight
                .iter()
                .filter(|h| h.partition == *partition)
                .filter_map(|h| part.records.get(&h.id))
                .map(|record| record.header.seq);
            lead.reported_in_flight.insert(from.clone(), claimed.collect());
            if !deliveries.iter().all(|d| lead.reported_in_flight.contains_key(*d)) {
                continue;
            }
            let claimed: BTreeSet<u64> = lead.reported_in_flight.values().flatten().copied().collect();
            let hold_until = lead.hold_until;
            for due in lead.queues.routed.values_mut() {
                let unclaimed = |entry: &(Time, u64)| entry.0 == hold_until && !claimed.contains(&entry.1);
                let unclaimed: Vec<u64> = due.iter().filter(unclaimed).map(|entry| entry.1).collect();
                for seq in unclaimed {
                    due.reschedule(seq, now);
                }
            }
            for set in lead.queues.callbacks.values_mut() {
                let unclaimed: Vec<u64> =
                    set.iter().filter(|(t, s)| *t == hold_until && !claimed.contains(s)).map(|x| x.1).collect();
                for seq in unclaimed {
                    set.remove(&(hold_until, seq));
                    set.insert((now, seq));
                }
            }
        }
    }

    /// Dispatches what is due: to a delivery in this zone while it has capacity, else to
    /// the one with the most capacity.
    pub(super) fn dispatch_routed(&mut self, now: Time) {
        if self.routed_capacity.is_empty() || self.link.rules.spool_partitions == 0 {
            return;
        }
        if self.routes_checked_version != self.link.rules.version {
            self.routes_checked_version = self.link.rules.version;
            self.expire_routed(now);
        }
        let mut in_flight: BTreeMap<(Destination, Daemon), u32> = BTreeMap::new();
        let mut destinations: BTreeMap<Destination, Vec<ReadyQueue>> = BTreeMap::new();
        for (partition, part) in &self.partitions {
            let Some(lead) = part.leader_state.as_ref() else { continue };
            for f in lead.queues.in_flight.values() {
                if let Some(g) = &f.destination {
                    *in_flight.entry((g.clone(), f.delivery.clone())).or_default() += 1;
                }
            }
            if lead.releasing_since.is_some()
                || !self.link.rules.is_spool_partition(partition)
                || !self.is_serving(partition, now)
            {
                continue;
            }
            for (pattern, due) in &lead.queues.routed {
                let Some(first) = due.oldest_ready(now) else { continue };
                let Some(route) = self.link.rules.routes.get(pattern) else {
                    // The next of a key whose first message has expired.
                    self.routes_checked_version = Version::ZERO;
                    continue;
                };
                let queue = ReadyQueue {
                    priority: route.priority,
                    oldest_due: first,
                    partition: partition.clone(),
                    pattern_or_address: pattern.clone(),
                };
                destinations.entry(Destination::Service(route.service.clone())).or_default().push(queue);
            }
            for (callback, set) in &lead.queues.callbacks {
                let Some((first, _)) = set.first().filter(|f| f.0 <= now) else { continue };
                let queue = ReadyQueue {
                    priority: 0,
                    oldest_due: *first,
                    partition: partition.clone(),
                    pattern_or_address: callback.clone(),
                };
                destinations.entry(Destination::Address(callback.clone())).or_default().push(queue);
            }
        }
        if destinations.is_empty() {
            return;
        }
        let mut offers = self.begin_offers();
        for (destination, mut queues) in destinations {
            queues.sort_by_key(|l| std::cmp::Reverse((l.priority, l.oldest_due)));
            while let Some(queue) = queues.pop() {
                let Some((to, requested_at, incarnation)) = self.choose_delivery(&destination, &in_flight, &offers, now) else {
                    break;
                };
                let Some(offer) = self.take_routed(&queue, &destination, &to, incarnation, now) else { continue };
                *in_flight.entry((destination.clone(), to.clone())).or_default() += 1;
                self.counts.attempts_offered += 1;
                offers.add(to, requested_at, offer);
                // Queues of the same priority take turns.
                let at = queues.iter().position(|q| q.priority == queue.priority).unwrap_or(queues.len());
                queues.insert(at, queue);
            }
        }
        self.send_offers(offers);
    }

    /// The delivery with spare capacity for a destination: one in this zone first, then the
    /// one with the most.
    fn choose_delivery(
        &self,
        destination: &Destination,
        in_flight: &BTreeMap<(Destination, Daemon), u32>,
        offers: &OfferBatch,
        now: Time,
    ) -> Option<(Daemon, Time, IncarnationId)> {
        let zone = &self.startup.me.zone;
        let spare_capacity = |d: &Daemon, t: &RoutedCapacityReport| {
            let limit = match destination {
                Destination::Service(s) => t.services.get(s).copied().unwrap_or(0),
                Destination::Address(a) if t.addresses.contains(&Duty::for_unlisted_address(a)) => MAX_CALLBACKS_PER_ADDRESS,
                Destination::Address(_) => 0,
            };
            limit.saturating_sub(in_flight.get(&(destination.clone(), d.clone())).copied().unwrap_or(0))
        };
        let current = self.routed_capacity.iter().filter(|(_, t)| now.since(t.received_at) < MAX_ROUTED_CAPACITY_AGE);
        let chosen = current
            .filter(|(d, t)| offers.has_room(d, t.body_bytes))
            .map(|(d, t)| (spare_capacity(d, t), d, t))
            .filter(|x| x.0 > 0)
            .max_by_key(|(spare, d, _)| (self.link.zone_of(d) == Some(zone), *spare, std::cmp::Reverse(*d)))?;
        Some((chosen.1.clone(), chosen.2.requested_at, chosen.2.incarnation))
    }

    /// Takes the next due message of a queue and records its attempt.
    fn take_routed(
        &mut self,
        queue: &ReadyQueue,
        destination: &Destination,
        to: &Daemon,
        incarnation: IncarnationId,
        now: Time,
    ) -> Option<Offer> {
        let is_callback = matches!(destination, Destination::Address(_));
        let route = self.link.rules.routes.get(&queue.pattern_or_address);
        let attempt = match is_callback {
            true => CALLBACK_TIMEOUT,
            false => route?.attempt_timeout,
        };
        let max_age = route.map(|x| x.ttl);
        // The name that the route has now.
        let route_name = route.map(|x| x.name.clone());
        // Messages that can still start within the target time go before those that are
        // late already, but every fourth dispatch takes the oldest message.
        let start_target = route.map_or(Span::ZERO, |x| x.target_start);
        let oldest_first = start_target == Span::ZERO || self.counts.attempts_offered.is_multiple_of(4);
        let on_time_since = Time(now.0.saturating_sub(start_target.0));
        let partition = &queue.partition;
        let mut reads = 0;
        loop {
            let part = self.partitions.get_mut(partition)?;
            let lead = part.leader_state.as_mut()?;
            let (due, seq) = match is_callback {
                true => lead.queues.pop_due(Some(&queue.pattern_or_address), now)?,
                false => match (lead.queues.routed.get_mut(&queue.pattern_or_address)?, oldest_first) {
                    (due, true) => due.pop_oldest(now)?,
                    (due, false) => due.pop_in_time(on_time_since, now)?,
                },
            };
            let Some(record) = lead.queues.ids.get(&seq).and_then(|id| part.records.get(id)) else { continue };
            let id = record.header.id.clone();
            if lead.unpublished_successes.contains(&seq) {
                self.release_deferred_success(partition, &id, now);
                continue;
            }
            if !self.may_dispatch(partition, &id, is_callback) {
                continue;
            }
            let record = self.partitions.get(partition)?.records.get(&id)?;
            if !is_callback && max_age.is_some_and(|w| now.since(record.received_at) > w) {
                let next = stage_after_work(record, Outcome::Expired);
                self.set_stage(partition, &id, next, None, now);
                continue;
            }
            if !is_callback && self.waits_for_predecessors(partition, &id, now) {
                continue;
            }
            let (mut header, body) = match self.header_and_body(partition, &id, is_callback) {
                Ok(x) => x,
                Err(is_corrupt) => {
                    let part = self.partitions.get_mut(partition)?;
                    let key = part.records.get(&id).map(|record| record.header.key.clone()).unwrap_or_default();
                    part.leader_state.as_mut()?.queues.enqueue_routed(
                        &queue.pattern_or_address,
                        &key,
                        now + BODY_READ_RETRY_DELAY,
                        seq,
                    );
                    if is_corrupt {
                        self.on_corrupt_body(partition, &id, now);
                        continue;
                    }
                    reads += 1;
                    let waiter = BodyWaiter::RoutedDispatch { pattern: queue.pattern_or_address.clone(), due, seq };
                    if !self.read_body_for(partition, &id, waiter) || reads >= MAX_BODY_READS_PER_QUEUE {
                        return None;
                    }
                    continue;
                }
            };
            if let Some(route) = route_name.as_ref().filter(|_| !is_callback) {
                header.route.clone_from(route);
            }
            let part = self.partitions.get_mut(partition)?;
            let stage = part.records.get(&id)?.stage;
            let lead = part.leader_state.as_mut()?;
            lead.attempt_count += 1;
            let (epoch, attempt_id) = (lead.epoch, lead.attempt_count);
            let duty = Duty::TargetShard(String::new());
            let dispatched = DispatchedAttempt {
                duty: duty.clone(),
                delivery: to.clone(),
                attempt: attempt_id,
                callback: String::new(),
                destination: Some(destination.clone()),
                incarnation,
                deadline: now + (attempt + MAX_ROUTED_START_DELAY).percent(105),
                body_bytes: body.len() as u64,
            };
            lead.queues.in_flight.insert(seq, dispatched);
            let partition = partition.clone();
            return Some(Offer {
                duty,
                partition,
                header,
                stage,
                epoch,
                attempt: attempt_id,
                body,
                destination: Some(destination.clone()),
                timeout: attempt,
            });
        }
    }

    /// The header and body to dispatch. A call-back carries no body, and its header says
    /// so. `Err` if the body is not in memory: `true` if the copy here is corrupt,
    /// `false` if it has to be read from disk.
    fn header_and_body(
        &mut self,
        partition: &PartitionId,
        id: &MessageId,
        is_callback: bool,
    ) -> Result<(MessageHeader, Bytes), bool> {
        let header = self
            .partitions
            .get(partition)
            .and_then(|part| part.records.get(id))
            .map(|record| record.header.clone())
            .ok_or(true)?;
        if is_callback {
            return Ok((MessageHeader { len: 0, crc: crc32(b""), ..header }, Bytes::new()));
        }
        match self.body_of(partition, id) {
            Body::InMemory(b) => Ok((header, b)),
            Body::OnDisk => Err(false),
            Body::Corrupt => Err(true),
        }
    }

    /// The deadline of an attempt has passed without a result.
    pub(super) fn on_attempt_expired(&mut self, partition: &PartitionId, id: &MessageId, now: Time) {
        let routed = self
            .partitions
            .get(partition)
            .and_then(|part| part.records.get(id))
            .is_some_and(|record| !record.header.route.is_empty());
        match routed {
            true => self.retry_routed(partition, id, AttemptOutcome::Unknown, now),
            false => self.retry_or_give_up(partition, id, true, now),
        }
    }

    /// Handles an attempt that ended without success: retries the message later, or gives
    /// up once workers have reported enough failures.
    pub(super) fn retry_routed(&mut self, partition: &PartitionId, id: &MessageId, outcome: AttemptOutcome, now: Time) {
        let jitter = self.rng.u64(70..=100);
        let Some(part) = self.partitions.get_mut(partition) else { return };
        let (Some(lead), Some(record)) = (part.leader_state.as_mut(), part.records.get_mut(id)) else { return };
        let seq = record.header.seq;
        if lead.unpublished_successes.contains(&seq) {
            return self.release_deferred_success(partition, id, now);
        }
        let backoff = |base: Span, n: u32, cap: Span| Span((base.0 << n.min(12)).min(cap.0)).percent(jitter);
        match record.stage {
            Stage::Pending => {
                let Some(route) = message_route(&self.link.rules.routes, &record.header) else {
                    let next = stage_after_work(record, Outcome::Expired);
                    return self.set_stage(partition, id, next, None, now);
                };
                record.failed_attempts += u32::from(outcome == AttemptOutcome::Failed);
                if record.failed_attempts >= route.max_attempts {
                    let next = stage_after_work(record, Outcome::GivenUp);
                    return self.set_stage(partition, id, next, None, now);
                }
                let delay = match outcome {
                    AttemptOutcome::Failed => backoff(FAILED_RETRY_DELAY, record.failed_attempts - 1, MAX_FAILED_RETRY_DELAY),
                    AttemptOutcome::NotStarted => NOT_STARTED_RETRY_DELAY,
                    // A message that always exceeds its time must not take a worker's
                    // slot again and again.
                    _ => {
                        let delay = Span(
                            (UNKNOWN_OUTCOME_RETRY_DELAY.0 << record.unknown_outcomes.min(12))
                                .min(MAX_UNKNOWN_OUTCOME_RETRY_DELAY.0),
                        );
                        record.unknown_outcomes += 1;
                        delay
                    }
                };
                lead.queues.enqueue_routed(record.header.route_queue(), &record.header.key, now + delay, seq);
            }
            Stage::EndedAwaitingCallback(_) => {
                let delay = match outcome {
                    AttemptOutcome::NotStarted => NOT_STARTED_RETRY_DELAY,
                    _ => backoff(CALLBACK_RETRY_DELAY, record.failed_attempts, MAX_CALLBACK_RETRY_DELAY),
                };
                record.failed_attempts += u32::from(outcome != AttemptOutcome::NotStarted);
                lead.queues.callbacks.entry(record.header.callback.clone()).or_default().insert((now + delay, seq));
            }
            Stage::SucceededAwaitingCallback | Stage::Ended(_) => {}
        }
    }
}
