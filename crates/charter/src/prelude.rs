//! The one import of every file that reads or obeys a charter.
pub use crate::change::check_change;
pub use crate::check::check;
pub use crate::fault::{CharterError, Fault};
pub use crate::fill::fill;
pub use crate::form::{Charter, Endpoint, Service, Template, Tenant, Waitlist};
pub use crate::patch::patch;
pub use crate::rules::{compile, Op, Rule, Rules, Target};
pub use dw_types::prelude::*;
