//! A small house: three zones, the five kinds of daemon, and its charter.
use crate::prelude::*;
use dw_delivery::prelude::{Delivery, Startup as Carry};
use dw_ingest::prelude::{Agent, Proxy, Startup as Edge};
use dw_placement::prelude::{ElectionPace, Placement, Startup as Place};
use dw_waitlist::prelude::{Startup as Keep, Store};
use serde_json::{json, Value};

pub const WORKERS: [(&str, usize); 2] = [("sheets", 6), ("records", 3)];
/// What a worker of each service runs at once, and how long a fresh one warms.
pub const SLOTS: [(&str, u32); 2] = [("sheets", 6), ("records", 12)];
pub const WARM: Span = Span::secs(8);
pub const ENDPOINTS: [&str; 3] = ["library-1", "library-2", "desk-1"];

pub fn names() -> Vec<Daemon> {
    ["placement", "store", "delivery", "agent", "proxy"]
        .iter()
        .flat_map(|k| (1..=3).map(move |n| Daemon(format!("{k}-{n}"))))
        .collect()
}

/// `store-2` stands in `z2`, `sheets-4` in `z1`.
pub fn zone_of(name: &str) -> Zone {
    let n: usize = name.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(1);
    Zone(format!("z{}", (n - 1) % 3 + 1))
}

/// The house's charter, with what scenarios vary.
pub fn charter(shares: &[(String, u32)]) -> Value {
    let tenants: Vec<Value> = shares.iter().map(|(n, s)| json!({"name": n, "template": "house", "share": s})).collect();
    json!({
        "templates": [{"name": "house", "waitlists": [
            {"name": "sheets", "partitions": 2, "service": "sheets", "desks": ["desk-1"], "attempts": 8, "attempt_ms": 1500},
            {"name": "records", "partitions": 2, "ordered": true, "service": "records", "attempts": 200, "attempt_ms": 1500},
            {"name": "notices-${each}", "each": ["1", "2"], "endpoint": "library-${each}", "attempts": 200, "attempt_ms": 1500},
        ]}],
        "tenants": tenants,
        "services": SLOTS.map(|(name, slots)| json!({"name": name, "slots": slots, "warm_ms": WARM.as_millis()})),
        "endpoints": [
            {"name": "library-1", "address": "10.9.0.1:80", "path": "/inbox"},
            {"name": "library-2", "address": "10.9.0.2:80", "path": "/inbox"},
            {"name": "desk-1", "address": "10.9.0.3:80", "path": "/inbox", "allowance": 400, "slots": 32},
        ],
    })
}

pub fn member(id: &Daemon, life: u64) -> Member {
    Member {
        id: id.clone(),
        zone: zone_of(id.as_str()),
        addr: format!("{id}:7000"),
        http: format!("{id}:8000"),
        life: Mark(life),
        disk: Mark(0),
    }
}

/// Makes a daemon's core as its program does.
pub fn build(
    id: &Daemon,
    life: u64,
    files: Vec<(String, Bytes)>,
    found: bool,
    seed: u64,
    bounds: (usize, u64),
    now: Time,
) -> (Box<dyn Core>, Vec<Effect>) {
    let me = member(id, life);
    let seeds: Vec<Daemon> = (1..=3).map(|n| Daemon(format!("placement-{n}"))).collect();
    let pull = Span::millis(400);
    let terms = Terms::default();
    let fresh = Mark(hash_of(format!("{id} {life} {seed}").as_bytes()) | 1);
    let seed = seed ^ hash_of(id.as_str().as_bytes()) ^ life;
    match id.kind() {
        Kind::Placement => {
            let s = Place {
                siblings: seeds.into_iter().filter(|d| d != id).collect(),
                me,
                terms,
                election: ElectionPace::default(),
                window: Span::millis(1000),
                hold: Span::millis(3200),
                charter_lease: Span::millis(2500),
                platform: "platform:80/workers".into(),
                poll: Span::millis(1000),
                seed,
            };
            let (c, e) = Placement::new(s, files, fresh, found, now);
            (Box::new(c), e)
        }
        Kind::Store => {
            let s = Keep {
                me,
                seeds,
                pull,
                terms,
                bytes_max: 64 << 20,
                count_max: bounds.0 as u64,
                backoff: Span::millis(200),
                backoff_max: Span::secs(5),
                seed,
            };
            let (c, e) = Store::new(s, files, fresh, now);
            (Box::new(c), e)
        }
        Kind::Delivery => (Box::new(Delivery::new(Carry { me, seeds, pull, terms, hands_max: 2048, seed }, now)), Vec::new()),
        Kind::Agent => (Box::new(Agent::new(me, seeds, pull, terms)), Vec::new()),
        Kind::Proxy | Kind::Other => {
            let n = id.as_str().rsplit('-').next().unwrap_or("1");
            let s = Edge {
                me,
                agent: Daemon(format!("agent-{n}")),
                pull: Span::millis(200),
                terms,
                seats: bounds.1,
                second: Span::millis(400),
                limit: Span::millis(2000),
            };
            (Box::new(Proxy::new(s)), Vec::new())
        }
    }
}
