//! The operator of routed messages: configurations with a number of their own,
//! zones emptied and taken back.
use super::control::{action, answer, plain};
use crate::prelude::*;
use serde_json::{json, Value};

/// An operator moves on to another daemon after this silence.
const SILENCE: Span = Span::secs(1);
/// Sendings of one order until it is left as it is.
const SENDINGS: u32 = 60;

fn routes_of(c: &Config) -> Vec<RouteSeen> {
    let one = |r: &Route| RouteSeen {
        name: r.name.clone(),
        prefix: r.prefix.clone(),
        service: r.service.clone(),
        ordered: r.ordered,
        attempts: r.max_attempts.max(1),
        attempt: Span::millis(r.attempt_timeout_ms),
        worth: if r.ttl_ms == 0 { Span::secs(86_400) } else { Span::millis(r.ttl_ms) },
        call_back: r.allows_callback,
    };
    c.routes.iter().map(one).collect()
}

impl World {
    pub(super) fn order(&mut self, ask: ApiRequest, what: What) {
        let to = self.rng.usize(..self.placements().len().max(1));
        self.mail.orders.push(Ordering { ask, what, to, tries: 0, over: false, awaited: 0, operation: 0 });
        self.order_again(self.mail.orders.len() - 1);
    }

    pub(super) fn order_again(&mut self, n: usize) {
        let Some(o) = self.mail.orders.get_mut(n).filter(|o| !o.over) else { return };
        o.tries += 1;
        o.awaited = o.tries;
        if o.tries > SENDINGS {
            o.over = true;
            return self.count("orders left", 1);
        }
        o.operation = self.control.call(action(&o.what), self.now);
        let (place, ask, tries) = (o.to, o.ask.clone(), o.tries);
        let placements = self.placements();
        let to = placements[place % placements.len()].clone();
        let at = self.next_ask;
        match self.ask(&to, ask, Asked::Order(n, tries)) {
            true => self.soon(SILENCE, Ev::AskTimeout(RequestId(at))),
            false => self.order_elsewhere(n, None),
        }
    }

    fn order_elsewhere(&mut self, n: usize, hint: Option<String>) {
        let hinted = hint.and_then(|address| self.at_address(&address));
        let told = self.placements().iter().position(|d| Some(d) == hinted.as_ref());
        let now = self.now;
        let Some(o) = self.mail.orders.get_mut(n) else { return };
        self.control.answered(o.operation, Answer::Unclear, now);
        o.to = told.unwrap_or(o.to + 1);
        let pause = if told.is_some() { Span::millis(2) } else { Span::millis(50 + 40 * u64::from(o.tries.min(12))) };
        self.soon(pause, Ev::Routed(Turn::Order(n)));
    }

    pub(super) fn ordered(&mut self, n: usize, tries: u32, v: Option<ApiResponse>) {
        let now = self.now;
        let Some(o) = self.mail.orders.get_mut(n).filter(|o| !o.over && o.awaited == tries) else { return };
        self.control.answered(o.operation, answer(&o.what, v.as_ref()), now);
        let Some(v) = v else { return self.order_elsewhere(n, None) };
        match v.code {
            200 => o.over = true,
            400 | 404 | 409 | 412 | 413 | 422 => o.over = true,
            _ => return self.order_elsewhere(n, v.redirect_to),
        }
        let (what, good) = (o.what.clone(), v.code == 200);
        self.say(format!("operator told {} for {what:?}", v.code));
        if good && !matches!(what, What::Show | What::Read) {
            self.acknowledged();
        }
        match what {
            What::Config(c) => {
                let s = &mut self.seen.configs[c];
                match good {
                    true => s.acked = Some(now),
                    false => s.refused = true,
                }
                if good {
                    self.count("charters", 1);
                    self.mail.acked = self.mail.acked.max(self.seen.configs[c].revision);
                }
            }
            What::Empty(z) if good => self.seen.zones.push((z, now, None)),
            What::Show if good => self.shown_back(v),
            What::Empty(_) | What::Restore(_) | What::Show | What::Read => {}
        }
    }

    /// The configuration, read back, is the newest acknowledged or one that may
    /// have come after it, and is what was sent.
    fn shown_back(&mut self, v: ApiResponse) {
        self.mail.read_back = true;
        let text = v.body.as_ref().map(|b| String::from_utf8_lossy(b).to_string()).unwrap_or_default();
        let Ok(c) = dw_config::check::read(&text) else {
            return self.seen.flag("charters: read back, it is no charter".into());
        };
        let newest = self.mail.acked;
        let text = plain(&c);
        let fits = self.seen.configs.iter().any(|s| s.possible() && s.revision >= newest && s.text == text);
        if !fits {
            self.seen
                .flag(format!("charters: revision {} is read back, {newest} was acknowledged, or it is altered", c.revision));
        }
    }

    /// States a configuration, whole or as a patch of the newest.
    fn revise(&mut self, base: u64, json: Value, patch: bool, valid: bool) {
        let text = json.to_string();
        let whole = match patch {
            false => dw_config::check::read(&text),
            true => dw_config::check::read(&self.mail.config.to_string()).and_then(|c| dw_config::prelude::patch(&c, &text)),
        };
        let c = whole.unwrap_or_default();
        let stated = Stated {
            revision: c.revision,
            base,
            valid,
            sent: self.now,
            acked: None,
            refused: false,
            routes: routes_of(&c),
            text: plain(&c),
        };
        self.control.order(ConfigurationOrder { base, revision: c.revision, content: plain(&c), valid });
        self.seen.configs.push(stated);
        if valid {
            self.mail.config = serde_json::to_value(&c).unwrap_or_default();
        }
        self.order(ApiRequest::Revise { base, json: text, is_patch: patch }, What::Config(self.seen.configs.len() - 1));
    }

    fn next_revision(&mut self) -> u64 {
        self.mail.revision += self.rng.u64(1..=3);
        self.mail.revision
    }

    /// The first configuration, which precedes the load.
    pub fn state_routes(&mut self) {
        let mut c = routed_config(&self.mail.routing);
        c["revision"] = json!(self.next_revision());
        for t in TRADES {
            self.seen.services.insert(t.name.to_string(), Pace { rate: t.rate, cold: t.cold_rate });
        }
        self.revise(0, c, false, true);
    }

    /// Whether no configuration is on its way.
    fn settled(&self) -> bool {
        self.mail.orders.iter().all(|o| o.over || !matches!(o.what, What::Config(_)))
    }

    /// The configuration the operator builds on: the newest acknowledged.
    fn build_on(&mut self) -> u64 {
        let acked = self.mail.acked;
        let found = self.seen.configs.iter().find(|s| s.acked.is_some() && s.revision == acked);
        if let Some(s) = found {
            self.mail.config = serde_json::from_str(&s.text).unwrap_or_default();
        }
        self.mail.revision = self.mail.revision.max(acked);
        acked
    }

    /// The prefixes of the routes below `/turns/`, by name.
    fn turns_prefixes(&self) -> BTreeMap<String, String> {
        let routes = self.mail.config["routes"].as_array().into_iter().flatten();
        let named = routes.filter_map(|route| Some((route["name"].as_str()?.into(), route["prefix"].as_str()?.to_string())));
        named.filter(|(_, prefix)| prefix.starts_with("/turns/")).collect()
    }

    /// One change: a time-out, a route more or a route less; whole or in part.
    pub(super) fn change(&mut self) {
        if let Some(pace) = self.mail.pace.filter(|_| !self.stopped) {
            let next = Span(pace.0 / 2 + self.rng.u64(..pace.0.max(1)));
            self.soon(next, Ev::Routed(Turn::Change));
        }
        if !self.settled() || self.stopped {
            return;
        }
        let base = self.build_on();
        let revision = self.next_revision();
        let mut names: Vec<String> = self.mail.config["routes"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|r| Some(r["name"].as_str()?.into()))
            .collect();
        names.retain(|n| n.starts_with("extra"));
        self.mail.extra.clone_from(&names);
        self.mail.changes += 1;
        let new = self.mail.changes;
        let (mut gone, worth) = (None, self.mail.routing.worth);
        let part = match self.rng.u64(..4) {
            _ if self.mail.routing.splits && self.rng.bool() => {
                split_or_merge(&self.turns_prefixes(), self.rng.u64(..TURNS_DRAWS), worth)
            }
            0 if !self.mail.taken_out.is_empty() => {
                // One that was taken out comes back under its old name.
                let n = self.mail.taken_out.remove(0);
                json!({"routes": [extra_route(n, worth)]})
            }
            0 | 1 => json!({"routes": [extra_route(new, worth)]}),
            2 if !names.is_empty() => {
                let name = names[self.rng.usize(..names.len())].clone();
                self.mail.taken_out.extend(name.rsplit('-').next().and_then(|n| n.parse::<u64>().ok()));
                gone = Some(name.clone());
                json!({"routes": [{"name": name, "remove": true}]})
            }
            _ => {
                let mut all = self.mail.config["routes"].as_array().cloned().unwrap_or_default();
                // A waiting message has the time-outs of its own route, which its path may not
                // match any more.
                all.retain(|r| !self.mail.routing.splits || !r["prefix"].as_str().unwrap_or_default().starts_with("/turns/"));
                let mut one = all[self.rng.usize(..all.len())].clone();
                one["attempt_ms"] = json!(1000 + self.rng.u64(..40) * 50 + new);
                json!({"routes": [one]})
            }
        };
        let mut part = part;
        part["revision"] = json!(revision);
        let added = part["routes"][0]["prefix"].as_str().map(str::to_string);
        match self.rng.bool() {
            true => self.revise(base, part, true, true),
            false => {
                let whole = dw_config::check::read(&self.mail.config.to_string())
                    .and_then(|c| dw_config::prelude::patch(&c, &part.to_string()))
                    .unwrap_or_default();
                self.revise(base, serde_json::to_value(whole).unwrap_or_default(), false, true);
            }
        }
        let path = gone.map(|g| format!("/extra/{}/t", g.trim_start_matches("extra-"))).or(added.map(|p| format!("{p}t")));
        for n in 0..4 {
            let path = path.clone().unwrap_or("/never/t".into());
            let soon = Span::millis(self.rng.u64(100..6000));
            self.soon(soon, Ev::Routed(Turn::Trial { path, zone: n % 3 + 1 }));
        }
        self.soon(Span::millis(700), Ev::Routed(Turn::Trial { path: "/never/t".into(), zone: 1 }));
    }

    /// Two operators send at once, both on top of the same revision.
    pub(super) fn twins(&mut self) {
        if !self.settled() {
            return;
        }
        let base = self.build_on();
        for _ in 0..2 {
            self.mail.changes += 1;
            let kept = self.mail.config.clone();
            let part =
                json!({"revision": self.next_revision(), "routes": [extra_route(self.mail.changes, self.mail.routing.worth)]});
            self.revise(base, part, true, true);
            self.mail.config = kept;
        }
    }

    /// So many operators send at once, all on top of the same revision; every
    /// two of them chose the same number for different changes.
    pub(super) fn rivals(&mut self, count: u64) {
        let base = self.build_on();
        let standing = self.mail.config.clone();
        let mut revision = base;
        for rival in 0..count {
            if rival % 2 == 0 {
                revision = self.next_revision();
            }
            self.mail.changes += 1;
            let route = extra_route(self.mail.changes, self.mail.routing.worth);
            let part = json!({"revision": revision, "routes": [route]});
            self.mail.config = standing.clone();
            self.revise(base, part, true, true);
        }
        self.mail.config = standing;
    }

    /// Configurations that must be refused, one of each kind.
    pub(super) fn send_bad_configs(&mut self) {
        if !self.settled() {
            return;
        }
        let base = self.build_on();
        let kinds: [fn(&mut Value); 5] = [
            |c| c["routes"][0]["service"] = json!("nobody"),
            |c| c["routes"][1]["prefix"] = c["routes"][0]["prefix"].clone(),
            |c| c["routes"][0]["attempt_ms"] = json!(0),
            |c| c["revision"] = json!(1),
            |c| c["routes"] = json!("none"),
        ];
        for kind in kinds {
            let mut c = self.mail.config.clone();
            c["revision"] = json!(self.mail.revision + 1);
            kind(&mut c);
            self.revise(base, c, false, false);
        }
    }

    pub(super) fn empty_routed(&mut self, zone: String) {
        self.order(ApiRequest::SetZoneEmpty { zone: Zone(zone.clone()), empty: true, force: true }, What::Empty(zone));
    }

    /// The zone is taken back; its workers have just turned cold.
    pub(super) fn restore_routed(&mut self, zone: String) {
        let now = self.now;
        self.seen.zones.iter_mut().filter(|z| z.0 == zone).for_each(|z| _ = z.2.get_or_insert(now));
        let cold: Vec<String> = self.floor.lives.iter().filter(|(_, w)| w.up && w.zone == zone).map(|x| x.0.clone()).collect();
        cold.iter().for_each(|w| self.chill(w));
        self.order(ApiRequest::SetZoneEmpty { zone: Zone(zone.clone()), empty: false, force: true }, What::Restore(zone));
    }

    pub fn show_routed(&mut self) {
        self.order(ApiRequest::ShowConfig, What::Show);
    }
}
