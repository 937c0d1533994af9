//! Of one key, a message begins only when all that were accepted before it
//! was sent have ended.
use crate::prelude::*;

pub fn watch(seen: &Seen, _: &RoutedLimits, _: Time) -> Vec<String> {
    let mut keys: BTreeMap<(&str, &str), Vec<&Post>> = BTreeMap::new();
    for p in seen.posts.iter().filter(|p| !p.key.is_empty()) {
        for r in seen.routes(&p.path).filter(|r| r.ordered).take(1) {
            keys.entry((r.name.as_str(), p.key.as_str())).or_default().push(p);
        }
    }
    let mut bad = Vec::new();
    for all in keys.values() {
        let earlier: Vec<(Time, Option<Time>, &str)> =
            all.iter().filter_map(|p| Some((p.accepted()?, seen.ended(p), p.id.as_str()))).collect();
        for p in all {
            let begun = p.runs.iter().filter_map(|r| Some((r.began?, r)));
            for (at, r) in begun {
                let open = |e: &&(Time, Option<Time>, &str)| e.2 != p.id && e.0 < p.sent && e.1.is_none_or(|end| end > at);
                if let Some(e) = earlier.iter().find(open) {
                    bad.push(format!("{} began at {} while {} of key {} had not ended", p.id, r.worker, e.2, p.key));
                }
            }
        }
    }
    bad
}
