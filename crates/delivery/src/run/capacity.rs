//! How much this daemon takes from each leader, and the messages that say so.
use crate::prelude::*;

/// What one leader is sent: the capacity for each duty, and the known epochs of its partitions.
type LeaderCapacity = (Vec<Capacity>, Vec<(PartitionId, Epoch)>);

impl Delivery {
    /// How many attempts of a duty this daemon takes now.
    pub(super) fn capacity_for(&mut self, duty: &Duty, now: Time) -> u32 {
        if self.leaving_since.is_some()
            || self.release_requested.contains(duty)
            || self.attempts.len() >= self.startup.max_attempts
        {
            return 0;
        }
        match duty {
            Duty::Lead(_) | Duty::TargetShard(_) => 0,
            Duty::Deliver(partition) => {
                let Some(rule) = self.link.rules.rule_for_partition(partition) else { return 0 };
                let Target::Workers(service) = &rule.target else { return 0 };
                let max_slots = self.service_slots(service);
                let usable_workers =
                    || self.workers.values().filter(|w| w.info.service == *service && w.is_usable(&self.link, now));
                if usable_workers().next().is_none() {
                    return 0;
                }
                let range = self
                    .slot_ranges
                    .get(duty)
                    .copied()
                    .or_else(|| self.slot_ranges_of(service).first().copied())
                    .unwrap_or_default();
                let own_slots: u32 =
                    usable_workers().map(|w| range.slot_count(w.warm_up.slots(max_slots, now), w.slot_rounding)).sum();
                // Twice what can run, so that a free slot never waits for a network round trip.
                (own_slots * 2).clamp(1, 64)
            }
            Duty::Endpoint(name) => {
                let slots = self.link.rules.endpoints.get(name).map_or(1, |e| e.max_open_requests);
                let Some(endpoint) = self.endpoints.get_mut(name) else { return 0 };
                if endpoint.breaker.is_open(now) {
                    return 0;
                }
                if endpoint.breaker.is_tripped() {
                    return 1;
                }
                // One second's worth from each store, so that messages of all tenants
                // wait here and the fair queues can choose among them.
                slots.min(endpoint.rate_limiter.sends_per_second() as u32).max(1)
            }
        }
    }

    /// Tells each leader how many attempts it may offer, and which attempts of its
    /// partitions this daemon holds.
    pub(super) fn send_capacity(&mut self, now: Time) {
        self.capacity_sent_at = now;
        if !self.link.config_is_current(now) {
            return;
        }
        let mut by_leader: BTreeMap<Daemon, LeaderCapacity> = BTreeMap::new();
        for (p, x) in &self.link.partition_locations {
            by_leader.entry(x.leader.clone()).or_default().1.push((p.clone(), x.epoch));
        }
        for (duty, epoch) in self.link.leases.active(now) {
            if matches!(duty, Duty::TargetShard(_)) {
                continue;
            }
            let capacity = self.capacity_for(&duty, now);
            let held_for = self.link.held_since.get(&duty).map_or(Span::ZERO, |t| now.since(*t));
            let entry = Capacity { duty: duty.clone(), epoch, capacity, held_for };
            for (leader, (duties, partitions)) in by_leader.iter_mut() {
                let concerned = match &duty {
                    Duty::Deliver(p) => self.link.partition_locations.get(p).is_some_and(|x| x.leader == *leader),
                    _ => !partitions.is_empty(),
                };
                if concerned {
                    duties.push(entry.clone());
                }
            }
        }
        let routed = self.routed_capacity(by_leader.len(), now);
        for (leader, (duties, partitions)) in by_leader {
            if duties.is_empty() && routed.is_none() {
                continue;
            }
            let here: BTreeSet<&PartitionId> = partitions.iter().map(|p| &p.0).collect();
            let in_flight = self
                .attempts
                .values()
                .filter(|held| here.contains(&held.offer.partition))
                .map(|held| InFlightAttempt { partition: held.offer.partition.clone(), id: held.offer.header.id.clone() })
                .collect();
            self.send(
                &leader,
                PeerMessage::Capacity { requested_at: now, duties, partitions, in_flight, routed: routed.clone() },
            );
        }
    }
}
