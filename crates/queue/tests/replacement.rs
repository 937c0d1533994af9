//! A partition's leader while one of its stores is replaced: what a copy must
//! hold before it may take the seat. Three store cores and a joiner, driven by
//! steps alone; the test stands for placement and hands out the grants.
mod settings;
use dw_queue::prelude::*;
use settings::*;
use std::collections::VecDeque;

const STEP: Span = Span::millis(50);
const LEADER: &str = "store-1";
const LEAVER: &str = "store-2";
const THIRD: &str = "store-3";
const JOINER: &str = "store-4";
/// It stands in the leader's zone.
const NEIGHBOUR: &str = "store-9";

fn place() -> PartitionId {
    PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 0 }
}

fn in_own_zone(name: &str) -> Member {
    let zone_of = if name == NEIGHBOUR { LEADER } else { name };
    member(name, &zone_of.replace("store", "zone"))
}

struct Stores {
    now: Time,
    cores: BTreeMap<Daemon, Store>,
    /// Stores that hear nothing and are heard by nobody.
    cut: BTreeSet<Daemon>,
    queue: VecDeque<(Daemon, Event)>,
    set: Vec<(Daemon, IncarnationId)>,
    /// The count of the leader's epoch.
    epoch: u64,
    swap: Option<(Daemon, Daemon, u64)>,
    /// What the leader last reported.
    report: Report,
    accepted: BTreeSet<u64>,
    /// Stores started as yet: the version of the list of members.
    starts: u64,
    asked: u64,
}

impl Stores {
    fn new() -> Stores {
        Stores::with_set(&[LEADER, LEAVER, THIRD])
    }
    fn with_set(set: &[&str]) -> Stores {
        let mut s = Stores {
            now: Time::millis(1_000),
            cores: BTreeMap::new(),
            cut: BTreeSet::new(),
            queue: VecDeque::new(),
            set: Vec::new(),
            epoch: 1,
            swap: None,
            report: Report::default(),
            accepted: BTreeSet::new(),
            starts: 0,
            asked: 0,
        };
        for name in set.iter().copied().chain([JOINER]) {
            s.start_empty(name, IncarnationId(hash_of(name.as_bytes())));
        }
        s.set = set.iter().map(|n| (daemon(n), s.mark(n))).collect();
        s.run(3_000);
        assert_eq!(s.leader().phase, Phase::Serving);
        s
    }
    /// Starts a store on an empty folder.
    fn start_empty(&mut self, name: &str, mark: IncarnationId) {
        let settings = Startup {
            pull: Span::millis(300),
            word: Span::millis(500),
            seed: hash_of(name.as_bytes()),
            ..startup(in_own_zone(name))
        };
        let none: Vec<(String, Bytes)> = Vec::new();
        let (core, out) = Store::new(settings, &none, mark, self.now);
        self.cores.insert(daemon(name), core);
        self.starts += 1;
        self.obey(&daemon(name), out);
    }
    fn mark(&self, name: &str) -> IncarnationId {
        self.cores[&daemon(name)].mark
    }
    fn leader(&self) -> &LeaderState {
        self.cores[&daemon(LEADER)].parts[&place()].leader_state.as_ref().expect("a leader")
    }
    fn obey(&mut self, id: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, _) if self.cut.contains(id) || self.cut.contains(&to) => {}
                Effect::Send(_, PeerMessage::Pull { requested_at: asked, report, .. }) => self.answer(id, asked, report),
                Effect::Send(_, PeerMessage::SubmitResponse { request_id: ask, outcome: SubmitOutcome::Accepted { .. }, .. }) => {
                    self.accepted.insert(ask);
                }
                Effect::Send(to, msg) if self.cores.contains_key(&to) => {
                    self.queue.push_back((to, Event::MessageReceived { from: id.clone(), message: msg }));
                }
                Effect::Save { n, .. } => self.queue.push_back((id.clone(), Event::Saved(n))),
                _ => {}
            }
        }
    }
    /// Answers a pull as placement does: members, and the leader's grant.
    fn answer(&mut self, to: &Daemon, asked: Time, report: Option<Report>) {
        let members = self.cores.iter().map(|(d, core)| Member { disk_id: core.mark, ..in_own_zone(d.as_str()) }).collect();
        let version = Version { term: Term(1), count: 1 };
        let rules = json_of_rules();
        let listed = Version { count: self.starts, ..version };
        let items = vec![(listed, Update::Members(members)), (version, Update::Config(rules))];
        let mut grants = Vec::new();
        if *to == daemon(LEADER) && !self.set.is_empty() {
            self.report = report.unwrap_or_default();
            let (swap, swap_number) = match self.swap.clone() {
                Some((out, joiner, n)) => (Some((out, joiner)), Version { term: Term(1), count: n }),
                None => (None, Version::ZERO),
            };
            let duty = Duty::Lead(place());
            let epoch = Epoch { term: Term(1), count: self.epoch };
            grants.push(Grant {
                duty,
                epoch,
                write_set: self.set.clone(),
                replacement: swap,
                replacement_number: swap_number,
                release_requested: false,
                slot_range: None,
            });
        }
        let fresh = Some(Span::millis(2_500));
        let msg = PeerMessage::PullResponse {
            requested_at: asked,
            term: Term(1),
            config_valid_for: fresh,
            updates: items,
            grants,
            late_stores: Vec::new(),
        };
        self.queue.push_back((to.clone(), Event::MessageReceived { from: daemon("placement-1"), message: msg }));
    }
    fn drain(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            let Some(core) = self.cores.get_mut(&id) else { continue };
            let out = core.step(event, self.now);
            self.obey(&id, out);
        }
    }
    fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.now += STEP;
            for id in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.queue.push_back((id, Event::Tick));
                self.drain();
            }
        }
    }
    fn carry(&mut self, ask: u64, body: Bytes) {
        let id = MessageId(format!("m{ask}"));
        let head = MessageHeader { id, crc: crc32(&body), len: body.len() as u32, ..MessageHeader::default() };
        let msg = PeerMessage::Submit {
            request_id: ask,
            proxy: daemon("proxy-1"),
            via: None,
            wants_refusal: false,
            partition: place(),
            version: Version::ZERO,
            header: head,
            body,
            age_bound: None,
            refusal: None,
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("proxy-1"), message: msg }));
    }
    /// Hands messages to the leader; all are accepted.
    fn hand_in(&mut self, count: u64) {
        let first = self.asked + 1;
        for _ in 0..count {
            self.asked += 1;
            let body = Bytes::from(format!("body {}", self.asked));
            self.carry(self.asked, body);
        }
        self.run(1_500);
        let missing: Vec<u64> = (first..=self.asked).filter(|n| !self.accepted.contains(n)).collect();
        assert!(missing.is_empty(), "not accepted: {missing:?}");
    }
    /// Whether the leader's last report lets placement move the seat.
    fn seat_may_move(&self) -> bool {
        let Some((_, joiner, n)) = &self.swap else { return false };
        let number = Version { term: Term(1), count: *n };
        let whole = (place(), joiner.clone(), self.mark(joiner.as_str()));
        self.report.replacement_numbers.contains(&(place(), number)) && self.report.complete_copies.contains(&whole)
    }
    fn has(&self, name: &str) -> usize {
        self.cores[&daemon(name)].parts.get(&place()).map_or(0, |p| p.records.len())
    }
    fn replace(&mut self, number: u64) {
        self.swap = Some((daemon(LEAVER), daemon(JOINER), number));
    }
}

fn json_of_rules() -> String {
    let text = r#"{
        "templates": [{"name": "house", "waitlists": [
            {"name": "sheets", "partitions": 1, "service": "sheets", "attempts": 8, "attempt_ms": 1500}
        ]}],
        "tenants": [{"name": "curators", "template": "house", "share": 1}],
        "services": [{"name": "sheets", "slots": 4}]
    }"#;
    text.to_string()
}

#[test]
fn a_joiner_is_whole_once_it_holds_all_that_was_accepted() {
    let mut s = Stores::new();
    s.hand_in(20);
    assert!(!s.seat_may_move());
    s.replace(1);
    s.run(1_500);
    assert!(s.seat_may_move());
    assert_eq!(s.has(JOINER), 20);
}

#[test]
fn a_joiner_copied_for_an_earlier_replacement_is_copied_again() {
    let mut s = Stores::new();
    s.hand_in(5);
    s.replace(1);
    s.run(1_500);
    assert!(s.seat_may_move());
    // The one that was to leave is back, and what follows stands on it alone.
    s.swap = None;
    s.run(600);
    assert_eq!((s.report.complete_copies.len(), s.report.replacement_numbers.len()), (0, 0));
    s.cut.insert(daemon(THIRD));
    s.hand_in(10);
    assert_eq!((s.has(LEAVER), s.has(JOINER)), (15, 5));
    s.replace(2);
    let begun = s.now;
    while !s.seat_may_move() {
        assert!(s.now.since(begun) < Span::secs(4), "never whole");
        s.run(50);
    }
    assert_eq!(s.has(JOINER), 15);
}

#[test]
fn a_store_that_leaves_counts_for_nothing_new() {
    let mut s = Stores::new();
    s.replace(1);
    s.run(1_000);
    s.cut.insert(daemon(THIRD));
    let before = s.leader().committed;
    let op = s.leader().durable;
    s.asked += 1;
    let body = Bytes::from_static(b"late");
    s.carry(s.asked, body);
    s.run(2_000);
    assert!(s.leader().durable > op, "written here");
    assert_eq!(s.leader().committed, before);
    assert!(s.accepted.is_empty());
    // The joiner has the seat: it counts, once it has the op.
    s.set[1] = (daemon(JOINER), s.mark(JOINER));
    s.swap = None;
    s.run(3_000);
    assert_eq!((s.accepted.len(), s.has(JOINER)), (1, 1));
}

#[test]
fn in_a_set_of_five_a_message_is_accepted_once_it_stands_on_three() {
    let set = [LEADER, LEAVER, THIRD, "store-5", "store-6"];
    let mut s = Stores::with_set(&set);
    s.hand_in(10);
    let copies = set.iter().filter(|name| s.has(name) == 10).count();
    assert!(copies >= 3, "{copies} copies");
    for name in [THIRD, "store-5", "store-6"] {
        s.cut.insert(daemon(name));
    }
    s.asked += 1;
    s.carry(s.asked, Bytes::from_static(b"late"));
    s.run(4_000);
    assert_eq!(s.has(LEAVER), 11);
    assert!(!s.accepted.contains(&11), "on two only");
    s.cut.remove(&daemon("store-6"));
    s.run(4_000);
    assert_eq!((s.accepted.contains(&11), s.has("store-6")), (true, 11));
}

/// The only store of another zone is gone for good, and the leader has just
/// opened the partition anew: it waits for a second copy in another zone.
fn without_another_zone() -> Stores {
    let mut s = Stores::with_set(&[LEADER, LEAVER, NEIGHBOUR]);
    s.hand_in(20);
    s.cut.insert(daemon(LEAVER));
    s.epoch = 2;
    s.run(2_000);
    assert_eq!(s.leader().phase, Phase::AwaitingBackups);
    s
}

/// Issue 32: the successor of the only store in another zone was made whole by
/// leaders that serve, and this one serves only once it has a copy there. The
/// partition never opened again.
#[test]
fn a_partition_that_waits_for_another_zone_makes_the_successor_whole() {
    let mut s = without_another_zone();
    s.replace(1);
    s.run(1_500);
    assert!(s.seat_may_move(), "the successor is never made whole");
    s.set[1] = (daemon(JOINER), s.mark(JOINER));
    s.swap = None;
    s.run(1_500);
    assert_eq!((s.leader().phase, s.has(JOINER)), (Phase::Serving, 20));
}

/// The same with a store that comes back without its disk.
#[test]
fn a_partition_that_waits_for_another_zone_makes_a_lost_disk_whole() {
    let mut s = without_another_zone();
    let fresh = IncarnationId(4711);
    s.start_empty(LEAVER, fresh);
    s.cut.clear();
    s.run(1_500);
    assert!(s.report.complete_copies.contains(&(place(), daemon(LEAVER), fresh)), "the lost disk is never made whole");
    s.set[1] = (daemon(LEAVER), fresh);
    s.run(1_500);
    assert_eq!((s.leader().phase, s.has(LEAVER)), (Phase::Serving, 20));
}

/// What the leader tells operators of its partition.
fn status(s: &mut Stores) -> String {
    let leader = s.cores.get_mut(&daemon(LEADER)).unwrap();
    let out = leader.step(Event::Request(RequestId(1), ApiRequest::Status), s.now);
    out.into_iter().find_map(|e| if let Effect::Respond(_, v) = e { Some(v.json) } else { None }).unwrap()
}

#[test]
fn operators_are_told_which_copies_are_lacking_and_for_how_long() {
    let mut s = Stores::new();
    assert!(status(&mut s).contains(r#""lacks_copies_at":[]"#));
    s.hand_in(20);
    s.cut.insert(daemon(LEAVER));
    s.start_empty(LEAVER, IncarnationId(4711));
    s.run(2_000);
    let told = status(&mut s);
    assert!(told.contains(r#""lacks_copies_at":["store-2"]"#), "{told}");
    assert!(!told.contains(r#""lacks_copies_ms":null"#), "{told}");
    s.cut.clear();
    s.run(1_500);
    s.set[1] = (daemon(LEAVER), IncarnationId(4711));
    s.run(1_000);
    assert!(status(&mut s).contains(r#""lacks_copies_ms":null"#));
}

/// One more seat: nobody leaves, and `out` names the joiner itself.
#[test]
fn a_store_that_joins_beside_the_others_is_made_whole_and_then_counts() {
    let mut s = Stores::new();
    s.hand_in(20);
    s.swap = Some((daemon(JOINER), daemon(JOINER), 1));
    s.run(3_000);
    assert!(s.seat_may_move());
    assert_eq!(s.has(JOINER), 20);
    // What is handed in meanwhile is accepted on the old majority.
    s.hand_in(5);
    assert!(s.seat_may_move(), "what came since is missing, and may be: a majority of the old set has it");
    let joiner = (daemon(JOINER), s.mark(JOINER));
    s.set.push(joiner);
    s.swap = None;
    s.run(1_000);
    assert_eq!(s.leader().backups_needed(), 2, "three of four");
    s.hand_in(10);
    let full = [LEAVER, THIRD, JOINER].iter().filter(|name| s.has(name) == 35).count();
    assert!(full >= 2, "{full} of the other three have what was accepted");
    // Two of the four go: what is left can't be accepted.
    s.cut.insert(daemon(LEAVER));
    s.cut.insert(daemon(JOINER));
    s.asked += 1;
    s.carry(s.asked, Bytes::from_static(b"too few"));
    s.run(3_000);
    assert!(!s.accepted.contains(&s.asked), "accepted on half of the set");
}
