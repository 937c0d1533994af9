//! The operator removes the last route while messages that are owed a call-back are under way.
use crate::fleet::{ms, Fleet, Record};
use crate::http::{self, call, Request, Response};
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MESSAGES: u32 = 90;
/// How long a run takes; the route's timeout is 2,500 ms.
const WORK: Duration = Duration::from_millis(2000);
/// After the last run; the rule asks for 10 s, and for 6 s of calm.
const WATCHED: Duration = Duration::from_secs(40);
const DONE_BEFORE_MS: u64 = 10_000;
const SILENT_MS: u64 = 3_000;

/// A receiver of call-backs that takes each at once: by id, when the first came.
pub type Backs = Arc<Mutex<BTreeMap<String, u64>>>;

pub fn serve_receiver(fleet: &Fleet, record: &Record) -> (SocketAddr, Backs) {
    let backs = Backs::default();
    let receiver: SocketAddr = format!("127.{}.8.100:{}", fleet.net, fleet.ports.worker).parse().expect("an address");
    let (seen, record, began) = (backs.clone(), record.clone(), fleet.began);
    http::serve(receiver, move |request, conn| {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let id = text.split("\"instanceId\":\"").nth(1).and_then(|r| r.split('"').next()).unwrap_or("").to_string();
        record.say(format!("call-back at {}: {text}", request.path));
        seen.lock().expect("call-backs").entry(id).or_insert(ms(began));
        conn.respond(&Response::new(200))
    })
    .expect("the receiver's address");
    (receiver, backs)
}

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Done(WORK));
    world.add_workers(&fleet, "tile-server", 9, 12, 1, decide);
    let (receiver, backs) = serve_receiver(&fleet, &record);
    fleet.start_all();
    let route = Route {
        name: "r-tile".into(),
        prefix: "/nypu660/".into(),
        service: "tile-server".into(),
        timeout_ms: 2500,
        attempts: 3,
        ordered: false,
        callback: true,
    };
    let config = config_json(1, &[route], &[service_json("tile-server", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let mut accepted: Vec<(String, String)> = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("b{n:07x}");
        let headers = vec![
            ("Host", HOST.to_string()),
            ("X-Dahliawick-Request-Id", id.clone()),
            ("X-Dahliawick-Deadline-Ms", "800".to_string()),
            ("X-Dahliawick-Callback-Url", format!("http://{receiver}/done")),
        ];
        let got =
            call(fronts[n as usize % fronts.len()], "POST", "/nypu660/sheet", &headers, b"sheet", Duration::from_millis(800));
        let status = got.as_ref().map_or(0, |r| r.status);
        record.say(format!("{id} answered {status}"));
        if let Some(name) =
            got.ok().filter(|r| r.status == 202).and_then(|r| r.header("x-dahliawick-message-id").map(String::from))
        {
            accepted.push((id, name));
        }
        std::thread::sleep(Duration::from_millis(15));
    }
    record.tell(format!("{} of {MESSAGES} messages are accepted", accepted.len()));
    if trouble() {
        let patch = "{\"revision\":3,\"upsert\":{},\"remove\":{\"routeTable\":[\"r-tile\"]}}";
        let answer = fleet.operate("PATCH", "/api/config", Some(1), patch, Duration::from_secs(5));
        record.tell(format!("the route is removed: {:?}", answer.as_ref().map(|a| a.status)));
        if answer.is_none_or(|a| a.status != 200) {
            record.write();
            return Verdict::CouldNotRun;
        }
    }
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        std::thread::sleep(Duration::from_secs(5));
        record.tell(format!("{} messages were called back", backs.lock().expect("call-backs").len()));
    }
    let now = ms(fleet.began);
    let backs = backs.lock().expect("call-backs").clone();
    let last_back = backs.values().max().copied().unwrap_or(0);
    let (mut done_unanswered, mut done) = (0, 0);
    for (id, name) in &accepted {
        let run = world.runs_of(id).into_iter().find(|r| r.status == 200);
        let Some(run) = run else { continue };
        done += 1;
        if backs.contains_key(id) || run.ended_ms + DONE_BEFORE_MS > now {
            continue;
        }
        done_unanswered += 1;
        if done_unanswered <= 5 {
            let got = call(
                fronts[0],
                "GET",
                &format!("/api/message/{name}"),
                &[("Host", HOST.to_string())],
                b"",
                Duration::from_secs(2),
            );
            let state = got.map(|r| format!("{} {}", r.status, String::from_utf8_lossy(&r.body)));
            record.tell(format!(
                "{id} ({name}) was done at {} ms ({}), never called back; its state: {state:?}",
                run.ended_ms, run.seal
            ));
        }
    }
    let ended_else = accepted.iter().filter(|(id, _)| world.runs_of(id).is_empty() && !backs.contains_key(id)).count();
    record.tell(format!(
        "done {done}; done over 10 s ago and never called back {done_unanswered}; never run and never called back {ended_else}; the last call-back came {} ms ago",
        now.saturating_sub(last_back)
    ));
    record.write();
    if accepted.len() < 80 {
        return Verdict::CouldNotRun;
    }
    if done_unanswered >= 3 && now > last_back + SILENT_MS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
