//! The one import of every file of the simulator.
pub use crate::callers::{Chain, Habit, Hand, Looking};
pub use crate::house::{build, charter, names, zone_of, ENDPOINTS, SLOTS, WARM, WORKERS};
pub use crate::net::Net;
pub use crate::node::{Disk, Node};
pub use crate::outside::{Mood, Outside};
pub use crate::random::schedule;
pub use crate::run::{run, Ran};
pub use crate::script::{parse, Act, Script, ScriptError, Step};
pub use crate::world::{Ev, World};
pub use dw_checker::prelude::{Checker, Limits, Longest, Outcome as Found, Word};
pub use dw_wire::prelude::*;
pub use std::collections::HashMap;
