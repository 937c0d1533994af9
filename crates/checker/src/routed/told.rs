//! Nobody is told done without the seal of a run that succeeded, nor dead of
//! what has not ended; and an end stays an end.
use crate::prelude::*;

fn wrong(seen: &Seen, p: &Post, state: &State, at: Time) -> Option<String> {
    match state {
        State::Done(seal) => {
            let won = |r: &PostRun| matches!(&r.over, Some((t, Over::Done(s))) if s == seal && *t <= at);
            (!p.runs.iter().any(won)).then(|| format!("done with seal '{seal}', which no successful run gave"))
        }
        State::Dead => {
            let ended = seen.ended(p).is_some_and(|t| t <= at);
            (!ended).then(|| "dead, and it had not ended".to_string())
        }
        State::Waiting | State::None => None,
    }
}

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        let sought = p.sought.iter().map(|s| ("sought", &s.state, s.at));
        let backs = p.backs.iter().map(|b| ("called back", &b.state, b.at));
        for (how, state, at) in sought.chain(backs) {
            let why = wrong(seen, p, state, at);
            bad.extend(why.map(|w| format!("{} was {how} as {w}", p.id)));
        }
        let mut states: Vec<&Sought> = p.sought.iter().filter(|s| s.body.is_none() && s.state != State::None).collect();
        states.sort_by_key(|s| s.at);
        let ends = |s: &State| *s != State::Waiting;
        if let Some(w) = states.windows(2).find(|w| ends(&w[0].state) && w[0].state != w[1].state) {
            bad.push(format!("{} was told {:?}, and later {:?}", p.id, w[0].state, w[1].state));
        }
    }
    bad
}
