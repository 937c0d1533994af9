//! Schedules of faults of the whole fleet, drawn from a seed, while operators
//! change and read the configuration. Everything is mended before the end.
use crate::prelude::*;

/// Whether placement daemons come and go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Machines {
    Kept,
    Replaced,
}

const RUN: Span = Span::secs(50);
/// From here on everything is mended.
const MENDED: Time = Time::millis(36_000);
const KINDS: u64 = 17;

/// What a schedule has drawn so far.
struct Draw {
    rng: fastrand::Rng,
    machines: Machines,
    steps: Vec<Step>,
    /// A placement daemon's, and a store's, disk may be lost once each.
    placement_lost: bool,
    store_lost: bool,
    next_delivery: u64,
}

pub fn fleet_schedule(seed: u64, machines: Machines) -> Script {
    let rng = fastrand::Rng::with_seed(seed ^ 0xf1ee7);
    let mut draw = Draw { rng, machines, steps: Vec::new(), placement_lost: false, store_lost: false, next_delivery: 4 };
    draw.operators();
    for _ in 0..draw.rng.u64(2..=6) {
        draw.fault();
    }
    draw.mend();
    draw.steps.sort_by_key(|step| step.at);
    let routing = Some(Routing { keys: 60, usual: seed.is_multiple_of(3), ..Routing::default() });
    Script { name: format!("fleet {seed}"), seeds: 1, run: RUN, rate: 40, steps: draw.steps, routing, ..Script::default() }
}

impl Draw {
    fn act(&mut self, at: Time, act: Act) {
        self.steps.push(Step { at, act });
    }

    fn fleet(&mut self, at: Time, act: FleetAct) {
        self.act(at, Act::Fleet(act));
    }

    fn span(&mut self, from: u64, to: u64) -> Span {
        Span::millis(self.rng.u64(from..to))
    }

    fn one(&mut self, kind: &str) -> String {
        format!("{kind}-{}", self.rng.u64(1..=3))
    }

    fn core(&mut self) -> String {
        let kind = ["placement", "placement", "store", "delivery"][self.rng.usize(..4)];
        self.one(kind)
    }

    /// Changes, reads and lost answers, on most days.
    fn operators(&mut self) {
        let (changes, reads) = (self.span(250, 2500), self.span(100, 600));
        self.act(Time::millis(1000), Act::Changes(changes));
        self.fleet(Time::millis(1000), FleetAct::Reads(reads));
        if self.rng.bool() {
            let share = self.rng.u64(5..80);
            let (at, back) = self.times(12_000);
            self.fleet(at, FleetAct::LoseAnswers(share));
            self.fleet(back, FleetAct::LoseAnswers(0));
        }
    }

    /// From when to when a fault lasts.
    fn times(&mut self, longest: u64) -> (Time, Time) {
        let at = Time::millis(self.rng.u64(1500..24_000));
        let back = at + self.span(200, longest);
        (at, back.min(MENDED))
    }

    fn fault(&mut self) {
        let (at, back) = self.times(9000);
        let who = self.core();
        match self.rng.u64(..KINDS) {
            0 => self.cut(at, true),
            1 => self.cut(at, false),
            2 => self.lasting(at, back, Act::Kill(who), Act::AllOn),
            3 => self.lasting(at, back, Act::Fleet(FleetAct::Power(who)), Act::AllOn),
            4 => self.lasting(at, back, Act::Fleet(FleetAct::Power("all".into())), Act::AllOn),
            5 => self.lasting(at, back, Act::Freeze(who.clone()), Act::Thaw(who)),
            6 => self.lasting(at, back, Act::Fleet(FleetAct::Fill(who.clone())), Act::Fleet(FleetAct::Free(who))),
            7 => {
                let time = self.span(500, 6000);
                self.fleet(at, FleetAct::Stall(who, time));
            }
            8 => {
                let count = self.rng.u64(2..=8);
                self.fleet(at, FleetAct::Rivals(count));
            }
            9 => self.calls(at, back),
            10 | 11 => self.after_acknowledgement(at, back),
            12 => self.seeds(at, back),
            13 => self.delivery_replaced(at),
            14 => self.disk_lost(at, back),
            15 => self.machine_replaced(at),
            _ => self.lasting(at, back, Act::Kill("leader".into()), Act::AllOn),
        }
    }

    fn lasting(&mut self, at: Time, back: Time, fault: Act, mend: Act) {
        self.act(at, fault);
        self.act(back, mend);
    }

    /// The leader or another is cut off, for up to 20 s.
    fn cut(&mut self, at: Time, both: bool) {
        let who = if self.rng.bool() { "leader".to_string() } else { self.core() };
        let hears = self.rng.bool();
        for zone in ["z1", "z2", "z3"] {
            let act = match (both, hears) {
                (true, _) => Act::Cut(who.clone(), zone.into()),
                (_, true) => Act::CutOne(who.clone(), zone.into()),
                _ => Act::CutOne(zone.into(), who.clone()),
            };
            self.act(at, act);
        }
        let back = at + self.span(500, 20_000);
        self.act(back.min(MENDED), Act::Heal);
    }

    fn calls(&mut self, at: Time, back: Time) {
        let fault = [CallFault::Extra, CallFault::Garbled, CallFault::Reset][self.rng.usize(..3)];
        let share = self.rng.u64(2..40);
        self.lasting(at, back, Act::Fleet(FleetAct::Calls(fault, share)), Act::Fleet(FleetAct::Calls(fault, 0)));
    }

    fn after_acknowledgement(&mut self, at: Time, back: Time) {
        let who = ["leader".to_string(), "all".to_string(), self.core()][self.rng.usize(..3)].clone();
        let fault = if self.rng.bool() { Fault::Kill } else { Fault::Power };
        self.fleet(at, FleetAct::AfterAcknowledgement(fault, who));
        self.act(back + Span::secs(2), Act::AllOn);
    }

    fn seeds(&mut self, at: Time, back: Time) {
        let kind = ["store", "delivery", "agent"][self.rng.usize(..3)];
        let (who, seed) = (self.one(kind), self.one("placement"));
        self.fleet(at, FleetAct::Seeds(who.clone(), vec![seed]));
        self.lasting(at, back, Act::Kill(who), Act::AllOn);
    }

    fn delivery_replaced(&mut self, at: Time) {
        let (who, new) = (self.one("delivery"), format!("delivery-{}", self.next_delivery));
        self.next_delivery += 1;
        self.fleet(at, FleetAct::Replace(who, new));
    }

    /// A disk is lost; its machine comes back empty.
    fn disk_lost(&mut self, at: Time, back: Time) {
        if self.rng.bool() && !self.placement_lost {
            self.placement_lost = true;
            let who = self.one("placement");
            self.lasting(at, back, Act::Wipe(who), Act::AllOn);
        } else if !self.store_lost {
            self.store_lost = true;
            let who = self.one("store");
            self.lasting(at, back, Act::Wipe(who), Act::AllOn);
        }
    }

    /// A machine is gone for good, and an empty one takes its place.
    fn machine_replaced(&mut self, at: Time) {
        let place = self.rng.u64(1..=3);
        if self.machines == Machines::Replaced && !self.placement_lost {
            self.placement_lost = true;
            let (who, new) = (format!("placement-{place}"), format!("placement-{}", place + 3));
            self.fleet(at, FleetAct::Replace(who, new));
        }
        if !self.store_lost {
            self.store_lost = true;
            let (who, new) = (format!("store-{place}"), format!("store-{}", place + 3));
            self.fleet(at, FleetAct::Replace(who, new));
        }
    }

    fn mend(&mut self) {
        for act in [Act::Heal, Act::Thaw("all".into()), Act::AllOn] {
            self.act(MENDED, act);
        }
    }
}
