//! Clients whose bodies take a moment to arrive, while the edge machines are stopped and started
//! in turn.
use crate::fleet::{ms, Fleet, Record, SIGTERM};
use crate::http::Conn;
use crate::world::{config_json, service_json, Act, Route, World, HOST};
use crate::{begin, trouble, Verdict};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The bounds of the pages.
pub const GRACE: Duration = Duration::from_secs(6);
const LOSS_SLACK_MS: u64 = 200;
const DEADLINE: Duration = Duration::from_millis(800);
/// From the head of a request to the last part of its body.
const UPLOAD: Duration = Duration::from_millis(270);
/// Between two requests of one client.
const PAUSE: Duration = Duration::from_millis(3700);
const CLIENTS: u64 = 220;

/// What the platform knows of the edge machines.
struct Edge {
    process: usize,
    /// Receives new connections.
    is_in: AtomicBool,
    /// When it got SIGTERM last, in ms; 0 for never.
    stopped_ms: AtomicU64,
}

struct Outcome {
    edge: usize,
    id: String,
    began_ms: u64,
    last_byte_ms: u64,
    ended_ms: u64,
    /// The status, or how the connection ended.
    result: Result<u16, io::ErrorKind>,
    all_sent: bool,
}

fn send(conn: &mut Conn, id: &str, began: Instant) -> (u64, u64, bool, Result<u16, io::ErrorKind>, bool) {
    let (start_ms, end) = (ms(began), Instant::now() + DEADLINE);
    let head = format!(
        "POST /nypu660/sheet HTTP/1.1\r\nHost: {HOST}\r\nX-Dahliawick-Request-Id: {id}\r\nX-Dahliawick-Deadline-Ms: {}\r\nContent-Type: application/octet-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        DEADLINE.as_millis()
    );
    let part = format!("258\r\n{}\r\n", "x".repeat(600));
    if let Err(e) = conn.write(head.as_bytes()).and_then(|()| conn.write(part.as_bytes())) {
        return (start_ms, ms(began), false, Err(e.kind()), false);
    }
    std::thread::sleep(UPLOAD);
    if let Err(e) = conn.write(format!("{part}0\r\n\r\n").as_bytes()) {
        return (start_ms, ms(began), false, Err(e.kind()), false);
    }
    let last_byte_ms = ms(began);
    match conn.read_response(end) {
        Ok(r) => {
            let close = r.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
            (start_ms, last_byte_ms, true, Ok(r.status), !close)
        }
        Err(e) => (start_ms, last_byte_ms, true, Err(e.kind()), false),
    }
}

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = Fleet::new(3);
    let record = Record::new(folder, fleet.began);
    let world = World::new(&fleet);
    fleet.serve_list();
    let decide = Arc::new(|_: &str, _: &crate::http::Request, _: u32| Act::Done(Duration::from_millis(40)));
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
    let edges: Arc<Vec<Edge>> = Arc::new(
        fleet
            .of_role("proxy")
            .into_iter()
            .map(|process| Edge { process, is_in: AtomicBool::new(true), stopped_ms: AtomicU64::new(0) })
            .collect(),
    );
    let (over, outcomes): (Arc<AtomicBool>, Arc<Mutex<Vec<Outcome>>>) = Default::default();
    let began = fleet.began;
    let fronts: Vec<_> = edges.iter().map(|e| fleet.front(e.process)).collect();
    let mut clients = Vec::new();
    for n in 0..CLIENTS {
        let (edges, over, outcomes, fronts) = (edges.clone(), over.clone(), outcomes.clone(), fronts.clone());
        clients.push(std::thread::spawn(move || {
            // The platform passes a new connection to an edge that is in.
            let mut open: Option<(usize, Conn)> = None;
            let mut count = 0;
            std::thread::sleep(PAUSE * n as u32 / CLIENTS as u32);
            while !over.load(Ordering::Relaxed) {
                if open.is_none() {
                    // An edge of the client's zone; if none is in there, one of the other zones.
                    let is_in = |e: &usize| edges[*e].is_in.load(Ordering::Relaxed);
                    let own = n as usize % edges.len();
                    let others = (1..edges.len()).map(|k| (own + k) % edges.len());
                    let Some(edge) = std::iter::once(own).chain(others).find(is_in) else {
                        std::thread::sleep(Duration::from_millis(100));
                        continue;
                    };
                    open = Conn::connect(fronts[edge], Duration::from_secs(1)).ok().map(|c| (edge, c));
                }
                count += 1;
                let Some((edge, mut conn)) = open.take() else {
                    std::thread::sleep(Duration::from_millis(200));
                    continue;
                };
                let id = format!("{n:04x}{count:04x}");
                let (began_ms, last_byte_ms, all_sent, result, keep) = send(&mut conn, &id, began);
                outcomes.lock().expect("outcomes").push(Outcome {
                    edge,
                    id,
                    began_ms,
                    last_byte_ms,
                    ended_ms: ms(began),
                    result,
                    all_sent,
                });
                if keep {
                    open = Some((edge, conn));
                }
                std::thread::sleep(PAUSE);
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    // The platform: a question of readiness each second; two misses take an edge out.
    let mut misses = vec![0; edges.len()];
    let mut next_probe = Instant::now();
    let end = Instant::now() + Duration::from_secs(48);
    let mut turn = 0;
    let mut next_stop = Instant::now() + Duration::from_secs(2);
    let mut stopping: Option<(usize, Instant)> = None;
    while Instant::now() < end {
        if Instant::now() >= next_probe {
            next_probe += Duration::from_secs(1);
            for (n, edge) in edges.iter().enumerate() {
                let ready = fleet.is_ready(edge.process);
                misses[n] = if ready { 0 } else { misses[n] + 1 };
                if ready {
                    edge.is_in.store(true, Ordering::Relaxed);
                } else if misses[n] >= 2 {
                    edge.is_in.store(false, Ordering::Relaxed);
                }
            }
        }
        if let Some((n, since)) = stopping {
            // Both processes of the machine got SIGTERM; SIGKILL follows after the grace.
            let proxy = edges[n].process;
            let agent = fleet.of_role("agent")[n];
            if since.elapsed() >= GRACE {
                fleet.kill(proxy);
                fleet.kill(agent);
            }
            if fleet.has_ended(proxy) && fleet.has_ended(agent) {
                record.tell(format!(
                    "{} has ended {} ms after SIGTERM and starts again",
                    fleet.processes[proxy].machine,
                    since.elapsed().as_millis()
                ));
                std::thread::sleep(Duration::from_millis(300));
                fleet.start(proxy);
                fleet.start(agent);
                stopping = None;
                next_stop = Instant::now() + Duration::from_secs(6);
            }
        } else if trouble() && Instant::now() >= next_stop && turn < 4 && edges.iter().all(|e| e.is_in.load(Ordering::Relaxed)) {
            let n = turn % edges.len();
            turn += 1;
            let proxy = edges[n].process;
            record.tell(format!("SIGTERM to both processes of {}", fleet.processes[proxy].machine));
            edges[n].stopped_ms.store(ms(began), Ordering::Relaxed);
            fleet.signal(proxy, SIGTERM);
            fleet.signal(fleet.of_role("agent")[n], SIGTERM);
            stopping = Some((n, Instant::now()));
            record.say(format!("stop {n} at {}", ms(began)));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::Relaxed);
    for c in clients {
        let _ = c.join();
    }
    let stops: Vec<(usize, u64)> = {
        let lines = record.lines();
        lines
            .iter()
            .filter_map(|(_, l)| {
                let rest = l.strip_prefix("stop ")?;
                let (n, at) = rest.split_once(" at ")?;
                Some((n.parse().ok()?, at.parse().ok()?))
            })
            .collect()
    };
    let mut lost = 0;
    let mut answered = 0;
    let mut closed_else = 0;
    for o in outcomes.lock().expect("outcomes").iter() {
        let name = &fleet.processes[edges[o.edge].process].machine;
        match &o.result {
            Ok(status) => {
                answered += 1;
                record.say_at(
                    o.ended_ms,
                    format!("{} to {name}: sent {}..{}, answered {status}", o.id, o.began_ms, o.last_byte_ms),
                );
            }
            Err(kind) => {
                let planned = stops
                    .iter()
                    .any(|(n, at)| *n == o.edge && o.began_ms + 4000 >= *at && o.ended_ms >= *at && o.ended_ms <= at + 7000);
                let in_time = o.ended_ms < o.began_ms + DEADLINE.as_millis() as u64;
                let ran = !world.runs_of(&o.id).is_empty();
                let late = o.ended_ms > o.last_byte_ms + LOSS_SLACK_MS;
                let is_lost = planned && o.all_sent && in_time && *kind != io::ErrorKind::WouldBlock && (late || ran);
                lost += u32::from(is_lost);
                closed_else += u32::from(!is_lost);
                record.say_at(
                    o.ended_ms,
                    format!(
                        "{} to {name}: sent {}..{} ({}), ended without an answer ({kind:?}), {} ms after its last byte{}{}",
                        o.id,
                        o.began_ms,
                        o.last_byte_ms,
                        if o.all_sent { "whole" } else { "in part" },
                        o.ended_ms.saturating_sub(o.last_byte_ms),
                        if ran { ", has run" } else { "" },
                        if is_lost { ": LOST" } else { "" }
                    ),
                );
            }
        }
    }
    record.tell(format!("answered {answered}, lost {lost}, ended without an answer otherwise {closed_else}"));
    record.write();
    if answered < 500 {
        return Verdict::CouldNotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
