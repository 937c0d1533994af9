//! The axes: along each, sizes that span ten times or more.
use crate::prelude::*;

mod backlog;
mod beside;
mod changes;
mod daemons;
mod destinations;
mod frames;
mod holders;
mod members;
mod messages;
mod partitions;
mod reports;
mod routes;
mod take_over;
mod workers;

pub type Run = fn(quick: bool) -> Axis;

/// In the order in which they run.
pub const ALL: [(&str, Run); 14] = [
    ("members", members::run),
    ("reports", reports::run),
    ("frames", frames::run),
    ("beside", beside::run),
    ("daemons", daemons::run),
    ("partitions", partitions::run),
    ("routes", routes::run),
    ("workers", workers::run),
    ("destinations", destinations::run),
    ("holders", holders::run),
    ("changes", changes::run),
    ("messages", messages::run),
    ("backlog", backlog::run),
    ("take-over", take_over::run),
];

/// The sizes of an axis; a quick run takes the smaller ones.
fn sizes(quick: bool, all: &[usize]) -> Vec<usize> {
    all.iter().copied().take(if quick { 2 } else { all.len() }).collect()
}

/// Microseconds of processor time a second, of each daemon of a kind.
fn micros(f: &Fleet, kind: DaemonKind, secs: f64) -> f64 {
    let (m, n) = f.meters(kind);
    m.nanos() as f64 / 1000.0 / secs / n.max(1) as f64
}
fn heap(f: &Fleet, kind: DaemonKind) -> f64 {
    let (m, n) = f.meters(kind);
    m.heap as f64 / n.max(1) as f64
}
fn control_bytes(f: &Fleet, kind: DaemonKind, secs: f64) -> f64 {
    let (m, n) = f.meters(kind);
    m.control_bytes() as f64 / secs / n.max(1) as f64
}
/// Microseconds of one event of a kind, mean over daemons.
fn each(m: &Meter, kind: &str) -> f64 {
    let p = m.took.get(kind).copied().unwrap_or_default();
    p.nanos as f64 / 1000.0 / p.count.max(1) as f64
}
/// What of `took` and `said` concerns one kind of message, in bytes.
fn bytes_of(m: &Meter, kinds: &[&str]) -> f64 {
    let one = |k: &&str| m.took.get(*k).map_or(0, |p| p.bytes) + m.said.get(*k).map_or(0, |p| p.bytes);
    kinds.iter().map(one).sum::<u64>() as f64
}
