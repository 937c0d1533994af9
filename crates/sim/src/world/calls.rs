//! Calls to workers, endpoints, desks and the platform.
use crate::prelude::*;

impl World {
    pub(super) fn call(&mut self, id: &Daemon, call_id: CallId, call: Call) {
        let Some(n) = self.nodes.get(id) else { return };
        let life = n.life;
        let limit = n.real(call.timeout);
        if call.kind != CallKind::Plain {
            return self.errand(id, life, call_id, call, limit);
        }
        let worker = Outside::at(&call.addr);
        self.calls.insert((id.clone(), life, call_id));
        let there = worker == "platform" || self.net.open(id.as_str(), &worker);
        let trip = Span(200 + self.rng.u64(..800));
        let lost = |sent| Ev::Back { node: id.clone(), life, id: call_id, reply: CallResult::Failed(sent) };
        if !there {
            let ev = lost(SendState::NotSent);
            return self.soon(Span::millis(500).min(limit), ev);
        }
        let ev = lost(SendState::MaybeSent);
        self.soon(limit, ev);
        if self.reset(id, life, call_id) {
            return;
        }
        self.soon(trip, Ev::Arrive { node: id.clone(), life, id: call_id, call: Box::new(call), worker });
    }

    pub(super) fn back(&mut self, node: &Daemon, life: u64, id: CallId, reply: CallResult) {
        if !self.calls.remove(&(node.clone(), life, id)) || self.nodes.get(node).is_none_or(|n| n.life != life) {
            return;
        }
        let reply = self.as_received(node, life, id, reply);
        let answered = matches!(reply, CallResult::RunFinished { .. });
        if let (Some((post, run)), true) = (self.floor.answers.remove(&(node.clone(), life, id)), answered) {
            if self.nodes.get(node).is_some_and(|n| n.core.is_some()) {
                self.seen.posts[post].runs[run].read = Some(self.now);
            }
        }
        self.step(node, Event::CallFinished(id, reply));
    }

    pub(super) fn reply_soon(&mut self, node: &Daemon, life: u64, id: CallId, reply: CallResult) {
        let trip = Span(200 + self.rng.u64(..800));
        self.soon(trip, Ev::Back { node: node.clone(), life, id, reply });
    }

    pub(super) fn arrive(&mut self, node: Daemon, life: u64, id: CallId, call: Call, worker: String) {
        if !self.calls.contains(&(node.clone(), life, id)) {
            return;
        }
        let got = |code, load, draining, text: String| CallResult::Answered {
            code,
            load: Some(load),
            draining,
            body: Bytes::from(text),
        };
        if worker == "platform" {
            if let Some((code, text)) = self.out.list(self.now) {
                self.reply_soon(&node, life, id, got(code, 0, false, text));
            }
            return;
        }
        // A worker replaced under its old name listens elsewhere.
        let port = call.addr.rsplit(':').next().and_then(|p| p.parse::<u64>().ok()).unwrap_or(80);
        let mood = self.out.moods.get(&worker).cloned().unwrap_or_default();
        if !mood.up || port != 80 + mood.life && !call.addr.starts_with("10.") {
            return self.reply_soon(&node, life, id, CallResult::Failed(SendState::NotSent));
        }
        if !call.is_post {
            return self.reply_soon(&node, life, id, got(200, mood.busy, mood.draining, "{}".into()));
        }
        if mood.draining {
            return self.reply_soon(&node, life, id, got(503, mood.busy, true, "{}".into()));
        }
        let head = |k: &str| call.headers.iter().find(|h| h.0 == k).map(|h| h.1.clone()).unwrap_or_default();
        let name = format!("{}/{}/{}", head("dahliawick-tenant"), head("dahliawick-waitlist"), head("dahliawick-id"));
        if worker.starts_with("desk") {
            self.check.called_back(&worker, &name, self.now);
            let took = Span::millis(1) + mood.slow;
            let code = if self.rng.u64(..100) < mood.fail { 500 } else { 200 };
            let ev = Ev::Back { node, life, id, reply: got(code, 0, false, "{}".into()) };
            return self.soon(took, ev);
        }
        let sum = crc32(&call.body);
        let zone = if worker.starts_with("library") { String::new() } else { zone_of(&worker).0 };
        let n = self.check.received(&worker, &zone, &name, sum, self.now);
        self.say(format!("{worker} receives {name} attempt {}", head("dahliawick-attempt")));
        if let Some(m) = self.out.moods.get_mut(&worker) {
            m.busy += 1;
        }
        let poison = call.body.starts_with(b"poison");
        let failed = self.rng.u64(..100) < mood.fail && !(mood.fail < 100 && self.on_its_last_attempt(&name));
        let code = if poison {
            422
        } else if failed {
            500
        } else {
            200
        };
        let lose = self.rng.u64(..100) < mood.lose;
        let took = Span(2000 + self.rng.u64(..20_000)) + mood.slow;
        let ev = Ev::RunEnd { node, life, id, wlife: mood.life, worker, receipt: (name, n), code, lose };
        self.soon(took, ev);
    }

    /// Whether workers have failed this message at all of its attempts but
    /// one. Chance does not fail the last one: a message that can be done is
    /// done, so one that is given up is a fault of the daemons.
    fn on_its_last_attempt(&self, name: &str) -> bool {
        if name.split('/').nth(1) != Some("sheets") {
            return false;
        }
        let receipts = self.check.message(name).map_or(&[][..], |message| &message.receipts);
        let failed = receipts.iter().filter(|receipt| receipt.done.is_some_and(|(_, good)| !good)).count();
        failed + 1 >= crate::deployment::ATTEMPTS_AT_SHEETS
    }

    /// A run is over at its worker.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn run_end(
        &mut self,
        node: Daemon,
        life: u64,
        id: CallId,
        worker: String,
        wlife: u64,
        receipt: (String, usize),
        code: u16,
        lose: bool,
    ) {
        let Some(m) = self.out.moods.get_mut(&worker) else { return };
        if !m.up || m.life != wlife {
            return self.back(&node, life, id, CallResult::Failed(SendState::MaybeSent));
        }
        m.busy = m.busy.saturating_sub(1);
        let (load, draining) = (m.busy, m.draining);
        self.check.ended(&receipt.0, receipt.1, code == 200, self.now);
        if lose {
            return;
        }
        if !self.net.open(&worker, node.as_str()) {
            return;
        }
        let reply = CallResult::Answered { code, load: Some(load), draining, body: Bytes::new() };
        self.reply_soon(&node, life, id, reply);
    }
}
