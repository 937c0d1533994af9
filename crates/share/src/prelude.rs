//! The one import of every file that shares something out.
pub use crate::allowance::Allowance;
pub use crate::breaker::Breaker;
pub use crate::drr::Drr;
pub use crate::ramp::Ramp;
pub use crate::seats::Seats;
pub use dw_types::prelude::*;
