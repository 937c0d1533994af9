//! What becomes of the routes of one configuration in the next one.
use crate::prelude::*;
use crate::routes::{normalize_host, route_pattern};

/// Routes are named by their position.
pub(crate) struct RouteChanges {
    /// For each new route the old ones that have requests which come under it.
    pub taken_over: Vec<BTreeSet<usize>>,
    /// Whether messages of each old route may wait on: a new route has its pattern, or has
    /// its name and matches some of its requests.
    pub is_continued: Vec<bool>,
    /// For each new route the old one with the same pattern.
    pub same_pattern: Vec<Option<usize>>,
}

impl RouteChanges {
    pub fn new(old: &[Route], new: &[Route]) -> RouteChanges {
        let pattern = |route: &Route| route_pattern(&route.host, &route.prefix);
        let old_by_pattern: BTreeMap<String, usize> = old.iter().map(pattern).zip(0..).collect();
        let same_pattern: Vec<Option<usize>> = new.iter().map(|route| old_by_pattern.get(&pattern(route)).copied()).collect();
        let mut is_continued = vec![false; old.len()];
        same_pattern.iter().flatten().for_each(|at| is_continued[*at] = true);
        let mut taken_over = vec![BTreeSet::new(); new.len()];
        for (before, after) in takeovers(old, new) {
            taken_over[after].insert(before);
            is_continued[before] |= old[before].name == new[after].name;
        }
        RouteChanges { taken_over, is_continued, same_pattern }
    }
}

/// The pairs of an old and a new route such that requests of the first come under the second.
///
/// Two routes share requests exactly if one of all prefixes, read as a path, is matched to
/// both: the longer one of theirs.
fn takeovers(old: &[Route], new: &[Route]) -> BTreeSet<(usize, usize)> {
    let (old_by_prefix, new_by_prefix) = (RoutesByPrefix::new(old), RoutesByPrefix::new(new));
    let prefixes = old.iter().chain(new).map(|route| (normalize_host(&route.host), route.prefix.as_str()));
    prefixes.filter_map(|(host, path)| old_by_prefix.find(&host, path).zip(new_by_prefix.find(&host, path))).collect()
}

/// Positions of routes by host and prefix.
struct RoutesByPrefix<'a>(BTreeMap<String, BTreeMap<&'a str, usize>>);

impl<'a> RoutesByPrefix<'a> {
    fn new(routes: &'a [Route]) -> RoutesByPrefix<'a> {
        let mut by_host: BTreeMap<String, BTreeMap<&str, usize>> = BTreeMap::new();
        for (at, route) in routes.iter().enumerate() {
            by_host.entry(normalize_host(&route.host)).or_default().insert(&route.prefix, at);
        }
        RoutesByPrefix(by_host)
    }

    /// The route with the longest prefix that starts the path.
    fn find(&self, host: &str, path: &str) -> Option<usize> {
        let prefixes = self.0.get(host)?;
        let mut starts = (0..=path.len()).rev().filter_map(|length| path.get(..length));
        starts.find_map(|start| prefixes.get(start).copied())
    }
}
