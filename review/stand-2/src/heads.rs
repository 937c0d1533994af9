//! Clients whose request heads are long, within the bound of the configuration, while the platform
//! ends every process that takes more memory than its machine gives it.
use crate::fleet::{Fleet, Record};
use crate::http::{call, Request};
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 40;
const LOAD: Duration = Duration::from_secs(75);

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet, &record);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Done(Duration::from_millis(20)));
    world.add_workers(&fleet, "tile-server", 6, 12, 1, decide);
    fleet.start_all();
    let route = Route {
        name: "r-tile".into(),
        prefix: "/nypu660/".into(),
        service: "tile-server".into(),
        timeout_ms: 1500,
        attempts: 3,
        ordered: false,
        callback: false,
    };
    let config = config_json(1, &[route], &[service_json("tile-server", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    let long = if trouble() { std::env::var("HEAD").ok().and_then(|v| v.parse().ok()).unwrap_or(12_000) } else { 200 };
    let query = "k".repeat(long);
    let over = Arc::new(AtomicBool::new(false));
    let sent = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let accepted: Arc<Mutex<Vec<String>>> = Arc::default();
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (over, sent, answers, accepted, fronts, query) =
            (over.clone(), sent.clone(), answers.clone(), accepted.clone(), fronts.clone(), query.clone());
        clients.push(std::thread::spawn(move || {
            let mut count = 0u64;
            while !over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{n:04x}{count:08x}");
                let headers = vec![
                    ("Host", HOST.to_string()),
                    ("X-Dahliawick-Request-Id", id.clone()),
                    ("X-Dahliawick-Deadline-Ms", "800".to_string()),
                ];
                let front = fronts[(n + count) as usize % fronts.len()];
                sent.fetch_add(1, Ordering::Relaxed);
                let path = format!("/nypu660/sheet?q={query}");
                let began = Instant::now();
                let got = call(front, "POST", &path, &headers, &[b'b'; 600], Duration::from_millis(800));
                let status = got.as_ref().map_or(0, |r| r.status);
                *answers.lock().expect("answers").entry(status).or_default() += 1;
                if let Some(name) = got.ok().filter(|r| r.status == 202).and_then(|r| r.header("x-dahliawick-message-id").map(String::from)) {
                    accepted.lock().expect("accepted").push(name);
                }
                std::thread::sleep(Duration::from_millis(200).saturating_sub(began.elapsed()));
            }
        }));
    }
    let mut kills: BTreeMap<String, u32> = BTreeMap::new();
    let mut peak: BTreeMap<String, f64> = BTreeMap::new();
    let mut down: Vec<(usize, Instant)> = Vec::new();
    let end = Instant::now() + LOAD;
    let mut shown = Instant::now();
    let all: Vec<usize> = (0..fleet.processes.len()).collect();
    while Instant::now() < end {
        for at in &all {
            if fleet.processes[*at].child.is_none() {
                continue;
            }
            let name = format!("{} {}", fleet.processes[*at].machine, fleet.processes[*at].role);
            if fleet.has_ended(*at) {
                record.tell(format!("{name} ended by itself"));
                *kills.entry(name).or_default() += 1;
                down.push((*at, Instant::now()));
                continue;
            }
            let mb = fleet.memory_mb(*at);
            let most = peak.entry(name.clone()).or_default();
            *most = most.max(mb);
            if mb > fleet.processes[*at].memory_mb as f64 && std::env::var("NOKILL").is_err() {
                fleet.kill(*at);
                *kills.entry(name.clone()).or_default() += 1;
                record.tell(format!("{name} takes {mb:.0} MB of {}: the platform ends it", fleet.processes[*at].memory_mb));
                down.push((*at, Instant::now()));
            }
        }
        down.retain(|(at, since)| {
            if since.elapsed() < Duration::from_millis(500) {
                return true;
            }
            fleet.start(*at);
            false
        });
        if shown.elapsed() > Duration::from_secs(5) {
            shown = Instant::now();
            let stores: Vec<String> = fleet.of_role("store").iter().map(|s| format!("{:.0}", fleet.memory_mb(*s))).collect();
            record.tell(format!("sent {}, accepted {}, stores at {} MB", sent.load(Ordering::Relaxed), accepted.lock().expect("accepted").len(), stores.join(" ")));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    over.store(true, Ordering::Relaxed);
    for c in clients {
        let _ = c.join();
    }
    record.tell(format!("answers: {:?}", answers.lock().expect("answers")));
    record.tell(format!("peaks in MB: {peak:.0?}"));
    record.tell(format!("ended: {kills:?}"));
    record.write();
    let machines = kills.values().filter(|n| **n >= 3).count();
    if accepted.lock().expect("accepted").len() < 1000 {
        return Verdict::CouldNotRun;
    }
    if machines >= 2 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
