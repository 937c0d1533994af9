//! A model checker for the election: real replicas in a small world whose
//! every step is chosen from outside, watched by invariants.
//!
//! `world` holds the replicas, disks, messages and the clock; `step` says what
//! can happen next; `ledger` records what happened and checks the invariants;
//! `settle` checks liveness; `search` goes through the steps; `breakage` is the
//! list of deliberate faults.
// Each test file uses a part.
#![allow(dead_code, unused_imports)]
pub mod breakage;
pub mod ledger;
pub mod search;
pub mod settle;
pub mod step;
pub mod world;

pub use breakage::Breakage;
pub use ledger::{Ledger, Violation};
pub use search::{search, walk, Bounds, Outcome};
pub use settle::check_settled;
pub use step::{Choice, Kind, Step};
pub use world::{Budget, Machine, Reductions, World};
