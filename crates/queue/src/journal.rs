//! The data folder of a store: group commit, one file for each version,
//! and the folding of many small files into few.
use crate::prelude::*;

/// One line of a file. Replaying all files in order gives the state back;
/// every line may be replayed twice without harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// This folder's mark.
    #[serde(rename = "Mark")]
    DiskId(IncarnationId),
    /// A replica's whole standing in one partition.
    #[serde(rename = "Standing")]
    ReplicaState {
        #[serde(rename = "place")]
        partition: PartitionId,
        #[serde(rename = "promised")]
        promised_epoch: Epoch,
        #[serde(rename = "installed")]
        installed_epoch: Epoch,
        #[serde(rename = "n")]
        last_op: u64,
        #[serde(rename = "next")]
        next_seq: u64,
    },
    Promise {
        #[serde(rename = "place")]
        partition: PartitionId,
        epoch: Epoch,
    },
    /// The replica adopts an epoch; its contents stay, its count starts anew.
    Adopt {
        #[serde(rename = "place")]
        partition: PartitionId,
        epoch: Epoch,
    },
    /// The replica holds exactly these under this epoch.
    Install {
        #[serde(rename = "place")]
        partition: PartitionId,
        epoch: Epoch,
        #[serde(rename = "n")]
        last_op: u64,
        #[serde(rename = "next")]
        next_seq: u64,
        #[serde(rename = "keep")]
        records: Vec<(MessageId, Stage, u64)>,
    },
    /// A body for an `Install` to come, or a record written again.
    Body {
        #[serde(rename = "place")]
        partition: PartitionId,
        #[serde(rename = "head")]
        header: MessageHeader,
        stage: Stage,
        body: Bytes,
    },
    Op {
        #[serde(rename = "place")]
        partition: PartitionId,
        #[serde(rename = "n")]
        number: u64,
        op: PartitionOp,
    },
    /// The incremental checkpoint of grants: on each change, one line.
    Grant {
        duty: Duty,
        epoch: Epoch,
        #[serde(rename = "on")]
        active: bool,
    },
}

/// Files of one version range. Invariants: ranges never overlap once the
/// inner ones are removed; files go oldest first, so whatever line refers to
/// a record outlives the line that put it.
#[derive(Clone, Debug)]
struct Segment {
    first: u64,
    last: u64,
    live_records: u64,
    /// Bytes on disk.
    bytes: u64,
}

/// Invariant: at most one save is under way; lines pushed meanwhile wait for
/// the next, so a line's save number is known when it is pushed.
pub struct Journal {
    pending: Vec<JournalEntry>,
    segments: VecDeque<Segment>,
    /// Version the next save gets; versions are the save numbers.
    next_save: u64,
    pub last_synced: u64,
    save_in_progress: bool,
    /// Records put by lines not yet in a file.
    unsaved_records: u64,
    /// Where bodies of the latest saves came to stand, for the records.
    pub body_locations: Vec<BodyLocation>,
    /// Records dropped since the last fold, with their home.
    pub removed_records: Vec<(u64, PartitionId, MessageId)>,
    pub compaction_threshold: usize,
}

/// Where a record's bytes came to stand: the file's range, and the offset.
pub struct BodyLocation {
    pub partition: PartitionId,
    pub id: MessageId,
    pub first: u64,
    pub last: u64,
    pub offset: u64,
}

/// Lines as one list, and where the bodies in it stand. A line that carries a
/// body ends with it.
fn encode_segment(lines: &[JournalEntry], first: u64, last: u64) -> (Vec<u8>, Vec<BodyLocation>) {
    let mut out = Vec::with_capacity(1024);
    let mut stood = Vec::new();
    // The head of a list, as `ciborium` writes it for a whole `Vec`.
    match lines.len() {
        n @ 0..=23 => out.push(0x80 | n as u8),
        n @ 24..=0xff => out.extend([0x98, n as u8]),
        n @ 0x100..=0xffff => {
            out.push(0x99);
            out.extend((n as u16).to_be_bytes());
        }
        n => {
            out.push(0x9a);
            out.extend((n as u32).to_be_bytes());
        }
    }
    for line in lines {
        out.extend(encode(line));
        let (place, id, len) = match line {
            JournalEntry::Op { partition: place, op: PartitionOp::Put(head, _, body), .. } => (place, &head.id, body.len()),
            JournalEntry::Body { partition: place, header: head, body, .. } => (place, &head.id, body.len()),
            _ => continue,
        };
        stood.push(BodyLocation { partition: place.clone(), id: id.clone(), first, last, offset: (out.len() - len) as u64 });
    }
    (out, stood)
}

/// How many bytes the head of a list takes, and how many items follow.
fn parse_array_header(b: &[u8]) -> Option<(usize, usize)> {
    let be = |n: usize| b.get(1..1 + n).map(|x| x.iter().fold(0usize, |a, c| a << 8 | usize::from(*c)));
    match *b.first()? {
        h @ 0x80..=0x97 => Some((1, usize::from(h & 0x1f))),
        0x98 => Some((2, be(1)?)),
        0x99 => Some((3, be(2)?)),
        0x9a => Some((5, be(4)?)),
        _ => None,
    }
}

/// A file's lines, each with the offset of its end; `None` when it can't be
/// read whole.
pub fn decode_segment(bytes: &[u8]) -> Option<Vec<(u64, JournalEntry)>> {
    let (head, count) = parse_array_header(bytes)?;
    let mut rest = &bytes[head..];
    let mut out = Vec::with_capacity(count.min(4096));
    for _ in 0..count {
        // Reading from a slice moves it on by what was read.
        let line = ciborium::from_reader(&mut rest).ok()?;
        out.push(((bytes.len() - rest.len()) as u64, line));
    }
    Some(out)
}

pub fn segment_name(first: u64, last: u64) -> String {
    format!("lines-{first:016x}-{last:016x}")
}

fn parse_segment_name(name: &str) -> Option<(u64, u64)> {
    let rest = name.strip_prefix("lines-")?;
    let (a, b) = rest.split_once('-')?;
    Some((u64::from_str_radix(a, 16).ok()?, u64::from_str_radix(b, 16).ok()?))
}

impl Default for Journal {
    fn default() -> Journal {
        Journal::new()
    }
}

impl Journal {
    pub fn new() -> Journal {
        Journal {
            pending: Vec::new(),
            segments: VecDeque::new(),
            next_save: 1,
            last_synced: 0,
            save_in_progress: false,
            unsaved_records: 0,
            body_locations: Vec::new(),
            removed_records: Vec::new(),
            compaction_threshold: 64,
        }
    }
    /// Which of a folder's files to read, oldest first, and which stand
    /// inside a folded one: a crash came before their removal.
    pub fn plan_replay(names: &[String]) -> (Vec<(u64, u64)>, Vec<String>) {
        let mut all: Vec<(u64, u64)> = names.iter().filter_map(|n| parse_segment_name(n)).collect();
        all.sort_by_key(|(f, l)| (*f, std::cmp::Reverse(*l)));
        let (mut take, mut spare): (Vec<(u64, u64)>, Vec<String>) = Default::default();
        for (first, last) in all {
            match take.last().is_some_and(|f| last <= f.1) {
                true => spare.push(segment_name(first, last)),
                false => take.push((first, last)),
            }
        }
        (take, spare)
    }
    /// A file read back joins; its lines come after this.
    pub fn add_replayed_segment(&mut self, first: u64, last: u64, size: u64) {
        self.segments.push_back(Segment { first, last, live_records: 0, bytes: size });
        (self.next_save, self.last_synced) = (last + 1, last);
    }

    /// Begins anew above the versions of files that are to be removed, so that
    /// none of them is ever taken for part of a newer one.
    pub fn empty_after(last: u64) -> Journal {
        Journal { next_save: last + 1, last_synced: last, ..Journal::new() }
    }

    /// Pushes a line; gives the save number that makes it last.
    pub fn push(&mut self, line: JournalEntry) -> u64 {
        self.pending.push(line);
        self.next_save
    }
    pub fn next_save(&self) -> u64 {
        self.next_save
    }
    /// The save number after which all pushed so far is synced.
    pub fn last_pending_save(&self) -> u64 {
        if self.pending.is_empty() {
            return self.next_save - 1;
        }
        self.next_save
    }
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }
    pub fn oldest_save(&self) -> u64 {
        self.segments.front().map_or(self.next_save, |f| f.first)
    }
    fn small_segment_count(&self) -> usize {
        self.segments.iter().rev().take_while(|f| f.first == f.last).count()
    }
    /// Whether the next save should fold the small files into one: there are
    /// many, or their bodies, which stay in memory until then, are.
    pub fn needs_compaction(&self) -> bool {
        let size = || self.segments.iter().rev().take_while(|f| f.first == f.last).map(|f| f.bytes).sum::<u64>();
        !self.save_in_progress
            && (self.small_segment_count() >= self.compaction_threshold
                || (self.small_segment_count() >= 4 && size() > COMPACTION_BYTES))
    }
    /// Bytes on disk.
    pub fn bytes_on_disk(&self) -> u64 {
        self.segments.iter().map(|f| f.bytes).sum()
    }
    /// The name of the file that holds a home, once it is synced there.
    pub fn synced_segment_of(&self, home: u64) -> Option<String> {
        if home > self.last_synced || home >= self.first_unsynced() {
            return None;
        }
        self.segments.iter().find(|f| f.first <= home && home <= f.last).map(|f| segment_name(f.first, f.last))
    }
    /// First version that stands in no synced file, or in one that is being
    /// folded into a file not synced yet.
    pub fn first_unsynced(&self) -> u64 {
        match (self.save_in_progress, self.segments.back()) {
            (true, Some(file)) => file.first,
            _ => self.last_synced + 1,
        }
    }
    /// First version of the small files.
    pub fn compaction_start(&self) -> u64 {
        let n = self.segments.len() - self.small_segment_count();
        self.segments.get(n).map_or(self.next_save, |f| f.first)
    }
    /// Replaces the small files by these lines, and whatever is pending.
    pub fn compact(&mut self, mut lines: Vec<JournalEntry>, out: &mut Vec<Effect>) {
        let first = self.compaction_start();
        lines.append(&mut self.pending);
        let inner: Vec<String> =
            self.segments.iter().filter(|f| f.first >= first).map(|f| segment_name(f.first, f.last)).collect();
        let live = self.segments.iter().filter(|f| f.first >= first).map(|f| f.live_records).sum();
        self.segments.retain(|f| f.first < first);
        self.removed_records.clear();
        self.start_save(first, &lines, live, out);
        out.extend(inner.into_iter().map(Effect::Remove));
    }
    fn start_save(&mut self, first: u64, lines: &[JournalEntry], live: u64, out: &mut Vec<Effect>) {
        let n = self.next_save;
        self.next_save += 1;
        self.save_in_progress = true;
        let live = live + std::mem::take(&mut self.unsaved_records);
        let (bytes, stood) = encode_segment(lines, first, n);
        self.body_locations.extend(stood);
        self.segments.push_back(Segment { first, last: n, live_records: live, bytes: bytes.len() as u64 });
        out.push(Effect::Save { n, name: segment_name(first, n), bytes: Bytes::from(bytes) });
    }
    /// Saves what is pending unless a save is under way; true when it did.
    pub fn flush(&mut self, out: &mut Vec<Effect>) -> bool {
        if self.save_in_progress || self.pending.is_empty() {
            return false;
        }
        let lines = std::mem::take(&mut self.pending);
        self.start_save(self.next_save, &lines, 0, out);
        true
    }
    pub fn finish_save(&mut self, n: u64) {
        self.last_synced = self.last_synced.max(n);
        self.save_in_progress = false;
    }
    /// A record's bytes came to stand in the file of this version.
    pub fn add_live_record(&mut self, home: u64) {
        if home >= self.next_save {
            self.unsaved_records += 1;
            return;
        }
        if let Some(f) = self.segments.iter_mut().find(|f| f.first <= home && home <= f.last) {
            f.live_records += 1;
        }
    }
    pub fn remove_live_record(&mut self, home: u64) {
        if home >= self.next_save {
            self.unsaved_records = self.unsaved_records.saturating_sub(1);
            return;
        }
        if let Some(f) = self.segments.iter_mut().find(|f| f.first <= home && home <= f.last) {
            f.live_records = f.live_records.saturating_sub(1);
        }
    }
    /// Removes the oldest file if nothing lives in it. To be called right
    /// after a save was issued, which makes durable what empties the file.
    /// Only one file goes after each save: the next save syncs its removal,
    /// and before that no newer one may go. Else a loss of power could bring
    /// back a record without the later file that says it was dropped.
    pub fn remove_empty_segment(&mut self, out: &mut Vec<Effect>) {
        // Standing lines are in the newest folded file; never the last one goes.
        if self.segments.iter().filter(|f| f.first < f.last).count() < 2 {
            return;
        }
        if self.segments.front().is_some_and(|f| f.live_records == 0 && f.first < f.last) {
            let Some(f) = self.segments.pop_front() else { return };
            out.push(Effect::Remove(segment_name(f.first, f.last)));
        }
    }
    /// The oldest file, when what lives in it should be written again: few
    /// records live in it, or the folder is over twice what lives in all.
    pub fn sparse_segment(&self, live_bytes: u64) -> Option<(u64, u64)> {
        let f = self.segments.front()?;
        let few = self.segments.len() > self.compaction_threshold + 48 && f.live_records < 200;
        let wide = self.bytes_on_disk() > live_bytes * 2 + MAX_EXTRA_BYTES;
        (f.first < f.last && f.live_records > 0 && (few || wide)).then_some((f.first, f.last))
    }
}

/// Small files are folded when they hold more than this.
const COMPACTION_BYTES: u64 = 4 << 20;
/// The folder may always be so much larger than what lives in it.
const MAX_EXTRA_BYTES: u64 = 1 << 20;
