//! The operator adds a more specific route of the same service while messages with an ordering key
//! wait for their next attempt.
use crate::fleet::{ms, Fleet, Record};
use crate::http::{call, Request};
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const KEYS: u32 = 30;
/// The first message of each key fails so often; the route allows 6 attempts.
const FAILURES: u32 = 4;
/// How long a run takes.
const WORK: Duration = Duration::from_millis(15);
/// The rule's bound for a configuration to be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(3000);

struct Sent {
    id: String,
    key: String,
    sent_ms: u64,
    accepted_ms: Option<u64>,
}

fn send(fleet: &Fleet, record: &Record, n: u32, letter: char) -> Sent {
    let (id, key) = (format!("{letter}{n:07x}"), format!("sheet-{n}"));
    let proxies = fleet.of_role("proxy");
    let front = fleet.front(proxies[n as usize % proxies.len()]);
    let headers = vec![
        ("Host", HOST.to_string()),
        ("X-Dahliawick-Request-Id", id.clone()),
        ("X-Dahliawick-Deadline-Ms", "800".to_string()),
        ("X-Dahliawick-Order-Key", key.clone()),
    ];
    let sent_ms = ms(fleet.began);
    let got = call(front, "POST", "/zicu691/maps/edit", &headers, letter.to_string().as_bytes(), Duration::from_millis(800));
    let status = got.map_or(0, |r| r.status);
    record.say(format!("{id} with key {key} sent at {sent_ms} answered {status}"));
    Sent { id, key, sent_ms, accepted_ms: (status == 202).then(|| ms(fleet.began)) }
}

/// Sends one message of each key, all at once.
fn send_all(fleet: &Fleet, record: &Record, letter: char) -> Vec<Sent> {
    std::thread::scope(|scope| {
        let senders: Vec<_> = (0..KEYS).map(|n| scope.spawn(move || send(fleet, record, n, letter))).collect();
        senders.into_iter().map(|s| s.join().expect("a sender")).collect()
    })
}

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    // The first edit of a sheet fails a few times before it succeeds; the others succeed at once.
    let tries: Mutex<BTreeMap<String, u32>> = Mutex::default();
    let decide = Arc::new(move |_: &str, request: &Request, _: u32| {
        let id = request.header("X-Dahliawick-Request-Id").unwrap_or("").to_string();
        let mut tries = tries.lock().expect("tries");
        let count = tries.entry(id.clone()).or_default();
        *count += 1;
        match id.starts_with('a') && *count <= FAILURES {
            true => Act::Status(WORK, 500),
            false => Act::Done(WORK),
        }
    });
    world.add_workers(&fleet, "catalogue", 3, 4, 1, decide);
    fleet.start_all();
    let route = |name: &str, prefix: &str, timeout_ms: u64| Route {
        name: name.into(),
        prefix: prefix.into(),
        service: "catalogue".into(),
        timeout_ms,
        attempts: 6,
        ordered: true,
        callback: false,
    };
    let config = config_json(1, &[route("r-edit", "/zicu691/", 500)], &[service_json("catalogue", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(CONFIG_APPLY);
    let firsts = send_all(&fleet, &record, 'a');
    let change = match trouble() {
        true => route("r-maps", "/zicu691/maps/", 500),
        false => route("r-edit", "/zicu691/", 600),
    };
    let patch = format!("{{\"revision\":3,\"upsert\":{{\"routeTable\":[{}]}},\"remove\":{{}}}}", change.json());
    let answer = fleet.operate("PATCH", "/api/config", Some(1), &patch, Duration::from_secs(5));
    record.tell(format!("the change ({} at {}): {:?}", change.name, change.prefix, answer.as_ref().map(|a| a.status)));
    if answer.is_none_or(|a| a.status != 200) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_millis(100));
    let seconds = send_all(&fleet, &record, 'b');
    std::thread::sleep(Duration::from_secs(12));
    let (mut broken, mut pairs) = (0, 0);
    for (a, b) in firsts.iter().zip(&seconds) {
        let (Some(accepted), Some(_)) = (a.accepted_ms, b.accepted_ms) else { continue };
        let (runs_a, runs_b) = (world.runs_of(&a.id), world.runs_of(&b.id));
        let Some(begun) = runs_b.iter().map(|r| r.began_ms).min() else { continue };
        let done = runs_a.iter().filter(|r| r.status == 200).map(|r| r.ended_ms).min();
        pairs += 1;
        let is_broken = accepted <= b.sent_ms && done.is_none_or(|at| begun < at);
        broken += u32::from(is_broken);
        record.say(format!(
            "{}: {} accepted at {accepted}, {} attempts, succeeded at {done:?}; {} sent at {}, began at {begun}{}",
            a.key,
            a.id,
            runs_a.len(),
            b.id,
            b.sent_ms,
            if is_broken { ": ORDER" } else { "" }
        ));
    }
    record.tell(format!("{broken} of {pairs} later edits began before the earlier one of their key had ended"));
    record.write();
    if pairs < 20 {
        return Verdict::CouldNotRun;
    }
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
