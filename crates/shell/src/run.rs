//! The core's own thread and what its effects become.
use crate::prelude::*;
use crossbeam_channel::{bounded, RecvTimeoutError, Sender};
use snafu::{ResultExt, Snafu};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

#[derive(Debug, Snafu)]
pub enum ShellError {
    #[snafu(display("{source}"), context(false))]
    Startup { source: StartupError },
    #[snafu(display("{source}"), context(false))]
    Disk { source: DiskError },
    #[snafu(display("'{addr}' can't be listened on: {source}; is another process there?"))]
    Listen { addr: String, source: std::io::Error },
    #[snafu(display("'{addr}' can't serve HTTP: {why}; is another process there?"))]
    Http { addr: String, why: String },
    #[snafu(display("a thread could not be started: {source}"))]
    Thread { source: std::io::Error },
}

/// What a program hands its core when it makes it.
pub struct Parts {
    pub me: Member,
    pub files: Vec<(String, Bytes)>,
    pub fresh: Mark,
    pub seed: u64,
    pub now: Time,
}

enum Job {
    Save { n: u64, name: String, bytes: Bytes },
    Remove(String),
}

/// Between two clock events.
const TICK: Duration = Duration::from_millis(20);

/// Syncs one save at a time, none sooner than `gap` after the last: what the
/// core pushes meanwhile goes into one file with one sync.
fn keep(folder: Folder, jobs: crossbeam_channel::Receiver<Job>, ring: Sender<Event>, gap: Duration) {
    let mut last = Instant::now();
    for job in jobs {
        match job {
            Job::Save { n, name, bytes } => {
                std::thread::sleep(gap.saturating_sub(last.elapsed()));
                last = Instant::now();
                if let Err(e) = folder.save(&name, &bytes) {
                    log::error!("{} {}: {e}", Note::DiskFailed.number(), Note::DiskFailed.what());
                    // What can't be synced must not be claimed: fail whole.
                    std::process::exit(74);
                }
                if ring.send(Event::Saved(n)).is_err() {
                    return;
                }
            }
            Job::Remove(name) => {
                if let Err(e) = folder.remove(&name) {
                    log::warn!("{} {}: {e}", Note::DiskFailed.number(), Note::DiskFailed.what());
                }
            }
        }
    }
}

/// Runs a daemon until it is told to leave and has drained.
pub fn run<C: Core>(
    startup: &Startup,
    known: Vec<Named>,
    face: Face,
    make: impl FnOnce(Parts) -> (C, Vec<Effect>),
) -> Result<(), ShellError> {
    let mut rng = fastrand::Rng::new();
    let life = Mark(u64::from(rng.u32(1..)));
    let me = startup.member(life);
    let (ring, events) = bounded(startup.bounds.ring);
    let (jobs, todo) = bounded(1024);
    let mut files = Vec::new();
    if let Some(path) = &startup.data {
        let folder = Folder::open(path, &format!("{}/{}", startup.cluster, startup.id))?;
        files = folder.load()?;
        let ring = ring.clone();
        let gap = Duration::from_millis(startup.times.sync_gap);
        std::thread::Builder::new().name("disk".into()).spawn(move || keep(folder, todo, ring, gap)).context(ThreadSnafu)?;
    }
    let wires = crate::wires::start(startup, me.clone(), ring.clone()).context(ListenSnafu { addr: &startup.listen })?;
    for n in known {
        wires.learn(&n.id, &n.addr);
    }
    let calls = crate::calls::start(ring.clone(), 4096).context(ThreadSnafu)?;
    let desk = Arc::new(Desk::new(ring.clone(), 1024, Duration::from_secs(5)));
    if let Err(why) = crate::desk::start(face, &startup.http, desk.clone()) {
        return HttpSnafu { addr: &startup.http, why }.fail();
    }
    watch_signals(ring.clone()).context(ThreadSnafu)?;
    let parts = Parts { me, files, fresh: Mark(rng.u64(1..)), seed: rng.u64(..), now: now() };
    let (mut core, first) = make(parts);
    log::info!("{} {}: {} in zone {}", Note::Started.number(), Note::Started.what(), startup.id, startup.zone);
    let out = Out { wires, jobs, calls, desk, ring };
    let mut gone = out.do_all(first);
    let mut due = now();
    while !gone {
        let left = Duration::from_micros(due.left(now()).0);
        let event = match events.recv_timeout(left) {
            Ok(e) => e,
            Err(RecvTimeoutError::Timeout) => Event::Clock,
            Err(RecvTimeoutError::Disconnected) => break,
        };
        let at = now();
        if event == Event::Clock {
            due = at + Span(TICK.as_micros() as u64);
        }
        gone = out.do_all(core.step(event, at));
        // A busy ring must not starve the clock.
        if !gone && now() >= due {
            let at = now();
            due = at + Span(TICK.as_micros() as u64);
            gone = out.do_all(core.step(Event::Clock, at));
        }
    }
    log::info!("{} {}: {}", Note::Stopped.number(), Note::Stopped.what(), startup.id);
    Ok(())
}

struct Out {
    wires: Arc<crate::wires::Wires>,
    jobs: Sender<Job>,
    calls: mpsc::Sender<(CallId, Call)>,
    desk: Arc<Desk>,
    ring: Sender<Event>,
}

impl Out {
    /// True when the daemon may end.
    fn do_all(&self, effects: Vec<Effect>) -> bool {
        let mut gone = false;
        for e in effects {
            match e {
                Effect::Say(to, msg) => self.wires.say(to, msg),
                Effect::Save { n, name, bytes } => drop(self.jobs.send(Job::Save { n, name, bytes })),
                Effect::Remove(name) => drop(self.jobs.send(Job::Remove(name))),
                Effect::Tell(id, v) => self.desk.tell(id, self.meter(v)),
                Effect::Call(id, call) => {
                    if self.calls.try_send((id, call)).is_err() {
                        log::warn!("{} {}: calls", Note::RingFull.number(), Note::RingFull.what());
                        let _ = self.ring.try_send(Event::Back(id, Reply::Lost(Sent::No)));
                    }
                }
                Effect::Note(note, text) => {
                    let level = match note.level() {
                        Level::Error => log::Level::Error,
                        Level::Warn => log::Level::Warn,
                        Level::Info => log::Level::Info,
                    };
                    log::log!(level, "{} {}: {text}", note.number(), note.what());
                }
                Effect::Learn(d, addr) => self.wires.learn(&d, &addr),
                Effect::Zone(d, zone) => self.wires.learn_zone(&d, &zone),
                Effect::Gone => gone = true,
            }
        }
        gone
    }

    /// Adds the shell's own counts to a status.
    fn meter(&self, mut v: Verdict) -> Verdict {
        if v.code != 200 || !v.json.contains("\"daemon\"") {
            return v;
        }
        let Ok(mut j) = serde_json::from_str::<serde_json::Value>(&v.json) else { return v };
        let w = &self.wires;
        j["wire"] = serde_json::json!({
            "frames": w.sent_frames.load(Ordering::Relaxed),
            "bytes": w.sent_bytes.load(Ordering::Relaxed),
            "bytes_between_zones": w.far_bytes.load(Ordering::Relaxed),
            "dropped": w.dropped.load(Ordering::Relaxed),
        });
        v.json = j.to_string();
        v
    }
}

fn watch_signals(ring: Sender<Event>) -> std::io::Result<()> {
    let wait = move || {
        let Ok(rt) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        rt.block_on(async move {
            use tokio::signal::unix::{signal, SignalKind};
            let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) else {
                return;
            };
            tokio::select! { _ = term.recv() => {}, _ = int.recv() => {} }
            log::info!("{} {}", Note::Stopping.number(), Note::Stopping.what());
            let _ = ring.send(Event::Leave);
        });
    };
    std::thread::Builder::new().name("signals".into()).spawn(wait)?;
    Ok(())
}
