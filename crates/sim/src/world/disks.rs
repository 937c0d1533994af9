//! Disks: one job after the other.
use crate::prelude::*;

impl World {
    pub(super) fn job(&mut self, id: &Daemon, job: Job) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.disk.jobs.push_back(job);
        if !node.disk.busy {
            self.work(id);
        }
    }

    /// Begins the next job of a disk.
    pub(super) fn work(&mut self, id: &Daemon) {
        let sync = Span(500 + self.rng.u64(..3500));
        let Some(node) = self.nodes.get_mut(id) else { return };
        let Some(job) = node.disk.jobs.front() else {
            node.disk.busy = false;
            return;
        };
        node.disk.busy = true;
        let took = match job {
            Job::Save(..) => sync + node.disk.slow,
            Job::Load(..) => Span(100) + Span(node.disk.slow.0 / 10),
            Job::Remove(_) => Span(50),
        };
        let life = node.life;
        self.soon(took, Ev::Synced(id.clone(), life));
    }

    pub(super) fn synced(&mut self, id: &Daemon, life: u64) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        if node.life != life || node.core.is_none() {
            return;
        }
        let Some(job) = node.disk.jobs.pop_front() else { return };
        match job {
            Job::Save(n, name, bytes) => {
                node.disk.durable.insert(name, bytes);
                self.count("syncs", 1);
                self.step(id, Event::Saved(n));
            }
            Job::Remove(name) => _ = node.disk.durable.remove(&name),
            Job::Load(n, name, at, len) => {
                let end = at as usize + len as usize;
                let piece = node.disk.durable.get(&name).filter(|b| b.len() >= end).map(|b| b.slice(at as usize..end));
                self.count("loads", 1);
                self.step(id, Event::Loaded(n, piece));
            }
        }
        self.work(id);
    }
}
