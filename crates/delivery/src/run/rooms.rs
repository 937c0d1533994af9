//! What this daemon takes from each leader, and how it tells them.
use crate::prelude::*;

/// What one leader is told: room for each duty, and the epochs known.
type Rooms = (Vec<Capacity>, Vec<(PartitionId, Epoch)>);

impl Delivery {
    pub(super) fn room(&mut self, duty: &Duty, now: Time) -> u32 {
        if self.leaving.is_some() || self.shedding.contains(duty) || self.hands.len() >= self.startup.hands_max {
            return 0;
        }
        match duty {
            Duty::Lead(_) | Duty::TargetShard(_) => 0,
            Duty::Deliver(place) => {
                let Some(rule) = self.link.rules.rule_for_partition(place) else { return 0 };
                let Target::Workers(service) = &rule.target else { return 0 };
                let full = self.full(service);
                let fit = || self.workers.values().filter(|w| w.info.service == *service && w.usable(&self.link, now));
                if fit().next().is_none() {
                    return 0;
                }
                let slice =
                    self.slices.get(duty).copied().or_else(|| self.slices_of(service).first().copied()).unwrap_or_default();
                let mine: u32 = fit().map(|w| slice.of(w.ramp.slots(full, now), w.turn)).sum();
                // Twice what can run, so a free slot never waits for a trip.
                (mine * 2).clamp(1, 64)
            }
            Duty::Endpoint(name) => {
                let slots = self.link.rules.endpoints.get(name).map_or(1, |e| e.max_open_requests);
                let Some(desk) = self.desks.get_mut(name) else { return 0 };
                if desk.breaker.is_open(now) {
                    return 0;
                }
                if desk.breaker.is_tripped() {
                    return 1;
                }
                // A second's worth from each store: so all tenants' messages
                // stand here to take their turns.
                slots.min(desk.allowance.sends_per_second() as u32).max(1)
            }
        }
    }

    /// Tells each leader how much it may hand over, and what is in hand.
    pub(super) fn send_rooms(&mut self, now: Time) {
        self.roomed = now;
        if !self.link.config_is_current(now) {
            return;
        }
        let mut by: BTreeMap<Daemon, Rooms> = BTreeMap::new();
        for (p, x) in &self.link.partition_locations {
            by.entry(x.leader.clone()).or_default().1.push((p.clone(), x.epoch));
        }
        for (duty, epoch) in self.link.leases.active(now) {
            if matches!(duty, Duty::TargetShard(_)) {
                continue;
            }
            let room = self.room(&duty, now);
            let since = self.link.held_since.get(&duty).map_or(Span::ZERO, |t| now.since(*t));
            let one = Capacity { duty: duty.clone(), epoch, capacity: room, held_for: since };
            for (leader, (rooms, places)) in by.iter_mut() {
                let here = match &duty {
                    Duty::Deliver(p) => self.link.partition_locations.get(p).is_some_and(|x| x.leader == *leader),
                    _ => !places.is_empty(),
                };
                if here {
                    rooms.push(one.clone());
                }
            }
        }
        let reach = self.reach(by.len(), now);
        for (leader, (duties, places)) in by {
            if duties.is_empty() && reach.is_none() {
                continue;
            }
            let here: BTreeSet<&PartitionId> = places.iter().map(|p| &p.0).collect();
            let holding = self
                .hands
                .values()
                .filter(|h| here.contains(&h.offer.partition))
                .map(|h| InFlightAttempt { partition: h.offer.partition.clone(), id: h.offer.header.id.clone() })
                .collect();
            self.say(
                &leader,
                PeerMessage::Capacity {
                    requested_at: now,
                    duties,
                    partitions: places,
                    in_flight: holding,
                    routed: reach.clone(),
                },
            );
        }
    }
}
