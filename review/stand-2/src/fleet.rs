//! A small deployment as real processes on loopback addresses: three storage machines, three core
//! machines and some edge machines, with the settings that the templates of the deploy file give.
use crate::http::{self, call, Response};
use std::collections::BTreeMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;

pub const ZONES: [&str; 3] = ["agdal", "hassan", "souissi"];

#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub internal: [u16; 2],
    pub cloud: u16,
    pub worker: u16,
}

/// One process of a machine.
pub struct Process {
    pub role: String,
    pub machine: String,
    pub zone: String,
    pub ip: String,
    pub memory_mb: u64,
    pub settings: PathBuf,
    pub child: Option<Child>,
    pub starts: u32,
}

pub struct Fleet {
    pub dir: PathBuf,
    pub ports: Ports,
    pub net: u8,
    pub processes: Vec<Process>,
    pub seeds: Vec<String>,
    pub edges: usize,
    pub began: Instant,
    pub workers: Arc<Mutex<Vec<Listed>>>,
}

/// An entry of the platform's list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub state: String,
}

fn class_of(role: &str) -> &'static str {
    match role {
        "placement" | "store" => "storage",
        "delivery" => "core",
        _ => "edge",
    }
}

fn random() -> u64 {
    let t = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
    (t ^ (u64::from(std::process::id()) << 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 16
}

impl Fleet {
    pub fn new(edges: usize) -> Fleet {
        let mut seed = random();
        let (net, ports) = loop {
            seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
            let net = 20 + (seed >> 33) as u8 % 200;
            let base = 21000 + ((seed >> 40) % 9000) as u16;
            let ports = Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                internal: [base + 3, base + 4],
                cloud: base + 5,
                worker: base + 6,
            };
            let free = (0..7).all(|n| TcpListener::bind(("0.0.0.0", base + n)).is_ok());
            if free {
                break (net, ports);
            }
        };
        let dir = std::env::temp_dir().join(format!("review-2-{}-{net}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let seeds = (1..=3).map(|z| format!("127.{net}.{z}.1:{}", ports.control)).collect();
        Fleet { dir, ports, net, processes: Vec::new(), seeds, edges, began: Instant::now(), workers: Arc::default() }
    }

    pub fn ip(&self, zone: usize, n: usize) -> String {
        format!("127.{}.{}.{n}", self.net, zone + 1)
    }

    fn settings(&self, role: &str, machine: &str, zone: &str, ip: &str, memory: u64, disk: u64, bootstrap: bool) -> String {
        let text = std::fs::read_to_string(format!("deploy/{role}.tmpl")).expect("a template of the deploy file");
        let data = self.dir.join(format!("data-{machine}-{role}"));
        if disk > 0 {
            std::fs::create_dir_all(&data).expect("a data folder");
        }
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let values: BTreeMap<&str, String> = BTreeMap::from([
            ("{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}", seeds.join(",")),
            ("{{#timingBounds.coldSlack}}", String::new()),
            ("{{/timingBounds.coldSlack}}", String::new()),
            ("{{timingBounds.coldSlack}}", "5".into()),
            ("{{ipAddress}}", ip.into()),
            ("{{zone}}", zone.into()),
            ("{{nodeName}}", machine.into()),
            ("{{faultTolerance.machines}}", "1".into()),
            ("{{faultTolerance.zones}}", "1".into()),
            ("{{faultTolerance.regions}}", "0".into()),
            ("{{internalPorts.0}}", self.ports.internal[0].to_string()),
            ("{{internalPorts.1}}", self.ports.internal[1].to_string()),
            ("{{limits.memoryMb}}", memory.to_string()),
            ("{{limits.diskMb}}", disk.to_string()),
            ("{{limits.maxFds}}", if disk > 128 { "8200" } else { "4100" }.into()),
            ("{{dataDir}}", data.display().to_string()),
            ("{{bindAddrs.control}}", format!("{ip}:{}", self.ports.control)),
            ("{{bindAddrs.front}}", format!("{ip}:{}", self.ports.front)),
            ("{{bindAddrs.readyAddr}}", format!("{ip}:{}", self.ports.ready)),
            ("{{cloudApi.address}}", format!("127.{}.9.250:{}", self.net, self.ports.cloud)),
            ("{{cloudApi.ratePerS}}", "40.0".into()),
            ("{{bootstrap|json}}", bootstrap.to_string()),
        ]);
        values.iter().fold(text, |text, (gap, value)| text.replace(gap, value))
    }

    pub fn add(&mut self, role: &str, zone: usize, n: usize, bootstrap: bool) {
        let (memory, disk) = match class_of(role) {
            "storage" => (270, 310),
            "core" => (256, 0),
            _ => (260, 0),
        };
        let (ip, class) = (self.ip(zone, n), class_of(role));
        let machine = format!("{class}-{}-{n}", ZONES[zone]);
        let text = self.settings(role, &machine, ZONES[zone], &ip, memory, disk, bootstrap);
        let path = self.dir.join(format!("{machine}-{role}.yaml"));
        std::fs::write(&path, text).expect("settings");
        let process = Process {
            role: role.into(),
            machine,
            zone: ZONES[zone].into(),
            ip,
            memory_mb: memory,
            settings: path,
            child: None,
            starts: 0,
        };
        self.processes.push(process);
        let at = self.processes.len() - 1;
        self.start(at);
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, at: usize) {
        let p = &mut self.processes[at];
        if p.starts == 1 {
            let text = std::fs::read_to_string(&p.settings).expect("settings");
            std::fs::write(&p.settings, text.replace("\"bootstrap\":true", "\"bootstrap\":false")).expect("settings");
        }
        p.starts += 1;
        let log = self.dir.join(format!("{}-{}.log", p.machine, p.role));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let child = Command::new(format!("target/release/dahliawick-{}", p.role))
            .arg("--startup")
            .arg(&p.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("a program of the deploy file's build");
        p.child = Some(child);
    }

    pub fn start_all(&mut self) {
        for zone in 0..3 {
            self.add("placement", zone, 1, true);
            self.add("store", zone, 1, true);
            self.add("delivery", zone, 2, true);
        }
        for n in 0..self.edges {
            self.add("proxy", n % 3, 10 + n / 3, true);
            self.add("agent", n % 3, 10 + n / 3, true);
        }
    }

    pub fn find(&self, role: &str, machine: &str) -> usize {
        self.processes.iter().position(|p| p.role == role && p.machine == machine).expect("a process")
    }
    pub fn of_role(&self, role: &str) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].role == role).collect()
    }
    pub fn signal(&self, at: usize, signal: i32) {
        if let Some(child) = &self.processes[at].child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    /// Whether the process has ended; its status is taken then.
    pub fn has_ended(&mut self, at: usize) -> bool {
        match &mut self.processes[at].child {
            None => true,
            Some(child) => match child.try_wait() {
                Ok(Some(_)) => {
                    self.processes[at].child = None;
                    true
                }
                _ => false,
            },
        }
    }
    pub fn kill(&mut self, at: usize) {
        if let Some(mut child) = self.processes[at].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    /// Memory in use, in MB of 2^20 bytes.
    pub fn memory_mb(&self, at: usize) -> f64 {
        let Some(child) = &self.processes[at].child else { return 0.0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or("");
        let kb: f64 = line.split_whitespace().nth(1).and_then(|w| w.parse().ok()).unwrap_or(0.0);
        kb / 1024.0
    }

    pub fn front(&self, at: usize) -> SocketAddr {
        format!("{}:{}", self.processes[at].ip, self.ports.front).parse().expect("an address")
    }
    pub fn is_ready(&self, at: usize) -> bool {
        let addr: SocketAddr = format!("{}:{}", self.processes[at].ip, self.ports.ready).parse().expect("an address");
        call(addr, "GET", "/api/ready", &[("Host", addr.to_string())], b"", Duration::from_millis(900))
            .is_ok_and(|r| r.status == 200)
    }
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let proxies = self.of_role("proxy");
        while Instant::now() < end {
            if proxies.iter().all(|p| self.is_ready(*p)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// The operator sends a call to daemons that serve control until one answers 2xx or refuses.
    pub fn operate(&self, method: &str, path: &str, base: Option<u64>, body: &str, limit: Duration) -> Option<Response> {
        let end = Instant::now() + limit;
        let mut n = 0;
        while Instant::now() < end {
            let mut at: SocketAddr = format!("127.{}.{}.1:{}", self.net, n % 3 + 1, self.ports.control).parse().ok()?;
            n += 1;
            for _ in 0..3 {
                let mut headers = vec![("Host", at.to_string()), ("Content-Type", "application/json".to_string())];
                if let Some(base) = base {
                    headers.push(("If-Match", base.to_string()));
                }
                let Ok(answer) = call(at, method, path, &headers, body.as_bytes(), Duration::from_secs(1)) else { break };
                if answer.status == 307 {
                    let Some(to) = answer.header("location").and_then(|l| l.strip_prefix("http://")) else { break };
                    let Ok(next) = to.split('/').next().unwrap_or("").parse() else { break };
                    at = next;
                    continue;
                }
                if (200..300).contains(&answer.status) || [400, 409, 412, 413, 422].contains(&answer.status) {
                    return Some(answer);
                }
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// The platform's list of workers.
    pub fn serve_list(&self) {
        let workers = self.workers.clone();
        let addr = format!("127.{}.9.250:{}", self.net, self.ports.cloud).parse().expect("an address");
        http::serve(addr, move |_, conn| {
            let rows: Vec<String> = workers
                .lock()
                .expect("the list")
                .iter()
                .map(|w| {
                    format!(
                        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"revision\":\"v1\",\"slots\":{},\"operState\":\"{}\",\"coldRemainingMs\":0,\"instanceId\":\"{}\"}}",
                        w.service, w.address, w.zone, w.slots, w.state, w.id
                    )
                })
                .collect();
            conn.respond(&Response::json(200, format!("{{\"instances\":[{}],\"nextToken\":null}}", rows.join(","))))
        })
        .expect("the list's address");
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for at in 0..self.processes.len() {
            self.signal(at, SIGCONT);
            self.kill(at);
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

/// Milliseconds since the fleet began.
pub fn ms(began: Instant) -> u64 {
    began.elapsed().as_millis() as u64
}

/// The lines that go to `record.txt`.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<(u64, String)>>>,
    began: Instant,
    path: PathBuf,
}

impl Record {
    pub fn new(folder: &Path, began: Instant) -> Record {
        Record { lines: Arc::default(), began, path: folder.join("record.txt") }
    }
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        self.lines.lock().expect("the record").push((ms(self.began), text));
    }
    pub fn tell(&self, text: impl Into<String>) {
        let text = text.into();
        println!("{:8} ms  {text}", ms(self.began));
        self.say(text);
    }
    pub fn write(&self) {
        let mut lines = self.lines.lock().expect("the record").clone();
        lines.sort_by_key(|l| l.0);
        let text: String = lines.iter().map(|(t, l)| format!("{t:8} ms  {l}\n")).collect();
        let _ = std::fs::write(&self.path, text);
    }
}

impl Record {
    pub fn say_at(&self, at: u64, text: impl Into<String>) {
        self.lines.lock().expect("the record").push((at, text.into()));
    }
    pub fn lines(&self) -> Vec<(u64, String)> {
        self.lines.lock().expect("the record").clone()
    }
}
