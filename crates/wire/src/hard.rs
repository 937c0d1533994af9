//! What the placement group writes down: the hard state, and nothing softer.
use crate::prelude::*;

/// One committed order. Grants are not among them: they are soft state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// A charter as acknowledged, with the operation's own id and its base.
    Charter { op: String, base: Version, json: String },
    /// An owner's location and id.
    Member(Member),
    /// The write set of new partitions.
    Layout(BTreeMap<Place, Vec<(Daemon, Mark)>>),
    /// One store of one write set, replaced or readmitted with a new mark.
    Reseat { place: Place, out: Daemon, put: (Daemon, Mark) },
    Zone { zone: Zone, empty: bool },
    Drain { worker: WorkerId, on: bool },
    Retire { store: Daemon, state: Retirement },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Retirement {
    None,
    Asked,
    Done,
}
