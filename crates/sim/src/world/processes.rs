//! Daemons' processes: begun, ended, frozen, and what they wish for.
use crate::prelude::*;
use serde_json::Value;

/// The time of day when a run begins, in microseconds since 1970.
const DAY: u64 = 1_700_000_000_000_000;

impl World {
    pub fn start(&mut self, id: &Daemon, found: bool) {
        let (seed, now) = (self.seed, self.now);
        let Some(n) = self.nodes.get_mut(id) else { return };
        if n.core.is_some() || n.removed {
            return;
        }
        n.life += 1;
        n.frozen = false;
        n.inbox.clear();
        n.disk.jobs.clear();
        n.disk.busy = false;
        let files = n.disk.durable.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let (core, first) = build(Build {
            id,
            life: n.life,
            host: &n.host,
            seeds: &n.seeds,
            files,
            found,
            seed,
            bounds: &self.bounds,
            now: n.clock(now),
            wall: (DAY + now.0).saturating_add_signed(n.wall),
        });
        n.core = Some(core);
        let life = n.life;
        self.effects(id, first);
        let jitter = self.rng.u64(..20_000);
        self.soon(Span(jitter), Ev::Tick(id.clone(), life));
    }

    /// The process is gone; so is everything not synced.
    pub fn kill(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        n.core = None;
        n.frozen = false;
        n.inbox.clear();
        n.disk.jobs.clear();
        n.disk.busy = false;
        // Its callers' connections break.
        for ask in std::mem::take(&mut n.asks) {
            self.told(ask, None);
        }
    }

    /// Killed, but what its disk had under way may have landed.
    pub fn abort(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        let landed = self.rng.usize(..=n.disk.jobs.len());
        for job in n.disk.jobs.drain(..).take(landed) {
            match job {
                Job::Save(_, name, bytes) => _ = n.disk.durable.insert(name, bytes),
                Job::Remove(name) => _ = n.disk.durable.remove(&name),
                Job::Load(..) => {}
            }
        }
        self.kill(id);
    }

    pub fn freeze(&mut self, id: &Daemon) {
        if let Some(n) = self.nodes.get_mut(id) {
            n.frozen = true;
        }
    }

    pub fn thaw(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        n.frozen = false;
        let all: Vec<Event> = n.inbox.drain(..).collect();
        for e in all {
            self.step(id, e);
        }
    }

    pub fn step(&mut self, id: &Daemon, event: Event) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(id) else { return };
        let at = n.clock(now);
        let Some(core) = n.core.as_mut() else { return };
        if n.frozen {
            if n.inbox.len() < 8192 && event != Event::Tick {
                n.inbox.push_back(event);
            }
            return;
        }
        let effects = core.step(event, at);
        self.effects(id, effects);
    }

    pub(super) fn effects(&mut self, id: &Daemon, effects: Vec<Effect>) {
        for mut e in effects {
            if let Some(m) = self.mutate {
                if m(&mut e, &mut self.rng) {
                    continue;
                }
            }
            match e {
                Effect::Send(to, msg) => {
                    let beat = matches!(msg, PeerMessage::Heartbeat(_));
                    self.count("frames", 1);
                    let Some(at) = self.net.arrives(id, &to, beat, self.now, &mut self.rng) else { continue };
                    let life = self.nodes.get(&to).map_or(0, |n| n.life);
                    self.at(at, Ev::Frame { to, from: id.clone(), msg: Box::new(msg), life });
                }
                Effect::Save { number, name, bytes } => self.job(id, Job::Save(number, name, bytes)),
                Effect::Remove(name) => self.job(id, Job::Remove(name)),
                Effect::Load { number, name, offset, len } => self.job(id, Job::Load(number, name, offset, len)),
                Effect::Respond(ask, v) => {
                    if let Some(n) = self.nodes.get_mut(id) {
                        n.asks.remove(&ask);
                    }
                    self.told(ask, Some(v));
                }
                Effect::Call(call_id, call) => self.call(id, call_id, call),
                Effect::Log(LogEvent::BackupChosen, text) => {
                    self.count("mates", 1);
                    self.say(format!("{id} 304 {text}"));
                }
                Effect::Log(note @ (LogEvent::AttemptEndUnreported | LogEvent::LateSuccess), text) => {
                    let what = if note == LogEvent::AttemptEndUnreported { "attempts lapsed" } else { "successes told late" };
                    self.count(what, 1);
                    self.say(format!("{id} {} {}: {text}", note.number(), note.description()));
                }
                // The core found an invariant of its own broken.
                Effect::Log(
                    note @ (LogEvent::AttemptOverran | LogEvent::EndedMessageDequeued | LogEvent::StrandedMessageRequeued),
                    text,
                ) => {
                    self.check.flag(format!("invariant: {id} {}: {text}", note.description()));
                }
                Effect::Log(note, text) => self.say(format!("{id} {} {}: {text}", note.number(), note.description())),
                Effect::Exit => self.goes(id),
                Effect::SetPeerAddress(..) | Effect::SetPeerZone(..) => {}
            }
        }
    }

    /// A daemon's status, read aside.
    pub fn status(&mut self, id: &Daemon) -> Option<Value> {
        let now = self.now;
        let n = self.nodes.get_mut(id)?;
        let at = n.clock(now);
        if n.frozen {
            return None;
        }
        let out = n.core.as_mut()?.step(Event::Request(RequestId(0), ApiRequest::Status), at);
        let mut got = None;
        let mut rest = Vec::new();
        for e in out {
            match e {
                Effect::Respond(RequestId(0), v) => got = serde_json::from_str(&v.json).ok(),
                e => rest.push(e),
            }
        }
        self.effects(id, rest);
        got
    }
}
