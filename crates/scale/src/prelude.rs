//! The one import of every file of the scale run.
pub use crate::fit::{fit, Fit, Form};
pub use crate::fleet::Fleet;
pub use crate::meter::{kind_of, Meter, Part};
pub use crate::model::Model;
pub use crate::record::{Axis, Figure, RecordError, Slopes};
pub use crate::shape::Shape;
pub use dw_wire::prelude::*;
