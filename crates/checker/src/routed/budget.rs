//! A message that fails at each run is not run on and on.
use crate::prelude::*;

/// More answers than the stated attempts may be needed after a change of
/// leader, which may not know of all before it; never so many times as many.
const SLACK: usize = 3;

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let mut bad = Vec::new();
    for post in &seen.posts {
        let attempts = seen.routes(&post.path).map(|route| route.attempts).max().unwrap_or(1).max(1) as usize;
        for run in &post.runs {
            let failed = read_before(post, run, &Over::Failed);
            let never = read_before(post, run, &Over::Never);
            if failed >= SLACK * attempts || never >= SLACK {
                bad.push(format!("{} reached {} after {failed} failures and {never} refusals for good", post.id, run.worker));
            }
        }
    }
    bad
}

/// How many answers of this kind had been read when a run arrived.
fn read_before(post: &Post, run: &PostRun, kind: &Over) -> usize {
    let is_kind = |other: &&PostRun| other.over.as_ref().is_some_and(|over| over.1 == *kind);
    post.runs.iter().filter(is_kind).filter(|other| other.read.is_some_and(|read| read <= run.arrived)).count()
}
