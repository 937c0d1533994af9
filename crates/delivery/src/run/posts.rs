//! Routed messages: carried to the workers and addresses that this daemon
//! alone may send to, under its duties of reach.
use super::{Aim, Called};
use crate::prelude::*;

/// What waits for each goal, and the addresses sent to.
#[derive(Default)]
pub struct Posts {
    /// Invariant: every hand named here is `Waiting`, or gone.
    lines: BTreeMap<Destination, VecDeque<HandId>>,
    sites: BTreeMap<String, Site>,
    /// The duties of reach held, with their epochs.
    held: BTreeMap<Duty, Epoch>,
    /// Zones that were emptied, to see which are taken back.
    empty: BTreeSet<Zone>,
}

/// An address on no list. Invariant: `open` counts the calls under way there.
struct Site {
    pace: Option<RateLimiter>,
    breaker: CircuitBreaker,
    open: u32,
    /// Requests it runs at once, by its own word.
    slots: u32,
    full_until: Time,
}

impl Default for Site {
    fn default() -> Site {
        Site { pace: None, breaker: CircuitBreaker::new(3, Span::secs(1)), open: 0, slots: 0, full_until: Time(0) }
    }
}

/// Calls open at once to an address that said nothing of its slots.
const SITE_SLOTS: u32 = 8;
const SITE_MOST: u32 = 64;
/// A worker's own last word may come a little after the attempt's end.
const LATE: Span = Span::millis(80);
/// A hand is begun no later than this before its hard end.
const SLACK: Span = Span::millis(150);
/// A worker that says it is full is left alone for so long.
const FULL: Span = Span::millis(60);
/// So much of what a cold worker bears in a second it is sent, evenly: the
/// second's both ends count, and sends arrive a little unevenly.
const COLD_SLACK_USED: f64 = 0.8;
/// A second, whatever is stated: none is left without any.
const COLD_RATE_LEAST: f64 = 1.0;

impl Delivery {
    /// The time a hand needs to be begun at all.
    pub(super) fn least(&self, h: &Hand) -> Span {
        match h.offer.destination {
            None => Span::millis(300),
            Some(_) => self.span_of(&h.offer) + SLACK,
        }
    }

    /// How long one attempt of a routed message may last; zero when its route
    /// is not in force.
    fn span_of(&self, o: &Offer) -> Span {
        let by_config = match o.stage {
            Stage::Pending => self.link.rules.routes.get(&o.header.route).map_or(Span::ZERO, |r| r.attempt_timeout),
            _ => CALLBACK_TIMEOUT,
        };
        o.attempt_timeout(by_config)
    }

    /// Whether something is open under a duty of reach.
    pub(super) fn reaching(&self, duty: &Duty) -> bool {
        let under = |at: &Aim| match at {
            Aim::Worker(w) => self.workers.get(w).is_none_or(|w| Duty::for_worker(&w.info.zone, &w.info.id) == *duty),
            Aim::Address(a) => Duty::for_unlisted_address(a) == *duty,
        };
        self.calls.values().any(|c| matches!(c, Called::Post { at, .. } if under(at)))
    }

    /// Duties of reach that are new here or gone; true when any is.
    pub(super) fn learn_reach(&mut self, grants: &[Grant], now: Time) -> bool {
        let held: BTreeMap<Duty, Epoch> =
            grants.iter().filter(|g| matches!(g.duty, Duty::TargetShard(_))).map(|g| (g.duty.clone(), g.epoch)).collect();
        if held == self.posts.held {
            return false;
        }
        // A newcomer may follow a sender it knows nothing of.
        let old = std::mem::replace(&mut self.posts.held, held);
        let fresh: BTreeSet<&Duty> = self.posts.held.iter().filter(|(d, e)| old.get(d) != Some(e)).map(|x| x.0).collect();
        for (addr, site) in self.posts.sites.iter_mut() {
            if fresh.contains(&Duty::for_unlisted_address(addr)) {
                site.pace = None;
            }
        }
        for w in self.workers.values_mut() {
            if fresh.contains(&Duty::for_worker(&w.info.zone, &w.info.id)) {
                w.cold_next = now + Span::millis(400);
            }
        }
        true
    }

    /// A zone that is taken back may have turned cold meanwhile.
    pub(super) fn learn_orders(&mut self, now: Time) {
        let back: Vec<Zone> = self.posts.empty.difference(&self.link.emptied_zones).cloned().collect();
        self.posts.empty.clone_from(&self.link.emptied_zones);
        for w in self.workers.values_mut().filter(|w| back.contains(&w.info.zone)) {
            let cold = self.link.rules.services.get(&w.info.service).map_or(Span::secs(3), |s| Span::millis(s.warm_up_ms));
            w.cold_until = w.cold_until.max(now + cold);
        }
        self.send_rooms(now);
    }

    fn may_reach(&self, w: &Fitness, now: Time) -> bool {
        self.link.active_epoch(&Duty::for_worker(&w.info.zone, &w.info.id), now).is_some()
    }

    fn slots_of(&self, w: &Fitness) -> u32 {
        match w.info.slots {
            0 => self.full(&w.info.service),
            n => n,
        }
    }

    fn fit(&self, w: &Fitness, now: Time) -> bool {
        // One that could not be reached is asked whether it is well, where
        // it can be asked, before a message goes there.
        let asked = || self.link.rules.services.get(&w.info.service).is_some_and(|s| !s.health_check_path.is_empty());
        let unasked = w.down.is_tripped() && asked();
        w.usable(&self.link, now) && !w.gone && !w.sick.is_open(now) && !unasked
    }

    /// How much of each service this daemon takes from each of `leaders`
    /// stores; none while the configuration has no routes.
    pub(super) fn reach(&self, leaders: usize, now: Time) -> Option<RoutedCapacity> {
        if self.link.rules.routes.is_empty() {
            return None;
        }
        let shut = self.leaving.is_some() || self.hands.len() >= self.startup.hands_max;
        let each = |n: u32| n.div_ceil(leaders.max(1) as u32);
        let mut services: BTreeMap<String, u32> = BTreeMap::new();
        for w in self.workers.values().filter(|w| !shut && self.fit(w, now) && self.may_reach(w, now)) {
            *services.entry(w.info.service.clone()).or_default() += self.slots_of(w);
        }
        for n in services.values_mut() {
            // More than a part each, as work does not come evenly.
            *n = each(*n * 2).max(1);
        }
        let mut addresses: Vec<Duty> = self.link.leases.active(now).into_iter().map(|x| x.0).collect();
        addresses.retain(|d| !shut && matches!(d, Duty::TargetShard(_)));
        for s in self.link.rules.services.values().filter(|s| !s.address.is_empty()) {
            if shut || self.link.active_epoch(&Duty::for_unlisted_address(&s.address), now).is_none() {
                continue;
            }
            let room = match self.posts.sites.get(&s.address) {
                Some(x) if x.breaker.is_open(now) => 0,
                Some(x) if x.breaker.is_tripped() => 1,
                _ => each(self.site_most(s) * 2).max(2),
            };
            services.insert(s.name.clone(), room);
        }
        Some(RoutedCapacity { incarnation: self.startup.me.incarnation, services: services.into_iter().collect(), addresses })
    }

    /// Calls open at once to a service's one address.
    fn site_most(&self, s: &Service) -> u32 {
        let told = self.posts.sites.get(&s.address).map_or(0, |x| x.slots);
        let most = if told > 0 { told } else { SITE_SLOTS };
        let room = if s.max_connections_per_worker > 0 { (s.max_connections_per_worker * 3 / 4).max(1) } else { SITE_MOST };
        most.min(room)
    }

    /// Takes an offer of a routed message.
    pub(super) fn on_post(&mut self, id: HandId, goal: Destination, offer: Offer, asked: Time, now: Time) {
        if self.hands.contains_key(&id) || !offer.header.matches(&offer.body) {
            return;
        }
        let span = self.span_of(&offer);
        if span == Span::ZERO {
            // Its route is not in force here, or not yet.
            self.counts.stale += 1;
            self.hands.insert(id.clone(), Hand { offer, state: State::Waiting, hard: asked + MAX_ROUTED_START_DELAY });
            return self.finish(&id, AttemptOutcome::NotStarted, now);
        }
        let hard = asked + span + MAX_ROUTED_START_DELAY;
        self.posts.lines.entry(goal).or_default().push_back(id.clone());
        self.hands.insert(id, Hand { offer, state: State::Waiting, hard });
    }

    /// The daemon leaves: what waits here goes back at once.
    pub(super) fn return_posts(&mut self, now: Time) {
        for id in std::mem::take(&mut self.posts.lines).into_values().flatten() {
            if self.hands.get(&id).is_some_and(|h| h.state == State::Waiting) {
                self.finish(&id, AttemptOutcome::NotStarted, now);
            }
        }
    }

    /// Begins what can be begun now.
    pub(super) fn start_posts(&mut self, now: Time) {
        let goals: Vec<Destination> = self.posts.lines.keys().cloned().collect();
        for goal in goals {
            while let Some(id) = self.posts.lines.get(&goal).and_then(|l| l.front().cloned()) {
                let waits = self.hands.get(&id).is_some_and(|h| h.state == State::Waiting);
                let aim = match (&goal, waits) {
                    (_, false) => None,
                    (Destination::Address(a), _) => match self.may_address(a, None, now) {
                        true => Some((a.clone(), Aim::Address(a.clone()))),
                        false => break,
                    },
                    (Destination::Service(s), _) => match self.match_post(s, now) {
                        Some(x) => Some(x),
                        None => break,
                    },
                };
                if let Some(l) = self.posts.lines.get_mut(&goal) {
                    l.pop_front();
                }
                if let Some((addr, at)) = aim {
                    self.start_post(id, addr, at, now);
                }
            }
        }
        self.posts.lines.retain(|_, l| !l.is_empty());
    }

    /// Whether an address may be sent to now.
    fn may_address(&mut self, addr: &str, service: Option<&Service>, now: Time) -> bool {
        if self.link.active_epoch(&Duty::for_unlisted_address(addr), now).is_none() {
            return false;
        }
        let most = service.map_or(SITE_SLOTS, |s| self.site_most(s));
        let rate = service.map_or(0.0, |s| s.max_requests_per_second);
        let site = self.posts.sites.entry(addr.to_string()).or_default();
        if rate > 0.0 {
            let pace = site.pace.get_or_insert_with(|| RateLimiter::with_endpoint_rate(rate, now));
            pace.set_endpoint_rate(rate);
            if pace.available(now) == 0 {
                return false;
            }
        }
        let most = if site.breaker.is_tripped() { 1 } else { most };
        !site.breaker.is_open(now) && site.open < most && now >= site.full_until
    }

    /// Where a message of a service goes now: the least busy of the workers
    /// this daemon alone sends to, or the service's one address.
    fn match_post(&mut self, service: &str, now: Time) -> Option<(String, Aim)> {
        let s = self.link.rules.services.get(service)?.clone();
        if !s.address.is_empty() {
            let may = self.may_address(&s.address, Some(&s), now);
            return may.then(|| (s.address.clone(), Aim::Address(s.address.clone())));
        }
        let mine = self.workers.values().filter(|w| w.info.service == service && self.may_reach(w, now));
        let free = |w: &&Fitness| {
            let cold = now < w.cold_until && now < w.cold_next;
            !cold && self.fit(w, now) && w.busy < self.slots_of(w) && now >= w.full_until && !(w.sick.is_tripped() && w.busy > 0)
        };
        let turn = self.next_call;
        let best = mine.filter(free).min_by_key(|w| {
            let part = u64::from(w.busy) * 1000 / u64::from(self.slots_of(w).max(1));
            (now < w.cold_until, part, w.turn.wrapping_mul(turn | 1) >> 32)
        })?;
        Some((best.info.addr.clone(), Aim::Worker(best.info.id.clone())))
    }

    fn start_post(&mut self, id: HandId, addr: String, at: Aim, now: Time) {
        let Some(h) = self.hands.get(&id) else { return };
        let span = self.span_of(&h.offer);
        let (stage, seal, body) = (h.offer.stage, h.offer.header.completion_token.clone(), h.offer.body.clone());
        let parcel = h.offer.header.caller_request.clone();
        let late = span == Span::ZERO || h.hard.remaining(now) < span + SLACK;
        let (false, Some(parcel)) = (late, parcel) else { return self.finish(&id, AttemptOutcome::NotStarted, now) };
        let worker = match &at {
            Aim::Worker(w) => Some(w.clone()),
            Aim::Address(_) => None,
        };
        let errand = match stage {
            Stage::EndedAwaitingCallback(Outcome::Succeeded) => {
                CallKind::Callback { caller_request: parcel, message_status: RoutedMessageStatus::Done(seal) }
            }
            Stage::EndedAwaitingCallback(_) => {
                CallKind::Callback { caller_request: parcel, message_status: RoutedMessageStatus::Dead }
            }
            _ => CallKind::RunMessage { caller_request: parcel, worker, timeout: span },
        };
        match &at {
            Aim::Worker(w) => {
                if let Some(f) = self.workers.get_mut(w) {
                    let cold = self.link.rules.services.get(&f.info.service).map_or(0.0, |s| s.cold_requests_per_second);
                    f.busy += 1;
                    let rate = cold.max(self.startup.cold_slack * COLD_SLACK_USED).max(COLD_RATE_LEAST);
                    f.cold_next = now + Span((1e6 / rate) as u64);
                }
            }
            Aim::Address(a) => {
                if let Some(s) = self.posts.sites.get_mut(a) {
                    s.open += 1;
                    if let Some(p) = s.pace.as_mut() {
                        p.try_acquire(now);
                    }
                }
            }
        }
        let call =
            Call { is_post: true, addr, path: String::new(), headers: Vec::new(), body, timeout: span + LATE, kind: errand };
        let call = self.call(Called::Post { hand: id.clone(), at }, call);
        if let Some(h) = self.hands.get_mut(&id) {
            h.state = State::Running(call);
        }
    }

    pub(super) fn post_back(&mut self, id: HandId, at: Aim, reply: CallResult, now: Time) {
        let end = match &reply {
            CallResult::RunFinished { outcome: end, .. } => end.clone(),
            CallResult::Failed(SendState::NotSent) => RunOutcome::NotRun { worker_gone: false },
            _ => RunOutcome::Unknown(UnknownOutcomeCause::CallFailed),
        };
        match &at {
            Aim::Worker(w) => self.hear_post_worker(w, &reply, &end, now),
            Aim::Address(a) => self.hear_site(a, &reply, &end, now),
        }
        match end {
            RunOutcome::Done(seal) => self.finish_sealed(&id, AttemptOutcome::Success, seal, now),
            RunOutcome::Failed => self.finish(&id, AttemptOutcome::Failed, now),
            RunOutcome::PermanentFailure => self.finish(&id, AttemptOutcome::PermanentFailure, now),
            RunOutcome::Unknown(cause) => {
                self.note_doubt(&id, &at, cause);
                self.finish(&id, AttemptOutcome::Unknown, now);
            }
            RunOutcome::NotRun { .. } => self.again(id, now),
        }
    }

    fn note_doubt(&mut self, id: &HandId, at: &Aim, cause: UnknownOutcomeCause) {
        let Some(hand) = self.hands.get(id) else { return };
        let (place, head, attempt) = (&hand.offer.partition, &hand.offer.header, hand.offer.attempt);
        let text = format!("{place} {} attempt {attempt} at {at}: {cause}", head.id);
        self.out.push(Effect::Log(LogEvent::AttemptOutcomeUnknown, text));
    }

    /// It did not run: another worker may take it at once.
    fn again(&mut self, id: HandId, now: Time) {
        let Some(h) = self.hands.get(&id) else { return };
        let service = matches!(h.offer.destination, Some(Destination::Service(_)));
        if !service || h.hard.remaining(now) < self.least(h) || self.leaving.is_some() {
            return self.finish(&id, AttemptOutcome::NotStarted, now);
        }
        let Some(h) = self.hands.get_mut(&id) else { return };
        h.state = State::Waiting;
        let Some(goal) = h.offer.destination.clone() else { return };
        self.posts.lines.entry(goal).or_default().push_front(id);
    }

    fn hear_post_worker(&mut self, id: &WorkerId, reply: &CallResult, end: &RunOutcome, now: Time) {
        let Some(f) = self.workers.get_mut(id) else { return };
        f.busy = f.busy.saturating_sub(1);
        f.seen = now;
        if let CallResult::RunFinished { load, .. } = reply {
            f.answered = now;
            f.load = load.as_ref().map_or(f.load, |l| l.running + l.waiting);
        }
        let mut note = None;
        match (reply, end) {
            (CallResult::Failed(SendState::NotSent), _) => {
                if f.down.record_failure(now) {
                    note = Some((LogEvent::WorkerEjected, format!("{id} can't be reached")));
                }
            }
            (_, RunOutcome::Unknown(_)) => {
                if f.sick.record_failure(now) {
                    note = Some((LogEvent::WorkerEjected, id.to_string()));
                }
            }
            (_, RunOutcome::NotRun { worker_gone: true }) => {
                f.gone = true;
                note = Some((LogEvent::WorkerEjected, format!("{id} is not there any more")));
            }
            (_, RunOutcome::NotRun { worker_gone: false }) => f.full_until = now + FULL,
            _ => {
                if f.down.record_success() | f.sick.record_success() {
                    note = Some((LogEvent::WorkerReadmitted, id.to_string()));
                }
            }
        }
        if let Some((note, text)) = note {
            self.out.push(Effect::Log(note, text));
            self.send_rooms(now);
        }
    }

    fn hear_site(&mut self, addr: &str, reply: &CallResult, end: &RunOutcome, now: Time) {
        let Some(s) = self.posts.sites.get_mut(addr) else { return };
        s.open = s.open.saturating_sub(1);
        if let CallResult::RunFinished { load: Some(l), .. } = reply {
            s.slots = l.slots;
        }
        let lost = matches!(end, RunOutcome::Unknown(_)) || matches!(reply, CallResult::Failed(_));
        let note = match end {
            _ if lost => s.breaker.record_failure(now).then_some(LogEvent::BreakerOpen),
            RunOutcome::NotRun { .. } => {
                s.full_until = now + FULL;
                None
            }
            _ => s.breaker.record_success().then_some(LogEvent::BreakerClosed),
        };
        if let Some(note) = note {
            self.out.push(Effect::Log(note, addr.to_string()));
            self.send_rooms(now);
        }
    }

    /// Asks workers that could not be reached whether they are well, so that
    /// no message has to find out.
    pub(super) fn probe(&mut self, now: Time) {
        if self.link.rules.routes.is_empty() || self.leaving.is_some() {
            return;
        }
        let due: Vec<(WorkerId, String, String)> = self
            .workers
            .values()
            .filter(|w| w.down.is_tripped() && !w.down.is_open(now) && !w.gone && w.busy == 0)
            .filter(|w| now.since(w.probed) >= Span::millis(500) && self.may_reach(w, now))
            .filter_map(|w| {
                let s = self.link.rules.services.get(&w.info.service)?;
                Some((w.info.id.clone(), w.info.addr.clone(), s.health_check_path.clone()))
            })
            .filter(|x| !x.2.is_empty())
            .collect();
        for (worker, addr, path) in due {
            if let Some(w) = self.workers.get_mut(&worker) {
                w.probed = now;
            }
            let limit = Span::millis(500);
            let (headers, body, errand) = (Vec::new(), Bytes::new(), CallKind::HealthCheck { path });
            let call = Call { is_post: false, addr, path: String::new(), headers, body, timeout: limit, kind: errand };
            self.call(Called::Probe { worker }, call);
        }
    }

    pub(super) fn probed(&mut self, id: WorkerId, reply: CallResult, now: Time) {
        let Some(f) = self.workers.get_mut(&id) else { return };
        match reply {
            CallResult::Health { worker: Some(w), .. } if w != id => f.gone = true,
            CallResult::Health { well: true, .. } => {
                if f.down.record_success() {
                    self.out.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                    self.send_rooms(now);
                }
            }
            _ => _ = f.down.record_failure(now),
        }
    }
}
