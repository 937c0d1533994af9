//! The startup file: a process's place, and its times, checked against each
//! other before anything starts.
use crate::prelude::*;
use snafu::{ensure, OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartupError {
    #[snafu(display("the startup file {} can't be read: {source}; name an existing file with --startup", path.display()))]
    Missing { path: PathBuf, source: std::io::Error },
    #[snafu(display("the startup file {} is faulty: {source}; its keys are in docs/startup.md", path.display()))]
    Faulty { path: PathBuf, source: serde_json::Error },
    #[snafu(display("'{key}' is '{value}', which is no address; write ip:port with an IP number"))]
    Address { key: String, value: String },
    #[snafu(display("'{key}' is '{value}'; write name=ip:port, as in placement-1=10.0.0.1:7000"))]
    NamedAddress { key: String, value: String },
    #[snafu(display("'id' is '{id}'; this program's ids begin with '{kind}-'"))]
    WrongKind { id: String, kind: String },
    #[snafu(display("'{key}' is missing; this program needs it"))]
    Needed { key: String },
    #[snafu(display(
        "'seeds' names {count} daemons; name the three placement daemons, or with 'speech' \"platform\" 1 to 3 of them"
    ))]
    Seeds { count: usize },
    #[snafu(display("'fronts' serve the platform's words; set 'speech' to \"platform\", or leave them out"))]
    Fronts,
    #[snafu(display("'{key}' can't change while the process runs; put it back, or restart the process"))]
    Fixed { key: String },
    #[snafu(display("unsafe times: {why}; {remedy}"))]
    Unsafe { why: String, remedy: String },
}

/// A daemon's name with its address.
#[derive(Clone, Debug, PartialEq)]
pub struct Named {
    pub id: Daemon,
    pub addr: String,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Startup {
    /// The file it was read from.
    #[serde(skip)]
    pub path: PathBuf,
    pub cluster: String,
    pub id: String,
    pub zone: String,
    /// For peers, TCP and UDP.
    pub listen: String,
    /// Where peers reach it, when that is not `listen`.
    #[serde(default)]
    pub announce: Option<String>,
    /// The product's own interface; may be left out where the platform's
    /// words are spoken.
    #[serde(default)]
    pub http: String,
    #[serde(default)]
    pub seeds: Vec<String>,
    #[serde(default)]
    pub data: Option<PathBuf>,
    /// A proxy's agent.
    #[serde(default)]
    pub agent: Option<String>,
    /// The platform's list, `ip:port/path`; placement only.
    #[serde(default)]
    pub platform: Option<String>,
    /// Calls a second the list takes from all daemons; 0 for no bound.
    #[serde(default, skip_serializing_if = "zero")]
    pub list_rate: f64,
    #[serde(default)]
    pub times: Times,
    #[serde(default)]
    pub bounds: Bounds,
    /// Whose words are spoken with the outside.
    #[serde(default, skip_serializing_if = "usual")]
    pub speech: Words,
    /// Founds a new fleet on empty data folders, as `--bootstrap` does.
    #[serde(default, skip_serializing_if = "usual")]
    pub bootstrap: bool,
    /// Where the platform's words are served, `ip:port`.
    #[serde(default, skip_serializing_if = "usual")]
    pub fronts: Vec<String>,
    /// The machine's own name.
    #[serde(default, skip_serializing_if = "usual")]
    pub machine: String,
    /// Where placement daemons listen for peers, for seeds without a name.
    #[serde(default, rename = "sibling_port", skip_serializing_if = "usual")]
    pub peer_port: u16,
    /// What the machine gives the process; bounds not set follow from it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
    #[serde(default, skip_serializing_if = "usual")]
    pub intake: InboundLimits,
    /// Calls in any second that a worker bears right after its start, beyond
    /// its service's cold rate; delivery only.
    #[serde(default = "cold_slack", skip_serializing_if = "is_usual_cold_slack")]
    pub cold_slack: f64,
    /// What may be lost at once with every promise kept.
    #[serde(default, skip_serializing_if = "usual")]
    pub tolerates: Tolerance,
}

/// Enough for two calls a second.
const COLD_SLACK: f64 = 2.5;

fn cold_slack() -> f64 {
    COLD_SLACK
}

fn is_usual_cold_slack(n: &f64) -> bool {
    *n == COLD_SLACK
}

fn usual<T: Default + PartialEq>(v: &T) -> bool {
    *v == T::default()
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Words {
    #[default]
    Own,
    Platform,
}

fn zero(n: &f64) -> bool {
    *n == 0.0
}

/// All in milliseconds but `drift_percent`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Times {
    pub pull: u64,
    pub lease: u64,
    pub drift_percent: u64,
    #[serde(rename = "charter_lease")]
    pub config_lease: u64,
    pub election_still: u64,
    pub election_beat: u64,
    pub window: u64,
    pub hold: u64,
    pub poll: u64,
    pub second_way: u64,
    pub give_up: u64,
    pub backoff: u64,
    pub backoff_max: u64,
    /// From the start of one sync to the next.
    pub sync_gap: u64,
}

impl Default for Times {
    fn default() -> Times {
        Times {
            pull: 400,
            lease: 3000,
            drift_percent: 5,
            config_lease: 2500,
            election_still: 900,
            election_beat: 200,
            window: 1000,
            hold: 3200,
            poll: 1000,
            second_way: 400,
            give_up: 2000,
            backoff: 200,
            backoff_max: 10_000,
            sync_gap: 6,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Bytes of bodies a store holds, on disk.
    pub bytes: u64,
    /// Bytes of files of a store.
    #[serde(skip_serializing_if = "usual_disk")]
    pub disk: u64,
    /// Bytes of bodies a store keeps in memory besides.
    #[serde(skip_serializing_if = "usual_cache")]
    pub cache: u64,
    /// Messages a store holds.
    pub messages: u64,
    /// Carries a proxy has under way.
    pub seats: u64,
    /// Attempts a delivery has in hand.
    pub hands: usize,
    /// Bytes of bodies that a delivery has in hand.
    #[serde(skip_serializing_if = "is_usual_attempt_bytes")]
    pub attempt_bytes: u64,
    /// Entries of the ring into the core.
    pub ring: usize,
    /// Frames waiting for one peer.
    pub frames: usize,
}

/// What stands at its default is not written out, so that the neighbouring
/// version reads the file too.
fn usual_disk(n: &u64) -> bool {
    *n == Bounds::default().disk
}
fn usual_cache(n: &u64) -> bool {
    *n == Bounds::default().cache
}
fn is_usual_attempt_bytes(n: &u64) -> bool {
    *n == Bounds::default().attempt_bytes
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            bytes: 256 << 20,
            disk: 640 << 20,
            cache: 24 << 20,
            messages: 150_000,
            seats: 256,
            hands: 2048,
            attempt_bytes: 48 << 20,
            ring: 8192,
            frames: 2048,
        }
    }
}

impl Times {
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms { length: Span::millis(self.lease), drift_percent: self.drift_percent }
    }
    /// The longest a partition can be without service after one hard fault:
    /// both leases out, a primary elected, reports in, resting attempts over.
    pub fn budget(&self) -> u64 {
        let lease = self.lease * (100 + self.drift_percent) / 100;
        let elect = self.election_still * 3;
        elect + self.window + lease.max(self.hold) + self.pull * 2 + 1000
    }
    pub fn check(&self) -> Result<(), StartupError> {
        let rules = [
            (self.pull * 3 > self.lease, "times.pull is over a third of times.lease", "pull three times within a lease"),
            (
                self.pull * 3 > self.config_lease,
                "times.pull is over a third of times.charter_lease",
                "pull three times within it",
            ),
            (
                self.config_lease > 2800,
                "times.charter_lease is over 2800",
                "keep it at 2800 or less, so that a charter is in force within 3 s",
            ),
            (
                self.election_beat * 3 > self.election_still,
                "times.election_beat is over a third of times.election_still",
                "beat three times within it",
            ),
            (
                self.hold * 100 < self.lease * (100 + self.drift_percent),
                "times.hold is shorter than a lease and its margin",
                "hold reservations at least as long as a lease can run",
            ),
            (self.sync_gap > 50, "times.sync_gap is over 50", "every acceptance waits for it; use 6"),
            (!(1..=20).contains(&self.drift_percent), "times.drift_percent is not within 1 to 20", "use 5"),
            (self.pull == 0 || self.poll == 0 || self.backoff == 0, "a pace is zero", "give each at least 1 ms"),
            (self.give_up <= self.second_way, "times.give_up is not over times.second_way", "leave time for the second way"),
            (self.give_up > 2000, "times.give_up is over 2000", "a proxy must tell a keeper's word within 2 s; use 2000 or less"),
            (
                self.lease * (100 - self.drift_percent.min(100)) / 100 < self.give_up + 100 + self.pull,
                "times.lease leaves no time in which a refusal is certain",
                "let a lease less its margin be 100 ms longer than times.give_up and times.pull together",
            ),
            (
                self.budget() > 12_000,
                "service could take over 12 s to come back after a hard fault",
                "shorten times.lease, times.hold, times.window or times.election_still",
            ),
        ];
        for (bad, why, remedy) in rules {
            ensure!(!bad, UnsafeSnafu { why, remedy });
        }
        Ok(())
    }
}

fn named(key: &str, value: &str) -> Result<Named, StartupError> {
    let (id, addr) = value.split_once('=').context(NamedAddressSnafu { key, value })?;
    addr.parse::<SocketAddr>().ok().context(NamedAddressSnafu { key, value })?;
    Ok(Named { id: Daemon(id.to_string()), addr: addr.to_string() })
}

impl Startup {
    pub fn read(path: &Path) -> Result<Startup, StartupError> {
        let text = std::fs::read_to_string(path).context(MissingSnafu { path })?;
        Startup::parse(&text, path)
    }
    /// Reads a startup file's text; `path` is where it came from.
    pub fn parse(text: &str, path: &Path) -> Result<Startup, StartupError> {
        let given: serde_json::Value = serde_json::from_str(text).context(FaultySnafu { path })?;
        let mut startup: Startup = serde_json::from_str(text).context(FaultySnafu { path })?;
        startup.path = path.to_path_buf();
        if let Some(limits) = startup.limits {
            limits.fill_unset_bounds(&mut startup, &given);
        }
        Ok(startup)
    }

    /// Checks everything that can be checked without starting.
    pub fn check(&self, kind: &str) -> Result<(), StartupError> {
        ensure!(self.id.starts_with(&format!("{kind}-")), WrongKindSnafu { id: &self.id, kind });
        let announce = self.announce.as_ref().unwrap_or(&self.listen);
        let own = (self.speech == Words::Own || !self.http.is_empty()).then_some(("http", &self.http));
        let fronts = self.fronts.iter().map(|f| ("fronts", f));
        for (key, value) in [("listen", &self.listen), ("announce", announce)].into_iter().chain(own).chain(fronts) {
            ensure!(value.parse::<SocketAddr>().is_ok(), AddressSnafu { key, value });
        }
        ensure!(self.speech == Words::Platform || self.fronts.is_empty(), FrontsSnafu);
        ensure!(!self.cluster.is_empty(), NeededSnafu { key: "cluster" });
        ensure!(!self.zone.is_empty(), NeededSnafu { key: "zone" });
        if kind == "proxy" {
            self.agent()?;
        } else {
            let fit = match self.speech {
                Words::Own => 3..=3,
                Words::Platform => 1..=3,
            };
            ensure!(fit.contains(&self.seeds.len()), SeedsSnafu { count: self.seeds.len() });
            self.seeds()?;
        }
        if matches!(kind, "placement" | "store") {
            ensure!(self.data.is_some(), NeededSnafu { key: "data" });
        }
        self.times.check()
    }
    pub fn seeds(&self) -> Result<Vec<Named>, StartupError> {
        self.seeds.iter().map(|s| self.seed(s)).collect()
    }
    /// A seed by name, or by where it serves operators: it then listens for
    /// peers at the same IP number.
    fn seed(&self, value: &str) -> Result<Named, StartupError> {
        if value.contains('=') || self.speech == Words::Own {
            return named("seeds", value);
        }
        let addr: SocketAddr = value.parse().ok().context(AddressSnafu { key: "seeds", value })?;
        ensure!(self.peer_port != 0, NeededSnafu { key: "sibling_port" });
        let at = SocketAddr::new(addr.ip(), self.peer_port);
        Ok(Named { id: Daemon(format!("placement-{}", addr.ip())), addr: at.to_string() })
    }
    pub fn agent(&self) -> Result<Named, StartupError> {
        let a = self.agent.as_ref().context(NeededSnafu { key: "agent" })?;
        named("agent", a)
    }
    pub fn member(&self, life: IncarnationId) -> Member {
        Member {
            id: Daemon(self.id.clone()),
            zone: Zone(self.zone.clone()),
            addr: self.announce.clone().unwrap_or_else(|| self.listen.clone()),
            http: self.fronts.first().unwrap_or(&self.http).clone(),
            incarnation: life,
            disk_id: IncarnationId(0),
            machine: self.machine.clone(),
        }
    }
}
