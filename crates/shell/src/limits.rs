//! The resources a process may use, and the bounds derived from them.
use crate::prelude::*;
use serde_json::Value;

/// Resources that a process may use. 0 means none, for example no disk where
/// there is no data folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub memory_mb: u64,
    pub disk_mb: u64,
    /// File descriptors.
    pub fds: u64,
}

/// Limits on the HTTP requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct InboundLimits {
    /// Largest request head (request line and headers).
    pub head_bytes: usize,
    /// Largest request body.
    pub body_bytes: u64,
    /// Time within which the complete head of a request must arrive.
    pub head_ms: u64,
    /// An idle connection is closed after this time.
    pub idle_ms: u64,
    /// Open connections per listening address.
    pub connections: usize,
    /// How long a caller waits for a response at most.
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

/// Share of the memory for the cache.
const CACHE_PERMILLE: u64 = 100;
/// Share of the memory for the bodies of a delivery's attempts.
const ATTEMPTS_PERMILLE: u64 = 190;
/// Share of the memory for message headers.
const HEADERS_PERMILLE: u64 = 500;
/// Share of the disk that may be used in all.
const DISK_PERMILLE: u64 = 800;
/// Share of the disk for message bodies.
const BODIES_PERMILLE: u64 = 320;
/// A message header takes about a kilobyte of a store's memory.
const HEADER_BYTES: u64 = 1024;
/// File descriptors that are not used for sockets.
const NON_SOCKET_DESCRIPTORS: u64 = 200;

impl Limits {
    /// Derives the bounds that `startup_json`, the parsed startup file, does not set itself.
    pub fn fill_unset_bounds(&self, startup: &mut Startup, startup_json: &Value) {
        let share_of = |mb: u64, permille: u64| (mb << 20) / 1000 * permille;
        let is_unset = |table: &str, key: &str| startup_json.get(table).and_then(|t| t.get(key)).is_none();
        let set = |key: &str, bound: &mut u64, value: u64| {
            if value > 0 && is_unset("bounds", key) {
                *bound = value;
            }
        };
        let bounds = &mut startup.bounds;
        set("cache", &mut bounds.cache, share_of(self.memory_mb, CACHE_PERMILLE));
        set("attempt_bytes", &mut bounds.attempt_bytes, share_of(self.memory_mb, ATTEMPTS_PERMILLE));
        set("messages", &mut bounds.messages, share_of(self.memory_mb, HEADERS_PERMILLE) / HEADER_BYTES);
        set("disk", &mut bounds.disk, share_of(self.disk_mb, DISK_PERMILLE));
        set("bytes", &mut bounds.bytes, share_of(self.disk_mb, BODIES_PERMILLE));
        // Half of the sockets are for callers, half for peers and outgoing calls.
        let caller_connections = self.fds.saturating_sub(NON_SOCKET_DESCRIPTORS) / 2;
        if caller_connections > 0 && is_unset("intake", "connections") {
            startup.intake.connections = startup.intake.connections.min(caller_connections as usize);
        }
    }
}
