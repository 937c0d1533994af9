//! One run from the first process to the last read-back.
use crate::fleet::prelude::*;
use crate::fleet::report;
use rustix::process::Signal;
use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Plan {
    pub house: String,
    pub samples: PathBuf,
    pub dir: PathBuf,
    pub edges: usize,
    pub workers: usize,
    pub seconds: u64,
    pub rate: f64,
    pub poison: u64,
    pub faults: Vec<Fault>,
    pub stay: bool,
}

/// Waits for a condition, at most so long.
async fn until<F: std::future::Future<Output = bool>>(limit: Duration, mut f: impl FnMut() -> F) -> bool {
    let from = Instant::now();
    while from.elapsed() < limit {
        if f().await {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    false
}

async fn get(http: &str, path: &str) -> Value {
    match ask_with(http::Method::GET, &format!("http://{http}{path}"), "", Duration::from_secs(2)).await {
        Ok(s) => s.json(),
        Err(_) => Value::Null,
    }
}

/// The placement daemon that may act.
async fn primary(fleet: &Fleet) -> Option<String> {
    for id in fleet.ids("placement") {
        if get(&fleet.http(&id), "/v1/status").await["may_act"] == Value::Bool(true) {
            return Some(id);
        }
    }
    None
}

async fn order(fleet: &Fleet, method: http::Method, path: &str, body: String) -> Result<Said, String> {
    let from = Instant::now();
    let mut last = "no primary".to_string();
    while from.elapsed() < Duration::from_secs(20) {
        if let Some(p) = primary(fleet).await {
            match ask(method.clone(), &format!("http://{}{path}", fleet.http(&p)), body.clone()).await {
                Ok(s) if s.code < 500 => return Ok(s),
                Ok(s) => last = String::from_utf8_lossy(&s.body).into_owned(),
                Err(e) => last = e,
            }
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    Err(last)
}

/// Opens the workers, endpoints and desks the charter names.
fn people(fleet: &mut Fleet, world: &Arc<World>, plan: &Plan) -> Result<(), String> {
    let c: Value = serde_json::from_str(&fleet.charter).map_err(|e| e.to_string())?;
    let net = if plan.house == "kharita" { "127.10.0" } else { "127.20.0" };
    let mut opened = Vec::new();
    for s in c["services"].as_array().into_iter().flatten() {
        let service = s["name"].as_str().unwrap_or_default();
        let full = match service {
            "sheets" => 14,
            "records" => 3,
            "postings" => 50,
            _ => 8,
        };
        for n in 0..full.min(plan.workers) {
            let zone = format!("z{}", n % 3 + 1);
            let addr = fleet.addr(&format!("{net}.{}:{}", 130 + n, 9300 + service.len()))?;
            let name = format!("{service}-{:02}", n + 1);
            opened.push(Standin { name, service: service.into(), zone, addr });
        }
    }
    let mut others = Vec::new();
    for e in c["endpoints"].as_array().into_iter().flatten() {
        let name = e["name"].as_str().unwrap_or_default().to_string();
        let service = if name.starts_with("desk") { "desk" } else { "endpoint" };
        if service == "endpoint" {
            world.note(|c| c.endpoint(&name));
        }
        let addr = e["address"].as_str().unwrap_or_default().to_string();
        others.push(Standin { name, service: service.into(), zone: String::new(), addr });
    }
    let platform = fleet.addr(&format!("{net}.100:9000"))?;
    others.push(Standin { name: "platform".into(), service: "platform".into(), zone: String::new(), addr: platform });
    fleet.let_go();
    if let Ok(mut w) = world.workers.lock() {
        w.clone_from(&opened);
    }
    for s in opened.into_iter().chain(others) {
        world.open(s)?;
    }
    Ok(())
}

fn traffic(fleet: &Fleet, plan: &Plan) -> Vec<Traffic> {
    let c: Value = serde_json::from_str(&fleet.charter).unwrap_or_default();
    let tenants: Vec<String> =
        c["tenants"].as_array().into_iter().flatten().filter_map(|t| t["name"].as_str().map(String::from)).collect();
    let lists = |name: &str| tenants.iter().map(|t| format!("{t}/{name}")).collect::<Vec<_>>();
    let (bulk, order, out) = match plan.house.as_str() {
        "kharita" => ("sheets", "records", "notices"),
        _ => ("postings", "remittances", "filings"),
    };
    let desks = match bulk {
        "sheets" => vec!["desk-east".into(), "desk-west".into()],
        _ => Vec::new(),
    };
    let outs = (1..=12).flat_map(|n| lists(&format!("{out}-{n:02}"))).collect();
    let kind = |lists, rate, keys, desks, poison| Traffic { lists, rate, keys, desks, poison };
    vec![
        kind(lists(bulk), plan.rate / 2.0, 0, desks, plan.poison),
        kind(lists(order), plan.rate / 4.0, 10, Vec::new(), 0),
        kind(outs, plan.rate / 4.0, 0, Vec::new(), 0),
    ]
}

struct Stage {
    fleet: Fleet,
    world: Arc<World>,
    cuts: Arc<Cuts>,
    gone: Vec<(f64, Fault)>,
}

impl Stage {
    async fn name(&self, who: &str) -> String {
        match who {
            "primary" => primary(&self.fleet).await.unwrap_or_else(|| "placement-1".into()),
            other => other.into(),
        }
    }

    async fn begin(&mut self, mut f: Fault, at: f64) -> Result<(), String> {
        f.who = self.name(&f.who).await;
        let known = self.fleet.all.contains_key(&f.who)
            || self.world.moods.lock().is_ok_and(|m| m.contains_key(&f.who))
            || matches!(f.verb, Verb::KillAll | Verb::Zone | Verb::Cut | Verb::CutOne);
        if !known {
            return Err(format!("no process or stand-in is named '{}'", f.who));
        }
        println!("{at:7.2} s  {:?} {}", f.verb, f.who);
        self.world.note(|c| c.excuse(now(), Some(now() + Span::secs(20) + Span((f.back.unwrap_or(0.0) * 1e6) as u64))));
        match f.verb {
            Verb::Kill => self.fleet.kill(&f.who),
            Verb::Term => self.fleet.signal(&f.who, Signal::TERM),
            Verb::Freeze => self.fleet.signal(&f.who, Signal::STOP),
            Verb::Wipe => self.fleet.wipe(&f.who)?,
            Verb::KillAll => {
                for id in self.fleet.all.keys().cloned().collect::<Vec<_>>() {
                    self.fleet.kill(&id);
                }
            }
            Verb::Crash => {
                self.world.shut(&f.who).await;
                self.world.mood(&f.who, |m| m.unlisted = true);
                self.world.note(|c| c.bar(&f.who, now()));
            }
            Verb::Drain => {
                self.world.mood(&f.who, |m| m.draining = true);
                self.world.note(|c| c.bar(&f.who, now()));
            }
            Verb::Lose => self.world.mood(&f.who, |m| m.lose = 5),
            Verb::Crawl => self.world.mood(&f.who, |m| m.slow = Duration::from_millis(1500)),
            Verb::Cut | Verb::CutOne => self.cut(&f, true)?,
            Verb::Zone => {
                let path = format!("/v1/zones/{}/empty", f.who);
                let said = order(&self.fleet, http::Method::PUT, &path, json!({"on": true}).to_string()).await?;
                if said.code != 200 {
                    return Err(format!("zone: {}", String::from_utf8_lossy(&said.body)));
                }
                self.world.note(|c| c.empty_zone(&f.who, now()));
            }
        }
        if let Some(b) = f.back {
            self.gone.push((at + b, f));
        }
        Ok(())
    }

    fn cut(&self, f: &Fault, on: bool) -> Result<(), String> {
        let Some((a, b)) = f.who.split_once('/') else { return Err(format!("'{}' names no two zones; write z1/z2", f.who)) };
        self.cuts.set(a, b, on);
        if f.verb == Verb::Cut {
            self.cuts.set(b, a, on);
        }
        Ok(())
    }

    async fn end(&mut self, f: Fault, at: f64) -> Result<(), String> {
        println!("{at:7.2} s  {:?} {} ends", f.verb, f.who);
        match f.verb {
            Verb::Kill | Verb::Wipe => self.fleet.start(&f.who, false)?,
            Verb::Term => {
                self.fleet.kill(&f.who);
                self.fleet.start(&f.who, false)?;
            }
            Verb::Freeze => self.fleet.signal(&f.who, Signal::CONT),
            Verb::KillAll => {
                for id in self.fleet.all.keys().cloned().collect::<Vec<_>>() {
                    self.fleet.start(&id, false)?;
                }
            }
            Verb::Crash => {
                let w = self.world.workers.lock().ok().and_then(|w| w.iter().find(|w| w.name == f.who).cloned());
                if let Some(w) = w {
                    self.world.open(w)?;
                }
                self.world.mood(&f.who, |m| m.unlisted = false);
                self.world.note(|c| {
                    c.unbar(&f.who);
                    c.freshen(&f.who, now());
                });
            }
            Verb::Drain => {
                self.world.note(|c| c.unbar(&f.who));
                self.world.mood(&f.who, |m| m.draining = false);
            }
            Verb::Lose => self.world.mood(&f.who, |m| m.lose = 0),
            Verb::Crawl => self.world.mood(&f.who, |m| m.slow = Duration::ZERO),
            Verb::Cut | Verb::CutOne => self.cut(&f, false)?,
            Verb::Zone => {
                self.world.note(|c| c.restore_zone(&f.who));
                let path = format!("/v1/zones/{}/empty", f.who);
                order(&self.fleet, http::Method::PUT, &path, json!({"on": false}).to_string()).await?;
            }
        }
        Ok(())
    }
}

/// Whether a message's end is known and, if it was accepted, its state and
/// bytes are read back.
async fn close(callers: &Arc<Callers>, id: &str) -> bool {
    let Some(m) = callers.world.note(|c| c.message(id).cloned()) else { return true };
    if !m.words.iter().any(|w| w.1 == Word::Accepted) {
        return m.words.last().is_some_and(|w| w.1 == Word::NotTaken);
    }
    let state = callers.look(&m.list, id, &m.key).await;
    if state.as_deref() == Some("gone") && callers.world.note(|c| c.message(id).is_some_and(|m| m.last_state.starts_with("past")))
    {
        return true;
    }
    let over = state.is_some_and(|s| s != "waiting");
    let owed = m.desk && !m.poison && m.backs.is_empty();
    over && !owed && callers.look_body(&m.list, id, &m.key).await
}

/// Runs a plan; `Ok` holds the figures, and whether no rule was broken.
pub async fn run(plan: Plan) -> Result<(Value, bool), String> {
    let from = Instant::now();
    let mut fleet = Fleet::lay(
        &plan.samples.join(&plan.house),
        &plan.dir,
        plan.edges,
        plan.faults.iter().any(|f| matches!(f.verb, Verb::Cut | Verb::CutOne)),
    )?;
    let world = World::new();
    people(&mut fleet, &world, &plan)?;
    let cuts = Arc::new(Cuts::default());
    for (id, front, back, zone) in fleet.relays.clone() {
        let tcp = std::net::TcpListener::bind(&front).map_err(|e| e.to_string())?;
        let udp = std::net::UdpSocket::bind(&front).map_err(|e| e.to_string())?;
        cuts.know(&id, &zone);
        crate::fleet::relay::start(cuts.clone(), tcp, udp, back, zone)?;
    }
    for n in 1..=plan.edges {
        for kind in ["proxy", "agent"] {
            cuts.know(&format!("{kind}-{n}"), &format!("z{}", (n - 1) % 3 + 1));
        }
    }
    for id in fleet.all.keys().cloned().collect::<Vec<_>>() {
        fleet.start(&id, true)?;
    }
    let up = until(Duration::from_secs(40), || async { primary(&fleet).await.is_some() }).await;
    if !up {
        return Err(format!("no primary was elected; see the logs in {}", plan.dir.join("run").display()));
    }
    println!("{:7.2} s  primary {}", from.elapsed().as_secs_f64(), primary(&fleet).await.unwrap_or_default());
    let said = order(&fleet, http::Method::PUT, "/v1/charter?base=0.0&op=first", fleet.charter.clone()).await?;
    if said.code != 200 {
        return Err(format!("the charter was refused: {}", String::from_utf8_lossy(&said.body)));
    }
    let version = said.json()["version"].as_str().unwrap_or_default().to_string();
    println!("{:7.2} s  charter {version} acknowledged", from.elapsed().as_secs_f64());
    let ready = until(Duration::from_secs(40), || async {
        for id in fleet.ids("store") {
            let s = get(&fleet.http(&id), "/v1/status").await;
            let places = s["places"].as_array().cloned().unwrap_or_default();
            let open = places.iter().any(|p| p["phase"] == "serving");
            let half = places.iter().any(|p| !matches!(p["phase"].as_str(), Some("serving" | "replica")));
            if !open || half {
                return false;
            }
        }
        let mut given = 0;
        for id in fleet.ids("delivery") {
            let s = get(&fleet.http(&id), "/v1/status").await;
            given += s["duties"].as_array().map_or(0, Vec::len);
            if s["workers"].as_array().is_none_or(Vec::is_empty) {
                return false;
            }
        }
        for id in fleet.ids("proxy") {
            if get(&fleet.http(&id), "/v1/status").await["places"].as_u64().unwrap_or(0) == 0 {
                return false;
            }
        }
        given > 0
    })
    .await;
    if !ready {
        return Err(format!("the partitions did not open; see the logs in {}", plan.dir.join("run").display()));
    }
    println!("{:7.2} s  serving", from.elapsed().as_secs_f64());
    let proxies = fleet.ids("proxy").iter().map(|id| fleet.http(id)).collect();
    let callers = Callers::new(world.clone(), proxies);
    for k in traffic(&fleet, &plan) {
        callers.begin(k);
    }
    let mut stage = Stage { fleet, world: world.clone(), cuts, gone: Vec::new() };
    let begun = Instant::now();
    let mut faults: std::collections::VecDeque<Fault> = plan.faults.clone().into();
    while begun.elapsed() < Duration::from_secs(plan.seconds) || !faults.is_empty() || !stage.gone.is_empty() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let at = begun.elapsed().as_secs_f64();
        while faults.front().is_some_and(|f| f.at <= at) {
            if let Some(f) = faults.pop_front() {
                stage.begin(f, at).await?;
            }
        }
        if let Some(n) = stage.gone.iter().position(|g| g.0 <= at) {
            let (_, f) = stage.gone.remove(n);
            stage.end(f, at).await?;
        }
        let termed = plan.faults.iter().any(|f| f.verb == Verb::Term);
        for f in stage.fleet.fallen() {
            if !termed {
                world.note(|c| c.flag(f));
            }
        }
    }
    callers.stop.store(true, Ordering::Relaxed);
    println!("{:7.2} s  callers stop", begun.elapsed().as_secs_f64());
    let load = begun.elapsed().as_secs_f64();
    // All that was accepted must end; then it is read back, bytes and all.
    let settle = Instant::now();
    let mut shut = std::collections::BTreeSet::new();
    let mut open: Vec<String> = world.note(|c| c.ids());
    while !open.is_empty() && settle.elapsed() < Duration::from_secs(60) {
        for part in open.chunks(32) {
            let reads = part.iter().map(|id| close(&callers, id));
            let done = futures_util::future::join_all(reads).await;
            shut.extend(part.iter().zip(done).filter(|(_, d)| *d).map(|(id, _)| id.clone()));
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        // Callers still under way may have added some.
        open = world.note(|c| c.ids()).into_iter().filter(|id| !shut.contains(id)).collect();
    }
    let ids = shut.len() + open.len();
    callers.halt.store(true, Ordering::Relaxed);
    println!("{:7.2} s  read back; {} of {} left open", begun.elapsed().as_secs_f64(), open.len(), ids);
    let shown = order(&stage.fleet, http::Method::GET, "/v1/charter", String::new()).await?;
    if shown.json()["version"].as_str() != Some(&version) {
        world.note(|c| c.flag(format!("the charter reads back as {}", shown.json()["version"])));
    }
    let found = world.note(|c| c.finish(now()));
    for id in open.iter().take(5) {
        println!("open: {id} {:?}", world.note(|c| c.message(id).cloned()));
    }
    let mut took = callers.took.lock().map(|t| t.clone()).unwrap_or_default();
    let mut figures = report::figures(&mut stage.fleet, found.accepted).await;
    figures["house"] = json!(plan.house);
    figures["seconds"] = json!(load);
    figures["sent"] = json!(found.sent);
    figures["accepted"] = json!(found.accepted);
    figures["not_taken"] = json!(found.not_taken);
    figures["unknown"] = json!(found.unknown);
    figures["receipts"] = json!(found.receipts);
    figures["reruns"] = json!(found.reruns);
    figures["call_backs"] = json!(found.call_backs);
    figures["slowest_call_back_ms"] = json!(found.slowest_call_back.as_millis());
    figures["longest_outage_of_a_key_ms"] = json!(found.outage.as_millis());
    figures["longest_gap_ms"] = json!(found.longest_gap.as_millis());
    figures["accept_ms_p50"] = json!(report::percentile(&mut took, 50) as f64 / 1000.0);
    figures["accept_ms_p99"] = json!(report::percentile(&mut took, 99) as f64 / 1000.0);
    figures["errors"] = json!(callers.errors.load(Ordering::Relaxed));
    figures["broken"] = json!(found.broken);
    if plan.stay {
        println!(
            "the fleet stays; placement at {}",
            stage.fleet.ids("placement").iter().map(|i| stage.fleet.http(i)).collect::<Vec<_>>().join(",")
        );
        println!("proxies at {}", callers.proxies.join(","));
        println!("end it with ctrl-c");
        let _ = tokio::signal::ctrl_c().await;
    }
    let good = found.broken.is_empty() && open.is_empty() && found.accepted > 0;
    Ok((figures, good))
}
