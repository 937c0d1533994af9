//! Operators' orders sent more than once, by more than one operator.
mod fleet;
use fleet::*;

/// More changes than the earlier form remembered.
const MANY: u64 = 300;

fn revise(base: u64, words: &str) -> ApiRequest {
    ApiRequest::Revise { base, json: words.to_string(), is_patch: false }
}

fn routed(revision: u64, prefix: &str) -> Value {
    config(revision, &[route("r-a", prefix)])
}

fn zone(empty: bool) -> ApiRequest {
    ApiRequest::SetZoneEmpty { zone: "z1".into(), empty, force: true }
}

/// A configuration that starts with `token`, so that its hash may be chosen.
fn with_doc(token: &str) -> String {
    let mut whole = routed(9, "/a/");
    whole["doc"] = json!(token);
    whole.to_string()
}

#[test]
fn two_configurations_of_one_base_and_one_weak_hash_are_not_both_confirmed() {
    let (one, two) = (with_doc("978vOSp_83C"), with_doc("PZQq2hwoeGK"));
    assert_ne!(one, two);
    assert_eq!(hash_of(one.as_bytes()), hash_of(two.as_bytes()), "the pair was made to collide");
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(f.ask(revise(7, &one)).code, 200);
    assert_eq!(f.ask(revise(7, &two)).code, 409);
}

#[test]
fn an_acknowledged_order_is_acknowledged_again_after_hundreds_of_others() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    for n in 0..MANY {
        let at = f.primary().unwrap();
        f.send(&at, revise(7 + n, &routed(8 + n, &format!("/x{n}/")).to_string()));
        f.run(50);
    }
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(f.put(7, &routed(8, "/x0/")).code, 200);
    assert_eq!(f.put(7, &routed(8, "/other/")).code, 409);
}

#[test]
fn a_repeated_emptying_of_a_zone_joins_the_one_under_way() {
    let mut f = Fleet::whole();
    let (at, before) = (f.primary().unwrap(), f.committed());
    f.step_alone(&at, Event::Request(RequestId(901), zone(true)));
    f.step_alone(&at, Event::Request(RequestId(902), zone(true)));
    f.drain();
    f.run(300);
    assert_eq!((f.told[&901].code, f.told[&902].code), (200, 200));
    assert_eq!(f.committed(), before + 1);
}

#[test]
fn of_the_orders_for_a_zone_under_way_the_last_one_wins_on_every_replica() {
    for orders in [vec![true, false], vec![true, false, true], vec![true, true, false, false], vec![false, true, false, true]] {
        let mut f = Fleet::whole();
        let at = f.primary().unwrap();
        for (n, empty) in orders.iter().enumerate() {
            f.step_alone(&at, Event::Request(RequestId(901 + n as u64), zone(*empty)));
        }
        f.drain();
        f.run(1_000);
        for n in 0..orders.len() as u64 {
            assert_eq!(f.told[&(901 + n)].code, 200, "{orders:?}");
        }
        for (id, core) in &f.cores {
            assert_eq!(Some(&!core.committed.empty.is_empty()), orders.last(), "{id} after {orders:?}");
        }
    }
}

#[test]
fn eight_orders_at_once_to_every_replica_confirm_one_order_only() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let all: Vec<Daemon> = f.cores.keys().cloned().collect();
    let words: Vec<String> = (0..8).map(|n| routed(9, &format!("/x{}/", n % 4)).to_string()).collect();
    for (n, text) in words.iter().enumerate() {
        for (k, daemon) in all.iter().enumerate() {
            f.step_alone(daemon, Event::Request(RequestId(900 + 10 * n as u64 + k as u64), revise(7, text)));
        }
    }
    f.drain();
    f.run(1_000);
    let leader = all.iter().position(|d| Some(d) == f.primary().as_ref()).unwrap();
    for n in 0..words.len() as u64 {
        for k in 0..all.len() as u64 {
            let wanted = match (k as usize == leader, n % 4) {
                (false, _) => 503,
                (true, 0) => 200,
                (true, _) => 409,
            };
            assert_eq!(f.told[&(900 + 10 * n + k)].code, wanted, "order {n} at {k}");
        }
    }
    // The first configuration and the four that differ; each repeat joined its own.
    assert_eq!(f.configs_logged(), 5);
}

#[test]
fn a_patch_sent_twice_at_once_is_done_once() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let at = f.primary().unwrap();
    let words = json!({"revision": 9, "routes": [route("r-b", "/b/")]}).to_string();
    for n in [901, 902] {
        f.step_alone(&at, Event::Request(RequestId(n), ApiRequest::Revise { base: 7, json: words.clone(), is_patch: true }));
    }
    f.drain();
    f.run(300);
    assert_eq!((f.told[&901].code, f.told[&902].code), (200, 200));
    assert_eq!(f.configs_logged(), 2);
    // The same words as a whole configuration are another order.
    assert_eq!(f.ask(revise(7, &words)).code, 409);
}

#[test]
fn one_operation_id_for_two_patches_confirms_only_the_first() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let apply = |f: &Fleet, doc: &str| {
        let base = f.cores[&f.primary().unwrap()].committed.config_version.to_string();
        let json = json!({"revision": 9, "doc": doc}).to_string();
        ApiRequest::Apply(ApplyRequest { operation_id: "op-1".into(), base, json, is_patch: true })
    };
    let one = apply(&f, "one");
    assert_eq!(f.ask(one.clone()).code, 200);
    assert_eq!(f.ask(one).code, 200);
    let two = apply(&f, "two");
    assert_eq!(f.ask(two).code, 409);
}

#[test]
fn an_order_older_than_the_records_is_neither_refused_nor_confirmed_unless_it_is_in_force() {
    let mut f = Fleet::whole();
    let second = routed(9, "/a/");
    assert_eq!((f.put(0, &first()).code, f.put(7, &second).code), (200, 200));
    for core in f.cores.values_mut() {
        core.committed.operations = Operations::default();
        core.committed.operations.incomplete_below(9);
    }
    let v = f.put(0, &first());
    assert_eq!((v.code, v.retry_after), (503, Some(Span::millis(300))), "{}", v.json);
    assert_eq!(f.put(7, &routed(9, "/b/")).code, 503);
    assert_eq!(f.patch(7, &json!({"revision": 9, "doc": "part"})).code, 503);
    assert_eq!(f.put(7, &second).code, 200);
    // From the newest revision on all is certain again.
    assert_eq!(f.put(9, &routed(11, "/c/")).code, 200);
    assert_eq!(f.put(9, &routed(12, "/d/")).code, 409);
}

/// Every verdict among effects.
fn verdicts(effects: Vec<Effect>) -> Vec<ApiResponse> {
    effects.into_iter().filter_map(|e| if let Effect::Respond(_, v) = e { Some(v) } else { None }).collect()
}

#[test]
fn a_leader_that_was_frozen_shows_confirms_and_refuses_nothing_of_its_old_state() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let at = f.primary().unwrap();
    let mut frozen = f.cores.remove(&at).unwrap();
    f.until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    assert_eq!(f.put(7, &routed(9, "/a/")).code, 200);
    // What waited at its sockets comes before its own clock event.
    let store = f.fakes.values().next().unwrap().me.clone();
    let need = PeerMessage::Pull {
        requested_at: f.now,
        last_answered: (Term(1), f.now),
        held_versions: VersionVector::default(),
        member: store.clone(),
        report: Some(Report::default()),
        reads_compressed: false,
    };
    let out = frozen.step(Event::MessageReceived { from: store.id.clone(), message: need }, f.now);
    assert!(!out.iter().any(|e| matches!(e, Effect::Send(_, PeerMessage::PullResponse { .. }))), "{out:?}");
    let asks = [ApiRequest::ShowConfig, revise(0, &first().to_string()), revise(7, &routed(12, "/b/").to_string()), zone(false)];
    for ask in asks {
        let told = verdicts(frozen.step(Event::Request(RequestId(1), ask.clone()), f.now));
        assert_eq!(told.iter().map(|v| v.code).collect::<Vec<_>>(), [503], "{ask:?}");
    }
    let told = verdicts(frozen.step(Event::Request(RequestId(2), ApiRequest::Status), f.now));
    assert_eq!(said(&told[0])["may_act"], false);
}

#[test]
fn of_two_orders_on_both_sides_of_a_cut_the_majority_s_wins_and_the_other_is_refused_for_sure() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    let at = f.primary().unwrap();
    f.cut.insert(at.clone());
    let lost = routed(9, "/minority/");
    let n = f.send(&at, revise(7, &lost.to_string()));
    f.until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    assert_eq!(f.put(7, &routed(9, "/majority/")).code, 200);
    f.cut.clear();
    f.run(4_000);
    assert_eq!(f.told[&n].code, 504);
    assert_eq!(f.put(7, &lost).code, 409);
    assert_eq!(f.put(7, &routed(9, "/majority/")).code, 200);
    let configs: BTreeSet<&str> = f.cores.values().map(|c| c.committed.config.as_str()).collect();
    assert!(configs.len() == 1 && configs.iter().all(|c| c.contains("/majority/")), "{configs:?}");
}

#[test]
fn the_records_of_orders_are_the_same_on_every_replica_and_after_a_restart() {
    let mut f = Fleet::whole();
    assert_eq!(f.put(0, &first()).code, 200);
    for n in 0..40 {
        assert_eq!(f.put(7 + n, &routed(8 + n, &format!("/x{n}/"))).code, 200);
    }
    let all: Vec<Daemon> = f.cores.keys().cloned().collect();
    for id in &all {
        f.kill(id);
    }
    for id in &all {
        f.start(id, false);
    }
    f.until(8_000, |f| f.primary().is_some());
    f.run(2_000);
    let lead = f.cores[&f.primary().unwrap()].committed.operations.clone();
    assert_eq!(lead.len(), 41);
    assert!(f.cores.values().all(|c| c.committed.operations == lead));
    assert_eq!(f.put(0, &first()).code, 200);
    assert_eq!(f.put(20, &routed(21, "/x13/")).code, 200);
    assert_eq!(f.put(20, &routed(21, "/other/")).code, 409);
}
