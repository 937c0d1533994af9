//! The house's processes, from its sample startup files, at addresses the
//! system picks.
use crate::fleet::prelude::*;
use std::fs;
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};

pub struct Machine {
    pub id: String,
    pub kind: String,
    pub http: String,
    pub startup: PathBuf,
    pub data: Option<PathBuf>,
    pub child: Option<Child>,
    pub starts: u32,
    /// Figures of earlier lives.
    pub cpu: f64,
    pub top: u64,
}

/// Invariant: only processes in `all` are ever signalled, by their own id.
pub struct Fleet {
    pub dir: PathBuf,
    pub bins: PathBuf,
    pub all: Map<String, Machine>,
    pub charter: String,
    /// Sample address to the one picked.
    pub addrs: HashMap<String, String>,
    holds: Vec<TcpListener>,
}

impl Fleet {
    /// Reads a house's samples and writes startup files of this run.
    pub fn lay(samples: &Path, dir: &Path, edges: usize) -> Result<Fleet, String> {
        let bins = std::env::current_exe().map_err(|e| e.to_string())?;
        let bins = bins.parent().ok_or("no folder holds this program")?.to_path_buf();
        let mut f = Fleet {
            dir: dir.to_path_buf(),
            bins,
            all: Map::new(),
            charter: String::new(),
            addrs: HashMap::new(),
            holds: Vec::new(),
        };
        fs::create_dir_all(dir.join("run")).map_err(|e| e.to_string())?;
        let mut list: Vec<PathBuf> = fs::read_dir(samples.join("startup"))
            .map_err(|e| format!("{}: {e}", samples.display()))?
            .filter_map(|e| e.ok().map(|e| e.path()))
            .collect();
        list.sort();
        for path in list {
            let mut s = Startup::read(&path).map_err(|e| e.to_string())?;
            let kind = s.id.split('-').next().unwrap_or_default().to_string();
            let n: usize = s.id.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap_or(0);
            if matches!(kind.as_str(), "agent" | "proxy") && n > edges {
                continue;
            }
            s.listen = f.addr(&s.listen)?;
            s.http = f.addr(&s.http)?;
            s.seeds = s.seeds.iter().map(|x| f.named(x)).collect::<Result<_, _>>()?;
            s.agent = s.agent.as_ref().map(|x| f.named(x)).transpose()?;
            if let Some(p) = &s.platform {
                let (a, path) = p.split_once('/').unwrap_or((p, ""));
                s.platform = Some(format!("{}/{path}", f.addr(a)?));
            }
            let data = s.data.is_some().then(|| dir.join("data").join(&s.id));
            if let Some(d) = &data {
                fs::create_dir_all(d).map_err(|e| e.to_string())?;
            }
            s.data.clone_from(&data);
            let out = dir.join("run").join(format!("{}.json", s.id));
            let text = serde_json::to_string_pretty(&s).map_err(|e| e.to_string())?;
            fs::write(&out, text).map_err(|e| e.to_string())?;
            let m = Machine {
                id: s.id.clone(),
                kind,
                http: s.http.clone(),
                startup: out,
                data,
                child: None,
                starts: 0,
                cpu: 0.0,
                top: 0,
            };
            f.all.insert(s.id, m);
        }
        let text = fs::read_to_string(samples.join("charter.json")).map_err(|e| e.to_string())?;
        let mut c: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        for e in c["endpoints"].as_array_mut().into_iter().flatten() {
            let a = e["address"].as_str().unwrap_or_default().to_string();
            e["address"] = f.addr(&a)?.into();
        }
        f.charter = c.to_string();
        Ok(f)
    }

    /// The address picked for a sample's: the same host, a free port.
    pub fn addr(&mut self, sample: &str) -> Result<String, String> {
        if let Some(a) = self.addrs.get(sample) {
            return Ok(a.clone());
        }
        let host = sample.split(':').next().unwrap_or("127.0.0.1");
        // The host's last two numbers stay; the second is this run's own.
        let part = std::process::id() % 200 + 20;
        let host = host.splitn(3, '.').collect::<Vec<_>>();
        let host = format!("{}.{part}.{}", host[0], host[2]);
        let l = TcpListener::bind(format!("{host}:0")).map_err(|e| format!("{host}: {e}"))?;
        let a = l.local_addr().map_err(|e| e.to_string())?.to_string();
        self.holds.push(l);
        self.addrs.insert(sample.to_string(), a.clone());
        Ok(a)
    }

    fn named(&mut self, x: &str) -> Result<String, String> {
        let (id, a) = x.split_once('=').ok_or("a seed without a name")?;
        Ok(format!("{id}={}", self.addr(a)?))
    }

    /// Lets go of the picked ports, so that the processes can take them.
    pub fn let_go(&mut self) {
        self.holds.clear();
    }

    pub fn start(&mut self, id: &str, found: bool) -> Result<(), String> {
        let bins = self.bins.clone();
        let dir = self.dir.clone();
        let Some(m) = self.all.get_mut(id) else { return Err(format!("no process is named '{id}'")) };
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(dir.join("run").join(format!("{id}.log")))
            .map_err(|e| e.to_string())?;
        let mut c = Command::new(bins.join(format!("dahliawick-{}", m.kind)));
        c.arg("--startup").arg(&m.startup).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::from(log));
        if found && m.kind == "placement" {
            c.arg("--bootstrap");
        }
        let child = c.spawn().map_err(|e| format!("{}: {e}; build the programs first", m.kind))?;
        m.child = Some(child);
        m.starts += 1;
        Ok(())
    }

    pub fn pid(&self, id: &str) -> Option<rustix::process::Pid> {
        let c = self.all.get(id)?.child.as_ref()?;
        rustix::process::Pid::from_raw(c.id() as i32)
    }

    pub fn signal(&self, id: &str, s: rustix::process::Signal) {
        if let Some(p) = self.pid(id) {
            let _ = rustix::process::kill_process(p, s);
        }
    }

    /// Notes a process's figures so that they outlast it.
    pub fn meter(&mut self, id: &str) -> (f64, u64) {
        let Some(m) = self.all.get_mut(id) else { return (0.0, 0) };
        let Some(c) = &m.child else { return (m.cpu, m.top) };
        let stat = fs::read_to_string(format!("/proc/{}/stat", c.id())).unwrap_or_default();
        let cells: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks: f64 = [11, 12].iter().filter_map(|n| cells.get(*n)?.parse::<f64>().ok()).sum();
        let status = fs::read_to_string(format!("/proc/{}/status", c.id())).unwrap_or_default();
        let top = status
            .lines()
            .find_map(|l| l.strip_prefix("VmHWM:"))
            .and_then(|l| l.trim().trim_end_matches(" kB").trim().parse().ok())
            .unwrap_or(0);
        (m.cpu + ticks / 100.0, m.top.max(top))
    }

    /// Ends a process at once and waits for it.
    pub fn kill(&mut self, id: &str) {
        let (cpu, top) = self.meter(id);
        let Some(m) = self.all.get_mut(id) else { return };
        (m.cpu, m.top) = (cpu, top);
        if let Some(mut c) = m.child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    pub fn wipe(&mut self, id: &str) -> Result<(), String> {
        self.kill(id);
        let Some(d) = self.all.get(id).and_then(|m| m.data.clone()) else { return Ok(()) };
        fs::remove_dir_all(&d).and_then(|()| fs::create_dir_all(&d)).map_err(|e| e.to_string())
    }

    /// Those that ended by themselves although nobody ended them.
    pub fn fallen(&mut self) -> Vec<String> {
        let mut out = Vec::new();
        for m in self.all.values_mut() {
            let Some(c) = m.child.as_mut() else { continue };
            if let Ok(Some(status)) = c.try_wait() {
                m.child = None;
                out.push(format!("{} ended by itself: {status}", m.id));
            }
        }
        out
    }

    pub fn ids(&self, kind: &str) -> Vec<String> {
        self.all.values().filter(|m| m.kind == kind).map(|m| m.id.clone()).collect()
    }
    pub fn http(&self, id: &str) -> String {
        self.all.get(id).map(|m| m.http.clone()).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for id in self.all.keys().cloned().collect::<Vec<_>>() {
            self.kill(&id);
        }
    }
}
