//! What a script does to the world.
use crate::prelude::*;
use serde_json::json;

impl World {
    pub(super) fn all(&self, zone: Option<&str>) -> Vec<Daemon> {
        self.fleet.iter().filter(|d| zone.is_none_or(|z| zone_of(d.as_str()).as_str() == z)).cloned().collect()
    }

    pub(super) fn primary(&mut self) -> String {
        for id in self.placements() {
            if self.status(&id).is_some_and(|j| j["may_act"] == json!(true)) {
                return id.0;
            }
        }
        "placement-1".into()
    }

    pub(super) fn name(&mut self, who: &str) -> Daemon {
        match who {
            "primary" | "leader" => Daemon(self.primary()),
            w => Daemon(w.to_string()),
        }
    }

    /// Tells the checker which acts are hard faults, and how long they last;
    /// a mending is the end of one and the begin of none.
    pub(super) fn judge(&mut self, act: &Act, now: Time) {
        let mut lasts = |what: String, on: bool| match on {
            true => _ = self.broken.entry(what).or_insert(now),
            false => {
                if let Some(since) = self.broken.remove(&what) {
                    self.check.fault(since, now);
                }
            }
        };
        match act {
            Act::Kill(_)
            | Act::Abort(_)
            | Act::Leave(_)
            | Act::Wipe(_)
            | Act::Off(_)
            | Act::AllOff
            | Act::Start(_)
            | Act::On(_)
            | Act::AllOn => self.check.fault(now, now),
            Act::Freeze(w) => lasts(format!("freeze {w}"), true),
            Act::Thaw(w) => {
                let all: Vec<String> = self.broken.keys().filter(|k| k.starts_with("freeze")).cloned().collect();
                for k in all.into_iter().filter(|k| w == "all" || *k == format!("freeze {w}") || k == "freeze primary") {
                    if let Some(since) = self.broken.remove(&k) {
                        self.check.fault(since, now);
                    }
                }
            }
            Act::Cut(..) | Act::CutOne(..) => lasts("cut".into(), true),
            Act::Heal => lasts("cut".into(), false),
            Act::Loss(n) => lasts("loss".into(), *n > 0),
            Act::Delay(s) => lasts("delay".into(), *s > Span::ZERO),
            Act::Disk(w, s) => lasts(format!("disk {w}"), *s > Span::ZERO),
            Act::Crash(w) if w.starts_with("desk") => self.check.shut(now),
            Act::Revive(w) if w.starts_with("desk") => self.check.open(now),
            Act::Fail(w, n) if w.starts_with("desk") => match n {
                0 => self.check.open(now),
                _ => self.check.shut(now),
            },
            Act::Slow(w, s) if w.starts_with("desk") => match *s {
                Span::ZERO => self.check.open(now),
                _ => self.check.shut(now),
            },
            Act::Fleet(FleetAct::Replace(..) | FleetAct::Add(_) | FleetAct::Remove(_) | FleetAct::Power(_)) => {
                self.check.fault(now, now)
            }
            Act::Fleet(FleetAct::Fill(w)) => lasts(format!("full {w}"), true),
            Act::Fleet(FleetAct::Free(w)) => lasts(format!("full {w}"), false),
            Act::Fleet(FleetAct::Stall(_, time)) => self.check.fault(now, now + *time),
            Act::Fleet(FleetAct::Calls(CallFault::Extra, _)) => {}
            Act::Fleet(FleetAct::Calls(fault, share)) => lasts(format!("calls {fault:?}"), *share > 0),
            _ => {}
        }
    }

    pub fn act(&mut self, act: Act) {
        self.say(format!("== {act:?}"));
        let now = self.now;
        self.check.act(now);
        self.judge(&act, now);
        self.note_trouble(&act);
        if self.mail.on && self.routed_act(&act) {
            return;
        }
        match act {
            Act::Kill(w) => {
                let d = self.name(&w);
                self.kill(&d);
            }
            Act::Abort(w) => {
                let d = self.name(&w);
                self.abort(&d);
            }
            Act::Leave(w) => {
                let d = self.name(&w);
                self.leave(&d);
            }
            Act::Dark(..) | Act::Light(_) | Act::Release(_) | Act::Change | Act::Changes(_) | Act::Twins => {}
            Act::Start(w) if w == "all" => self.act(Act::AllOn),
            Act::Start(w) => self.start(&Daemon(w), false),
            Act::Wipe(w) => {
                let d = self.name(&w);
                self.kill(&d);
                if let Some(n) = self.nodes.get_mut(&d) {
                    n.disk.wipe();
                }
            }
            Act::Off(z) => self.all(Some(&z)).iter().for_each(|d| self.kill(d)),
            Act::On(z) => self.all(Some(&z)).iter().for_each(|d| self.start(d, false)),
            Act::AllOff => self.all(None).iter().for_each(|d| self.kill(d)),
            Act::AllOn => self.all(None).iter().for_each(|d| self.start(d, false)),
            Act::Freeze(w) => {
                let d = self.name(&w);
                self.freeze(&d);
            }
            Act::Thaw(w) if w == "all" => self.all(None).iter().for_each(|d| self.thaw(d)),
            Act::Thaw(w) => self.thaw(&Daemon(w)),
            Act::Cut(a, b) => {
                let (a, b) = (self.name(&a).0, self.name(&b).0);
                self.net.cuts.insert((a.clone(), b.clone()));
                self.net.cuts.insert((b, a));
            }
            Act::CutOne(a, b) => {
                let (a, b) = (self.name(&a).0, self.name(&b).0);
                self.net.cuts.insert((a, b));
            }
            Act::Heal => self.net.cuts.clear(),
            Act::Loss(n) => self.net.loss = n,
            Act::Delay(s) => self.net.extra = s,
            Act::Clock(w, rate) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    // The reading itself goes on from where it is.
                    let was = n.clock(now);
                    n.rate = rate;
                    n.offset = 0;
                    n.offset = was.0.saturating_sub(n.clock(now).0);
                }
            }
            Act::Wall(w, off) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    n.wall = off;
                }
            }
            Act::Disk(w, s) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    n.disk.slow = s;
                }
            }
            Act::Rot(w) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    // The shell sets a file that fails its checksum aside and hands it over empty.
                    let last = n.disk.durable.keys().next_back().cloned();
                    if let Some(k) = last {
                        n.disk.durable.insert(k, Bytes::new());
                    }
                }
            }
            Act::Crash(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.up = false;
                    m.listed = false;
                    m.busy = 0;
                }
                self.check.bar(&w, now);
            }
            Act::Revive(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.up = true;
                    m.listed = !w.starts_with("library") && !w.starts_with("desk");
                    m.life += 1;
                }
                self.check.unbar(&w);
                let service = w.split('-').next().unwrap_or_default();
                if let Some((_, slots)) = SLOTS.iter().find(|s| s.0 == service) {
                    self.check.freshen(&w, WARM, *slots, now);
                }
            }
            Act::Drain(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.draining = true;
                }
                self.check.bar(&w, now);
            }
            Act::Undrain(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.draining = false;
                }
                self.check.unbar(&w);
            }
            Act::Order(w) => {
                self.operate(ApiRequest::DrainWorker { worker: WorkerId(w.clone()), draining: true }, "", &format!("drain {w}"))
            }
            Act::Unorder(w) => {
                self.check.unbar(&w);
                self.operate(ApiRequest::DrainWorker { worker: WorkerId(w), draining: false }, "", "undrain");
            }
            Act::Lose(w, n) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.lose = n;
                }
            }
            Act::Fail(w, n) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.fail = n;
                }
            }
            Act::Slow(w, s) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.slow = s;
                }
            }
            Act::Empty(z) => self.operate(
                ApiRequest::SetZoneEmpty { zone: Zone(z.clone()), empty: true, force: false },
                "",
                &format!("empty {z}"),
            ),
            Act::Restore(z) => {
                self.check.restore_zone(&z);
                self.operate(ApiRequest::SetZoneEmpty { zone: Zone(z), empty: false, force: false }, "", "restore");
            }
            Act::List(x) => {
                self.out.list_down = x == "down";
                self.out.list_empty = x == "empty";
            }
            Act::Share(t, n) => {
                let mut shares = self.shares.clone();
                shares.iter_mut().filter(|s| s.0 == t).for_each(|s| s.1 = n);
                self.shares = shares.clone();
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                self.send_config("share", &shares, &base);
            }
            Act::Race(a, b) => {
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                for n in [a, b] {
                    let mut shares = self.shares.clone();
                    shares[0].1 = n;
                    self.send_config("race", &shares, &base);
                }
            }
            Act::BadConfig => {
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                let mut c = config(&self.shares);
                c["tenants"][0]["share"] = json!(0);
                let charge = ApplyRequest { operation_id: "bad".into(), base, json: c.to_string(), is_patch: false };
                self.operate(ApiRequest::Apply(charge), "", "charter bad");
            }
            Act::Poison(n) => self.poison = n,
            Act::Mix(n) => self.mix = n,
            Act::Rate(n) => self.rate = n,
            Act::PlanRetire(w) => {
                let ask = ApiRequest::Plan { config: None, empty: None, retire: Some(Daemon(w)) };
                self.operate(ask, "", "plan");
            }
            Act::Retire(w) => self.operate(ApiRequest::RetireStore { store: Daemon(w) }, "", "retire"),
            Act::Fleet(act) => self.fleet_act(act),
        }
    }
}
