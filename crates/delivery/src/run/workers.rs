//! The workers: which exist, the health and load of each, and the choice of the
//! worker for an attempt.
use super::OpenCall;
use crate::prelude::*;
use crate::worker::RESTART_REPORT_DELAY;

/// How often an idle worker is asked for its load.
const LOAD_REQUEST_INTERVAL: Span = Span::millis(500);

impl Delivery {
    /// Takes over the newest worker list.
    pub(super) fn update_workers(&mut self, now: Time) {
        if self.link.version_vector().get(Topic::Workers) == Version::ZERO {
            return;
        }
        let list = self.link.workers.clone();
        let names: BTreeSet<WorkerId> = list.iter().map(|w| w.id.clone()).collect();
        for w in list {
            let warm = self.link.rules.services.get(&w.service).map_or(Span::secs(10), |s| Span::millis(s.warm_up_ms));
            let cold = now + w.remaining_warm_up;
            match self.workers.get_mut(&w.id) {
                // A worker with the same id at another address is another worker.
                Some(state) if state.info.addr == w.addr => {
                    // Another delivery daemon saw the worker restart.
                    let since = Time(now.0.saturating_sub(w.age.0));
                    if since > state.warm_up.started_at + Span::secs(1) {
                        state.warm_up.started_at = since;
                    }
                    if cold > state.cold_until + Span::millis(500) {
                        state.cold_until = cold;
                    }
                    state.info = w;
                    state.warm_up.duration = warm;
                }
                _ => {
                    let w = Worker { age: if self.first_list_at.is_some() { Span::ZERO } else { w.age }, ..w };
                    self.workers.insert(w.id.clone(), WorkerState::new(w, warm, now));
                }
            }
        }
        self.workers.retain(|id, _| names.contains(id));
        self.first_list_at.get_or_insert(now);
    }

    /// Takes over newly granted slot ranges. If this daemon gets more slots at a worker
    /// that is warming up, it counts as just called: the daemon that had the slots before
    /// may have called it.
    pub(super) fn update_slot_ranges(&mut self, grants: &[Grant], now: Time) {
        let granted: BTreeMap<Duty, SlotRange> = grants.iter().filter_map(|g| Some((g.duty.clone(), g.slot_range?))).collect();
        if granted == self.slot_ranges {
            return;
        }
        let warming: BTreeSet<String> =
            self.workers.values().filter(|w| w.warm_up.is_warming(now)).map(|w| w.info.service.clone()).collect();
        let ranges_before: BTreeMap<String, Vec<SlotRange>> =
            warming.into_iter().map(|s| (s.clone(), self.slot_ranges_of(&s))).collect();
        self.slot_ranges = granted;
        for (service, old_ranges) in ranges_before {
            let (max_slots, new_ranges) = (self.service_slots(&service), self.slot_ranges_of(&service));
            for w in self.workers.values_mut().filter(|w| w.info.service == service && w.warm_up.is_warming(now)) {
                let slots = w.warm_up.slots(max_slots, now);
                let slots_in = |all: &[SlotRange]| all.iter().map(|s| s.slot_count(slots, w.slot_rounding)).sum::<u32>();
                if slots_in(&new_ranges) > slots_in(&old_ranges) {
                    w.warm_up.last_start = now;
                }
            }
        }
    }

    /// The number of delivery daemons, at least one.
    pub(super) fn delivery_count(&self) -> u32 {
        (self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).count() as u32).max(1)
    }

    /// How many calls one worker of a service may run at once, over all delivery daemons.
    pub(super) fn service_slots(&self, service: &str) -> u32 {
        self.link.rules.services.get(service).map_or(4, |s| s.slots_per_worker)
    }

    /// The slot ranges of a service that this daemon's duties have. If the placement
    /// daemon granted no ranges, the delivery daemons share the slots evenly.
    pub(super) fn slot_ranges_of(&self, service: &str) -> Vec<SlotRange> {
        let uses_service = |p: &PartitionId| {
            self.link.rules.rule_for_partition(p).is_some_and(|r| r.target == Target::Workers(service.to_string()))
        };
        let own_ranges = self.slot_ranges.iter().filter(|(d, _)| matches!(d, Duty::Deliver(p) if uses_service(p)));
        let all: Vec<SlotRange> = own_ranges.map(|x| *x.1).collect();
        if !all.is_empty() || !self.slot_ranges.is_empty() {
            return all;
        }
        let all: Vec<&Daemon> = self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).collect();
        let index = all.iter().position(|d| **d == self.startup.me.id).unwrap_or(0) as u32;
        let width = SlotRange::FULL_WIDTH / self.delivery_count();
        vec![SlotRange { from: index * width, to: (index + 1) * width }]
    }

    /// Draws two workers at random and chooses the less loaded one, from the own zone
    /// first where the configuration says so. Of two with equal load, the one whose last
    /// call is longer ago: chance alone would now and then send all calls of one second
    /// to the same worker, which is too much for one that is warming up.
    pub(super) fn choose_worker(&mut self, service: &str, ranges: &[SlotRange], now: Time) -> Option<WorkerId> {
        let max_slots = self.service_slots(service);
        let list_is_new = self.first_list_at.is_none_or(|t| now.since(t) < RESTART_REPORT_DELAY);
        let same_zone_first = self.link.rules.services.get(service).is_some_and(|s| s.same_zone_first);
        let candidates: Vec<&WorkerState> = self.workers.values().filter(|w| w.info.service == service).collect();
        let failing = candidates.iter().filter(|w| w.failure_breaker.is_open(now)).count();
        // If more than half of the workers fail, the cause is probably not the workers,
        // so none is excluded for failing.
        let ignore_failures = failing * 2 > candidates.len();
        let mut available: Vec<&WorkerState> = candidates
            .into_iter()
            .filter(|w| w.is_usable(&self.link, now) && (ignore_failures || !w.failure_breaker.is_open(now)))
            .filter(|w| {
                let slots = w.warm_up.slots(max_slots, now);
                let own_slots: u32 = ranges.iter().map(|s| s.slot_count(slots, w.slot_rounding)).sum();
                if list_is_new || w.may_have_restarted(now) {
                    let just_started = WarmUp { started_at: now, ..w.warm_up };
                    return w.open_calls < own_slots.min(1) && just_started.may_start(slots, own_slots, now);
                }
                w.open_calls < own_slots && w.warm_up.may_start(slots, own_slots, now)
            })
            .collect();
        // A worker that is warming up is not preferred for its zone: it would get all of
        // a backlog, and the warm workers in other zones next to nothing.
        let here = &self.startup.me.zone;
        if same_zone_first && available.iter().any(|w| w.info.zone == *here && !w.warm_up.is_warming(now)) {
            available.retain(|w| w.info.zone == *here);
        }
        if available.is_empty() {
            return None;
        }
        let first = self.rng.usize(..available.len());
        let other = (first + self.rng.usize(1..available.len().max(2))) % available.len();
        let weight = |w: &&WorkerState| (w.open_calls * 2 + w.load, w.open_calls, w.warm_up.last_start);
        let best = [available[first], available[other]].into_iter().min_by_key(weight)?;
        Some(best.info.id.clone())
    }

    /// Asks idle workers without recent contact for their load.
    pub(super) fn request_loads(&mut self, now: Time) {
        // Workers that only routes lead to report their load with each answer.
        let asked: BTreeSet<&String> = self
            .link
            .rules
            .queues
            .values()
            .filter_map(|r| match &r.target {
                Target::Workers(s) => Some(s),
                _ => None,
            })
            .collect();
        let idle: Vec<(WorkerId, String)> = self
            .workers
            .values()
            .filter(|w| {
                asked.contains(&w.info.service)
                    && !w.load_requested
                    && now.since(w.last_contact) > LOAD_REQUEST_INTERVAL
                    && w.open_calls == 0
            })
            .map(|w| (w.info.id.clone(), w.info.addr.clone()))
            .collect();
        for (worker, addr) in idle {
            if let Some(w) = self.workers.get_mut(&worker) {
                w.load_requested = true;
            }
            let call = Call {
                is_post: false,
                addr,
                path: "/load".into(),
                headers: Vec::new(),
                body: Bytes::new(),
                timeout: Span::millis(800),
                kind: CallKind::Plain,
            };
            self.start_call(OpenCall::Load { worker }, call);
        }
    }

    /// Updates a worker's load and breakers after a call for a queue's attempt or a load
    /// request (`load_only`).
    pub(super) fn record_worker_result(&mut self, id: &WorkerId, result: &CallResult, load_only: bool, now: Time) {
        let Some(state) = self.workers.get_mut(id) else { return };
        match result {
            CallResult::Answered { code, load, draining, .. } => {
                if load_only {
                    state.record_silence(now);
                }
                state.last_answer = now;
                state.load = load.unwrap_or(state.load);
                state.draining = *draining;
                if state.connect_breaker.record_success() {
                    // It was unreachable and may have restarted, so it warms up again.
                    state.warm_up.started_at = now;
                    self.effects.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                }
                let Some(state) = self.workers.get_mut(id) else { return };
                if *code >= 500 && *code != 503 {
                    if state.failure_breaker.record_failure(now) {
                        self.effects.push(Effect::Log(LogEvent::WorkerEjected, id.to_string()));
                    }
                } else if !load_only && state.failure_breaker.record_success() {
                    // A worker that kept answering, even with errors, did not restart; one
                    // whose connection broke may have.
                    if std::mem::take(&mut state.connection_lost) {
                        state.warm_up.started_at = now;
                    }
                    self.effects.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                }
            }
            CallResult::RunFinished { .. } | CallResult::WorkerList(_) | CallResult::Health { .. } => {}
            CallResult::Failed(SendState::NotSent) => {
                if state.connect_breaker.record_failure(now) {
                    self.effects.push(Effect::Log(LogEvent::WorkerEjected, format!("{id} can't be reached")));
                }
            }
            CallResult::Failed(SendState::MaybeSent) => {
                state.connection_lost = true;
                if state.failure_breaker.record_failure(now) {
                    self.effects.push(Effect::Log(LogEvent::WorkerEjected, id.to_string()));
                }
            }
        }
    }
}
