//! One partition as one store holds it, leader or not.
use crate::prelude::*;

/// Invariants: `stage` never goes back; `home` is the version of the file the
/// bytes stand in, at offset `at`, once that is saved; while `home` is in a
/// small file not folded yet, `body` is in memory too.
#[derive(Clone, Debug)]
pub struct Record {
    pub header: MessageHeader,
    pub stage: Stage,
    /// `None` when it rests on disk only.
    pub body: Option<Bytes>,
    pub saved_in: u64,
    pub offset: u64,
    pub stage_saved_in: u64,
    /// By this store's clock; after a restart, when it was read back.
    pub received_at: Time,
    /// When it was handed in; after a restart and in a copy, as the time of
    /// day tells it, which may be wrong: nothing ends by it.
    pub accepted_at: Time,
    pub ended_at: Time,
    pub failed_attempts: u32,
    /// Attempts of which nobody knows whether they succeeded; counted here only.
    pub unknown_outcomes: u32,
}

impl Record {
    /// Whether its bytes were let go of: a routed message that was done is
    /// neither run nor read back again.
    pub fn is_body_released(&self) -> bool {
        let done = matches!(self.stage, Stage::Ended(Outcome::Succeeded) | Stage::EndedAwaitingCallback(Outcome::Succeeded));
        done && !self.header.route.is_empty()
    }

    /// Lets go of the bytes once nobody needs them, and of the request when no
    /// call-back is owed any more. From then on the record is that of an empty
    /// message, in every copy alike. Gives the change in bytes held.
    fn release_body(&mut self) -> i64 {
        if !self.is_body_released() {
            return 0;
        }
        if matches!(self.stage, Stage::Ended(_)) {
            self.header.caller_request = None;
        }
        let freed = i64::from(self.header.len);
        (self.header.len, self.header.crc) = (0, crc32(b""));
        self.body = Some(Bytes::new());
        -freed
    }

    /// The bytes, where they are in memory or none.
    pub fn loaded_body(&self) -> Option<Bytes> {
        match self.header.len {
            0 => Some(Bytes::new()),
            _ => self.body.clone(),
        }
    }
}

/// Invariants: `installed <= promised`; `n` counts the ops of epoch
/// `installed` applied here without a gap, so of two replicas the one with
/// the higher (installed, n) holds everything the other's history holds.
#[derive(Default)]
pub struct PartitionReplica {
    pub promised_epoch: Epoch,
    pub installed_epoch: Epoch,
    pub last_op: u64,
    /// The next place in order.
    pub next_seq: u64,
    pub records: BTreeMap<MessageId, Record>,
    pub copy_fetch: Option<CopyFetch>,
    pub leader_state: Option<LeaderState>,
}

impl PartitionReplica {
    /// Applies one op; every change of a partition's contents passes here.
    /// Gives the change in bytes held.
    pub fn apply(&mut self, place: &PartitionId, op: &PartitionOp, home: u64, now: Time, ledger: &mut Journal) -> i64 {
        match op {
            PartitionOp::Put(head, stage, body) => self.put_record(head, *stage, body, home, now, ledger),
            PartitionOp::SetStage(id, stage) => {
                let Some(r) = self.records.get_mut(id) else { return 0 };
                if stage.rank() > r.stage.rank() {
                    r.stage = *stage;
                    r.stage_saved_in = home;
                    r.ended_at = now;
                }
                r.release_body()
            }
            PartitionOp::SetStageWithToken(id, stage, seal) => {
                let Some(r) = self.records.get_mut(id) else { return 0 };
                if stage.rank() > r.stage.rank() {
                    (r.stage, r.stage_saved_in, r.ended_at) = (*stage, home, now);
                }
                if !seal.is_empty() {
                    r.header.completion_token.clone_from(seal);
                }
                r.release_body()
            }
            PartitionOp::Remove(id) => self.remove_record(place, id, ledger),
        }
    }
    pub fn put_record(
        &mut self,
        head: &MessageHeader,
        stage: Stage,
        body: &Bytes,
        home: u64,
        now: Time,
        ledger: &mut Journal,
    ) -> i64 {
        self.next_seq = self.next_seq.max(head.seq + 1);
        if let Some(r) = self.records.get_mut(&head.id) {
            ledger.remove_live_record(r.saved_in);
            ledger.add_live_record(home);
            r.saved_in = home;
            r.body = Some(body.clone());
            let before = i64::from(r.header.len);
            // An older line of it may not know yet how it was done.
            let seal = std::mem::take(&mut r.header.completion_token);
            r.header = head.clone();
            if r.header.completion_token.is_empty() {
                r.header.completion_token = seal;
            }
            if stage.rank() >= r.stage.rank() {
                r.stage = stage;
            }
            return i64::from(r.header.len) - before + r.release_body();
        }
        ledger.add_live_record(home);
        let mut rec = Record {
            header: head.clone(),
            stage,
            body: Some(body.clone()),
            saved_in: home,
            offset: 0,
            stage_saved_in: home,
            received_at: now,
            accepted_at: now,
            ended_at: now,
            failed_attempts: 0,
            unknown_outcomes: 0,
        };
        let held = body.len() as i64 + rec.release_body();
        self.records.insert(head.id.clone(), rec);
        held
    }
    pub fn remove_record(&mut self, place: &PartitionId, id: &MessageId, ledger: &mut Journal) -> i64 {
        let Some(r) = self.records.remove(id) else { return 0 };
        ledger.remove_live_record(r.saved_in);
        ledger.removed_records.push((r.saved_in, place.clone(), id.clone()));
        -i64::from(r.header.len)
    }
    pub fn snapshot(&self) -> PartitionSnapshot {
        PartitionSnapshot {
            last_op: self.last_op,
            next_seq: self.next_seq,
            headers: self.records.values().map(|r| (r.header.clone(), r.stage)).collect(),
        }
    }
    /// Keeps exactly these, with these stages.
    pub fn retain_only(&mut self, place: &PartitionId, keep: &[(MessageId, Stage, u64)], now: Time, ledger: &mut Journal) -> i64 {
        let want: BTreeMap<&MessageId, (Stage, u64)> = keep.iter().map(|(i, s, q)| (i, (*s, *q))).collect();
        let gone: Vec<MessageId> = self.records.keys().filter(|i| !want.contains_key(i)).cloned().collect();
        let mut held = 0;
        for id in gone {
            held += self.remove_record(place, &id, ledger);
        }
        for (id, r) in self.records.iter_mut() {
            let Some((stage, seq)) = want.get(id) else { continue };
            if r.stage != *stage {
                r.ended_at = now;
                r.stage = *stage;
                r.stage_saved_in = ledger.next_save();
                held += r.release_body();
            }
            r.header.seq = *seq;
        }
        held
    }
}
