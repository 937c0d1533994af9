//! Storage machines are stopped and started in turn while messages fail at each run.
use crate::fleet::{ms, Fleet, Record, SIGTERM};
use crate::http::{call, Request};
use crate::upload::GRACE;
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

const MESSAGES: u32 = 40;
const MAX_RETRIES: u32 = 6;
/// The rule's bound: three times `maxRetries` answers of 500.
const BOUND: usize = 3 * MAX_RETRIES as usize;
/// How long a run takes; the route's timeout is 2,500 ms.
const WORK: Duration = Duration::from_millis(2300);
const WATCHED: Duration = Duration::from_secs(64);
/// Each of the three storage machines is stopped twice, one at a time.
const STOPS: usize = 6;
/// From one stop to the next; a machine that is back counts again after `syncTimeS`, 4.2 s.
const BETWEEN_STOPS: Duration = Duration::from_secs(7);

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    // These messages fail every time.
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Status(WORK, 500));
    world.add_workers(&fleet, "catalogue", 6, 12, 1, decide);
    fleet.start_all();
    let route = Route {
        name: "r-edit".into(),
        prefix: "/zicu691/".into(),
        service: "catalogue".into(),
        timeout_ms: 2500,
        attempts: MAX_RETRIES,
        ordered: false,
        callback: false,
    };
    let config = config_json(1, &[route], &[service_json("catalogue", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let mut accepted = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("d{n:07x}");
        let headers = vec![
            ("Host", HOST.to_string()),
            ("X-Dahliawick-Request-Id", id.clone()),
            ("X-Dahliawick-Deadline-Ms", "800".to_string()),
        ];
        let got = call(fronts[n as usize % 3], "POST", "/zicu691/edit", &headers, b"edit", Duration::from_millis(800));
        let status = got.map_or(0, |r| r.status);
        record.say(format!("{id} answered {status}"));
        if status == 202 {
            accepted.push(id);
        }
    }
    record.tell(format!("{} of {MESSAGES} messages are accepted", accepted.len()));
    let (stores, placements) = (fleet.of_role("store"), fleet.of_role("placement"));
    let end = Instant::now() + WATCHED;
    let mut next_stop = Instant::now() + Duration::from_secs(8);
    let mut turn = 0;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(50));
        if !trouble() || turn == STOPS || Instant::now() < next_stop {
            continue;
        }
        let n = turn % 3;
        turn += 1;
        let both = [stores[n], placements[n]];
        let since = Instant::now();
        record.tell(format!("SIGTERM to both processes of {}", fleet.processes[stores[n]].machine));
        both.iter().for_each(|p| fleet.signal(*p, SIGTERM));
        while !both.iter().all(|p| fleet.has_ended(*p)) {
            if since.elapsed() >= GRACE {
                both.iter().for_each(|p| fleet.kill(*p));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        record.tell(format!("they have ended {} ms after SIGTERM and start again", since.elapsed().as_millis()));
        std::thread::sleep(Duration::from_millis(300));
        both.iter().for_each(|p| fleet.start(*p));
        next_stop = since + BETWEEN_STOPS;
    }
    let now = ms(fleet.began);
    let mut over = 0;
    for id in &accepted {
        let mut runs = world.runs_of(id);
        runs.sort_by_key(|r| r.began_ms);
        let mut ends: Vec<u64> = runs.iter().filter(|r| r.status == 500).map(|r| r.ended_ms).collect();
        ends.sort();
        // A run that began after as many answers of 500 as the rule allows.
        let late = ends.get(BOUND - 1).and_then(|at| runs.iter().find(|r| r.began_ms > *at));
        over += u32::from(late.is_some());
        record.say(format!(
            "{id}: {} answers of 500, runs began at {:?}{}",
            ends.len(),
            runs.iter().map(|r| r.began_ms).collect::<Vec<_>>(),
            late.map_or(String::new(), |r| format!("; began again at {} ms: BUDGET", r.began_ms))
        ));
    }
    let most = accepted.iter().map(|id| world.runs_of(id).len()).max().unwrap_or(0);
    record.tell(format!(
        "{over} of {} messages began again after {BOUND} answers of 500 ({MAX_RETRIES} are allowed a message); most runs of one: {most}; {turn} stops; ended at {now} ms",
        accepted.len()
    ));
    record.write();
    if accepted.len() < 30 {
        return Verdict::CouldNotRun;
    }
    if over > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
