//! Routed messages at workers, and their ends at those called back.
use crate::prelude::*;

/// A cold worker takes so many times as long.
const COLD_SLOWER: u64 = 4;

impl World {
    /// Calls that are not in the product's own words.
    pub(super) fn errand(&mut self, node: &Daemon, life: u64, id: CallId, call: Call, limit: Span) {
        let at = match call.kind {
            CallKind::WorkerList { .. } => "platform".to_string(),
            _ => self.floor.at.get(&call.addr).cloned().unwrap_or_default(),
        };
        self.calls.insert((node.clone(), life, id));
        let lost = |sent| Ev::Back { node: node.clone(), life, id, reply: CallResult::Failed(sent) };
        let (near, far) = (at == "platform" || self.net.open(node.as_str(), &at), lost(SendState::MaybeSent));
        if !near {
            return self.soon(Span::millis(500).min(limit), lost(SendState::NotSent));
        }
        match self.floor.spell(&at).dark {
            Some(true) if self.rng.bool() => return self.soon(limit, far),
            Some(true) => return self.soon(Span::millis(500).min(limit), lost(SendState::NotSent)),
            Some(false) => return self.soon(Span::millis(1), lost(SendState::NotSent)),
            None => {}
        }
        self.soon(limit, far);
        if self.reset(node, life, id) {
            return;
        }
        let trip = Span(200 + self.rng.u64(..800));
        self.soon(trip, Ev::Routed(Turn::Land { node: node.clone(), life, id, call: Box::new(call), at }));
    }

    pub(super) fn land(&mut self, node: Daemon, life: u64, id: CallId, call: Call, at: String) {
        if !self.calls.contains(&(node.clone(), life, id)) {
            return;
        }
        match call.kind {
            CallKind::WorkerList { page } => self.list_asked(&node, life, id, page),
            CallKind::HealthCheck { .. } => {
                let Some(w) = self.floor.lives.get(&at).filter(|w| w.up) else {
                    return self.reply_soon(&node, life, id, CallResult::Failed(SendState::NotSent));
                };
                let reply = CallResult::Health { healthy: !w.draining, worker: Some(WorkerId(at.clone())), load: Some(load(w)) };
                self.count("probes", 1);
                self.reply_soon(&node, life, id, reply)
            }
            CallKind::Callback { caller_request: parcel, message_status: standing } => {
                self.told_back(&node, life, id, &at, &parcel, standing)
            }
            CallKind::RunMessage { caller_request: parcel, worker, timeout: span } => {
                self.run_lands(node, life, id, at, *parcel, worker, span, call.body)
            }
            CallKind::Plain => {}
        }
    }

    fn list_asked(&mut self, node: &Daemon, life: u64, id: CallId, page: Option<String>) {
        self.count("list calls", 1);
        match self.floor.page(page.as_deref(), self.now) {
            None => {}
            Some(Ok(page)) => self.reply_soon(node, life, id, CallResult::WorkerList(page)),
            Some(Err(code)) => {
                let reply = CallResult::Answered { code, load: None, draining: false, body: Bytes::new() };
                self.reply_soon(node, life, id, reply)
            }
        }
    }

    /// The platform's list is taken anew.
    pub(super) fn list_taken(&mut self) {
        self.soon(LAG, Ev::Routed(Turn::List));
        let shown = self.floor.take_list(self.now);
        if self.floor.list_down || self.floor.list_empty {
            return;
        }
        for w in shown.into_iter().filter(|w| w.draining) {
            let seen = self.seen.workers.entry(w.id.0).or_default();
            seen.drained.get_or_insert(self.now);
        }
    }

    fn told_back(
        &mut self,
        node: &Daemon,
        life: u64,
        id: CallId,
        desk: &str,
        parcel: &CallerRequest,
        standing: RoutedMessageStatus,
    ) {
        let Some(r) = self.floor.receivers.get_mut(desk) else {
            return self.reply_soon(node, life, id, CallResult::Failed(SendState::NotSent));
        };
        if r.down || r.open >= RECEIVES {
            return self.reply_soon(node, life, id, CallResult::Failed(SendState::MaybeSent));
        }
        r.open += 1;
        let (took, fail) = (Span::millis(2) + r.slow, r.fail);
        let good = self.rng.u64(..100) >= fail;
        let state = match standing {
            RoutedMessageStatus::Waiting => State::Waiting,
            RoutedMessageStatus::Done(seal) => State::Done(seal),
            RoutedMessageStatus::Dead => State::Dead,
        };
        let back = Back { desk: desk.to_string(), at: self.now, state, good };
        let post = self.seen.by_id.get(&parcel.id).copied().and_then(|n| self.seen.posts.get_mut(n));
        match post {
            Some(p) if back.state != State::Waiting => p.backs.push(back),
            _ => self.seen.flag(format!("backs: {desk} was told {:?} of {}", back.state, parcel.id)),
        }
        let end = if good { RunOutcome::Done(String::new()) } else { RunOutcome::Unknown(UnknownOutcomeCause::Status(503)) };
        self.soon(took, Ev::Routed(Turn::Received(desk.to_string())));
        let reply = CallResult::RunFinished { outcome: end, load: None };
        self.soon(took, Ev::Back { node: node.clone(), life, id, reply });
    }

    #[allow(clippy::too_many_arguments)]
    fn run_lands(
        &mut self,
        node: Daemon,
        life: u64,
        id: CallId,
        at: String,
        parcel: CallerRequest,
        meant: Option<WorkerId>,
        span: Span,
        body: Bytes,
    ) {
        let now = self.now;
        let Some(w) = self.floor.lives.get(&at).filter(|w| w.up) else {
            return self.reply_soon(&node, life, id, CallResult::Failed(SendState::NotSent));
        };
        let (service, zone, load) = (w.service.clone(), w.zone.clone(), load(w));
        let full = w.running >= trade(&service).slots && w.waiting.len() >= trade(&service).queue;
        let no = |gone| CallResult::RunFinished { outcome: RunOutcome::NotRun { worker_gone: gone }, load: Some(load) };
        if meant.is_some_and(|m| m.0 != at) {
            self.count("not there", 1);
            return self.reply_soon(&node, life, id, no(true));
        }
        let t = trade(&service);
        if t.rate > 0.0 {
            let all = self.seen.arrivals.entry(service.clone()).or_default();
            all.push(now);
            let got = all.iter().rev().take_while(|x| now.since(**x) < Span::secs(5)).count();
            if got as f64 > t.rate * 5.0 * 1.1 + 5.0 {
                self.count("over the rate", 1);
                return self.reply_soon(&node, life, id, no(false));
            }
        }
        let Some(post) = self.seen.by_id.get(&parcel.id).copied() else {
            return self.seen.flag(format!("sent: {} reached {at}, which nobody sent", parcel.id));
        };
        if t.dedup {
            match self.floor.done.get(&(service.clone(), parcel.id.clone())) {
                Some(Some(seal)) => {
                    let end = RunOutcome::Done(seal.clone());
                    self.count("repeats known", 1);
                    return self.reply_soon(&node, life, id, CallResult::RunFinished { outcome: end, load: Some(load) });
                }
                Some(None) => return self.reply_soon(&node, life, id, no(false)),
                None => {}
            }
        }
        if full {
            self.count("full", 1);
            return self.reply_soon(&node, life, id, no(false));
        }
        if t.dedup {
            self.floor.done.insert((service.clone(), parcel.id.clone()), None);
        }
        let p = &mut self.seen.posts[post];
        let same = parcel.method == "POST" && parcel.path == p.path && parcel.key == p.key && parcel.host == HOST;
        let (sum, sender) = (crc32(&body), node.0.clone());
        let run = PostRun {
            worker: at.clone(),
            service,
            zone,
            sender,
            life,
            sum,
            same,
            span,
            arrived: now,
            began: None,
            over: None,
            read: None,
        };
        p.runs.push(run);
        let toil = Toil {
            node,
            life,
            call: id,
            worker: at.clone(),
            post,
            run: p.runs.len() - 1,
            ends: now + span,
            begun: false,
            drops: self.rng.u64(..10) < 7,
        };
        let n = self.floor.next_toil;
        self.floor.next_toil += 1;
        let text = format!("{} reaches {at} from {} (run {})", parcel.id, toil.node, toil.run + 1);
        self.say(text);
        self.floor.toils.insert(n, toil);
        let Some(w) = self.floor.lives.get_mut(&at) else { return };
        w.waiting.push_back(n);
        let kind = body.split(|b| *b == b' ').next().map(|b| b.to_vec()).unwrap_or_default();
        self.kinds.insert(post, kind);
        self.soon(span, Ev::Routed(Turn::Ceases(n)));
        self.begin_runs(&at);
    }

    /// A worker begins what waits, as long as it has slots.
    fn begin_runs(&mut self, at: &str) {
        let now = self.now;
        loop {
            let Some(w) = self.floor.lives.get_mut(at) else { return };
            let t = trade(&w.service);
            if w.running >= t.slots {
                return;
            }
            let Some(n) = w.waiting.pop_front() else { return };
            let cold = now < w.cold_until;
            let Some(toil) = self.floor.toils.get_mut(&n) else { continue };
            w.running += 1;
            toil.begun = true;
            let (post, run) = (toil.post, toil.run);
            self.seen.posts[post].runs[run].began = Some(now);
            let slow = self.floor.spell(at).slow;
            let mean = t.run.0 as f64 * -self.rng.f64().max(1e-4).ln();
            let took = Span(2000 + mean as u64).times(if cold { COLD_SLOWER } else { 1 }) + slow;
            self.soon(took, Ev::Routed(Turn::RunOver(n)));
        }
    }

    /// A run is over, by its own end or because its worker stops work on it.
    pub(super) fn run_over(&mut self, n: u64, ceases: bool) {
        let Some(toil) = self.floor.toils.remove(&n) else { return };
        let now = self.now;
        let Some(w) = self.floor.lives.get_mut(&toil.worker) else { return };
        if !w.up {
            return;
        }
        match toil.begun {
            true => w.running = w.running.saturating_sub(1),
            false => w.waiting.retain(|x| *x != n),
        }
        let (service, said) = (w.service.clone(), load(w));
        let heard = self.calls.contains(&(toil.node.clone(), toil.life, toil.call))
            && self.nodes.get(&toil.node).is_some_and(|x| x.life == toil.life && x.core.is_some());
        let p = &self.seen.posts[toil.post];
        let kind = self.kinds.get(&toil.post).cloned().unwrap_or_default();
        let fails = self.floor.fails(&toil.worker);
        let over = match kind.as_slice() {
            _ if ceases || (!heard && toil.drops) => Over::Dropped,
            b"never" => Over::Never,
            b"always" => Over::Failed,
            _ if self.rng.u64(..100) < fails => Over::Failed,
            _ => Over::Done(format!("{}.{}.{}", toil.worker, p.id, toil.run)),
        };
        let id = p.id.clone();
        let key = (service, id);
        match &over {
            Over::Done(seal) if self.floor.done.contains_key(&key) => {
                self.floor.done.insert(key, Some(seal.clone()));
            }
            _ => _ = self.floor.done.remove(&key),
        }
        let text = format!("{} is over at {}: {over:?}", self.seen.posts[toil.post].id, toil.worker);
        self.say(text);
        let run = &mut self.seen.posts[toil.post].runs[toil.run];
        run.over = Some((now, over.clone()));
        let end = match over {
            Over::Done(seal) => RunOutcome::Done(seal),
            Over::Failed => RunOutcome::Failed,
            Over::Never => RunOutcome::PermanentFailure,
            Over::Dropped => RunOutcome::Unknown(UnknownOutcomeCause::Status(504)),
        };
        let lost = self.rng.u64(..100) < self.floor.spell(&toil.worker).lose;
        if heard && !lost && self.net.open(&toil.worker, toil.node.as_str()) {
            self.floor.answers.insert((toil.node.clone(), toil.life, toil.call), (toil.post, toil.run));
            self.reply_soon(&toil.node, toil.life, toil.call, CallResult::RunFinished { outcome: end, load: Some(said) });
        }
        self.begin_runs(&toil.worker);
    }

    /// A run is lost without a word.
    pub(super) fn drop_run(&mut self, n: u64) {
        let Some(t) = self.floor.toils.remove(&n) else { return };
        if let Some(w) = self.floor.lives.get_mut(&t.worker) {
            w.running = w.running.saturating_sub(u32::from(t.begun));
            w.waiting.retain(|x| *x != n);
        }
        let run = &mut self.seen.posts[t.post].runs[t.run];
        run.over = Some((self.now, Over::Dropped));
        let key = (run.service.clone(), self.seen.posts[t.post].id.clone());
        self.floor.done.remove(&key);
    }

    /// A worker's process ends, whatever it had begun.
    pub(super) fn worker_ends(&mut self, name: &str) {
        let Some(w) = self.floor.lives.get_mut(name) else { return };
        w.up = false;
        w.waiting.clear();
        let addr = w.addr.clone();
        if self.floor.at.get(&addr).is_some_and(|x| x == name) {
            self.floor.at.remove(&addr);
        }
        let gone: Vec<u64> = self.floor.toils.iter().filter(|(_, t)| t.worker == name).map(|(n, _)| *n).collect();
        for n in gone {
            let Some(t) = self.floor.toils.remove(&n) else { continue };
            let run = &mut self.seen.posts[t.post].runs[t.run];
            run.over = Some((self.now, Over::Dropped));
            let key = (run.service.clone(), self.seen.posts[t.post].id.clone());
            self.floor.done.remove(&key);
            self.reply_soon(&t.node, t.life, t.call, CallResult::Failed(SendState::MaybeSent));
        }
    }

    /// A worker comes up cold.
    pub(super) fn worker_starts(&mut self, service: &str, zone: u64, addr: Option<String>) -> String {
        let name = self.floor.bring_up(service, zone, addr);
        self.chill(&name);
        name
    }

    pub(super) fn chill(&mut self, name: &str) {
        let now = self.now;
        let Some(w) = self.floor.lives.get_mut(name) else { return };
        let cold = trade(&w.service).cold;
        w.cold_until = now + cold;
        let seen = self.seen.workers.entry(name.to_string()).or_default();
        (seen.service, seen.zone) = (w.service.clone(), w.zone.clone());
        seen.cold.push((now, now + cold));
    }

    /// One step of a service's release, worker by worker: the new one first,
    /// then the old one drains, ends, and its address goes to another service.
    pub(super) fn release(&mut self, service: String, old: String, step: u32) {
        let zone = zone_of(&old).0.trim_start_matches('z').parse().unwrap_or(1);
        let next = |after, step| (after, Ev::Routed(Turn::Release { service: service.clone(), old: old.clone(), step }));
        match step {
            0 => {
                self.worker_starts(&service, zone, None);
                let (after, ev) = next(Span::secs(2), 1);
                self.soon(after, ev);
            }
            1 => {
                if let Some(w) = self.floor.lives.get_mut(&old) {
                    w.draining = true;
                }
                let (after, ev) = next(Span::millis(3600) + LAG.times(2), 2);
                self.soon(after, ev);
            }
            2 => {
                let addr = self.floor.lives.get(&old).map(|w| w.addr.clone());
                self.worker_ends(&old);
                if let Some(w) = self.floor.lives.get_mut(&old) {
                    w.listed = false;
                }
                self.reuse(&service, zone, addr);
            }
            _ => {}
        }
    }

    /// Two seconds after an end its address is another service's.
    fn reuse(&mut self, service: &str, zone: u64, addr: Option<String>) {
        let Some(addr) = addr else { return };
        let other = TRADES.iter().filter(|t| t.listed > 0 && t.name != service).map(|t| t.name).next().unwrap_or("sheets");
        let ev = Turn::Moves { service: other.to_string(), zone, addr };
        self.soon(Span::secs(2), Ev::Routed(ev));
    }

    /// A worker is gone without a word; another comes for it.
    pub(super) fn worker_crashes(&mut self, name: &str) {
        let Some(w) = self.floor.lives.get(name) else { return };
        let (service, addr) = (w.service.clone(), w.addr.clone());
        let zone = zone_of(name).0.trim_start_matches('z').parse().unwrap_or(1);
        self.worker_ends(name);
        self.soon(Span::secs(3), Ev::Routed(Turn::Unlist(name.to_string())));
        self.reuse(&service, zone, Some(addr));
        self.soon(Span::millis(1500), Ev::Routed(Turn::Comes { service, zone }));
    }
}

fn load(w: &WorkerLife) -> WorkerLoad {
    WorkerLoad { running: w.running, waiting: w.waiting.len() as u32, slots: trade(&w.service).slots }
}
