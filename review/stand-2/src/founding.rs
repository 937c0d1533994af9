//! One storage machine is killed while a new deployment starts for the first time.
use crate::fleet::{ms, Fleet, Record};
use crate::http::{call, Request};
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{trouble, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The first machine starts so long before the others (the pages: 0.3 s at most).
const HEAD_START: Duration = Duration::from_millis(290);
/// It is killed so long after its own start.
const KILLED_AFTER: Duration = Duration::from_millis(200);
/// It starts again after this.
const DOWN: Duration = Duration::from_millis(500);
/// How long the operator and the clients go on.
const WATCHED: Duration = Duration::from_secs(60);

fn wait_until(began: Instant, at: Duration) {
    std::thread::sleep(at.saturating_sub(began.elapsed()));
}

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Done(Duration::from_millis(40)));
    world.add_workers(&fleet, "tile-server", 6, 12, 1, decide);
    let began = Instant::now();
    fleet.add("placement", 0, 1, true);
    fleet.add("store", 0, 1, true);
    record.tell("storage-agdal-1 starts for the first time");
    let first = [fleet.find("placement", "storage-agdal-1"), fleet.find("store", "storage-agdal-1")];
    if trouble() {
        wait_until(began, KILLED_AFTER);
        let running = first.iter().all(|at| !fleet.has_ended(*at));
        first.iter().for_each(|at| fleet.kill(*at));
        record.tell(format!("both processes of storage-agdal-1 are killed; they ran: {running}"));
        if !running {
            record.write();
            return Verdict::CouldNotRun;
        }
    }
    wait_until(began, HEAD_START);
    for zone in 1..3 {
        fleet.add("placement", zone, 1, true);
        fleet.add("store", zone, 1, true);
    }
    for zone in 0..3 {
        fleet.add("delivery", zone, 2, true);
        fleet.add("proxy", zone, 10, true);
        fleet.add("agent", zone, 10, true);
    }
    record.tell("the other machines start for the first time");
    if trouble() {
        wait_until(began, KILLED_AFTER + DOWN);
        first.iter().for_each(|at| fleet.start(*at));
        record.tell("storage-agdal-1 starts again, with its disk and with bootstrap false");
    }
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
    let (mut acknowledged, mut sent, mut accepted) = (None, 0, 0);
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let end = Instant::now() + WATCHED;
    let mut count = 0u32;
    while Instant::now() < end && accepted < 50 {
        if acknowledged.is_none() {
            let answer = fleet.operate("PUT", "/api/config", Some(0), &config, Duration::from_millis(1500));
            if answer.as_ref().is_some_and(|a| a.status == 200) {
                acknowledged = Some(ms(fleet.began));
                record.tell("the first configuration is acknowledged");
            }
        }
        for front in &fronts {
            count += 1;
            let headers = vec![
                ("Host", HOST.to_string()),
                ("X-Dahliawick-Request-Id", format!("f{count:07x}")),
                ("X-Dahliawick-Deadline-Ms", "800".to_string()),
            ];
            sent += 1;
            let got = call(*front, "POST", "/nypu660/sheet", &headers, b"sheet", Duration::from_millis(800));
            let status = got.map_or(0, |r| r.status);
            accepted += u32::from(status == 202);
            record.say(format!("f{count:07x} answered {status}"));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    for zone in 0..3 {
        let addr = format!("{}:{}", fleet.ip(zone, 1), fleet.ports.control).parse().expect("an address");
        let got = call(addr, "GET", "/api/config", &[("Host", addr.to_string())], b"", Duration::from_secs(1));
        record.tell(format!("GET /api/config at storage machine {}: {:?}", zone + 1, got.map(|r| r.status)));
    }
    std::thread::sleep(Duration::from_secs(1));
    let runs = world.runs.lock().expect("runs").len();
    record.tell(format!(
        "{sent} requests sent in {} s, {accepted} accepted, {runs} run; configuration acknowledged: {acknowledged:?}",
        began.elapsed().as_secs()
    ));
    record.write();
    if accepted == 0 || runs == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
