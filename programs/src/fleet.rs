//! The fleet runner: a whole house on one machine, its stand-ins, its
//! callers, the faults, and the checker that watches from outside.
//! For tests and trials only; the daemons themselves start nothing.
pub mod callers;
pub mod faults;
pub mod machines;
pub mod prelude;
pub mod report;
pub mod run;
pub mod world;
