//! Configurations that carry a revision chosen by their operator: which one takes effect,
//! and what each sender is answered.
mod fleet;
use fleet::*;

fn shown_config(f: &mut Fleet) -> Value {
    let v = f.request(ApiRequest::ShowConfig);
    assert_eq!(v.code, 200, "{}", v.json);
    serde_json::from_slice(&v.body.expect("the configuration itself")).unwrap()
}

fn names(c: &Value) -> Vec<String> {
    c["routes"].as_array().into_iter().flatten().map(|r| r["name"].as_str().unwrap().to_string()).collect()
}

fn paths(v: &ApiResponse) -> Vec<String> {
    let faults = json_of(v)["faults"].as_array().unwrap_or(&Vec::new()).clone();
    assert!(faults.iter().all(|x| !x["remedy"].as_str().unwrap_or("").is_empty()), "{faults:?}");
    faults.iter().map(|x| x["path"].as_str().unwrap().to_string()).collect()
}

#[test]
fn the_first_configuration_waits_for_stores_and_their_number_fixes_the_spool() {
    let mut f = Fleet::new();
    f.run_until(8_000, |f| f.primary().is_some());
    let v = f.put_config(0, &first_config());
    assert_eq!((v.code, v.retry_after), (503, Some(Span::millis(300))), "{}", v.json);
    f.add_stores(4);
    f.run(1_500);
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(shown_config(&mut f)["spool"], 8);
    // Stores that join later don't change it.
    f.add("store-5", "z2");
    f.run(2_000);
    let next = config(9, &[route("r-a", "/a/")]);
    assert_eq!(f.put_config(7, &next).code, 200);
    assert_eq!(shown_config(&mut f)["spool"], 8);
    let mut other = config(12, &[route("r-a", "/a/")]);
    other["spool"] = json!(10);
    let v = f.put_config(9, &other);
    assert_eq!((v.code, paths(&v)), (400, vec!["spool".to_string()]));
}

#[test]
fn revisions_may_skip_numbers_and_a_stale_base_is_refused() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(f.put_config(7, &config(19, &[route("r-a", "/a/")])).code, 200);
    for base in [0, 6, 7, 18, 20, u64::MAX] {
        let v = f.put_config(base, &config(40 + base % 100, &[route("r-b", "/b/")]));
        assert_eq!((v.code, json_of(&v)["revision"].as_u64()), (409, Some(19)), "base {base}");
    }
    for revision in [0, 1, 18, 19] {
        let v = f.put_config(19, &config(revision, &[route("r-b", "/b/")]));
        assert_eq!((v.code, paths(&v)), (400, vec!["revision".to_string()]), "revision {revision}");
    }
    assert_eq!(f.put_config(19, &config(u64::MAX, &[route("r-b", "/b/")])).code, 200);
    assert_eq!(names(&shown_config(&mut f)), ["r-b"]);
}

#[test]
fn the_first_configuration_needs_a_revision() {
    let mut f = Fleet::serving();
    let v = f.put_config(0, &config(0, &[route("r-a", "/a/")]));
    assert_eq!((v.code, paths(&v)), (400, vec!["revision".to_string()]));
}

#[test]
fn a_repeated_configuration_is_acknowledged_and_not_committed_twice() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let second = config(9, &[route("r-a", "/a/")]);
    assert_eq!(f.put_config(7, &second).code, 200);
    let part = json!({"revision": 11, "routes": [route("r-b", "/b/")]});
    assert_eq!(f.patch_config(9, &part).code, 200);
    let (commit_index, config_before) = (f.highest_commit_index(), shown_config(&mut f));
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(f.put_config(7, &second).code, 200);
    assert_eq!(f.patch_config(9, &part).code, 200);
    assert_eq!(f.highest_commit_index(), commit_index);
    assert_eq!(shown_config(&mut f), config_before);
    // The same text on another base, or as a whole configuration instead of a patch, is
    // another order.
    assert_eq!(f.put_config(9, &second).code, 409);
    assert_eq!(f.put_config(9, &part).code, 409);
}

#[test]
fn a_repeated_configuration_is_recognized_after_a_failover() {
    let mut f = Fleet::serving();
    f.put_config(0, &first_config());
    f.put_config(7, &config(9, &[route("r-a", "/a/")]));
    let old_primary = f.primary().unwrap();
    f.kill(&old_primary);
    f.run_until(8_000, |f| f.primary().is_some());
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(names(&shown_config(&mut f)), ["r-a"]);
}

#[test]
fn a_repeat_while_the_first_is_in_progress_gets_the_same_answer() {
    let mut f = Fleet::serving();
    let primary = f.primary().unwrap();
    let order = || ApiRequest::Revise { base: 0, json: first_config().to_string(), is_patch: false };
    // No message between the placement daemons is delivered between the two.
    f.step_alone(&primary, Event::Request(RequestId(901), order()));
    f.step_alone(&primary, Event::Request(RequestId(902), order()));
    assert!(f.answers.is_empty());
    f.drain();
    f.run(300);
    assert_eq!((f.answers[&901].code, f.answers[&902].code), (200, 200));
    assert_eq!(f.answers[&901], f.answers[&902]);
    // It is in the log only once, and not merely applied once.
    assert_eq!(f.configs_in_log(), 1);
}

#[test]
fn of_two_configurations_on_one_base_one_wins() {
    let mut f = Fleet::serving();
    f.put_config(0, &first_config());
    let primary = f.primary().unwrap();
    let one = config(9, &[route("r-a", "/a/")]).to_string();
    let two = json!({"revision": 8, "routes": [route("r-b", "/b/")]}).to_string();
    f.step_alone(&primary, Event::Request(RequestId(901), ApiRequest::Revise { base: 7, json: one, is_patch: false }));
    f.step_alone(&primary, Event::Request(RequestId(902), ApiRequest::Revise { base: 7, json: two, is_patch: true }));
    f.drain();
    f.run(300);
    assert_eq!((f.answers[&901].code, f.answers[&902].code), (200, 409));
    assert_eq!(json_of(&f.answers[&902])["revision"], 9);
    assert_eq!(names(&shown_config(&mut f)), ["r-a"]);
}

#[test]
fn without_a_majority_nothing_is_acknowledged_and_the_outcome_is_reported_as_unknown() {
    let mut f = Fleet::serving();
    f.put_config(0, &first_config());
    let primary = f.primary().unwrap();
    for d in f.cores.keys().cloned().collect::<Vec<_>>() {
        if d != primary {
            f.isolated.insert(d);
        }
    }
    let n = f.send_request(
        &primary,
        ApiRequest::Revise { base: 7, json: config(9, &[route("r-a", "/a/")]).to_string(), is_patch: false },
    );
    f.run(300);
    assert!(!f.answers.contains_key(&n));
    f.run(5_000);
    assert_eq!(f.answers[&n].code, 504);
    // The daemons can reach each other again: the same order succeeds, once.
    f.isolated.clear();
    f.run_until(8_000, |f| f.primary().is_some());
    let v = f.put_config(7, &config(9, &[route("r-a", "/a/")]));
    assert_eq!(v.code, 200);
    assert_eq!(names(&shown_config(&mut f)), ["r-a"]);
}

#[test]
fn invalid_configurations_are_refused_with_every_fault_and_change_nothing() {
    let mut f = Fleet::serving();
    f.put_config(0, &first_config());
    let (commit_index, before) = (f.highest_commit_index(), shown_config(&mut f));
    let with = |change: &dyn Fn(&mut Value)| {
        let mut c = config(9, &[route("r-a", "/a/"), route("r-b", "/b/")]);
        change(&mut c);
        c
    };
    type Case<'a> = (&'a str, &'a dyn Fn(&mut Value));
    let cases: Vec<Case> = vec![
        ("routes[0].service", &|c| c["routes"][0]["service"] = json!("nobody")),
        ("routes[1].prefix", &|c| c["routes"][1]["prefix"] = json!("/a/")),
        ("routes[1].attempt_ms", &|c| c["routes"][1]["attempt_ms"] = json!(0)),
        ("routes[0].prefix", &|c| c["routes"][0]["prefix"] = json!("a/")),
        ("routes[1].name", &|c| c["routes"][1]["name"] = json!("r-a")),
        ("routes[0].name", &|c| c["routes"][0]["name"] = json!("")),
        ("services[0].address", &|c| c["services"][0]["address"] = json!("library.example:80")),
        ("services[0].rate", &|c| c["services"][0]["rate"] = json!(-1.0)),
        ("revision", &|c| c["revision"] = json!(7)),
        ("$", &|c| c["routes"][0]["attempt_ms"] = json!("soon")),
        ("$", &|c| c["rooutes"] = json!([])),
    ];
    for (path, change) in &cases {
        let v = f.put_config(7, &with(change));
        assert_eq!(v.code, 400, "{path}: {}", v.json);
        assert_eq!(paths(&v), [*path], "{}", v.json);
    }
    // Several faults at once.
    let v = f.put_config(
        7,
        &with(&|c| {
            for (_, change) in &cases[..3] {
                change(c);
            }
            c["revision"] = json!(3);
        }),
    );
    assert_eq!(paths(&v), ["routes[0].service", "routes[1].attempt_ms", "routes[1].prefix", "revision"]);
    for text in ["", "{", "[]", "null", "7", "{\"revision\": 9, \"routes\": [{\"name\": \"x\"}"] {
        let v = f.request(ApiRequest::Revise { base: 7, json: text.into(), is_patch: false });
        assert_eq!(v.code, 400, "{text}: {}", v.json);
        let v = f.request(ApiRequest::Revise { base: 7, json: text.into(), is_patch: true });
        assert_eq!(v.code, 400, "{text}: {}", v.json);
    }
    let v = f.request(ApiRequest::Revise { base: 7, json: format!("{{\"doc\": \"{}\"}}", "x".repeat(9 << 20)), is_patch: false });
    assert_eq!(v.code, 413);
    assert_eq!(f.highest_commit_index(), commit_index);
    assert_eq!(shown_config(&mut f), before);
}

#[test]
fn patches_add_replace_and_remove_by_name() {
    let mut f = Fleet::serving();
    f.put_config(0, &first_config());
    let mut slow = route("r-vk9m68k", "/vobo680/");
    slow["attempt_ms"] = json!(600_000);
    let part = json!({"revision": 20, "doc": "later", "routes": [
        slow, route("r-new", "/new/"),
        {"name": "r-7b2ex5w", "remove": true}, {"name": "r-never", "remove": true}]});
    assert_eq!(f.patch_config(7, &part).code, 200);
    let c = shown_config(&mut f);
    assert_eq!(names(&c), ["r-vk9m68k", "r-new"]);
    assert_eq!((&c["routes"][0]["attempt_ms"], &c["doc"]), (&json!(600_000), &json!("later")));
    // A patch replaces a route as a whole: fields that it leaves out get their defaults.
    let bare = json!({"name": "r-new", "host": "lode17.example", "prefix": "/new/", "service": "huvo11a", "attempt_ms": 5});
    assert_eq!(f.patch_config(20, &json!({"revision": 21, "routes": [bare]})).code, 200);
    let c = shown_config(&mut f);
    assert_eq!((&c["routes"][1]["attempts"], &c["routes"][1]["doc"]), (&json!(0), &json!("")));
    // A service that a route still names can't be removed; one that no route names can.
    let drop = json!({"revision": 22, "services": [{"name": "huvo11a", "remove": true}]});
    let v = f.patch_config(21, &drop);
    assert_eq!((v.code, paths(&v)), (400, vec!["routes[0].service".to_string(), "routes[1].service".to_string()]));
    let all = json!({"revision": 23, "services": [{"name": "huvo11a", "remove": true}],
                     "routes": [{"name": "r-vk9m68k", "remove": true}, {"name": "r-new", "remove": true}]});
    assert_eq!(f.patch_config(21, &all).code, 200);
    // A route can be added again when there is none.
    let v = f.patch_config(
        23,
        &json!({"revision": 24, "services": [{"name": "s", "doc": "{}"}], "routes": [
        {"name": "r-x", "host": "h", "prefix": "/", "service": "s", "attempt_ms": 1}, {"name": "gone", "remove": true}]}),
    );
    assert_eq!(v.code, 200, "{}", v.json);
}

#[test]
fn docs_are_read_back_exactly_as_sent() {
    let mut f = Fleet::serving();
    let doc = " {\"z\":1.50, \"a\" : \"\\u00e4\", \"n\":90.0,\n\"revision\": 7}\t";
    let mut c = first_config();
    c["doc"] = json!(doc);
    c["routes"][1]["doc"] = json!(doc);
    c["services"][0]["doc"] = json!(doc);
    f.put_config(0, &c);
    let back = shown_config(&mut f);
    assert_eq!((&back["doc"], &back["routes"][1]["doc"], &back["services"][0]["doc"]), (&json!(doc), &json!(doc), &json!(doc)));
    // Deliveries and stores receive exactly the text that is shown.
    let text = f.request(ApiRequest::ShowConfig).body.unwrap();
    for x in f.fakes.values() {
        let received = x.updates.iter().rev().find_map(|i| if let Update::Config(j) = i { Some(j.clone()) } else { None });
        assert_eq!(received.unwrap().as_bytes(), &text[..]);
    }
}

#[test]
fn without_a_config_there_is_none_to_show() {
    let mut f = Fleet::serving();
    assert_eq!(f.request(ApiRequest::ShowConfig).code, 404);
}

#[test]
fn a_standby_names_the_primary() {
    let mut f = Fleet::serving();
    let (primary, standby) = (f.primary().unwrap(), f.standby());
    let requests = [
        ApiRequest::ShowConfig,
        ApiRequest::Revise { base: 0, json: first_config().to_string(), is_patch: false },
        ApiRequest::SetZoneEmpty { zone: "z1".into(), empty: true, force: true },
        ApiRequest::RetireStore { store: daemon("store-1") },
    ];
    for request in requests {
        let n = f.send_request(&standby, request);
        let v = &f.answers[&n];
        assert_eq!((v.code, v.redirect_to.clone()), (503, Some(format!("{primary}:80"))));
    }
    // An isolated old primary does not redirect callers to itself.
    f.isolated.insert(primary.clone());
    f.run(2_500);
    let n = f.send_request(&primary, ApiRequest::ShowConfig);
    assert_eq!((f.answers[&n].code, f.answers[&n].redirect_to.clone()), (503, None));
}

#[test]
fn placement_daemons_are_not_announced_to_the_others() {
    let f = Fleet::serving();
    let names_placement =
        |i: &Update| if let Update::Members(all) = i { all.iter().any(|m| m.id.kind() == DaemonKind::Placement) } else { false };
    assert!(!f.fakes.values().any(|x| x.updates.iter().any(names_placement)));
    let primary = f.primary().unwrap();
    assert!(f.cores[&primary].committed.members.contains_key(&primary));
}

#[test]
fn forced_zone_orders_are_acknowledged_whatever_is_in_force() {
    let mut f = Fleet::serving();
    let zone = |z: &str, empty| ApiRequest::SetZoneEmpty { zone: z.into(), empty, force: true };
    for z in ["z1", "z2", "z3", "nowhere"] {
        assert_eq!(f.request(zone(z, true)).code, 200, "{z}");
    }
    let commit_index = f.highest_commit_index();
    for z in ["z1", "nowhere"] {
        assert_eq!(f.request(zone(z, true)).code, 200);
    }
    assert_eq!(f.request(zone("elsewhere", false)).code, 200);
    assert_eq!(f.highest_commit_index(), commit_index);
    assert_eq!(f.request(zone("z1", false)).code, 200);
    assert_eq!(f.highest_commit_index(), commit_index + 1);
    assert_eq!(f.request(zone("z1", false)).code, 200);
    assert_eq!(f.highest_commit_index(), commit_index + 1);
    // Without `force`, names are checked and the last zone with work can't be emptied.
    assert_eq!(f.request(ApiRequest::SetZoneEmpty { zone: "nowhere".into(), empty: true, force: false }).code, 404);
    assert_eq!(f.request(ApiRequest::SetZoneEmpty { zone: "z1".into(), empty: true, force: false }).code, 409);
}

#[test]
fn restoring_a_zone_while_its_emptying_is_in_progress_is_not_lost() {
    let mut f = Fleet::serving();
    let primary = f.primary().unwrap();
    let zone = |empty| ApiRequest::SetZoneEmpty { zone: "z1".into(), empty, force: true };
    f.step_alone(&primary, Event::Request(RequestId(901), zone(true)));
    f.step_alone(&primary, Event::Request(RequestId(902), zone(false)));
    f.drain();
    f.run(300);
    assert_eq!((f.answers[&901].code, f.answers[&902].code), (200, 200));
    assert!(f.cores[&primary].committed.empty_zones.is_empty());
}

#[test]
fn many_configurations_keep_the_hard_state_small() {
    let mut f = Fleet::serving();
    let routes: Vec<Value> = (0..200).map(|n| route(&format!("r-{n}"), &format!("/{n}/"))).collect();
    assert_eq!(f.put_config(0, &config(1, &routes)).code, 200);
    let config_size = f.request(ApiRequest::ShowConfig).body.unwrap().len();
    for n in 1..60 {
        let part = json!({"revision": n + 1, "routes": [route("r-0", &format!("/x{n}/"))]});
        assert_eq!(f.patch_config(n, &part).code, 200);
        // The configuration in force, those in the log (512 KiB), and one that is being
        // saved.
        for (id, size) in f.folder_sizes() {
            assert!(
                size < config_size * 2 + (512 << 10) + 65_536,
                "{id} keeps {size} bytes for a configuration of {config_size}"
            );
        }
    }
}

/// Changes that are made while one replica is down.
const CHANGES: u64 = 1_000;
/// The bytes that a returning replica may be sent besides the state itself: heartbeats,
/// records of operations, and log entries that are not compacted yet.
const MAX_EXTRA_BYTES: usize = 1 << 20;

#[test]
fn a_member_that_was_away_for_a_thousand_changes_catches_up_by_state_and_can_lead() {
    let mut f = Fleet::serving();
    let routes: Vec<Value> = (0..500).map(|n| route(&format!("r-{n}"), &format!("/{n}/"))).collect();
    assert_eq!(f.put_config(0, &config(1, &routes)).code, 200);
    let returning = f.standby();
    let old_files = f.files(&returning);
    f.kill(&returning);
    for n in 1..=CHANGES {
        let part = json!({"revision": n + 1, "routes": [route("r-0", &format!("/x{n}/"))]});
        assert_eq!(f.patch_config(n, &part).code, 200, "change {n}");
    }
    let newest = shown_config(&mut f);
    f.metered = Some((returning.clone(), 0));
    f.restart_from(&returning, old_files);
    let committed = f.highest_commit_index();
    f.run_until(2_000, |f| f.cores[&returning].election.commit_index() >= committed);
    let (_, bytes) = f.metered.take().unwrap();
    let state_size = newest.to_string().len();
    assert!(bytes < 2 * state_size + MAX_EXTRA_BYTES, "{bytes} bytes to catch up with a state of {state_size}");
    // Whichever replica leads next, no earlier state is shown, and the replica that was
    // down has the same configuration.
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.run_until(9_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == PrimaryPhase::Serving));
    assert_eq!(shown_config(&mut f), newest);
    assert_eq!(f.cores[&returning].committed.config, f.cores[&f.primary().unwrap()].committed.config);
}
