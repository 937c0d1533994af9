//! Around planned work, whoever's request was read whole gets an answer.
use crate::prelude::*;

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for p in &seen.posts {
        let Some((at, PostWord::Broken)) = p.word else { continue };
        let from = Time(p.sent.0.saturating_sub(limits.contact.0));
        if seen.calm(from, at) {
            bad.push(format!("{} was read by {}, which broke off after {:?}", p.id, p.proxy, at.since(p.sent)));
        }
    }
    bad
}
