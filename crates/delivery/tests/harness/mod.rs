//! A delivery core driven by hand: tests choose what the placement daemon and the stores send it.
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

fn partition() -> PartitionId {
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
        remaining_warm_up: Span::ZERO,
    }
}

/// The state that the placement daemon sends.
#[derive(Clone, Copy, Debug)]
pub struct PlacementState {
    /// The number of the store that leads the partition.
    pub leader: u64,
    /// The worker is in the list.
    pub worker_listed: bool,
    /// The route is in force.
    pub route_in_force: bool,
    /// The delivery daemon holds the duty to send to the worker.
    pub duty_granted: bool,
}

/// A delivery core and what it has sent.
pub struct Harness {
    core: Delivery,
    pub now: Time,
    /// When the core sent its last pull.
    pull_requested_at: Time,
    /// How many pull responses were sent to it.
    updates_sent: u64,
    /// How much longer the worker is cold, and how many messages it runs at once.
    pub cold: Span,
    pub slots: u32,
    /// The calls that run a message.
    pub started: Vec<(CallId, Call)>,
    /// The attempts in flight that the core last reported.
    pub in_flight: Vec<InFlightAttempt>,
    /// What the core last reported that it takes of routed messages, and how often it reported.
    pub routed_capacity: Option<RoutedCapacity>,
    pub capacity_reports: u64,
    pub results: Vec<AttemptResult>,
}

impl Harness {
    pub fn new() -> Harness {
        let startup = Startup {
            me: member("delivery-1"),
            seeds: vec![daemon("placement-1")],
            pull_interval: Span::millis(300),
            lease_terms: LeaseTerms::default(),
            max_attempts: 64,
            max_body_bytes: 12 << 20,
            cold_calls_per_second: 5.0,
            random_seed: 1,
        };
        let mut harness = Harness {
            core: Delivery::new(startup, NOW),
            now: NOW,
            pull_requested_at: NOW,
            updates_sent: 0,
            cold: Span::ZERO,
            slots: 1,
            started: Vec::new(),
            in_flight: Vec::new(),
            routed_capacity: None,
            capacity_reports: 0,
            results: Vec::new(),
        };
        harness.run(Span::millis(400));
        harness
    }

    pub fn step(&mut self, event: Event) {
        for effect in self.core.step(event, self.now) {
            match effect {
                Effect::Call(id, call) if matches!(call.kind, CallKind::RunMessage { .. }) => self.started.push((id, call)),
                Effect::Send(_, PeerMessage::Pull { requested_at, .. }) => self.pull_requested_at = requested_at,
                Effect::Send(_, PeerMessage::Capacity { in_flight, routed, .. }) => {
                    (self.in_flight, self.routed_capacity) = (in_flight, routed);
                    self.capacity_reports += 1;
                }
                Effect::Send(_, PeerMessage::AttemptResults { entries }) => self.results.extend(entries),
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

    /// Sends the state in which nothing is in force but the spool, and lets the daemon report.
    pub fn remove_all_routes(&mut self) {
        self.send_update(PlacementState { leader: 1, worker_listed: true, route_in_force: false, duty_granted: true });
        self.capacity_reports = 0;
        self.run(Span::secs(1));
    }

    /// Sends the partition's leader, and the worker if `list_version` is 2 or more.
    pub fn send_lists(&mut self, leader: u64, list_version: u64) {
        self.send_update(PlacementState { leader, worker_listed: list_version > 1, route_in_force: true, duty_granted: true });
    }

    /// Sends a pull response with this state.
    pub fn send_update(&mut self, state: PlacementState) {
        self.updates_sent += 1;
        let version = Version { term: TERM, count: self.updates_sent };
        let location = PartitionLocation { leader: daemon(&format!("store-{}", state.leader)), epoch: epoch(state.leader) };
        let config = if state.route_in_force { ROUTES } else { NO_ROUTES };
        let updates = vec![
            (version, Update::Config(config.to_string())),
            (version, Update::Members(vec![member("delivery-1"), member("store-1"), member("store-2")])),
            (version, Update::Partitions(vec![(partition(), location)])),
            (version, Update::Workers(state.worker_listed.then(|| self.worker()).into_iter().collect())),
        ];
        let duty = Duty::for_worker(&worker().zone, &worker().id);
        let (write_set, replacement_number) = (Vec::new(), Version::ZERO);
        let grant = Grant {
            duty,
            epoch: epoch(1),
            write_set,
            replacement: None,
            replacement_number,
            release_requested: false,
            slot_range: None,
        };
        let grants = state.duty_granted.then_some(grant).into_iter().collect();
        let (requested_at, config_valid_for) = (self.pull_requested_at, Some(Span::secs(2)));
        let msg =
            PeerMessage::PullResponse { requested_at, term: TERM, config_valid_for, updates, grants, late_stores: Vec::new() };
        self.step(Event::MessageReceived { from: daemon("placement-1"), message: msg });
    }

    fn worker(&self) -> Worker {
        Worker { remaining_warm_up: self.cold, slots: self.slots, ..worker() }
    }

    /// The first leader offers attempt 1 of a message of the route "bulk".
    pub fn offer(&mut self) {
        self.offer_by_route("bulk");
    }

    pub fn offer_by_route(&mut self, route: &str) {
        self.offer_numbered(route, 1);
    }

    pub fn offer_numbered(&mut self, route: &str, attempt: u64) {
        let body = Bytes::from_static(b"body");
        let header = MessageHeader {
            id: MessageId("0-1".into()),
            crc: crc32(&body),
            len: body.len() as u32,
            route: route.into(),
            route_pattern: if route == "bulk" { "h/".into() } else { format!("other/{route}/") },
            caller_request: Some(Box::default()),
            ..MessageHeader::default()
        };
        let offer = Offer {
            duty: Duty::TargetShard(String::new()),
            partition: partition(),
            header,
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
