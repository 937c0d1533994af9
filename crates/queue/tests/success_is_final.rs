//! After the success of a message was reported, a store may receive several other
//! messages. In whatever order they arrive, the message is never dispatched again
//! (issue 32).
mod settings;
mod store_pair;
use dw_queue::prelude::*;
use settings::*;
use store_pair::*;

/// What may happen after a success was reported.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// The delivery has restarted.
    NewIncarnation,
    /// A late capacity report of the incarnation in which the message was run.
    LateCapacity,
    /// The success is reported once more.
    ReportedAgain,
    /// An unknown outcome of the same attempt is reported late.
    LateUnknownOutcome,
    /// Longer than any attempt lasts.
    TimePasses,
}

const ALL: [Change; 5] =
    [Change::NewIncarnation, Change::LateCapacity, Change::ReportedAgain, Change::LateUnknownOutcome, Change::TimePasses];

/// All permutations of some changes.
fn permutations(rest: &[Change]) -> Vec<Vec<Change>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for first in rest {
        let others: Vec<Change> = rest.iter().copied().filter(|change| change != first).collect();
        for mut order in permutations(&others) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

fn report_result(stores: &mut StorePair, outcome: AttemptOutcome) {
    let offer = &stores.offers[0];
    let (id, stage, epoch, attempt) = (offer.header.id.clone(), offer.stage, offer.epoch, offer.attempt);
    let result = AttemptResult {
        partition: partition(),
        id,
        epoch,
        attempt,
        stage,
        outcome,
        completion_token: "seal".into(),
        ended_ago: Span::ZERO,
    };
    stores.step(
        0,
        Event::MessageReceived { from: daemon("delivery-1"), message: PeerMessage::AttemptResults { entries: vec![result] } },
    );
}

fn apply(stores: &mut StorePair, change: Change) {
    let now = stores.now;
    match change {
        Change::NewIncarnation => stores.report_capacity(SECOND_INCARNATION, now),
        Change::LateCapacity => stores.report_capacity(FIRST_INCARNATION, now),
        Change::ReportedAgain => report_result(stores, AttemptOutcome::Success),
        Change::LateUnknownOutcome => report_result(stores, AttemptOutcome::Unknown),
        Change::TimePasses => stores.run(Span::secs(4)),
    }
}

#[test]
fn a_message_whose_success_was_reported_is_never_dispatched_again() {
    for order in permutations(&ALL) {
        let mut stores = StorePair::new();
        stores.report_capacity(FIRST_INCARNATION, stores.now);
        stores.submit();
        stores.run(Span::millis(100));
        assert_eq!(stores.offers.len(), 1);
        report_result(&mut stores, AttemptOutcome::Success);
        for change in &order {
            apply(&mut stores, *change);
            stores.run(Span::millis(300));
        }
        stores.report_capacity(SECOND_INCARNATION, stores.now);
        stores.run(Span::secs(1));
        assert_eq!(stores.offers.len(), 1, "{order:?}");
    }
}
