//! The one import of every file of the placement daemon's core.
pub use crate::hard::{Applied, Hard};
pub use crate::list::WorkerList;
pub use crate::office::{Office, Seen};
pub use crate::plan::plan;
pub use crate::primary::{Placement, Startup};
pub use crate::rebuild::{rebuild, Rebuilt};
pub use dw_charter::prelude::*;
pub use dw_election::prelude::{Act, Base, Election, Pace as ElectionPace, Role, Stored};
pub use dw_wire::prelude::*;
