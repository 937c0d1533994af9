//! What operators sent, when, and what they were answered.
use super::{configuration, zone_order};
use crate::prelude::*;

/// A change of the configuration. The same order may be sent many times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationOrder {
    /// The revision that must be current for it to be applied.
    pub base: u64,
    /// The number its operator chose for it; always above `base` when valid.
    pub revision: u64,
    /// The whole configuration that it leads to.
    pub content: String,
    pub valid: bool,
}

/// What one sending asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Apply an order, by its index in the history.
    Configure(usize),
    ReadConfiguration,
    /// Evacuate a zone, or take that back.
    Evacuate {
        zone: String,
        on: bool,
    },
    ReadZone {
        zone: String,
    },
}

/// What the operator learned from one sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// No answer, or one that leaves the outcome open. A write may take effect
    /// at any later time, or never.
    Unclear,
    Acknowledged,
    /// Refused because another revision is current.
    OtherIsCurrent,
    /// Refused for its content, whatever is current.
    Invalid,
    /// The configuration as read; revision 0 and no content before the first.
    Configuration {
        revision: u64,
        content: String,
    },
    Evacuated(bool),
}

/// One sending, from its call to its return.
#[derive(Clone, Debug)]
pub struct Operation {
    pub action: Action,
    pub called: Time,
    /// `None` while it is open; the answer is then `Unclear`.
    pub returned: Option<Time>,
    pub answer: Answer,
}

/// Every operation of all operators of one system.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub orders: Vec<ConfigurationOrder>,
    pub operations: Vec<Operation>,
}

impl History {
    /// Adds an order and returns its index for `Action::Configure`.
    pub fn order(&mut self, order: ConfigurationOrder) -> usize {
        self.orders.push(order);
        self.orders.len() - 1
    }

    /// Notes the call of an operation and returns its index.
    pub fn call(&mut self, action: Action, now: Time) -> usize {
        self.operations.push(Operation { action, called: now, returned: None, answer: Answer::Unclear });
        self.operations.len() - 1
    }

    /// Notes the answer to an operation; only the first one counts.
    pub fn answered(&mut self, operation: usize, answer: Answer, now: Time) {
        let Some(operation) = self.operations.get_mut(operation).filter(|o| o.returned.is_none()) else { return };
        operation.returned = Some(now);
        operation.answer = answer;
    }

    /// Everything that no sequential order of the operations explains.
    pub fn violations(&self) -> Vec<String> {
        let mut found: Vec<String> = configuration::violation(self).into_iter().collect();
        found.extend(self.zones().into_iter().filter_map(|zone| zone_order::violation(self, zone)));
        found
    }

    fn zones(&self) -> BTreeSet<&str> {
        self.operations.iter().filter_map(|operation| operation.action.zone()).collect()
    }

    /// Calls and returns in time order. At one moment calls come first, so
    /// that touching operations count as concurrent.
    pub(super) fn moments(&self) -> Vec<Moment> {
        let mut moments: Vec<(Time, Moment)> = Vec::new();
        for (index, operation) in self.operations.iter().enumerate() {
            moments.push((operation.called, Moment::Call(index)));
            moments.extend(operation.returned.map(|at| (at, Moment::Return(index))));
        }
        moments.sort();
        moments.into_iter().map(|(_, moment)| moment).collect()
    }
}

impl Action {
    /// The zone that an emptied zone, or a read of one, is about.
    pub fn zone(&self) -> Option<&str> {
        match self {
            Action::Evacuate { zone, .. } | Action::ReadZone { zone } => Some(zone),
            Action::Configure(_) | Action::ReadConfiguration => None,
        }
    }
}

/// A call or a return, by the operation's index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Moment {
    Call(usize),
    Return(usize),
}

impl Moment {
    pub(super) fn operation(self) -> usize {
        match self {
            Moment::Call(operation) | Moment::Return(operation) => operation,
        }
    }
}
