//! Two stores of one partition of routed messages, the first of which keeps
//! it; the second only acknowledges.
#![allow(dead_code)]
use crate::settings::*;
use dw_queue::prelude::*;
use std::collections::BTreeMap;

pub const NOW: Time = Time::millis(10_000);
pub const FIRST: IncarnationId = IncarnationId(7);
pub const SECOND: IncarnationId = IncarnationId(5);
pub const TERM: Term = Term(1);
pub const ROUTES: &str = r#"{"revision": 1, "spool": 1,
  "services": [{"name": "sheets", "slots": 4}],
  "routes": [{"name": "bulk", "host": "h", "prefix": "/", "service": "sheets", "attempts": 3,
              "attempt_ms": 1000, "worth_ms": 60000}]}"#;

pub fn place() -> PartitionId {
    PartitionId { tenant: "~".into(), queue: "spool".into(), number: 0 }
}

pub fn epoch() -> Epoch {
    Epoch { term: TERM, count: 1 }
}

pub struct Pair {
    pub now: Time,
    pub stores: [Store; 2],
    pub offers: Vec<Offer>,
    /// Told to the proxy.
    pub told: Vec<SubmitOutcome>,
    /// Bodies that a store asked a replica outside of the pair for.
    pub wanted: Vec<MessageId>,
    /// What each store saved.
    pub files: [BTreeMap<String, Bytes>; 2],
}

impl Pair {
    pub fn new() -> Pair {
        let store = |n: u64| {
            let me = Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) };
            Store::new(startup(me), &Vec::new(), IncarnationId(n), NOW).0
        };
        let mut pair = Pair {
            now: NOW,
            stores: [store(1), store(2)],
            offers: Vec::new(),
            told: Vec::new(),
            wanted: Vec::new(),
            files: Default::default(),
        };
        for at in [0, 1] {
            pair.step(at, Event::Saved(1));
        }
        pair.run(Span::millis(600));
        pair
    }

    pub fn step(&mut self, at: usize, event: Event) {
        let out = self.stores[at].step(event, self.now);
        for effect in out {
            match effect {
                Effect::Save { n, name, bytes } => {
                    self.files[at].insert(name, bytes);
                    self.step(at, Event::Saved(n));
                }
                Effect::Send(_, PeerMessage::FetchBodies { ids, .. }) => self.wanted.extend(ids),
                Effect::Send(_, PeerMessage::SubmitResponse { outcome: word, .. }) => self.told.push(word),
                Effect::Send(to, msg) if to == daemon(&format!("store-{}", 2 - at)) => {
                    let from = daemon(&format!("store-{}", at + 1));
                    self.step(1 - at, Event::MessageReceived { from, message: msg });
                }
                Effect::Send(to, PeerMessage::Pull { requested_at: asked, .. }) => {
                    let msg = self.news(at, asked);
                    self.step(at, Event::MessageReceived { from: to, message: msg });
                }
                Effect::Send(_, PeerMessage::Offers { entries: all, .. }) => self.offers.extend(all),
                _ => {}
            }
        }
    }

    pub fn news(&self, at: usize, asked: Time) -> PeerMessage {
        let version = Version { term: TERM, count: 1 };
        let member_of = |n: u64| Member { disk_id: IncarnationId(n), ..member(&format!("store-{n}"), &format!("z{n}")) };
        let placing = PartitionLocation { leader: daemon("store-1"), epoch: epoch() };
        let items = vec![
            (version, Update::Config(ROUTES.to_string())),
            (version, Update::Members(vec![member_of(1), member_of(2)])),
            (version, Update::Partitions(vec![(place(), placing)])),
        ];
        let set = (1..=2).map(|n| (daemon(&format!("store-{n}")), IncarnationId(n))).collect();
        let duty = Duty::Lead(place());
        let grant = Grant {
            duty,
            epoch: epoch(),
            write_set: set,
            replacement: None,
            replacement_number: Version::ZERO,
            release_requested: false,
            slot_range: None,
        };
        let grants = if at == 0 { vec![grant] } else { Vec::new() };
        PeerMessage::PullResponse {
            requested_at: asked,
            term: TERM,
            config_valid_for: Some(Span::secs(2)),
            updates: items,
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

    /// A proxy hands the message in; gives what it is told.
    pub fn carry(&mut self) -> Vec<SubmitOutcome> {
        let body = Bytes::from_static(b"body");
        let head = MessageHeader {
            id: MessageId("0-1".into()),
            crc: crc32(&body),
            len: body.len() as u32,
            route: "bulk".into(),
            caller_request: Some(Box::default()),
            ..MessageHeader::default()
        };
        let msg = PeerMessage::Submit {
            request_id: 1,
            proxy: daemon("proxy-1"),
            via: None,
            wants_refusal: true,
            partition: place(),
            version: Version { term: TERM, count: 1 },
            header: head,
            body,
            age_bound: Some(AgeBound {
                clock: Some(ClockReading { incarnation: IncarnationId(1), at: self.now }),
                age: Span::ZERO,
            }),
            refusal: None,
        };
        self.step(0, Event::MessageReceived { from: daemon("proxy-1"), message: msg });
        std::mem::take(&mut self.told)
    }

    /// The delivery, in one of its lives, says what it takes.
    pub fn reach(&mut self, life: IncarnationId, asked: Time) {
        let reach = RoutedCapacity { incarnation: life, services: vec![("sheets".into(), 4)], addresses: Vec::new() };
        let places = vec![(place(), epoch())];
        let msg = PeerMessage::Capacity {
            requested_at: asked,
            duties: Vec::new(),
            partitions: places,
            in_flight: Vec::new(),
            routed: Some(reach),
        };
        self.step(0, Event::MessageReceived { from: daemon("delivery-1"), message: msg });
    }
}
