//! The one import of every file that checks.
pub use crate::rules::{Checker, Limits, Outcome};
pub use crate::seen::{Message, Receipt, Word};
pub use dw_types::prelude::*;
