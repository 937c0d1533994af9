//! One zone's emptying as a flag that is set, cleared and read.
//!
//! A write whose answer stayed unclear may take effect once, at any later
//! time. Only how many such writes of each value are used up matters, so the
//! states stay few however many there are.
use super::history::{Action, Answer, History, Moment};
use crate::prelude::*;

/// More states than this at one moment end the search as undecided.
const STATES_MAX: usize = 20_000;

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    evacuated: bool,
    /// Unclear writes that took effect: of `false`, and of `true`.
    used: [usize; 2],
    /// Open operations that took effect, or whose answer fitted.
    explained: BTreeSet<usize>,
}

struct Search<'a> {
    history: &'a History,
    open: BTreeSet<usize>,
    /// Unclear writes called so far: of `false`, and of `true`.
    unclear: [usize; 2],
    states: BTreeSet<State>,
}

/// Why no sequential order of the operations on a zone explains their answers.
pub(super) fn violation(history: &History, zone: &str) -> Option<String> {
    let states = [State::default()].into_iter().collect();
    let mut search = Search { history, open: BTreeSet::new(), unclear: [0, 0], states };
    for moment in history.moments() {
        let index = moment.operation();
        if history.operations[index].action.zone() != Some(zone) {
            continue;
        }
        match moment {
            Moment::Call(_) => search.call(index),
            Moment::Return(_) => {
                if !search.settle(index) {
                    return Some(search.describe(index, zone));
                }
            }
        }
        if search.states.len() > STATES_MAX {
            return Some(format!("undecided: more than {STATES_MAX} states of the emptying of {zone} are possible"));
        }
    }
    None
}

impl Search<'_> {
    fn call(&mut self, index: usize) {
        let operation = &self.history.operations[index];
        match (&operation.action, &operation.answer) {
            (Action::Evacuate { on, .. }, Answer::Unclear) => self.unclear[usize::from(*on)] += 1,
            _ => _ = self.open.insert(index),
        }
        self.expand();
    }

    fn expand(&mut self) {
        let mut pending: Vec<State> = std::mem::take(&mut self.states).into_iter().collect();
        while let Some(mut state) = pending.pop() {
            let read: Vec<usize> = self.open.iter().copied().filter(|index| self.reads(&state, *index)).collect();
            state.explained.extend(read);
            if self.states.len() > STATES_MAX || self.states.contains(&state) {
                continue;
            }
            pending.extend(self.successors(&state));
            self.states.insert(state);
        }
    }

    /// Whether an open read's answer fits this state.
    fn reads(&self, state: &State, index: usize) -> bool {
        self.history.operations[index].answer == Answer::Evacuated(state.evacuated)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for index in self.open.iter().filter(|index| !state.explained.contains(index)) {
            let operation = &self.history.operations[*index];
            if let (Action::Evacuate { on, .. }, Answer::Acknowledged) = (&operation.action, &operation.answer) {
                let mut after = State { evacuated: *on, ..state.clone() };
                after.explained.insert(*index);
                next.push(after);
            }
        }
        for on in [false, true] {
            let value = usize::from(on);
            // A write that changes nothing may as well come later or never.
            if state.evacuated != on && state.used[value] < self.unclear[value] {
                let mut after = State { evacuated: on, ..state.clone() };
                after.used[value] += 1;
                next.push(after);
            }
        }
        next
    }

    /// Keeps the states that explain the answer; false when none does.
    fn settle(&mut self, index: usize) -> bool {
        let operation = &self.history.operations[index];
        let write = matches!(operation.action, Action::Evacuate { .. });
        if write && operation.answer != Answer::Acknowledged {
            // An unclear write binds nothing; a refused one has no effect.
            self.open.remove(&index);
            return true;
        }
        self.open.remove(&index);
        let before = std::mem::take(&mut self.states);
        for mut state in before {
            if state.explained.remove(&index) {
                self.states.insert(state);
            }
        }
        !self.states.is_empty()
    }

    fn describe(&self, index: usize, zone: &str) -> String {
        let operation = &self.history.operations[index];
        let (called, returned) = (operation.called.0 / 1000, operation.returned.unwrap_or_default().0 / 1000);
        let answer = &operation.answer;
        format!("the emptying of {zone}, read at {called} ms, was answered {answer:?} at {returned} ms")
    }
}
