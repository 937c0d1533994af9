//! Retirement of whole storage machines by an operator.
mod fleet;
use fleet::*;

fn retire(f: &mut Fleet, machine: &str) -> u16 {
    f.request(ApiRequest::RetireMachine { machine: machine.to_string() }).code
}

fn retirement_of(f: &mut Fleet, machine: &str) -> (u16, String) {
    let v = f.request(ApiRequest::RetirementStatus { machine: machine.to_string() });
    (v.code, json_of(&v)["retirement"].as_str().unwrap_or("").to_string())
}

#[test]
fn a_retired_machine_is_emptied_in_time_and_then_reported_gone() {
    let mut f = serving_with_stores(4);
    f.run(5_000);
    assert!(seat_count(&f, "store-1") > 0);
    assert_eq!(retirement_of(&mut f, "machine-of-store-1").0, 404);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
    assert_eq!(retirement_of(&mut f, "machine-of-store-1"), (200, "leaving".to_string()));
    let start = f.now;
    while retirement_of(&mut f, "machine-of-store-1").1 != "gone" {
        assert!(f.now.since(start) < Span::millis(4_000), "{} seats are left", seat_count(&f, "store-1"));
    }
    assert_eq!(seat_count(&f, "store-1"), 0);
    let leads = |d: &Duty| matches!(d, Duty::Lead(_));
    assert!(!f.fakes[&daemon("store-1")].held.keys().any(leads));
    assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
}

#[test]
fn a_machine_that_is_unknown_or_needed_is_not_taken() {
    let mut f = serving_with_stores(3);
    for unknown in ["", "machine-of-delivery-1", "elsewhere"] {
        assert_eq!(retire(&mut f, unknown), 404);
        assert_eq!(retirement_of(&mut f, unknown).0, 404);
    }
    assert_eq!(retire(&mut f, "machine-of-store-1"), 409);
    let mut f = serving_with_stores(4);
    assert_eq!(retire(&mut f, "machine-of-store-2"), 200);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 409);
}

#[test]
fn a_store_that_is_gone_does_not_count_as_one_that_remains() {
    let mut f = serving_with_stores(4);
    f.fakes.remove(&daemon("store-2"));
    f.run(7_000);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 409);
}

#[test]
fn a_machine_with_a_vote_is_not_gone_before_a_spare_can_take_the_vote() {
    let mut f = serving_with_stores(4);
    f.fakes.get_mut(&daemon("store-1")).unwrap().member.addr = "placement-1:9".to_string();
    f.run(1_000);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
    f.run(8_000);
    assert_eq!(seat_count(&f, "store-1"), 0);
    assert_eq!(retirement_of(&mut f, "machine-of-store-1"), (200, "leaving".to_string()));
    let primary = f.primary().unwrap();
    let hosts: BTreeSet<String> = [String::from("placement-1")].into();
    assert_eq!(f.cores[&primary].retiring_hosts(), hosts);
}

/// Before the machine is reported as "gone" a spare holds its vote, so that right
/// afterwards another voter can be lost.
#[test]
fn a_machine_with_a_vote_is_gone_once_a_spare_votes_and_another_loss_is_tolerated() {
    for second in ["placement-2", "placement-3"] {
        let mut f = serving_with_stores(4);
        f.fakes.get_mut(&daemon("store-1")).unwrap().member.addr = "placement-1:9".to_string();
        f.start(&daemon("placement-4"), false);
        f.run(2_000);
        assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
        let start = f.now;
        while retirement_of(&mut f, "machine-of-store-1").1 != "gone" {
            assert!(f.now.since(start) < Span::millis(8_000));
        }
        f.kill(&daemon("placement-1"));
        f.fakes.remove(&daemon("store-1"));
        f.kill(&daemon(second));
        f.run(6_000);
        let primary = f.primary().unwrap_or_else(|| panic!("no majority is left without {second}"));
        let voters = f.cores[&primary].election.configuration().voter_names();
        assert!(voters.contains(&daemon("placement-4")) && !voters.contains(&daemon("placement-1")), "{voters:?}");
    }
}

/// Two losses at once need five voters; the group finds them without an operator's
/// order.
#[test]
fn the_placement_group_grows_to_the_size_that_the_tolerated_losses_require() {
    let mut f = Fleet::with_settings("", 0.0, Tolerance { machines: 2, ..Tolerance::default() });
    for n in 4..=6 {
        f.start(&daemon(&format!("placement-{n}")), false);
    }
    f.run(4_000);
    let primary = f.primary().expect("a primary");
    assert_eq!(f.cores[&primary].election.configuration().voters.len(), 5);
}

#[test]
fn a_new_machine_at_the_address_of_one_that_retired_is_used() {
    let mut f = serving_with_stores(4);
    assert_eq!(retire(&mut f, "machine-of-store-1"), 200);
    f.run(6_000);
    assert_eq!(retirement_of(&mut f, "machine-of-store-1").1, "gone");
    f.fakes.remove(&daemon("store-1"));
    f.run(2_000);
    f.add("store-1", "z1");
    let member = &mut f.fakes.get_mut(&daemon("store-1")).unwrap().member;
    (member.machine, member.disk_id, member.incarnation) = ("another".to_string(), IncarnationId(77), IncarnationId(9));
    f.run(2_000);
    assert_eq!(retirement_of(&mut f, "another").0, 404);
    assert!(!f.cores[&f.primary().unwrap()].committed.retiring_stores.contains_key(&daemon("store-1")));
}
