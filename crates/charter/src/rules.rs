//! Rules compiled once for each charter version.
use crate::prelude::*;

/// Where a waitlist's messages go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    Workers(String),
    Endpoint(String),
}

/// One step of the small interpreter a message passes through at the edge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Op {
    /// Refuse bodies over so many bytes.
    Body(u64),
    /// Refuse a message without an ordering key.
    Key,
    /// Refuse a message whose deadline has passed.
    Deadline,
    /// Refuse a call-back desk that is not among these.
    Desk(Vec<String>),
    /// Take a seat from the tenant's share of the carries under way.
    Share,
    /// Match the message to one of so many partitions.
    Match(u32),
    /// Carry it to the partition's keeper.
    Carry,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    pub tenant: String,
    pub name: String,
    pub parts: u32,
    pub ordered: bool,
    pub target: Target,
    pub desks: Vec<String>,
    pub attempts: u32,
    pub attempt: Span,
    pub body_max: u64,
    /// The waitlist's part of its tenant's share.
    pub weight: u32,
    pub share: u32,
    pub ops: Vec<Op>,
}

impl Rule {
    pub fn places(&self) -> impl Iterator<Item = Place> + '_ {
        (0..self.parts).map(|part| Place { tenant: self.tenant.clone(), waitlist: self.name.clone(), part })
    }
    /// Key to partition, by the stated hash; without a key the id decides.
    pub fn part_of(&self, key: &str, id: &MessageId) -> u32 {
        let by = if key.is_empty() { id.as_str() } else { key };
        (hash_of(by.as_bytes()) % u64::from(self.parts.max(1))) as u32
    }
    /// The duty whose holder carries this waitlist's messages.
    pub fn duty(&self, place: &Place) -> Duty {
        match &self.target {
            Target::Workers(_) => Duty::Deliver(place.clone()),
            Target::Endpoint(e) => Duty::Endpoint(e.clone()),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    pub version: Version,
    pub lists: BTreeMap<(String, String), Rule>,
    pub services: BTreeMap<String, Service>,
    pub endpoints: BTreeMap<String, Endpoint>,
    pub shares: BTreeMap<String, u32>,
    pub retain: Span,
}

impl Rules {
    pub fn rule(&self, tenant: &str, waitlist: &str) -> Option<&Rule> {
        self.lists.get(&(tenant.to_string(), waitlist.to_string()))
    }
    pub fn rule_of(&self, p: &Place) -> Option<&Rule> {
        self.rule(&p.tenant, &p.waitlist).filter(|r| p.part < r.parts)
    }
    /// Every duty this charter calls for.
    pub fn duties(&self) -> BTreeSet<Duty> {
        let mut all: BTreeSet<Duty> = self.endpoints.keys().cloned().map(Duty::Endpoint).collect();
        for p in self.lists.values().flat_map(Rule::places) {
            let rule = &self.lists[&(p.tenant.clone(), p.waitlist.clone())];
            all.insert(rule.duty(&p));
            all.insert(Duty::Keep(p));
        }
        all
    }
    /// The longest any attempt may last.
    pub fn attempt_max(&self) -> Span {
        self.lists.values().map(|r| r.attempt).max().unwrap_or(Span::secs(2))
    }
}

fn or<T: Default + PartialEq>(v: T, d: T) -> T {
    if v == T::default() {
        return d;
    }
    v
}

/// Compiles a charter that `check` has passed.
pub fn compile(c: &Charter, version: Version) -> Rules {
    let mut out = Rules { version, retain: Span::millis(or(c.retain_ms, 150_000)), ..Rules::default() };
    for s in &c.services {
        let mut s = s.clone();
        s.slots = or(s.slots, 4);
        s.warm_ms = or(s.warm_ms, 10_000);
        out.services.insert(s.name.clone(), s);
    }
    for e in &c.endpoints {
        let mut e = e.clone();
        e.allowance = or(e.allowance, 39);
        e.slots = or(e.slots, 8);
        e.path = or(e.path, "/".to_string());
        out.endpoints.insert(e.name.clone(), e);
    }
    for t in &c.tenants {
        out.shares.insert(t.name.clone(), t.share);
        let Some(tem) = c.templates.iter().find(|x| x.name == t.template) else { continue };
        for w in fill(t, tem, "", &mut Vec::new()) {
            let body_max = or(w.body_max, 65_536);
            let parts = or(w.partitions, 1);
            let mut ops = vec![Op::Body(body_max)];
            if w.ordered {
                ops.push(Op::Key);
            }
            ops.extend([Op::Deadline, Op::Desk(w.desks.clone()), Op::Match(parts), Op::Share, Op::Carry]);
            let target = match w.endpoint.is_empty() {
                true => Target::Workers(w.service),
                false => Target::Endpoint(w.endpoint),
            };
            let rule = Rule {
                tenant: t.name.clone(),
                name: w.name.clone(),
                parts,
                ordered: w.ordered,
                target,
                desks: w.desks,
                attempts: or(w.attempts, 8),
                attempt: Span::millis(or(w.attempt_ms, 2000)),
                body_max,
                weight: or(w.weight, 1),
                share: t.share,
                ops,
            };
            out.lists.insert((t.name.clone(), w.name), rule);
        }
    }
    out
}
