//! A delivery's core that tests tell things.
#![allow(dead_code)]
use dw_delivery::prelude::*;

pub const NOW: Time = Time::millis(10_000);
const TERM: Term = Term(1);
const ROUTES: &str = r#"{"revision": 1, "spool": 1,
  "services": [{"name": "sheets", "slots": 4}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;
const NO_ROUTES: &str = r#"{"revision": 2, "spool": 1, "services": [{"name": "sheets", "slots": 4}], "routes": []}"#;

fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

fn place() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
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
        incarnation: IncarnationId(1),
        disk_id: IncarnationId(0),
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

/// What placement tells.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    /// Which store keeps the partition.
    pub leader: u64,
    /// The worker is on the list.
    pub worker: bool,
    /// The route is in force.
    pub route: bool,
    /// The delivery may send to the worker.
    pub granted: bool,
}

/// A delivery that is told things, and the attempts that it began.
pub struct Told {
    core: Delivery,
    pub now: Time,
    asked: Time,
    /// News told as yet.
    told: u64,
    /// How much longer the worker is cold, and how many it runs at once.
    pub cold: Span,
    pub slots: u32,
    pub begun: Vec<(CallId, Call)>,
    pub holding: Vec<InFlightAttempt>,
    pub settled: Vec<AttemptResult>,
}

impl Told {
    pub fn new() -> Told {
        let startup = Startup {
            me: member("delivery-1"),
            seeds: vec![daemon("placement-1")],
            pull: Span::millis(300),
            terms: LeaseTerms::default(),
            hands_max: 64,
            cold_slack: 5.0,
            seed: 1,
        };
        let mut told = Told {
            core: Delivery::new(startup, NOW),
            now: NOW,
            asked: NOW,
            told: 0,
            cold: Span::ZERO,
            slots: 1,
            begun: Vec::new(),
            holding: Vec::new(),
            settled: Vec::new(),
        };
        told.run(Span::millis(400));
        told
    }

    pub fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Call(id, call) if matches!(call.kind, CallKind::RunMessage { .. }) => self.begun.push((id, call)),
                Effect::Send(_, PeerMessage::Pull { requested_at: asked, .. }) => self.asked = asked,
                Effect::Send(_, PeerMessage::Capacity { in_flight: holding, .. }) => self.holding = holding,
                Effect::Send(_, PeerMessage::AttemptResults { entries: all }) => self.settled.extend(all),
                _ => {}
            }
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::millis(20);
            self.step(Event::Tick);
        }
    }

    /// News of the partition's leader, and of the worker from `workers` 2 on.
    pub fn news(&mut self, leader: u64, workers: u64) {
        self.tell(Known { leader, worker: workers > 1, route: true, granted: true });
    }

    pub fn tell(&mut self, known: Known) {
        self.told += 1;
        let version = Version { term: TERM, count: self.told };
        let placing = PartitionLocation { leader: daemon(&format!("store-{}", known.leader)), epoch: epoch(known.leader) };
        let config = if known.route { ROUTES } else { NO_ROUTES };
        let items = vec![
            (version, Update::Config(config.to_string())),
            (version, Update::Members(vec![member("delivery-1"), member("store-1"), member("store-2")])),
            (version, Update::Partitions(vec![(place(), placing)])),
            (version, Update::Workers(known.worker.then(|| self.worker()).into_iter().collect())),
        ];
        let duty = Duty::for_worker(&worker().zone, &worker().id);
        let (set, swap_number) = (Vec::new(), Version::ZERO);
        let grant = Grant {
            duty,
            epoch: epoch(1),
            write_set: set,
            replacement: None,
            replacement_number: swap_number,
            release_requested: false,
            slot_range: None,
        };
        let grants = known.granted.then_some(grant).into_iter().collect();
        let (asked, fresh) = (self.asked, Some(Span::secs(2)));
        let msg = PeerMessage::PullResponse {
            requested_at: asked,
            term: TERM,
            config_valid_for: fresh,
            updates: items,
            grants,
            late_stores: Vec::new(),
        };
        self.step(Event::MessageReceived { from: daemon("placement-1"), message: msg });
    }

    fn worker(&self) -> Worker {
        Worker { cold: self.cold, slots: self.slots, ..worker() }
    }

    /// The first leader hands out an attempt; no worker is there for it yet.
    pub fn offer(&mut self) {
        self.offer_by("bulk");
    }

    pub fn offer_by(&mut self, route: &str) {
        self.offer_numbered(route, 1);
    }

    pub fn offer_numbered(&mut self, route: &str, attempt: u64) {
        let body = Bytes::from_static(b"body");
        let head = MessageHeader {
            id: MessageId("0-1".into()),
            crc: crc32(&body),
            len: body.len() as u32,
            route: route.into(),
            caller_request: Some(Box::default()),
            ..MessageHeader::default()
        };
        let offer = Offer {
            duty: Duty::TargetShard(String::new()),
            partition: place(),
            header: head,
            stage: Stage::Pending,
            epoch: epoch(1),
            attempt,
            body,
            destination: Some(Destination::Service("sheets".into())),
            timeout: Span::secs(1),
        };
        let msg = PeerMessage::Offers { requested_at: self.now, entries: vec![offer] };
        self.step(Event::MessageReceived { from: daemon("store-1"), message: msg });
    }
}
