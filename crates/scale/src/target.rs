//! The size two years on: what the users state, and what we assume beside it.

/// One figure, where it is from, and what it stands for.
pub struct Given {
    pub name: &'static str,
    pub value: f64,
    /// "stated" by the users, "assumed" by us, or "in the code".
    pub how: &'static str,
    pub what: &'static str,
}

const fn stated(name: &'static str, value: f64, what: &'static str) -> Given {
    Given { name, value, how: "stated", what }
}
const fn assumed(name: &'static str, value: f64, what: &'static str) -> Given {
    Given { name, value, how: "assumed", what }
}

const fn coded(name: &'static str, value: f64, what: &'static str) -> Given {
    Given { name, value, how: "in the code", what }
}

pub const ALL: [Given; 33] = [
    stated("daemons", 15_000.0, "daemons"),
    stated("events", 5.4e6, "events a second"),
    stated("destinations", 5e6, "destinations"),
    stated("down", 0.043, "part of the destinations that is down at any time"),
    stated("waiting", 250e9, "events waiting at most"),
    stated("regions", 4.0, "regions"),
    stated("zones", 8.0, "zones"),
    stated("changes", 67_000.0, "changes of configuration a day"),
    stated("force", 9e6, "time until a change is in force everywhere, us"),
    stated("core", 22_000.0, "processor time a daemon may spend on control, us a second (2.2 % of a core)"),
    stated("memory", 64e6, "memory of a daemon for control, bytes"),
    stated("flow", 10_000.0, "bytes a second of a daemon for control, both ways"),
    stated("machines", 24.0, "machines set aside for control"),
    stated("failing", 27.0, "machines that fail on an ordinary day"),
    stated("restarts", 1200.0, "daemons restarted or replaced a day"),
    assumed("stores", 4500.0, "of the daemons: stores"),
    assumed("deliveries", 3000.0, "of the daemons: deliveries"),
    assumed("proxies", 3738.0, "of the daemons: proxies, and as many agents beside them"),
    assumed("copies", 2.0, "copies of a waiting event"),
    assumed("body", 512.0, "bytes of an event's body, as measured with"),
    assumed("cores", 16.0, "cores of a machine set aside for control"),
    assumed("link", 1.25e9, "bytes a second a machine's network takes"),
    assumed("disk", 1e8, "bytes a second one log may write"),
    assumed("store-memory", 16e9, "bytes of memory a store may have for its index"),
    coded("store-bound", 150_000.0, "messages a store holds at most by default (bounds.messages)"),
    coded("frame", dw_wire::prelude::MAX_FRAME_BYTES as f64, "bytes of the largest frame (FRAME_MAX)"),
    coded("commit", dw_placement::primary::COMMIT_MAX as f64, "bytes of the largest charter a primary commits (COMMIT_MAX)"),
    assumed("cells", 600.0, "cells of placement"),
    assumed("change-bytes", 300.0, "bytes of one difference, its version and its frame's part"),
    assumed("segment", 64e6, "bytes of a segment of a backlog on disk"),
    assumed("segment-index", 16e3, "bytes of a segment's index kept in memory (an entry for each 64 kB)"),
    assumed("rack", 40.0, "machines in a rack"),
    assumed("apart", 300.0, "seconds for which regions lose each other"),
];

pub fn given(name: &str) -> f64 {
    ALL.iter().find(|g| g.name == name).map_or(f64::NAN, |g| g.value)
}
