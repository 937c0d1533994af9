//! A success that was told, and all that a store may hear after it, in each
//! order: its message is never handed out again (issue 32).
mod pair;
mod settings;
use dw_queue::prelude::*;
use pair::*;
use settings::*;

/// What a store may hear, or what may pass, once a success was told.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// The delivery has started anew.
    NewLife,
    /// A late word of the delivery's life in which the message was run.
    LateRoom,
    /// The success is told once more.
    ToldAgain,
    /// A doubt about the same attempt comes in late.
    LateDoubt,
    /// Longer than any attempt lasts.
    Time,
}

const ALL: [Change; 5] = [Change::NewLife, Change::LateRoom, Change::ToldAgain, Change::LateDoubt, Change::Time];

/// Every order of some changes.
fn orders(rest: &[Change]) -> Vec<Vec<Change>> {
    if rest.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for first in rest {
        let others: Vec<Change> = rest.iter().copied().filter(|change| change != first).collect();
        for mut order in orders(&others) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

fn tell(pair: &mut Pair, told: AttemptOutcome) {
    let offer = &pair.offers[0];
    let (id, stage, epoch, attempt) = (offer.header.id.clone(), offer.stage, offer.epoch, offer.attempt);
    let one = AttemptResult {
        partition: place(),
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

fn change(pair: &mut Pair, change: Change) {
    let now = pair.now;
    match change {
        Change::NewLife => pair.reach(SECOND, now),
        Change::LateRoom => pair.reach(FIRST, now),
        Change::ToldAgain => tell(pair, AttemptOutcome::Success),
        Change::LateDoubt => tell(pair, AttemptOutcome::Unknown),
        Change::Time => pair.run(Span::secs(4)),
    }
}

#[test]
fn a_message_whose_success_was_told_is_never_handed_out_again() {
    for order in orders(&ALL) {
        let mut pair = Pair::new();
        pair.reach(FIRST, pair.now);
        pair.carry();
        pair.run(Span::millis(100));
        assert_eq!(pair.offers.len(), 1);
        tell(&mut pair, AttemptOutcome::Success);
        for one in &order {
            change(&mut pair, *one);
            pair.run(Span::millis(300));
        }
        pair.reach(SECOND, pair.now);
        pair.run(Span::secs(1));
        assert_eq!(pair.offers.len(), 1, "{order:?}");
    }
}
