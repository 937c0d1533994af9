//! A calm fleet by its number of daemons, and one of them started anew.
use super::{bytes_of, control_bytes, each, heap, micros, sizes};
use crate::prelude::*;

pub fn run(quick: bool) -> Axis {
    let mut axis = Axis::new(
        "daemons",
        "members: daemons that pull from the primary",
        "6 stores, 6 deliveries, 8 partitions, 4 workers, no messages",
    );
    for n in sizes(quick, &[10, 30, 100, 300]) {
        let shape = Shape { stores: 6, deliveries: 6, agents: n, ..Shape::default() };
        let all = shape.members().len() as f64;
        let mut f = Fleet::new(shape);
        let Some(primary) = f.settle(8) else { continue };
        f.reset();
        let secs = 5.0;
        f.run(Span::secs(5));
        let (agents, count) = f.meters(DaemonKind::Agent);
        let mine = |kinds: &[&str]| bytes_of(&agents, kinds) / secs / count as f64;
        axis.either("agent: processor time, us/s", "us/s", all, micros(&f, DaemonKind::Agent, secs));
        axis.line("agent: heartbeats, bytes/s", "B/s", all, mine(&["beat", "doubts"]));
        axis.line("agent: pulls and news, bytes/s", "B/s", all, mine(&["need", "news"]));
        axis.line("agent: control, bytes/s", "B/s", all, control_bytes(&f, DaemonKind::Agent, secs));
        let frames = agents.control_frames() as f64 / secs / count as f64;
        axis.line("agent: control, frames/s", "1/s", all, frames);
        axis.line("agent: memory, bytes", "bytes", all, heap(&f, DaemonKind::Agent));
        let p = f.meter(&primary);
        axis.either("primary: processor time, us/s", "us/s", all, p.nanos() as f64 / 1e3 / secs);
        axis.either("primary: one pull, us", "us", all, each(&p, "need"));
        axis.line("primary: control, bytes/s", "B/s", all, p.control_bytes() as f64 / secs);
        axis.line("primary: control, frames/s", "1/s", all, p.control_frames() as f64 / secs);
        axis.line("primary: memory, bytes", "bytes", all, p.heap as f64);
        // One of them is started anew: what that alone costs.
        f.reset();
        let one = Daemon("agent-00001".into());
        f.kill(&one);
        f.restart(&one);
        f.run(Span::secs(5));
        let q = f.meter(&primary);
        let more = |get: &dyn Fn(&Meter) -> f64| (get(&q) - get(&p)).max(0.0);
        let sent = |m: &Meter| m.said.get("news").map_or(0.0, |x| x.bytes as f64);
        axis.either("one restart: news sent by the primary, bytes", "bytes", all, more(&sent));
        let work = |m: &Meter| {
            let took = ["hard", "saved"].iter().filter_map(|k| m.took.get(k));
            let said = ["hard", "news"].iter().filter_map(|k| m.said.get(k));
            took.chain(said).map(|p| p.nanos as f64 / 1e3).sum::<f64>()
        };
        axis.either("one restart: primary's processor time, us", "us", all, more(&work).max(0.1));
        axis.line("one restart: its primary's saves, bytes", "bytes", all, q.saved_bytes as f64);
        let (b, _) = f.meters(DaemonKind::Agent);
        let spent = |m: &Meter| each(m, "news") * m.took.get("news").map_or(0.0, |p| p.count as f64) / count as f64;
        axis.either("one restart: each daemon's processor time, us", "us", all, (spent(&b) - spent(&agents)).max(0.1));
    }
    axis.fitted()
}
