//! The status shows which further losses the deployment tolerates now, so that operators
//! can act before a second one.
mod fleet;
use fleet::*;

fn group(size: usize, present: &[&str]) -> QuorumGroup {
    QuorumGroup { size, present: present.iter().map(|zone| Zone(zone.to_string())).collect() }
}

#[test]
fn a_group_tolerates_losses_that_leave_a_majority() {
    let one = Tolerance { machines: 1, zones: 1, regions: 0 };
    let two = Tolerance { machines: 2, ..one };
    assert!(group(3, &["a", "b", "c"]).tolerates(&one));
    assert!(!group(3, &["a", "b"]).tolerates(&one), "one of three is absent");
    assert!(!group(3, &["a", "b", "b"]).tolerates(&one), "zone b has a majority");
    assert!(!group(4, &["a", "b", "c", "d"]).tolerates(&two), "four tolerate no more losses than three");
    assert!(group(5, &["a", "a", "b", "b", "c"]).tolerates(&two));
    assert!(!group(5, &["a", "a", "a", "b", "c"]).tolerates(&two), "zone a has a majority");
    assert!(!group(5, &["a", "b", "c"]).tolerates(&one), "no other member may be lost");
    assert!(!group(3, &["a", "b", "c"]).tolerates(&Tolerance { zones: 2, ..one }), "two of three zones");
}

#[test]
fn losses_of_regions_are_reported_as_not_planned_for() {
    let required = Tolerance { machines: 1, zones: 1, regions: 1 };
    let full = group(3, &["a", "b", "c"]);
    let short = Redundancy::new(full.clone(), vec![full], &required).shortfall(&required);
    assert_eq!(short, ["the loss of 1 regions is not planned for: only zones are known"]);
}

fn status(f: &mut Fleet) -> Value {
    let primary = f.primary().unwrap();
    f.step(&primary, Event::Request(RequestId(9_000), ApiRequest::Status));
    let answer = f.answers.remove(&9_000).unwrap();
    serde_json::from_str::<Value>(&answer.json).unwrap()["redundancy"].clone()
}

#[test]
fn the_status_shows_a_lost_store_that_was_alone_in_its_zone() {
    let mut f = serving_with_stores(3);
    let before = status(&mut f);
    assert_eq!(before["shortfall"], json!([]), "{before}");
    assert_eq!(before["voters"], json!({"size": 3, "present": 3, "machines": 1, "zones": true}));
    let fake = f.fakes.remove(&daemon("store-1")).unwrap();
    f.run(4_000);
    let short = status(&mut f);
    assert_eq!(short["weak_write_sets"], 6, "{short}");
    assert_eq!(short["weakest_write_set"], json!({"size": 3, "present": 2, "machines": 0, "zones": false}));
    f.fakes.insert(daemon("store-1"), fake);
    f.run(4_000);
    assert_eq!(status(&mut f)["shortfall"], json!([]));
}

#[test]
fn the_status_shows_a_lost_voter_of_three() {
    let mut f = serving_with_stores(3);
    let standby = f.standby();
    f.isolated.insert(standby.clone());
    f.run(4_000);
    assert_eq!(status(&mut f)["voters"], json!({"size": 3, "present": 2, "machines": 0, "zones": false}));
    f.isolated.remove(&standby);
    f.run(4_000);
    assert_eq!(status(&mut f)["shortfall"], json!([]));
}
