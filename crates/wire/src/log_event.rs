//! The numbered log events. They are listed in docs/events.md; a test checks that both
//! agree.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    Error,
    Warn,
    Info,
}

macro_rules! log_events {
    ($($name:ident = $number:literal $level:ident $description:literal;)*) => {
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum LogEvent { $($name = $number,)* }
        impl LogEvent {
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$name,)*];
            pub fn number(self) -> u16 { self as u16 }
            pub fn level(self) -> Level { match self { $(LogEvent::$name => Level::$level,)* } }
            pub fn description(self) -> &'static str { match self { $(LogEvent::$name => $description,)* } }
        }
    };
}

log_events! {
    Started = 100 Info "daemon started";
    Stopping = 101 Info "told to stop; draining";
    Stopped = 102 Info "stopped";
    SettingsApplied = 103 Info "a changed startup file is in force";
    SettingsRefused = 104 Warn "a changed startup file was refused; the old one stays";
    FrameDropped = 110 Warn "a frame from outside was dropped";
    RingFull = 111 Warn "a bounded ring was full; its newest entry was dropped";
    RingSlow = 112 Warn "a bounded ring was full; an end of a call waits for it";
    FrameTooLarge = 113 Error "a message to a peer is larger than a frame may be; it was not sent";
    DiskFailed = 120 Error "the disk failed; what was asked of it is tried again";
    DiskCorrupt = 121 Error "a file's checksum is wrong; its folder is emptied and filled again from peers";
    DiskRecovered = 122 Info "the disk takes writes again";
    ElectedPrimary = 200 Info "elected primary";
    NoLongerPrimary = 201 Warn "no longer primary";
    CollectingReports = 202 Info "collecting grants and requests";
    Serving = 203 Info "map of places rebuilt; granting";
    StoreLate = 204 Warn "a store daemon is late; its places are reserved";
    PlaceholderAdded = 205 Warn "an owner has not reported; a placeholder stands for it";
    PlaceholderReplaced = 206 Info "an owner reconnected; its placeholder is replaced";
    ReservationExpired = 207 Info "a placeholder or reservation ran out and was reclaimed";
    DutyGranted = 208 Info "a duty was granted";
    DaemonJoined = 209 Info "a daemon joined or moved";
    OrderCommitted = 210 Info "an operator's order was committed";
    ConfigRefused = 211 Warn "a charter was refused";
    DaemonSuspected = 212 Warn "watchers doubt a daemon";
    WorkerListFailed = 213 Warn "the platform's list could not be read; the last one stands";
    WriteSetChanged = 214 Info "a write set was changed";
    HolderUnreachable = 215 Warn "a store and the holder of a duty do not reach each other; the holder is asked to give it up";
    VotersChanged = 216 Info "the voters of the placement group changed";
    RedundancyReduced = 217 Warn "fewer losses are borne now than the deployment states";
    RedundancyRestored = 218 Info "the stated losses are borne again";
    PartitionOpening = 300 Info "opening a partition under a new epoch";
    PartitionOpened = 301 Info "a partition is open";
    LowerEpochRefused = 302 Warn "a lower epoch was refused";
    LeaseExpired = 303 Warn "a lease ran out here";
    BackupChosen = 304 Info "another peer takes the second copy";
    CopyRepairing = 305 Info "a peer's copy is being made whole";
    CopyRepaired = 306 Info "a peer's copy is whole";
    StateRestored = 307 Info "state read back from the data folder";
    NearCapacity = 308 Warn "near a bound; new messages are not taken";
    BodyChecksumMismatch = 309 Error "a message's bytes do not match its checksum";
    AttemptEndUnreported = 310 Warn "an attempt's end passed without a word of it";
    LateSuccess = 311 Warn "an attempt that was taken for over had succeeded";
    AttemptOverran = 312 Error "an attempt ran on beyond its end";
    EndedMessageDequeued = 313 Error "a message that has ended stood in a line of work; it was taken out";
    StrandedMessageRequeued = 314 Error "an open message stood in no line and was not under way; it was let in again";
    TooFewCopies = 315 Warn "a partition has fewer whole copies than wanted";
    CopiesRestored = 316 Info "a partition has as many whole copies as wanted again";
    ConfigInstalled = 400 Info "a charter version is in force here";
    ConfigStale = 401 Warn "the newest charter can't be confirmed; no new work";
    ConfigConfirmed = 402 Info "the newest charter is confirmed again";
    ConfigUnreadable = 403 Error "a charter from the primary could not be read";
    WorkerEjected = 500 Warn "a worker failed too often and is set aside for a while";
    WorkerReadmitted = 501 Info "a worker is used again";
    BreakerOpen = 502 Warn "an endpoint fails; attempts to it pause";
    BreakerClosed = 503 Info "an endpoint answers again";
    CallUnanswered = 504 Info "a call was sent and no whole answer came";
    AttemptOutcomeUnknown = 505 Info "an attempt ended, and nobody knows whether it succeeded";
}
