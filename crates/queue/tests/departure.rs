//! A store that was told to stop exits when placement permits it, and at the latest after its
//! time limit. One core, driven by steps; the test acts as placement.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const STEP: Span = Span::millis(20);
const TERM: Term = Term(3);

/// What placement answers to a pull of a store that is stopping.
#[derive(Clone, Copy, PartialEq)]
enum Placement {
    Silent,
    Answers { wait: bool, term: Term },
}

struct Stopping {
    core: Store,
    now: Time,
    stop_requested: Time,
    placement: Placement,
    exited_after: Option<Span>,
    /// Pulls that reported the store as stopping.
    stopping_reports: usize,
}

impl Stopping {
    /// A store that placement answers for a second, and that is then told to stop.
    fn new(placement: Placement) -> Stopping {
        let now = Time(1_000_000);
        let (core, out) = Store::new(startup(member("store-1", "z1")), &Vec::new(), IncarnationId(1), now);
        let mut stopping = Stopping { core, now, stop_requested: now, placement, exited_after: None, stopping_reports: 0 };
        stopping.handle_effects(out);
        stopping.run(Span::secs(1));
        stopping.stop_requested = stopping.now;
        stopping.step(Event::Shutdown);
        stopping
    }

    fn step(&mut self, event: Event) {
        let out = self.core.step(event, self.now);
        self.handle_effects(out);
    }

    fn handle_effects(&mut self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, PeerMessage::Pull { requested_at, report: Some(report), .. }) => {
                    let response = PeerMessage::PullResponse {
                        requested_at,
                        term: TERM,
                        config_valid_for: None,
                        updates: Vec::new(),
                        grants: Vec::new(),
                        late_stores: Vec::new(),
                    };
                    self.step(Event::MessageReceived { from: to.clone(), message: response });
                    self.stopping_reports += usize::from(report.stopping);
                    if let (true, Placement::Answers { wait, term }) = (report.stopping, self.placement) {
                        self.step(Event::MessageReceived { from: to, message: PeerMessage::Departure { term, must_wait: wait } });
                    }
                }
                Effect::Save { number: n, .. } => self.step(Event::Saved(n)),
                Effect::Exit => _ = self.exited_after.get_or_insert(self.now.since(self.stop_requested)),
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.now += STEP;
            self.step(Event::Tick);
        }
    }
}

#[test]
fn a_store_that_need_not_be_replaced_exits_at_once() {
    let mut store = Stopping::new(Placement::Answers { wait: false, term: TERM });
    store.run(Span::millis(500));
    assert!(store.exited_after.is_some(), "reported {} times", store.stopping_reports);
}

#[test]
fn a_store_that_is_being_replaced_stays_until_it_is() {
    let mut store = Stopping::new(Placement::Answers { wait: true, term: TERM });
    store.run(Span::secs(3));
    assert_eq!(store.exited_after, None);
    assert!(store.stopping_reports >= 5, "it asks with each pull: {}", store.stopping_reports);
    store.placement = Placement::Answers { wait: false, term: TERM };
    store.run(Span::millis(500));
    assert!(store.exited_after.is_some());
}

#[test]
fn a_store_that_is_never_replaced_exits_within_its_time_limit() {
    let mut store = Stopping::new(Placement::Answers { wait: true, term: TERM });
    store.run(Span::secs(7));
    let exited_after = store.exited_after.expect("it exits");
    assert!(exited_after > Span::secs(5) && exited_after < Span::millis(5_200), "{exited_after:?}");
}

#[test]
fn a_store_without_an_answer_waits_two_seconds() {
    let mut store = Stopping::new(Placement::Silent);
    store.run(Span::secs(7));
    let exited_after = store.exited_after.expect("it exits");
    assert!(exited_after > Span::secs(2) && exited_after < Span::millis(2_500), "{exited_after:?}");
}

#[test]
fn an_answer_of_an_earlier_term_permits_no_exit() {
    let mut store = Stopping::new(Placement::Answers { wait: false, term: Term(2) });
    store.run(Span::millis(1_500));
    assert_eq!(store.exited_after, None);
}

#[test]
fn a_store_that_was_not_told_to_stop_ignores_the_answer() {
    let mut store = Stopping::new(Placement::Silent);
    let (core, out) = Store::new(startup(member("store-1", "z1")), &Vec::new(), IncarnationId(1), store.now);
    store.core = core;
    store.handle_effects(out);
    store.step(Event::MessageReceived {
        from: daemon("placement-1"),
        message: PeerMessage::Departure { term: TERM, must_wait: false },
    });
    store.run(Span::secs(7));
    assert_eq!((store.exited_after, store.stopping_reports), (None, 0));
}
