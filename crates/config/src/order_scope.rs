//! Ordering keys across changes of the configuration.
//!
//! The ordering keys of a route are apart from those of other routes, by the route's
//! order scope. A route keeps its scope when operators rename it or change what it
//! matches: messages that wait under a key come before those that are accepted later.
use crate::prelude::*;
use crate::routes::route_pattern;

/// The order scope of a route: its name, unless it was renamed or its name was taken.
pub fn order_scope(route: &Route) -> &str {
    match route.order_scope.is_empty() {
        true => &route.name,
        false => &route.order_scope,
    }
}

/// Gives each route of `new` the scope of the route in `old` that it continues: the one
/// with the same host and prefix, else the one with the same name. Any other route gets
/// a scope that no route has.
pub fn assign_order_scopes(old: &Config, new: &mut Config) {
    let pattern = |route: &Route| route_pattern(&route.host, &route.prefix);
    let old_by_pattern: BTreeMap<String, &Route> = old.routes.iter().map(|route| (pattern(route), route)).collect();
    let new_patterns: BTreeSet<String> = new.routes.iter().map(pattern).collect();
    let gone = old.routes.iter().filter(|route| !new_patterns.contains(&pattern(route)));
    let gone_by_name: BTreeMap<&str, &Route> = gone.map(|route| (route.name.as_str(), route)).collect();
    let predecessor = |route: &Route| old_by_pattern.get(&pattern(route)).or_else(|| gone_by_name.get(route.name.as_str()));
    let inherited: Vec<Option<&str>> = new.routes.iter().map(|route| predecessor(route).map(|old| order_scope(old))).collect();
    let mut taken: BTreeSet<String> = inherited.iter().flatten().map(|scope| scope.to_string()).collect();
    for (route, inherited) in new.routes.iter_mut().zip(inherited) {
        let scope = inherited.map_or_else(|| unused_scope(&route.name, &taken), String::from);
        route.order_scope = if scope == route.name { String::new() } else { scope.clone() };
        taken.insert(scope);
    }
}

/// The name itself, or with a number if another route has that scope.
fn unused_scope(name: &str, taken: &BTreeSet<String>) -> String {
    let numbered = (1..).map(|number: u64| format!("{name}~{number}"));
    let mut candidates = std::iter::once(name.to_string()).chain(numbered);
    candidates.find(|scope| !taken.contains(scope)).unwrap_or_default()
}
