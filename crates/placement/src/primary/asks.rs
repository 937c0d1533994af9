//! What operators ask.
use super::{stale, Pending};
use crate::prelude::*;
use serde_json::json;

fn wrong(code: u16, why: &str) -> Verdict {
    Verdict::json(code, json!({ "error": why }).to_string())
}

impl Placement {
    pub(super) fn not_primary(&self) -> Verdict {
        let hint = self.election.hint().and_then(|d| self.hard.members.get(d)).map(|m| m.http.clone());
        let text = json!({"error": "this daemon is not the primary; nothing was done", "primary": hint});
        Verdict { after: Some(Span::millis(500)), ..Verdict::json(503, text.to_string()) }
    }

    pub(super) fn on_ask(&mut self, id: AskId, ask: Ask, now: Time) {
        if ask == Ask::Status {
            let v = self.status(now);
            return self.out.push(Effect::Tell(id, v));
        }
        if !self.election.may_act(now) {
            let v = self.not_primary();
            return self.out.push(Effect::Tell(id, v));
        }
        let verdict = match ask {
            Ask::CharterShow => {
                let v = self.hard.charter_version.to_string();
                let charter: serde_json::Value = serde_json::from_str(&self.hard.charter).unwrap_or_default();
                Some(Verdict::json(200, json!({"version": v, "charter": charter}).to_string()))
            }
            Ask::Apply(charge) => self.apply(id, charge, now),
            Ask::Zone { zone, empty } => self.zone(id, zone, empty, now),
            Ask::Drain { worker, on } => {
                self.propose(Order::Drain { worker, on }, Pending::Order(id), now);
                None
            }
            Ask::Retire { store } => self.retire(id, store, now),
            Ask::Plan { charter, .. } => Some(self.plan_charter(charter)),
            _ => Some(wrong(404, "callers' requests go to a proxy")),
        };
        if let Some(v) = verdict {
            self.out.push(Effect::Tell(id, v));
        }
    }

    /// Reads and checks a whole charter against the one in force.
    fn fit(&self, json: &str) -> Result<Charter, CharterError> {
        let c = dw_charter::check::read(json)?;
        check(&c)?;
        let next = compile(&c, Version::ZERO);
        let held: BTreeMap<&Place, u64> =
            self.seen.values().filter_map(|s| s.report.as_ref()).flat_map(|r| r.held.iter().map(|(p, n)| (p, *n))).collect();
        // A partition nobody answers for counts as used.
        let used = |p: &Place| held.get(p).is_none_or(|n| *n > 0);
        check_change(&self.rules, &next, used)?;
        Ok(c)
    }

    fn apply(&mut self, id: AskId, charge: Charge, now: Time) -> Option<Verdict> {
        let sum_of = |json: &str| crc32(json.as_bytes());
        let whole = match charge.patch {
            false => dw_charter::check::read(&charge.json),
            true => dw_charter::check::read(&self.hard.charter).and_then(|c| patch(&c, &charge.json)),
        };
        let canon = whole.and_then(|c| {
            let json = serde_json::to_string(&c).map_err(|source| CharterError::Unreadable { source })?;
            Ok(json)
        });
        let refuse = |e: &CharterError| {
            let faults: Vec<_> =
                e.faults().iter().map(|f| json!({"path": f.path, "wrong": f.wrong, "remedy": f.remedy})).collect();
            Verdict::json(400, json!({"error": e.to_string(), "faults": faults}).to_string())
        };
        let json = match canon {
            Ok(j) => j,
            Err(e) => {
                self.note(Note::CharterRefused, e.to_string());
                return Some(refuse(&e));
            }
        };
        if charge.op.is_empty() || charge.op.len() > 128 {
            return Some(wrong(400, "give the operation an id of 1 to 128 characters, so that it can be asked again"));
        }
        if let (false, Some(v)) = (charge.patch, self.hard.done(&charge.op, sum_of(&json))) {
            return Some(Verdict::json(200, json!({"version": v.to_string(), "operation": charge.op}).to_string()));
        }
        // A patch repeated is known by its id alone: its base has moved on.
        if let (true, Some(o)) = (charge.patch, self.hard.ops.iter().find(|o| o.0 == charge.op)) {
            return Some(Verdict::json(200, json!({"version": o.2.to_string(), "operation": charge.op}).to_string()));
        }
        if self.hard.reused(&charge.op, sum_of(&json)) {
            return Some(wrong(409, "this operation id was used for another charter; use a new id"));
        }
        let base = self.hard.charter_version;
        if charge.base != base.to_string() {
            return Some(stale(base));
        }
        if let Err(e) = self.fit(&json) {
            self.note(Note::CharterRefused, e.to_string());
            return Some(refuse(&e));
        }
        let order = Order::Charter { op: charge.op.clone(), base, json };
        self.propose(order, Pending::Charter(id, charge.op), now);
        None
    }

    fn zone(&mut self, id: AskId, zone: Zone, empty: bool, now: Time) -> Option<Verdict> {
        let zones: BTreeSet<&Zone> = self.hard.members.values().map(|m| &m.zone).collect();
        if !zones.contains(&zone) {
            return Some(wrong(404, "no daemon stands in that zone; check its name with 'dahliawick status'"));
        }
        let left = zones.iter().filter(|z| ***z != zone && !self.hard.empty.contains(**z)).count();
        if empty && left == 0 {
            return Some(wrong(409, "this is the last zone with work; restore another first"));
        }
        self.propose(Order::Zone { zone, empty }, Pending::Order(id), now);
        None
    }

    /// A store leaves for good: only when another can take each of its seats
    /// and the copies then stand in at least two zones.
    fn retire(&mut self, id: AskId, store: Daemon, now: Time) -> Option<Verdict> {
        if store.kind() != Kind::Store || !self.hard.members.contains_key(&store) {
            return Some(wrong(404, "no store of that name is a member; check it with 'dahliawick status'"));
        }
        if self.hard.retiring.contains_key(&store) {
            let left = self.seats_of(&store);
            return Some(Verdict::json(200, json!({"store": store, "seats_left": left}).to_string()));
        }
        let rest: Vec<&Member> =
            self.hard.of(Kind::Store).filter(|m| m.id != store && !self.hard.retiring.contains_key(&m.id)).collect();
        let zones: BTreeSet<&Zone> = rest.iter().map(|m| &m.zone).collect();
        if rest.len() < 3 || zones.len() < 2 {
            let why = "fewer than three stores in two zones would be left; start a replacement store first, then retire this one";
            return Some(wrong(409, why));
        }
        self.propose(Order::Retire { store, state: Retirement::Asked }, Pending::Order(id), now);
        None
    }

    fn plan_charter(&self, charter: Option<String>) -> Verdict {
        let Some(json) = charter else { return wrong(501, "only charters are planned so far; see the README") };
        match self.fit(&json) {
            Ok(c) => {
                let next = compile(&c, Version::ZERO);
                Verdict::json(200, plan(&self.rules, &next, &self.given).to_string())
            }
            Err(e) => {
                let faults: Vec<_> =
                    e.faults().iter().map(|f| json!({"path": f.path, "wrong": f.wrong, "remedy": f.remedy})).collect();
                Verdict::json(400, json!({"error": e.to_string(), "faults": faults}).to_string())
            }
        }
    }

    fn status(&self, now: Time) -> Verdict {
        let given: Vec<_> = self
            .given
            .iter()
            .map(|(d, g)| {
                let state = match (g.epoch == Epoch::ZERO, now < g.until) {
                    (true, _) => "reserved",
                    (false, true) => "held",
                    (false, false) => "lapsed",
                };
                json!({"duty": d.to_string(), "holder": g.holder.to_string(), "epoch": g.epoch.to_string(), "state": state})
            })
            .collect();
        let v = json!({
            "daemon": self.startup.me.id.to_string(),
            "zone": self.startup.me.zone.to_string(),
            "role": format!("{:?}", self.election.role()).to_lowercase(),
            "office": self.office.word(),
            "may_act": self.election.may_act(now),
            "term": self.election.term().0,
            "commit": self.election.commit(),
            "primary": self.election.hint().map(|d| d.to_string()),
            "replicas": self.election.members().keys().map(|d| d.to_string()).collect::<Vec<_>>(),
            "charter": self.hard.charter_version.to_string(),
            "members": self.hard.members.values().map(|m| json!({
                "id": m.id, "zone": m.zone, "addr": m.addr, "http": m.http,
                "heard_ms": self.seen.get(&m.id).map(|s| now.since(s.at).as_millis()),
            })).collect::<Vec<_>>(),
            "given": given,
            "late": self.late.iter().map(|d| d.to_string()).collect::<Vec<_>>(),
            "empty_zones": self.hard.empty,
            "drained": self.hard.drained,
            "retiring": self.hard.retiring.iter().map(|(d, r)| (d.to_string(), json!({
                "state": format!("{r:?}").to_lowercase(), "seats_left": self.seats_of(d)}))).collect::<serde_json::Map<_, _>>(),
            "shedding": self.shed.keys().map(|d| d.to_string()).collect::<Vec<_>>(),
            "workers": self.list.workers.len(),
            "phases": self.phases,
        });
        Verdict::json(200, v.to_string())
    }
}
