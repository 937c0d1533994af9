use crate::prelude::*;
use serde_json::json;

/// Keeps a proxy's link to the control plane and feeds it over loopback.
/// Invariant: it never tells its proxy that a charter is fresh for longer
/// than it may itself trust it.
pub struct Agent {
    pub link: Link,
    pub watch: Watch,
    seeds: Vec<Daemon>,
    fed: u64,
    paced: Time,
    out: Vec<Effect>,
}

impl Agent {
    pub fn new(me: Member, seeds: Vec<Daemon>, pull: Span, terms: Terms) -> Agent {
        let spot = Spot { id: me.id.clone(), zone: me.zone.clone() };
        let watch = Watch::new(spot, me.life, BeatPace::default());
        Agent { link: Link::new(me, seeds.clone(), pull, terms), watch, seeds, fed: 0, paced: Time(0), out: Vec::new() }
    }

    fn status(&self, now: Time) -> Verdict {
        let v = json!({
            "daemon": self.link.me.id.to_string(),
            "zone": self.link.me.zone.to_string(),
            "term": self.link.term().0,
            "charter": self.link.rules.version.to_string(),
            "fresh": self.link.fresh(now),
            "fed": self.fed,
        });
        Verdict::json(200, v.to_string())
    }

    fn hear(&mut self, from: Daemon, msg: Msg, now: Time) {
        match msg {
            Msg::News { asked, term, fresh, items, grants, late } => {
                let change = self.link.news(&from, asked, term, fresh, items, grants, late, now, &mut self.out);
                if change.sources.contains(&Source::Members) {
                    self.watch.learn(self.link.spots(), now);
                }
            }
            Msg::NotPrimary { hint } => self.link.not_primary(&from, hint, now),
            Msg::Beat(beat) => self.watch.hear(from, beat, now),
            Msg::Need { asked, have, .. } => {
                self.fed += 1;
                let news = self.link.serve(asked, &have, now);
                self.out.push(Effect::Say(from, news));
            }
            _ => {}
        }
    }
}

impl Core for Agent {
    fn step(&mut self, event: Event, now: Time) -> Vec<Effect> {
        match event {
            Event::Clock => {
                let mut acts = self.link.tick(now, || None);
                self.out.append(&mut acts);
                for (to, beat) in self.watch.tick(now) {
                    self.out.push(Effect::Say(to, Msg::Beat(beat)));
                }
                if now.since(self.paced) > Span::secs(1) {
                    self.paced = now;
                    let who = self.watch.doubts(now);
                    if !who.is_empty() {
                        for d in self.seeds.clone() {
                            self.out.push(Effect::Say(d, Msg::Doubts { who: who.clone() }));
                        }
                    }
                }
            }
            Event::Hear { from, msg } => self.hear(from, msg, now),
            Event::Ask(id, Ask::Status) => {
                let v = self.status(now);
                self.out.push(Effect::Tell(id, v));
            }
            Event::Ask(id, _) => self.out.push(Effect::Tell(id, Verdict::json(404, "{}".into()))),
            Event::Leave => self.out.push(Effect::Gone),
            Event::Saved(_) | Event::Back(..) => {}
        }
        std::mem::take(&mut self.out)
    }
}
