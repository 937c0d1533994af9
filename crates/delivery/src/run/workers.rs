//! The workers: which there are, how fit and how loaded each is, and which one
//! an attempt goes to.
use super::Called;
use crate::prelude::*;
use crate::worker::WARY;

/// A worker that nothing is asked of is asked for its load this often.
const LOAD_ASKED: Span = Span::millis(500);

impl Delivery {
    pub(super) fn learn_workers(&mut self, now: Time) {
        if self.link.version_vector().get(Topic::Workers) == Version::ZERO {
            return;
        }
        let list = self.link.workers.clone();
        let names: BTreeSet<WorkerId> = list.iter().map(|w| w.id.clone()).collect();
        for w in list {
            let warm = self.link.rules.services.get(&w.service).map_or(Span::secs(10), |s| Span::millis(s.warm_up_ms));
            let cold = now + w.cold;
            match self.workers.get_mut(&w.id) {
                // The same name at another address is another worker.
                Some(f) if f.info.addr == w.addr => {
                    // Another delivery saw it come up anew.
                    let since = Time(now.0.saturating_sub(w.age.0));
                    if since > f.ramp.started_at + Span::secs(1) {
                        f.ramp.started_at = since;
                    }
                    if cold > f.cold_until + Span::millis(500) {
                        f.cold_until = cold;
                    }
                    f.info = w;
                    f.ramp.duration = warm;
                }
                _ => {
                    let w = Worker { age: if self.listed.is_some() { Span::ZERO } else { w.age }, ..w };
                    self.workers.insert(w.id.clone(), Fitness::new(w, warm, now));
                }
            }
        }
        self.workers.retain(|id, _| names.contains(id));
        self.listed.get_or_insert(now);
    }

    /// New cuts between the slices. A slot at a warming worker that comes over
    /// from another delivery counts as just used there.
    pub(super) fn learn_slices(&mut self, grants: &[Grant], now: Time) {
        let next: BTreeMap<Duty, SlotRange> = grants.iter().filter_map(|g| Some((g.duty.clone(), g.slot_range?))).collect();
        if next == self.slices {
            return;
        }
        let warming: BTreeSet<String> =
            self.workers.values().filter(|w| w.ramp.is_warming(now)).map(|w| w.info.service.clone()).collect();
        let before: BTreeMap<String, Vec<SlotRange>> = warming.into_iter().map(|s| (s.clone(), self.slices_of(&s))).collect();
        self.slices = next;
        for (service, was) in before {
            let (full, new) = (self.full(&service), self.slices_of(&service));
            for w in self.workers.values_mut().filter(|w| w.info.service == service && w.ramp.is_warming(now)) {
                let slots = w.ramp.slots(full, now);
                let mine = |all: &[SlotRange]| all.iter().map(|s| s.of(slots, w.turn)).sum::<u32>();
                if mine(&new) > mine(&was) {
                    w.ramp.last_start = now;
                }
            }
        }
    }

    pub(super) fn peers(&self) -> u32 {
        (self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).count() as u32).max(1)
    }

    /// What one worker may run at once, over all deliveries.
    pub(super) fn full(&self, service: &str) -> u32 {
        self.link.rules.services.get(service).map_or(4, |s| s.slots_per_worker)
    }

    /// The slices of a service that this daemon's duties have. Granted by a
    /// placement daemon that knows none, the duties share evenly.
    pub(super) fn slices_of(&self, service: &str) -> Vec<SlotRange> {
        let takes = |p: &PartitionId| {
            self.link.rules.rule_for_partition(p).is_some_and(|r| r.target == Target::Workers(service.to_string()))
        };
        let mine = self.slices.iter().filter(|(d, _)| matches!(d, Duty::Deliver(p) if takes(p)));
        let all: Vec<SlotRange> = mine.map(|x| *x.1).collect();
        if !all.is_empty() || !self.slices.is_empty() {
            return all;
        }
        let all: Vec<&Daemon> = self.link.members.keys().filter(|d| d.kind() == DaemonKind::Delivery).collect();
        let at = all.iter().position(|d| **d == self.startup.me.id).unwrap_or(0) as u32;
        let wide = SlotRange::FULL_WIDTH / self.peers();
        vec![SlotRange { from: at * wide, to: (at + 1) * wide }]
    }

    /// The less loaded of two drawn at random, same zone first where the
    /// configuration says so. Of two that are alike the one left alone for longer:
    /// chance alone would now and then give one of them all that comes in a
    /// second, which a worker that warms up must not get.
    pub(super) fn match_worker(&mut self, service: &str, slices: &[SlotRange], now: Time) -> Option<WorkerId> {
        let full = self.full(service);
        let wary = self.listed.is_none_or(|t| now.since(t) < WARY);
        let near = self.link.rules.services.get(service).is_some_and(|s| s.same_zone_first);
        let of: Vec<&Fitness> = self.workers.values().filter(|w| w.info.service == service).collect();
        let sick = of.iter().filter(|w| w.sick.is_open(now)).count();
        // Never more than half set aside for failing: then it is not the workers.
        let floor = sick * 2 > of.len();
        let mut fit: Vec<&Fitness> = of
            .into_iter()
            .filter(|w| w.usable(&self.link, now) && (floor || !w.sick.is_open(now)))
            .filter(|w| {
                let slots = w.ramp.slots(full, now);
                let mine: u32 = slices.iter().map(|s| s.of(slots, w.turn)).sum();
                if wary || w.may_be_fresh(now) {
                    let fresh = WarmUp { started_at: now, ..w.ramp };
                    return w.busy < mine.min(1) && fresh.may_start(slots, mine, now);
                }
                w.busy < mine && w.ramp.may_start(slots, mine, now)
            })
            .collect();
        // One that warms up is not preferred: with a backlog it would get all
        // of it, and its warm peers in other zones next to nothing.
        let here = &self.startup.me.zone;
        if near && fit.iter().any(|w| w.info.zone == *here && !w.ramp.is_warming(now)) {
            fit.retain(|w| w.info.zone == *here);
        }
        if fit.is_empty() {
            return None;
        }
        let first = self.rng.usize(..fit.len());
        let other = (first + self.rng.usize(1..fit.len().max(2))) % fit.len();
        let weight = |w: &&Fitness| (w.busy * 2 + w.load, w.busy, w.ramp.last_start);
        let best = [fit[first], fit[other]].into_iter().min_by_key(weight)?;
        Some(best.info.id.clone())
    }

    /// Asks those not heard lately how loaded they are.
    pub(super) fn ask_loads(&mut self, now: Time) {
        // Those that only routes lead to tell their load with each answer.
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
            .filter(|w| asked.contains(&w.info.service) && !w.asking && now.since(w.seen) > LOAD_ASKED && w.busy == 0)
            .map(|w| (w.info.id.clone(), w.info.addr.clone()))
            .collect();
        for (worker, addr) in idle {
            if let Some(w) = self.workers.get_mut(&worker) {
                w.asking = true;
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
            self.call(Called::Load { worker }, call);
        }
    }

    pub(super) fn hear_worker(&mut self, id: &WorkerId, reply: &CallResult, load_only: bool, now: Time) {
        let Some(f) = self.workers.get_mut(id) else { return };
        match reply {
            CallResult::Answered { code, load, draining, .. } => {
                if load_only {
                    f.note_silence(now);
                }
                f.answered = now;
                f.load = load.unwrap_or(f.load);
                f.draining = *draining;
                if f.down.record_success() {
                    // Back from the dead: it warms up anew.
                    f.ramp.started_at = now;
                    self.out.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                }
                let Some(f) = self.workers.get_mut(id) else { return };
                if *code >= 500 && *code != 503 {
                    if f.sick.record_failure(now) {
                        self.out.push(Effect::Log(LogEvent::WorkerEjected, id.to_string()));
                    }
                } else if !load_only && f.sick.record_success() {
                    // One that answered all the while, if badly, is no fresh one.
                    if std::mem::take(&mut f.lost) {
                        f.ramp.started_at = now;
                    }
                    self.out.push(Effect::Log(LogEvent::WorkerReadmitted, id.to_string()));
                }
            }
            CallResult::RunFinished { .. } | CallResult::WorkerList(_) | CallResult::Health { .. } => {}
            CallResult::Failed(SendState::NotSent) => {
                if f.down.record_failure(now) {
                    self.out.push(Effect::Log(LogEvent::WorkerEjected, format!("{id} can't be reached")));
                }
            }
            CallResult::Failed(SendState::MaybeSent) => {
                f.lost = true;
                if f.sick.record_failure(now) {
                    self.out.push(Effect::Log(LogEvent::WorkerEjected, id.to_string()));
                }
            }
        }
    }
}
