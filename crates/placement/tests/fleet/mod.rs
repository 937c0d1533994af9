//! Three placement daemons without I/O, and simulated stores and deliveries around
//! them. Time advances in fixed steps: messages arrive and saves end at once, and no
//! clock is read.
#![allow(dead_code, unused_imports)]
mod stores;
use dw_election::prelude::Command;
pub use dw_placement::prelude::*;
pub use serde_json::{json, Value};
pub use stores::*;
pub const TARGET_SHARDS_PER_ZONE: usize = dw_types::id::TARGET_SHARDS_PER_ZONE as usize;
use std::collections::VecDeque;

/// How far the time advances between two ticks.
const TICK_INTERVAL: Span = Span::millis(50);
/// Between two pulls of a daemon.
const PULL_INTERVAL: Span = Span::millis(400);

/// A simulated store or delivery: it holds what it is granted until the grant is no
/// longer renewed.
pub struct FakeDaemon {
    pub member: Member,
    /// The epoch and the end of each grant that it holds.
    pub held: BTreeMap<Duty, (Epoch, Time)>,
    /// Grants read from its data folder; it claims them until it is granted something.
    pub checkpoint: BTreeMap<Duty, Epoch>,
    /// Duties that the primary asks it to give up.
    pub requested_back: BTreeSet<Duty>,
    /// Grants that it gave up.
    pub released: Vec<(Duty, Epoch)>,
    /// It has attempts in flight and gives nothing up.
    pub busy: bool,
    /// Duties whose holders it can't reach.
    pub unreachable_holders: Vec<Duty>,
    /// The replacement of a store in each partition that it leads, as the primary sent
    /// it: the store that leaves, the store that joins, and the replacement's number.
    pub replacements: BTreeMap<PartitionId, (Daemon, Daemon, Version)>,
    /// It is shutting down and gives up what it holds.
    pub stopping: bool,
    /// Whether placement last told it to wait until its seats have moved.
    pub told_to_wait: Option<bool>,
    /// As leader it reports a joining store's copy as complete at once; else never.
    pub copies_at_once: bool,
    last_answered: (Term, Time),
    held_versions: VersionVector,
    next_pull_at: Time,
    pub updates: Vec<Update>,
}

pub struct Fleet {
    pub now: Time,
    pub cores: BTreeMap<Daemon, Placement>,
    disks: BTreeMap<Daemon, BTreeMap<String, Bytes>>,
    /// Disks that take no writes, and the saves and removals that wait for each.
    blocked_disks: BTreeMap<Daemon, Vec<Effect>>,
    pub fakes: BTreeMap<Daemon, FakeDaemon>,
    /// Placement daemons that can neither send nor receive.
    pub isolated: BTreeSet<Daemon>,
    queue: VecDeque<(Daemon, Event)>,
    /// A placement daemon, and the bytes of the messages sent to it since it was set.
    pub metered: Option<(Daemon, usize)>,
    /// The answers to operators' requests, by request number.
    pub answers: BTreeMap<u64, ApiResponse>,
    /// The HTTP calls that placement daemons made.
    pub calls: Vec<(Time, Daemon, CallId, Call)>,
    /// Address and path of the platform's worker list; empty for none.
    pub platform: String,
    /// The rate limit of that list, in calls a second.
    pub rate: f64,
    pub tolerates: Tolerance,
    next_request: u64,
}

pub fn daemon(name: &str) -> Daemon {
    Daemon(name.to_string())
}

/// The id of a daemon's data folder.
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
    /// Three placement daemons that found their group, and nothing else.
    pub fn new() -> Fleet {
        Fleet::with_worker_list("", 0.0)
    }
    pub fn with_worker_list(platform: &str, rate: f64) -> Fleet {
        Fleet::with_settings(platform, rate, Tolerance::default())
    }
    pub fn with_settings(platform: &str, rate: f64, tolerates: Tolerance) -> Fleet {
        let mut f = Fleet {
            now: Time(1_000_000),
            cores: BTreeMap::new(),
            disks: BTreeMap::new(),
            blocked_disks: BTreeMap::new(),
            fakes: BTreeMap::new(),
            isolated: BTreeSet::new(),
            queue: VecDeque::new(),
            metered: None,
            answers: BTreeMap::new(),
            calls: Vec::new(),
            platform: platform.to_string(),
            rate,
            tolerates,
            next_request: 1,
        };
        for n in 1..=3 {
            f.start(&daemon(&format!("placement-{n}")), true);
        }
        f
    }
    /// Three zones with a store and a delivery in each, and a primary that is serving.
    pub fn serving() -> Fleet {
        let mut f = Fleet::new();
        f.add_stores(3);
        for n in 1..=3 {
            f.add(&format!("delivery-{n}"), &format!("z{n}"));
        }
        f.run_until(8_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
        f.run(4_000);
        f
    }
    pub fn add_stores(&mut self, count: usize) {
        for n in 1..=count {
            self.add(&format!("store-{n}"), &format!("z{}", (n - 1) % 3 + 1));
        }
    }
    /// Starts a placement daemon on the files in its data folder; `bootstrap` lets it
    /// found the group if there are none.
    pub fn start(&mut self, id: &Daemon, bootstrap: bool) {
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
        let disk_id = IncarnationId(hash_of(format!("disk {id}").as_bytes()));
        let (core, out) = Placement::new(startup, files, disk_id, bootstrap, self.now);
        self.cores.insert(id.clone(), core);
        self.perform(id, out);
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
    pub fn block_disk(&mut self, id: &Daemon) {
        self.blocked_disks.insert(id.clone(), Vec::new());
        self.step(id, Event::DiskStuck(true));
    }
    /// The disk works again and carries out what waits.
    pub fn unblock_disk(&mut self, id: &Daemon) {
        let waiting = self.blocked_disks.remove(id).unwrap();
        self.perform(id, waiting);
        self.step(id, Event::DiskStuck(false));
    }
    pub fn waiting_saves(&self, id: &Daemon) -> usize {
        self.blocked_disks[id].iter().filter(|e| matches!(e, Effect::Save { .. })).count()
    }
    pub fn add(&mut self, name: &str, zone: &str) {
        let next_pull_at = self.now + Span(hash_of(name.as_bytes()) % PULL_INTERVAL.0);
        let fake = FakeDaemon {
            member: member(name, zone),
            held: BTreeMap::new(),
            checkpoint: BTreeMap::new(),
            requested_back: BTreeSet::new(),
            released: Vec::new(),
            busy: false,
            unreachable_holders: Vec::new(),
            replacements: BTreeMap::new(),
            stopping: false,
            told_to_wait: None,
            copies_at_once: true,
            last_answered: (Term(0), Time(0)),
            held_versions: VersionVector::default(),
            next_pull_at,
            updates: Vec::new(),
        };
        self.fakes.insert(daemon(name), fake);
    }
    /// The placement daemon that acts as primary, if any.
    pub fn primary(&self) -> Option<Daemon> {
        let is_active = |d: &&Daemon| !self.isolated.contains(*d) && self.cores[*d].election.is_active_leader(self.now);
        self.cores.keys().find(is_active).cloned()
    }
    pub fn standby(&self) -> Daemon {
        let primary = self.primary();
        self.cores.keys().find(|d| Some(*d) != primary.as_ref()).cloned().unwrap()
    }
    /// Carries out the effects of a placement daemon's step.
    fn perform(&mut self, id: &Daemon, out: Vec<Effect>) {
        for e in out {
            match e {
                Effect::Send(to, _) if self.isolated.contains(id) || self.isolated.contains(&to) => {}
                Effect::Send(to, msg) if self.cores.contains_key(&to) => {
                    if let Some((_, bytes)) = self.metered.as_mut().filter(|metered| metered.0 == to) {
                        *bytes += encode(&msg).len();
                    }
                    self.queue.push_back((to, Event::MessageReceived { from: id.clone(), message: msg }));
                }
                Effect::Send(to, PeerMessage::PullResponse { requested_at, term, updates, grants, .. }) => {
                    self.receive_updates(&to, requested_at, term, updates, grants)
                }
                Effect::Send(to, PeerMessage::Departure { must_wait: wait, .. }) => {
                    if let Some(fake) = self.fakes.get_mut(&to) {
                        fake.told_to_wait = Some(wait);
                    }
                }
                Effect::Save { .. } | Effect::Remove(_) if self.blocked_disks.contains_key(id) => {
                    self.blocked_disks.entry(id.clone()).or_default().push(e);
                }
                Effect::Save { number, name, bytes } => {
                    self.disks.entry(id.clone()).or_default().insert(name, bytes);
                    self.queue.push_back((id.clone(), Event::Saved(number)));
                }
                Effect::Remove(name) => {
                    self.disks.entry(id.clone()).or_default().remove(&name);
                }
                Effect::Respond(request, response) => {
                    assert!(self.answers.insert(request.0, response).is_none(), "request {} was answered twice", request.0);
                }
                Effect::Call(call_id, call) => self.calls.push((self.now, id.clone(), call_id, call)),
                _ => {}
            }
        }
    }
    /// A simulated daemon receives the response to a pull.
    fn receive_updates(
        &mut self,
        to: &Daemon,
        requested_at: Time,
        term: Term,
        updates: Vec<(Version, Update)>,
        grants: Vec<Grant>,
    ) {
        let Some(f) = self.fakes.get_mut(to) else { return };
        f.last_answered = (term, requested_at);
        for (version, update) in updates {
            if f.held_versions.advance(update.topic(), version) {
                f.updates.push(update);
            }
        }
        let end = LeaseTerms::default().holder_expiry(requested_at);
        f.requested_back = grants.iter().filter(|g| g.release_requested).map(|g| g.duty.clone()).collect();
        if !grants.is_empty() {
            f.checkpoint.clear();
        }
        for g in grants {
            if let Duty::Lead(partition) = &g.duty {
                match &g.replacement {
                    Some((leaving, joining)) => {
                        f.replacements.insert(partition.clone(), (leaving.clone(), joining.clone(), g.replacement_number))
                    }
                    None => f.replacements.remove(partition),
                };
            }
            if !f.released.contains(&(g.duty.clone(), g.epoch)) {
                f.held.insert(g.duty, (g.epoch, end));
            }
        }
        if f.busy {
            return;
        }
        for duty in f.requested_back.clone() {
            if let Some((epoch, _)) = f.held.remove(&duty) {
                f.released.push((duty, epoch));
            }
        }
    }
    /// A simulated daemon pulls from every placement daemon that it can reach, if it is
    /// time.
    fn pull(&mut self, id: &Daemon) {
        let now = self.now;
        let Some(f) = self.fakes.get_mut(id).filter(|f| now >= f.next_pull_at) else { return };
        f.next_pull_at = now + PULL_INTERVAL;
        f.held.retain(|_, x| now < x.1);
        if f.stopping {
            f.released.extend(std::mem::take(&mut f.held).into_iter().map(|(duty, held)| (duty, held.0)));
        }
        let from_memory = f.held.iter().map(|(d, x)| Claim { duty: d.clone(), epoch: x.0, from_checkpoint: false });
        let from_checkpoint =
            f.checkpoint.iter().map(|(d, epoch)| Claim { duty: d.clone(), epoch: *epoch, from_checkpoint: true });
        let claims = from_memory.chain(from_checkpoint).collect();
        let led: BTreeSet<&PartitionId> =
            f.held.keys().filter_map(|d| if let Duty::Lead(p) = d { Some(p) } else { None }).collect();
        f.replacements.retain(|partition, _| led.contains(partition));
        let replacement_numbers = f.replacements.iter().map(|(partition, r)| (partition.clone(), r.2)).collect();
        let copied = f.replacements.iter().filter(|_| f.copies_at_once);
        let complete_copies = copied.map(|(partition, r)| (partition.clone(), r.1.clone(), disk_of(r.1.as_str()))).collect();
        let report = Report {
            claims,
            released: f.released.clone(),
            unreachable_holders: f.unreachable_holders.clone(),
            complete_copies,
            replacement_numbers,
            leaving: f.stopping,
            stopping: f.stopping,
            ..Report::default()
        };
        let pull = |f: &FakeDaemon| PeerMessage::Pull {
            requested_at: now,
            last_answered: f.last_answered,
            held_versions: f.held_versions.clone(),
            member: f.member.clone(),
            report: Some(report.clone()),
            reads_compressed: false,
        };
        let message = pull(f);
        for core in self.cores.keys().filter(|d| !self.isolated.contains(*d)) {
            self.queue.push_back((core.clone(), Event::MessageReceived { from: id.clone(), message: message.clone() }));
        }
    }
    /// Delivers an event to a placement daemon, and everything that follows from it.
    pub fn step(&mut self, id: &Daemon, event: Event) {
        self.queue.push_back((id.clone(), event));
        self.drain();
    }
    /// Delivers one event; the messages and saves that follow from it stay queued.
    pub fn step_alone(&mut self, id: &Daemon, event: Event) {
        let now = self.now;
        let Some(core) = self.cores.get_mut(id) else { return };
        let out = core.step(event, now);
        self.perform(id, out);
    }
    /// Delivers all queued events.
    pub fn drain(&mut self) {
        while let Some((id, event)) = self.queue.pop_front() {
            self.step_alone(&id, event);
        }
    }
    /// Lets `ms` milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Span::millis(ms);
        while self.now < end {
            self.now += TICK_INTERVAL;
            for id in self.cores.keys().cloned().collect::<Vec<_>>() {
                self.step(&id, Event::Tick);
            }
            for id in self.fakes.keys().cloned().collect::<Vec<_>>() {
                self.pull(&id);
                self.drain();
            }
        }
    }
    /// Lets time pass until `condition` holds; panics after `ms` milliseconds. Returns
    /// how long it took.
    pub fn run_until(&mut self, ms: u64, condition: impl Fn(&Fleet) -> bool) -> u64 {
        let start = self.now;
        while !condition(self) {
            assert!(self.now.since(start) < Span::millis(ms), "the condition does not hold after {ms} ms");
            self.run(50);
        }
        self.now.since(start).as_millis()
    }
    /// Sends an operator's request to a placement daemon; returns the number under which
    /// `answers` will hold the answer.
    pub fn send_request(&mut self, to: &Daemon, request: ApiRequest) -> u64 {
        let n = self.next_request;
        self.next_request += 1;
        self.step(to, Event::Request(RequestId(n), request));
        n
    }
    /// Sends a request to the primary and waits for the answer.
    pub fn request(&mut self, request: ApiRequest) -> ApiResponse {
        let to = self.primary().expect("a primary");
        let n = self.send_request(&to, request);
        self.run(300);
        self.answers.get(&n).cloned().expect("an answer")
    }
    pub fn put_config(&mut self, base: u64, json: &Value) -> ApiResponse {
        self.request(ApiRequest::Revise { base, json: json.to_string(), is_patch: false })
    }
    pub fn patch_config(&mut self, base: u64, json: &Value) -> ApiResponse {
        self.request(ApiRequest::Revise { base, json: json.to_string(), is_patch: true })
    }
    /// The holder of each target shard, as the holders see it.
    pub fn target_shard_holders(&self) -> BTreeMap<Duty, Daemon> {
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
    /// The holders of the worker shards of a zone, in the order of the shards.
    pub fn worker_shard_holders(&self, zone: &str) -> Vec<Daemon> {
        let all = self.target_shard_holders();
        Duty::worker_shards_in(&Zone(zone.into())).filter_map(|d| all.get(&d).cloned()).collect()
    }
    /// Ends a placement daemon; its data folder stays.
    pub fn kill(&mut self, id: &Daemon) {
        self.cores.remove(id);
    }
    /// The bytes in each placement daemon's data folder.
    pub fn folder_sizes(&self) -> Vec<(Daemon, usize)> {
        self.disks.iter().map(|(d, files)| (d.clone(), files.values().map(Bytes::len).sum())).collect()
    }
    /// How many configurations are in the log of the primary, committed or not.
    pub fn configs_in_log(&self) -> usize {
        let files = &self.disks[&self.primary().expect("a primary")];
        let stored: HardState<Order> = decode(files.values().last().expect("a file")).expect("readable");
        stored.log.iter().filter(|e| matches!(&e.command, Command::Apply(Order::Config { .. }))).count()
    }
    pub fn highest_commit_index(&self) -> u64 {
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

/// The first configuration that most tests apply; its revision is 7.
pub fn first_config() -> Value {
    config(7, &[route("r-vk9m68k", "/vobo680/"), route("r-7b2ex5w", "/noda141/")])
}

pub fn json_of(v: &ApiResponse) -> Value {
    serde_json::from_str(&v.json).unwrap()
}
