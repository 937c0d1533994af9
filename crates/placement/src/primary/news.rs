//! Answering pulls: news, the charter's lease, and grants renewed.
use crate::prelude::*;

/// A daemon whose last answered pull is older than this does not hear us.
const DEAF: Span = Span::millis(1700);

impl Placement {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_need(
        &mut self,
        from: Daemon,
        asked: Time,
        heard: (Term, Time),
        have: Vector,
        me: Member,
        report: Option<Report>,
        now: Time,
    ) {
        if self.election.role() != Role::Primary {
            let hint = self.election.hint().cloned();
            return self.say(&from, Msg::NotPrimary { hint });
        }
        if !self.election.may_act(now) || me.id != from {
            return;
        }
        if self.hard.members.get(&from) != Some(&me) {
            self.propose_once(format!("member {from}"), Order::Member(me.clone()), now);
        }
        // Both times are the asker's own. One that does not hear us is not
        // renewed: its lease ends there by its own clock, and so must it here.
        let hears = heard.0 == self.election.term() && asked.since(heard.1) < DEAF;
        let before =
            self.seen.insert(from.clone(), Seen { life: me.life, disk: me.disk, at: now, hears, report: report.clone() });
        let anew = before.is_some_and(|b| b.life != me.life);
        let mut grants = Vec::new();
        if self.office == Office::Serving {
            if let Some(report) = &report {
                self.take_report(&from, report, anew, now);
                grants = self.renewed(&from, report, now);
            }
        }
        let fresh = (self.hard.charter_version > Version::ZERO).then_some(self.startup.charter_lease);
        let items = self.items(&have);
        let late = self.late.iter().cloned().collect();
        let term = self.election.term();
        self.say(&from, Msg::News { asked, term, fresh, items, grants, late });
    }

    fn renewed(&mut self, from: &Daemon, report: &Report, now: Time) -> Vec<Grant> {
        if report.leaving || !self.seen.get(from).is_some_and(|s| s.hears) {
            return Vec::new();
        }
        self.given
            .renew(from, now)
            .into_iter()
            .map(|(duty, epoch)| {
                let set = match &duty {
                    Duty::Keep(p) => self.hard.layout.get(p).cloned().unwrap_or_default(),
                    _ => Vec::new(),
                };
                let shed = self.shed.contains_key(&duty);
                let swap = match &duty {
                    Duty::Keep(p) => self.retiring_of(p).zip(self.joiner(p)),
                    _ => None,
                };
                Grant { duty, epoch, set, swap, shed }
            })
            .collect()
    }

    fn items(&self, have: &Vector) -> Vec<(Version, Item)> {
        let mut out = Vec::new();
        let mut add = |v: Version, s: Source, item: &dyn Fn() -> Item| {
            if v > have.get(s) {
                out.push((v, item()));
            }
        };
        let h = &self.hard;
        add(h.charter_version, Source::Charter, &|| Item::Charter(h.charter.clone()));
        add(h.members_version, Source::Members, &|| Item::Members(h.members.values().cloned().collect()));
        add(h.orders_version, Source::Orders, &|| Item::Orders { empty: h.empty.clone(), drained: h.drained.clone() });
        add(self.list.version, Source::Workers, &|| Item::Workers(self.list.workers.clone()));
        if self.office == Office::Serving {
            add(self.places_version, Source::Places, &|| {
                Item::Places(self.placed.iter().map(|(p, x)| (p.clone(), x.clone())).collect())
            });
        }
        out
    }
}
