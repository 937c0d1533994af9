//! The one import of every file of the store daemon's core.
pub use crate::keep::{Keep, Phase, Sib, Wait};
pub use crate::lane::{Flight, Lane};
pub use crate::ledger::{Ledger, Line};
pub use crate::part::{Part, Rec};
pub use crate::replica::{Fetching, Then};
pub use crate::store::{Startup, Store};
pub use dw_share::prelude::Turns;
pub use dw_versions::prelude::*;
