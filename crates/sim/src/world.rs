//! The world: one heap of events in true time, one seed.
use crate::prelude::*;
use serde_json::{json, Value};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[derive(Clone, Debug)]
pub enum Ev {
    Tick(Daemon, u64),
    Frame {
        to: Daemon,
        from: Daemon,
        msg: Box<Msg>,
        life: u64,
    },
    Synced(Daemon, u64),
    Arrive {
        node: Daemon,
        life: u64,
        id: CallId,
        call: Box<Call>,
        worker: String,
    },
    RunEnd {
        node: Daemon,
        life: u64,
        id: CallId,
        worker: String,
        wlife: u64,
        receipt: (String, usize),
        code: u16,
        lose: bool,
    },
    Back {
        node: Daemon,
        life: u64,
        id: CallId,
        reply: Reply,
    },
    Hand(usize),
    Next(usize),
    Flow(usize),
    AskTimeout(AskId),
    Look(Looking),
    Act(usize),
    /// A charter acknowledged 3 s ago must be in force everywhere.
    InForce(String),
    Settle,
}

pub enum Asked {
    Hand(usize),
    /// The same message through a second proxy at once.
    Twin(usize),
    Look(Looking),
    Operator {
        base: String,
        what: String,
    },
}

/// Invariants: everything random comes from `rng`; the checker hears only
/// what happens outside the daemons.
pub struct World {
    pub now: Time,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    evs: HashMap<u64, Ev>,
    next: u64,
    pub rng: fastrand::Rng,
    pub seed: u64,
    pub nodes: BTreeMap<Daemon, Node>,
    pub net: Net,
    pub out: Outside,
    pub check: Checker,
    pub hands: Vec<Hand>,
    pub chains: Vec<Chain>,
    asks: HashMap<AskId, (Daemon, Asked)>,
    next_ask: u64,
    calls: BTreeSet<(Daemon, u64, CallId)>,
    pub steps: Vec<Step>,
    pub rate: u64,
    pub poison: u64,
    pub mix: u64,
    pub bounds: (usize, u64),
    /// What is broken now, since when.
    pub broken: BTreeMap<String, Time>,
    pub stopped: bool,
    pub run: Span,
    pub trace: VecDeque<String>,
    pub loud: bool,
    pub shares: Vec<(String, u32)>,
    /// What the last acknowledged charter was, and its version.
    pub acked: Option<(String, String)>,
    /// Charters whose end was told as unknown: they may come into force.
    pub maybe: Vec<String>,
    /// Seats a plan said would move.
    pub planned: Vec<Value>,
    pub flows: u64,
    pub open: usize,
    pub counts: BTreeMap<&'static str, u64>,
    pub mutate: Option<fn(&mut Effect, &mut fastrand::Rng) -> bool>,
    shut: BTreeSet<usize>,
    pub over: bool,
    pub popped: u64,
}

fn word_of(v: &Option<Verdict>) -> Word {
    match v {
        Some(v) if v.code == 202 => Word::Accepted,
        Some(v) if v.json.contains("\"taken\":false") => Word::NotTaken,
        _ => Word::Unknown,
    }
}

pub const TENANTS: [&str; 2] = ["curators", "partners"];
const TICK: Span = Span::millis(20);

impl World {
    pub fn new(seed: u64, steps: Vec<Step>, run: Span, rate: u64) -> World {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut nodes = BTreeMap::new();
        // A fourth store stands ready, and is started only by a script.
        for id in names().into_iter().chain([Daemon("store-4".into())]) {
            let offset = 1_000_000_000 + rng.u64(..1_000_000_000);
            nodes.insert(id.clone(), Node::new(id, offset));
        }
        let mut w = World {
            now: Time(0),
            heap: BinaryHeap::new(),
            evs: HashMap::new(),
            next: 0,
            rng,
            seed,
            nodes,
            net: Net::default(),
            out: Outside::new(),
            check: Checker::new(Limits::default()),
            hands: Vec::new(),
            chains: Vec::new(),
            asks: HashMap::new(),
            next_ask: 1,
            calls: BTreeSet::new(),
            steps,
            rate,
            poison: 0,
            mix: 50,
            bounds: (100_000, 256),
            broken: BTreeMap::new(),
            stopped: false,
            run,
            trace: VecDeque::new(),
            loud: false,
            shares: vec![("curators".into(), 60), ("partners".into(), 40)],
            acked: None,
            maybe: Vec::new(),
            planned: Vec::new(),
            flows: 0,
            open: 0,
            counts: BTreeMap::new(),
            mutate: None,
            shut: BTreeSet::new(),
            over: false,
            popped: 0,
        };
        for e in ENDPOINTS {
            if !e.starts_with("desk") {
                w.check.endpoint(e);
            }
        }
        w
    }

    pub fn say(&mut self, text: String) {
        if self.loud {
            println!("{:9.3} {text}", self.now.0 as f64 / 1e6);
        }
        self.trace.push_back(format!("{:9.3} {text}", self.now.0 as f64 / 1e6));
        if self.trace.len() > 4000 {
            self.trace.pop_front();
        }
    }
    pub fn count(&mut self, what: &'static str, n: u64) {
        *self.counts.entry(what).or_default() += n;
    }

    pub fn at(&mut self, t: Time, ev: Ev) {
        let n = self.next;
        self.next += 1;
        self.evs.insert(n, ev);
        self.heap.push(Reverse((t.max(self.now), n)));
    }
    pub fn soon(&mut self, s: Span, ev: Ev) {
        self.at(self.now + s, ev);
    }

    pub fn start(&mut self, id: &Daemon, found: bool) {
        let (seed, now) = (self.seed, self.now);
        let Some(n) = self.nodes.get_mut(id) else { return };
        if n.core.is_some() {
            return;
        }
        n.life += 1;
        n.frozen = false;
        n.inbox.clear();
        n.disk.jobs.clear();
        n.disk.busy = false;
        let files = n.disk.durable.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let (core, first) = build(id, n.life, files, found, seed, self.bounds, n.clock(now));
        n.core = Some(core);
        let life = n.life;
        self.effects(id, first);
        let jitter = self.rng.u64(..20_000);
        self.soon(Span(jitter), Ev::Tick(id.clone(), life));
    }

    /// The process is gone; so is everything not synced.
    pub fn kill(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        n.core = None;
        n.frozen = false;
        n.inbox.clear();
        n.disk.jobs.clear();
        n.disk.busy = false;
        // Its callers' connections break.
        for ask in std::mem::take(&mut n.asks) {
            self.told(ask, None);
        }
    }

    pub fn freeze(&mut self, id: &Daemon) {
        if let Some(n) = self.nodes.get_mut(id) {
            n.frozen = true;
        }
    }
    pub fn thaw(&mut self, id: &Daemon) {
        let Some(n) = self.nodes.get_mut(id) else { return };
        n.frozen = false;
        let all: Vec<Event> = n.inbox.drain(..).collect();
        for e in all {
            self.step(id, e);
        }
    }

    pub fn step(&mut self, id: &Daemon, event: Event) {
        let now = self.now;
        let Some(n) = self.nodes.get_mut(id) else { return };
        let at = n.clock(now);
        let Some(core) = n.core.as_mut() else { return };
        if n.frozen {
            if n.inbox.len() < 8192 && event != Event::Clock {
                n.inbox.push_back(event);
            }
            return;
        }
        let effects = core.step(event, at);
        self.effects(id, effects);
    }

    fn effects(&mut self, id: &Daemon, effects: Vec<Effect>) {
        for mut e in effects {
            if let Some(m) = self.mutate {
                if m(&mut e, &mut self.rng) {
                    continue;
                }
            }
            match e {
                Effect::Say(to, msg) => {
                    let beat = matches!(msg, Msg::Beat(_));
                    self.count("frames", 1);
                    let Some(at) = self.net.arrives(id, &to, beat, self.now, &mut self.rng) else { continue };
                    let life = self.nodes.get(&to).map_or(0, |n| n.life);
                    self.at(at, Ev::Frame { to, from: id.clone(), msg: Box::new(msg), life });
                }
                Effect::Save { n, name, bytes } => self.job(id, Some(n), name, bytes),
                Effect::Remove(name) => self.job(id, None, name, Bytes::new()),
                Effect::Tell(ask, v) => {
                    if let Some(n) = self.nodes.get_mut(id) {
                        n.asks.remove(&ask);
                    }
                    self.told(ask, Some(v));
                }
                Effect::Call(call_id, call) => self.call(id, call_id, call),
                Effect::Note(Note::MateMatched, text) => {
                    self.count("mates", 1);
                    self.say(format!("{id} 304 {text}"));
                }
                Effect::Note(note, text) => self.say(format!("{id} {} {}: {text}", note.number(), note.what())),
                Effect::Learn(..) | Effect::Zone(..) | Effect::Gone => {}
            }
        }
    }

    fn job(&mut self, id: &Daemon, n: Option<u64>, name: String, bytes: Bytes) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.disk.jobs.push_back((n, name, bytes));
        if !node.disk.busy {
            self.work(id);
        }
    }
    /// Begins the next job of a disk.
    fn work(&mut self, id: &Daemon) {
        let sync = Span(500 + self.rng.u64(..3500));
        let Some(node) = self.nodes.get_mut(id) else { return };
        let Some((n, _, _)) = node.disk.jobs.front() else {
            node.disk.busy = false;
            return;
        };
        node.disk.busy = true;
        let took = if n.is_some() { sync + node.disk.slow } else { Span(50) };
        let life = node.life;
        self.soon(took, Ev::Synced(id.clone(), life));
    }
    fn synced(&mut self, id: &Daemon, life: u64) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        if node.life != life || node.core.is_none() {
            return;
        }
        let Some((n, name, bytes)) = node.disk.jobs.pop_front() else { return };
        match n {
            Some(n) => {
                node.disk.durable.insert(name, bytes);
                self.count("syncs", 1);
                self.step(id, Event::Saved(n));
            }
            None => {
                node.disk.durable.remove(&name);
            }
        }
        self.work(id);
    }

    fn call(&mut self, id: &Daemon, call_id: CallId, call: Call) {
        let Some(n) = self.nodes.get(id) else { return };
        let life = n.life;
        let limit = n.real(call.limit);
        let worker = Outside::at(&call.addr);
        self.calls.insert((id.clone(), life, call_id));
        let there = worker == "platform" || self.net.open(id.as_str(), &worker);
        let trip = Span(200 + self.rng.u64(..800));
        let lost = |sent| Ev::Back { node: id.clone(), life, id: call_id, reply: Reply::Lost(sent) };
        if !there {
            let ev = lost(Sent::No);
            return self.soon(Span::millis(500).min(limit), ev);
        }
        let ev = lost(Sent::Maybe);
        self.soon(limit, ev);
        self.soon(trip, Ev::Arrive { node: id.clone(), life, id: call_id, call: Box::new(call), worker });
    }

    fn back(&mut self, node: &Daemon, life: u64, id: CallId, reply: Reply) {
        if !self.calls.remove(&(node.clone(), life, id)) || self.nodes.get(node).is_none_or(|n| n.life != life) {
            return;
        }
        self.step(node, Event::Back(id, reply));
    }

    fn reply_soon(&mut self, node: &Daemon, life: u64, id: CallId, reply: Reply) {
        let trip = Span(200 + self.rng.u64(..800));
        self.soon(trip, Ev::Back { node: node.clone(), life, id, reply });
    }

    fn arrive(&mut self, node: Daemon, life: u64, id: CallId, call: Call, worker: String) {
        if !self.calls.contains(&(node.clone(), life, id)) {
            return;
        }
        let got = |code, load, draining, text: String| Reply::Got { code, load: Some(load), draining, body: Bytes::from(text) };
        if worker == "platform" {
            if let Some((code, text)) = self.out.list(self.now) {
                self.reply_soon(&node, life, id, got(code, 0, false, text));
            }
            return;
        }
        // A worker replaced under its old name listens elsewhere.
        let port = call.addr.rsplit(':').next().and_then(|p| p.parse::<u64>().ok()).unwrap_or(80);
        let mood = self.out.moods.get(&worker).cloned().unwrap_or_default();
        if !mood.up || port != 80 + mood.life && !call.addr.starts_with("10.") {
            return self.reply_soon(&node, life, id, Reply::Lost(Sent::No));
        }
        if !call.post {
            return self.reply_soon(&node, life, id, got(200, mood.busy, mood.draining, "{}".into()));
        }
        if mood.draining {
            return self.reply_soon(&node, life, id, got(503, mood.busy, true, "{}".into()));
        }
        let head = |k: &str| call.headers.iter().find(|h| h.0 == k).map(|h| h.1.clone()).unwrap_or_default();
        let name = format!("{}/{}/{}", head("dahliawick-tenant"), head("dahliawick-waitlist"), head("dahliawick-id"));
        if worker.starts_with("desk") {
            self.check.called_back(&worker, &name, self.now);
            let took = Span::millis(1) + mood.slow;
            let code = if self.rng.u64(..100) < mood.fail { 500 } else { 200 };
            let ev = Ev::Back { node, life, id, reply: got(code, 0, false, "{}".into()) };
            return self.soon(took, ev);
        }
        let sum = crc32(&call.body);
        let zone = if worker.starts_with("library") { String::new() } else { zone_of(&worker).0 };
        let n = self.check.received(&worker, &zone, &name, sum, self.now);
        self.say(format!("{worker} receives {name} attempt {}", head("dahliawick-attempt")));
        if let Some(m) = self.out.moods.get_mut(&worker) {
            m.busy += 1;
        }
        let poison = call.body.starts_with(b"poison");
        let failed = self.rng.u64(..100) < mood.fail;
        let code = if poison {
            422
        } else if failed {
            500
        } else {
            200
        };
        let lose = self.rng.u64(..100) < mood.lose;
        let took = Span(2000 + self.rng.u64(..20_000)) + mood.slow;
        let ev = Ev::RunEnd { node, life, id, wlife: mood.life, worker, receipt: (name, n), code, lose };
        self.soon(took, ev);
    }

    /// Hands a caller's or operator's request to a daemon; false when nothing
    /// listens there.
    pub fn ask(&mut self, to: &Daemon, ask: Ask, asked: Asked) -> bool {
        let id = AskId(self.next_ask);
        let Some(n) = self.nodes.get_mut(to) else { return false };
        if n.core.is_none() {
            return false;
        }
        self.next_ask += 1;
        n.asks.insert(id);
        self.asks.insert(id, (to.clone(), asked));
        self.soon(Span::secs(6), Ev::AskTimeout(id));
        self.step(to, Event::Ask(id, ask));
        true
    }

    fn told(&mut self, id: AskId, v: Option<Verdict>) {
        let Some((node, asked)) = self.asks.remove(&id) else { return };
        if let Some(n) = self.nodes.get_mut(&node) {
            n.asks.remove(&id);
        }
        match asked {
            Asked::Hand(n) => self.handed(n, v),
            Asked::Twin(n) => {
                let name = self.hands.get(n).map(Hand::name).unwrap_or_default();
                self.check.told(&name, word_of(&v), self.now);
            }
            Asked::Look(l) => self.looked(l, v),
            Asked::Operator { base, what } => self.operated(base, what, v),
        }
    }

    fn proxy(&mut self) -> Daemon {
        Daemon(format!("proxy-{}", self.rng.u64(1..=3)))
    }

    pub fn hand(&mut self, n: usize) {
        let to = self.proxy();
        let Some(h) = self.hands.get(n).cloned() else { return };
        let (tenant, waitlist) = h.list.split_once('/').unwrap_or((&h.list, ""));
        let ask = Ask::Hand {
            tenant: tenant.into(),
            waitlist: waitlist.into(),
            id: MessageId(h.id.clone()),
            key: h.key.clone(),
            desk: h.desk.clone(),
            ttl: None,
            first: h.first && !h.again,
            body: h.body.clone(),
        };
        self.check.asked(&h.name(), self.now);
        let first = !h.again;
        if first && h.habit == Habit::Twice {
            let other = self.proxy();
            self.ask(&other, ask.clone(), Asked::Twin(n));
        }
        if first && h.habit == Habit::HangsUp {
            // Gone before any verdict; it asks anew soon.
            let at = self.next_ask;
            if self.ask(&to, ask, Asked::Hand(n)) {
                let soon = Span::millis(self.rng.u64(1..60));
                self.soon(soon, Ev::AskTimeout(AskId(at)));
            } else {
                self.soon(Span::millis(300), Ev::Hand(n));
            }
            return;
        }
        if !self.ask(&to, ask, Asked::Hand(n)) {
            // Refused at the door: nothing was taken, and nothing is told.
            self.soon(Span::millis(300), Ev::Hand(n));
        }
    }

    fn handed(&mut self, n: usize, v: Option<Verdict>) {
        let Some(h) = self.hands.get_mut(n) else { return };
        let word = word_of(&v);
        let name = h.name();
        // One of its sendings was refused: it sends the id no more.
        let refused = |m: &dw_checker::prelude::Message| m.words.iter().any(|w| w.1 == Word::NotTaken);
        let word = match word {
            Word::Unknown if self.check.message(&name).is_some_and(refused) => Word::NotTaken,
            w => w,
        };
        let chain = h.chain;
        let follow = h.follow;
        h.again = true;
        h.over = word != Word::Unknown;
        if self.loud {
            self.say(format!("caller told {word:?} for {name}"));
        }
        self.check.told(&name, word, self.now);
        match (word, chain) {
            (Word::Unknown, _) => self.soon(Span::millis(300), Ev::Hand(n)),
            (Word::Accepted, Some(c)) => {
                let pause = self.chains[c].pause;
                self.chains[c].turn += 1;
                self.soon(pause, Ev::Next(c));
            }
            (Word::NotTaken, Some(c)) => self.soon(Span::millis(500), Ev::Next(c)),
            (Word::Accepted, None) if follow => {
                self.soon(Span::millis(200), Ev::Look(Looking { hand: n, body: false, follow: 40 }))
            }
            _ => {}
        }
    }

    fn look(&mut self, l: Looking) {
        let to = self.proxy();
        let Some(h) = self.hands.get(l.hand).cloned() else { return };
        let (tenant, waitlist) = h.list.split_once('/').unwrap_or((&h.list, ""));
        let ask = Ask::Look { tenant: tenant.into(), waitlist: waitlist.into(), id: MessageId(h.id), key: h.key, body: l.body };
        if !self.ask(&to, ask, Asked::Look(l.clone())) && l.follow > 0 {
            self.soon(Span::millis(300), Ev::Look(l));
        }
    }

    fn looked(&mut self, l: Looking, v: Option<Verdict>) {
        let Some(h) = self.hands.get(l.hand) else { return };
        let name = h.name();
        let mut over = false;
        if let Some(v) = v {
            match (v.code, v.body) {
                (200, Some(b)) => {
                    self.check.read_body(&name, crc32(&b));
                    self.shut.insert(l.hand);
                }
                (200, None) => {
                    let j: Value = serde_json::from_str(&v.json).unwrap_or_default();
                    let state = j["state"].as_str().unwrap_or_default().to_string();
                    self.check.read(&name, Some(&state), self.now);
                    over = state != "waiting";
                    let owed = self.check.message(&name).is_some_and(|m| m.desk && !m.poison && m.backs.is_empty());
                    if over && l.follow == 0 && !owed {
                        self.look(Looking { body: true, ..l.clone() });
                    }
                }
                (404, _) => self.check.read(&name, None, self.now),
                _ => {}
            }
        }
        if l.follow > 0 && !over {
            self.soon(Span::millis(400), Ev::Look(Looking { follow: l.follow - 1, ..l }));
        }
    }

    fn new_hand(&mut self, list: String, key: String, turn: u64, chain: Option<usize>) -> usize {
        let n = self.hands.len();
        let desk = if list.ends_with("sheets") { "desk-1".to_string() } else { String::new() };
        let poison = list.ends_with("sheets") && self.poison > 0 && self.rng.u64(..100) < self.poison;
        let id = format!("m{n:06}");
        let mut text = format!("{}{list}/{id} key {key} turn {turn} ", if poison { "poison " } else { "" });
        while text.len() < 120 {
            text.push_str("lorem ");
        }
        let body = Bytes::from(text);
        let follow = chain.is_none() && self.rng.u64(..4) == 0 && !poison;
        let habit = match self.rng.u64(..20) {
            0 | 1 => Habit::Twice,
            2 => Habit::HangsUp,
            _ => Habit::Plain,
        };
        // One in three says so when it sends an id for the first time.
        let first = habit != Habit::Twice && self.rng.u64(..3) == 0;
        let h = Hand {
            habit,
            first,
            list: list.clone(),
            id,
            key: key.clone(),
            turn,
            desk: desk.clone(),
            poison,
            body,
            again: false,
            chain,
            follow,
            over: false,
        };
        let name = h.name();
        self.check.sent(&name, &list, &key, turn, crc32(&h.body), !desk.is_empty(), poison);
        self.hands.push(h);
        n
    }

    fn flow(&mut self, n: usize) {
        if self.stopped {
            return;
        }
        let tenant = TENANTS[usize::from(self.rng.u64(..100) >= self.mix)];
        let list = match n {
            0 => format!("{tenant}/sheets"),
            _ => format!("{tenant}/notices-{}", self.rng.u64(1..=2)),
        };
        let h = self.new_hand(list, String::new(), 0, None);
        self.hand(h);
        // Half the rate is bulk, a quarter notices, a quarter in order.
        let pace = if n == 0 { 2_000_000 } else { 4_000_000 } / self.rate.max(1);
        let gap = pace / 2 + self.rng.u64(..pace.max(1));
        self.soon(Span(gap), Ev::Flow(n));
    }

    fn next_turn(&mut self, c: usize) {
        if self.stopped {
            return;
        }
        let ch = self.chains[c].clone();
        let h = self.new_hand(ch.list, ch.key, ch.turn, Some(c));
        self.hand(h);
    }

    pub fn begin_load(&mut self) {
        self.soon(Span(0), Ev::Flow(0));
        self.soon(Span(0), Ev::Flow(1));
        for t in TENANTS {
            for k in 0..4 {
                let pause = Span(8 * 4_000_000 / self.rate.max(1));
                self.chains.push(Chain { list: format!("{t}/records"), key: format!("k{k}"), turn: 1, pause });
                let first = self.rng.u64(..pause.0);
                self.soon(Span(first), Ev::Next(self.chains.len() - 1));
            }
        }
    }

    /// All that is not yet shut is looked at again; true when none is left.
    pub fn settle(&mut self) -> bool {
        let open: Vec<usize> = (0..self.hands.len())
            .filter(|n| {
                let h = &self.hands[*n];
                let told = self.check.message(&h.name()).map(|m| m.words.clone()).unwrap_or_default();
                let accepted = told.iter().any(|w| w.1 == Word::Accepted);
                (accepted && !self.shut.contains(n)) || (!accepted && !h.over)
            })
            .collect();
        self.open = open.len();
        for n in &open {
            if self.hands[*n].over {
                self.look(Looking { hand: *n, body: false, follow: 0 });
            }
        }
        open.is_empty()
    }

    pub fn pop(&mut self) -> Option<Ev> {
        let Reverse((t, n)) = self.heap.pop()?;
        self.now = t;
        self.popped += 1;
        self.evs.remove(&n)
    }

    pub fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Tick(id, life) => {
                let Some(n) = self.nodes.get(&id) else { return };
                if n.life != life || n.core.is_none() {
                    return;
                }
                let pause = n.real(TICK);
                self.step(&id, Event::Clock);
                self.soon(pause, Ev::Tick(id, life));
            }
            Ev::Frame { to, from, msg, life } => {
                // A new life has new connections; frames of the old are lost.
                if self.nodes.get(&to).is_some_and(|n| n.life == life) {
                    self.step(&to, Event::Hear { from, msg: *msg });
                }
            }
            Ev::Synced(id, life) => self.synced(&id, life),
            Ev::Arrive { node, life, id, call, worker } => self.arrive(node, life, id, *call, worker),
            Ev::RunEnd { node, life, id, worker, wlife, receipt, code, lose } => {
                let Some(m) = self.out.moods.get_mut(&worker) else { return };
                if !m.up || m.life != wlife {
                    return self.back(&node, life, id, Reply::Lost(Sent::Maybe));
                }
                m.busy = m.busy.saturating_sub(1);
                let (load, draining) = (m.busy, m.draining);
                self.check.ended(&receipt.0, receipt.1, code == 200, self.now);
                if lose {
                    return;
                }
                if !self.net.open(&worker, node.as_str()) {
                    return;
                }
                let reply = Reply::Got { code, load: Some(load), draining, body: Bytes::new() };
                self.reply_soon(&node, life, id, reply);
            }
            Ev::Back { node, life, id, reply } => self.back(&node, life, id, reply),
            Ev::Hand(n) => self.hand(n),
            Ev::Next(c) => self.next_turn(c),
            Ev::Flow(n) => self.flow(n),
            Ev::AskTimeout(id) => self.told(id, None),
            Ev::Look(l) => self.look(l),
            Ev::Act(n) => {
                let act = self.steps[n].act.clone();
                self.act(act);
            }
            Ev::InForce(version) => self.in_force(&version),
            Ev::Settle => {
                if self.settle() {
                    self.over = true;
                } else {
                    self.soon(Span::secs(1), Ev::Settle);
                }
            }
        }
    }

    /// The operator asks every placement daemon; the primary answers.
    pub fn operate(&mut self, ask: Ask, base: &str, what: &str) {
        let (base, what) = (base.to_string(), what.to_string());
        for n in 1..=3 {
            let to = Daemon(format!("placement-{n}"));
            let asked = Asked::Operator { base: base.clone(), what: what.clone() };
            self.ask(&to, ask.clone(), asked);
        }
    }

    pub fn state_charter(&mut self, what: &str, shares: &[(String, u32)], base: &str) {
        let json = charter(shares).to_string();
        let op = format!("op-{what}-{}", self.next_ask);
        self.operate(
            Ask::Apply(Charge { op, base: base.into(), json: json.clone(), patch: false }),
            base,
            &format!("charter {json}"),
        );
    }

    fn operated(&mut self, base: String, what: String, v: Option<Verdict>) {
        let unsure = v.as_ref().is_none_or(|v| v.code == 504);
        if let (true, Some(json)) = (unsure, what.strip_prefix("charter ")) {
            self.maybe.push(json.to_string());
        }
        let Some(v) = v else { return };
        if v.code == 503 {
            return;
        }
        let j: Value = serde_json::from_str(&v.json).unwrap_or_default();
        let version = j["version"].as_str().unwrap_or_default().to_string();
        self.say(format!("operator told {} {} for {}", v.code, version, &what[..what.len().min(40)]));
        if let Some(json) = what.strip_prefix("charter ") {
            if json == "bad" {
                if v.code < 400 {
                    self.check.flag("an invalid charter was acknowledged".into());
                }
                return;
            }
            if v.code != 200 {
                return;
            }
            // Of two made from one base, one at most may be acknowledged.
            if self.maybe.is_empty() && self.acked.as_ref().is_some_and(|(b, _)| *b != base) {
                self.check.flag(format!("a charter made from {base} was acknowledged over {:?}", self.acked));
            }
            self.soon(Span::secs(3), Ev::InForce(version.clone()));
            if let Ok(c) = dw_charter::check::read(json) {
                let shares = c.tenants.into_iter().map(|t| (t.name, t.share)).collect();
                self.check.shares(shares, self.now);
            }
            self.acked = Some((version, json.to_string()));
        }
        if let Some(zone) = what.strip_prefix("empty ") {
            if v.code == 200 {
                self.check.empty_zone(zone, self.now);
            }
        }
        if let Some(worker) = what.strip_prefix("drain ") {
            if v.code == 200 {
                self.check.bar(worker, self.now);
            }
        }
        if what == "plan" && v.code == 200 {
            self.planned = j["seats"].as_array().cloned().unwrap_or_default();
        }
        if what == "show" && v.code == 200 {
            self.count("shown", 1);
            let shown = j["charter"].clone();
            let Some((version, json)) = self.acked.clone() else { return };
            let whole = |json: &str| dw_charter::check::read(json).ok().and_then(|c| serde_json::to_value(c).ok());
            let later = self.maybe.iter().any(|m| whole(m).as_ref() == Some(&shown));
            let same = j["version"].as_str() == Some(&version) && whole(&json) == Some(shown);
            if !same && !later {
                self.check.flag(format!("the charter reads back as {}, acknowledged was {version}", j["version"]));
            }
        }
    }

    /// Whether a partition is served and every duty held.
    pub fn ready(&mut self) -> bool {
        let mut serving = 0;
        for id in names().into_iter().filter(|d| d.kind() == Kind::Store) {
            let Some(j) = self.status(&id) else { return false };
            for p in j["places"].as_array().into_iter().flatten() {
                serving += u64::from(p["phase"] == "serving");
            }
        }
        serving == 12
    }

    /// No daemon may now act by an older charter: it holds this one or a
    /// later, or says itself that it can't confirm what it holds.
    fn in_force(&mut self, version: &str) {
        let read = |v: &str| -> Option<(u64, u64)> {
            let (a, b) = v.split_once('.')?;
            Some((a.parse().ok()?, b.parse().ok()?))
        };
        let want = read(version);
        for id in names().into_iter().filter(|d| d.kind() != Kind::Placement) {
            let Some(j) = self.status(&id) else { continue };
            let held = j["charter"].as_str().and_then(read);
            if j["fresh"] == json!(true) && held < want {
                self.check.flag(format!("{id} acts by charter {} 3 s after {version} was acknowledged", j["charter"]));
            }
            self.count("in force", 1);
        }
    }

    /// A daemon's status, read aside.
    pub fn status(&mut self, id: &Daemon) -> Option<Value> {
        let now = self.now;
        let n = self.nodes.get_mut(id)?;
        let at = n.clock(now);
        if n.frozen {
            return None;
        }
        let out = n.core.as_mut()?.step(Event::Ask(AskId(0), Ask::Status), at);
        let mut got = None;
        let mut rest = Vec::new();
        for e in out {
            match e {
                Effect::Tell(AskId(0), v) => got = serde_json::from_str(&v.json).ok(),
                e => rest.push(e),
            }
        }
        self.effects(id, rest);
        got
    }

    fn all(&self, zone: Option<&str>) -> Vec<Daemon> {
        names().into_iter().filter(|d| zone.is_none_or(|z| zone_of(d.as_str()).as_str() == z)).collect()
    }

    fn primary(&mut self) -> String {
        for n in 1..=3 {
            let id = Daemon(format!("placement-{n}"));
            if self.status(&id).is_some_and(|j| j["may_act"] == json!(true)) {
                return id.0;
            }
        }
        "placement-1".into()
    }

    fn name(&mut self, who: &str) -> Daemon {
        match who {
            "primary" => Daemon(self.primary()),
            w => Daemon(w.to_string()),
        }
    }

    /// Tells the checker which acts are hard faults, and how long they last;
    /// a mending is the end of one and the begin of none.
    fn judge(&mut self, act: &Act, now: Time) {
        let mut lasts = |what: String, on: bool| match on {
            true => _ = self.broken.entry(what).or_insert(now),
            false => {
                if let Some(since) = self.broken.remove(&what) {
                    self.check.fault(since, now);
                }
            }
        };
        match act {
            Act::Kill(_) | Act::Wipe(_) | Act::Off(_) | Act::AllOff | Act::Start(_) | Act::On(_) | Act::AllOn => {
                self.check.fault(now, now)
            }
            Act::Freeze(w) => lasts(format!("freeze {w}"), true),
            Act::Thaw(w) => {
                let all: Vec<String> = self.broken.keys().filter(|k| k.starts_with("freeze")).cloned().collect();
                for k in all.into_iter().filter(|k| w == "all" || *k == format!("freeze {w}") || k == "freeze primary") {
                    if let Some(since) = self.broken.remove(&k) {
                        self.check.fault(since, now);
                    }
                }
            }
            Act::Cut(..) | Act::CutOne(..) => lasts("cut".into(), true),
            Act::Heal => lasts("cut".into(), false),
            Act::Loss(n) => lasts("loss".into(), *n > 0),
            Act::Delay(s) => lasts("delay".into(), *s > Span::ZERO),
            Act::Disk(w, s) => lasts(format!("disk {w}"), *s > Span::ZERO),
            Act::Crash(w) if w.starts_with("desk") => self.check.shut(now),
            Act::Revive(w) if w.starts_with("desk") => self.check.open(now),
            Act::Fail(w, n) if w.starts_with("desk") => match n {
                0 => self.check.open(now),
                _ => self.check.shut(now),
            },
            Act::Slow(w, s) if w.starts_with("desk") => match *s {
                Span::ZERO => self.check.open(now),
                _ => self.check.shut(now),
            },
            _ => {}
        }
    }

    pub fn act(&mut self, act: Act) {
        self.say(format!("== {act:?}"));
        let now = self.now;
        self.check.act(now);
        self.judge(&act, now);
        match act {
            Act::Kill(w) => {
                let d = self.name(&w);
                self.kill(&d);
            }
            Act::Start(w) if w == "all" => self.act(Act::AllOn),
            Act::Start(w) => self.start(&Daemon(w), false),
            Act::Wipe(w) => {
                let d = self.name(&w);
                self.kill(&d);
                if let Some(n) = self.nodes.get_mut(&d) {
                    n.disk.durable.clear();
                }
            }
            Act::Off(z) => self.all(Some(&z)).iter().for_each(|d| self.kill(d)),
            Act::On(z) => self.all(Some(&z)).iter().for_each(|d| self.start(d, false)),
            Act::AllOff => self.all(None).iter().for_each(|d| self.kill(d)),
            Act::AllOn => self.all(None).iter().for_each(|d| self.start(d, false)),
            Act::Freeze(w) => {
                let d = self.name(&w);
                self.freeze(&d);
            }
            Act::Thaw(w) if w == "all" => self.all(None).iter().for_each(|d| self.thaw(d)),
            Act::Thaw(w) => self.thaw(&Daemon(w)),
            Act::Cut(a, b) => {
                let (a, b) = (self.name(&a).0, self.name(&b).0);
                self.net.cuts.insert((a.clone(), b.clone()));
                self.net.cuts.insert((b, a));
            }
            Act::CutOne(a, b) => {
                let (a, b) = (self.name(&a).0, self.name(&b).0);
                self.net.cuts.insert((a, b));
            }
            Act::Heal => self.net.cuts.clear(),
            Act::Loss(n) => self.net.loss = n,
            Act::Delay(s) => self.net.extra = s,
            Act::Clock(w, rate) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    // The reading itself goes on from where it is.
                    let was = n.clock(now);
                    n.rate = rate;
                    n.offset = 0;
                    n.offset = was.0.saturating_sub(n.clock(now).0);
                }
            }
            Act::Disk(w, s) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    n.disk.slow = s;
                }
            }
            Act::Rot(w) => {
                let d = self.name(&w);
                if let Some(n) = self.nodes.get_mut(&d) {
                    // The shell sets a file that fails its checksum aside and hands it over empty.
                    let last = n.disk.durable.keys().next_back().cloned();
                    if let Some(k) = last {
                        n.disk.durable.insert(k, Bytes::new());
                    }
                }
            }
            Act::Crash(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.up = false;
                    m.listed = false;
                    m.busy = 0;
                }
                self.check.bar(&w, now);
            }
            Act::Revive(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.up = true;
                    m.listed = !w.starts_with("library") && !w.starts_with("desk");
                    m.life += 1;
                }
                self.check.unbar(&w);
                let service = w.split('-').next().unwrap_or_default();
                if let Some((_, slots)) = SLOTS.iter().find(|s| s.0 == service) {
                    self.check.freshen(&w, WARM, *slots, now);
                }
            }
            Act::Drain(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.draining = true;
                }
                self.check.bar(&w, now);
            }
            Act::Undrain(w) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.draining = false;
                }
                self.check.unbar(&w);
            }
            Act::Order(w) => self.operate(Ask::Drain { worker: WorkerId(w.clone()), on: true }, "", &format!("drain {w}")),
            Act::Unorder(w) => {
                self.check.unbar(&w);
                self.operate(Ask::Drain { worker: WorkerId(w), on: false }, "", "undrain");
            }
            Act::Lose(w, n) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.lose = n;
                }
            }
            Act::Fail(w, n) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.fail = n;
                }
            }
            Act::Slow(w, s) => {
                if let Some(m) = self.out.moods.get_mut(&w) {
                    m.slow = s;
                }
            }
            Act::Empty(z) => self.operate(Ask::Zone { zone: Zone(z.clone()), empty: true }, "", &format!("empty {z}")),
            Act::Restore(z) => {
                self.check.restore_zone(&z);
                self.operate(Ask::Zone { zone: Zone(z), empty: false }, "", "restore");
            }
            Act::List(x) => {
                self.out.list_down = x == "down";
                self.out.list_empty = x == "empty";
            }
            Act::Share(t, n) => {
                let mut shares = self.shares.clone();
                shares.iter_mut().filter(|s| s.0 == t).for_each(|s| s.1 = n);
                self.shares = shares.clone();
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                self.state_charter("share", &shares, &base);
            }
            Act::Race(a, b) => {
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                for n in [a, b] {
                    let mut shares = self.shares.clone();
                    shares[0].1 = n;
                    self.state_charter("race", &shares, &base);
                }
            }
            Act::BadCharter => {
                let base = self.acked.as_ref().map_or("0.0".into(), |a| a.0.clone());
                let mut c = charter(&self.shares);
                c["tenants"][0]["share"] = json!(0);
                let charge = Charge { op: "bad".into(), base, json: c.to_string(), patch: false };
                self.operate(Ask::Apply(charge), "", "charter bad");
            }
            Act::Poison(n) => self.poison = n,
            Act::Mix(n) => self.mix = n,
            Act::Rate(n) => self.rate = n,
            Act::PlanRetire(w) => {
                let ask = Ask::Plan { charter: None, empty: None, retire: Some(Daemon(w)) };
                self.operate(ask, "", "plan");
            }
            Act::Retire(w) => self.operate(Ask::Retire { store: Daemon(w) }, "", "retire"),
        }
    }
}
