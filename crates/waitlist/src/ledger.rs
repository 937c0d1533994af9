//! The data folder of a store: group commit, one file for each version,
//! and the folding of many small files into few.
use crate::prelude::*;

/// One line of a file. Replaying all files in order gives the state back;
/// every line may be replayed twice without harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Line {
    /// This folder's mark.
    Mark(Mark),
    /// A replica's whole standing in one partition.
    Standing {
        place: Place,
        promised: Epoch,
        installed: Epoch,
        n: u64,
        next: u64,
    },
    Promise {
        place: Place,
        epoch: Epoch,
    },
    /// The replica adopts an epoch; its contents stay, its count starts anew.
    Adopt {
        place: Place,
        epoch: Epoch,
    },
    /// The replica holds exactly these under this epoch.
    Install {
        place: Place,
        epoch: Epoch,
        n: u64,
        next: u64,
        keep: Vec<(MessageId, Stage, u64)>,
    },
    /// A body for an `Install` to come, or a record written again.
    Body {
        place: Place,
        head: Head,
        stage: Stage,
        body: Bytes,
    },
    Op {
        place: Place,
        n: u64,
        op: Op,
    },
    /// The incremental checkpoint of grants: on each change, one line.
    Grant {
        duty: Duty,
        epoch: Epoch,
        on: bool,
    },
}

/// Files of one version range. Invariants: ranges never overlap once the
/// inner ones are removed; files go oldest first, so whatever line refers to
/// a record outlives the line that put it.
#[derive(Clone, Debug)]
struct File {
    first: u64,
    last: u64,
    live: u64,
}

/// Invariant: at most one save is under way; lines pushed meanwhile wait for
/// the next, so a line's save number is known when it is pushed.
pub struct Ledger {
    lines: Vec<Line>,
    files: VecDeque<File>,
    /// Version the next save gets; versions are the save numbers.
    next: u64,
    pub done: u64,
    busy: bool,
    /// Records put by lines not yet in a file.
    fresh: u64,
    /// Records dropped since the last fold, with their home.
    pub graves: Vec<(u64, Place, MessageId)>,
    pub fold_at: usize,
}

/// The ledger, every line with its home, and files no longer needed.
type Opened = (Ledger, Vec<(u64, Line)>, Vec<String>);

fn name(first: u64, last: u64) -> String {
    format!("lines-{first:016x}-{last:016x}")
}

fn range(name: &str) -> Option<(u64, u64)> {
    let rest = name.strip_prefix("lines-")?;
    let (a, b) = rest.split_once('-')?;
    Some((u64::from_str_radix(a, 16).ok()?, u64::from_str_radix(b, 16).ok()?))
}

impl Ledger {
    /// Takes the folder's files; gives every line in order with its home.
    pub fn open(files: &[(String, Bytes)]) -> Option<Opened> {
        let mut all: Vec<(u64, u64, &Bytes)> = files.iter().filter_map(|(n, b)| range(n).map(|(f, l)| (f, l, b))).collect();
        all.sort_by_key(|(f, l, _)| (*f, std::cmp::Reverse(*l)));
        let mut ledger = Ledger {
            lines: Vec::new(),
            files: VecDeque::new(),
            next: 1,
            done: 0,
            busy: false,
            fresh: 0,
            graves: Vec::new(),
            fold_at: 64,
        };
        let mut out = Vec::new();
        let mut spare = Vec::new();
        for (first, last, bytes) in all {
            // Inside a folded file already read: a crash came before its removal.
            if ledger.files.back().is_some_and(|f| last <= f.last) {
                spare.push(name(first, last));
                continue;
            }
            let lines: Vec<Line> = decode(bytes).ok()?;
            out.extend(lines.into_iter().map(|l| (last, l)));
            ledger.files.push_back(File { first, last, live: 0 });
            ledger.next = last + 1;
            ledger.done = last;
        }
        Some((ledger, out, spare))
    }

    /// Pushes a line; gives the save number that makes it last.
    pub fn push(&mut self, line: Line) -> u64 {
        self.lines.push(line);
        self.next
    }
    pub fn next(&self) -> u64 {
        self.next
    }
    /// The save number after which all pushed so far is synced.
    pub fn last(&self) -> u64 {
        if self.lines.is_empty() {
            return self.next - 1;
        }
        self.next
    }
    pub fn files(&self) -> usize {
        self.files.len()
    }
    pub fn oldest(&self) -> u64 {
        self.files.front().map_or(self.next, |f| f.first)
    }
    fn small(&self) -> usize {
        self.files.iter().rev().take_while(|f| f.first == f.last).count()
    }
    /// Whether the next save should fold the small files into one.
    pub fn wants_fold(&self) -> bool {
        !self.busy && self.small() >= self.fold_at
    }
    /// First version of the small files.
    pub fn fold_from(&self) -> u64 {
        let n = self.files.len() - self.small();
        self.files.get(n).map_or(self.next, |f| f.first)
    }
    /// Replaces the small files by these lines, and whatever is pending.
    pub fn fold(&mut self, mut lines: Vec<Line>, out: &mut Vec<Effect>) {
        let first = self.fold_from();
        lines.append(&mut self.lines);
        let inner: Vec<String> = self.files.iter().filter(|f| f.first >= first).map(|f| name(f.first, f.last)).collect();
        let live = self.files.iter().filter(|f| f.first >= first).map(|f| f.live).sum();
        self.files.retain(|f| f.first < first);
        self.graves.clear();
        self.save(first, &lines, live, out);
        out.extend(inner.into_iter().map(Effect::Remove));
    }
    fn save(&mut self, first: u64, lines: &[Line], live: u64, out: &mut Vec<Effect>) {
        let n = self.next;
        self.next += 1;
        self.busy = true;
        let live = live + std::mem::take(&mut self.fresh);
        self.files.push_back(File { first, last: n, live });
        out.push(Effect::Save { n, name: name(first, n), bytes: Bytes::from(encode(&lines)) });
    }
    /// Saves what is pending unless a save is under way.
    pub fn flush(&mut self, out: &mut Vec<Effect>) {
        if self.busy || self.lines.is_empty() {
            return;
        }
        let lines = std::mem::take(&mut self.lines);
        self.save(self.next, &lines, 0, out);
    }
    pub fn saved(&mut self, n: u64) {
        self.done = self.done.max(n);
        self.busy = false;
    }
    /// A record's bytes came to stand in the file of this version.
    pub fn settle(&mut self, home: u64) {
        if home >= self.next {
            self.fresh += 1;
            return;
        }
        if let Some(f) = self.files.iter_mut().find(|f| f.first <= home && home <= f.last) {
            f.live += 1;
        }
    }
    pub fn unsettle(&mut self, home: u64) {
        if home >= self.next {
            self.fresh = self.fresh.saturating_sub(1);
            return;
        }
        if let Some(f) = self.files.iter_mut().find(|f| f.first <= home && home <= f.last) {
            f.live = f.live.saturating_sub(1);
        }
    }
    /// Removes the oldest files while nothing lives in them.
    pub fn trim(&mut self, out: &mut Vec<Effect>) {
        while self.files.len() > 1 && self.files.front().is_some_and(|f| f.live == 0 && f.first < f.last) {
            // Standing lines are in the newest folded file; never the last one goes.
            if self.files.iter().filter(|f| f.first < f.last).count() < 2 {
                return;
            }
            let Some(f) = self.files.pop_front() else { return };
            out.push(Effect::Remove(name(f.first, f.last)));
        }
    }
    /// The oldest file when it holds few living records and many files stand.
    pub fn sparse(&self) -> Option<(u64, u64)> {
        let f = self.files.front()?;
        (self.files.len() > self.fold_at + 48 && f.first < f.last && f.live > 0 && f.live < 200).then_some((f.first, f.last))
    }
}
