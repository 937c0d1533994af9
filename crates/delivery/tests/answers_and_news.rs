//! A worker's answer comes in beside everything that can change meanwhile, in
//! each order. Issue 32: whatever the order, a success that was read is told as
//! one, and no doubt is told of its attempt.
mod told;
use dw_delivery::prelude::{AttemptOutcome as End, CallResult, Event, RunOutcome, Span};
use told::{Known, Told};

/// What may change while an attempt is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// Another store keeps the partition.
    Leader,
    /// The worker is gone from the list.
    Worker,
    /// The route is dropped.
    Route,
    /// Another delivery sends to the worker.
    Grant,
    /// The daemon is told to stop.
    Stop,
    /// The attempt's time is over.
    Time,
}

const ALL: [Change; 6] = [Change::Leader, Change::Worker, Change::Route, Change::Grant, Change::Stop, Change::Time];

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

/// An attempt that is under way at a worker.
fn under_way() -> (Told, Known) {
    let known = Known { leader: 1, worker: true, route: true, granted: true };
    let mut told = Told::new();
    told.tell(known);
    told.run(Span::millis(600));
    told.offer();
    told.run(Span::millis(100));
    assert_eq!(told.begun.len(), 1);
    (told, known)
}

fn change(told: &mut Told, known: &mut Known, change: Change) {
    match change {
        Change::Leader => known.leader = 2,
        Change::Worker => known.worker = false,
        Change::Route => known.route = false,
        Change::Grant => known.granted = false,
        Change::Stop => return told.step(Event::Shutdown),
        Change::Time => return told.run(Span::millis(1_200)),
    }
    told.tell(*known);
}

fn answer(told: &mut Told) {
    let (call, _) = told.begun[0];
    let done = CallResult::RunFinished { outcome: RunOutcome::Done("seal".into()), load: None };
    told.step(Event::CallFinished(call, done));
}

#[test]
fn a_success_is_told_as_one_whatever_changes_before_and_after_it() {
    for order in orders(&ALL) {
        for answered_after in 0..=order.len() {
            let (mut told, mut known) = under_way();
            for (at, one) in order.iter().enumerate() {
                if at == answered_after {
                    answer(&mut told);
                }
                change(&mut told, &mut known, *one);
            }
            if answered_after == order.len() {
                answer(&mut told);
            }
            told.run(Span::secs(1));
            let ends: Vec<End> = told.settled.iter().map(|s| s.outcome).collect();
            assert!(!ends.is_empty() && ends.iter().all(|end| *end == End::Success), "{order:?}, {answered_after}: {ends:?}");
            assert!(told.settled.iter().all(|s| s.completion_token == "seal"));
            assert_eq!(told.begun.len(), 1, "{order:?}, {answered_after}: it was begun again");
        }
    }
}
