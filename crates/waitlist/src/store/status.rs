//! What a store tells of itself: to placement, and to operators.
use crate::prelude::*;
use serde_json::json;

impl Store {
    pub(super) fn report(&self, now: Time) -> Report {
        let mut claims: Vec<Claim> =
            self.link.held.live(now).into_iter().map(|(duty, epoch)| Claim { duty, epoch, checkpoint: false }).collect();
        if self.restored {
            claims.extend(self.checkpoint.iter().map(|(duty, epoch)| Claim {
                duty: duty.clone(),
                epoch: *epoch,
                checkpoint: true,
            }));
        }
        let seen = self
            .rooms
            .values()
            .filter(|r| now.since(r.at) < Span::secs(3))
            .map(|r| (r.room.duty.clone(), r.to.clone()))
            .collect();
        let kept = || self.parts.iter().filter_map(|(k, p)| p.own.as_ref().map(|o| (k, p, o)));
        Report {
            claims,
            seen,
            held: kept().map(|(k, p, _)| (k.clone(), p.recs.len() as u64)).collect(),
            due: kept()
                .map(|(k, _, o)| (k.clone(), (o.lane.line.len() + o.lane.flights.len()) as u64))
                .filter(|x| x.1 > 0)
                .collect(),
            whole: kept().flat_map(|(k, _, o)| o.whole.iter().map(|(d, m)| (k.clone(), d.clone(), *m))).collect(),
            unheard: self.unheard(now),
            gave: self.gave.iter().map(|(d, x)| (d.clone(), x.0)).collect(),
            spent: self.spent.iter().map(|(d, e)| (d.clone(), *e)).collect(),
            leaving: self.leaving.is_some(),
            ..Report::default()
        }
    }

    pub(super) fn status(&self, now: Time) -> Verdict {
        let places: Vec<_> = self
            .parts
            .iter()
            .map(|(k, p)| {
                let own = p.own.as_ref();
                json!({
                    "place": k.to_string(),
                    "phase": own.map_or("replica".to_string(), |o| format!("{:?}", o.phase).to_lowercase()),
                    "epoch": p.installed.to_string(),
                    "n": p.n,
                    "committed": own.map(|o| o.committed),
                    "mate": own.and_then(|o| o.mate.as_ref()).map(|d| d.to_string()),
                    "held": p.recs.len(),
                    "waiting": p.recs.values().filter(|r| r.stage == Stage::Work).count(),
                    "calling": p.recs.values().filter(|r| r.stage == Stage::Calling).count(),
                    "in_flight": own.map(|o| o.lane.flights.len()),
                    "copying": p.fetch.as_ref().map(|f| f.missing.len()),
                })
            })
            .collect();
        let c = &self.counts;
        let v = json!({
            "daemon": self.startup.me.id.to_string(),
            "zone": self.startup.me.zone.to_string(),
            "term": self.link.term().0,
            "charter": self.link.rules.version.to_string(),
            "fresh": self.link.fresh(now),
            "disk_mark": format!("{:016x}", self.mark.0),
            "bytes": self.held_bytes,
            "files": self.ledger.files(),
            "places": places,
            "leaving": self.leaving.is_some(),
            "counts": {"accepted": c.accepted, "refused": c.refused, "stale_copies": c.stale, "offers": c.offers, "ended": c.ended,
                       "fenced": c.fenced, "saves": c.saves, "bodies_sent": c.bodies_sent},
        });
        Verdict::json(200, v.to_string())
    }
}
