//! Configurations with their operator's own number: who wins, and what is told.
mod fleet;
use fleet::*;

fn shown(f: &mut Fleet) -> Value {
    let v = f.ask(ApiRequest::ShowConfig);
    assert_eq!(v.code, 200, "{}", v.json);
    serde_json::from_slice(&v.body.expect("the text itself")).unwrap()
}

fn names(c: &Value) -> Vec<String> {
    c["routes"].as_array().into_iter().flatten().map(|r| r["name"].as_str().unwrap().to_string()).collect()
}

fn paths(v: &ApiResponse) -> Vec<String> {
    let faults = said(v)["faults"].as_array().unwrap_or(&Vec::new()).clone();
    assert!(faults.iter().all(|x| !x["remedy"].as_str().unwrap_or("").is_empty()), "{faults:?}");
    faults.iter().map(|x| x["path"].as_str().unwrap().to_string()).collect()
}

#[test]
fn the_first_waits_for_stores_and_fixes_the_spool_by_them() {
    let mut f = Fleet::new();
    f.until(8_000, |f| f.primary().is_some());
    let v = f.put(0, &first());
    assert_eq!((v.code, v.retry_after), (503, Some(Span::millis(300))), "{}", v.json);
    f.stores(4);
    f.run(1_500);
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(shown(&mut f)["spool"], 8);
    // More stores change nothing in it.
    f.add("store-5", "z2");
    f.run(2_000);
    let next = config(9, &[route("r-a", "/a/")]);
    assert_eq!(f.put(7, &next).code, 200);
    assert_eq!(shown(&mut f)["spool"], 8);
    let mut other = config(12, &[route("r-a", "/a/")]);
    other["spool"] = json!(10);
    let v = f.put(9, &other);
    assert_eq!((v.code, paths(&v)), (400, vec!["spool".to_string()]));
}

#[test]
fn uneven_steps_are_taken_and_a_stale_base_is_not() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(f.put(7, &config(19, &[route("r-a", "/a/")])).code, 200);
    for base in [0, 6, 7, 18, 20, u64::MAX] {
        let v = f.put(base, &config(40 + base % 100, &[route("r-b", "/b/")]));
        assert_eq!((v.code, said(&v)["revision"].as_u64()), (409, Some(19)), "base {base}");
    }
    for revision in [0, 1, 18, 19] {
        let v = f.put(19, &config(revision, &[route("r-b", "/b/")]));
        assert_eq!((v.code, paths(&v)), (400, vec!["revision".to_string()]), "revision {revision}");
    }
    assert_eq!(f.put(19, &config(u64::MAX, &[route("r-b", "/b/")])).code, 200);
    assert_eq!(names(&shown(&mut f)), ["r-b"]);
}

#[test]
fn the_first_needs_a_number() {
    let mut f = Fleet::whole();
    let v = f.put(0, &config(0, &[route("r-a", "/a/")]));
    assert_eq!((v.code, paths(&v)), (400, vec!["revision".to_string()]));
}

#[test]
fn the_same_one_again_is_acknowledged_and_not_committed_twice() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let second = config(9, &[route("r-a", "/a/")]);
    assert_eq!(f.put(7, &second).code, 200);
    let part = json!({"revision": 11, "routes": [route("r-b", "/b/")]});
    assert_eq!(f.patch(9, &part).code, 200);
    let (at, now) = (f.committed(), shown(&mut f));
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(f.put(7, &second).code, 200);
    assert_eq!(f.patch(9, &part).code, 200);
    assert_eq!(f.committed(), at);
    assert_eq!(shown(&mut f), now);
    // On another base, or whole for a patch, it is another order.
    assert_eq!(f.put(9, &second).code, 409);
    assert_eq!(f.put(9, &part).code, 409);
}

#[test]
fn the_same_one_again_is_known_after_a_take_over() {
    let mut f = Fleet::whole();
    f.put(0, &first());
    f.put(7, &config(9, &[route("r-a", "/a/")]));
    let old = f.primary().unwrap();
    f.kill(&old);
    f.until(8_000, |f| f.primary().is_some());
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(names(&shown(&mut f)), ["r-a"]);
}

#[test]
fn a_repeat_while_the_first_is_under_way_shares_its_end() {
    let mut f = Fleet::whole();
    let at = f.primary().unwrap();
    let order = || ApiRequest::Revise { base: 0, json: first().to_string(), is_patch: false };
    // No word of the group travels between the two.
    f.step_alone(&at, Event::Request(RequestId(901), order()));
    f.step_alone(&at, Event::Request(RequestId(902), order()));
    assert!(f.told.is_empty());
    f.drain();
    f.run(300);
    assert_eq!((f.told[&901].code, f.told[&902].code), (200, 200));
    assert_eq!(f.told[&901], f.told[&902]);
    // In the log once, not only done once.
    assert_eq!(f.configs_logged(), 1);
}

#[test]
fn of_two_on_one_base_one_wins() {
    let mut f = Fleet::whole();
    f.put(0, &first());
    let at = f.primary().unwrap();
    let one = config(9, &[route("r-a", "/a/")]).to_string();
    let two = json!({"revision": 8, "routes": [route("r-b", "/b/")]}).to_string();
    f.step_alone(&at, Event::Request(RequestId(901), ApiRequest::Revise { base: 7, json: one, is_patch: false }));
    f.step_alone(&at, Event::Request(RequestId(902), ApiRequest::Revise { base: 7, json: two, is_patch: true }));
    f.drain();
    f.run(300);
    assert_eq!((f.told[&901].code, f.told[&902].code), (200, 409));
    assert_eq!(said(&f.told[&902])["revision"], 9);
    assert_eq!(names(&shown(&mut f)), ["r-a"]);
}

#[test]
fn without_a_majority_nothing_is_acknowledged_and_the_end_is_told_in_doubt() {
    let mut f = Fleet::whole();
    f.put(0, &first());
    let at = f.primary().unwrap();
    for d in f.cores.keys().cloned().collect::<Vec<_>>() {
        if d != at {
            f.cut.insert(d);
        }
    }
    let n = f.send(&at, ApiRequest::Revise { base: 7, json: config(9, &[route("r-a", "/a/")]).to_string(), is_patch: false });
    f.run(300);
    assert!(!f.told.contains_key(&n));
    f.run(5_000);
    assert_eq!(f.told[&n].code, 504);
    // The group comes together again: the same order ends well, once.
    f.cut.clear();
    f.until(8_000, |f| f.primary().is_some());
    let v = f.put(7, &config(9, &[route("r-a", "/a/")]));
    assert_eq!(v.code, 200);
    assert_eq!(names(&shown(&mut f)), ["r-a"]);
}

#[test]
fn invalid_ones_are_refused_with_every_fault_and_leave_no_trace() {
    let mut f = Fleet::whole();
    f.put(0, &first());
    let (at, before) = (f.committed(), shown(&mut f));
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
        let v = f.put(7, &with(change));
        assert_eq!(v.code, 400, "{path}: {}", v.json);
        assert_eq!(paths(&v), [*path], "{}", v.json);
    }
    // All at once.
    let v = f.put(
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
        let v = f.ask(ApiRequest::Revise { base: 7, json: text.into(), is_patch: false });
        assert_eq!(v.code, 400, "{text}: {}", v.json);
        let v = f.ask(ApiRequest::Revise { base: 7, json: text.into(), is_patch: true });
        assert_eq!(v.code, 400, "{text}: {}", v.json);
    }
    let v = f.ask(ApiRequest::Revise { base: 7, json: format!("{{\"doc\": \"{}\"}}", "x".repeat(9 << 20)), is_patch: false });
    assert_eq!(v.code, 413);
    assert_eq!(f.committed(), at);
    assert_eq!(shown(&mut f), before);
}

#[test]
fn patches_add_replace_and_take_out_by_name() {
    let mut f = Fleet::whole();
    f.put(0, &first());
    let mut slow = route("r-vk9m68k", "/vobo680/");
    slow["attempt_ms"] = json!(600_000);
    let part = json!({"revision": 20, "doc": "later", "routes": [
        slow, route("r-new", "/new/"),
        {"name": "r-7b2ex5w", "remove": true}, {"name": "r-never", "remove": true}]});
    assert_eq!(f.patch(7, &part).code, 200);
    let c = shown(&mut f);
    assert_eq!(names(&c), ["r-vk9m68k", "r-new"]);
    assert_eq!((&c["routes"][0]["attempt_ms"], &c["doc"]), (&json!(600_000), &json!("later")));
    // A route is whole: what the patch leaves out is not kept.
    let bare = json!({"name": "r-new", "host": "lode17.example", "prefix": "/new/", "service": "huvo11a", "attempt_ms": 5});
    assert_eq!(f.patch(20, &json!({"revision": 21, "routes": [bare]})).code, 200);
    let c = shown(&mut f);
    assert_eq!((&c["routes"][1]["attempts"], &c["routes"][1]["doc"]), (&json!(0), &json!("")));
    // A service that a route still names stays; else it may go.
    let drop = json!({"revision": 22, "services": [{"name": "huvo11a", "remove": true}]});
    let v = f.patch(21, &drop);
    assert_eq!((v.code, paths(&v)), (400, vec!["routes[0].service".to_string(), "routes[1].service".to_string()]));
    let all = json!({"revision": 23, "services": [{"name": "huvo11a", "remove": true}],
                     "routes": [{"name": "r-vk9m68k", "remove": true}, {"name": "r-new", "remove": true}]});
    assert_eq!(f.patch(21, &all).code, 200);
    // And the first route after none.
    let v = f.patch(
        23,
        &json!({"revision": 24, "services": [{"name": "s", "doc": "{}"}], "routes": [
        {"name": "r-x", "host": "h", "prefix": "/", "service": "s", "attempt_ms": 1}, {"name": "gone", "remove": true}]}),
    );
    assert_eq!(v.code, 200, "{}", v.json);
}

#[test]
fn docs_are_read_back_exactly_as_sent() {
    let mut f = Fleet::whole();
    let doc = " {\"z\":1.50, \"a\" : \"\\u00e4\", \"n\":90.0,\n\"revision\": 7}\t";
    let mut c = first();
    c["doc"] = json!(doc);
    c["routes"][1]["doc"] = json!(doc);
    c["services"][0]["doc"] = json!(doc);
    f.put(0, &c);
    let back = shown(&mut f);
    assert_eq!((&back["doc"], &back["routes"][1]["doc"], &back["services"][0]["doc"]), (&json!(doc), &json!(doc), &json!(doc)));
    // Deliveries and stores are told the very text that is shown.
    let text = f.ask(ApiRequest::ShowConfig).body.unwrap();
    for x in f.fakes.values() {
        let told = x.news.iter().rev().find_map(|i| if let Update::Config(j) = i { Some(j.clone()) } else { None });
        assert_eq!(told.unwrap().as_bytes(), &text[..]);
    }
}

#[test]
fn without_a_config_there_is_none_to_show() {
    let mut f = Fleet::whole();
    assert_eq!(f.ask(ApiRequest::ShowConfig).code, 404);
}

#[test]
fn a_standby_names_the_primary() {
    let mut f = Fleet::whole();
    let (at, other) = (f.primary().unwrap(), f.standby());
    let asks = [
        ApiRequest::ShowConfig,
        ApiRequest::Revise { base: 0, json: first().to_string(), is_patch: false },
        ApiRequest::SetZoneEmpty { zone: "z1".into(), empty: true, force: true },
        ApiRequest::RetireStore { store: daemon("store-1") },
    ];
    for ask in asks {
        let n = f.send(&other, ask);
        let v = &f.told[&n];
        assert_eq!((v.code, v.redirect_to.clone()), (503, Some(format!("{at}:80"))));
    }
    // Cut off, the old primary does not send callers to itself.
    f.cut.insert(at.clone());
    f.run(2_500);
    let n = f.send(&at, ApiRequest::ShowConfig);
    assert_eq!((f.told[&n].code, f.told[&n].redirect_to.clone()), (503, None));
}

#[test]
fn the_others_are_told_of_no_placement_daemon() {
    let f = Fleet::whole();
    let told =
        |i: &Update| if let Update::Members(all) = i { all.iter().any(|m| m.id.kind() == DaemonKind::Placement) } else { false };
    assert!(!f.fakes.values().any(|x| x.news.iter().any(told)));
    let at = f.primary().unwrap();
    assert!(f.cores[&at].committed.members.contains_key(&at));
}

#[test]
fn zones_that_are_sure_are_acknowledged_whatever_stands() {
    let mut f = Fleet::whole();
    let zone = |z: &str, empty| ApiRequest::SetZoneEmpty { zone: z.into(), empty, force: true };
    for z in ["z1", "z2", "z3", "nowhere"] {
        assert_eq!(f.ask(zone(z, true)).code, 200, "{z}");
    }
    let at = f.committed();
    for z in ["z1", "nowhere"] {
        assert_eq!(f.ask(zone(z, true)).code, 200);
    }
    assert_eq!(f.ask(zone("elsewhere", false)).code, 200);
    assert_eq!(f.committed(), at);
    assert_eq!(f.ask(zone("z1", false)).code, 200);
    assert_eq!(f.committed(), at + 1);
    assert_eq!(f.ask(zone("z1", false)).code, 200);
    assert_eq!(f.committed(), at + 1);
    // Without `sure`, the last zone with work is kept and names are checked.
    assert_eq!(f.ask(ApiRequest::SetZoneEmpty { zone: "nowhere".into(), empty: true, force: false }).code, 404);
    assert_eq!(f.ask(ApiRequest::SetZoneEmpty { zone: "z1".into(), empty: true, force: false }).code, 409);
}

#[test]
fn a_restoring_told_while_the_emptying_is_under_way_is_not_lost() {
    let mut f = Fleet::whole();
    let at = f.primary().unwrap();
    let zone = |empty| ApiRequest::SetZoneEmpty { zone: "z1".into(), empty, force: true };
    f.step_alone(&at, Event::Request(RequestId(901), zone(true)));
    f.step_alone(&at, Event::Request(RequestId(902), zone(false)));
    f.drain();
    f.run(300);
    assert_eq!((f.told[&901].code, f.told[&902].code), (200, 200));
    assert!(f.cores[&at].committed.empty.is_empty());
}

#[test]
fn a_day_of_configs_keeps_the_hard_state_small() {
    let mut f = Fleet::whole();
    let idle: Vec<Value> = (0..200).map(|n| route(&format!("r-{n}"), &format!("/{n}/"))).collect();
    assert_eq!(f.put(0, &config(1, &idle)).code, 200);
    let one = f.ask(ApiRequest::ShowConfig).body.unwrap().len();
    for n in 1..60 {
        let part = json!({"revision": n + 1, "routes": [route("r-0", &format!("/x{n}/"))]});
        assert_eq!(f.patch(n, &part).code, 200);
        // The configuration in force, the configurations in the log, and one under way.
        for (id, size) in f.folders() {
            assert!(size < one * 2 + (512 << 10) + 65_536, "{id} keeps {size} bytes for a configuration of {one}");
        }
    }
}

/// Changes that are made while one member is away.
const CHANGES: u64 = 1_000;
/// What a member that returns may be sent beside the state itself: heartbeats,
/// records of orders, entries that are not folded yet.
const BESIDE_THE_STATE: usize = 1 << 20;

#[test]
fn a_member_that_was_away_for_a_thousand_changes_catches_up_by_state_and_can_lead() {
    let mut f = Fleet::whole();
    let idle: Vec<Value> = (0..500).map(|n| route(&format!("r-{n}"), &format!("/{n}/"))).collect();
    assert_eq!(f.put(0, &config(1, &idle)).code, 200);
    let away = f.standby();
    let old_files = f.files(&away);
    f.kill(&away);
    for n in 1..=CHANGES {
        let part = json!({"revision": n + 1, "routes": [route("r-0", &format!("/x{n}/"))]});
        assert_eq!(f.patch(n, &part).code, 200, "change {n}");
    }
    let newest = shown(&mut f);
    f.metered = Some((away.clone(), 0));
    f.restart_from(&away, old_files);
    let committed = f.committed();
    f.until(2_000, |f| f.cores[&away].election.commit_index() >= committed);
    let (_, bytes) = f.metered.take().unwrap();
    let state = newest.to_string().len();
    assert!(bytes < 2 * state + BESIDE_THE_STATE, "{bytes} bytes to catch up with a state of {state}");
    // It may lead now, and shows nothing old: the others follow it.
    let primary = f.primary().unwrap();
    f.kill(&primary);
    f.until(9_000, |f| f.primary().is_some_and(|d| f.cores[&d].phase == Office::Serving));
    assert_eq!(shown(&mut f), newest);
    assert_eq!(f.cores[&away].committed.config, f.cores[&f.primary().unwrap()].committed.config);
}
