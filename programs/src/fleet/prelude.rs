//! The one import of every file of the fleet runner.
pub use crate::fleet::callers::{Callers, Kind as Traffic};
pub use crate::fleet::faults::{parse as parse_faults, Fault, Verb};
pub use crate::fleet::machines::{Fleet, Machine};
pub use crate::fleet::run::{run, Plan};
pub use crate::fleet::world::{Standin, World};
pub use crate::prelude::*;
pub use dw_checker::prelude::{Checker, Limits, Outcome as Found, Word};
pub use std::collections::{BTreeMap as Map, HashMap};
pub use std::sync::Mutex;
pub use std::time::Duration;
