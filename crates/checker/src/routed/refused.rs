//! What was refused has not run and never runs.
use crate::prelude::*;

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let refused = |p: &&Post| matches!(p.word, Some((_, PostWord::Refused(_))));
    let ran = seen.posts.iter().filter(refused).filter_map(|p| Some((p, p.runs.first()?)));
    ran.map(|(p, r)| format!("{} was told {:?} and reached {}", p.id, p.word, r.worker)).collect()
}
