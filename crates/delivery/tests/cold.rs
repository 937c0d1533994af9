//! What a worker gets right after its start.
mod told;
use dw_delivery::prelude::*;
use told::{Known, Told};

/// Of the five calls that it bears in any second it gets four, at an even pace,
/// though it has room for more and more wait.
#[test]
fn a_cold_worker_gets_a_part_of_what_it_bears_in_any_second() {
    let mut told = Told::new();
    (told.cold, told.slots) = (Span::secs(4), 64);
    let known = Known { leader: 1, worker: true, route: true, granted: true };
    told.tell(known);
    told.run(Span::millis(100));
    let mut begun: Vec<Time> = Vec::new();
    for attempt in 1..=200 {
        told.offer_numbered("bulk", attempt);
        told.run(Span::millis(20));
        told.tell(known);
        begun.resize(told.begun.len(), told.now);
        let second = begun.iter().filter(|at| told.now.since(**at) <= Span::secs(1)).count();
        assert!(second <= 5, "{begun:?}");
    }
    assert!(begun.len() >= 14, "{begun:?}");
}
