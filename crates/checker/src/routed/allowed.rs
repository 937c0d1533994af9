//! A message runs only at a service that some configuration ever sent allows it.
use crate::prelude::*;

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        let fit = |r: &&PostRun| seen.configs.iter().filter_map(|c| c.matched(&p.path)).any(|x| x.service == r.service);
        let wrong = p.runs.iter().find(|r| !fit(r));
        bad.extend(wrong.map(|r| format!("{} {} ran at {} of {}", p.id, p.path, r.worker, r.service)));
    }
    bad
}
