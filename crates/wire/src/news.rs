//! News, and the reports that ask for it.
use crate::prelude::*;

/// A daemon as it presents itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub id: Daemon,
    pub zone: Zone,
    /// For siblings.
    pub addr: String,
    /// For callers and operators.
    pub http: String,
    pub life: Mark,
    /// The mark of its data folder, if it has one.
    pub disk: Mark,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    pub id: WorkerId,
    pub service: String,
    pub addr: String,
    pub zone: Zone,
    pub draining: bool,
    /// How long the primary had listed it when this version was made.
    pub age: Span,
}

/// Where a partition is kept now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placing {
    pub keeper: Daemon,
    pub epoch: Epoch,
}

/// One source's whole state at its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Item {
    Charter(String),
    Workers(Vec<Worker>),
    Members(Vec<Member>),
    Places(Vec<(Place, Placing)>),
    Orders { empty: BTreeSet<Zone>, drained: BTreeSet<WorkerId> },
}

impl Item {
    pub fn source(&self) -> Source {
        match self {
            Item::Charter(_) => Source::Charter,
            Item::Workers(_) => Source::Workers,
            Item::Members(_) => Source::Members,
            Item::Places(_) => Source::Places,
            Item::Orders { .. } => Source::Orders,
        }
    }
}

/// A duty granted. `set` is a partition's write set with the marks that count.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    pub duty: Duty,
    pub epoch: Epoch,
    pub set: Vec<(Daemon, Mark)>,
    /// A store that leaves the set, and the one made whole to take its seat.
    /// From here on the first counts for nothing new.
    pub swap: Option<(Daemon, Daemon)>,
    /// Asked to give it up when nothing waits on it; never forced.
    pub shed: bool,
}

/// One duty its holder says it holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    pub duty: Duty,
    pub epoch: Epoch,
    /// Read from the checkpoint after a restart, not from memory.
    pub checkpoint: bool,
}

/// What store and delivery daemons tell of their soft state with every pull:
/// the design's grants, requests and assigned places.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub claims: Vec<Claim>,
    /// Deliveries: the store each partition is fetched from (assigned places).
    pub assigned: Vec<(Place, Daemon)>,
    /// Deliveries: duties with messages waiting (requests).
    pub wanted: Vec<(Duty, u32)>,
    /// Stores: which delivery was last seen at each duty (worker evidence).
    pub seen: Vec<(Duty, Daemon)>,
    /// Stores: messages held in each partition kept.
    pub held: Vec<(Place, u64)>,
    /// Stores: siblings that now hold a partition in full under this mark.
    pub whole: Vec<(Place, Daemon, Mark)>,
    /// Grants whose epoch was closed by the holder: it needs a new one.
    pub spent: Vec<(Duty, Epoch)>,
    /// Stores: duties whose holder does not reach us, or whom we do not
    /// reach, though messages are due.
    pub unheard: Vec<Duty>,
    /// Duties given up on request; they are free at once.
    pub gave: Vec<(Duty, Epoch)>,
    /// The daemon is going away and takes nothing new.
    pub leaving: bool,
}
