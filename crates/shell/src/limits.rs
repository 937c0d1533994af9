//! What the machine gives a process, and the bounds that follow from it.
use crate::prelude::*;
use serde_json::Value;

/// All that a process may use. 0 stands for none, as of a disk where there
/// is no data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub memory_mb: u64,
    pub disk_mb: u64,
    pub fds: u64,
}

/// What is taken from callers at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InboundLimits {
    pub head_bytes: usize,
    pub body_bytes: u64,
    /// For a request's head to come in whole.
    pub head_ms: u64,
    /// After which a quiet connection is closed.
    pub idle_ms: u64,
    /// Connections at one address.
    pub connections: usize,
    /// How long a caller waits for a verdict at most.
    pub answer_ms: u64,
}

impl Default for InboundLimits {
    fn default() -> InboundLimits {
        InboundLimits {
            head_bytes: 16 << 10,
            body_bytes: 1 << 20,
            head_ms: 3000,
            idle_ms: 15_000,
            connections: 1024,
            answer_ms: 2500,
        }
    }
}

/// Of 1000 parts of memory and disk, what each bound gets. A message's head
/// takes about a kilobyte of a store's memory; half of the memory is theirs.
const CACHE: u64 = 100;
const HEADS: u64 = 500;
const DISK: u64 = 800;
const BODIES: u64 = 320;
const HEAD_BYTES: u64 = 1024;
/// Descriptors that are not for sockets.
const FILES: u64 = 200;

impl Limits {
    /// Sets the bounds that `given`, the startup file, does not set itself.
    pub fn fill_unset_bounds(&self, startup: &mut Startup, given: &Value) {
        let part = |mb: u64, of_1000: u64| (mb << 20) / 1000 * of_1000;
        let free = |table: &str, key: &str| given.get(table).and_then(|t| t.get(key)).is_none();
        let set = |key: &str, to: &mut u64, from: u64| {
            if from > 0 && free("bounds", key) {
                *to = from;
            }
        };
        let b = &mut startup.bounds;
        set("cache", &mut b.cache, part(self.memory_mb, CACHE));
        set("messages", &mut b.messages, part(self.memory_mb, HEADS) / HEAD_BYTES);
        set("disk", &mut b.disk, part(self.disk_mb, DISK));
        set("bytes", &mut b.bytes, part(self.disk_mb, BODIES));
        // Half of the sockets for callers, half for peers and those called.
        let callers = self.fds.saturating_sub(FILES) / 2;
        if callers > 0 && free("intake", "connections") {
            startup.intake.connections = startup.intake.connections.min(callers as usize);
        }
    }
}
