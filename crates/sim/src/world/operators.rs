//! Operators: configurations and orders, and what they are told.

use crate::prelude::*;
use serde_json::{json, Value};

impl World {
    /// The operator asks every placement daemon; the primary answers.
    pub fn operate(&mut self, ask: ApiRequest, base: &str, what: &str) {
        let (base, what) = (base.to_string(), what.to_string());
        for to in self.placements() {
            let asked = Asked::Operator { base: base.clone(), what: what.clone() };
            self.ask(&to, ask.clone(), asked);
        }
    }

    pub fn send_config(&mut self, what: &str, shares: &[(String, u32)], base: &str) {
        let json = config(shares).to_string();
        let op = format!("op-{what}-{}", self.next_ask);
        self.operate(
            ApiRequest::Apply(ApplyRequest { operation_id: op, base: base.into(), json: json.clone(), is_patch: false }),
            base,
            &format!("charter {json}"),
        );
    }

    pub(super) fn operated(&mut self, base: String, what: String, v: Option<ApiResponse>) {
        let unsure = v.as_ref().is_none_or(|v| v.code == 504);
        if let (true, Some(json)) = (unsure, what.strip_prefix("charter ")) {
            self.maybe.push(json.to_string());
        }
        let Some(v) = v else { return };
        if v.code == 503 {
            return;
        }
        let j: Value = serde_json::from_str(&v.json).unwrap_or_default();
        let version = j["version"].as_str().unwrap_or_default().to_string();
        self.say(format!("operator told {} {} for {}", v.code, version, &what[..what.len().min(40)]));
        if let Some(json) = what.strip_prefix("charter ") {
            if json == "bad" {
                if v.code < 400 {
                    self.check.flag("an invalid charter was acknowledged".into());
                }
                return;
            }
            if v.code != 200 {
                return;
            }
            // Of two made from one base, one at most may be acknowledged.
            if self.maybe.is_empty() && self.acked.as_ref().is_some_and(|(b, _)| *b != base) {
                self.check.flag(format!("a charter made from {base} was acknowledged over {:?}", self.acked));
            }
            self.soon(Span::secs(3), Ev::InForce(version.clone()));
            if let Ok(c) = dw_config::check::read(json) {
                let shares = c.tenants.into_iter().map(|t| (t.name, t.share)).collect();
                self.check.shares(shares, self.now);
            }
            self.acked = Some((version, json.to_string()));
            self.acknowledged();
        }
        if let Some(zone) = what.strip_prefix("empty ") {
            if v.code == 200 {
                self.check.empty_zone(zone, self.now);
            }
        }
        if let Some(worker) = what.strip_prefix("drain ") {
            if v.code == 200 {
                self.check.bar(worker, self.now);
            }
        }
        if what == "plan" && v.code == 200 {
            self.planned = j["seats"].as_array().cloned().unwrap_or_default();
        }
        if what == "show" && v.code == 200 {
            self.count("shown", 1);
            let shown = j["charter"].clone();
            let Some((version, json)) = self.acked.clone() else { return };
            let whole = |json: &str| dw_config::check::read(json).ok().and_then(|c| serde_json::to_value(c).ok());
            let later = self.maybe.iter().any(|m| whole(m).as_ref() == Some(&shown));
            let same = j["version"].as_str() == Some(&version) && whole(&json) == Some(shown);
            if !same && !later {
                self.check.flag(format!("the charter reads back as {}, acknowledged was {version}", j["version"]));
            }
        }
    }

    /// Whether a partition is served and every duty held.
    pub fn ready(&mut self) -> bool {
        let mut serving = 0;
        for id in founders().into_iter().filter(|d| d.kind() == DaemonKind::Store) {
            let Some(j) = self.status(&id) else { return false };
            for p in j["places"].as_array().into_iter().flatten() {
                serving += u64::from(p["phase"] == "serving");
            }
        }
        serving == 12
    }

    /// No daemon may now act by an older configuration: it holds this one or a
    /// later, or says itself that it can't confirm what it holds.
    pub(super) fn in_force(&mut self, version: &str) {
        let read = |v: &str| -> Option<(u64, u64)> {
            let (a, b) = v.split_once('.')?;
            Some((a.parse().ok()?, b.parse().ok()?))
        };
        let want = read(version);
        for id in self.all(None).into_iter().filter(|d| d.kind() != DaemonKind::Placement) {
            let Some(j) = self.status(&id) else { continue };
            let held = j["charter"].as_str().and_then(read);
            if j["fresh"] == json!(true) && held < want {
                self.check.flag(format!("{id} acts by charter {} 3 s after {version} was acknowledged", j["charter"]));
            }
            self.count("in force", 1);
        }
    }
}
