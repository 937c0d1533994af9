//! Hollow daemons: the real cores of a whole fleet in one thread, on simulated
//! time. Every word goes through the real frame codec, both ways.
use crate::heap::{freed, live};
use crate::prelude::*;
use crate::shape::{mark_of, LIFE};
use crate::thread_time::{nanos, reading_cost};
use dw_delivery::prelude::{Delivery, Startup as Carrier};
use dw_ingest::prelude::{Agent, Proxy, Startup as Edge};
use dw_placement::prelude::{ElectionTiming, Placement, PlacementState, Startup as Placer};
use dw_queue::prelude::{Startup as StoreStartup, Store};
use dw_shell::prelude::{Bounds, Times};
use std::collections::HashMap;

const TICK: Span = Span::millis(20);
const TRIP: Span = Span::millis(1);
const SYNC: Span = Span::millis(2);
const RUN: Span = Span::millis(5);
/// Microseconds since 1970 when simulated time was nought.
const WALL: u64 = 1_700_000_000_000_000;

enum Ev {
    Clock,
    Frame(Box<[u8]>),
    Saved(u64),
    Loaded(u64, Option<Bytes>),
    Back(CallId, CallResult),
    Ask(RequestId, ApiRequest),
}

struct Node {
    id: Daemon,
    core: Option<Box<dyn Core>>,
    life: u64,
    disk: BTreeMap<String, Bytes>,
    meter: Meter,
}

/// Invariant: a frame is read by the daemon it is for, with its own codec;
/// nothing passes between cores but frames.
pub struct Fleet {
    pub shape: Shape,
    pub now: Time,
    cluster: ClusterId,
    nodes: Vec<Node>,
    index: HashMap<Daemon, usize>,
    queue: BTreeMap<(Time, u64), (usize, u64, Ev)>,
    turn: u64,
    cost: u64,
    listed: Bytes,
    /// Whether workers take what they are sent.
    pub working: bool,
    /// What each verdict's code was told how often.
    pub told: BTreeMap<u16, u64>,
    pub verdicts: BTreeMap<RequestId, ApiResponse>,
    pub notes: Vec<(Time, Daemon, LogEvent)>,
    pub bounds: Bounds,
}

impl Fleet {
    pub fn new(shape: Shape) -> Fleet {
        Fleet::with_cache(shape, Bounds::default().cache)
    }

    /// `cache` bounds the bodies a store keeps in memory, in bytes.
    pub fn with_cache(shape: Shape, cache: u64) -> Fleet {
        let mut f = Fleet::empty(shape);
        f.bounds.cache = cache;
        let hard = f.shape.hard();
        for id in f.shape.names() {
            f.add(id, &hard);
        }
        f
    }

    fn empty(shape: Shape) -> Fleet {
        Fleet {
            listed: shape.listed(),
            shape,
            now: Time(1_000_000_000),
            cluster: ClusterId("scale".into()),
            nodes: Vec::new(),
            index: HashMap::new(),
            queue: BTreeMap::new(),
            turn: 0,
            cost: reading_cost(),
            working: true,
            told: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            notes: Vec::new(),
            bounds: Bounds { messages: 10_000_000, bytes: 64 << 30, disk: 64 << 30, seats: 4096, ..Bounds::default() },
        }
    }

    /// Adds one daemon as its program would start it.
    pub fn add(&mut self, id: Daemon, hard: &PlacementState) {
        let disk: BTreeMap<String, Bytes> = match id.kind() {
            DaemonKind::Placement => self.shape.folder(&id, hard).into_iter().collect(),
            _ => BTreeMap::new(),
        };
        let at = self.nodes.len();
        self.index.insert(id.clone(), at);
        self.nodes.push(Node { id, core: None, life: 0, disk, meter: Meter::default() });
        self.start(at);
    }

    fn start(&mut self, at: usize) {
        let before = live();
        let t = nanos();
        let id = self.nodes[at].id.clone();
        let files: Vec<(String, Bytes)> = self.nodes[at].disk.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let (core, effects) = self.build(&id, self.life_of(at), files);
        let node = &mut self.nodes[at];
        node.core = Some(core);
        let p = node.meter.took.entry("start").or_default();
        (p.count, p.nanos) = (p.count + 1, p.nanos + nanos() - t);
        node.meter.heap = live() - before;
        self.effects(at, effects);
        // Clocks of different daemons don't strike at once.
        let first = self.now + Span(at as u64 * 7_919 % TICK.0);
        self.push(first, at, Ev::Clock);
    }

    /// Each start is another life, as its peers see it.
    fn life_of(&self, at: usize) -> IncarnationId {
        IncarnationId(LIFE.0 + self.nodes[at].life)
    }

    fn build(&self, id: &Daemon, life: IncarnationId, files: Vec<(String, Bytes)>) -> (Box<dyn Core>, Vec<Effect>) {
        let mut me = self.shape.member(id);
        (me.disk_id, me.incarnation) = (IncarnationId(0), life);
        let (seeds, times, b) = (self.shape.seeds(), Times::default(), &self.bounds);
        let (pull, terms) = (Span::millis(times.pull), times.terms());
        let seed = hash_of(id.as_str().as_bytes());
        match id.kind() {
            DaemonKind::Placement => {
                let s = Placer {
                    seeds,
                    me,
                    lease_terms: terms,
                    election: ElectionTiming::default(),
                    max_report_wait: Span::millis(times.window),
                    reservation_time: Span::millis(times.hold),
                    config_lease: Span::millis(times.config_lease),
                    worker_list_address: "10.0.0.1:80/workers".into(),
                    worker_list_interval: Span::millis(times.poll),
                    random_seed: seed,
                    worker_list_is_paged: false,
                    worker_list_calls_per_second: 0.0,
                    tolerates: Tolerance::default(),
                };
                let (c, e) = Placement::new(s, files, mark_of(id), false, self.now);
                (Box::new(c), e)
            }
            DaemonKind::Store => {
                let s = StoreStartup {
                    me,
                    seeds,
                    pull_interval: pull,
                    lease_terms: terms,
                    max_body_bytes: b.bytes,
                    max_disk_bytes: b.disk,
                    max_cached_bytes: b.cache,
                    max_messages: b.messages,
                    min_backoff: Span::millis(times.backoff),
                    max_backoff: Span::millis(times.backoff_max),
                    rng_seed: seed,
                    max_answer_delay: Span::millis(times.give_up + 100),
                    started_unix_micros: WALL + self.now.0,
                };
                let (c, e) = Store::new(s, &files, mark_of(id), self.now);
                (Box::new(c), e)
            }
            DaemonKind::Delivery => {
                let s = Carrier {
                    me,
                    seeds,
                    pull_interval: pull,
                    lease_terms: terms,
                    max_attempts: b.hands,
                    max_body_bytes: 48 << 20,
                    cold_calls_per_second: 2.5,
                    random_seed: seed,
                };
                (Box::new(Delivery::new(s, self.now)), Vec::new())
            }
            DaemonKind::Agent => (Box::new(Agent::new(me, seeds, pull, terms)), Vec::new()),
            DaemonKind::Proxy | DaemonKind::Other => {
                let agent = Daemon(id.as_str().replace("proxy", "agent"));
                let s = Edge {
                    me,
                    agent,
                    pull_interval: Span::millis(times.pull / 2),
                    lease_terms: terms,
                    max_submissions: b.seats,
                    resend_after: Span::millis(times.second_way),
                    response_timeout: Span::millis(times.give_up),
                    start_unix_micros: WALL + self.now.0,
                    started_at: self.now,
                };
                (Box::new(Proxy::new(s)), Vec::new())
            }
        }
    }

    fn push(&mut self, at: Time, node: usize, ev: Ev) {
        self.turn += 1;
        let life = self.nodes[node].life;
        self.queue.insert((at, self.turn), (node, life, ev));
    }

    /// One event for one daemon: read, stepped, and its words written, each
    /// under the clock.
    fn step(&mut self, at: usize, ev: Ev) {
        let now = self.now;
        if self.nodes[at].core.is_none() {
            return;
        }
        let (before, t) = (live(), nanos());
        // Whatever comes from outside is made anew here, so that it counts as
        // the core's own from now on; `ev` is let go of after the count.
        let (kind, bytes, event) = match &ev {
            Ev::Clock => ("clock", 0, Event::Tick),
            Ev::Saved(n) => ("saved", 0, Event::Saved(*n)),
            Ev::Loaded(n, b) => ("loaded", 0, Event::Loaded(*n, b.as_ref().map(|b| Bytes::copy_from_slice(b)))),
            Ev::Back(id, r) => ("back", 0, Event::CallFinished(*id, r.clone())),
            Ev::Ask(id, ask) => ("ask", 0, Event::Request(*id, own(ask))),
            Ev::Frame(frame) => match Envelope::open(frame, &self.cluster, &self.nodes[at].id) {
                Ok(e) => (kind_of(&e.msg), frame.len() as u64, Event::MessageReceived { from: e.from, message: e.msg }),
                Err(_) => return,
            },
        };
        let node = &mut self.nodes[at];
        let Some(core) = node.core.as_mut() else { return };
        let out = core.step(event, now);
        let spent = (nanos() - t).saturating_sub(self.cost);
        let p = node.meter.took.entry(kind).or_default();
        (p.count, p.nanos, p.bytes) = (p.count + 1, p.nanos + spent, p.bytes + bytes);
        node.meter.heap += live() - before;
        self.effects(at, out);
    }

    /// What goes outside is copied; what the core let go of comes off its memory.
    fn effects(&mut self, at: usize, mut effects: Vec<Effect>) {
        let mut gone = 0;
        for e in effects.drain(..) {
            match e {
                Effect::Send(to, msg) => gone += self.say(at, to, msg),
                Effect::Save { number: n, name, bytes } => {
                    let node = &mut self.nodes[at];
                    node.meter.saved_files += 1;
                    node.meter.saved_bytes += bytes.len() as u64;
                    node.disk.insert(name.clone(), Bytes::copy_from_slice(&bytes));
                    gone += freed((name, bytes));
                    self.push(self.now + SYNC, at, Ev::Saved(n));
                }
                Effect::Remove(name) => {
                    self.nodes[at].disk.remove(&name);
                    gone += freed(name);
                }
                Effect::Load { number: n, name, offset: from, len } => {
                    let (from, to) = (from as usize, from as usize + len as usize);
                    let got = self.nodes[at].disk.get(&name).and_then(|b| b.get(from..to)).map(Bytes::copy_from_slice);
                    gone += freed(name);
                    self.push(self.now + SYNC, at, Ev::Loaded(n, got));
                }
                Effect::Call(id, call) => {
                    let reply = self.reply(&call);
                    gone += freed(call);
                    self.push(self.now + RUN, at, Ev::Back(id, reply));
                }
                Effect::Respond(id, v) => {
                    *self.told.entry(v.code).or_default() += 1;
                    if id.0 < 1000 {
                        self.verdicts.insert(id, v);
                    } else {
                        gone += freed(v);
                    }
                }
                Effect::Log(note, text) => {
                    gone += freed(text);
                    if matches!(
                        note,
                        LogEvent::ElectedPrimary
                            | LogEvent::Serving
                            | LogEvent::ConfigInstalled
                            | LogEvent::CollectingReports
                            | LogEvent::PartitionOpened
                    ) {
                        self.notes.push((self.now, self.nodes[at].id.clone(), note));
                    }
                }
                other => gone += freed(other),
            }
        }
        self.nodes[at].meter.heap -= gone + freed(effects);
    }

    fn say(&mut self, at: usize, to: Daemon, msg: PeerMessage) -> i64 {
        let kind = kind_of(&msg);
        let me = self.shape.member(&self.nodes[at].id);
        let made = nanos();
        let e = Envelope {
            protocol_version: PROTOCOL_VERSION,
            cluster: self.cluster.clone(),
            from: me.id,
            addr: me.addr,
            incarnation: LIFE,
            to,
            reads_packed: false,
            zone: None,
            msg,
        };
        let frame = encode(&e);
        let spent = (nanos() - made).saturating_sub(self.cost);
        let p = self.nodes[at].meter.said.entry(kind).or_default();
        (p.count, p.nanos, p.bytes) = (p.count + 1, p.nanos + spent, p.bytes + frame.len() as u64);
        let Envelope { to, msg, .. } = e;
        // A frame over the bound is dropped by the shell: it never arrives.
        if frame.len() <= MAX_FRAME_BYTES {
            if let Some(i) = self.index.get(&to).copied() {
                self.push(self.now + TRIP, i, Ev::Frame(frame.into_boxed_slice()));
            }
        }
        freed((to, msg))
    }

    fn reply(&self, call: &Call) -> CallResult {
        if call.path == "/workers" {
            return CallResult::Answered { code: 200, load: None, draining: false, body: self.listed.clone() };
        }
        match self.working {
            true => CallResult::Answered { code: 200, load: Some(0), draining: false, body: Bytes::new() },
            false => CallResult::Failed(SendState::NotSent),
        }
    }

    /// Runs on for a while.
    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(((at, _), _)) = self.queue.first_key_value() {
            if *at > until {
                break;
            }
            let Some(((at, _), (node, life, ev))) = self.queue.pop_first() else { break };
            self.now = at;
            if self.nodes[node].life != life {
                continue;
            }
            if matches!(ev, Ev::Clock) {
                self.push(at + TICK, node, Ev::Clock);
            }
            self.step(node, ev);
        }
        self.now = until;
    }

    /// Runs until it holds, looked at each 20 ms; false when the time is over.
    pub fn run_until(&mut self, bound: Span, holds: impl Fn(&Fleet) -> bool) -> bool {
        let end = self.now + bound;
        while self.now < end {
            if holds(self) {
                return true;
            }
            self.run(TICK);
        }
        holds(self)
    }

    pub fn ask(&mut self, to: &Daemon, id: RequestId, ask: ApiRequest) {
        if let Some(i) = self.index.get(to).copied() {
            self.push(self.now, i, Ev::Ask(id, ask));
        }
    }
    /// A status, read aside: it costs its daemon nothing here.
    pub fn status(&mut self, id: &Daemon) -> serde_json::Value {
        let now = self.now;
        let Some(i) = self.index.get(id).copied() else { return Default::default() };
        let Some(core) = self.nodes[i].core.as_mut() else { return Default::default() };
        let (told, rest): (Vec<Effect>, Vec<Effect>) = core
            .step(Event::Request(RequestId(0), ApiRequest::Status), now)
            .into_iter()
            .partition(|e| matches!(e, Effect::Respond(RequestId(0), _)));
        self.effects(i, rest);
        let Some(Effect::Respond(_, v)) = told.into_iter().next() else { return Default::default() };
        serde_json::from_str(&v.json).unwrap_or_default()
    }
    pub fn primary(&mut self) -> Option<Daemon> {
        let seeds = self.shape.seeds();
        seeds.into_iter().find(|d| self.status(d)["office"] == "serving")
    }
    /// Runs until a primary serves and every partition called for is open.
    pub fn settle(&mut self, partitions: usize) -> Option<Daemon> {
        self.run(Span::secs(5));
        for _ in 0..40 {
            let opened = self.notes.iter().filter(|n| n.2 == LogEvent::PartitionOpened).count();
            if opened >= partitions {
                if let Some(p) = self.primary() {
                    return Some(p);
                }
            }
            self.run(Span::millis(500));
        }
        self.primary()
    }
    pub fn kill(&mut self, id: &Daemon) {
        if let Some(i) = self.index.get(id).copied() {
            self.nodes[i].core = None;
            self.nodes[i].life += 1;
        }
    }
    /// Starts a killed daemon from its folder.
    pub fn restart(&mut self, id: &Daemon) {
        if let Some(i) = self.index.get(id).copied() {
            self.start(i);
        }
    }
    pub fn meter(&self, id: &Daemon) -> Meter {
        self.index.get(id).map(|i| self.nodes[*i].meter.clone()).unwrap_or_default()
    }
    /// The sum over all daemons of a kind, and how many they are.
    pub fn meters(&self, kind: DaemonKind) -> (Meter, usize) {
        let mut sum = Meter::default();
        let of: Vec<&Node> = self.nodes.iter().filter(|n| n.id.kind() == kind).collect();
        of.iter().for_each(|n| sum.add(&n.meter));
        (sum, of.len())
    }
    pub fn disk_bytes(&self, kind: DaemonKind) -> u64 {
        self.nodes.iter().filter(|n| n.id.kind() == kind).flat_map(|n| n.disk.values()).map(|b| b.len() as u64).sum()
    }
    pub fn reset(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.meter.reset());
    }
}

/// A copy that shares no bytes with the caller's.
fn own(ask: &ApiRequest) -> ApiRequest {
    let mut ask = ask.clone();
    if let ApiRequest::Submit { body, .. } = &mut ask {
        *body = Bytes::copy_from_slice(body);
    }
    ask
}
