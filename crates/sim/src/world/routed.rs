//! What happens around routed messages, one turn after the other.
use crate::prelude::*;

#[derive(Clone, Debug)]
pub enum Turn {
    /// The next message of a flow.
    Flow(usize),
    Try(usize),
    /// A message sent straight to one proxy, to see its configuration.
    Trial {
        path: String,
        zone: u64,
    },
    Seek {
        post: usize,
        follow: u32,
    },
    Probe,
    List,
    Land {
        node: Daemon,
        life: u64,
        id: CallId,
        call: Box<Call>,
        at: String,
    },
    RunOver(u64),
    /// A worker stops work at a run's hard end.
    Ceases(u64),
    /// A receiver has answered.
    Received(String),
    Order(usize),
    Change,
    /// The configuration is read back.
    Read,
    Release {
        service: String,
        old: String,
        step: u32,
    },
    /// An address goes to another service's worker.
    Moves {
        service: String,
        zone: u64,
        addr: String,
    },
    Comes {
        service: String,
        zone: u64,
    },
    Unlist(String),
    /// A process that was told to end is gone.
    Ends(Daemon, u64),
    Settle,
    Again,
}

/// A process told to end is killed after this.
const GRACE: Span = Span::secs(10);

impl World {
    pub(super) fn routed(&mut self, turn: Turn) {
        match turn {
            Turn::Flow(n) => self.post_flow(n),
            Turn::Try(n) => self.post_try(n),
            Turn::Trial { path, zone } => {
                let d = Daemon(format!("proxy-{zone}"));
                self.post(path, String::new(), Span::ZERO, String::new(), zone, Some(d));
            }
            Turn::Seek { post, follow } => self.seek_on(post, follow),
            Turn::Probe => self.probe_fronts(),
            Turn::List => self.list_taken(),
            Turn::Land { node, life, id, call, at } => self.land(node, life, id, *call, at),
            Turn::RunOver(n) => self.run_over(n, false),
            Turn::Ceases(n) => self.run_over(n, true),
            Turn::Received(desk) => {
                if let Some(r) = self.floor.receivers.get_mut(&desk) {
                    r.open = r.open.saturating_sub(1);
                }
            }
            Turn::Order(n) => self.order_again(n),
            Turn::Change => self.change(),
            Turn::Read => self.read_configuration(),
            Turn::Release { service, old, step } => self.release(service, old, step),
            Turn::Moves { service, zone, addr } => {
                // Taken meanwhile, or free: then another service moves in.
                if !self.floor.at.contains_key(&addr) {
                    self.worker_starts(&service, zone, Some(addr));
                }
            }
            Turn::Comes { service, zone } => _ = self.worker_starts(&service, zone, None),
            Turn::Unlist(name) => {
                if let Some(w) = self.floor.lives.get_mut(&name) {
                    w.listed = false;
                }
            }
            Turn::Ends(id, life) => {
                if self.nodes.get(&id).is_some_and(|n| n.life == life && n.core.is_some()) {
                    self.say(format!("{id} has ended"));
                    self.kill(&id);
                    if self.mail.anew.remove(&id) {
                        self.comes_back(&id);
                        self.start(&id, false);
                    }
                }
            }
            Turn::Settle => match self.settle_routed() {
                true => self.over = true,
                false => self.soon(Span::secs(1), Ev::Routed(Turn::Settle)),
            },
            Turn::Again => self.seek_again(),
        }
    }

    pub fn begin_routed(&mut self) {
        for n in 0..4 {
            let first = Span(self.rng.u64(..200_000));
            self.soon(first, Ev::Routed(Turn::Flow(n)));
        }
    }

    /// Told to end in order, and killed when that takes too long.
    pub fn leave(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get(id) else { return };
        let life = n.life;
        self.mail.leaving.insert(id.clone());
        self.soon(GRACE, Ev::Routed(Turn::Ends(id.clone(), life)));
        self.step(id, Event::Shutdown);
    }

    /// It says that all is drained.
    pub(super) fn goes(&mut self, id: &Daemon) {
        if !self.mail.leaving.contains(id) {
            return;
        }
        let Some(n) = self.nodes.get(id) else { return };
        let life = n.life;
        self.soon(Span::millis(5), Ev::Routed(Turn::Ends(id.clone(), life)));
    }

    /// A struck daemon: alone, or all with it.
    fn whom(d: &str) -> Option<String> {
        (d.starts_with("delivery") || d.starts_with("proxy")).then(|| d.to_string())
    }

    fn trouble(&mut self, from: Time, who: Option<String>, sort: Sort) {
        let to = self.now;
        self.seen.troubles.push(Trouble { from, to, who, sort });
    }

    /// What lasts until it is mended: from `on`, under its name.
    fn lasts(&mut self, what: &str, who: Option<String>, on: bool) {
        let now = self.now;
        if on {
            self.mail.open.entry(what.to_string()).or_insert((now, who));
        } else if let Some((from, who)) = self.mail.open.remove(what) {
            self.trouble(from, who, Sort::Struck);
        }
    }

    fn downs(&mut self, d: &str) {
        let now = self.now;
        self.trouble(now, Self::whom(d), Sort::Struck);
        self.mail.down.entry(Daemon(d.into())).or_insert(now);
    }

    fn comes_back(&mut self, d: &Daemon) {
        // One that is still on its way out is started after that.
        if self.mail.leaving.contains(d) && self.nodes.get(d).is_some_and(|n| n.core.is_some()) {
            self.mail.anew.insert(d.clone());
            return;
        }
        let planned = self.mail.leaving.remove(d);
        let sort = if planned { Sort::Planned } else { Sort::Struck };
        let now = self.now;
        self.trouble(now, Self::whom(&d.0), sort);
        if let (Some(from), false) = (self.mail.down.remove(d), planned) {
            self.trouble(from, Self::whom(&d.0), Sort::Down);
        }
    }

    /// Tells the checker of routed messages what is done to the daemons.
    pub(super) fn note_trouble(&mut self, act: &Act) {
        let now = self.now;
        let down = |w: &World| -> Vec<Daemon> { w.all(None).into_iter().filter(|d| w.nodes[d].core.is_none()).collect() };
        match act {
            Act::Kill(d) | Act::Abort(d) | Act::Wipe(d) => {
                let d = self.name(d);
                self.mail.leaving.remove(&d);
                self.downs(&d.0);
            }
            Act::Leave(d) => self.trouble(now, Self::whom(d), Sort::Planned),
            Act::Start(d) if d != "all" => self.comes_back(&Daemon(d.clone())),
            Act::Off(z) => self.all(Some(z)).iter().for_each(|d| self.downs(&d.0)),
            Act::AllOff => self.all(None).iter().for_each(|d| self.downs(&d.0)),
            Act::On(_) | Act::AllOn | Act::Start(_) => {
                let leaving = self.mail.leaving.iter().cloned();
                let all: BTreeSet<Daemon> = down(self).into_iter().chain(leaving).collect();
                all.iter().for_each(|d| self.comes_back(d));
            }
            Act::Freeze(d) => {
                let d = self.name(d);
                self.lasts(&format!("freeze {d}"), Self::whom(&d.0), true);
            }
            Act::Thaw(d) if d == "all" => {
                let all: Vec<String> = self.mail.open.keys().filter(|k| k.starts_with("freeze")).cloned().collect();
                all.iter().for_each(|k| self.lasts(k, None, false));
            }
            Act::Thaw(d) => self.lasts(&format!("freeze {d}"), None, false),
            Act::Cut(..) | Act::CutOne(..) => {
                self.trouble(now, None, Sort::Struck);
                self.lasts("cut", None, true);
            }
            Act::Heal => self.lasts("cut", None, false),
            Act::Loss(n) => self.lasts("loss", None, *n > 0),
            Act::Delay(s) => self.lasts("delay", None, *s > Span::ZERO),
            Act::Disk(d, s) => self.lasts(&format!("disk {d}"), Self::whom(d), *s > Span::ZERO),
            Act::Clock(..) => self.trouble(now, None, Sort::Struck),
            Act::Wall(..) => self.seen.days_apart = true,
            Act::Fleet(act) => self.note_fleet_trouble(act),
            Act::List(x) if x != "well" => self.mail.list_since = Some(now),
            Act::List(_) => {
                if let Some(from) = self.mail.list_since.take() {
                    self.seen.list_troubles.push((from, now));
                }
            }
            _ => {}
        }
    }

    /// Tells the checker of routed messages what is done to the fleet.
    fn note_fleet_trouble(&mut self, act: &FleetAct) {
        match act {
            FleetAct::Replace(who, _) | FleetAct::Remove(who) => {
                let who = self.name(who);
                self.mail.leaving.remove(&who);
                self.downs(&who.0);
            }
            FleetAct::Power(who) => self.named(who).iter().for_each(|d| self.downs(&d.0)),
            FleetAct::Fill(who) => self.lasts(&format!("full {who}"), Self::whom(who), true),
            FleetAct::Free(who) => self.lasts(&format!("full {who}"), None, false),
            FleetAct::Stall(who, time) => {
                let (from, to) = (self.now, self.now + *time);
                self.seen.troubles.push(Trouble { from, to, who: Self::whom(who), sort: Sort::Struck });
            }
            // An answer that comes twice is no excuse for anything.
            FleetAct::Calls(CallFault::Extra, _) => {}
            FleetAct::Calls(fault, share) => self.lasts(&format!("calls {fault:?}"), None, *share > 0),
            _ => {}
        }
    }

    /// A new machine starts.
    pub(super) fn joins(&mut self, id: &Daemon) {
        self.say(format!("{id} starts for the first time"));
        self.comes_back(id);
        self.start(id, false);
    }

    /// Whatever still lasts at the end has lasted until then.
    pub fn close_troubles(&mut self) {
        for what in self.mail.open.keys().cloned().collect::<Vec<_>>() {
            self.lasts(&what, None, false);
        }
        let now = self.now;
        self.seen.list_troubles.extend(self.mail.list_since.map(|t| (t, now)));
    }

    fn spell(&mut self, service: &str) -> &mut Spell {
        self.floor.spells.entry(service.to_string()).or_default()
    }

    /// Acts that mean something else to a deployment of routed messages; true when
    /// this was one.
    pub(super) fn routed_act(&mut self, act: &Act) -> bool {
        let now = self.now;
        match act.clone() {
            Act::Dark(s, silent) => {
                self.spell(&s).dark = Some(silent);
                let all: Vec<String> = self.floor.of(&s);
                // Whatever they were at work on is lost with them.
                for name in all {
                    let gone: Vec<u64> = self.floor.toils.iter().filter(|(_, t)| t.worker == name).map(|x| *x.0).collect();
                    gone.into_iter().for_each(|n| self.drop_run(n));
                }
            }
            Act::Light(s) => self.spell(&s).dark = None,
            Act::Release(s) => {
                for (n, old) in self.floor.of(&s).into_iter().enumerate() {
                    let ev = Turn::Release { service: s.clone(), old, step: 0 };
                    self.soon(Span::millis(1500).times(n as u64), Ev::Routed(ev));
                }
            }
            Act::Change => self.change(),
            Act::Changes(pace) => {
                self.mail.pace = Some(pace);
                self.change();
            }
            Act::Twins => self.twins(),
            Act::BadConfig => self.send_bad_configs(),
            Act::Empty(z) => self.empty_routed(z),
            Act::Restore(z) => self.restore_routed(z),
            Act::List(x) => {
                self.floor.list_down = x == "down";
                self.floor.list_empty = x == "empty";
            }
            Act::Crash(w) if w.starts_with("desk") => self.receiver(&w, |r| r.down = true),
            Act::Revive(w) if w.starts_with("desk") => self.receiver(&w, |r| r.down = false),
            Act::Crash(w) => {
                let name = match self.floor.lives.contains_key(&w) {
                    true => w,
                    // One of the service's workers.
                    false => self.floor.of(&w).first().cloned().unwrap_or(w),
                };
                self.worker_crashes(&name);
            }
            Act::Fail(w, n) if w.starts_with("desk") => self.receiver(&w, |r| r.fail = n),
            Act::Slow(w, s) if w.starts_with("desk") => self.receiver(&w, |r| r.slow = s),
            Act::Fail(w, n) => self.spell(&w).fail = Some(n),
            Act::Lose(w, n) => self.spell(&w).lose = n,
            Act::Slow(w, s) => self.spell(&w).slow = s,
            _ => return false,
        }
        self.seen.acts.push(now);
        true
    }

    /// Changes a receiver, and notes from when to when it is not well.
    fn receiver(&mut self, desk: &str, change: impl Fn(&mut Receiver)) {
        let now = self.now;
        let n = desk.rsplit('-').next().unwrap_or("1");
        let r = self.floor.receivers.entry(desk.to_string()).or_default();
        change(r);
        let ill = r.down || r.fail > 0 || r.slow > Span::ZERO;
        let all = self.seen.shut.entry(format!("10.9.2.{n}:80")).or_default();
        match (ill, all.last().is_some_and(|s| s.1.is_none())) {
            (true, false) => all.push((now, None)),
            (false, true) => all.iter_mut().for_each(|s| _ = s.1.get_or_insert(now)),
            _ => {}
        }
    }
}
