//! The oracle of the control side finds each kind of wrong answer, and passes
//! good histories, also with lost answers.
use dw_checker::prelude::*;

/// A history written down as rows: call and return in milliseconds.
#[derive(Default)]
struct Rows {
    history: History,
}

impl Rows {
    fn order(&mut self, base: u64, revision: u64, content: &str) -> usize {
        self.history.order(ConfigurationOrder { base, revision, content: content.into(), valid: true })
    }

    fn row(&mut self, action: Action, called: u64, returned: u64, answer: Answer) -> &mut Rows {
        let operation = self.history.call(action, Time::millis(called));
        self.history.answered(operation, answer, Time::millis(returned));
        self
    }

    fn sent(&mut self, order: usize, called: u64, returned: u64, answer: Answer) -> &mut Rows {
        self.row(Action::Configure(order), called, returned, answer)
    }

    fn read(&mut self, called: u64, returned: u64, revision: u64, content: &str) -> &mut Rows {
        let answer = Answer::Configuration { revision, content: content.into() };
        self.row(Action::ReadConfiguration, called, returned, answer)
    }

    fn evacuate(&mut self, on: bool, called: u64, returned: u64, answer: Answer) -> &mut Rows {
        self.row(Action::Evacuate { zone: "z1".into(), on }, called, returned, answer)
    }

    fn evacuated(&mut self, called: u64, returned: u64, on: bool) -> &mut Rows {
        self.row(Action::ReadZone { zone: "z1".into() }, called, returned, Answer::Evacuated(on))
    }

    #[track_caller]
    fn holds(&self) {
        assert_eq!(self.history.violations(), Vec::<String>::new());
    }

    #[track_caller]
    fn broken(&self, says: &str) {
        let found = self.history.violations();
        assert!(found.iter().any(|violation| violation.contains(says)), "'{says}' is not in {found:?}");
    }
}

use Answer::{Acknowledged, Invalid, OtherIsCurrent, Unclear};

#[test]
fn a_plain_history_holds() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 4, "b"));
    rows.read(0, 5, 0, "").sent(first, 10, 20, Acknowledged).read(21, 25, 1, "a");
    rows.sent(second, 30, 40, Acknowledged).sent(second, 50, 60, Acknowledged).read(61, 65, 4, "b");
    rows.holds();
}

#[test]
fn a_stale_read_is_found() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, Acknowledged).read(31, 40, 1, "a");
    rows.broken("a read of the configuration, sent at 31 ms, was answered with revision 1");
}

#[test]
fn a_read_beside_the_change_may_show_either() {
    for (revision, content) in [(1, "a"), (2, "b")] {
        let mut rows = Rows::default();
        let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
        rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 40, Acknowledged).read(25, 35, revision, content);
        rows.holds();
    }
}

#[test]
fn reads_that_go_back_are_found() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 90, Acknowledged);
    rows.read(30, 40, 2, "b").read(41, 50, 1, "a");
    rows.broken("answered with revision 1");
}

#[test]
fn altered_content_is_found() {
    let mut rows = Rows::default();
    let first = rows.order(0, 1, "a");
    rows.sent(first, 0, 10, Acknowledged).read(20, 30, 1, "other");
    rows.broken("answered with revision 1");
}

#[test]
fn two_orders_on_one_base_both_confirmed_are_found() {
    let mut rows = Rows::default();
    let first = rows.order(0, 1, "a");
    let (left, right) = (rows.order(1, 2, "b"), rows.order(1, 3, "c"));
    rows.sent(first, 0, 10, Acknowledged).sent(left, 20, 40, Acknowledged).sent(right, 20, 40, Acknowledged);
    rows.broken("on top of 1");
}

#[test]
fn two_orders_with_one_number_both_confirmed_are_found() {
    let mut rows = Rows::default();
    let first = rows.order(0, 1, "a");
    let (left, right) = (rows.order(1, 2, "b"), rows.order(1, 2, "c"));
    rows.sent(first, 0, 10, Acknowledged).sent(left, 20, 40, Acknowledged).sent(right, 25, 45, Acknowledged);
    rows.broken("revision 2 on top of 1");
}

#[test]
fn a_lost_acknowledged_order_is_found() {
    let mut rows = Rows::default();
    let (first, second, third) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"), rows.order(1, 3, "c"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, Acknowledged).sent(third, 40, 50, Acknowledged);
    rows.broken("revision 3 on top of 1, sent at 40 ms, was acknowledged");
}

#[test]
fn an_acknowledged_order_refused_when_sent_again_is_found() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, Acknowledged).sent(second, 40, 50, OtherIsCurrent);
    rows.broken("revision 2 on top of 1, sent at 40 ms, was refused as another is current");
}

#[test]
fn an_applied_order_refused_after_a_lost_answer_is_found() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, Unclear).read(31, 35, 2, "b");
    rows.sent(second, 40, 50, OtherIsCurrent);
    rows.broken("refused as another is current");
}

#[test]
fn a_refusal_with_its_base_current_is_found() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, OtherIsCurrent).read(40, 50, 1, "a");
    rows.broken("refused as another is current");
}

#[test]
fn a_refused_order_that_takes_effect_is_found() {
    let mut rows = Rows::default();
    let first = rows.order(0, 1, "a");
    rows.sent(first, 0, 10, Invalid).read(20, 30, 1, "a");
    rows.broken("answered with revision 1");
}

#[test]
fn an_invalid_order_acknowledged_is_found() {
    let mut rows = Rows::default();
    let first = rows.history.order(ConfigurationOrder { base: 0, revision: 1, content: "a".into(), valid: false });
    rows.sent(first, 0, 10, Acknowledged);
    rows.broken("was acknowledged");
}

#[test]
fn lost_answers_may_go_either_way() {
    for applied in [false, true] {
        let mut rows = Rows::default();
        let (first, second, third) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"), rows.order(1, 3, "c"));
        rows.sent(first, 0, 10, Unclear).sent(first, 11, 20, Acknowledged).sent(second, 30, 40, Unclear);
        match applied {
            true => rows.sent(third, 50, 60, OtherIsCurrent).sent(second, 70, 80, Acknowledged).read(90, 95, 2, "b"),
            false => rows.sent(third, 50, 60, Acknowledged).sent(second, 70, 80, OtherIsCurrent).read(90, 95, 3, "c"),
        };
        rows.holds();
    }
}

#[test]
fn an_unclear_order_may_take_effect_late() {
    let mut rows = Rows::default();
    let (first, second) = (rows.order(0, 1, "a"), rows.order(1, 2, "b"));
    rows.sent(first, 0, 10, Acknowledged).sent(second, 20, 30, Unclear);
    rows.read(40, 50, 1, "a").read(60, 70, 1, "a").read(80, 90, 2, "b");
    rows.holds();
    rows.read(100, 110, 1, "a");
    rows.broken("sent at 100 ms");
}

#[test]
fn operations_that_never_return_may_take_effect() {
    let mut rows = Rows::default();
    let first = rows.order(0, 1, "a");
    rows.history.call(Action::Configure(first), Time::millis(5));
    rows.read(0, 4, 0, "").read(10, 20, 1, "a");
    rows.holds();
}

/// Five hundred changes, each with a rival under the same number, half of the
/// answers lost.
#[test]
fn a_long_history_with_lost_answers_is_decided() {
    let mut rows = Rows::default();
    for change in 0..500 {
        let (mine, rival) = (rows.order(change, change + 1, "mine"), rows.order(change, change + 1, "rival"));
        let now = change * 100;
        let (winner, loser) = if change % 3 == 0 { (rival, mine) } else { (mine, rival) };
        rows.sent(mine, now, now + 30, Unclear).sent(rival, now + 1, now + 30, Unclear);
        rows.sent(winner, now + 31, now + 40, Acknowledged).sent(loser, now + 31, now + 45, OtherIsCurrent);
        if change % 10 == 0 {
            rows.read(now + 50, now + 60, change + 1, if change % 3 == 0 { "rival" } else { "mine" });
        }
    }
    rows.holds();
    let late = rows.order(499, 501, "late");
    rows.sent(late, 60_000, 60_010, Acknowledged);
    rows.broken("revision 501 on top of 499");
}

/// Rivals under one number that nobody ever hears of again.
#[test]
fn many_unclear_rivals_stay_few_states() {
    let mut rows = Rows::default();
    for change in 0..200 {
        let now = change * 100;
        for content in ["one", "two", "three"] {
            let order = rows.order(change, change + 1, content);
            rows.sent(order, now, now + 30, Unclear);
        }
    }
    rows.holds();
    rows.read(90_000, 90_010, 201, "one");
    rows.broken("answered with revision 201");
}

#[test]
fn a_zone_order_follows_its_orders() {
    let mut rows = Rows::default();
    rows.evacuated(0, 5, false).evacuate(true, 10, 20, Acknowledged).evacuated(30, 40, true);
    rows.evacuate(false, 50, 60, Unclear).evacuated(70, 80, true).evacuated(90, 100, false);
    rows.holds();
    rows.evacuated(110, 120, true);
    rows.broken("the emptying of z1, read at 110 ms");
}

#[test]
fn a_lost_acknowledged_zone_order_is_found() {
    let mut rows = Rows::default();
    rows.evacuate(true, 10, 20, Acknowledged).evacuated(30, 40, false);
    rows.broken("the emptying of z1");
}

#[test]
fn a_refused_zone_order_has_no_effect() {
    let mut rows = Rows::default();
    rows.evacuate(true, 10, 20, Invalid).evacuated(30, 40, true);
    rows.broken("the emptying of z1");
}
