//! What leaders know about attempts when a partition changes its leader.
mod settings;
mod three_stores;
use dw_queue::prelude::*;
use settings::*;
use three_stores::*;

/// Long enough to open, and much shorter than the hold on inherited messages.
const OPENING_TIME: Span = Span::millis(600);

fn id() -> MessageId {
    MessageId("m1".into())
}

/// Makes store `n` the leader, which opens the partition and holds inherited messages
/// back.
fn change_leader(cluster: &mut Cluster, n: u64) {
    cluster.leader = n;
    cluster.epoch += 1;
    cluster.run(OPENING_TIME);
    assert_eq!(cluster.phase(n), Some(Phase::Serving));
    assert!(cluster.leader_state(n).unwrap().hold_until > cluster.now, "it holds nothing back");
}

/// A delivery reports to store `n` that attempt 1 of the first leader succeeded.
fn report_success(cluster: &mut Cluster, n: u64) {
    let epoch = Epoch { term: TERM, count: 1 };
    let outcome = AttemptOutcome::Success;
    let result = AttemptResult {
        partition: partition(),
        id: id(),
        epoch,
        attempt: 1,
        stage: Stage::Pending,
        outcome,
        completion_token: String::new(),
        ended_ago: Span::ZERO,
    };
    let message = PeerMessage::AttemptResults { entries: vec![result] };
    cluster.queue.push_back((store(n), Event::MessageReceived { from: daemon("delivery-1"), message }));
    cluster.deliver_all();
}

fn stage_at(cluster: &Cluster, n: u64) -> Stage {
    cluster.stores[&store(n)].partitions[&partition()].records[&id()].stage
}

/// The stage that store `n` shows to callers.
fn stage_shown_by(cluster: &mut Cluster, n: u64) -> Stage {
    let message = PeerMessage::Lookup {
        request_id: 9,
        proxy: daemon("proxy-1"),
        relayed_by: None,
        partition: partition(),
        id: id(),
        with_body: false,
    };
    cluster.queue.push_back((store(n), Event::MessageReceived { from: daemon("proxy-1"), message }));
    cluster.deliver_all();
    match cluster.last_lookup.take() {
        Some(LookupResult::Found { stage, .. }) => stage,
        other => panic!("the lookup gave {other:?}"),
    }
}

fn accepted_before_a_leader_change() -> Cluster {
    let mut cluster = Cluster::new();
    cluster.submit(1, 1);
    assert!(cluster.accepted(1), "{:?}", cluster.responses);
    change_leader(&mut cluster, 2);
    cluster
}

#[test]
fn a_success_reported_during_the_hold_is_recorded_at_once_and_shown_after_the_hold() {
    let mut cluster = accepted_before_a_leader_change();
    report_success(&mut cluster, 2);
    assert_eq!(cluster.recorded, [(daemon("delivery-1"), 1)]);
    assert_eq!(stage_shown_by(&mut cluster, 2), Stage::Pending);
    let hold = cluster.leader_state(2).unwrap().hold_until.since(cluster.now);
    cluster.run(hold + Span::millis(1500));
    assert_eq!(stage_shown_by(&mut cluster, 2), Stage::Ended(Outcome::Succeeded));
}

/// Incident TWICE: the next leader did not know of the success and ran the message
/// again.
#[test]
fn a_success_reported_during_the_hold_is_known_to_the_next_leaders() {
    let mut cluster = accepted_before_a_leader_change();
    report_success(&mut cluster, 2);
    change_leader(&mut cluster, 3);
    assert_eq!(stage_at(&cluster, 3), Stage::Ended(Outcome::Succeeded));
    cluster.stores.remove(&store(2));
    change_leader(&mut cluster, 1);
    assert_eq!(stage_at(&cluster, 1), Stage::Ended(Outcome::Succeeded));
}

#[test]
fn a_success_reported_again_is_recorded_again() {
    let mut cluster = accepted_before_a_leader_change();
    report_success(&mut cluster, 2);
    change_leader(&mut cluster, 3);
    report_success(&mut cluster, 3);
    assert_eq!(cluster.recorded.len(), 2);
}

/// A delivery reports its capacity for the partition to store 1.
fn report_capacity(cluster: &mut Cluster, capacity: u32) {
    let epoch = Epoch { term: TERM, count: 1 };
    let duties = vec![Capacity { duty: Duty::Deliver(partition()), epoch, capacity, held_for: Span::ZERO }];
    let partitions = vec![(partition(), epoch)];
    let message = PeerMessage::Capacity { requested_at: cluster.now, duties, partitions, in_flight: Vec::new(), routed: None };
    cluster.queue.push_back((store(1), Event::MessageReceived { from: daemon("delivery-1"), message }));
    cluster.deliver_all();
}

/// A success is reported after its attempt was considered over, while the message waits
/// for its next try: that try was dispatched in the same step that received the success.
#[test]
fn a_success_reported_after_the_deadline_removes_the_message_from_its_queue() {
    let mut cluster = Cluster::new();
    cluster.submit(1, 1);
    report_capacity(&mut cluster, 1);
    assert_eq!(cluster.offers.len(), 1);
    while cluster.stores[&store(1)].counts.unreported_attempts == 0 {
        cluster.run(Span::millis(20));
        assert!(cluster.now < Time(30_000_000), "its deadline never passes");
    }
    report_capacity(&mut cluster, 1);
    assert_eq!(cluster.offers.len(), 1, "it does not wait for its next try");
    // The next try is due by now; nothing was dispatched in between.
    cluster.now += Span::millis(400);
    report_success(&mut cluster, 1);
    assert_eq!(cluster.offers.len(), 1);
    assert_eq!(cluster.stores[&store(1)].counts.ended_messages_dequeued, 0);
    assert_eq!(stage_at(&cluster, 1), Stage::Ended(Outcome::Succeeded));
}
