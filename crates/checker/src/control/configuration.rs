//! The configuration as a register with a compare-and-set on its revision.
//!
//! The search walks through calls and returns in time order and keeps every
//! state the register may be in. At any moment an order that is under way, or
//! whose answer stayed unclear, may be applied if its base is current.
//! Operations without an effect need one fitting state between their call and
//! their return; passing it as soon as it is there loses nothing. Revisions
//! only rise, so an order whose base is passed can never be applied any more,
//! and states that differ only in such orders fall together.
use super::history::{Action, Answer, History, Moment};
use crate::prelude::*;

/// More states than this at one moment end the search as undecided.
const STATES_MAX: usize = 20_000;

/// One possible state of the register, with what it has explained so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct State {
    /// The order whose configuration is current; none before the first.
    current: Option<usize>,
    /// Orders that were applied, as long as they may be sent again.
    applied: BTreeSet<usize>,
    /// Open operations whose answer fitted at some moment since their call.
    explained: BTreeSet<usize>,
}

struct Search<'a> {
    history: &'a History,
    /// Operations that were called and have not returned.
    open: BTreeSet<usize>,
    /// Orders that some sending may apply from now on, by their base.
    available: BTreeMap<u64, BTreeSet<usize>>,
    /// Calls and returns that each order still has ahead.
    remaining: BTreeMap<usize, usize>,
    states: BTreeSet<State>,
}

/// Why no sequential order of the operations explains their answers, if so.
pub(super) fn violation(history: &History) -> Option<String> {
    let mut search = Search::new(history);
    for moment in history.moments() {
        let index = moment.operation();
        if history.operations[index].action.zone().is_some() {
            continue;
        }
        match moment {
            Moment::Call(_) => search.call(index),
            Moment::Return(_) => {
                if let Some(why) = search.settle(index) {
                    return Some(why);
                }
            }
        }
        search.forget(index);
        if search.states.len() > STATES_MAX {
            return Some(format!("undecided: more than {STATES_MAX} states of the configuration are possible"));
        }
    }
    None
}

impl<'a> Search<'a> {
    fn new(history: &'a History) -> Search<'a> {
        let mut remaining: BTreeMap<usize, usize> = BTreeMap::new();
        for operation in &history.operations {
            if let Action::Configure(order) = operation.action {
                *remaining.entry(order).or_default() += 1 + usize::from(operation.returned.is_some());
            }
        }
        let states = [State::default()].into_iter().collect();
        Search { history, open: BTreeSet::new(), available: BTreeMap::new(), remaining, states }
    }

    fn call(&mut self, index: usize) {
        self.open.insert(index);
        if let Some(order) = self.may_apply(index) {
            self.available.entry(self.history.orders[order].base).or_default().insert(order);
        }
        self.expand();
    }

    /// The order that a sending may apply, by the answer it got in the end.
    fn may_apply(&self, index: usize) -> Option<usize> {
        let operation = &self.history.operations[index];
        let Action::Configure(index) = operation.action else { return None };
        let order = &self.history.orders[index];
        let effective = matches!(operation.answer, Answer::Acknowledged | Answer::Unclear);
        (effective && order.valid && order.revision > order.base).then_some(index)
    }

    /// Adds every state that available orders lead to, and notes which open
    /// operations each state explains.
    fn expand(&mut self) {
        let mut pending: Vec<State> = std::mem::take(&mut self.states).into_iter().collect();
        while let Some(mut state) = pending.pop() {
            let explained: Vec<usize> = self.open.iter().copied().filter(|index| self.fits(&state, *index)).collect();
            state.explained.extend(explained);
            if self.states.len() > STATES_MAX || self.states.contains(&state) {
                continue;
            }
            pending.extend(self.successors(&state));
            self.states.insert(state);
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let orders = self.available.get(&self.revision(state));
        let open = orders.into_iter().flatten().filter(|order| !state.applied.contains(order));
        let apply = |order: &usize| {
            let mut next = state.clone();
            next.current = Some(*order);
            if self.remaining.get(order).is_some_and(|moments| *moments > 0) {
                next.applied.insert(*order);
            }
            next
        };
        open.map(apply).collect()
    }

    fn revision(&self, state: &State) -> u64 {
        state.current.map_or(0, |order| self.history.orders[order].revision)
    }

    fn content(&self, state: &State) -> &str {
        state.current.map_or("", |order| &self.history.orders[order].content)
    }

    /// Whether the model gives an operation its answer in this state.
    fn fits(&self, state: &State, index: usize) -> bool {
        let operation = &self.history.operations[index];
        match (&operation.action, &operation.answer) {
            (_, Answer::Unclear) => true,
            (Action::Configure(order), Answer::Acknowledged) => state.applied.contains(order),
            (Action::Configure(order), Answer::OtherIsCurrent) => {
                !state.applied.contains(order) && self.revision(state) != self.history.orders[*order].base
            }
            (Action::Configure(order), Answer::Invalid) => !state.applied.contains(order),
            (Action::ReadConfiguration, Answer::Configuration { revision, content }) => {
                *revision == self.revision(state) && content == self.content(state)
            }
            _ => false,
        }
    }

    /// Keeps the states that explain the answer; says so when none does.
    fn settle(&mut self, index: usize) -> Option<String> {
        self.open.remove(&index);
        let before = std::mem::take(&mut self.states);
        for state in &before {
            let mut state = state.clone();
            if state.explained.remove(&index) {
                self.states.insert(state);
            }
        }
        self.states.is_empty().then(|| self.describe(index, &before))
    }

    /// Drops an order that is not sent any more from the states: its base is
    /// passed wherever it was applied, so it can't be applied twice.
    fn forget(&mut self, index: usize) {
        let Action::Configure(order) = self.history.operations[index].action else { return };
        let Some(left) = self.remaining.get_mut(&order) else { return };
        *left -= 1;
        if *left > 0 {
            return;
        }
        let states = std::mem::take(&mut self.states);
        self.states = states
            .into_iter()
            .map(|mut state| {
                state.applied.remove(&order);
                state
            })
            .collect();
    }

    fn describe(&self, index: usize, states: &BTreeSet<State>) -> String {
        let operation = &self.history.operations[index];
        let what = match operation.action {
            Action::Configure(order) => {
                let order = &self.history.orders[order];
                format!("revision {} on top of {}", order.revision, order.base)
            }
            _ => "a read of the configuration".to_string(),
        };
        let answer = match &operation.answer {
            Answer::Configuration { revision, .. } => format!("answered with revision {revision}"),
            Answer::Acknowledged => "acknowledged".to_string(),
            Answer::OtherIsCurrent => "refused as another is current".to_string(),
            answer => format!("answered {answer:?}"),
        };
        let possible: BTreeSet<u64> = states.iter().map(|state| self.revision(state)).collect();
        let (called, returned) = (operation.called.0 / 1000, operation.returned.unwrap_or_default().0 / 1000);
        format!("{what}, sent at {called} ms, was {answer} at {returned} ms; current may be {possible:?}")
    }
}
