//! A model checker for the election: it runs real replicas in a simulated
//! world, chooses every step and checks invariants after each.
//!
//! `world` holds the replicas, disks, messages and the clock; `step` lists the
//! possible steps; `invariants` records the history and checks safety;
//! `liveness` checks that a group recovers; `search` explores the steps;
//! `injected_fault` lists the faults that the checks have to detect.
// Each test file uses only a part of this module.
#![allow(dead_code, unused_imports)]
pub mod injected_fault;
pub mod invariants;
pub mod liveness;
pub mod search;
pub mod step;
pub mod world;

pub use injected_fault::InjectedFault;
pub use invariants::{InvariantChecker, Violation};
pub use liveness::check_liveness;
pub use search::{random_walk, search, Bounds, SearchOutcome};
pub use step::{Step, StepChoice, StepKind};
pub use world::{Budget, Machine, Reductions, World};
