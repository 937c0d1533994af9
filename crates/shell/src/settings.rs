//! A startup file that changes while the process runs.
use crate::prelude::*;
use snafu::ensure;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tokio::sync::watch;

/// Between two looks at the file.
const LOOK: Duration = Duration::from_secs(1);

/// By what a change is noticed without reading.
type Trace = Option<(SystemTime, u64)>;

/// Invariant: `now` is the last file that was read whole and checked.
pub struct Settings {
    now: Startup,
    trace: Trace,
}

fn trace(path: &Path) -> Trace {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

impl Settings {
    pub fn new(now: Startup) -> Settings {
        Settings { trace: trace(&now.path), now }
    }
    pub fn now(&self) -> &Startup {
        &self.now
    }
    /// Reads the file if it was changed, or at once with `told`. `None` means
    /// that nothing else stands in it; `Err` that the old one stays.
    pub fn look(&mut self, told: bool) -> Option<Result<(), StartupError>> {
        let seen = trace(&self.now.path);
        if !told && seen == self.trace {
            return None;
        }
        self.trace = seen;
        match self.read() {
            Ok(next) if next == self.now => None,
            Ok(next) => {
                self.now = next;
                Some(Ok(()))
            }
            Err(e) => Some(Err(e)),
        }
    }
    fn read(&self) -> Result<Startup, StartupError> {
        let next = Startup::read(&self.now.path)?;
        next.check(self.now.kind())?;
        next.follows(&self.now)?;
        Ok(next)
    }
}

impl Startup {
    /// The first part of its id.
    pub fn kind(&self) -> &str {
        self.id.split('-').next().unwrap_or_default()
    }
    /// Whether a running process can go over to this from `was`.
    fn follows(&self, was: &Startup) -> Result<(), StartupError> {
        let fixed = [
            ("cluster", self.cluster == was.cluster),
            ("id", self.id == was.id),
            ("zone", self.zone == was.zone),
            ("listen", self.listen == was.listen),
            ("announce", self.announce == was.announce),
            ("http", self.http == was.http),
            ("fronts", self.fronts == was.fronts),
            ("data", self.data == was.data),
            ("speech", self.speech == was.speech),
        ];
        for (key, same) in fixed {
            ensure!(same, crate::startup::FixedSnafu { key });
        }
        Ok(())
    }
}

/// Looks at the file for as long as the process runs: at SIGHUP, and without.
pub async fn keep(mut settings: Settings, taken: watch::Sender<Startup>) {
    use tokio::signal::unix::{signal, SignalKind};
    let Ok(mut hup) = signal(SignalKind::hangup()) else { return };
    loop {
        let told = tokio::select! {
            _ = hup.recv() => true,
            () = tokio::time::sleep(LOOK) => false,
        };
        match settings.look(told) {
            None => {}
            Some(Ok(())) => {
                log::info!("{} {}", LogEvent::SettingsApplied.number(), LogEvent::SettingsApplied.description());
                taken.send_replace(settings.now().clone());
            }
            Some(Err(e)) => log::warn!("{} {}: {e}", LogEvent::SettingsRefused.number(), LogEvent::SettingsRefused.description()),
        }
    }
}
