//! The disk thread over a directory that fails or stalls on demand.
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use dw_disk::prelude::{DataFolder, Directory, OsDirectory};
use dw_shell::disk::{DiskMonitor, DiskProgress, DiskWorker, Job, StoredFiles};
use dw_shell::prelude::*;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

struct FaultyDirectory {
    real: OsDirectory,
    full: AtomicBool,
    slow: AtomicBool,
    unreadable: AtomicBool,
    owner_unreadable: AtomicBool,
}

impl Directory for FaultyDirectory {
    fn path(&self) -> &Path {
        self.real.path()
    }
    fn names(&self) -> io::Result<Vec<String>> {
        self.real.names()
    }
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let faulty = if name == "owner" { &self.owner_unreadable } else { &self.unreadable };
        if faulty.load(Ordering::Acquire) {
            return Err(io::Error::other("bad sector"));
        }
        self.real.read(name)
    }
    fn read_at(&self, name: &str, offset: u64, len: u32) -> io::Result<Option<Bytes>> {
        self.real.read_at(name, offset, len)
    }
    fn write_synced(&self, name: &str, header: &[u8], contents: &[u8]) -> io::Result<()> {
        if self.full.load(Ordering::Acquire) {
            self.real.write_synced(name, header, &contents[..contents.len() / 2])?;
            return Err(io::ErrorKind::StorageFull.into());
        }
        if self.slow.load(Ordering::Acquire) {
            std::thread::sleep(Duration::from_millis(220));
        }
        self.real.write_synced(name, header, contents)
    }
    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.real.rename(from, to)
    }
    fn remove(&self, name: &str) -> io::Result<()> {
        self.real.remove(name)
    }
    fn sync(&self) -> io::Result<()> {
        self.real.sync()
    }
}

struct Daemon {
    path: PathBuf,
    disk: Arc<FaultyDirectory>,
    folder: DataFolder,
    jobs: Sender<Job>,
    events: Receiver<Event>,
    monitor: DiskMonitor,
    clock: Time,
}

impl Daemon {
    fn start(name: &str) -> Daemon {
        let path = std::env::temp_dir().join(format!("dw-shell-disk-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).unwrap();
        let disk = Arc::new(FaultyDirectory {
            real: OsDirectory::new(&path),
            full: AtomicBool::new(false),
            slow: AtomicBool::new(false),
            unreadable: AtomicBool::new(false),
            owner_unreadable: AtomicBool::new(false),
        });
        let folder = DataFolder::with_directory(disk.clone(), "one").unwrap();
        let (jobs, todo) = unbounded();
        let (ring, events) = bounded(64);
        let progress = Arc::new(DiskProgress::default());
        let worker = DiskWorker::new(folder.clone(), todo, ring, progress.clone(), Duration::ZERO);
        std::thread::spawn(move || worker.run());
        Daemon { path, disk, folder, jobs, events, monitor: DiskMonitor::new(progress), clock: Time(1) }
    }

    fn save(&mut self, n: u64, name: &str) {
        self.monitor.asked();
        self.jobs.send(Job::Save { n, name: name.into(), bytes: Bytes::from_static(b"state") }).unwrap();
    }

    fn event(&self) -> Event {
        self.events.recv_timeout(Duration::from_secs(10)).unwrap()
    }

    /// Looks at the disk each 20 ms of the core's clock, until it has news.
    fn look_for(&mut self, span: Span) -> Option<Event> {
        let end = self.clock + span;
        while self.clock < end {
            self.clock += Span::millis(20);
            if let Some(event) = self.monitor.look(self.clock) {
                return Some(event);
            }
        }
        None
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

#[test]
fn a_save_on_a_full_disk_is_retried_and_nothing_behind_it_is_done_before() {
    let mut daemon = Daemon::start("full");
    daemon.save(1, "hard-1");
    assert_eq!(daemon.event(), Event::Saved(1));
    daemon.disk.full.store(true, Ordering::Release);
    daemon.save(2, "hard-2");
    daemon.jobs.send(Job::Remove("hard-1".into())).unwrap();
    std::thread::sleep(Duration::from_millis(400));
    assert!(daemon.events.is_empty());
    assert_eq!(daemon.folder.list().unwrap(), ["hard-1"]);
    assert_eq!(daemon.look_for(Span::millis(40)), Some(Event::DiskStuck(true)));
    // Reads are served meanwhile.
    daemon.jobs.send(Job::Load { n: 7, name: "hard-1".into(), at: 0, len: 5 }).unwrap();
    assert_eq!(daemon.event(), Event::Loaded(7, Some(Bytes::from_static(b"state"))));
    daemon.disk.full.store(false, Ordering::Release);
    assert_eq!(daemon.event(), Event::Saved(2));
    daemon.save(3, "other");
    assert_eq!(daemon.event(), Event::Saved(3));
    assert_eq!(daemon.folder.list().unwrap(), ["hard-2", "other"]);
    assert_eq!(daemon.look_for(Span::millis(40)), Some(Event::DiskStuck(false)));
    let left: Vec<String> = daemon.disk.names().unwrap().into_iter().filter(|name| name.ends_with(".aside")).collect();
    assert!(left.is_empty(), "{left:?}");
}

#[test]
fn the_first_start_on_a_full_disk_waits_for_it() {
    let mut daemon = Daemon::start("first");
    daemon.disk.full.store(true, Ordering::Release);
    daemon.save(1, "hard-1");
    std::thread::sleep(Duration::from_millis(200));
    assert!(daemon.events.is_empty());
    daemon.disk.full.store(false, Ordering::Release);
    assert_eq!(daemon.event(), Event::Saved(1));
    assert!(DataFolder::open(&daemon.path, "two").is_err());
}

#[test]
fn a_save_without_an_answer_for_half_a_second_counts_as_stuck_and_a_frozen_process_does_not() {
    let progress = Arc::new(DiskProgress::default());
    let mut monitor = DiskMonitor::new(progress);
    assert_eq!(monitor.look(Time::millis(1)), None);
    monitor.asked();
    assert_eq!(monitor.look(Time::millis(20)), None);
    // Frozen for twenty seconds.
    assert_eq!(monitor.look(Time::millis(20_020)), None);
    let stuck = (1..100).find(|n| monitor.look(Time::millis(20_020 + n * 20)) == Some(Event::DiskStuck(true)));
    assert!((15..=25).contains(&stuck.unwrap()), "{stuck:?}");
}

#[test]
fn a_file_that_can_not_be_read_comes_empty_and_ends_nothing() {
    let mut daemon = Daemon::start("unreadable");
    daemon.save(1, "hard-1");
    assert_eq!(daemon.event(), Event::Saved(1));
    let files = StoredFiles::new(daemon.folder.clone()).unwrap();
    assert_eq!(files.read("hard-1"), Bytes::from_static(b"state"));
    daemon.disk.unreadable.store(true, Ordering::Release);
    assert_eq!(files.read("hard-1"), Bytes::new());
    assert_eq!(files.names(), ["hard-1"]);
}

#[test]
fn an_owner_that_can_not_be_read_stops_no_start() {
    let mut daemon = Daemon::start("owner");
    daemon.save(1, "hard-1");
    assert_eq!(daemon.event(), Event::Saved(1));
    daemon.disk.owner_unreadable.store(true, Ordering::Release);
    let folder = DataFolder::with_directory(daemon.disk.clone(), "one").unwrap();
    assert_eq!(folder.load("hard-1").unwrap(), Bytes::from_static(b"state"));
    folder.claim_ownership().unwrap();
    daemon.disk.owner_unreadable.store(false, Ordering::Release);
    assert!(DataFolder::with_directory(daemon.disk.clone(), "two").is_err());
}

#[test]
fn a_disk_that_answers_each_save_late_is_stuck_until_one_is_answered_in_good_time() {
    let mut daemon = Daemon::start("slow");
    daemon.disk.slow.store(true, Ordering::Release);
    let mut seen = None;
    for n in 1..=4 {
        daemon.save(n, "hard-1");
        seen = seen.or(daemon.look_for(Span::millis(200)));
        assert_eq!(daemon.event(), Event::Saved(n));
        seen = seen.or(daemon.look_for(Span::millis(20)));
    }
    assert_eq!(seen, Some(Event::DiskStuck(true)));
    daemon.disk.slow.store(false, Ordering::Release);
    daemon.save(5, "hard-1");
    assert_eq!(daemon.event(), Event::Saved(5));
    assert_eq!(daemon.look_for(Span::millis(40)), Some(Event::DiskStuck(false)));
}
