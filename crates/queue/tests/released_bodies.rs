//! The bodies of routed messages that succeeded are released.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::*;
use store_pair::*;

fn id() -> MessageId {
    MessageId("0-1".into())
}

/// A stores that has accepted and dispatched one message.
fn accepted() -> StorePair {
    let mut stores = StorePair::new();
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.submit();
    stores.run(Span::millis(100));
    assert_eq!(stores.offers.len(), 1);
    stores
}

/// The delivery reports the result of the attempt.
fn report_result(stores: &mut StorePair, outcome: AttemptOutcome) {
    let offer = stores.offers.last().unwrap();
    let (partition, id, stage) = (partition(), offer.header.id.clone(), offer.stage);
    let (epoch, attempt) = (offer.epoch, offer.attempt);
    let result =
        AttemptResult { partition, id, epoch, attempt, stage, outcome, completion_token: "seal".into(), ended_ago: Span::ZERO };
    stores.step(
        0,
        Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![result] } },
    );
}

fn record(stores: &StorePair, at: usize) -> &Record {
    &stores.cores[at].partitions[&partition()].records[&id()]
}

#[test]
fn a_message_that_succeeded_has_no_body_on_any_replica() {
    let mut stores = accepted();
    assert_eq!(stores.cores[0].held_bytes, 4);
    report_result(&mut stores, AttemptOutcome::Success);
    for at in [0, 1] {
        assert_eq!(stores.cores[at].held_bytes, 0, "store {at}");
        let record = record(&stores, at);
        assert_eq!(record.stage, Stage::Ended(Outcome::Succeeded));
        assert_eq!(
            (record.header.len, &record.header.caller_request, record.header.completion_token.as_str()),
            (0, &None, "seal")
        );
    }
}

#[test]
fn a_message_that_failed_keeps_its_body() {
    let mut stores = accepted();
    report_result(&mut stores, AttemptOutcome::PermanentFailure);
    assert_eq!(record(&stores, 0).stage, Stage::Ended(Outcome::Failed));
    assert_eq!(record(&stores, 0).body.as_deref(), Some(&b"body"[..]));
    assert_eq!(stores.cores[0].held_bytes, 4);
}

#[test]
fn a_late_copy_of_a_message_that_succeeded_is_accepted_and_not_run_again() {
    let mut stores = accepted();
    report_result(&mut stores, AttemptOutcome::Success);
    let responses = stores.submit();
    assert_eq!(responses, [SubmitOutcome::Accepted { stage: Stage::Ended(Outcome::Succeeded) }]);
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.run(Span::millis(300));
    assert_eq!(stores.offers.len(), 1);
}

#[test]
fn a_replica_that_fetches_a_copy_needs_no_body_of_a_message_that_succeeded() {
    let mut stores = accepted();
    report_result(&mut stores, AttemptOutcome::Success);
    let snapshot = stores.cores[0].partitions[&partition()].snapshot();
    let me = Member { disk_id: IncarnationId(3), ..member("store-3", "z3") };
    let (mut third, _) = Store::new(startup(me), &Vec::new(), IncarnationId(3), stores.now);
    let from = daemon("store-1");
    let received = |message| Event::MessageReceived { from: from.clone(), message };
    third.step(
        received(PeerMessage::Lagging {
            partition: partition(),
            epoch: epoch(),
            expected: None,
            disk_id: IncarnationId(3),
            must_fetch: true,
        }),
        stores.now,
    );
    let effects = third.step(received(PeerMessage::WholeCopy { partition: partition(), epoch: epoch(), snapshot }), stores.now);
    assert!(!effects.iter().any(|e| matches!(e, Effect::Send(_, PeerMessage::FetchBodies { .. }))), "{effects:?}");
    assert_eq!(third.partitions[&partition()].records[&id()].stage, Stage::Ended(Outcome::Succeeded));
}

/// Another replica did not receive the success: the body is fetched from there.
#[test]
fn a_replica_whose_success_was_not_committed_gets_the_body_back() {
    let mut stores = accepted();
    let before = stores.cores[0].partitions[&partition()].snapshot();
    report_result(&mut stores, AttemptOutcome::Success);
    let next = Epoch { term: TERM, count: 2 };
    let from = daemon("store-9");
    let received = |message| Event::MessageReceived { from: from.clone(), message };
    stores.step(
        1,
        received(PeerMessage::Lagging {
            partition: partition(),
            epoch: next,
            expected: None,
            disk_id: IncarnationId(2),
            must_fetch: false,
        }),
    );
    stores.step(1, received(PeerMessage::WholeCopy { partition: partition(), epoch: next, snapshot: before }));
    assert!(stores.requested_bodies.contains(&id()), "the body is not requested");
    let all = vec![(id(), Bytes::from_static(b"body"))];
    stores.step(1, received(PeerMessage::Bodies { partition: partition(), epoch: next, entries: all }));
    assert_eq!(record(&stores, 1).stage, Stage::Pending);
    assert_eq!(record(&stores, 1).body.as_deref(), Some(&b"body"[..]));
    assert_eq!(stores.cores[1].held_bytes, 4);
}

#[test]
fn a_restarted_store_holds_the_same_bytes() {
    let mut stores = accepted();
    report_result(&mut stores, AttemptOutcome::Success);
    let files: Vec<(String, Bytes)> = stores.files[0].clone().into_iter().collect();
    let me = Member { disk_id: IncarnationId(1), ..member("store-1", "z1") };
    let (store, _) = Store::new(startup(me), &files, IncarnationId(8), stores.now);
    assert_eq!(store.held_bytes, 0);
    let record = &store.partitions[&partition()].records[&id()];
    assert_eq!((record.stage, record.header.len), (Stage::Ended(Outcome::Succeeded), 0));
}
