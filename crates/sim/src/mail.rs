//! Callers of routed messages and the operator of their configurations, as small
//! states moved by the world's events.
use crate::prelude::*;
use serde_json::{json, Value};

pub const HOST: &str = "parcels.example";

/// How a script wants routed messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Routing {
    /// Keys of the ordered routes.
    pub keys: u64,
    /// Delayed messages, in a hundred unordered ones.
    pub delayed: u64,
    /// How long a message is worth a run.
    pub worth: Span,
    /// Daemons keep the times of a startup file without any, not those of
    /// the templates.
    pub usual: bool,
    /// The route `/turns/` is split and merged by the changes of the configuration.
    pub splits: bool,
    /// The first configuration has a route of its own for each part of `/turns/`.
    pub parts: bool,
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { keys: 300, delayed: 10, worth: Span::secs(90), usual: false, splits: false, parts: false }
    }
}

/// A message its caller still tries to hand in.
#[derive(Clone, Debug)]
pub struct Trying {
    pub path: String,
    pub key: String,
    pub body: Bytes,
    pub delay: Span,
    pub desk: String,
    /// The zone of its caller.
    pub zone: u64,
    /// No further try after this.
    pub until: Time,
    pub tries: u32,
    /// Sent straight to this proxy, to see which configuration it obeys.
    pub trial: Option<Daemon>,
    /// The sending under way.
    pub post: usize,
}

/// An operator's order that is sent until it gets a clear answer.
#[derive(Clone, Debug)]
pub struct Ordering {
    pub ask: ApiRequest,
    pub what: What,
    /// Which placement daemon is asked next, by its place on the list.
    pub to: usize,
    pub tries: u32,
    pub over: bool,
    /// The sending that is awaited.
    pub awaited: u32,
    /// The sending that is awaited, in the control history.
    pub operation: usize,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A configuration, by its place among those stated.
    Config(usize),
    Empty(String),
    Restore(String),
    /// The configuration is read back at the end.
    Show,
    /// The configuration is read back during the run.
    Read,
}

/// Invariant: of `names` there is one for each message that was accepted.
#[derive(Default)]
pub struct Mail {
    pub on: bool,
    pub routing: Routing,
    pub tries: Vec<Trying>,
    pub orders: Vec<Ordering>,
    pub names: BTreeMap<usize, String>,
    /// Probes in a row that each proxy missed.
    pub missed: BTreeMap<Daemon, u32>,
    /// The configuration the operator holds for the newest.
    pub config: Value,
    pub revision: u64,
    pub acked: u64,
    /// Routes added during the run, by name.
    pub extra: Vec<String>,
    /// Numbers of routes that were taken out again.
    pub taken_out: Vec<u64>,
    pub changes: u64,
    pub pace: Option<Span>,
    pub read_back: bool,
    /// Messages whose end has been told to someone.
    pub shut: BTreeSet<usize>,
    pub calm: u32,
    /// Told to end in order.
    pub leaving: BTreeSet<Daemon>,
    /// To be started once it has ended.
    pub anew: BTreeSet<Daemon>,
    /// Down since when, unplanned.
    pub down: BTreeMap<Daemon, Time>,
    /// Trouble that lasts, by its name: since when, and on whom.
    pub open: BTreeMap<String, (Time, Option<String>)>,
    pub list_since: Option<Time>,
}

fn route(name: &str, prefix: &str, service: &str, attempt: u64, worth: Span, more: Value) -> Value {
    let mut r = json!({"name": name, "host": HOST, "prefix": prefix, "service": service, "attempts": 4,
        "attempt_ms": attempt, "worth_ms": worth.as_millis(), "priority": 2, "verdict_ms": 120, "start_ms": 1200, "doc": ""});
    if let (Some(r), Some(more)) = (r.as_object_mut(), more.as_object()) {
        r.extend(more.clone());
    }
    r
}

/// An ordered route to the service `records`.
fn turns_route(name: &str, prefix: &str, worth: Span) -> Value {
    route(name, prefix, "records", 1000, worth, json!({"ordered": true, "attempts": 6, "priority": 1}))
}

/// The prefixes of the parts of `/turns/`.
const TURNS_PARTS: [&str; 3] = ["/turns/b/", "/turns/c/", "/turns/d/"];

/// A path below one of the parts, or below none.
pub fn turns_path(draw: u64) -> String {
    match TURNS_PARTS.get(draw as usize) {
        Some(part) => format!("{part}x"),
        None => "/turns/a?b=c".into(),
    }
}

/// How many draws there are for the paths and changes below `/turns/`.
pub const TURNS_DRAWS: u64 = 6;

/// A change of the routes below `/turns/`, whose prefixes by name are given: one is split off,
/// a route narrows while another takes the rest, or two become one. No change drops a
/// waiting message: its pattern stays, or its route's name does.
pub fn split_or_merge(prefixes: &BTreeMap<String, String>, draw: u64, worth: Span) -> Value {
    const WHOLE: &str = "/turns/";
    const NAMES: [&str; 5] = ["turns", "turns-b", "turns-c", "turns-d", "turns-e"];
    let part_prefix = TURNS_PARTS[draw as usize % TURNS_PARTS.len()];
    let of = |prefix: &str| prefixes.iter().find(|entry| entry.1 == prefix).map(|entry| entry.0.clone());
    let unused = NAMES.into_iter().find(|name| !prefixes.contains_key(*name)).unwrap_or("turns");
    let routes = match (of(WHOLE), of(part_prefix)) {
        // The route of the part gets the prefix of both, and the other one goes.
        (Some(whole), Some(part)) => vec![json!({"name": whole, "remove": true}), turns_route(&part, WHOLE, worth)],
        // The whole narrows, and a new route has its prefix.
        (Some(whole), None) if draw < TURNS_PARTS.len() as u64 => {
            vec![turns_route(&whole, part_prefix, worth), turns_route(unused, WHOLE, worth)]
        }
        _ => vec![turns_route(unused, part_prefix, worth)],
    };
    json!({"routes": routes})
}

/// A route that comes and goes; every third one is ordered.
pub fn extra_route(n: u64, worth: Span) -> Value {
    let ordered = n.is_multiple_of(3);
    let service = if ordered { "ledgers" } else { "sheets" };
    let more = json!({"attempts": 3, "ordered": ordered, "call_back": !ordered});
    route(&format!("extra-{n}"), &format!("/extra/{n}/"), service, 1500 + n, worth, more)
}

/// The configuration of a deployment that only passes routed messages on.
pub fn routed_config(routing: &Routing) -> Value {
    let worth = routing.worth;
    let services: Vec<Value> = TRADES
        .iter()
        .map(|t| {
            let address =
                if t.listed == 0 { format!("10.9.1.{}:80", t.name.rsplit('-').next().unwrap_or("1")) } else { String::new() };
            json!({"name": t.name, "warm_ms": t.cold.as_millis().max(1), "address": address, "rate": t.rate,
                "cold_rate": t.cold_rate, "connections": 100, "health": "/health", "dedup": t.dedup})
        })
        .collect();
    let mut routes = vec![
        route("bulk", "/bulk/", "sheets", 2500, worth, json!({"call_back": true})),
        turns_route("turns", "/turns/", worth),
        route("steps", "/steps/", "ledgers", 1200, worth, json!({"ordered": true, "attempts": 6, "priority": 1})),
    ];
    for (part, name) in TURNS_PARTS.iter().zip(["turns-b", "turns-c", "turns-d"]).filter(|_| routing.parts) {
        routes.push(turns_route(name, part, worth));
    }
    for n in 1..=3 {
        routes.push(route(
            &format!("push-{n}"),
            &format!("/push/{n}/"),
            &format!("site-{n}"),
            2000,
            worth,
            json!({"call_back": n == 1}),
        ));
    }
    json!({"revision": 0, "routes": routes, "services": services})
}
