//! A small deployment on loopback addresses: three storage machines, three core machines and
//! three edge machines in three zones. Each process runs with the command and the template of
//! the deploy file, filled in as the users' platform does.
use crate::http::{send, Request, Response};
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const INTERNAL: [u16; 2] = [7780, 7795];
const CONTROL: u16 = 8064;
const FRONT: u16 = 8069;
const READY: u16 = 8063;
const LIST: u16 = 8065;
pub const WORKER: u16 = 8080;
/// Memory of a storage machine.
pub const STORAGE_MEMORY_MB: u64 = 280;
/// Sizes of machines and names of zones are those of the site kowhai-ledger-control.
pub const ZONES: [&str; 3] = ["akl-a", "akl-b", "akl-c"];

/// One process of the system.
struct Process {
    role: &'static str,
    ip: String,
    startup: PathBuf,
    child: Option<Child>,
    starts: u32,
}

pub struct Fleet {
    root: PathBuf,
    pub folder: PathBuf,
    net: String,
    processes: Vec<Process>,
}

fn machines(class: &str) -> std::ops::Range<usize> {
    match class {
        "storage" => 11..14,
        "core" => 21..24,
        _ => 31..34,
    }
}

/// Fills in the parts of the platform's template language that the project's templates use.
fn fill(template: &str, fields: &BTreeMap<&str, String>, seeds: &[String]) -> String {
    let list: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let mut text = template.replace("{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}", &list.join(","));
    text = text.replace("{{#timingBounds.coldSlack}}", "").replace("{{/timingBounds.coldSlack}}", "");
    for (name, value) in fields {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

impl Fleet {
    /// Prepares the machines; `start` starts them.
    pub fn new(root: &Path) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut free = None;
        for n in 0..200 {
            let net = format!("127.{}.{}", 60 + (std::process::id() + n) % 150, (std::process::id() / 150 + n) % 250);
            let ports = [INTERNAL[0], INTERNAL[1], CONTROL, FRONT, READY, LIST, WORKER];
            let hosts = machines("storage").chain(machines("core")).chain(machines("edge")).chain(100..101);
            if hosts.into_iter().all(|h| ports.iter().all(|p| TcpListener::bind(format!("{net}.{h}:{p}")).is_ok())) {
                free = Some(net);
                break;
            }
        }
        let net = free.ok_or("no free addresses")?;
        let mut fleet = Fleet { root: root.to_path_buf(), folder, net, processes: Vec::new() };
        for (class, roles) in
            [("storage", vec!["placement", "store"]), ("core", vec!["delivery"]), ("edge", vec!["agent", "proxy"])]
        {
            for host in machines(class) {
                for role in &roles {
                    fleet.prepare(class, role, host)?;
                }
            }
        }
        Ok(fleet)
    }

    fn ip(&self, host: usize) -> String {
        format!("{}.{host}", self.net)
    }
    /// The address at which the platform's list is served.
    pub fn list_address(&self) -> String {
        format!("{}:{LIST}", self.ip(100))
    }
    /// The address of worker `n`.
    pub fn worker_address(&self, n: usize) -> String {
        format!("{}:{WORKER}", self.ip(200 + n % 50))
    }
    pub fn front(&self, n: usize) -> String {
        format!("{}:{FRONT}", self.ip(31 + n % 3))
    }
    fn seeds(&self) -> Vec<String> {
        machines("storage").map(|h| format!("{}:{CONTROL}", self.ip(h))).collect()
    }

    fn startup_text(&self, class: &str, role: &str, host: usize, bootstrap: bool) -> Result<String, String> {
        let template = std::fs::read_to_string(self.root.join(format!("deploy/{role}.tmpl"))).map_err(|e| e.to_string())?;
        let ip = self.ip(host);
        let data = self.folder.join(format!("data/{role}-{host}"));
        if class == "storage" {
            std::fs::create_dir_all(&data).map_err(|e| e.to_string())?;
        }
        let (memory, fds, disk) = match class {
            "storage" => (STORAGE_MEMORY_MB, 8200, 400),
            "core" => (256, 4096, 128),
            _ => (260, 4100, 0),
        };
        let fields = BTreeMap::from([
            ("ipAddress", ip.clone()),
            ("zone", ZONES[host % 10 - 1].to_string()),
            ("nodeName", format!("{class}-{}-1", ZONES[host % 10 - 1])),
            ("internalPorts.0", INTERNAL[0].to_string()),
            ("internalPorts.1", INTERNAL[1].to_string()),
            ("limits.memoryMb", memory.to_string()),
            ("limits.maxFds", fds.to_string()),
            ("limits.diskMb", disk.to_string()),
            ("faultTolerance.machines", "1".into()),
            ("faultTolerance.zones", "1".into()),
            ("faultTolerance.regions", "0".into()),
            ("timingBounds.coldSlack", "5".into()),
            ("bindAddrs.control", format!("{ip}:{CONTROL}")),
            ("bindAddrs.front", format!("{ip}:{FRONT}")),
            ("bindAddrs.readyAddr", format!("{ip}:{READY}")),
            ("dataDir", data.display().to_string()),
            ("cloudApi.address", self.list_address()),
            ("cloudApi.ratePerS", "40".into()),
            ("bootstrap|json", bootstrap.to_string()),
        ]);
        Ok(fill(&template, &fields, &self.seeds()))
    }

    fn prepare(&mut self, class: &'static str, role: &'static str, host: usize) -> Result<(), String> {
        let startup = self.folder.join(format!("{role}-{host}.json"));
        let text = self.startup_text(class, role, host, true)?;
        std::fs::write(&startup, text).map_err(|e| e.to_string())?;
        self.processes.push(Process { role, ip: self.ip(host), startup, child: None, starts: 0 });
        Ok(())
    }

    /// Starts all processes.
    pub fn start(&mut self) -> Result<(), String> {
        (0..self.processes.len()).try_for_each(|n| self.start_process(n))
    }

    fn start_process(&mut self, n: usize) -> Result<(), String> {
        let process = &self.processes[n];
        if process.starts == 1 {
            // `bootstrap` is true only at the very first start.
            let text = std::fs::read_to_string(&process.startup).map_err(|e| e.to_string())?;
            std::fs::write(&process.startup, text.replace("\"bootstrap\":true", "\"bootstrap\":false"))
                .map_err(|e| e.to_string())?;
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}-{}.log", process.role, process.ip)))
            .map_err(|e| e.to_string())?;
        let program = self.root.join(format!("target/release/dahliawick-{}", process.role));
        let child = Command::new(&program)
            .arg("--startup")
            .arg(&process.startup)
            .current_dir(&self.root)
            // The platform sets this too; one arena takes the least memory.
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("dahliawick-{} can't be started: {e}", process.role))?;
        let process = &mut self.processes[n];
        process.child = Some(child);
        process.starts += 1;
        Ok(())
    }

    /// The positions of the processes with a role, in the order of their machines.
    pub fn all(&self, role: &str) -> Vec<usize> {
        (0..self.processes.len()).filter(|n| self.processes[*n].role == role).collect()
    }
    /// The positions of the processes of a machine, by the number of a process there.
    pub fn machine_of(&self, n: usize) -> Vec<usize> {
        (0..self.processes.len()).filter(|m| self.processes[*m].ip == self.processes[n].ip).collect()
    }

    /// Kills a process.
    pub fn stop(&mut self, n: usize) {
        if let Some(mut child) = self.processes[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn name(&self, n: usize) -> String {
        format!("{}-{}", self.processes[n].role, self.processes[n].ip)
    }
    /// Empties the data folder of a process that was stopped.
    pub fn wipe(&self, n: usize) -> Result<(), String> {
        let process = &self.processes[n];
        let host = process.ip.rsplit('.').next().unwrap_or_default();
        let data = self.folder.join(format!("data/{}-{host}", process.role));
        std::fs::remove_dir_all(&data).and_then(|()| std::fs::create_dir_all(&data)).map_err(|e| e.to_string())
    }
    /// The most memory that a process has used since its start, in megabytes.
    pub fn peak_memory_mb(&self, n: usize) -> Option<u64> {
        let child = self.processes[n].child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
        line.split_whitespace().nth(1)?.parse::<u64>().ok().map(|kb| kb / 1024)
    }
    /// Starts a process again.
    pub fn restart(&mut self, n: usize) -> Result<(), String> {
        self.stop(n);
        self.start_process(n)
    }

    /// Sends an operator's request until it has a clear answer, as the operator does: to the
    /// storage machines in turn, following redirections.
    pub fn operate(&self, request: &Request, limit: Duration) -> Result<Response, String> {
        let end = Instant::now() + limit;
        let mut last = String::new();
        while Instant::now() < end {
            for seed in self.seeds() {
                let mut at = seed;
                for _ in 0..3 {
                    match send(&at, request, Duration::from_secs(1)) {
                        Ok(r) if r.status == 307 => {
                            let to = r.header("location").unwrap_or_default().trim_start_matches("http://").to_string();
                            at = to.split('/').next().unwrap_or_default().to_string();
                        }
                        Ok(r) if r.status < 500 && r.status != 408 && r.status != 429 => return Ok(r),
                        Ok(r) => {
                            last = format!("{} {}", r.status, r.text());
                            break;
                        }
                        Err(e) => {
                            last = e.to_string();
                            break;
                        }
                    }
                }
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err(format!("no clear answer to {} {}: {last}", request.method, request.target))
    }

    /// Waits until every edge machine says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), String> {
        let end = Instant::now() + limit;
        let ready = |h: usize| {
            let at = format!("{}:{READY}", self.ip(h));
            send(&at, &Request::new("GET", "/api/ready"), Duration::from_secs(1)).is_ok_and(|r| r.status == 200)
        };
        while !machines("edge").all(ready) {
            if Instant::now() > end {
                return Err("the edge machines did not get ready".into());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for n in 0..self.processes.len() {
            self.stop(n);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
