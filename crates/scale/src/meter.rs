//! What one hollow daemon has cost so far.
use crate::prelude::*;

/// One kind of event taken, or of message said.
#[derive(Clone, Copy, Debug, Default)]
pub struct Part {
    pub count: u64,
    pub nanos: u64,
    pub bytes: u64,
}

/// Invariant: `nanos` of `took` holds the reading of a frame and the step;
/// `nanos` of `said` the writing of a frame.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    pub took: BTreeMap<&'static str, Part>,
    pub said: BTreeMap<&'static str, Part>,
    /// Bytes of memory its state takes.
    pub heap: i64,
    pub saved_files: u64,
    pub saved_bytes: u64,
}

pub fn kind_of(m: &PeerMessage) -> &'static str {
    match m {
        PeerMessage::Consensus(_) => "consensus",
        PeerMessage::Heartbeat(_) => "beat",
        PeerMessage::Suspicions { .. } => "doubts",
        PeerMessage::Pull { report: None, .. } => "need",
        PeerMessage::Pull { .. } => "need with report",
        PeerMessage::PullResponse { .. } => "news",
        PeerMessage::NotPrimary { .. } => "not primary",
        PeerMessage::Departure { .. } => "departure",
        PeerMessage::PrimaryElected { .. } => "primary",
        PeerMessage::Capacity { .. } => "room",
        PeerMessage::Offers { .. } => "offers",
        PeerMessage::AttemptResults { .. } => "settled",
        PeerMessage::Submit { .. } => "carry",
        PeerMessage::Append { .. } => "append",
        _ => "other",
    }
}

/// What keeps the fleet together, with or without messages to carry.
const CONTROL: [&str; 8] = ["hard", "beat", "doubts", "need", "need with report", "news", "not primary", "primary"];

impl Meter {
    pub fn nanos(&self) -> u64 {
        self.took.values().chain(self.said.values()).map(|p| p.nanos).sum()
    }
    fn control(all: &BTreeMap<&'static str, Part>) -> (u64, u64) {
        let mine = all.iter().filter(|(k, _)| CONTROL.contains(*k));
        mine.fold((0, 0), |a, (_, p)| (a.0 + p.count, a.1 + p.bytes))
    }
    /// Bytes of control sent and taken.
    pub fn control_bytes(&self) -> u64 {
        Meter::control(&self.took).1 + Meter::control(&self.said).1
    }
    pub fn control_frames(&self) -> u64 {
        Meter::control(&self.took).0 + Meter::control(&self.said).0
    }
    pub fn said_bytes(&self) -> u64 {
        self.said.values().map(|p| p.bytes).sum()
    }
    pub fn said_frames(&self) -> u64 {
        self.said.values().map(|p| p.count).sum()
    }
    /// Starts counting anew; the memory stays as it is.
    pub fn reset(&mut self) {
        *self = Meter { heap: self.heap, ..Meter::default() };
    }
    pub fn add(&mut self, o: &Meter) {
        for (mine, theirs) in [(&mut self.took, &o.took), (&mut self.said, &o.said)] {
            for (k, p) in theirs {
                let m = mine.entry(k).or_default();
                (m.count, m.nanos, m.bytes) = (m.count + p.count, m.nanos + p.nanos, m.bytes + p.bytes);
            }
        }
        self.heap += o.heap;
        self.saved_files += o.saved_files;
        self.saved_bytes += o.saved_bytes;
    }
}
