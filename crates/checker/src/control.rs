//! Checks that the answers operators got are those of one sequential
//! configuration register with a compare-and-set, and of one flag per zone.
//!
//! A history records every sending of an order or a read with its call, its
//! return and its answer. It is correct if each operation can be given one
//! moment between its call and its return so that the answers are those of
//! the sequential model (linearizability). Registers are independent, so each
//! is checked by itself.
mod configuration;
mod history;
mod zone_order;

pub use history::{Action, Answer, ConfigurationOrder, History, Operation};
