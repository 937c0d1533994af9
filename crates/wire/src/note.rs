//! Numbered events. The catalogue is docs/events.md; a test holds the two together.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Error,
    Warn,
    Info,
}

macro_rules! notes {
    ($($name:ident = $num:literal $level:ident $what:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Note { $($name = $num,)* }
        impl Note {
            pub const ALL: &'static [Note] = &[$(Note::$name,)*];
            pub fn number(self) -> u16 { self as u16 }
            pub fn level(self) -> Level { match self { $(Note::$name => Level::$level,)* } }
            pub fn what(self) -> &'static str { match self { $(Note::$name => $what,)* } }
        }
    };
}

notes! {
    Started = 100 Info "daemon started";
    Stopping = 101 Info "told to stop; draining";
    Stopped = 102 Info "stopped";
    FrameDropped = 110 Warn "a frame from outside was dropped";
    RingFull = 111 Warn "a bounded ring was full; its newest entry was dropped";
    DiskFailed = 120 Error "a write could not be synced; the daemon stops";
    DiskCorrupt = 121 Error "a file's checksum is wrong; it is set aside and fetched again from siblings";
    Won = 200 Info "elected primary";
    LostOffice = 201 Warn "no longer primary";
    Aggregating = 202 Info "collecting grants and requests";
    Serving = 203 Info "map of places rebuilt; granting";
    Late = 204 Warn "a store daemon is late; its places are reserved";
    Placeheld = 205 Warn "an owner has not reported; a placeholder stands for it";
    Placeback = 206 Info "an owner reconnected; its placeholder is replaced";
    Reclaimed = 207 Info "a placeholder or reservation ran out and was reclaimed";
    Granted = 208 Info "a duty was granted";
    Joined = 209 Info "a daemon joined or moved";
    Ordered = 210 Info "an operator's order was committed";
    CharterRefused = 211 Warn "a charter was refused";
    Doubted = 212 Warn "watchers doubt a daemon";
    ListFailed = 213 Warn "the platform's list could not be read; the last one stands";
    Reseated = 214 Info "a write set was changed";
    Opening = 300 Info "opening a partition under a new epoch";
    Opened = 301 Info "a partition is open";
    Fenced = 302 Warn "a lower epoch was refused";
    Lapsed = 303 Warn "a lease ran out here";
    MateMatched = 304 Info "another sibling takes the second copy";
    Repairing = 305 Info "a sibling's copy is being made whole";
    Repaired = 306 Info "a sibling's copy is whole";
    Restored = 307 Info "state read back from the data folder";
    Full = 308 Warn "near a bound; new messages are not taken";
    BadBody = 309 Error "a message's bytes do not match its checksum";
    CharterHeld = 400 Info "a charter version is in force here";
    CharterStale = 401 Warn "the newest charter can't be confirmed; no new work";
    CharterBack = 402 Info "the newest charter is confirmed again";
    CharterUnread = 403 Error "a charter from the primary could not be read";
    WorkerEjected = 500 Warn "a worker failed too often and is set aside for a while";
    WorkerBack = 501 Info "a worker is used again";
    BreakerOpen = 502 Warn "an endpoint fails; attempts to it pause";
    BreakerShut = 503 Info "an endpoint answers again";
}
