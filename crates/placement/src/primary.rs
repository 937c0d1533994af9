use crate::prelude::*;
use serde_json::json;

mod asks;
mod grants;
mod news;
mod slices;

#[derive(Clone, Debug)]
pub struct Startup {
    pub me: Member,
    /// The other replicas.
    pub siblings: Vec<Daemon>,
    pub terms: Terms,
    pub election: ElectionPace,
    /// How long reports are collected at a take-over.
    pub window: Span,
    /// How long a late store's places are reserved and a placeholder stands.
    pub hold: Span,
    /// How long a daemon may trust its charter after it asked.
    pub charter_lease: Span,
    /// The platform's list: address and path; empty for none.
    pub platform: String,
    pub poll: Span,
    pub seed: u64,
}

enum Pending {
    Charter(AskId, String),
    Order(AskId),
    Quiet,
}

/// Invariants: it grants and answers pulls only while `election.may_act`;
/// `given` belongs to one term and is built anew by each take-over.
pub struct Placement {
    pub startup: Startup,
    pub election: Election<Order>,
    pub hard: Hard,
    rules: Rules,
    pub office: Office,
    won: Time,
    given: Given<Duty, Daemon>,
    seen: BTreeMap<Daemon, Seen>,
    doubts: BTreeMap<Daemon, BTreeMap<Daemon, Time>>,
    late: BTreeSet<Daemon>,
    /// Duties their holders are asked to give up, since when.
    shed: BTreeMap<Duty, Time>,
    balanced: Time,
    /// Duties moved because a store and their holder were cut apart: the
    /// holder, the store's zone, and since when.
    apart: BTreeMap<Duty, (Daemon, Option<Zone>, Time)>,
    begun: BTreeMap<Duty, Time>,
    /// Each delivery duty's slice of its service.
    slices: BTreeMap<Duty, Slice>,
    pending: BTreeMap<u64, (Term, Pending)>,
    /// Members and layouts proposed and not applied yet.
    asked: BTreeMap<String, Time>,
    placed: BTreeMap<Place, Placing>,
    places_version: Version,
    list: WorkerList,
    next_call: u64,
    file: u64,
    paced: Time,
    phases: Vec<(String, u64)>,
    out: Vec<Effect>,
}

const FILE: &str = "hard-";

impl Placement {
    pub fn new(startup: Startup, files: Vec<(String, Bytes)>, fresh: Mark, found: bool, now: Time) -> (Self, Vec<Effect>) {
        let mut out = Vec::new();
        let mut best: Option<(u64, Stored<Order>)> = None;
        let mut names: Vec<(u64, String)> = Vec::new();
        let mut torn = false;
        for (name, bytes) in &files {
            let Some(n) = name.strip_prefix(FILE).and_then(|n| u64::from_str_radix(n, 16).ok()) else { continue };
            names.push((n, name.clone()));
            match decode::<Stored<Order>>(bytes) {
                Ok(s) if best.as_ref().is_none_or(|b| b.0 < n) => best = Some((n, s)),
                Ok(_) => {}
                Err(_) => torn = true,
            }
        }
        let file = names.iter().map(|n| n.0).max().unwrap_or(0);
        // Older than a file that can't be read: what was promised since is lost.
        let behind = best.as_ref().is_some_and(|b| b.0 < file);
        if torn || behind {
            out.push(Effect::Note(Note::DiskCorrupt, "the hard state can't be read; this replica has to be readmitted".into()));
            out.extend(names.iter().map(|n| Effect::Remove(n.1.clone())));
            best = None;
        }
        let found = found && names.is_empty();
        let stored = best.map_or_else(|| Stored::fresh(fresh), |b| b.1);
        let siblings = startup.siblings.clone();
        let election = Election::new(startup.me.id.clone(), siblings, stored, found, startup.election, startup.seed, now);
        let given = Given::new(startup.terms, Term(0));
        let mut p = Placement {
            startup,
            election,
            hard: Hard::default(),
            rules: Rules::default(),
            office: Office::Standby,
            won: now,
            given,
            seen: BTreeMap::new(),
            doubts: BTreeMap::new(),
            late: BTreeSet::new(),
            shed: BTreeMap::new(),
            balanced: now,
            apart: BTreeMap::new(),
            begun: BTreeMap::new(),
            slices: BTreeMap::new(),
            pending: BTreeMap::new(),
            asked: BTreeMap::new(),
            placed: BTreeMap::new(),
            places_version: Version::ZERO,
            list: WorkerList::default(),
            next_call: 1,
            file,
            paced: now,
            phases: Vec::new(),
            out,
        };
        let base = p.election.base().clone();
        p.install(&base);
        let out = std::mem::take(&mut p.out);
        (p, out)
    }

    fn install(&mut self, base: &Base) {
        if let Ok(hard) = decode::<Hard>(&base.data.0) {
            self.hard = hard;
            self.recompile();
        }
    }

    fn recompile(&mut self) {
        if let Ok(c) = dw_charter::check::read(&self.hard.charter) {
            self.rules = compile(&c, self.hard.charter_version);
        }
    }

    fn note(&mut self, note: Note, text: impl Into<String>) {
        self.out.push(Effect::Note(note, text.into()));
    }
    fn say(&mut self, to: &Daemon, msg: Msg) {
        self.out.push(Effect::Say(to.clone(), msg));
    }

    /// The one function for every change of office.
    fn turn(&mut self, office: Office, now: Time) {
        self.phases.push((office.word().to_string(), now.0 / 1000));
        if self.phases.len() > 16 {
            self.phases.remove(0);
        }
        match &office {
            Office::Standby => {
                for (_, (_, p)) in std::mem::take(&mut self.pending) {
                    if let Pending::Charter(ask, _) | Pending::Order(ask) = p {
                        self.out.push(Effect::Tell(ask, unknown()));
                    }
                }
                self.asked.clear();
            }
            Office::Opening => {
                self.won = now;
                self.seen.clear();
                self.late.clear();
                self.shed.clear();
                self.apart.clear();
                self.begun.clear();
                self.slices.clear();
                self.doubts.clear();
                self.given = Given::new(self.startup.terms, self.election.term());
                self.placed.clear();
                self.places_version = Version { term: self.election.term(), count: 0 };
                self.list = WorkerList::after(now + self.startup.poll);
            }
            Office::Aggregating { until } => {
                let text = format!("term {} for at most {} ms", self.election.term().0, until.left(now).as_millis());
                self.note(Note::Aggregating, text);
            }
            Office::Serving => {
                let text = format!("{} duties known, {} late stores", self.given.iter().count(), self.late.len());
                self.note(Note::Serving, text);
            }
        }
        self.office = office;
    }

    fn act(&mut self, acts: Vec<Act<Order>>, now: Time) {
        for a in acts {
            match a {
                Act::Say(to, talk) => self.say(&to, Msg::Hard(talk)),
                Act::Save(n, stored) => {
                    self.file += 1;
                    let name = |n: u64| format!("{FILE}{n:016x}");
                    self.out.push(Effect::Save { n, name: name(self.file), bytes: Bytes::from(encode(&stored)) });
                    if self.file > 1 {
                        self.out.push(Effect::Remove(name(self.file - 1)));
                    }
                }
                Act::Apply(index, term, order) => self.applied(index, term, order),
                Act::Install(base) => self.install(&base),
                Act::Won(term) => {
                    self.note(Note::Won, format!("term {}", term.0));
                    self.turn(Office::Opening, now);
                }
                Act::Lost => {
                    self.note(Note::LostOffice, format!("term {}", self.election.term().0));
                    self.turn(Office::Standby, now);
                }
            }
        }
    }

    fn applied(&mut self, index: u64, term: Term, order: Order) {
        let was = self.hard.charter_version;
        let end = self.hard.apply(index, term, &order);
        if self.hard.charter_version != was {
            self.recompile();
        }
        match &order {
            Order::Member(m) => {
                self.asked.remove(&format!("member {}", m.id));
                self.out.push(Effect::Learn(m.id.clone(), m.addr.clone()));
                self.note(Note::Joined, format!("{} in zone {} at {}", m.id, m.zone, m.addr));
            }
            Order::Layout(_) => {
                self.asked.remove("layout");
            }
            Order::Reseat { place, out, put } => {
                self.asked.remove(&format!("reseat {place} {out}"));
                self.note(Note::Reseated, format!("{place}: {out} by {} {:016x}", put.0, put.1 .0));
            }
            _ => self.note(Note::Ordered, format!("entry {index}")),
        }
        let Some((at, p)) = self.pending.remove(&index) else { return };
        let verdict = match (at == term, end) {
            (false, _) => unknown(),
            (true, Applied::Done(v)) => Verdict::json(200, json!({"version": v.to_string()}).to_string()),
            (true, Applied::Stale(v)) => stale(v),
        };
        match p {
            Pending::Charter(ask, op) => {
                let mut verdict = verdict;
                if verdict.code == 200 {
                    let v = self.hard.charter_version.to_string();
                    verdict.json = json!({"version": v, "operation": op}).to_string();
                }
                self.out.push(Effect::Tell(ask, verdict));
            }
            Pending::Order(ask) => self.out.push(Effect::Tell(ask, verdict)),
            Pending::Quiet => {}
        }
    }

    fn propose(&mut self, order: Order, pending: Pending, now: Time) {
        match self.election.propose(order, now) {
            Ok((index, term, acts)) => {
                self.pending.insert(index, (term, pending));
                self.act(acts, now);
            }
            Err(_) => {
                if let Pending::Charter(ask, _) | Pending::Order(ask) = pending {
                    let v = self.not_primary();
                    self.out.push(Effect::Tell(ask, v));
                }
            }
        }
    }

    /// Proposes something the primary itself wants, once in a while at most.
    fn propose_once(&mut self, key: String, order: Order, now: Time) {
        if self.asked.get(&key).is_some_and(|t| now.since(*t) < Span::secs(2)) {
            return;
        }
        self.asked.insert(key, now);
        self.propose(order, Pending::Quiet, now);
    }

    fn on_clock(&mut self, now: Time) {
        let acts = self.election.tick(now);
        self.act(acts, now);
        if self.election.role() != Role::Primary || now.since(self.paced) < Span::millis(100) {
            return;
        }
        self.paced = now;
        if !self.election.may_act(now) {
            return;
        }
        match self.office.clone() {
            Office::Opening => {
                let until = now + self.startup.window;
                self.turn(Office::Aggregating { until }, now);
            }
            Office::Aggregating { until } if now >= until || self.all_reported() => self.repopulate(now),
            Office::Serving => {
                self.reconcile(now);
                self.share_out(now);
            }
            _ => {}
        }
        self.poll(now);
        let hard = &self.hard;
        let acts = self.election.fold(|| encode(hard));
        self.act(acts, now);
    }

    fn poll(&mut self, now: Time) {
        if self.startup.platform.is_empty() || self.list.asking || now < self.list.due {
            return;
        }
        let (addr, path) = match self.startup.platform.split_once('/') {
            Some((a, p)) => (a.to_string(), format!("/{p}")),
            None => (self.startup.platform.clone(), "/workers".to_string()),
        };
        self.list.asking = true;
        self.list.due = now + self.startup.poll;
        let call = Call { post: false, addr, path, headers: Vec::new(), body: Bytes::new(), limit: Span::millis(800) };
        self.out.push(Effect::Call(CallId(self.next_call), call));
        self.next_call += 1;
    }

    fn on_back(&mut self, reply: Reply, now: Time) {
        self.list.asking = false;
        let taken = match &reply {
            Reply::Got { code: 200, body, .. } => self.list.take(body, now),
            Reply::Got { code, .. } => Err(format!("status {code}")),
            Reply::Lost(_) => Err("no reply".to_string()),
        };
        match taken {
            Ok(false) => {}
            Ok(true) => {
                let count = self.list.version.count + 1;
                self.list.version = Version { term: self.election.term(), count };
            }
            Err(why) => {
                self.list.due = now + self.list.failed(self.startup.poll);
                self.note(Note::ListFailed, why);
            }
        }
    }
}

fn unknown() -> Verdict {
    let text = json!({"error": "the end of this order is unknown; ask again with the same operation id"});
    Verdict { after: Some(Span::secs(1)), ..Verdict::json(504, text.to_string()) }
}

fn stale(v: Version) -> Verdict {
    let text = json!({"error": "the base is no longer the newest; read the charter again and mend your change",
                      "version": v.to_string()});
    Verdict::json(409, text.to_string())
}

impl Core for Placement {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        match event {
            Event::Clock => self.on_clock(now),
            Event::Saved(n) => {
                let acts = self.election.saved(n, now);
                self.act(acts, now);
            }
            Event::Hear { from, msg } => match msg {
                Msg::Hard(talk) => {
                    let acts = self.election.hear(from, talk, now);
                    self.act(acts, now);
                }
                Msg::Need { asked, heard, have, me, report } => self.on_need(from, asked, heard, have, me, report, now),
                Msg::Doubts { who } => {
                    for (d, _, _) in who {
                        self.doubts.entry(d).or_default().insert(from.clone(), now);
                    }
                }
                _ => {}
            },
            Event::Ask(id, ask) => self.on_ask(id, ask, now),
            Event::Back(_, reply) => self.on_back(reply, now),
            // A standby takes over by itself; nothing waits for this one.
            Event::Leave => self.out.push(Effect::Gone),
        }
        std::mem::take(&mut self.out)
    }
}
