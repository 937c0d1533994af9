//! The bytes of routed messages that were done are let go of.
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;
use settings::*;

fn id() -> MessageId {
    MessageId("0-1".into())
}

/// One message that was accepted and handed out.
fn accepted() -> Pair {
    let mut pair = Pair::new();
    pair.reach(FIRST, pair.now);
    pair.carry();
    pair.run(Span::millis(100));
    assert_eq!(pair.offers.len(), 1);
    pair
}

/// The delivery tells how the attempt ended.
fn tell(pair: &mut Pair, told: AttemptOutcome) {
    let offer = pair.offers.last().unwrap();
    let (place, id, stage) = (place(), offer.header.id.clone(), offer.stage);
    let (epoch, attempt) = (offer.epoch, offer.attempt);
    let one = AttemptResult {
        partition: place,
        id,
        epoch,
        attempt,
        stage,
        outcome: told,
        completion_token: "seal".into(),
        ended_ago: Span::ZERO,
    };
    pair.step(
        0,
        Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![one] } },
    );
}

fn record(pair: &Pair, at: usize) -> &Record {
    &pair.stores[at].parts[&place()].records[&id()]
}

#[test]
fn a_message_that_was_done_holds_no_bytes_on_any_replica() {
    let mut pair = accepted();
    assert_eq!(pair.stores[0].held_bytes, 4);
    tell(&mut pair, AttemptOutcome::Success);
    for at in [0, 1] {
        assert_eq!(pair.stores[at].held_bytes, 0, "store {at}");
        let record = record(&pair, at);
        assert_eq!(record.stage, Stage::Ended(Outcome::Succeeded));
        assert_eq!(
            (record.header.len, &record.header.caller_request, record.header.completion_token.as_str()),
            (0, &None, "seal")
        );
    }
}

#[test]
fn a_dead_message_keeps_its_bytes() {
    let mut pair = accepted();
    tell(&mut pair, AttemptOutcome::PermanentFailure);
    assert_eq!(record(&pair, 0).stage, Stage::Ended(Outcome::Failed));
    assert_eq!(record(&pair, 0).body.as_deref(), Some(&b"body"[..]));
    assert_eq!(pair.stores[0].held_bytes, 4);
}

#[test]
fn a_late_copy_of_a_message_that_was_done_is_accepted_and_runs_no_more() {
    let mut pair = accepted();
    tell(&mut pair, AttemptOutcome::Success);
    let told = pair.carry();
    assert_eq!(told, [SubmitOutcome::Accepted { stage: Stage::Ended(Outcome::Succeeded) }]);
    pair.reach(FIRST, pair.now);
    pair.run(Span::millis(300));
    assert_eq!(pair.offers.len(), 1);
}

#[test]
fn a_replica_that_copies_needs_no_bytes_of_what_was_done() {
    let mut pair = accepted();
    tell(&mut pair, AttemptOutcome::Success);
    let digest = pair.stores[0].parts[&place()].snapshot();
    let me = Member { disk_id: IncarnationId(3), ..member("store-3", "z3") };
    let (mut third, _) = Store::new(startup(me), &Vec::new(), IncarnationId(3), pair.now);
    let from = daemon("store-1");
    let hear = |msg| Event::MessageReceived { from: from.clone(), message: msg };
    third.step(
        hear(PeerMessage::Lagging {
            partition: place(),
            epoch: epoch(),
            expected: None,
            disk_id: IncarnationId(3),
            must_fetch: true,
        }),
        pair.now,
    );
    let said = third.step(hear(PeerMessage::WholeCopy { partition: place(), epoch: epoch(), snapshot: digest }), pair.now);
    assert!(!said.iter().any(|e| matches!(e, Effect::Send(_, PeerMessage::FetchBodies { .. }))), "{said:?}");
    assert_eq!(third.parts[&place()].records[&id()].stage, Stage::Ended(Outcome::Succeeded));
}

/// Another replica did not hear of the end: the bytes are had from there.
#[test]
fn a_replica_whose_success_did_not_count_gets_the_bytes_back() {
    let mut pair = accepted();
    let before = pair.stores[0].parts[&place()].snapshot();
    tell(&mut pair, AttemptOutcome::Success);
    let next = Epoch { term: TERM, count: 2 };
    let from = daemon("store-9");
    let hear = |msg| Event::MessageReceived { from: from.clone(), message: msg };
    pair.step(
        1,
        hear(PeerMessage::Lagging {
            partition: place(),
            epoch: next,
            expected: None,
            disk_id: IncarnationId(2),
            must_fetch: false,
        }),
    );
    pair.step(1, hear(PeerMessage::WholeCopy { partition: place(), epoch: next, snapshot: before }));
    assert!(pair.wanted.contains(&id()), "the bytes are not asked for");
    let all = vec![(id(), Bytes::from_static(b"body"))];
    pair.step(1, hear(PeerMessage::Bodies { partition: place(), epoch: next, entries: all }));
    assert_eq!(record(&pair, 1).stage, Stage::Pending);
    assert_eq!(record(&pair, 1).body.as_deref(), Some(&b"body"[..]));
    assert_eq!(pair.stores[1].held_bytes, 4);
}

#[test]
fn a_store_that_starts_again_holds_what_it_held() {
    let mut pair = accepted();
    tell(&mut pair, AttemptOutcome::Success);
    let files: Vec<(String, Bytes)> = pair.files[0].clone().into_iter().collect();
    let me = Member { disk_id: IncarnationId(1), ..member("store-1", "z1") };
    let (store, _) = Store::new(startup(me), &files, IncarnationId(8), pair.now);
    assert_eq!(store.held_bytes, 0);
    let record = &store.parts[&place()].records[&id()];
    assert_eq!((record.stage, record.header.len), (Stage::Ended(Outcome::Succeeded), 0));
}
