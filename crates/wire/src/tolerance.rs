//! How many machines, zones and regions may fail at once without breaking a guarantee.
use crate::prelude::*;

/// Simultaneous failures that the deployment has to tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tolerance {
    pub machines: usize,
    pub zones: usize,
    pub regions: usize,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance { machines: 1, zones: 1, regions: 0 }
    }
}

impl Tolerance {
    /// How many of the `available` machines should replicate data that must survive
    /// these failures: a majority remains after the tolerated number of machines has
    /// failed, or after as many as `available` allows. At least three.
    pub fn replicas(&self, available: usize) -> usize {
        let max_tolerable = available.saturating_sub(1) / 2;
        2 * self.machines.clamp(1, max_tolerable.max(1)) + 1
    }
}
