//! The order scopes that routes keep across changes of the configuration.
use dw_config::prelude::*;

/// A configuration with these routes: name and prefix.
fn config(routes: &[(&str, &str)]) -> Config {
    let route = |(name, prefix): &(&str, &str)| Route {
        name: name.to_string(),
        host: "Records.example:80".into(),
        prefix: prefix.to_string(),
        ordered: true,
        ..Route::default()
    };
    Config { routes: routes.iter().map(route).collect(), ..Config::default() }
}

/// The scopes after these configurations, by prefix.
fn scopes(configs: &[&[(&str, &str)]]) -> Vec<(String, String)> {
    let mut current = Config::default();
    for routes in configs {
        let mut next = config(routes);
        assign_order_scopes(&current, &mut next);
        current = next;
    }
    let compiled = compile(&current, Version::ZERO);
    let scope = |route: &Route| compiled.routes.find_match("records.example", &route.prefix).map(|r| r.order_scope.clone());
    current.routes.iter().map(|route| (route.prefix.clone(), scope(route).unwrap_or_default())).collect()
}

fn expected(all: &[(&str, &str)]) -> Vec<(String, String)> {
    all.iter().map(|(prefix, scope)| (prefix.to_string(), scope.to_string())).collect()
}

const FIRST: &[(&str, &str)] = &[("r-1", "/orders/"), ("r-2", "/notices/")];

#[test]
fn a_scope_is_the_name_until_something_changes() {
    assert_eq!(scopes(&[FIRST]), expected(&[("/orders/", "r-1"), ("/notices/", "r-2")]));
    let mut config = config(FIRST);
    assign_order_scopes(&Config::default(), &mut config);
    let json = serde_json::to_string(&config).unwrap();
    assert!(!json.contains("order_scope"), "an earlier version could not read it: {json}");
}

/// Issue 48: the messages of one key under a route's old and new name were two queues.
#[test]
fn renamed_routes_keep_their_scopes() {
    let inserted: &[(&str, &str)] = &[("r-1", "/alerts/"), ("r-2", "/orders/"), ("r-3", "/notices/")];
    let after = expected(&[("/alerts/", "r-1~1"), ("/orders/", "r-1"), ("/notices/", "r-2")]);
    assert_eq!(scopes(&[FIRST, inserted]), after);
    assert_eq!(scopes(&[FIRST, inserted, inserted]), after);
    let swapped: &[(&str, &str)] = &[("r-2", "/orders/"), ("r-1", "/notices/")];
    assert_eq!(scopes(&[FIRST, swapped]), expected(&[("/orders/", "r-1"), ("/notices/", "r-2")]));
    assert_eq!(scopes(&[FIRST, swapped, FIRST]), expected(&[("/orders/", "r-1"), ("/notices/", "r-2")]));
}

#[test]
fn a_route_with_a_new_prefix_keeps_its_scope() {
    let narrowed: &[(&str, &str)] = &[("r-1", "/orders/new/"), ("r-2", "/notices/")];
    assert_eq!(scopes(&[FIRST, narrowed]), expected(&[("/orders/new/", "r-1"), ("/notices/", "r-2")]));
}

#[test]
fn a_scope_of_a_dropped_route_may_be_used_again() {
    let dropped: &[(&str, &str)] = &[("r-2", "/notices/")];
    let again: &[(&str, &str)] = &[("r-1", "/alerts/"), ("r-2", "/notices/")];
    assert_eq!(scopes(&[FIRST, dropped, again]), expected(&[("/alerts/", "r-1"), ("/notices/", "r-2")]));
}

/// What an operator sends in the field has no effect.
#[test]
fn sent_scopes_are_ignored() {
    let mut sent = config(FIRST);
    sent.routes[1].order_scope = "r-1".into();
    assign_order_scopes(&Config::default(), &mut sent);
    assert_eq!(sent.routes[1].order_scope, "");
}
