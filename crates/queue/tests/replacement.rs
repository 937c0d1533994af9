//! A partition's leader while a store of its write set is replaced: what the joining
//! store's copy must hold before it may be counted. Three store cores and a joining one,
//! driven by steps; the test acts as placement and issues the grants.
mod settings;
use dw_queue::prelude::*;
use settings::*;
use std::collections::VecDeque;

const STEP: Span = Span::millis(50);
const LEADER: &str = "store-1";
const LEAVING: &str = "store-2";
const THIRD: &str = "store-3";
const JOINING: &str = "store-4";
/// It is in the leader's zone.
const NEIGHBOUR: &str = "store-9";

fn partition() -> PartitionId {
    PartitionId { tenant: "curators".into(), queue: "sheets".into(), number: 0 }
}

fn in_own_zone(name: &str) -> Member {
    let zone_of = if name == NEIGHBOUR { LEADER } else { name };
    member(name, &zone_of.replace("store", "zone"))
}

struct Stores {
    now: Time,
    cores: BTreeMap<Daemon, Store>,
    /// Stores that are cut off from all others.
    cut_off: BTreeSet<Daemon>,
    queue: VecDeque<(Daemon, Event)>,
    write_set: Vec<(Daemon, IncarnationId)>,
    /// The count of the leader's epoch.
    epoch: u64,
    replacement: Option<(Daemon, Daemon, u64)>,
    /// The leader's last report.
    report: Report,
    accepted: BTreeSet<u64>,
    /// How often a store was started: the version of the list of members.
    starts: u64,
    last_request_id: u64,
}

impl Stores {
    fn new() -> Stores {
        Stores::with_write_set(&[LEADER, LEAVING, THIRD])
    }
    fn with_write_set(write_set: &[&str]) -> Stores {
        let mut s = Stores {
            now: Time::millis(1_000),
            cores: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            queue: VecDeque::new(),
            write_set: Vec::new(),
            epoch: 1,
            replacement: None,
            report: Report::default(),
            accepted: BTreeSet::new(),
            starts: 0,
            last_request_id: 0,
        };
        for name in write_set.iter().copied().chain([JOINING]) {
            s.start_with_empty_disk(name, IncarnationId(hash_of(name.as_bytes())));
        }
        s.write_set = write_set.iter().map(|n| (daemon(n), s.mark(n))).collect();
        s.run(3_000);
        assert_eq!(s.leader().phase, Phase::Serving);
        s
    }
    /// Starts a store with an empty data folder.
    fn start_with_empty_disk(&mut self, name: &str, mark: IncarnationId) {
        let settings = Startup {
            pull_interval: Span::millis(300),
            max_answer_delay: Span::millis(500),
            rng_seed: hash_of(name.as_bytes()),
            ..startup(in_own_zone(name))
        };
        let no_files: Vec<(String, Bytes)> = Vec::new();
        let (core, out) = Store::new(settings, &no_files, mark, self.now);
        self.cores.insert(daemon(name), core);
        self.starts += 1;
        self.handle_effects(&daemon(name), out);
    }
    fn mark(&self, name: &str) -> IncarnationId {
        self.cores[&daemon(name)].disk_id
    }
    fn leader(&self) -> &LeaderState {
        self.cores[&daemon(LEADER)].partitions[&partition()].leader_state.as_ref().expect("a leader")
    }
    fn handle_effects(&mut self, id: &Daemon, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, _) if self.cut_off.contains(id) || self.cut_off.contains(&to) => {}
                Effect::Send(_, PeerMessage::Pull { requested_at, report, .. }) => self.answer_pull(id, requested_at, report),
                Effect::Send(_, PeerMessage::SubmitResponse { request_id, outcome: SubmitOutcome::Accepted { .. }, .. }) => {
                    self.accepted.insert(request_id);
                }
                Effect::Send(to, message) if self.cores.contains_key(&to) => {
                    self.queue.push_back((to, Event::MessageReceived { from: id.clone(), message }));
                }
                Effect::Save { number: n, .. } => self.queue.push_back((id.clone(), Event::Saved(n))),
                _ => {}
            }
        }
    }
    /// Answers a pull as placement would: members, and the leader's grant.
    fn answer_pull(&mut self, to: &Daemon, requested_at: Time, report: Option<Report>) {
        let members = self.cores.iter().map(|(d, core)| Member { disk_id: core.disk_id, ..in_own_zone(d.as_str()) }).collect();
        let version = Version { term: Term(1), count: 1 };
        let rules = config();
        let listed = Version { count: self.starts, ..version };
        let updates = vec![(listed, Update::Members(members)), (version, Update::Config(rules))];
        let mut grants = Vec::new();
        if *to == daemon(LEADER) && !self.write_set.is_empty() {
            self.report = report.unwrap_or_default();
            let (replacement, replacement_number) = match self.replacement.clone() {
                Some((out, joining, n)) => (Some((out, joining)), Version { term: Term(1), count: n }),
                None => (None, Version::ZERO),
            };
            let duty = Duty::Lead(partition());
            let epoch = Epoch { term: Term(1), count: self.epoch };
            grants.push(Grant {
                duty,
                epoch,
                write_set: self.write_set.clone(),
                replacement,
                replacement_number,
                release_requested: false,
                slot_range: None,
            });
        }
        let config_valid_for = Some(Span::millis(2_500));
        let message =
            PeerMessage::PullResponse { requested_at, term: Term(1), config_valid_for, updates, grants, late_stores: Vec::new() };
        self.queue.push_back((to.clone(), Event::MessageReceived { from: daemon("placement-1"), message }));
    }
    fn deliver_all(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            let Some(core) = self.cores.get_mut(&id) else { continue };
            let out = core.step(event, self.now);
            self.handle_effects(&id, out);
        }
    }
    fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.now += STEP;
            for id in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.queue.push_back((id, Event::Tick));
                self.deliver_all();
            }
        }
    }
    fn submit(&mut self, request_id: u64, body: Bytes) {
        let id = MessageId(format!("m{request_id}"));
        let header = MessageHeader { id, crc: crc32(&body), len: body.len() as u32, ..MessageHeader::default() };
        let message = PeerMessage::Submit {
            request_id,
            proxy: daemon("proxy-1"),
            relayed_by: None,
            wants_refusal: false,
            partition: partition(),
            version: Version::ZERO,
            header,
            body,
            age_bound: None,
            refusal: None,
        };
        self.queue.push_back((daemon(LEADER), Event::MessageReceived { from: daemon("proxy-1"), message }));
    }
    /// Submits messages to the leader, and checks that all are accepted.
    fn submit_and_check(&mut self, count: u64) {
        let first = self.last_request_id + 1;
        for _ in 0..count {
            self.last_request_id += 1;
            let body = Bytes::from(format!("body {}", self.last_request_id));
            self.submit(self.last_request_id, body);
        }
        self.run(1_500);
        let missing: Vec<u64> = (first..=self.last_request_id).filter(|n| !self.accepted.contains(n)).collect();
        assert!(missing.is_empty(), "not accepted: {missing:?}");
    }
    /// Whether the leader's last report permits placement to change the write set.
    fn may_change_write_set(&self) -> bool {
        let Some((_, joining, n)) = &self.replacement else { return false };
        let number = Version { term: Term(1), count: *n };
        let complete_copy = (partition(), joining.clone(), self.mark(joining.as_str()));
        self.report.replacement_numbers.contains(&(partition(), number)) && self.report.complete_copies.contains(&complete_copy)
    }
    fn record_count(&self, name: &str) -> usize {
        self.cores[&daemon(name)].partitions.get(&partition()).map_or(0, |p| p.records.len())
    }
    fn start_replacement(&mut self, number: u64) {
        self.replacement = Some((daemon(LEAVING), daemon(JOINING), number));
    }
}

fn config() -> String {
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
fn a_joining_copy_is_complete_once_it_holds_all_that_was_accepted() {
    let mut s = Stores::new();
    s.submit_and_check(20);
    assert!(!s.may_change_write_set());
    s.start_replacement(1);
    s.run(1_500);
    assert!(s.may_change_write_set());
    assert_eq!(s.record_count(JOINING), 20);
}

#[test]
fn a_copy_made_for_an_earlier_replacement_is_made_again() {
    let mut s = Stores::new();
    s.submit_and_check(5);
    s.start_replacement(1);
    s.run(1_500);
    assert!(s.may_change_write_set());
    // The leaving store is kept after all, and what follows is replicated to it alone.
    s.replacement = None;
    s.run(600);
    assert_eq!((s.report.complete_copies.len(), s.report.replacement_numbers.len()), (0, 0));
    s.cut_off.insert(daemon(THIRD));
    s.submit_and_check(10);
    assert_eq!((s.record_count(LEAVING), s.record_count(JOINING)), (15, 5));
    s.start_replacement(2);
    let started = s.now;
    while !s.may_change_write_set() {
        assert!(s.now.since(started) < Span::secs(4), "the copy is never complete");
        s.run(50);
    }
    assert_eq!(s.record_count(JOINING), 15);
}

#[test]
fn a_leaving_store_counts_for_nothing_new() {
    let mut s = Stores::new();
    s.start_replacement(1);
    s.run(1_000);
    s.cut_off.insert(daemon(THIRD));
    let before = s.leader().committed;
    let op = s.leader().durable;
    s.last_request_id += 1;
    let body = Bytes::from_static(b"late");
    s.submit(s.last_request_id, body);
    s.run(2_000);
    assert!(s.leader().durable > op, "not written at the leader");
    assert_eq!(s.leader().committed, before);
    assert!(s.accepted.is_empty());
    // The joining store is in the write set: it counts, once it has the op.
    s.write_set[1] = (daemon(JOINING), s.mark(JOINING));
    s.replacement = None;
    s.run(3_000);
    assert_eq!((s.accepted.len(), s.record_count(JOINING)), (1, 1));
}

#[test]
fn in_a_write_set_of_five_a_message_is_accepted_once_it_is_on_three() {
    let write_set = [LEADER, LEAVING, THIRD, "store-5", "store-6"];
    let mut s = Stores::with_write_set(&write_set);
    s.submit_and_check(10);
    let copies = write_set.iter().filter(|name| s.record_count(name) == 10).count();
    assert!(copies >= 3, "{copies} copies");
    for name in [THIRD, "store-5", "store-6"] {
        s.cut_off.insert(daemon(name));
    }
    s.last_request_id += 1;
    s.submit(s.last_request_id, Bytes::from_static(b"late"));
    s.run(4_000);
    assert_eq!(s.record_count(LEAVING), 11);
    assert!(!s.accepted.contains(&11), "accepted with two copies only");
    s.cut_off.remove(&daemon("store-6"));
    s.run(4_000);
    assert_eq!((s.accepted.contains(&11), s.record_count("store-6")), (true, 11));
}

/// The only store of another zone has stopped for good, and the leader has just opened the
/// partition again: it waits for a second copy in another zone.
fn without_another_zone() -> Stores {
    let mut s = Stores::with_write_set(&[LEADER, LEAVING, NEIGHBOUR]);
    s.submit_and_check(20);
    s.cut_off.insert(daemon(LEAVING));
    s.epoch = 2;
    s.run(2_000);
    assert_eq!(s.leader().phase, Phase::AwaitingBackups);
    s
}

/// Issue 32: only leaders that served gave a copy to the successor of the only store in
/// another zone, and this leader serves only once it has a copy there. The partition never
/// opened again.
#[test]
fn a_partition_that_waits_for_another_zone_gives_the_successor_a_copy() {
    let mut s = without_another_zone();
    s.start_replacement(1);
    s.run(1_500);
    assert!(s.may_change_write_set(), "the successor never gets a complete copy");
    s.write_set[1] = (daemon(JOINING), s.mark(JOINING));
    s.replacement = None;
    s.run(1_500);
    assert_eq!((s.leader().phase, s.record_count(JOINING)), (Phase::Serving, 20));
}

/// The same with a store that restarts without its disk.
#[test]
fn a_partition_that_waits_for_another_zone_gives_an_empty_disk_a_copy() {
    let mut s = without_another_zone();
    let new_disk_id = IncarnationId(4711);
    s.start_with_empty_disk(LEAVING, new_disk_id);
    s.cut_off.clear();
    s.run(1_500);
    assert!(
        s.report.complete_copies.contains(&(partition(), daemon(LEAVING), new_disk_id)),
        "the empty disk never gets a complete copy"
    );
    s.write_set[1] = (daemon(LEAVING), new_disk_id);
    s.run(1_500);
    assert_eq!((s.leader().phase, s.record_count(LEAVING)), (Phase::Serving, 20));
}

/// The leader's status, as operators see it.
fn status(s: &mut Stores) -> String {
    let leader = s.cores.get_mut(&daemon(LEADER)).unwrap();
    let out = leader.step(Event::Request(RequestId(1), ApiRequest::Status), s.now);
    out.into_iter().find_map(|e| if let Effect::Respond(_, v) = e { Some(v.json) } else { None }).unwrap()
}

#[test]
fn the_status_tells_which_copies_are_missing_and_for_how_long() {
    let mut s = Stores::new();
    assert!(status(&mut s).contains(r#""lacks_copies_at":[]"#));
    s.submit_and_check(20);
    s.cut_off.insert(daemon(LEAVING));
    s.start_with_empty_disk(LEAVING, IncarnationId(4711));
    s.run(2_000);
    let shown = status(&mut s);
    assert!(shown.contains(r#""lacks_copies_at":["store-2"]"#), "{shown}");
    assert!(!shown.contains(r#""lacks_copies_ms":null"#), "{shown}");
    s.cut_off.clear();
    s.run(1_500);
    s.write_set[1] = (daemon(LEAVING), IncarnationId(4711));
    s.run(1_000);
    assert!(status(&mut s).contains(r#""lacks_copies_ms":null"#));
}

/// The write set grows by one store: no_files leaves, and the replacement names the joining
/// store as the leaving one, too.
#[test]
fn a_store_that_joins_beside_the_others_gets_a_copy_and_then_counts() {
    let mut s = Stores::new();
    s.submit_and_check(20);
    s.replacement = Some((daemon(JOINING), daemon(JOINING), 1));
    s.run(3_000);
    assert!(s.may_change_write_set());
    assert_eq!(s.record_count(JOINING), 20);
    // What is submitted meanwhile is accepted on a majority of the old write set.
    s.submit_and_check(5);
    assert!(s.may_change_write_set(), "newer messages may be missing: a majority of the old write set has them");
    let joining = (daemon(JOINING), s.mark(JOINING));
    s.write_set.push(joining);
    s.replacement = None;
    s.run(1_000);
    assert_eq!(s.leader().backups_needed(), 2, "three of four");
    s.submit_and_check(10);
    let full = [LEAVING, THIRD, JOINING].iter().filter(|name| s.record_count(name) == 35).count();
    assert!(full >= 2, "{full} of the other three have what was accepted");
    // Two of the four stop: nothing more can be accepted.
    s.cut_off.insert(daemon(LEAVING));
    s.cut_off.insert(daemon(JOINING));
    s.last_request_id += 1;
    s.submit(s.last_request_id, Bytes::from_static(b"too few"));
    s.run(3_000);
    assert!(!s.accepted.contains(&s.last_request_id), "accepted on half of the write set");
}
