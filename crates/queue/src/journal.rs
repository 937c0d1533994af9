//! The journal in a store's data folder. Entries are saved by group commit, each
//! save as one segment file; small segments are compacted into larger ones.
use crate::prelude::*;

/// One entry of a segment. Replaying all segments in order restores the state;
/// every entry may be replayed twice without harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// The id of this data folder.
    #[serde(rename = "Mark")]
    DiskId(IncarnationId),
    /// The state of a replica of one partition, apart from its records.
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
    /// The replica promises to accept nothing from epochs lower than this one.
    Promise {
        #[serde(rename = "place")]
        partition: PartitionId,
        epoch: Epoch,
    },
    /// The replica adopts an epoch: its contents stay, and its ops are numbered from
    /// the beginning again.
    Adopt {
        #[serde(rename = "place")]
        partition: PartitionId,
        epoch: Epoch,
    },
    /// The replica holds exactly these records under this epoch, each given with its
    /// stage and sequence number.
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
    /// A record with its body: for an `Install` that follows, or because an older
    /// segment is to be removed or the body was repaired.
    Body {
        #[serde(rename = "place")]
        partition: PartitionId,
        #[serde(rename = "head")]
        header: MessageHeader,
        stage: Stage,
        /// Set if it came with a copy, which may not be installed yet. The build before
        /// ignores it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        #[serde(rename = "copied")]
        copied_at: Option<CopiedAt>,
        body: Bytes,
    },
    /// An operation, with its number under the installed epoch.
    Op {
        #[serde(rename = "place")]
        partition: PartitionId,
        #[serde(rename = "n")]
        number: u64,
        op: PartitionOp,
    },
    /// A grant was received, or is no longer valid: the incremental checkpoint of
    /// grants.
    Grant {
        duty: Duty,
        epoch: Epoch,
        #[serde(rename = "on")]
        active: bool,
    },
}

/// A segment file, which holds the saves of one range of numbers. Invariants: ranges
/// never overlap once the segments that a compacted one replaces are removed;
/// segments are removed oldest first, so an entry that refers to a record outlives
/// the entry that put the record.
#[derive(Clone, Debug)]
struct Segment {
    /// The number of its first save.
    first: u64,
    /// The number of its last save.
    last: u64,
    /// Records whose body is in this segment.
    live_records: u64,
    /// Size on disk.
    bytes: u64,
}

/// The segments of a data folder, and the entries that are not saved yet.
/// Invariant: at most one save is in progress; entries pushed meanwhile wait for the
/// next one, so an entry's save number is known when it is pushed.
pub struct Journal {
    /// Entries for the next save.
    pending: Vec<JournalEntry>,
    segments: VecDeque<Segment>,
    /// The number of the next save.
    next_save: u64,
    /// The number of the last save that is synced.
    pub last_synced: u64,
    save_in_progress: bool,
    /// Records put by entries that are not in a segment yet.
    unsaved_records: u64,
    /// Where the bodies of the latest saves are, to be noted in their records.
    pub body_locations: Vec<BodyLocation>,
    /// Records removed since the last compaction, with the save that held their body.
    pub removed_records: Vec<(u64, PartitionId, MessageId)>,
    /// How many small segments are compacted into one.
    pub compaction_threshold: usize,
}

/// Where a record's body is: the range of saves of its segment, and the offset.
pub struct BodyLocation {
    pub partition: PartitionId,
    pub id: MessageId,
    pub first: u64,
    pub last: u64,
    pub offset: u64,
}

/// Encodes entries as one list, and tells where the bodies are in it. The encoding
/// of an entry with a body ends with the body.
fn encode_segment(entries: &[JournalEntry], first: u64, last: u64) -> (Vec<u8>, Vec<BodyLocation>) {
    let mut out = Vec::with_capacity(1024);
    let mut locations = Vec::new();
    // The CBOR array header, as `ciborium` writes it for a `Vec`.
    match entries.len() {
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
    for entry in entries {
        out.extend(encode(entry));
        let (partition, id, len) = match entry {
            JournalEntry::Op { partition, op: PartitionOp::Put(head, _, body), .. } => (partition, &head.id, body.len()),
            JournalEntry::Body { partition, header: head, body, .. } => (partition, &head.id, body.len()),
            _ => continue,
        };
        locations.push(BodyLocation {
            partition: partition.clone(),
            id: id.clone(),
            first,
            last,
            offset: (out.len() - len) as u64,
        });
    }
    (out, locations)
}

/// The length of a CBOR array header in bytes, and how many items follow it.
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

/// A segment can't be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CorruptSegment;

/// Reads the entries of a segment one by one, so that they are never all in memory:
/// each with the offset of its end. Ends after the first error.
pub struct SegmentReader<'a> {
    size: usize,
    rest: &'a [u8],
    remaining: usize,
}

impl<'a> SegmentReader<'a> {
    pub fn new(bytes: &'a [u8]) -> Result<SegmentReader<'a>, CorruptSegment> {
        let (header_len, remaining) = parse_array_header(bytes).ok_or(CorruptSegment)?;
        Ok(SegmentReader { size: bytes.len(), rest: &bytes[header_len..], remaining })
    }
}

impl Iterator for SegmentReader<'_> {
    type Item = Result<(u64, JournalEntry), CorruptSegment>;

    fn next(&mut self) -> Option<Self::Item> {
        self.remaining = self.remaining.checked_sub(1)?;
        // Reading from a slice advances it past what was read.
        let Ok(entry) = ciborium::from_reader(&mut self.rest) else {
            self.remaining = 0;
            return Some(Err(CorruptSegment));
        };
        Some(Ok(((self.size - self.rest.len()) as u64, entry)))
    }
}

/// The file name of the segment that holds these saves.
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
    /// The segments of a folder to replay, oldest first, and the files that a
    /// compacted segment replaces: a crash prevented their removal.
    pub fn plan_replay(names: &[String]) -> (Vec<(u64, u64)>, Vec<String>) {
        let mut all: Vec<(u64, u64)> = names.iter().filter_map(|n| parse_segment_name(n)).collect();
        all.sort_by_key(|(f, l)| (*f, std::cmp::Reverse(*l)));
        let (mut to_replay, mut replaced): (Vec<(u64, u64)>, Vec<String>) = Default::default();
        for (first, last) in all {
            match to_replay.last().is_some_and(|f| last <= f.1) {
                true => replaced.push(segment_name(first, last)),
                false => to_replay.push((first, last)),
            }
        }
        (to_replay, replaced)
    }
    /// Adds a segment that was read back; the caller replays its entries afterwards.
    pub fn add_replayed_segment(&mut self, first: u64, last: u64, size: u64) {
        self.segments.push_back(Segment { first, last, live_records: 0, bytes: size });
        (self.next_save, self.last_synced) = (last + 1, last);
    }

    /// An empty journal whose saves are numbered above those of files that are to be
    /// removed, so that none of them is ever taken for part of a newer segment.
    pub fn empty_after(last: u64) -> Journal {
        Journal { next_save: last + 1, last_synced: last, ..Journal::new() }
    }

    /// Adds an entry; returns the number of the save that will hold it.
    pub fn push(&mut self, entry: JournalEntry) -> u64 {
        self.pending.push(entry);
        self.next_save
    }
    /// The number of the next save.
    pub fn next_save(&self) -> u64 {
        self.next_save
    }
    /// The number of the save that holds the last entry pushed so far.
    pub fn last_pending_save(&self) -> u64 {
        if self.pending.is_empty() {
            return self.next_save - 1;
        }
        self.next_save
    }
    pub fn segment_count(&self) -> usize {
        self.segments.len()
    }
    /// The first save of the oldest segment.
    pub fn oldest_save(&self) -> u64 {
        self.segments.front().map_or(self.next_save, |f| f.first)
    }
    fn small_segment_count(&self) -> usize {
        self.segments.iter().rev().take_while(|f| f.first == f.last).count()
    }
    /// Whether the next save should compact the small segments into one: there are
    /// many of them, or they are large; their bodies stay in memory until then.
    pub fn needs_compaction(&self) -> bool {
        let size = || self.segments.iter().rev().take_while(|f| f.first == f.last).map(|f| f.bytes).sum::<u64>();
        !self.save_in_progress
            && (self.small_segment_count() >= self.compaction_threshold
                || (self.small_segment_count() >= 4 && size() > COMPACTION_BYTES))
    }
    /// The size of all segments.
    pub fn bytes_on_disk(&self) -> u64 {
        self.segments.iter().map(|f| f.bytes).sum()
    }
    /// The name of the segment that holds a save, once it is synced.
    pub fn synced_segment_of(&self, save: u64) -> Option<String> {
        if save > self.last_synced || save >= self.first_unsynced() {
            return None;
        }
        self.segments.iter().find(|f| f.first <= save && save <= f.last).map(|f| segment_name(f.first, f.last))
    }
    /// The first save that is in no synced segment, or in one that is being compacted
    /// into a segment that is not synced yet.
    pub fn first_unsynced(&self) -> u64 {
        match (self.save_in_progress, self.segments.back()) {
            (true, Some(file)) => file.first,
            _ => self.last_synced + 1,
        }
    }
    /// The first save of the small segments.
    pub fn compaction_start(&self) -> u64 {
        let n = self.segments.len() - self.small_segment_count();
        self.segments.get(n).map_or(self.next_save, |f| f.first)
    }
    /// Replaces the small segments by one with these entries and the pending ones.
    pub fn compact(&mut self, mut entries: Vec<JournalEntry>, out: &mut Vec<Effect>) {
        let first = self.compaction_start();
        entries.append(&mut self.pending);
        let replaced: Vec<String> =
            self.segments.iter().filter(|f| f.first >= first).map(|f| segment_name(f.first, f.last)).collect();
        let live_records = self.segments.iter().filter(|f| f.first >= first).map(|f| f.live_records).sum();
        self.segments.retain(|f| f.first < first);
        self.removed_records.clear();
        self.start_save(first, &entries, live_records, out);
        out.extend(replaced.into_iter().map(Effect::Remove));
    }
    fn start_save(&mut self, first: u64, entries: &[JournalEntry], live_records: u64, out: &mut Vec<Effect>) {
        let n = self.next_save;
        self.next_save += 1;
        self.save_in_progress = true;
        let live_records = live_records + std::mem::take(&mut self.unsaved_records);
        let (bytes, locations) = encode_segment(entries, first, n);
        self.body_locations.extend(locations);
        self.segments.push_back(Segment { first, last: n, live_records, bytes: bytes.len() as u64 });
        out.push(Effect::Save { number: n, name: segment_name(first, n), bytes: Bytes::from(bytes) });
    }
    /// Saves the pending entries unless a save is in progress; true when it did.
    pub fn flush(&mut self, out: &mut Vec<Effect>) -> bool {
        if self.save_in_progress || self.pending.is_empty() {
            return false;
        }
        let entries = std::mem::take(&mut self.pending);
        self.start_save(self.next_save, &entries, 0, out);
        true
    }
    /// Records that a save is synced.
    pub fn finish_save(&mut self, n: u64) {
        self.last_synced = self.last_synced.max(n);
        self.save_in_progress = false;
    }
    /// Counts a record whose body is in this save.
    pub fn add_live_record(&mut self, save: u64) {
        if save >= self.next_save {
            self.unsaved_records += 1;
            return;
        }
        if let Some(f) = self.segments.iter_mut().find(|f| f.first <= save && save <= f.last) {
            f.live_records += 1;
        }
    }
    /// No longer counts a record whose body is in this save.
    pub fn remove_live_record(&mut self, save: u64) {
        if save >= self.next_save {
            self.unsaved_records = self.unsaved_records.saturating_sub(1);
            return;
        }
        if let Some(f) = self.segments.iter_mut().find(|f| f.first <= save && save <= f.last) {
            f.live_records = f.live_records.saturating_sub(1);
        }
    }
    /// Removes the oldest segment if it holds no live record. To be called right after
    /// a save was started, which makes durable whatever emptied the segment. Only one
    /// segment is removed after each save: the next save syncs its removal, and no
    /// newer one may be removed before that. Otherwise a loss of power could bring a
    /// record back without the later segment that says it was removed.
    pub fn remove_empty_segment(&mut self, out: &mut Vec<Effect>) {
        // The newest compacted segment holds the replicas' states: it always stays.
        if self.segments.iter().filter(|f| f.first < f.last).count() < 2 {
            return;
        }
        if self.segments.front().is_some_and(|f| f.live_records == 0 && f.first < f.last) {
            let Some(f) = self.segments.pop_front() else { return };
            out.push(Effect::Remove(segment_name(f.first, f.last)));
        }
    }
    /// The oldest segment, when its live records should be written again so that it can
    /// be removed: it holds few, or the folder is more than twice the size of all live
    /// records.
    pub fn sparse_segment(&self, live_bytes: u64) -> Option<(u64, u64)> {
        let f = self.segments.front()?;
        let few = self.segments.len() > self.compaction_threshold + 48 && f.live_records < 200;
        let too_large = self.bytes_on_disk() > live_bytes * 2 + MAX_EXTRA_BYTES;
        (f.first < f.last && f.live_records > 0 && (few || too_large)).then_some((f.first, f.last))
    }
}

/// Small segments are compacted when they hold more than this.
const COMPACTION_BYTES: u64 = 4 << 20;
/// The folder may always be this much larger than its live records.
const MAX_EXTRA_BYTES: u64 = 1 << 20;
