//! An operator who changes the configuration again and again while a fleet runs.
use crate::fleet::prelude::*;
use serde_json::Value;
use std::time::Instant;

/// Between two changes of a series.
const PAUSE: Duration = Duration::from_millis(250);
/// How long one placement daemon is waited for.
const PATIENCE: Duration = Duration::from_secs(2);
/// Attempts are given so many milliseconds, in turn.
const ATTEMPT_MS: [u64; 4] = [2000, 1800, 2200, 1900];

/// A configuration's version, as `term.count`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigVersion {
    term: u64,
    count: u64,
}

impl ConfigVersion {
    pub fn parse(text: &str) -> Option<ConfigVersion> {
        let (term, count) = text.split_once('.')?;
        Some(ConfigVersion { term: term.parse().ok()?, count: count.parse().ok()? })
    }
}

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.term, self.count)
    }
}

/// What the operator knows. Invariant: `acknowledged` never goes back.
#[derive(Debug, Default)]
struct Known {
    acknowledged: ConfigVersion,
    changes: u64,
}

/// Shared by the series under way.
pub struct Operator {
    placements: Vec<String>,
    config: Value,
    known: Mutex<Known>,
}

impl Operator {
    /// One who was told that `version` of `config` is in force.
    pub fn new(placements: Vec<String>, config: &str, version: ConfigVersion) -> Arc<Operator> {
        let config = serde_json::from_str(config).unwrap_or_default();
        let known = Mutex::new(Known { acknowledged: version, changes: 0 });
        Arc::new(Operator { placements, config, known })
    }

    /// The newest version that was acknowledged.
    pub fn acknowledged(&self) -> ConfigVersion {
        self.known.lock().map(|known| known.acknowledged).unwrap_or_default()
    }

    /// How many changes were acknowledged.
    pub fn changes(&self) -> u64 {
        self.known.lock().map(|known| known.changes).unwrap_or_default()
    }

    /// Changes the configuration one time after the other for so long.
    pub fn begin_series(self: &Arc<Operator>, lasts: Duration) {
        let operator = self.clone();
        tokio::spawn(async move {
            let from = Instant::now();
            while from.elapsed() < lasts {
                operator.change().await;
                tokio::time::sleep(PAUSE).await;
            }
        });
    }

    /// Makes one change on top of the version in force, wherever that is told.
    async fn change(&self) {
        for http in &self.placements {
            let Some(base) = self.in_force(http).await else { continue };
            let config = altered(self.config.clone(), base.count);
            let path = format!("http://{http}/v1/charter?base={base}&op=change-{base}");
            let Ok(said) = ask_with(http::Method::PUT, &path, config.to_string(), PATIENCE).await else { continue };
            let version = said.json()["version"].as_str().and_then(ConfigVersion::parse);
            if let (200, Some(version)) = (said.code, version) {
                return self.learn(version);
            }
        }
    }

    async fn in_force(&self, http: &str) -> Option<ConfigVersion> {
        let said = ask_with(http::Method::GET, &format!("http://{http}/v1/charter"), "", PATIENCE).await.ok()?;
        said.json()["version"].as_str().and_then(ConfigVersion::parse)
    }

    fn learn(&self, version: ConfigVersion) {
        let Ok(mut known) = self.known.lock() else { return };
        known.acknowledged = known.acknowledged.max(version);
        known.changes += 1;
    }
}

/// The configuration with another time for each attempt.
fn altered(mut config: Value, turn: u64) -> Value {
    let attempt_ms = ATTEMPT_MS[turn as usize % ATTEMPT_MS.len()];
    for template in config["templates"].as_array_mut().into_iter().flatten() {
        for queue in template["waitlists"].as_array_mut().into_iter().flatten() {
            queue["attempt_ms"] = attempt_ms.into();
        }
    }
    config
}
