//! Real processes beside the hollow ones: three placement daemons and some
//! agents over loopback, to see what the shell adds to a calm core.
use super::sizes;
use crate::prelude::*;
use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new("beside", "real agents, each a process", "3 real placement daemons, no charter, loopback");
    for n in sizes(quick, &[3, 10, 30]) {
        let Some(mut real) = Real::start(n) else {
            eprintln!("beside: left out; build the programs first with 'cargo build --release'");
            break;
        };
        real.measure(&mut axis);
    }
    axis.fitted()
}

struct Daemoned {
    id: String,
    http: String,
    child: Child,
}

/// Invariant: only children in `all` are ever ended, each by its own handle.
struct Real {
    all: Vec<Daemoned>,
    dir: PathBuf,
}

impl Drop for Real {
    fn drop(&mut self) {
        for d in &mut self.all {
            let _ = d.child.kill();
            let _ = d.child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A daemon's processor time in all its threads, its bytes sent, and its size.
#[derive(Clone, Copy, Default)]
struct Reading {
    nanos: f64,
    sent: f64,
    frames: f64,
    resident: f64,
}

fn free() -> Option<String> {
    TcpListener::bind("127.0.0.1:0").ok()?.local_addr().ok().map(|a| a.to_string())
}

fn status(http: &str) -> Option<Value> {
    let mut s = TcpStream::connect(http).ok()?;
    s.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    s.write_all(b"GET /v1/status HTTP/1.1\r\nhost: scale\r\nconnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    s.read_to_string(&mut text).ok()?;
    let (from, to) = (text.find('{')?, text.rfind('}')?);
    serde_json::from_str(&text[from..=to]).ok()
}

impl Real {
    fn start(agents: usize) -> Option<Real> {
        let bins = std::env::current_exe().ok()?.parent()?.to_path_buf();
        if !bins.join("dahliawick-agent").exists() || !bins.join("dahliawick-placement").exists() {
            return None;
        }
        let dir = std::env::temp_dir().join(format!("dahliawick-scale-{}-{agents}", std::process::id()));
        fs::create_dir_all(&dir).ok()?;
        let mut real = Real { all: Vec::new(), dir };
        let mut seeds = Vec::new();
        for n in 1..=3 {
            seeds.push((format!("placement-{n}"), free()?));
        }
        let named: Vec<String> = seeds.iter().map(|s| format!("{}={}", s.0, s.1)).collect();
        for (id, listen) in &seeds {
            real.spawn(&bins, "placement", id, listen, &named)?;
        }
        for n in 1..=agents {
            real.spawn(&bins, "agent", &format!("agent-{n}"), &free()?, &named)?;
        }
        Some(real)
    }

    fn spawn(&mut self, bins: &Path, kind: &str, id: &str, listen: &str, seeds: &[String]) -> Option<()> {
        let (http, file) = (free()?, self.dir.join(format!("{id}.json")));
        let zone = format!("z{}", self.all.len() % 4);
        let mut text = json!({"cluster": "scale", "id": id, "zone": zone, "listen": listen, "http": http, "seeds": seeds});
        let mut cmd = Command::new(bins.join(format!("dahliawick-{kind}")));
        if kind == "placement" {
            let data = self.dir.join(id);
            fs::create_dir_all(&data).ok()?;
            text["data"] = json!(data);
            cmd.arg("--bootstrap");
        }
        fs::write(&file, text.to_string()).ok()?;
        let child = cmd.args(["--log", "error", "--startup"]).arg(&file);
        let child = child.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null()).spawn().ok()?;
        self.all.push(Daemoned { id: id.into(), http, child });
        Some(())
    }

    fn serving(&self) -> Option<usize> {
        self.all.iter().position(|d| status(&d.http).is_some_and(|s| s["office"] == "serving"))
    }

    fn read(&self) -> Vec<Reading> {
        self.all.iter().map(|d| reading(d).unwrap_or_default()).collect()
    }

    fn measure(&mut self, axis: &mut Axis) {
        let bound = Instant::now() + Duration::from_secs(10);
        while self.serving().is_none() && Instant::now() < bound {
            std::thread::park_timeout(Duration::from_millis(100));
        }
        let Some(primary) = self.serving() else { return };
        // Members are taken in one by one; then it is calm.
        std::thread::park_timeout(Duration::from_secs(2));
        let (before, since) = (self.read(), Instant::now());
        std::thread::park_timeout(Duration::from_secs(5));
        let (after, secs) = (self.read(), since.elapsed().as_secs_f64());
        let agents: Vec<usize> = (0..self.all.len()).filter(|i| self.all[*i].id.starts_with("agent")).collect();
        let (x, n) = (agents.len() as f64, agents.len() as f64);
        let mean = |get: &dyn Fn(usize) -> f64| agents.iter().map(|i| get(*i)).sum::<f64>() / n;
        let rate = |get: fn(&Reading) -> f64| move |i: usize, a: &[Reading], b: &[Reading]| (get(&b[i]) - get(&a[i])) / secs;
        let (cpu, sent, frames) = (rate(|r| r.nanos / 1e3), rate(|r| r.sent), rate(|r| r.frames));
        axis.line("real agent: processor time, us/s", "us/s", x, mean(&|i| cpu(i, &before, &after)));
        axis.line("real agent: bytes sent, 1/s", "B/s", x, mean(&|i| sent(i, &before, &after)));
        axis.line("real agent: frames sent, 1/s", "1/s", x, mean(&|i| frames(i, &before, &after)));
        axis.line("real agent: resident, bytes", "bytes", x, mean(&|i| after[i].resident));
        axis.line("real primary: processor time, us/s", "us/s", x, cpu(primary, &before, &after));
        axis.line("real primary: bytes sent, 1/s", "B/s", x, sent(primary, &before, &after));
        axis.line("real primary: resident, bytes", "bytes", x, after[primary].resident);
        // The same fleet, hollow.
        let shape = Shape {
            stores: 0,
            deliveries: 0,
            agents: agents.len(),
            tenants: 0,
            lists: 0,
            workers: 0,
            zones: 4,
            ..Shape::default()
        };
        let mut f = Fleet::new(shape);
        f.run(Span::secs(8));
        f.reset();
        f.run(Span::secs(5));
        let (m, count) = f.meters(DaemonKind::Agent);
        let per = |v: f64| v / 5.0 / count.max(1) as f64;
        axis.line("hollow agent: processor time, us/s", "us/s", x, per(m.nanos() as f64 / 1e3));
        axis.line("hollow agent: bytes sent, 1/s", "B/s", x, per(m.said_bytes() as f64));
        axis.line("hollow agent: frames sent, 1/s", "1/s", x, per(m.said_frames() as f64));
    }
}

fn reading(d: &Daemoned) -> Option<Reading> {
    let proc = PathBuf::from(format!("/proc/{}", d.child.id()));
    let mut nanos = 0.0;
    for task in fs::read_dir(proc.join("task")).ok()?.flatten() {
        let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        nanos += text.split_whitespace().next().and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    }
    let text = fs::read_to_string(proc.join("status")).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    let wire = status(&d.http)?["wire"].clone();
    let sent = wire["bytes"].as_f64().unwrap_or(0.0);
    Some(Reading { nanos, sent, frames: wire["frames"].as_f64().unwrap_or(0.0), resident: kilobytes * 1024.0 })
}
