//! Processor time of this thread, so that a busy machine does not count.
use rustix::time::{clock_gettime, ClockId};

pub fn nanos() -> u64 {
    let t = clock_gettime(ClockId::ThreadCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// Of the whole process, all threads.
pub fn process_nanos() -> u64 {
    let t = clock_gettime(ClockId::ProcessCPUTime);
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

/// What one reading itself costs; taken off each measured stretch.
pub fn reading_cost() -> u64 {
    let n = 2000;
    let start = nanos();
    for _ in 0..n {
        std::hint::black_box(nanos());
    }
    (nanos() - start) / (n + 1)
}

/// The largest resident size of this process so far, in bytes.
pub fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kilobytes: u64 = line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0);
    kilobytes * 1024
}
