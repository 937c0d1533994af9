//! Routes: matching, validation and patches.
use dw_config::prelude::*;
use expect_test::expect;
use serde_json::{json, Value};

fn route(name: &str, host: &str, prefix: &str) -> Value {
    json!({"name": name, "host": host, "prefix": prefix, "service": "huvo11a", "attempts": 4, "attempt_ms": 2500})
}

fn config_with(routes: &[Value]) -> Config {
    let c = json!({"revision": 7, "routes": routes, "services": [{"name": "huvo11a", "rate": 39.0, "doc": "{}"}]});
    dw_config::check::read(&c.to_string()).unwrap()
}

fn fault_lines(c: &Config) -> String {
    let e = check(c).unwrap_err();
    let all: Vec<String> = e.faults().iter().map(|f| format!("{}: {}; {}", f.path, f.problem, f.remedy)).collect();
    all.join("\n")
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let c =
        config_with(&[route("a", "lode17.example", "/"), route("b", "LODE17.example", "/vobo/"), route("c", "other", "/vobo/x")]);
    check(&c).unwrap();
    let r = compile(&c, Version::ZERO).routes;
    let name = |h: &str, p: &str| r.find_match(h, p).map(|x| x.name.clone());
    assert_eq!(name("lode17.example", "/vobo/x"), Some("b".into()));
    assert_eq!(name("lode17.example:8080", "/vobo"), Some("a".into()));
    assert_eq!(name("other", "/vobo/"), None);
    assert_eq!(name("nowhere", "/"), None);
}

#[test]
fn faults_of_routes_and_services_are_reported_together() {
    let mut c = config_with(&[
        route("", "h", "/a/"),
        route("r-b", "H", "/a/"),
        route("r-b", "h", "b/"),
        route("r-d", "h", "/d/"),
        route("r-e", "h", "/e/"),
    ]);
    c.routes[3].service = "nobody".into();
    c.routes[3].attempt_timeout_ms = 0;
    c.routes[4].attempt_timeout_ms = 600_001;
    c.routes[4].name = "x".repeat(129);
    c.services[0].address = "desk.example:1".into();
    c.services[0].max_requests_per_second = f64::NAN;
    c.services[0].cold_requests_per_second = -1.0;
    c.spool_partitions = 65;
    let all = fault_lines(&c).replace(&"x".repeat(129), "xxx");
    expect![[r#"
        services[0].address: 'desk.example:1' is not an address; write it as ip:port, with an IP number, or leave it out for listed workers
        services[0].rate: NaN is no rate; use a number from 0 on, 0 for no bound
        services[0].cold_rate: -1 is no rate; use a number from 0 on, 0 for no bound
        spool: 65 is out of range; use 1 to 64, or leave it out
        routes[0].name: '' is not a name; use 1 to 128 printable characters
        routes[2].name: 'r-b' stands twice; give each its own name
        routes[4].name: 'xxx' is not a name; use 1 to 128 printable characters
        routes[1].prefix: 'H/a/' is the match of routes[0] too; give each route a host and prefix of its own
        routes[2].prefix: 'b/' is not a path; begin it with '/'
        routes[3].service: no service is named 'nobody'; add it under services, or take the route out
        routes[3].attempt_ms: 0 is out of range; use 1 to 600000, an attempt needs an end
        routes[4].attempt_ms: 600001 is out of range; use 1 to 600000, an attempt needs an end"#]]
    .assert_eq(&all);
}

#[test]
fn names_of_other_tools_are_accepted_only_with_routes() {
    let mut c = config_with(&[route("r x5wa5xw", "h", "/")]);
    c.services[0].name = "läsesaal 5".into();
    c.routes[0].service = "läsesaal 5".into();
    check(&c).unwrap();
    // The revision still marks it as another tool's without routes.
    c.routes.clear();
    check(&c).unwrap();
    c.revision = 0;
    assert!(fault_lines(&c).contains("services[0].name"));
    let own_names =
        r#"{"templates": [{"name": "a b"}], "tenants": [{"name": "c d", "template": "a b", "share": 1}], "revision": 1}"#;
    let own_names = dw_config::check::read(own_names).unwrap();
    assert!(fault_lines(&own_names).contains("templates[0].name") && fault_lines(&own_names).contains("tenants[0].name"));
}

#[test]
fn a_config_or_patch_over_the_size_limit_is_not_read() {
    let big = json!({"doc": "x".repeat(MAX_CONFIG_BYTES)}).to_string();
    for e in [dw_config::check::read(&big).unwrap_err(), patch(&Config::default(), &big).unwrap_err()] {
        assert!(matches!(e, ConfigError::TooLarge { .. }), "{e}");
        assert!(!e.faults()[0].remedy.is_empty());
    }
}

#[test]
fn a_patch_replaces_a_route_and_merges_a_service_without_doc() {
    let c = config_with(&[route("a", "h", "/a/"), route("b", "h", "/b/")]);
    let part = json!({"routes": [
        {"name": "b", "host": "h", "prefix": "/bb/", "service": "huvo11a", "attempt_ms": 9},
        {"name": "a", "remove": true}, {"name": "z", "remove": true}]});
    let next = patch(&c, &part.to_string()).unwrap();
    let kept: Vec<(&str, &str, u32)> = next.routes.iter().map(|r| (r.name.as_str(), r.prefix.as_str(), r.max_attempts)).collect();
    assert_eq!(kept, [("b", "/bb/", 0)]);
    let merged = patch(&c, r#"{"services": [{"name": "huvo11a", "slots": 9}]}"#).unwrap();
    assert_eq!((merged.services[0].slots_per_worker, merged.services[0].max_requests_per_second), (9, 39.0));
    let replaced = patch(&c, r#"{"services": [{"name": "huvo11a", "slots": 9, "doc": "{}"}]}"#).unwrap();
    assert_eq!((replaced.services[0].slots_per_worker, replaced.services[0].max_requests_per_second), (9, 0.0));
}

#[test]
fn a_patch_adds_routes_to_a_config_without_any() {
    let c = Config::default();
    let part = json!({"revision": 1, "services": [{"name": "huvo11a"}], "routes": [{"name": "x", "remove": true}, route("a", "h", "/")]});
    let next = patch(&c, &part.to_string()).unwrap();
    assert_eq!(next.routes.len(), 1);
    check(&next).unwrap();
}

#[test]
fn a_change_needs_a_higher_revision_and_the_same_spool() {
    let rules =
        |revision: u64, spool: u32| compile(&Config { revision, spool_partitions: spool, ..Config::default() }, Version::ZERO);
    let paths = |old: &Rules, new: &Rules| match check_change(old, new, |_| true) {
        Ok(()) => Vec::new(),
        Err(e) => e.faults().into_iter().map(|f| f.path).collect::<Vec<_>>(),
    };
    assert!(paths(&rules(0, 0), &rules(0, 0)).is_empty());
    assert!(paths(&rules(0, 0), &rules(3, 6)).is_empty());
    assert!(paths(&rules(3, 6), &rules(40, 6)).is_empty());
    assert_eq!(paths(&rules(3, 6), &rules(3, 6)), ["revision"]);
    assert_eq!(paths(&rules(3, 6), &rules(0, 6)), ["revision"]);
    assert_eq!(paths(&rules(3, 6), &rules(4, 0)), ["spool"]);
    assert_eq!(paths(&rules(3, 6), &rules(4, 8)), ["spool"]);
}
