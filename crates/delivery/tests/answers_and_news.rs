//! A worker's answer arrives among all changes that can happen meanwhile, in every order.
//! Issue 32: whatever the order, a success that was read is reported as a success, and
//! the attempt is never reported with an unknown outcome.
mod harness;
use dw_delivery::prelude::{AttemptOutcome, CallResult, Event, RunOutcome, Span};
use harness::{Harness, PlacementState};

/// What may change while an attempt runs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// Another store becomes the leader of the partition.
    Leader,
    /// The worker is removed from the list.
    Worker,
    /// The route is removed from the configuration.
    Route,
    /// The duty to send to the worker goes to another delivery daemon.
    Duty,
    /// The daemon is told to shut down.
    Shutdown,
    /// The attempt's timeout passes.
    Timeout,
}

const ALL_CHANGES: [Change; 6] = [Change::Leader, Change::Worker, Change::Route, Change::Duty, Change::Shutdown, Change::Timeout];

/// Every order of the given changes.
fn orders(changes: &[Change]) -> Vec<Vec<Change>> {
    if changes.is_empty() {
        return vec![Vec::new()];
    }
    let mut all = Vec::new();
    for first in changes {
        let others: Vec<Change> = changes.iter().copied().filter(|change| change != first).collect();
        for mut order in orders(&others) {
            order.insert(0, *first);
            all.push(order);
        }
    }
    all
}

/// A delivery core with an attempt that runs at a worker.
fn with_running_attempt() -> (Harness, PlacementState) {
    let state = PlacementState { leader: 1, worker_listed: true, route_in_force: true, duty_granted: true };
    let mut harness = Harness::new();
    harness.send_update(state);
    harness.run(Span::millis(600));
    harness.offer();
    harness.run(Span::millis(100));
    assert_eq!(harness.started.len(), 1);
    (harness, state)
}

fn apply(harness: &mut Harness, state: &mut PlacementState, change: Change) {
    match change {
        Change::Leader => state.leader = 2,
        Change::Worker => state.worker_listed = false,
        Change::Route => state.route_in_force = false,
        Change::Duty => state.duty_granted = false,
        Change::Shutdown => return harness.step(Event::Shutdown),
        Change::Timeout => return harness.run(Span::millis(1_200)),
    }
    harness.send_update(*state);
}

/// The worker answers that the message succeeded.
fn answer(harness: &mut Harness) {
    let (call, _) = harness.started[0];
    let done = CallResult::RunFinished { outcome: RunOutcome::Done("seal".into()), load: None };
    harness.step(Event::CallFinished(call, done));
}

#[test]
fn a_success_is_reported_whatever_changes_before_and_after_the_answer() {
    for order in orders(&ALL_CHANGES) {
        for answered_after in 0..=order.len() {
            let (mut harness, mut state) = with_running_attempt();
            for (index, one) in order.iter().enumerate() {
                if index == answered_after {
                    answer(&mut harness);
                }
                apply(&mut harness, &mut state, *one);
            }
            if answered_after == order.len() {
                answer(&mut harness);
            }
            harness.run(Span::secs(1));
            let outcomes: Vec<AttemptOutcome> = harness.results.iter().map(|result| result.outcome).collect();
            assert!(
                !outcomes.is_empty() && outcomes.iter().all(|outcome| *outcome == AttemptOutcome::Success),
                "{order:?}, {answered_after}: {outcomes:?}"
            );
            assert!(harness.results.iter().all(|result| result.completion_token == "seal"));
            assert_eq!(harness.started.len(), 1, "{order:?}, {answered_after}: the attempt was started again");
        }
    }
}
