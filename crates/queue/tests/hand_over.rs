//! What is known of attempts when a partition goes from leader to leader.
mod settings;
mod trio;
use dw_queue::prelude::*;
use settings::*;
use trio::*;

/// Long enough to open, and much shorter than the rest after an opening.
const OPENS: Span = Span::millis(600);

fn id() -> MessageId {
    MessageId("m1".into())
}

/// The partition goes to store `n`, which opens it and rests.
fn hand_to(fleet: &mut Fleet, n: u64) {
    fleet.leader = n;
    fleet.epoch += 1;
    fleet.run(OPENS);
    assert_eq!(fleet.phase(n), Some(Phase::Serving));
    assert!(fleet.own(n).unwrap().hold_until > fleet.now, "it does not rest");
}

/// A delivery tells store `n` that attempt 1 of the first leader succeeded.
fn tell_success(fleet: &mut Fleet, n: u64) {
    let epoch = Epoch { term: TERM, count: 1 };
    let told = AttemptOutcome::Success;
    let one = AttemptResult {
        partition: place(),
        id: id(),
        epoch,
        attempt: 1,
        stage: Stage::Pending,
        outcome: told,
        completion_token: String::new(),
        ended_ago: Span::ZERO,
    };
    let msg = PeerMessage::AttemptResults { entries: vec![one] };
    fleet.queue.push_back((store(n), Event::MessageReceived { from: daemon("delivery-1"), message: msg }));
    fleet.settle();
}

fn stage_at(fleet: &Fleet, n: u64) -> Stage {
    fleet.stores[&store(n)].parts[&place()].records[&id()].stage
}

/// The stage that callers are shown by store `n`.
fn shown_by(fleet: &mut Fleet, n: u64) -> Stage {
    let msg = PeerMessage::Lookup {
        request_id: 9,
        proxy: daemon("proxy-1"),
        via: None,
        partition: place(),
        id: id(),
        with_body: false,
    };
    fleet.queue.push_back((store(n), Event::MessageReceived { from: daemon("proxy-1"), message: msg }));
    fleet.settle();
    match fleet.shown.take() {
        Some(LookupResult::Found { stage, .. }) => stage,
        other => panic!("shown {other:?}"),
    }
}

fn accepted_and_handed_over() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    assert!(fleet.accepted(1), "{:?}", fleet.told);
    hand_to(&mut fleet, 2);
    fleet
}

#[test]
fn a_success_told_to_a_resting_leader_is_noted_at_once_and_shown_after_the_rest() {
    let mut fleet = accepted_and_handed_over();
    tell_success(&mut fleet, 2);
    assert_eq!(fleet.noted, [(daemon("delivery-1"), 1)]);
    assert_eq!(shown_by(&mut fleet, 2), Stage::Pending);
    let rest = fleet.own(2).unwrap().hold_until.since(fleet.now);
    fleet.run(rest + Span::millis(1500));
    assert_eq!(shown_by(&mut fleet, 2), Stage::Ended(Outcome::Succeeded));
}

/// Incident TWICE: the next leader knew nothing of it and ran the message.
#[test]
fn a_success_told_to_a_resting_leader_is_known_to_the_next_ones() {
    let mut fleet = accepted_and_handed_over();
    tell_success(&mut fleet, 2);
    hand_to(&mut fleet, 3);
    assert_eq!(stage_at(&fleet, 3), Stage::Ended(Outcome::Succeeded));
    fleet.stores.remove(&store(2));
    hand_to(&mut fleet, 1);
    assert_eq!(stage_at(&fleet, 1), Stage::Ended(Outcome::Succeeded));
}

#[test]
fn a_success_told_again_is_noted_again() {
    let mut fleet = accepted_and_handed_over();
    tell_success(&mut fleet, 2);
    hand_to(&mut fleet, 3);
    tell_success(&mut fleet, 3);
    assert_eq!(fleet.noted.len(), 2);
}

/// Store 1 hears what a delivery takes of the partition.
fn room(fleet: &mut Fleet, room: u32) {
    let epoch = Epoch { term: TERM, count: 1 };
    let duties = vec![Capacity { duty: Duty::Deliver(place()), epoch, capacity: room, held_for: Span::ZERO }];
    let places = vec![(place(), epoch)];
    let msg = PeerMessage::Capacity { requested_at: fleet.now, duties, partitions: places, in_flight: Vec::new(), routed: None };
    fleet.queue.push_back((store(1), Event::MessageReceived { from: daemon("delivery-1"), message: msg }));
    fleet.settle();
}

/// A success that is told after its attempt was taken for over: the message
/// waits for its next try, and that was begun in the very step that took the
/// success in.
#[test]
fn a_success_told_after_the_attempts_end_takes_the_message_out_of_its_line() {
    let mut fleet = Fleet::new();
    fleet.carry(1, 1);
    room(&mut fleet, 1);
    assert_eq!(fleet.offers.len(), 1);
    while fleet.stores[&store(1)].counts.lapsed == 0 {
        fleet.run(Span::millis(20));
        assert!(fleet.now < Time(30_000_000), "it never lapses");
    }
    room(&mut fleet, 1);
    assert_eq!(fleet.offers.len(), 1, "it does not wait for its next try");
    // Due by now; nothing was handed out in between.
    fleet.now += Span::millis(400);
    tell_success(&mut fleet, 1);
    assert_eq!(fleet.offers.len(), 1);
    assert_eq!(fleet.stores[&store(1)].counts.ended_handed_out, 0);
    assert_eq!(stage_at(&fleet, 1), Stage::Ended(Outcome::Succeeded));
}
