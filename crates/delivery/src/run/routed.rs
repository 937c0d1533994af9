//! Routed messages: sent to the workers and addresses that only this daemon may send
//! to, under its target-shard duties.
use super::{OpenCall, SendTarget};
use crate::prelude::*;

/// The routed attempts that wait, by destination, and the state of the addresses.
#[derive(Default)]
pub struct RoutedMessages {
    /// Invariant: every attempt listed here is `Waiting` or no longer held.
    waiting: BTreeMap<Destination, VecDeque<AttemptId>>,
    addresses: BTreeMap<String, AddressState>,
    /// The target-shard duties held, with their epochs.
    held_shards: BTreeMap<Duty, Epoch>,
    /// Zones that operators have emptied, to detect which are taken back into use.
    emptied_zones: BTreeSet<Zone>,
}

/// An address that is in no worker list. Invariant: `open_calls` counts the calls in
/// progress there.
struct AddressState {
    rate_limiter: Option<RateLimiter>,
    breaker: CircuitBreaker,
    open_calls: u32,
    /// How many requests it runs at once, by its last answer; 0 if unknown.
    slots: u32,
    /// It answered that it is full, so nothing is sent there until this time.
    full_until: Time,
}

impl Default for AddressState {
    fn default() -> AddressState {
        AddressState {
            rate_limiter: None,
            breaker: CircuitBreaker::new(3, Span::secs(1)),
            open_calls: 0,
            slots: 0,
            full_until: Time(0),
        }
    }
}

/// Open calls to an address that has not reported its slots.
const DEFAULT_ADDRESS_SLOTS: u32 = 8;
/// The most open calls to an address whose service states no number of connections.
const MAX_ADDRESS_CALLS: u32 = 64;
/// A worker's last answer may arrive this long after the attempt's timeout.
const ANSWER_GRACE: Span = Span::millis(80);
/// An attempt is started only if its timeout plus this fits before its deadline.
const START_MARGIN: Span = Span::millis(150);
/// A worker or address that answers that it is full gets nothing for this long.
const FULL_PAUSE: Span = Span::millis(60);
/// The part of a cold worker's calls per second that is used, evenly spaced. Not all of
/// it: calls at both ends of a second count, and calls arrive a little unevenly.
const COLD_RATE_SHARE: f64 = 0.8;
/// The lowest rate to a cold worker in calls per second, whatever is configured, so that
/// none gets nothing.
const MIN_COLD_RATE: f64 = 1.0;

impl Delivery {
    /// The time that must be left before the deadline for an attempt to be started.
    pub(super) fn min_time_to_start(&self, held: &HeldAttempt) -> Span {
        match held.offer.destination {
            None => Span::millis(300),
            Some(_) => self.routed_timeout(&held.offer) + START_MARGIN,
        }
    }

    /// The timeout of one attempt of a routed message; zero if its route is not in force.
    fn routed_timeout(&self, o: &Offer) -> Span {
        let by_config = match o.stage {
            Stage::Pending => message_route(&self.link.rules.routes, &o.header).map_or(Span::ZERO, |r| r.attempt_timeout),
            _ => CALLBACK_TIMEOUT,
        };
        o.attempt_timeout(by_config)
    }

    /// Whether a call is open under a target-shard duty.
    pub(super) fn has_open_routed_call(&self, duty: &Duty) -> bool {
        let covers = |target: &SendTarget| match target {
            SendTarget::Worker(w) => self.workers.get(w).is_none_or(|w| Duty::for_worker(&w.info.zone, &w.info.id) == *duty),
            SendTarget::Address(a) => Duty::for_unlisted_address(a) == *duty,
        };
        self.calls.values().any(|c| matches!(c, OpenCall::Routed { target, .. } if covers(target)))
    }

    /// Takes over the granted target-shard duties; true if they changed.
    pub(super) fn update_target_shards(&mut self, grants: &[Grant], now: Time) -> bool {
        let granted: BTreeMap<Duty, Epoch> =
            grants.iter().filter(|g| matches!(g.duty, Duty::TargetShard(_))).map(|g| (g.duty.clone(), g.epoch)).collect();
        if granted == self.routed.held_shards {
            return false;
        }
        // Another daemon may have sent to the targets of a new duty just before, so their
        // pacing starts over.
        let previous = std::mem::replace(&mut self.routed.held_shards, granted);
        let new_shards: BTreeSet<&Duty> =
            self.routed.held_shards.iter().filter(|(d, e)| previous.get(d) != Some(e)).map(|x| x.0).collect();
        for (addr, address) in self.routed.addresses.iter_mut() {
            if new_shards.contains(&Duty::for_unlisted_address(addr)) {
                address.rate_limiter = None;
            }
        }
        for w in self.workers.values_mut() {
            if new_shards.contains(&Duty::for_worker(&w.info.zone, &w.info.id)) {
                w.next_cold_send = now + Span::millis(400);
            }
        }
        true
    }

    /// Treats the workers of a zone that is taken back into use as cold: they may have
    /// gone cold meanwhile.
    pub(super) fn update_emptied_zones(&mut self, now: Time) {
        let reopened: Vec<Zone> = self.routed.emptied_zones.difference(&self.link.emptied_zones).cloned().collect();
        self.routed.emptied_zones.clone_from(&self.link.emptied_zones);
        for w in self.workers.values_mut().filter(|w| reopened.contains(&w.info.zone)) {
            let cold = self.link.rules.services.get(&w.info.service).map_or(Span::secs(3), |s| Span::millis(s.warm_up_ms));
            w.cold_until = w.cold_until.max(now + cold);
        }
        self.send_capacity(now);
    }

    /// Whether this daemon holds the duty to send routed messages to a worker.
    fn may_send_to_worker(&self, w: &WorkerState, now: Time) -> bool {
        self.link.active_epoch(&Duty::for_worker(&w.info.zone, &w.info.id), now).is_some()
    }

    /// How many routed messages a worker runs at once.
    fn worker_slots(&self, w: &WorkerState) -> u32 {
        match w.info.slots {
            0 => self.service_slots(&w.info.service),
            n => n,
        }
    }

    /// Whether a worker may get routed messages.
    fn can_take_routed(&self, w: &WorkerState, now: Time) -> bool {
        // A worker that could not be reached has to pass a health check first, if its
        // service has one.
        let has_health_check = || self.link.rules.services.get(&w.info.service).is_some_and(|s| !s.health_check_path.is_empty());
        let check_pending = w.connect_breaker.is_tripped() && has_health_check();
        w.is_usable(&self.link, now) && !w.is_gone && !w.failure_breaker.is_open(now) && !check_pending
    }

    /// How many routed messages of each service this daemon takes from each of `leaders`
    /// stores, and which addresses it calls back; none if the configuration has no spool. A
    /// spool outlives its routes: call-backs of messages of removed routes are still owed.
    pub(super) fn routed_capacity(&self, leaders: usize, now: Time) -> Option<RoutedCapacity> {
        if self.link.rules.spool_partitions == 0 {
            return None;
        }
        let takes_nothing = self.leaving_since.is_some() || self.attempts.len() >= self.startup.max_attempts;
        let per_leader = |n: u32| n.div_ceil(leaders.max(1) as u32);
        let mut services: BTreeMap<String, u32> = BTreeMap::new();
        for w in
            self.workers.values().filter(|w| !takes_nothing && self.can_take_routed(w, now) && self.may_send_to_worker(w, now))
        {
            *services.entry(w.info.service.clone()).or_default() += self.worker_slots(w);
        }
        for n in services.values_mut() {
            // Twice an even share for each leader, because messages don't arrive evenly.
            *n = per_leader(*n * 2).max(1);
        }
        let mut addresses: Vec<Duty> = self.link.leases.active(now).into_iter().map(|x| x.0).collect();
        addresses.retain(|d| !takes_nothing && matches!(d, Duty::TargetShard(_)));
        for s in self.link.rules.services.values().filter(|s| !s.address.is_empty()) {
            if takes_nothing || self.link.active_epoch(&Duty::for_unlisted_address(&s.address), now).is_none() {
                continue;
            }
            let capacity = match self.routed.addresses.get(&s.address) {
                Some(x) if x.breaker.is_open(now) => 0,
                Some(x) if x.breaker.is_tripped() => 1,
                _ => per_leader(self.max_address_calls(s) * 2).max(2),
            };
            services.insert(s.name.clone(), capacity);
        }
        Some(RoutedCapacity {
            incarnation: self.startup.me.incarnation,
            services: services.into_iter().collect(),
            addresses,
            body_bytes: (self.startup.max_body_bytes / leaders.max(1) as u64).max(1),
        })
    }

    /// The most open calls to the address of a service that has one address instead of workers.
    fn max_address_calls(&self, s: &Service) -> u32 {
        let reported = self.routed.addresses.get(&s.address).map_or(0, |x| x.slots);
        let slots = if reported > 0 { reported } else { DEFAULT_ADDRESS_SLOTS };
        let limit =
            if s.max_connections_per_worker > 0 { (s.max_connections_per_worker * 3 / 4).max(1) } else { MAX_ADDRESS_CALLS };
        slots.min(limit)
    }

    /// Accepts an offer of a routed message.
    pub(super) fn on_routed_offer(
        &mut self,
        id: AttemptId,
        destination: Destination,
        offer: Offer,
        requested_at: Time,
        now: Time,
    ) {
        if self.attempts.contains_key(&id) || !offer.header.matches(&offer.body) {
            return;
        }
        let timeout = self.routed_timeout(&offer);
        if timeout == Span::ZERO {
            // The route is not in force here, or not yet.
            self.counts.stale += 1;
            self.attempts.insert(
                id.clone(),
                HeldAttempt { offer, state: AttemptState::Waiting, deadline: requested_at + MAX_ROUTED_START_DELAY },
            );
            return self.finish_attempt(&id, AttemptOutcome::NotStarted, now);
        }
        let deadline = requested_at + timeout + MAX_ROUTED_START_DELAY;
        self.routed.waiting.entry(destination).or_default().push_back(id.clone());
        self.attempts.insert(id, HeldAttempt { offer, state: AttemptState::Waiting, deadline });
    }

    /// Returns the waiting routed attempts at once, because the daemon shuts down.
    pub(super) fn return_waiting_routed(&mut self, now: Time) {
        for id in std::mem::take(&mut self.routed.waiting).into_values().flatten() {
            if self.attempts.get(&id).is_some_and(|held| held.state == AttemptState::Waiting) {
                self.finish_attempt(&id, AttemptOutcome::NotStarted, now);
            }
        }
    }

    /// Starts the waiting routed attempts that can start now.
    pub(super) fn start_waiting_routed(&mut self, now: Time) {
        let destinations: Vec<Destination> = self.routed.waiting.keys().cloned().collect();
        for destination in destinations {
            while let Some(id) = self.routed.waiting.get(&destination).and_then(|l| l.front().cloned()) {
                let waits = self.attempts.get(&id).is_some_and(|held| held.state == AttemptState::Waiting);
                let target = match (&destination, waits) {
                    (_, false) => None,
                    (Destination::Address(a), _) => match self.may_send_to_address(a, None, now) {
                        true => Some((a.clone(), SendTarget::Address(a.clone()))),
                        false => break,
                    },
                    (Destination::Service(s), _) => match self.choose_routed_target(s, now) {
                        Some(x) => Some(x),
                        None => break,
                    },
                };
                if let Some(l) = self.routed.waiting.get_mut(&destination) {
                    l.pop_front();
                }
                if let Some((addr, target)) = target {
                    self.start_routed(id, addr, target, now);
                }
            }
        }
        self.routed.waiting.retain(|_, l| !l.is_empty());
    }

    /// Whether a message may be sent to an address now.
    fn may_send_to_address(&mut self, addr: &str, service: Option<&Service>, now: Time) -> bool {
        if self.link.active_epoch(&Duty::for_unlisted_address(addr), now).is_none() {
            return false;
        }
        let max_calls = service.map_or(DEFAULT_ADDRESS_SLOTS, |s| self.max_address_calls(s));
        let rate = service.map_or(0.0, |s| s.max_requests_per_second);
        let address = self.routed.addresses.entry(addr.to_string()).or_default();
        if rate > 0.0 {
            let rate_limiter = address.rate_limiter.get_or_insert_with(|| RateLimiter::with_endpoint_rate(rate, now));
            rate_limiter.set_endpoint_rate(rate);
            if rate_limiter.available(now) == 0 {
                return false;
            }
        }
        let max_calls = if address.breaker.is_tripped() { 1 } else { max_calls };
        !address.breaker.is_open(now) && address.open_calls < max_calls && now >= address.full_until
    }

    /// Chooses where a message of a service is sent now: the least busy of the workers
    /// that only this daemon sends to, or the service's one address.
    fn choose_routed_target(&mut self, service: &str, now: Time) -> Option<(String, SendTarget)> {
        let s = self.link.rules.services.get(service)?.clone();
        if !s.address.is_empty() {
            let may_send = self.may_send_to_address(&s.address, Some(&s), now);
            return may_send.then(|| (s.address.clone(), SendTarget::Address(s.address.clone())));
        }
        let own_workers = self.workers.values().filter(|w| w.info.service == service && self.may_send_to_worker(w, now));
        let has_free_slot = |w: &&WorkerState| {
            let wait_for_cold = now < w.cold_until && now < w.next_cold_send;
            !wait_for_cold
                && self.can_take_routed(w, now)
                && w.open_calls < self.worker_slots(w)
                && now >= w.full_until
                && !(w.failure_breaker.is_tripped() && w.open_calls > 0)
        };
        let rotation = self.next_call;
        let best = own_workers.filter(has_free_slot).min_by_key(|w| {
            let permille_busy = u64::from(w.open_calls) * 1000 / u64::from(self.worker_slots(w).max(1));
            (now < w.cold_until, permille_busy, w.slot_rounding.wrapping_mul(rotation | 1) >> 32)
        })?;
        Some((best.info.addr.clone(), SendTarget::Worker(best.info.id.clone())))
    }

    fn start_routed(&mut self, id: AttemptId, addr: String, target: SendTarget, now: Time) {
        let Some(held) = self.attempts.get(&id) else { return };
        let timeout = self.routed_timeout(&held.offer);
        let (stage, token, body) = (held.offer.stage, held.offer.header.completion_token.clone(), held.offer.body.clone());
        let caller_request = held.offer.header.caller_request.clone();
        let late = timeout == Span::ZERO || held.deadline.remaining(now) < timeout + START_MARGIN;
        let (false, Some(caller_request)) = (late, caller_request) else {
            return self.finish_attempt(&id, AttemptOutcome::NotStarted, now);
        };
        let worker = match &target {
            SendTarget::Worker(w) => Some(w.clone()),
            SendTarget::Address(_) => None,
        };
        let kind = match stage {
            Stage::EndedAwaitingCallback(Outcome::Succeeded) => {
                CallKind::Callback { caller_request, message_status: RoutedMessageStatus::Done(token) }
            }
            Stage::EndedAwaitingCallback(_) => CallKind::Callback { caller_request, message_status: RoutedMessageStatus::Dead },
            _ => CallKind::RunMessage { caller_request, worker, timeout },
        };
        match &target {
            SendTarget::Worker(w) => {
                if let Some(state) = self.workers.get_mut(w) {
                    let cold_rate = self.link.rules.services.get(&state.info.service).map_or(0.0, |s| s.cold_requests_per_second);
                    state.open_calls += 1;
                    let rate = cold_rate.max(self.startup.cold_calls_per_second * COLD_RATE_SHARE).max(MIN_COLD_RATE);
                    state.next_cold_send = now + Span((1e6 / rate) as u64);
                }
            }
            SendTarget::Address(a) => {
                if let Some(s) = self.routed.addresses.get_mut(a) {
                    s.open_calls += 1;
                    if let Some(p) = s.rate_limiter.as_mut() {
                        p.try_acquire(now);
                    }
                }
            }
        }
        let call =
            Call { is_post: true, addr, path: String::new(), headers: Vec::new(), body, timeout: timeout + ANSWER_GRACE, kind };
        let call = self.start_call(OpenCall::Routed { attempt: id.clone(), target }, call);
        if let Some(held) = self.attempts.get_mut(&id) {
            held.state = AttemptState::Running(call);
        }
    }

    /// Updates the target after a routed call and ends its attempt or queues it again.
    pub(super) fn on_routed_result(&mut self, id: AttemptId, target: SendTarget, result: CallResult, now: Time) {
        let outcome = match &result {
            CallResult::RunFinished { outcome, .. } => outcome.clone(),
            CallResult::Failed(SendState::NotSent) => RunOutcome::NotRun { worker_gone: false },
            _ => RunOutcome::Unknown(UnknownOutcomeCause::CallFailed),
        };
        match &target {
            SendTarget::Worker(w) => self.record_routed_worker_result(w, &result, &outcome, now),
            SendTarget::Address(a) => self.record_address_result(a, &result, &outcome, now),
        }
        match outcome {
            RunOutcome::Done(token) => self.finish_with_token(&id, AttemptOutcome::Success, token, now),
            RunOutcome::Failed => self.finish_attempt(&id, AttemptOutcome::Failed, now),
            RunOutcome::PermanentFailure => self.finish_attempt(&id, AttemptOutcome::PermanentFailure, now),
            RunOutcome::Unknown(cause) => {
                self.log_unknown_outcome(&id, &target, cause);
                self.finish_attempt(&id, AttemptOutcome::Unknown, now);
            }
            RunOutcome::NotRun { .. } => self.requeue_routed(id, now),
        }
    }

    fn log_unknown_outcome(&mut self, id: &AttemptId, target: &SendTarget, cause: UnknownOutcomeCause) {
        let Some(held) = self.attempts.get(id) else { return };
        let (partition, header, attempt) = (&held.offer.partition, &held.offer.header, held.offer.attempt);
        let text = format!("{partition} {} attempt {attempt} at {target}: {cause}", header.id);
        self.effects.push(Effect::Log(LogEvent::AttemptOutcomeUnknown, text));
    }

    /// Puts an attempt that did not run back at the front of its queue, so that another
    /// worker may get it at once. Without time for that, it ends as not started.
    fn requeue_routed(&mut self, id: AttemptId, now: Time) {
        let Some(held) = self.attempts.get(&id) else { return };
        let for_service = matches!(held.offer.destination, Some(Destination::Service(_)));
        if !for_service || held.deadline.remaining(now) < self.min_time_to_start(held) || self.leaving_since.is_some() {
            return self.finish_attempt(&id, AttemptOutcome::NotStarted, now);
        }
        let Some(held) = self.attempts.get_mut(&id) else { return };
        held.state = AttemptState::Waiting;
        let Some(destination) = held.offer.destination.clone() else { return };
        self.routed.waiting.entry(destination).or_default().push_front(id);
    }

    fn record_routed_worker_result(&mut self, id: &WorkerId, result: &CallResult, outcome: &RunOutcome, now: Time) {
        let Some(state) = self.workers.get_mut(id) else { return };
        state.open_calls = state.open_calls.saturating_sub(1);
        state.last_contact = now;
        if let CallResult::RunFinished { load, .. } = result {
            state.last_answer = now;
            state.load = load.as_ref().map_or(state.load, |l| l.running + l.waiting);
        }
        let mut event = None;
        match (result, outcome) {
            (CallResult::Failed(SendState::NotSent), _) => {
                if state.connect_breaker.record_failure(now) {
                    event = Some((LogEvent::WorkerEjected, format!("{id} can't be reached")));
                }
            }
            (_, RunOutcome::Unknown(_)) => {
                if state.failure_breaker.record_failure(now) {
                    event = Some((LogEvent::WorkerEjected, id.to_string()));
                }
            }
            (_, RunOutcome::NotRun { worker_gone: true }) => {
                state.is_gone = true;
                event = Some((LogEvent::WorkerEjected, format!("{id} is not there any more")));
            }
            (_, RunOutcome::NotRun { worker_gone: false }) => state.full_until = now + FULL_PAUSE,
            _ => {
                if state.connect_breaker.record_success() | state.failure_breaker.record_success() {
                    event = Some((LogEvent::WorkerReadmitted, id.to_string()));
                }
            }
        }
        if let Some((event, text)) = event {
            self.effects.push(Effect::Log(event, text));
            self.send_capacity(now);
        }
    }

    fn record_address_result(&mut self, addr: &str, result: &CallResult, outcome: &RunOutcome, now: Time) {
        let Some(s) = self.routed.addresses.get_mut(addr) else { return };
        s.open_calls = s.open_calls.saturating_sub(1);
        if let CallResult::RunFinished { load: Some(l), .. } = result {
            s.slots = l.slots;
        }
        let failed = matches!(outcome, RunOutcome::Unknown(_)) || matches!(result, CallResult::Failed(_));
        let event = match outcome {
            _ if failed => s.breaker.record_failure(now).then_some(LogEvent::BreakerOpen),
            RunOutcome::NotRun { .. } => {
                s.full_until = now + FULL_PAUSE;
                None
            }
            _ => s.breaker.record_success().then_some(LogEvent::BreakerClosed),
        };
        if let Some(event) = event {
            self.effects.push(Effect::Log(event, addr.to_string()));
            self.send_capacity(now);
        }
    }

    /// Sends health checks to workers that could not be reached, so that no message is
    /// spent on finding out whether they are back.
    pub(super) fn probe_unreachable_workers(&mut self, now: Time) {
        if self.link.rules.routes.is_empty() || self.leaving_since.is_some() {
            return;
        }
        let due: Vec<(WorkerId, String, String)> = self
            .workers
            .values()
            .filter(|w| w.connect_breaker.is_tripped() && !w.connect_breaker.is_open(now) && !w.is_gone && w.open_calls == 0)
            .filter(|w| now.since(w.last_probe) >= Span::millis(500) && self.may_send_to_worker(w, now))
            .filter_map(|w| {
                let s = self.link.rules.services.get(&w.info.service)?;
                Some((w.info.id.clone(), w.info.addr.clone(), s.health_check_path.clone()))
            })
            .filter(|x| !x.2.is_empty())
            .collect();
        for (worker, addr, path) in due {
            if let Some(w) = self.workers.get_mut(&worker) {
                w.last_probe = now;
            }
            let timeout = Span::millis(500);
            let (headers, body, kind) = (Vec::new(), Bytes::new(), CallKind::HealthCheck { path });
            let call = Call { is_post: false, addr, path: String::new(), headers, body, timeout, kind };
            self.start_call(OpenCall::Probe { worker }, call);
        }
    }

    /// Updates a worker after a health check.
    pub(super) fn on_probe_result(&mut self, id: WorkerId, result: CallResult, now: Time) {
        let Some(state) = self.workers.get_mut(&id) else { return };
        match result {
            CallResult::Health { worker: Some(w), .. } if w != id => state.is_gone = true,
            CallResult::Health { healthy: true, .. } => {
                if state.connect_breaker.record_success() {
                    self.effects.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                    self.send_capacity(now);
                }
            }
            _ => _ = state.connect_breaker.record_failure(now),
        }
    }
}
