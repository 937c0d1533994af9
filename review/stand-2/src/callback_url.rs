//! Clients whose call-back URL has a query and no path, beside others at the same receiver.
use crate::fleet::{ms, Fleet, Record};
use crate::http::{call, Request};
use crate::last_route::serve_receiver;
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const MESSAGES: u32 = 120;
/// One message in so many names its receiver by a URL without a path.
const ONE_IN: u32 = 4;
const WATCHED: Duration = Duration::from_secs(35);
const DONE_BEFORE_MS: u64 = 10_000;
const SILENT_MS: u64 = 3_000;

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &Request, _: u32| Act::Done(Duration::from_millis(100)));
    world.add_workers(&fleet, "tile-server", 6, 12, 1, decide);
    let (receiver, backs) = serve_receiver(&fleet, &record);
    fleet.start_all();
    let route = Route {
        name: "r-tile".into(),
        prefix: "/nypu660/".into(),
        service: "tile-server".into(),
        timeout_ms: 1500,
        attempts: 3,
        ordered: false,
        callback: true,
    };
    let config = config_json(1, &[route], &[service_json("tile-server", None, 0.0)]);
    if !begin(&fleet, &record, &config) {
        record.write();
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = fleet.of_role("proxy").iter().map(|p| fleet.front(*p)).collect();
    let mut accepted: Vec<(String, String, bool)> = Vec::new();
    for n in 0..MESSAGES {
        let id = format!("c{n:07x}");
        let has_query = n % ONE_IN == 0;
        let url = match (has_query, trouble()) {
            (false, _) => format!("http://{receiver}/done"),
            (true, true) => format!("http://{receiver}?desk={n}"),
            (true, false) => format!("http://{receiver}/?desk={n}"),
        };
        let headers = vec![
            ("Host", HOST.to_string()),
            ("X-Dahliawick-Request-Id", id.clone()),
            ("X-Dahliawick-Deadline-Ms", "800".to_string()),
            ("X-Dahliawick-Callback-Url", url.clone()),
        ];
        let got =
            call(fronts[n as usize % fronts.len()], "POST", "/nypu660/sheet", &headers, b"sheet", Duration::from_millis(800));
        let status = got.as_ref().map_or(0, |r| r.status);
        record.say(format!("{id} with {url} answered {status}"));
        if let Some(name) =
            got.ok().filter(|r| r.status == 202).and_then(|r| r.header("x-dahliawick-message-id").map(String::from))
        {
            accepted.push((id, name, has_query));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    record.tell(format!("{} of {MESSAGES} messages are accepted", accepted.len()));
    std::thread::sleep(WATCHED);
    let now = ms(fleet.began);
    let backs = backs.lock().expect("call-backs").clone();
    let last_back = backs.values().max().copied().unwrap_or(0);
    let (mut unanswered, mut shown) = ([0, 0], 0);
    for (id, name, has_query) in &accepted {
        let Some(run) = world.runs_of(id).into_iter().find(|r| r.status == 200) else { continue };
        if backs.contains_key(id) || run.ended_ms + DONE_BEFORE_MS > now {
            continue;
        }
        unanswered[usize::from(*has_query)] += 1;
        shown += 1;
        if shown <= 5 {
            let got = call(
                fronts[0],
                "GET",
                &format!("/api/message/{name}"),
                &[("Host", HOST.to_string())],
                b"",
                Duration::from_secs(2),
            );
            let state = got.map(|r| format!("{} {}", r.status, String::from_utf8_lossy(&r.body)));
            record.tell(format!("{id} was done at {} ms ({}), never called back; its state: {state:?}", run.ended_ms, run.seal));
        }
    }
    record.tell(format!(
        "called back {}; done over 10 s ago and never called back: {} with such a URL, {} of the others; the last call-back came {} ms ago",
        backs.len(),
        unanswered[1],
        unanswered[0],
        now.saturating_sub(last_back)
    ));
    record.write();
    if accepted.len() < 100 {
        return Verdict::CouldNotRun;
    }
    if unanswered[0] + unanswered[1] >= 3 && now > last_back + SILENT_MS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
