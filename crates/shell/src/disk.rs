//! The disk thread: it saves, removes and reads back what the core asks for,
//! in order, and retries what the disk does not take.
//!
//! A save is reported only after it was synced, and nothing that follows it
//! is done before it: an older version of a state is removed only once the
//! newer one lasts. Reads are served between two attempts, as they never
//! depend on a save that was not reported.
use crate::prelude::*;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// One request of the core to the disk thread.
pub enum Job {
    Save { n: u64, name: String, bytes: Bytes },
    Remove(String),
    Load { n: u64, name: String, at: u64, len: u32 },
}

/// Pause after a first failed attempt; it doubles up to the last.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LAST_PAUSE: Duration = Duration::from_millis(800);
/// How often a file is read at the start before it counts as unreadable, and
/// the pause between.
const READ_ATTEMPTS: usize = 5;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What the disk thread shows to the core's thread.
#[derive(Default)]
pub struct DiskProgress {
    saves_done: AtomicU64,
    /// How long the disk took for the latest of them.
    last_save_millis: AtomicU64,
    failing: AtomicBool,
}

/// The data folder as the core reads it back.
pub struct StoredFiles {
    folder: DataFolder,
    names: Vec<String>,
}

impl StoredFiles {
    /// Lists the folder. Fails only where the folder itself can't be read.
    pub fn new(folder: DataFolder) -> Result<StoredFiles, DiskError> {
        let names = retry_read(|| folder.list())?;
        Ok(StoredFiles { folder, names })
    }
}

impl Files for StoredFiles {
    fn names(&self) -> Vec<String> {
        self.names.clone()
    }

    /// A file that can't be read after several attempts comes empty, like one
    /// whose checksum fails: its owner takes the folder for lost, and gets
    /// the state back from its peers.
    fn read(&self, name: &str) -> Bytes {
        retry_read(|| self.folder.load(name)).unwrap_or_else(|e| {
            log::error!("{} {}: {e}", LogEvent::DiskFailed.number(), LogEvent::DiskFailed.description());
            Bytes::new()
        })
    }
}

/// Opens the data folder, with patience for a disk that misreads.
pub fn open_folder(path: &std::path::Path, owner: &str) -> Result<DataFolder, DiskError> {
    retry_read(|| DataFolder::open(path, owner))
}

fn retry_read<T>(mut read: impl FnMut() -> Result<T, DiskError>) -> Result<T, DiskError> {
    for _ in 1..READ_ATTEMPTS {
        match read() {
            Err(DiskError::ReadFailed { .. }) => std::thread::sleep(READ_PAUSE),
            other => return other,
        }
    }
    read()
}

/// The disk thread's state. Invariant: jobs other than reads are done in the
/// order they were asked for.
pub struct DiskWorker {
    folder: DataFolder,
    jobs: Receiver<Job>,
    /// Asked for while another job was being retried.
    postponed: VecDeque<Job>,
    events: Sender<Event>,
    progress: Arc<DiskProgress>,
    /// Between the starts of two saves at least: what the core pushes
    /// meanwhile goes into one file with one sync.
    gap: Duration,
    last_save: Instant,
    claimed: bool,
}

/// The core is gone; the thread ends.
struct Ended;

impl DiskWorker {
    pub fn new(
        folder: DataFolder,
        jobs: Receiver<Job>,
        events: Sender<Event>,
        progress: Arc<DiskProgress>,
        gap: Duration,
    ) -> DiskWorker {
        DiskWorker { folder, jobs, postponed: VecDeque::new(), events, progress, gap, last_save: Instant::now(), claimed: false }
    }

    /// Works until the core is gone.
    pub fn run(mut self) {
        if let Err(e) = self.folder.remove_temporary_files() {
            report(&e);
        }
        while let Some(job) = self.next_job() {
            if self.work(job).is_err() {
                return;
            }
        }
    }

    fn next_job(&mut self) -> Option<Job> {
        self.postponed.pop_front().or_else(|| self.jobs.recv().ok())
    }

    fn work(&mut self, job: Job) -> Result<(), Ended> {
        match job {
            Job::Save { n, name, bytes } => {
                std::thread::sleep(self.gap.saturating_sub(self.last_save.elapsed()));
                self.last_save = Instant::now();
                self.until_done(|worker| worker.save(&name, &bytes))?;
                self.progress.saves_done.fetch_add(1, Ordering::Release);
                self.send(Event::Saved(n))
            }
            Job::Remove(name) => self.until_done(|worker| worker.folder.remove(&name)),
            Job::Load { n, name, at, len } => self.load(n, &name, at, len),
        }
    }

    fn save(&mut self, name: &str, bytes: &[u8]) -> Result<(), DiskError> {
        if !self.claimed {
            self.folder.claim_ownership()?;
            self.claimed = true;
        }
        let begun = Instant::now();
        self.folder.save(name, bytes)?;
        self.progress.last_save_millis.store(begun.elapsed().as_millis() as u64, Ordering::Release);
        Ok(())
    }

    fn load(&self, n: u64, name: &str, at: u64, len: u32) -> Result<(), Ended> {
        let bytes = self.folder.read_range(name, at, len).unwrap_or_else(|e| {
            report(&e);
            None
        });
        self.send(Event::Loaded(n, bytes))
    }

    fn send(&self, event: Event) -> Result<(), Ended> {
        self.events.send(event).map_err(|_| Ended)
    }

    /// Repeats a write until the disk takes it. Only the first failure is
    /// logged.
    fn until_done(&mut self, mut write: impl FnMut(&mut DiskWorker) -> Result<(), DiskError>) -> Result<(), Ended> {
        let mut pause = FIRST_PAUSE;
        while let Err(e) = write(self) {
            if !self.progress.failing.swap(true, Ordering::AcqRel) {
                report(&e);
            }
            self.serve_reads(pause)?;
            pause = (pause * 2).min(LAST_PAUSE);
        }
        if self.progress.failing.swap(false, Ordering::AcqRel) {
            log::info!("{} {}", LogEvent::DiskRecovered.number(), LogEvent::DiskRecovered.description());
        }
        Ok(())
    }

    /// Serves reads for a while; other jobs wait for the one in hand.
    fn serve_reads(&mut self, pause: Duration) -> Result<(), Ended> {
        let end = Instant::now() + pause;
        loop {
            match self.jobs.recv_deadline(end) {
                Ok(Job::Load { n, name, at, len }) => self.load(n, &name, at, len)?,
                Ok(job) => self.postponed.push_back(job),
                Err(RecvTimeoutError::Timeout) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => return Err(Ended),
            }
        }
    }
}

fn report(e: &DiskError) {
    log::error!("{} {}: {e}", LogEvent::DiskFailed.number(), LogEvent::DiskFailed.description());
}

/// A disk is stuck when saves were waited for so long, with none among them
/// that was answered in good time.
const STUCK_AFTER: Span = Span::millis(500);
/// A save answered sooner than this shows a disk that works.
const GOOD_TIME_MILLIS: u64 = 200;
/// Without a save for so long, a slow disk is tried again.
const TRIED_AGAIN_AFTER: Span = Span::secs(5);
/// Two looks further apart than this count as so far apart: a process that
/// was frozen has not waited for its disk meanwhile.
const LONGEST_LOOK: Span = Span::millis(100);

/// Tells from the core's thread whether the disk takes writes.
#[derive(Default)]
pub struct DiskMonitor {
    progress: Arc<DiskProgress>,
    saves_asked: u64,
    saves_seen: u64,
    /// Waited for saves since the last that was answered in good time.
    waited: Span,
    /// Since when no save is under way.
    idle: Span,
    looked: Option<Time>,
    stuck: bool,
}

impl DiskMonitor {
    pub fn new(progress: Arc<DiskProgress>) -> DiskMonitor {
        DiskMonitor { progress, ..DiskMonitor::default() }
    }

    /// A save was handed to the disk thread.
    pub fn asked(&mut self) {
        self.saves_asked += 1;
    }

    /// Looks at the disk; gives an event when its state has changed.
    pub fn look(&mut self, now: Time) -> Option<Event> {
        let since = self.looked.replace(now).map_or(Span::ZERO, |last| now.since(last));
        let done = self.progress.saves_done.load(Ordering::Acquire);
        let good = self.progress.last_save_millis.load(Ordering::Acquire) < GOOD_TIME_MILLIS;
        let answered = std::mem::replace(&mut self.saves_seen, done) != done;
        let under_way = done != self.saves_asked;
        self.idle = if under_way { Span::ZERO } else { self.idle + since };
        if (answered && good) || self.idle >= TRIED_AGAIN_AFTER {
            self.waited = Span::ZERO;
        } else if under_way || answered {
            self.waited = self.waited + since.min(LONGEST_LOOK);
        }
        let stuck = self.waited >= STUCK_AFTER || self.progress.failing.load(Ordering::Acquire);
        (std::mem::replace(&mut self.stuck, stuck) != stuck).then_some(Event::DiskStuck(stuck))
    }
}
