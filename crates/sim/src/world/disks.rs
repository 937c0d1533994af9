//! Disks: one job after the other.
use crate::prelude::*;

/// A write to a full disk is tried again after this.
const RETRY: Span = Span::millis(100);

impl Disk {
    /// How long the job under way must wait on a full or stalled disk.
    fn retry_after(&self, now: Time) -> Option<Span> {
        if now < self.stalled_until {
            return Some(self.stalled_until.since(now));
        }
        let write = matches!(self.jobs.front(), Some(Job::Save(..)));
        (self.full && write).then_some(RETRY)
    }

    /// Removes a file; until the folder is synced it may come back.
    fn remove(&mut self, name: String) {
        if let Some(bytes) = self.durable.remove(&name) {
            self.removed.insert(name, bytes);
        }
    }

    /// Everything on it is lost.
    pub(super) fn wipe(&mut self) {
        self.durable.clear();
        self.removed.clear();
    }

    /// What a power loss leaves: the write under way and each removal that
    /// was not synced are kept or lost, each by itself.
    fn lose_power(&mut self, rng: &mut fastrand::Rng) {
        match self.jobs.pop_front() {
            Some(Job::Save(_, name, bytes)) if rng.bool() => _ = self.durable.insert(name, bytes),
            Some(Job::Remove(name)) if rng.bool() => self.remove(name),
            _ => {}
        }
        for (name, bytes) in std::mem::take(&mut self.removed) {
            if rng.bool() {
                self.durable.entry(name).or_insert(bytes);
            }
        }
    }
}

impl World {
    /// The machine loses power.
    pub(super) fn power_off(&mut self, id: &Daemon) {
        if let Some(node) = self.nodes.get_mut(id) {
            node.disk.lose_power(&mut self.rng);
        }
        self.kill(id);
    }

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
        let retry = node.disk.retry_after(self.now);
        if let Some(wait) = retry {
            return self.soon(wait, Ev::Synced(id.clone(), life));
        }
        let Some(job) = node.disk.jobs.pop_front() else { return };
        match job {
            Job::Save(n, name, bytes) => {
                node.disk.durable.insert(name, bytes);
                // Its folder is synced with it.
                node.disk.removed.clear();
                self.count("syncs", 1);
                self.step(id, Event::Saved(n));
            }
            Job::Remove(name) => node.disk.remove(name),
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
