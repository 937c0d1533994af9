//! What each role costs, measured: the daemons' own cores, their outside left
//! out, many to a process; and the page that rests on what was measured.
pub mod amount;
pub mod axes;
pub mod fit;
pub mod fleet;
pub mod heap;
pub mod meter;
pub mod model;
pub mod page;
pub mod prelude;
pub mod record;
pub mod shape;
pub mod target;
pub mod thread_time;
