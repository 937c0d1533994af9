//! Three placement cores and the stores and deliveries around them, driven by
//! steps alone: words arrive at once, saves end at once, no clock is read.
#![allow(dead_code, unused_imports)]
mod stores;
use dw_election::prelude::Command;
pub use dw_placement::prelude::*;
pub use serde_json::{json, Value};
pub use stores::*;
pub const TARGET_SHARDS_PER_ZONE: usize = dw_types::id::TARGET_SHARDS_PER_ZONE as usize;
use std::collections::VecDeque;

/// Between two steps of time.
const STEP: Span = Span::millis(50);
/// Between two pulls.
const PULL: Span = Span::millis(400);

/// A store or a delivery: holds what it is granted while it is renewed.
pub struct Fake {
    pub me: Member,
    pub held: BTreeMap<Duty, (Epoch, Time)>,
    /// Grants read back from its folder, told until it is granted something.
    pub checkpoint: BTreeMap<Duty, Epoch>,
    pub shed: BTreeSet<Duty>,
    pub gave: Vec<(Duty, Epoch)>,
    /// Attempts are in hand: nothing is given up.
    pub busy: bool,
    pub unheard: Vec<Duty>,
    /// Replacements it was told of as leader: who leaves, who joins, and the
    /// number that its report names.
    pub swaps: BTreeMap<PartitionId, (Daemon, Daemon, Version)>,
    /// It was told to stop and gives up what it holds.
    pub stopping: bool,
    /// What placement last said of waiting for its seats.
    pub told_to_wait: Option<bool>,
    /// Joiners are whole as soon as they are named.
    pub copies: bool,
    heard: (Term, Time),
    have: VersionVector,
    due: Time,
    pub news: Vec<Update>,
}

pub struct Fleet {
    pub now: Time,
    pub cores: BTreeMap<Daemon, Placement>,
    disks: BTreeMap<Daemon, BTreeMap<String, Bytes>>,
    /// Disks that take no writes, and what waits for each.
    stuck: BTreeMap<Daemon, Vec<Effect>>,
    pub fakes: BTreeMap<Daemon, Fake>,
    /// Cores that hear nothing and are heard by nobody.
    pub cut: BTreeSet<Daemon>,
    queue: VecDeque<(Daemon, Event)>,
    /// A core whose frames are counted, and the bytes of those sent to it.
    pub metered: Option<(Daemon, usize)>,
    pub told: BTreeMap<u64, ApiResponse>,
    pub calls: Vec<(Time, Daemon, CallId, Call)>,
    pub platform: String,
    pub rate: f64,
    pub tolerates: Tolerance,
    next: u64,
}

pub fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

/// The mark of a daemon's data folder.
pub fn disk_of(name: &str) -> IncarnationId {
    IncarnationId(hash_of(name.as_bytes()))
}

pub fn member(name: &str, zone: &str) -> Member {
    Member {
        id: daemon(name),
        zone: Zone(zone.to_string()),
        addr: format!("{name}:1"),
        http: format!("{name}:80"),
        incarnation: IncarnationId(1),
        disk_id: disk_of(name),
        machine: format!("machine-of-{name}"),
    }
}

impl Fleet {
    /// Three placement cores, founded, and nothing else.
    pub fn new() -> Fleet {
        Fleet::listing("", 0.0)
    }
    pub fn listing(platform: &str, rate: f64) -> Fleet {
        Fleet::founded(platform, rate, Tolerance::default())
    }
    pub fn founded(platform: &str, rate: f64, tolerates: Tolerance) -> Fleet {
        let mut f = Fleet {
            now: Time(1_000_000),
            cores: BTreeMap::new(),
            disks: BTreeMap::new(),
            stuck: BTreeMap::new(),
            fakes: BTreeMap::new(),
            cut: BTreeSet::new(),
            queue: VecDeque::new(),
            metered: None,
            told: BTreeMap::new(),
            calls: Vec::new(),
            platform: platform.to_string(),
            rate,
            tolerates,
            next: 1,
        };
        for n in 1..=3 {
            f.start(&daemon(&format!("placement-{n}")), true);
        }
        f
    }
    /// A fleet of three zones with a store and a delivery in each, served by
    /// a primary.
    pub fn whole() -> Fleet {
        let mut f = Fleet::new();
        f.stores(3);
        for n in 1..=3 {
            f.add(&format!("delivery-{n}"), &format!("z{n}"));
        }
        f.until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
        f.run(4_000);
        f
    }
    pub fn stores(&mut self, count: usize) {
        for n in 1..=count {
            self.add(&format!("store-{n}"), &format!("z{}", (n - 1) % 3 + 1));
        }
    }
    pub fn start(&mut self, id: &Daemon, found: bool) {
        let names = (1..=3).map(|n| daemon(&format!("placement-{n}")));
        let startup = Startup {
            me: member(id.as_str(), &id.as_str().replace("placement-", "z")),
            seeds: names.collect(),
            lease_terms: LeaseTerms::default(),
            election: ElectionTiming::default(),
            max_report_wait: Span::millis(1000),
            reservation_time: Span::millis(3200),
            config_lease: Span::millis(2500),
            worker_list_address: self.platform.clone(),
            worker_list_interval: Span::millis(1000),
            worker_list_is_paged: !self.platform.is_empty(),
            worker_list_calls_per_second: self.rate,
            tolerates: self.tolerates,
            random_seed: hash_of(id.as_str().as_bytes()),
        };
        let files = self.disks.entry(id.clone()).or_default().iter().map(|(n, b)| (n.clone(), b.clone())).collect();
        let mark = IncarnationId(hash_of(format!("disk {id}").as_bytes()));
        let (core, out) = Placement::new(startup, files, mark, found, self.now);
        self.cores.insert(id.clone(), core);
        self.obey(id, out);
    }
    /// The files that a daemon would find at its next start.
    pub fn files(&self, id: &Daemon) -> Vec<(String, Bytes)> {
        self.disks[id].iter().map(|(name, bytes)| (name.clone(), bytes.clone())).collect()
    }
    /// Starts a placement daemon again on these files.
    pub fn restart_from(&mut self, id: &Daemon, files: Vec<(String, Bytes)>) {
        self.disks.insert(id.clone(), files.into_iter().collect());
        self.queue.retain(|(to, _)| to != id);
        self.start(id, false);
    }
    /// From now on a daemon's disk takes no writes.
    pub fn stick(&mut self, id: &Daemon) {
        self.stuck.insert(id.clone(), Vec::new());
        self.step(id, Event::DiskStuck(true));
    }
    /// The disk works again and does what waits.
    pub fn free(&mut self, id: &Daemon) {
        let waiting = self.stuck.remove(id).unwrap();
        self.obey(id, waiting);
        self.step(id, Event::DiskStuck(false));
    }
    pub fn waiting_saves(&self, id: &Daemon) -> usize {
        self.stuck[id].iter().filter(|e| matches!(e, Effect::Save { .. })).count()
    }
    pub fn add(&mut self, name: &str, zone: &str) {
        let due = self.now + Span(hash_of(name.as_bytes()) % PULL.0);
        let one = Fake {
            me: member(name, zone),
            held: BTreeMap::new(),
            checkpoint: BTreeMap::new(),
            shed: BTreeSet::new(),
            gave: Vec::new(),
            busy: false,
            unheard: Vec::new(),
            swaps: BTreeMap::new(),
            stopping: false,
            told_to_wait: None,
            copies: true,
            heard: (Term(0), Time(0)),
            have: VersionVector::default(),
            due,
            news: Vec::new(),
        };
        self.fakes.insert(daemon(name), one);
    }
    pub fn primary(&self) -> Option<Daemon> {
        let acts = |d: &&Daemon| !self.cut.contains(*d) && self.cores[*d].election.is_active_leader(self.now);
        self.cores.keys().find(acts).cloned()
    }
    pub fn standby(&self) -> Daemon {
        let primary = self.primary();
        self.cores.keys().find(|d| Some(*d) != primary.as_ref()).cloned().unwrap()
    }
    fn obey(&mut self, id: &Daemon, out: Vec<Effect>) {
        for e in out {
            match e {
                Effect::Send(to, _) if self.cut.contains(id) || self.cut.contains(&to) => {}
                Effect::Send(to, msg) if self.cores.contains_key(&to) => {
                    if let Some((_, bytes)) = self.metered.as_mut().filter(|metered| metered.0 == to) {
                        *bytes += encode(&msg).len();
                    }
                    self.queue.push_back((to, Event::MessageReceived { from: id.clone(), message: msg }));
                }
                Effect::Send(to, PeerMessage::PullResponse { requested_at: asked, term, updates: items, grants, .. }) => {
                    self.news(&to, asked, term, items, grants)
                }
                Effect::Send(to, PeerMessage::Departure { wait, .. }) => {
                    if let Some(fake) = self.fakes.get_mut(&to) {
                        fake.told_to_wait = Some(wait);
                    }
                }
                Effect::Save { .. } | Effect::Remove(_) if self.stuck.contains_key(id) => {
                    self.stuck.entry(id.clone()).or_default().push(e);
                }
                Effect::Save { n, name, bytes } => {
                    self.disks.entry(id.clone()).or_default().insert(name, bytes);
                    self.queue.push_back((id.clone(), Event::Saved(n)));
                }
                Effect::Remove(name) => {
                    self.disks.entry(id.clone()).or_default().remove(&name);
                }
                Effect::Respond(ask, v) => {
                    assert!(self.told.insert(ask.0, v).is_none(), "ask {} was answered twice", ask.0);
                }
                Effect::Call(call, what) => self.calls.push((self.now, id.clone(), call, what)),
                _ => {}
            }
        }
    }
    fn news(&mut self, to: &Daemon, asked: Time, term: Term, items: Vec<(Version, Update)>, grants: Vec<Grant>) {
        let Some(f) = self.fakes.get_mut(to) else { return };
        f.heard = (term, asked);
        for (v, item) in items {
            if f.have.advance(item.topic(), v) {
                f.news.push(item);
            }
        }
        let end = LeaseTerms::default().holder_expiry(asked);
        f.shed = grants.iter().filter(|g| g.release_requested).map(|g| g.duty.clone()).collect();
        if !grants.is_empty() {
            f.checkpoint.clear();
        }
        for g in grants {
            if let Duty::Lead(place) = &g.duty {
                match &g.replacement {
                    Some((out, joiner)) => f.swaps.insert(place.clone(), (out.clone(), joiner.clone(), g.replacement_number)),
                    None => f.swaps.remove(place),
                };
            }
            if !f.gave.contains(&(g.duty.clone(), g.epoch)) {
                f.held.insert(g.duty, (g.epoch, end));
            }
        }
        if f.busy {
            return;
        }
        for duty in f.shed.clone() {
            if let Some((epoch, _)) = f.held.remove(&duty) {
                f.gave.push((duty, epoch));
            }
        }
    }
    fn pull(&mut self, id: &Daemon) {
        let now = self.now;
        let Some(f) = self.fakes.get_mut(id).filter(|f| now >= f.due) else { return };
        f.due = now + PULL;
        f.held.retain(|_, x| now < x.1);
        if f.stopping {
            f.gave.extend(std::mem::take(&mut f.held).into_iter().map(|(duty, held)| (duty, held.0)));
        }
        let memory = f.held.iter().map(|(d, x)| Claim { duty: d.clone(), epoch: x.0, from_checkpoint: false });
        let folder = f.checkpoint.iter().map(|(d, epoch)| Claim { duty: d.clone(), epoch: *epoch, from_checkpoint: true });
        let claims = memory.chain(folder).collect();
        let kept: BTreeSet<&PartitionId> =
            f.held.keys().filter_map(|d| if let Duty::Lead(p) = d { Some(p) } else { None }).collect();
        f.swaps.retain(|place, _| kept.contains(place));
        let swaps = f.swaps.iter().map(|(place, s)| (place.clone(), s.2)).collect();
        let copied = f.swaps.iter().filter(|_| f.copies);
        let whole = copied.map(|(place, s)| (place.clone(), s.1.clone(), disk_of(s.1.as_str()))).collect();
        let report = Report {
            claims,
            released: f.gave.clone(),
            unreachable_holders: f.unheard.clone(),
            complete_copies: whole,
            replacement_numbers: swaps,
            leaving: f.stopping,
            stopping: f.stopping,
            ..Report::default()
        };
        let need = |f: &Fake| PeerMessage::Pull {
            requested_at: now,
            last_answered: f.heard,
            held_versions: f.have.clone(),
            member: f.me.clone(),
            report: Some(report.clone()),
            reads_compressed: false,
        };
        let msg = need(f);
        for core in self.cores.keys().filter(|d| !self.cut.contains(*d)) {
            self.queue.push_back((core.clone(), Event::MessageReceived { from: id.clone(), message: msg.clone() }));
        }
    }
    pub fn step(&mut self, id: &Daemon, event: Event) {
        self.queue.push_back((id.clone(), event));
        self.drain();
    }
    /// One event without what follows from it.
    pub fn step_alone(&mut self, id: &Daemon, event: Event) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(id) else { return };
        let out = core.step(event, now);
        self.obey(id, out);
    }
    pub fn drain(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            self.step_alone(&id, event);
        }
    }
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.now += STEP;
            for id in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.step(&id, Event::Tick);
            }
            for id in self.fakes.keys().cloned().collect::<Vec<_>>() {
                self.pull(&id);
                self.drain();
            }
        }
    }
    /// Runs until it is so; panics when it takes longer than `ms`. Returns
    /// how long it took.
    pub fn until(&mut self, ms: u64, so: impl Fn(&Fleet) -> bool) -> u64 {
        let begun = self.now;
        while !so(self) {
            assert!(self.now.since(begun) < Span::millis(ms), "not so after {ms} ms");
            self.run(50);
        }
        self.now.since(begun).as_millis()
    }
    /// Hands an order to a daemon; its number, under which it is answered.
    pub fn send(&mut self, to: &Daemon, ask: ApiRequest) -> u64 {
        let n = self.next;
        self.next += 1;
        self.step(to, Event::Request(RequestId(n), ask));
        n
    }
    /// Asks the primary and waits for its verdict.
    pub fn ask(&mut self, ask: ApiRequest) -> ApiResponse {
        let to = self.primary().expect("a primary");
        let n = self.send(&to, ask);
        self.run(300);
        self.told.get(&n).cloned().expect("a verdict")
    }
    pub fn put(&mut self, base: u64, json: &Value) -> ApiResponse {
        self.ask(ApiRequest::Revise { base, json: json.to_string(), is_patch: false })
    }
    pub fn patch(&mut self, base: u64, json: &Value) -> ApiResponse {
        self.ask(ApiRequest::Revise { base, json: json.to_string(), is_patch: true })
    }
    /// Who holds each duty of reach, by their own word.
    pub fn reaches(&self) -> BTreeMap<Duty, Daemon> {
        let mut out = BTreeMap::new();
        for (id, f) in &self.fakes {
            for (duty, x) in f.held.iter().filter(|(d, _)| matches!(d, Duty::TargetShard(_))) {
                if self.now < x.1 {
                    let before = out.insert(duty.clone(), id.clone());
                    assert!(before.is_none(), "{duty} is held by {id} and {before:?}");
                }
            }
        }
        out
    }
    pub fn holders(&self, zone: &str) -> Vec<Daemon> {
        let all = self.reaches();
        Duty::worker_shards_in(&Zone(zone.into())).filter_map(|d| all.get(&d).cloned()).collect()
    }
    /// Loses a placement core with its memory; its folder stays.
    pub fn kill(&mut self, id: &Daemon) {
        self.cores.remove(id);
    }
    /// Bytes in each placement daemon's folder.
    pub fn folders(&self) -> Vec<(Daemon, usize)> {
        self.disks.iter().map(|(d, files)| (d.clone(), files.values().map(Bytes::len).sum())).collect()
    }
    /// Configurations that stand in the log of the primary, done or not.
    pub fn configs_logged(&self) -> usize {
        let files = &self.disks[&self.primary().expect("a primary")];
        let stored: HardState<Order> = decode(files.values().last().expect("a file")).expect("readable");
        stored.log.iter().filter(|e| matches!(&e.command, Command::Apply(Order::Config { .. }))).count()
    }
    pub fn committed(&self) -> u64 {
        self.cores.values().map(|c| c.election.commit_index()).max().unwrap_or(0)
    }
}

pub fn route(name: &str, prefix: &str) -> Value {
    json!({"name": name, "host": "lode17.example", "prefix": prefix, "service": "huvo11a",
           "attempts": 4, "attempt_ms": 2500, "doc": format!("{{\"name\":\"{name}\"}}")})
}

pub fn config(revision: u64, routes: &[Value]) -> Value {
    json!({"revision": revision, "routes": routes, "services": [{"name": "huvo11a", "slots": 6, "doc": "{}"}], "doc": "as sent"})
}

pub fn first() -> Value {
    config(7, &[route("r-vk9m68k", "/vobo680/"), route("r-7b2ex5w", "/noda141/")])
}

pub fn said(v: &ApiResponse) -> Value {
    serde_json::from_str(&v.json).unwrap()
}
