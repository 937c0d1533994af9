//! What a delivery does with attempts of a keeper that was replaced.
use dw_delivery::prelude::*;

const NOW: Time = Time::millis(10_000);
const TERM: Term = Term(1);
const ROUTES: &str = r#"{"revision": 1, "spool": 1,
  "services": [{"name": "sheets", "slots": 4}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;

fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

fn place() -> Place {
    Place { tenant: "~".into(), waitlist: "spool".into(), part: 0 }
}

fn epoch(count: u64) -> Epoch {
    Epoch { term: TERM, count }
}

fn member(name: &str) -> Member {
    Member {
        id: daemon(name),
        zone: Zone("z1".into()),
        addr: format!("{name}:1"),
        http: String::new(),
        life: Mark(1),
        disk: Mark(0),
        machine: String::new(),
    }
}

fn worker() -> Worker {
    Worker {
        id: WorkerId("w1".into()),
        service: "sheets".into(),
        addr: "10.0.0.1:80".into(),
        zone: Zone("z1".into()),
        draining: false,
        age: Span::secs(60),
        slots: 1,
        cold: Span::ZERO,
    }
}

/// A delivery that is told things, and the attempts that it began.
struct Told {
    core: Delivery,
    now: Time,
    asked: Time,
    begun: Vec<Call>,
    holding: Vec<Holding>,
    settled: Vec<Settled>,
}

impl Told {
    fn new() -> Told {
        let startup = Startup {
            me: member("delivery-1"),
            seeds: vec![daemon("placement-1")],
            pull: Span::millis(300),
            terms: Terms::default(),
            hands_max: 64,
            seed: 1,
        };
        let mut told = Told {
            core: Delivery::new(startup, NOW),
            now: NOW,
            asked: NOW,
            begun: Vec::new(),
            holding: Vec::new(),
            settled: Vec::new(),
        };
        told.run(Span::millis(400));
        told
    }

    fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Call(_, call) if matches!(call.errand, Errand::Run { .. }) => self.begun.push(call),
                Effect::Say(_, Msg::Need { asked, .. }) => self.asked = asked,
                Effect::Say(_, Msg::Room { holding, .. }) => self.holding = holding,
                Effect::Say(_, Msg::Settled { all }) => self.settled.extend(all),
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::millis(20);
            self.step(Event::Clock);
        }
    }

    /// News of the partition's keeper, and of the worker from `workers` 2 on.
    fn news(&mut self, keeper: u64, workers: u64) {
        let version = |count| Version { term: TERM, count };
        let placing = Placing { keeper: daemon(&format!("store-{keeper}")), epoch: epoch(keeper) };
        let listed = if workers > 1 { vec![worker()] } else { Vec::new() };
        let items = vec![
            (version(1), Item::Charter(ROUTES.to_string())),
            (version(1), Item::Members(vec![member("delivery-1"), member("store-1"), member("store-2")])),
            (version(keeper), Item::Places(vec![(place(), placing)])),
            (version(workers), Item::Workers(listed)),
        ];
        let duty = Duty::of_worker(&worker().zone, &worker().id);
        let grant =
            Grant { duty, epoch: epoch(1), set: Vec::new(), swap: None, swap_number: Version::ZERO, shed: false, slice: None };
        let fresh = Some(Span::secs(2));
        let (asked, grants) = (self.asked, vec![grant]);
        let msg = Msg::News { asked, term: TERM, fresh, items, grants, late: Vec::new() };
        self.step(Event::Hear { from: daemon("placement-1"), msg });
    }

    /// The first keeper hands out an attempt; no worker is there for it yet.
    fn offer(&mut self) {
        self.offer_by("bulk");
    }

    fn offer_by(&mut self, route: &str) {
        let body = Bytes::from_static(b"body");
        let head = Head {
            id: MessageId("0-1".into()),
            crc: crc32(&body),
            len: body.len() as u32,
            route: route.into(),
            parcel: Some(Box::default()),
            ..Head::default()
        };
        let offer = Offer {
            duty: Duty::Reach(String::new()),
            place: place(),
            head,
            stage: Stage::Work,
            epoch: epoch(1),
            attempt: 1,
            body,
            goal: Some(Goal::Service("sheets".into())),
            limit: Span::secs(1),
        };
        let msg = Msg::Offers { asked: self.now, all: vec![offer] };
        self.step(Event::Hear { from: daemon("store-1"), msg });
    }
}

#[test]
fn an_attempt_that_waits_begins_when_its_worker_is_there() {
    let mut told = Told::new();
    told.news(1, 1);
    told.offer();
    told.run(Span::millis(100));
    assert!(told.begun.is_empty());
    told.news(1, 2);
    told.run(Span::millis(600));
    assert_eq!(told.begun.len(), 1);
}

#[test]
fn an_attempt_that_waits_never_begins_once_its_keeper_is_replaced() {
    let mut told = Told::new();
    told.news(1, 1);
    told.offer();
    told.run(Span::millis(100));
    told.news(2, 1);
    told.news(2, 2);
    told.run(Span::millis(600));
    assert!(told.begun.is_empty(), "{:?}", told.begun);
    assert_eq!(told.holding, []);
}

#[test]
fn an_attempt_under_way_goes_on_and_is_named_to_the_new_keeper() {
    let mut told = Told::new();
    told.news(1, 2);
    told.run(Span::millis(600));
    told.offer();
    told.run(Span::millis(100));
    assert_eq!(told.begun.len(), 1);
    told.news(2, 2);
    told.run(Span::millis(500));
    assert_eq!(told.holding.len(), 1);
}

/// Its keeper would wait for the attempt's end, some seconds, to hand it out
/// again.
#[test]
fn an_offer_by_a_route_that_is_not_known_yet_goes_back_at_once() {
    let mut told = Told::new();
    told.news(1, 2);
    told.run(Span::millis(600));
    told.offer_by("newer");
    let unstarted = told.settled.iter().filter(|s| s.told == dw_delivery::prelude::Told::Unstarted).count();
    assert_eq!((unstarted, told.begun.len()), (1, 0));
}
