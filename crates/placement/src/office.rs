use crate::prelude::*;

/// What the primary is at. One function, `Placement::turn`, changes it.
#[derive(Clone, Debug, PartialEq)]
pub enum Office {
    Standby,
    /// Elected; its term is not open yet.
    Opening,
    /// Collecting grants and requests, for a bounded time.
    Aggregating {
        until: Time,
    },
    Serving,
}

impl Office {
    pub fn word(&self) -> &'static str {
        match self {
            Office::Standby => "standby",
            Office::Opening => "opening",
            Office::Aggregating { .. } => "aggregating",
            Office::Serving => "serving",
        }
    }
}

/// A daemon as the primary last heard it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub life: Mark,
    pub disk: Mark,
    pub at: Time,
    pub report: Option<Report>,
}
