//! A store that was told to stop: it goes when placement lets it, and never
//! later than its bound. One core, driven by steps; the test is placement.
mod settings;
use dw_queue::prelude::*;
use settings::*;

const STEP: Span = Span::millis(20);
const TERM: Term = Term(3);

/// What placement answers to a pull of a store that stops.
#[derive(Clone, Copy, PartialEq)]
enum Placement {
    Silent,
    Says { wait: bool, term: Term },
}

struct Stopping {
    core: Store,
    now: Time,
    began: Time,
    placement: Placement,
    gone: Option<Span>,
    /// Pulls that said the store stops.
    told: usize,
}

impl Stopping {
    /// A store that placement has answered for a second, then told to stop.
    fn new(placement: Placement) -> Stopping {
        let now = Time(1_000_000);
        let (core, out) = Store::new(startup(member("store-1", "z1")), &Vec::new(), IncarnationId(1), now);
        let mut stopping = Stopping { core, now, began: now, placement, gone: None, told: 0 };
        stopping.obey(out);
        stopping.run(Span::secs(1));
        stopping.began = stopping.now;
        stopping.step(Event::Shutdown);
        stopping
    }

    fn step(&mut self, event: Event) {
        let out = self.core.step(event, self.now);
        self.obey(out);
    }

    fn obey(&mut self, out: Vec<Effect>) {
        for effect in out {
            match effect {
                Effect::Send(to, PeerMessage::Pull { requested_at: asked, report: Some(report), .. }) => {
                    let news = PeerMessage::PullResponse {
                        requested_at: asked,
                        term: TERM,
                        config_valid_for: None,
                        updates: Vec::new(),
                        grants: Vec::new(),
                        late_stores: Vec::new(),
                    };
                    self.step(Event::MessageReceived { from: to.clone(), message: news });
                    self.told += usize::from(report.stopping);
                    if let (true, Placement::Says { wait, term }) = (report.stopping, self.placement) {
                        self.step(Event::MessageReceived { from: to, message: PeerMessage::Departure { term, wait } });
                    }
                }
                Effect::Save { n, .. } => self.step(Event::Saved(n)),
                Effect::Exit => _ = self.gone.get_or_insert(self.now.since(self.began)),
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
fn a_store_whose_seats_stay_goes_at_once() {
    let mut store = Stopping::new(Placement::Says { wait: false, term: TERM });
    store.run(Span::millis(500));
    assert!(store.gone.is_some(), "told {} times", store.told);
}

#[test]
fn a_store_whose_seats_move_stays_until_they_have() {
    let mut store = Stopping::new(Placement::Says { wait: true, term: TERM });
    store.run(Span::secs(3));
    assert_eq!(store.gone, None);
    assert!(store.told >= 5, "it asks with each pull: {}", store.told);
    store.placement = Placement::Says { wait: false, term: TERM };
    store.run(Span::millis(500));
    assert!(store.gone.is_some());
}

#[test]
fn a_store_whose_seats_never_move_goes_within_its_bound() {
    let mut store = Stopping::new(Placement::Says { wait: true, term: TERM });
    store.run(Span::secs(7));
    let gone = store.gone.expect("gone");
    assert!(gone > Span::secs(5) && gone < Span::millis(5_200), "{gone:?}");
}

#[test]
fn a_store_that_nobody_answers_waits_two_seconds() {
    let mut store = Stopping::new(Placement::Silent);
    store.run(Span::secs(7));
    let gone = store.gone.expect("gone");
    assert!(gone > Span::secs(2) && gone < Span::millis(2_500), "{gone:?}");
}

#[test]
fn the_answer_of_an_earlier_term_lets_nobody_go() {
    let mut store = Stopping::new(Placement::Says { wait: false, term: Term(2) });
    store.run(Span::millis(1_500));
    assert_eq!(store.gone, None);
}

#[test]
fn a_store_that_was_not_told_to_stop_heeds_no_answer() {
    let mut store = Stopping::new(Placement::Silent);
    let (core, out) = Store::new(startup(member("store-1", "z1")), &Vec::new(), IncarnationId(1), store.now);
    store.core = core;
    store.obey(out);
    store.step(Event::MessageReceived {
        from: daemon("placement-1"),
        message: PeerMessage::Departure { term: TERM, wait: false },
    });
    store.run(Span::secs(7));
    assert_eq!((store.gone, store.told), (None, 0));
}
