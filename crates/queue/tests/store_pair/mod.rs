//! Two stores of one partition of routed messages: the first leads it, the second only
//! acknowledges.
#![allow(dead_code)]
use crate::settings::*;
use dw_queue::prelude::*;
use std::collections::BTreeMap;

pub const NOW: Time = Time::millis(10_000);
pub const FIRST_INCARNATION: IncarnationId = IncarnationId(7);
pub const SECOND_INCARNATION: IncarnationId = IncarnationId(5);
pub const TERM: Term = Term(1);
pub const ROUTES: &str = r#"{"revision": 1, "spool": 1,
  "services": [{"name": "sheets", "slots": 4}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;

pub fn partition() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

pub fn epoch() -> Epoch {
    Epoch { term: TERM, count: 1 }
}

pub struct StorePair {
    pub now: Time,
    pub cores: [Store; 2],
    pub offers: Vec<Offer>,
    /// The largest encoded message of offers, in bytes.
    pub largest_offers_message: usize,
    /// Responses to the proxy.
    pub responses: Vec<SubmitOutcome>,
    /// Bodies that a store requested from a replica outside the stores.
    pub requested_bodies: Vec<MessageId>,
    /// The configuration in force, and how many there were.
    config: (String, u64),
    /// The epoch under which the first store leads.
    epoch: Epoch,
    /// Where partitions are led that these stores do not lead.
    pub other_locations: Vec<(PartitionId, PartitionLocation)>,
    /// Queries of ordering keys to stores outside these.
    pub key_queries: Vec<KeyQuery>,
    /// Order scopes that the first store asked stores outside these about.
    pub scope_queries: Vec<Vec<String>>,
    /// The files that each store saved.
    pub files: [BTreeMap<String, Bytes>; 2],
}

impl StorePair {
    pub fn new() -> StorePair {
        let store = |n: u64| {
            let me = Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) };
            Store::new(
                Startup { max_body_bytes: 1 << 27, max_disk_bytes: 1 << 28, max_cached_bytes: 1 << 27, ..startup(me) },
                &Vec::new(),
                IncarnationId(n),
                NOW,
            )
            .0
        };
        let mut stores = StorePair {
            now: NOW,
            cores: [store(1), store(2)],
            offers: Vec::new(),
            largest_offers_message: 0,
            responses: Vec::new(),
            requested_bodies: Vec::new(),
            config: (ROUTES.to_string(), 1),
            epoch: epoch(),
            other_locations: Vec::new(),
            key_queries: Vec::new(),
            scope_queries: Vec::new(),
            files: Default::default(),
        };
        for at in [0, 1] {
            stores.step(at, Event::Saved(1));
        }
        stores.run(Span::millis(600));
        stores
    }

    pub fn step(&mut self, at: usize, event: Event) {
        let out = self.cores[at].step(event, self.now);
        for effect in out {
            match effect {
                Effect::Save { number: n, name, bytes } => {
                    self.files[at].insert(name, bytes);
                    self.step(at, Event::Saved(n));
                }
                Effect::Send(_, PeerMessage::FetchBodies { ids, .. }) => self.requested_bodies.extend(ids),
                Effect::Send(_, PeerMessage::SubmitResponse { outcome, .. }) => self.responses.push(outcome),
                Effect::Send(to, message) if to == daemon(&format!("store-{}", 2 - at)) => {
                    let from = daemon(&format!("store-{}", at + 1));
                    self.step(1 - at, Event::MessageReceived { from, message });
                }
                Effect::Send(to, PeerMessage::Pull { requested_at, .. }) => {
                    let message = self.pull_response(at, requested_at);
                    self.step(at, Event::MessageReceived { from: to, message });
                }
                Effect::Send(_, message @ PeerMessage::Offers { .. }) => self.receive_offers(message),
                Effect::Send(_, PeerMessage::KeyQuery { query }) => self.key_queries.push(query),
                Effect::Send(_, PeerMessage::ReplacedScopesQuery { scopes }) if at == 0 => self.scope_queries.push(scopes),
                _ => {}
            }
        }
    }

    fn receive_offers(&mut self, message: PeerMessage) {
        self.largest_offers_message = self.largest_offers_message.max(encode(&message).len());
        if let PeerMessage::Offers { entries, .. } = message {
            self.offers.extend(entries);
        }
    }

    pub fn pull_response(&self, at: usize, requested_at: Time) -> PeerMessage {
        let version = Version { term: TERM, count: 1 };
        let member_of = |n: u64| Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) };
        let location = PartitionLocation { leader: daemon("store-1"), epoch: self.epoch };
        let mut locations = self.other_locations.clone();
        locations.push((partition(), location));
        let locations_version = Version { count: 1 + self.other_locations.len() as u64, ..version };
        let updates = vec![
            (Version { count: self.config.1, ..version }, Update::Config(self.config.0.clone())),
            (version, Update::Members(vec![member_of(1), member_of(2)])),
            (locations_version, Update::Partitions(locations)),
        ];
        let set = (1..=2).map(|n| (daemon(&format!("store-{n}")), IncarnationId(n))).collect();
        let duty = Duty::Lead(partition());
        let grant = Grant {
            duty,
            epoch: self.epoch,
            write_set: set,
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let grants = if at == 0 { vec![grant] } else { Vec::new() };
        PeerMessage::PullResponse {
            requested_at,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates,
            grants,
            late_stores: Vec::new(),
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += Span::millis(20);
            for at in [0, 1] {
                self.step(at, Event::Tick);
            }
        }
    }

    /// A newer configuration comes into force.
    pub fn configure(&mut self, config: &str) {
        self.config = (config.to_string(), self.config.1 + 1);
        self.run(Span::millis(600));
    }

    /// The delivery reports that the attempt of an offer succeeded.
    pub fn succeed(&mut self, offer: &Offer) {
        let result = AttemptResult {
            partition: offer.partition.clone(),
            id: offer.header.id.clone(),
            epoch: offer.epoch,
            attempt: offer.attempt,
            stage: offer.stage,
            outcome: AttemptOutcome::Success,
            completion_token: "t".into(),
            ended_ago: Span::ZERO,
        };
        let message = PeerMessage::AttemptResults { entries: vec![result] };
        self.step(0, Event::MessageReceived { from: daemon("delivery-1"), message });
    }

    /// The leader restarts on its files, and opens the partition again under a newer
    /// configuration.
    pub fn restart_leader(&mut self, config: &str) {
        self.epoch.count += 1;
        self.config = (config.to_string(), self.config.1 + 1);
        let files: Vec<(String, Bytes)> = self.files[0].clone().into_iter().collect();
        let me = Member { disk_id: IncarnationId(1), ..member("store-1", "z1") };
        let (core, effects) = Store::new(startup(me), &files, IncarnationId(1), self.now);
        self.cores[0] = core;
        for effect in effects {
            if let Effect::Save { number, .. } = effect {
                self.step(0, Event::Saved(number));
            }
        }
        self.run(Span::millis(600));
    }

    /// A proxy submits the message; returns the responses to it.
    pub fn submit(&mut self) -> Vec<SubmitOutcome> {
        let header = MessageHeader {
            id: MessageId("0-1".into()),
            route: "bulk".into(),
            route_pattern: "h/".into(),
            caller_request: Some(Box::new(caller_request())),
            ..MessageHeader::default()
        };
        self.submit_header(header)
    }

    /// The same for a message with this header.
    pub fn submit_header(&mut self, header: MessageHeader) -> Vec<SubmitOutcome> {
        self.submit_with_body(header, Bytes::from_static(b"body"))
    }

    /// The same for a message with this header and body.
    pub fn submit_with_body(&mut self, header: MessageHeader, body: Bytes) -> Vec<SubmitOutcome> {
        self.submit_as(header, body, Version { term: TERM, count: 1 })
    }

    /// The version of the configuration after the one in force.
    pub fn next_config_version(&self) -> Version {
        Version { term: TERM, count: self.config.1 + 1 }
    }

    /// The same for a message that the proxy made under this version of the configuration.
    pub fn submit_of_version(&mut self, header: MessageHeader, version: Version) -> Vec<SubmitOutcome> {
        self.submit_as(header, Bytes::from_static(b"body"), version)
    }

    fn submit_as(&mut self, header: MessageHeader, body: Bytes, version: Version) -> Vec<SubmitOutcome> {
        let header = MessageHeader { crc: crc32(&body), len: body.len() as u32, ..header };
        let message = PeerMessage::Submit {
            request_id: 1,
            proxy: daemon("proxy-1"),
            relayed_by: None,
            wants_refusal: true,
            partition: partition(),
            version,
            header,
            body,
            age_bound: Some(AgeBound {
                clock: Some(ClockReading { incarnation: IncarnationId(1), at: self.now }),
                age: Span::ZERO,
            }),
            refusal: None,
        };
        self.step(0, Event::MessageReceived { from: daemon("proxy-1"), message });
        std::mem::take(&mut self.responses)
    }

    /// The delivery, in one of its incarnations, reports its capacity.
    pub fn report_capacity(&mut self, incarnation: IncarnationId, requested_at: Time) {
        self.report_capacity_for(&["sheets"], incarnation, requested_at);
    }

    /// The same for workers of these services.
    pub fn report_capacity_for(&mut self, services: &[&str], incarnation: IncarnationId, requested_at: Time) {
        let services = services.iter().map(|service| (service.to_string(), 4)).collect();
        self.report_routed_capacity(RoutedCapacity { incarnation, services, ..RoutedCapacity::default() }, requested_at);
    }

    /// The delivery reports this capacity.
    pub fn report_routed_capacity(&mut self, capacity: RoutedCapacity, requested_at: Time) {
        let partitions = vec![(partition(), self.epoch)];
        let message =
            PeerMessage::Capacity { requested_at, duties: Vec::new(), partitions, in_flight: Vec::new(), routed: Some(capacity) };
        self.step(0, Event::MessageReceived { from: daemon("delivery-1"), message });
    }
}
