//! A store that was stalled reads messages that arrived meanwhile.
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::*;
use store_pair::*;

/// A stores whose first store has dispatched one message, once.
fn pair_with_dispatched_message() -> StorePair {
    let mut stores = StorePair::new();
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.submit();
    stores.run(Span::millis(100));
    assert_eq!(stores.offers.len(), 1);
    stores
}

/// The delivery's report that the attempt succeeded just now.
fn success(stores: &StorePair) -> Event {
    let offer = &stores.offers[0];
    let result = AttemptResult {
        partition: partition(),
        id: offer.header.id.clone(),
        epoch: offer.epoch,
        attempt: offer.attempt,
        stage: offer.stage,
        outcome: AttemptOutcome::Success,
        completion_token: "seal".into(),
        ended_ago: Span::ZERO,
    };
    Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![result] } }
}

/// Found by the soak (issue 32, seed 32308): the age that a delivery gives a success
/// counts from when it was sent. To a store that was stalled and read it late, the
/// attempt seemed to have ended when the store resumed, and a false alarm reported that
/// it had still been running after its deadline.
#[test]
fn a_success_that_waited_for_a_stalled_store_is_not_taken_for_an_overrun() {
    let mut stores = pair_with_dispatched_message();
    let report = success(&stores);
    stores.run(Span::millis(1_500));
    // It is sent as the stall begins, well before the attempt's deadline, and read after
    // the stall, behind a clock tick.
    stores.now += Span::secs(2);
    stores.step(0, Event::Tick);
    stores.step(0, report);
    stores.report_capacity(FIRST_INCARNATION, stores.now);
    stores.run(Span::secs(1));
    assert_eq!(stores.offers.len(), 1, "it was dispatched again");
    assert_eq!(stores.cores[0].counts.overrun_attempts, 0, "a false alarm");
    assert_eq!(stores.cores[0].counts.unreported_attempts, 0, "its result was still unread");
}

/// A real overrun is still reported: without a stall, and after a stall once the
/// messages that arrived during it have been read.
#[test]
fn a_success_after_its_attempts_deadline_is_reported() {
    for stall in [Span::ZERO, Span::secs(2)] {
        let mut stores = pair_with_dispatched_message();
        stores.run(Span::millis(1_500));
        stores.now += stall;
        stores.step(0, Event::Tick);
        stores.run(Span::secs(4));
        assert_eq!(stores.cores[0].counts.unreported_attempts, 1, "after {stall:?}");
        let report = success(&stores);
        stores.step(0, report);
        assert_eq!(stores.cores[0].counts.overrun_attempts, 1, "after {stall:?}");
    }
}
