//! Of one key, a message begins only when all that were accepted before it
//! was sent have ended. A key is one thing on a route, and on every route under which
//! requests of that one have come since.
use crate::prelude::*;

/// A configuration that was acknowledged and gave two paths to the same ordered route.
struct SharedRoute {
    acked: Time,
    /// A later one may have been in force from then on.
    until: Time,
}

/// An accepted message of a key.
struct Earlier<'a> {
    post: &'a Post,
    accepted: Time,
    ended: Option<Time>,
}

/// The configurations that gave two paths to one route, by the paths.
struct SharedRoutes<'a> {
    seen: &'a Seen,
    /// After its acknowledgement, until a configuration is in force everywhere.
    in_force: Span,
    by_paths: BTreeMap<(&'a str, &'a str), Vec<SharedRoute>>,
}

impl<'a> SharedRoutes<'a> {
    fn of_paths(&mut self, paths: (&'a str, &'a str)) -> &[SharedRoute] {
        let seen = self.seen;
        self.by_paths.entry(paths).or_insert_with(|| shared_routes(seen, paths))
    }

    /// Whether requests of the earlier message's route have come under the later one's before
    /// that was sent.
    fn relate(&mut self, earlier: &Earlier<'a>, later: &'a Post) -> bool {
        let in_force = self.in_force;
        let shared = self.of_paths((&earlier.post.path, &later.path));
        shared.iter().any(|config| {
            let at_acceptance = config.acked <= earlier.post.sent && config.until > earlier.accepted;
            let since = config.acked > earlier.accepted && config.acked + in_force <= later.sent;
            at_acceptance || since
        })
    }
}

fn shared_routes(seen: &Seen, (one, other): (&str, &str)) -> Vec<SharedRoute> {
    let possible: Vec<&Stated> = seen.configs.iter().filter(|config| config.possible()).collect();
    let is_shared = |config: &&&Stated| {
        let route = config.matched(one).filter(|route| route.ordered);
        route.is_some_and(|route| config.matched(other).is_some_and(|also| also.prefix == route.prefix))
    };
    let replaced = |config: &Stated| {
        let later = possible.iter().filter(|later| later.revision > config.revision);
        later.map(|later| later.sent).min().unwrap_or(Time(u64::MAX))
    };
    let shared = possible.iter().filter(is_shared);
    shared.filter_map(|config| Some(SharedRoute { acked: config.acked?, until: replaced(config) })).collect()
}

pub fn watch(seen: &Seen, limits: &RoutedLimits, _: Time) -> Vec<String> {
    let mut keys: BTreeMap<&str, Vec<(&str, &Post)>> = BTreeMap::new();
    for p in seen.posts.iter().filter(|p| !p.key.is_empty()) {
        for r in seen.routes(&p.path).filter(|r| r.ordered).take(1) {
            keys.entry(p.key.as_str()).or_default().push((r.name.as_str(), p));
        }
    }
    let mut shared = SharedRoutes { seen, in_force: limits.in_force, by_paths: BTreeMap::new() };
    let mut bad = Vec::new();
    for all in keys.values() {
        let earlier: Vec<(&str, Earlier)> = all
            .iter()
            .filter_map(|(route, post)| Some((*route, Earlier { post, accepted: post.accepted()?, ended: seen.ended(post) })))
            .collect();
        for (route, p) in all {
            let begun = p.runs.iter().filter_map(|r| Some((r.began?, r)));
            for (at, r) in begun {
                let is_open = |e: &Earlier| e.post.id != p.id && e.accepted < p.sent && e.ended.is_none_or(|end| end > at);
                let open = earlier.iter().find(|(first, e)| is_open(e) && (first == route || shared.relate(e, p)));
                if let Some((_, e)) = open {
                    bad.push(format!("{} began at {} while {} of key {} had not ended", p.id, r.worker, e.post.id, p.key));
                }
            }
        }
    }
    bad
}
