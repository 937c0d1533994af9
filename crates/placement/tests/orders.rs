//! Operators' orders that are sent more than once or by more than one operator.
mod fleet;
use fleet::*;

/// More changes than the previous format kept records of.
const MANY_CHANGES: u64 = 300;

fn revise(base: u64, text: &str) -> ApiRequest {
    ApiRequest::Revise { base, json: text.to_string(), is_patch: false }
}

fn config_with_route(revision: u64, prefix: &str) -> Value {
    config(revision, &[route("r-a", prefix)])
}

fn zone(empty: bool) -> ApiRequest {
    ApiRequest::SetZoneEmpty { zone: "z1".into(), empty, force: true }
}

/// A configuration whose `doc` is `token`, with which its hash can be chosen.
fn with_doc(token: &str) -> String {
    let mut config = config_with_route(9, "/a/");
    config["doc"] = json!(token);
    config.to_string()
}

#[test]
fn two_configurations_of_one_base_and_one_weak_hash_are_not_both_confirmed() {
    let (one, two) = (with_doc("978vOSp_83C"), with_doc("PZQq2hwoeGK"));
    assert_ne!(one, two);
    assert_eq!(hash_of(one.as_bytes()), hash_of(two.as_bytes()), "the pair was made to collide");
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(f.request(revise(7, &one)).code, 200);
    assert_eq!(f.request(revise(7, &two)).code, 409);
}

#[test]
fn an_acknowledged_order_is_acknowledged_again_after_hundreds_of_others() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    for n in 0..MANY_CHANGES {
        let primary = f.primary().unwrap();
        f.send_request(&primary, revise(7 + n, &config_with_route(8 + n, &format!("/x{n}/")).to_string()));
        f.run(50);
    }
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(f.put_config(7, &config_with_route(8, "/x0/")).code, 200);
    assert_eq!(f.put_config(7, &config_with_route(8, "/other/")).code, 409);
}

#[test]
fn a_repeated_emptying_of_a_zone_joins_the_one_in_progress() {
    let mut f = Fleet::serving();
    let (primary, before) = (f.primary().unwrap(), f.highest_commit_index());
    f.step_alone(&primary, Event::Request(RequestId(901), zone(true)));
    f.step_alone(&primary, Event::Request(RequestId(902), zone(true)));
    f.drain();
    f.run(300);
    assert_eq!((f.answers[&901].code, f.answers[&902].code), (200, 200));
    assert_eq!(f.highest_commit_index(), before + 1);
}

#[test]
fn of_several_zone_orders_in_progress_the_last_one_wins_on_every_replica() {
    for orders in [vec![true, false], vec![true, false, true], vec![true, true, false, false], vec![false, true, false, true]] {
        let mut f = Fleet::serving();
        let primary = f.primary().unwrap();
        for (n, empty) in orders.iter().enumerate() {
            f.step_alone(&primary, Event::Request(RequestId(901 + n as u64), zone(*empty)));
        }
        f.drain();
        f.run(1_000);
        for n in 0..orders.len() as u64 {
            assert_eq!(f.answers[&(901 + n)].code, 200, "{orders:?}");
        }
        for (id, core) in &f.cores {
            assert_eq!(Some(&!core.committed.empty_zones.is_empty()), orders.last(), "{id} after {orders:?}");
        }
    }
}

#[test]
fn eight_orders_at_once_to_every_replica_confirm_one_order_only() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let all: Vec<Daemon> = f.cores.keys().cloned().collect();
    let texts: Vec<String> = (0..8).map(|n| config_with_route(9, &format!("/x{}/", n % 4)).to_string()).collect();
    for (n, text) in texts.iter().enumerate() {
        for (k, daemon) in all.iter().enumerate() {
            f.step_alone(daemon, Event::Request(RequestId(900 + 10 * n as u64 + k as u64), revise(7, text)));
        }
    }
    f.drain();
    f.run(1_000);
    let leader = all.iter().position(|d| Some(d) == f.primary().as_ref()).unwrap();
    for n in 0..texts.len() as u64 {
        for k in 0..all.len() as u64 {
            let expected = match (k as usize == leader, n % 4) {
                (false, _) => 503,
                (true, 0) => 200,
                (true, _) => 409,
            };
            assert_eq!(f.answers[&(900 + 10 * n + k)].code, expected, "order {n} at {k}");
        }
    }
    // The first configuration and the four different ones; each repeat joined its original.
    assert_eq!(f.configs_in_log(), 5);
}

#[test]
fn a_patch_sent_twice_at_once_is_done_once() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let primary = f.primary().unwrap();
    let patch = json!({"revision": 9, "routes": [route("r-b", "/b/")]}).to_string();
    for n in [901, 902] {
        f.step_alone(&primary, Event::Request(RequestId(n), ApiRequest::Revise { base: 7, json: patch.clone(), is_patch: true }));
    }
    f.drain();
    f.run(300);
    assert_eq!((f.answers[&901].code, f.answers[&902].code), (200, 200));
    assert_eq!(f.configs_in_log(), 2);
    // The same text as a whole configuration is another order.
    assert_eq!(f.request(revise(7, &patch)).code, 409);
}

#[test]
fn one_operation_id_for_two_patches_confirms_only_the_first() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let apply = |f: &Fleet, doc: &str| {
        let base = f.cores[&f.primary().unwrap()].committed.config_version.to_string();
        let json = json!({"revision": 9, "doc": doc}).to_string();
        ApiRequest::Apply(ApplyRequest { operation_id: "op-1".into(), base, json, is_patch: true })
    };
    let one = apply(&f, "one");
    assert_eq!(f.request(one.clone()).code, 200);
    assert_eq!(f.request(one).code, 200);
    let two = apply(&f, "two");
    assert_eq!(f.request(two).code, 409);
}

#[test]
fn an_order_older_than_the_records_is_neither_refused_nor_confirmed_unless_it_is_in_force() {
    let mut f = Fleet::serving();
    let second = config_with_route(9, "/a/");
    assert_eq!((f.put_config(0, &first_config()).code, f.put_config(7, &second).code), (200, 200));
    for core in f.cores.values_mut() {
        core.committed.operations = Operations::default();
        core.committed.operations.mark_incomplete_below(9);
    }
    let v = f.put_config(0, &first_config());
    assert_eq!((v.code, v.retry_after), (503, Some(Span::millis(300))), "{}", v.json);
    assert_eq!(f.put_config(7, &config_with_route(9, "/b/")).code, 503);
    assert_eq!(f.patch_config(7, &json!({"revision": 9, "doc": "part"})).code, 503);
    assert_eq!(f.put_config(7, &second).code, 200);
    // Orders on the newest revision or a later one are certain again.
    assert_eq!(f.put_config(9, &config_with_route(11, "/c/")).code, 200);
    assert_eq!(f.put_config(9, &config_with_route(12, "/d/")).code, 409);
}

/// The answers to operators among effects.
fn responses(effects: Vec<Effect>) -> Vec<ApiResponse> {
    effects.into_iter().filter_map(|e| if let Effect::Respond(_, v) = e { Some(v) } else { None }).collect()
}

#[test]
fn a_leader_that_was_frozen_shows_confirms_and_refuses_nothing_of_its_old_state() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let primary = f.primary().unwrap();
    let mut frozen = f.cores.remove(&primary).unwrap();
    f.run_until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    assert_eq!(f.put_config(7, &config_with_route(9, "/a/")).code, 200);
    // Messages that waited in its sockets are delivered before its next tick.
    let store = f.fakes.values().next().unwrap().member.clone();
    let pull = PeerMessage::Pull {
        requested_at: f.now,
        last_answered: (Term(1), f.now),
        held_versions: VersionVector::default(),
        member: store.clone(),
        report: Some(Report::default()),
        reads_compressed: false,
    };
    let out = frozen.step(Event::MessageReceived { from: store.id.clone(), message: pull }, f.now);
    assert!(!out.iter().any(|e| matches!(e, Effect::Send(_, PeerMessage::PullResponse { .. }))), "{out:?}");
    let requests = [
        ApiRequest::ShowConfig,
        revise(0, &first_config().to_string()),
        revise(7, &config_with_route(12, "/b/").to_string()),
        zone(false),
    ];
    for request in requests {
        let answers = responses(frozen.step(Event::Request(RequestId(1), request.clone()), f.now));
        assert_eq!(answers.iter().map(|v| v.code).collect::<Vec<_>>(), [503], "{request:?}");
    }
    let answers = responses(frozen.step(Event::Request(RequestId(2), ApiRequest::Status), f.now));
    assert_eq!(json_of(&answers[0])["may_act"], false);
}

#[test]
fn the_order_on_the_majority_side_of_a_network_split_wins_and_the_other_is_refused() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    let primary = f.primary().unwrap();
    f.isolated.insert(primary.clone());
    let minority = config_with_route(9, "/minority/");
    let n = f.send_request(&primary, revise(7, &minority.to_string()));
    f.run_until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    assert_eq!(f.put_config(7, &config_with_route(9, "/majority/")).code, 200);
    f.isolated.clear();
    f.run(4_000);
    assert_eq!(f.answers[&n].code, 504);
    assert_eq!(f.put_config(7, &minority).code, 409);
    assert_eq!(f.put_config(7, &config_with_route(9, "/majority/")).code, 200);
    let configs: BTreeSet<&str> = f.cores.values().map(|c| c.committed.config.as_str()).collect();
    assert!(configs.len() == 1 && configs.iter().all(|c| c.contains("/majority/")), "{configs:?}");
}

#[test]
fn the_records_of_orders_are_the_same_on_every_replica_and_after_a_restart() {
    let mut f = Fleet::serving();
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    for n in 0..40 {
        assert_eq!(f.put_config(7 + n, &config_with_route(8 + n, &format!("/x{n}/"))).code, 200);
    }
    let all: Vec<Daemon> = f.cores.keys().cloned().collect();
    for id in &all {
        f.kill(id);
    }
    for id in &all {
        f.start(id, false);
    }
    f.run_until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    let records = f.cores[&f.primary().unwrap()].committed.operations.clone();
    assert_eq!(records.len(), 41);
    assert!(f.cores.values().all(|c| c.committed.operations == records));
    assert_eq!(f.put_config(0, &first_config()).code, 200);
    assert_eq!(f.put_config(20, &config_with_route(21, "/x13/")).code, 200);
    assert_eq!(f.put_config(20, &config_with_route(21, "/other/")).code, 409);
}
