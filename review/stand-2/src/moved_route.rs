//! The operator replaces a route by its name, with another prefix, while its messages wait.
use crate::fleet::{Fleet, Record};
use crate::http::{call, Request};
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const MESSAGES: u32 = 60;
const DELAY_MS: u64 = 5_000;
const WATCHED: Duration = Duration::from_secs(25);

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet, &record);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Done(Duration::from_millis(100)));
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
    let config = config_json(1, &[route.clone()], &[service_json("tile-server", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let mut accepted: Vec<(String, String)> = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("d{n:07x}");
        let headers = vec![
            ("Host", HOST.to_string()),
            ("X-Dahliawick-Request-Id", id.clone()),
            ("X-Dahliawick-Deadline-Ms", "800".to_string()),
            ("X-Dahliawick-Delay-Ms", DELAY_MS.to_string()),
        ];
        let got = call(fronts[n as usize % fronts.len()], "POST", "/nypu660/sheet", &headers, b"sheet", Duration::from_millis(800));
        let status = got.as_ref().map_or(0, |r| r.status);
        record.say(format!("{id} answered {status}"));
        if let Some(name) = got.ok().filter(|r| r.status == 202).and_then(|r| r.header("x-dahliawick-message-id").map(String::from)) {
            accepted.push((id, name));
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    record.tell(format!("{} of {MESSAGES} messages are accepted", accepted.len()));
    let replaced = match trouble() {
        true => Route { prefix: "/nypu661/".into(), ..route },
        false => Route { timeout_ms: 1600, ..route },
    };
    let patch = format!("{{\"revision\":3,\"upsert\":{{\"routeTable\":[{}]}},\"remove\":{{}}}}", replaced.json());
    let answer = fleet.operate("PATCH", "/api/config", Some(1), &patch, Duration::from_secs(5));
    record.tell(format!("the route r-tile is replaced by its name ({}): {:?}", replaced.prefix, answer.as_ref().map(|a| a.status)));
    if answer.is_none_or(|a| a.status != 200) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(WATCHED);
    let (mut dead, mut ran) = (0, 0);
    for (id, name) in &accepted {
        let runs = world.runs_of(id).len();
        ran += u32::from(runs > 0);
        let got = call(fronts[0], "GET", &format!("/api/message/{name}"), &[("Host", HOST.to_string())], b"", Duration::from_secs(2));
        let state = got.map_or(String::new(), |r| String::from_utf8_lossy(&r.body).into_owned());
        dead += u32::from(runs == 0 && state.contains("dead_letter"));
        record.say(format!("{id}: {runs} runs, state {state}"));
    }
    record.tell(format!("{ran} have run; {dead} have never run and are told as dead_letter"));
    record.write();
    if accepted.len() < 50 {
        return Verdict::CouldNotRun;
    }
    if dead > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
