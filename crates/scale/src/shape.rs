//! What a hollow fleet is made of: its configuration, its members and the hard
//! state they were taken in by.
use crate::prelude::*;
use dw_config::prelude::Config;
use dw_election::prelude::{Configuration, HardState, Snapshot, Voter};
use dw_placement::prelude::PlacementState;
use serde_json::{json, Value};

/// Invariant: names and addresses are as long as a large fleet's.
#[derive(Clone, Debug)]
pub struct Shape {
    pub stores: usize,
    pub deliveries: usize,
    /// Agents, each with a proxy beside it.
    pub edges: usize,
    /// Agents without a proxy: daemons that only hear news.
    pub agents: usize,
    pub tenants: usize,
    /// Queues of each tenant that go to workers.
    pub lists: usize,
    pub parts: u32,
    /// Outside endpoints, each with a queue of its own.
    pub destinations: usize,
    pub workers: usize,
    pub zones: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            stores: 3,
            deliveries: 3,
            edges: 0,
            agents: 0,
            tenants: 2,
            lists: 2,
            parts: 2,
            destinations: 0,
            workers: 4,
            zones: 8,
        }
    }
}

/// Destinations of one tenant.
pub const OF_TENANT: usize = 50;

pub const LIFE: IncarnationId = IncarnationId(0x5ca1_0001);

pub fn mark_of(d: &Daemon) -> IncarnationId {
    IncarnationId(hash_of(d.as_str().as_bytes()) | 1)
}

impl Shape {
    pub fn names(&self) -> Vec<Daemon> {
        let some = |kind: &str, n: usize| (1..=n).map(|i| Daemon(format!("{kind}-{i:05}"))).collect::<Vec<_>>();
        [
            some("placement", 3),
            some("store", self.stores),
            some("delivery", self.deliveries),
            some("agent", self.edges + self.agents),
            some("proxy", self.edges),
        ]
        .concat()
    }
    pub fn seeds(&self) -> Vec<Daemon> {
        self.names().into_iter().take(3).collect()
    }
    pub fn zone_of(&self, d: &Daemon) -> Zone {
        let n: usize = d.as_str().rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
        Zone(format!("region-{}-zone-{}", n % 4, n % self.zones.max(1)))
    }
    pub fn member(&self, d: &Daemon) -> Member {
        let at = hash_of(d.as_str().as_bytes()).to_be_bytes();
        let ip = format!("10.{}.{}.{}", 100 + at[0] % 100, 100 + at[1] % 100, 100 + at[2] % 100);
        Member {
            id: d.clone(),
            zone: self.zone_of(d),
            addr: format!("{ip}:7000"),
            http: format!("{ip}:8000"),
            incarnation: LIFE,
            disk_id: if d.kind() == DaemonKind::Store { mark_of(d) } else { IncarnationId(0) },
            machine: String::new(),
        }
    }
    /// Who pulls from the primary itself: its own replicas and the proxies,
    /// fed by their agents, are nobody's members.
    pub fn members(&self) -> Vec<Member> {
        let pulls = |d: &&Daemon| !matches!(d.kind(), DaemonKind::Placement | DaemonKind::Proxy);
        self.names().iter().filter(pulls).map(|d| self.member(d)).collect()
    }
    pub fn tenant(n: usize) -> String {
        format!("tenant-{n:05}")
    }
    pub fn list(n: usize) -> String {
        format!("list-{n:04}")
    }

    pub fn config(&self) -> Value {
        let mut tenants: Vec<Value> =
            (0..self.tenants).map(|n| json!({"name": Shape::tenant(n), "template": "work", "share": 10})).collect();
        let lists: Vec<Value> = (0..self.lists)
            .map(|n| json!({"name": Shape::list(n), "partitions": self.parts, "service": "work", "attempts": 200}))
            .collect();
        let mut templates = vec![json!({"name": "work", "waitlists": lists})];
        let names: Vec<String> = (0..self.destinations).map(|n| format!("{n:07}")).collect();
        let mut endpoints: Vec<Value> = Vec::new();
        for (n, name) in names.iter().enumerate() {
            let address = format!("10.{}.{}.{}:8443", 100 + n % 100, 100 + n / 100 % 100, 100 + n / 10_000 % 100);
            endpoints.push(json!({"name": format!("destination-{name}"), "address": address, "path": "/inbox", "allowance": 10}));
        }
        for (n, some) in names.chunks(OF_TENANT).enumerate() {
            let name = format!("outside-{n:06}");
            tenants.push(json!({"name": name, "template": name, "share": 10}));
            templates.push(json!({"name": name, "waitlists": [
                {"name": "to-${each}", "each": some, "endpoint": "destination-${each}", "attempts": 200}]}));
        }
        json!({"templates": templates, "tenants": tenants, "services": [{"name": "work", "slots": 64, "warm_ms": 100}],
               "endpoints": endpoints})
    }

    /// As the primary writes it down: in one canonical form.
    pub fn config_text(&self) -> String {
        let read: Result<Config, _> = serde_json::from_value(self.config());
        read.ok().and_then(|c| serde_json::to_string(&c).ok()).unwrap_or_default()
    }

    /// The hard state of a fleet that has stood for a while: all members are
    /// taken in, the configuration is in force and write sets are laid out.
    pub fn hard(&self) -> PlacementState {
        let first = Version { term: Term(1), count: 1 };
        let config = self.config_text();
        let rules = dw_config::check::read(&config).map(|c| dw_config::prelude::compile(&c, first)).unwrap_or_default();
        let stores: Vec<Daemon> = self.names().into_iter().filter(|d| d.kind() == DaemonKind::Store).collect();
        let mut layout = BTreeMap::new();
        for place in rules.queues.values().flat_map(|r| r.partition_ids()) {
            let at = hash_of(place.to_string().as_bytes()) as usize;
            let set = (0..3.min(stores.len())).map(|n| &stores[(at + n) % stores.len()]).map(|d| (d.clone(), mark_of(d)));
            layout.insert(place, set.collect());
        }
        PlacementState {
            config,
            config_version: first,
            members: self.members().into_iter().map(|m| (m.id.clone(), m)).collect(),
            members_version: first,
            layout,
            ..PlacementState::default()
        }
    }

    /// One placement daemon's folder.
    pub fn folder(&self, d: &Daemon, hard: &PlacementState) -> Vec<(String, Bytes)> {
        let voter = |seed: &Daemon| {
            let member = self.member(seed);
            Voter { disk_id: mark_of(seed), address: member.addr, zone: member.zone }
        };
        let configuration = Configuration::simple(self.seeds().iter().map(|seed| (seed.clone(), voter(seed))).collect());
        let snapshot = Snapshot { index: 8, term: Term(1), configuration, data: encode(hard).into() };
        let stored: HardState<Order> =
            HardState { disk_id: mark_of(d), initialized: true, term: Term(1), vote: None, snapshot, log: Vec::new() };
        vec![(format!("hard-{:016x}", 1), Bytes::from(encode(&stored)))]
    }

    pub fn listed(&self) -> Bytes {
        let all: Vec<Value> = (0..self.workers)
            .map(|n| {
                let address = format!("10.{}.{}.{}:9000", 100 + n % 100, 100 + n / 100 % 100, 100 + n / 10_000 % 100);
                json!({"id": format!("worker-{n:06}"), "service": "work", "address": address,
                       "zone": format!("region-{}-zone-{}", n % 4, n % self.zones.max(1)), "state": "ready"})
            })
            .collect();
        Bytes::from(json!({ "workers": all }).to_string())
    }
}
