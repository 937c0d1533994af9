//! The replica of one partition at one store, leader or not.
use crate::prelude::*;

/// The state that a replica needs for a record of a copy to be part of its history:
/// what the copy contained when the record arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CopiedAt {
    pub epoch: Epoch,
    #[serde(rename = "n")]
    pub last_op: u64,
}

/// A message of the partition.
///
/// Invariants: `stage` never goes back; the body is in the segment that holds the save
/// `saved_in`, at `offset`, once that is saved; until that segment is compacted, the
/// body is in memory too.
#[derive(Clone, Debug)]
pub struct Record {
    pub header: MessageHeader,
    pub stage: Stage,
    /// `None` when it is only on disk.
    pub body: Option<Bytes>,
    /// Set if the record came with a copy.
    pub copied_at: Option<CopiedAt>,
    /// The journal save that holds the body.
    pub saved_in: u64,
    /// Where the body begins in its segment.
    pub offset: u64,
    /// The journal save that holds the latest change of the stage.
    pub stage_saved_in: u64,
    /// When this store received it, by its clock; after a restart, when it was read
    /// back.
    pub received_at: Time,
    /// When it was accepted. After a restart and in a copy this is computed from the
    /// time of day, which may be wrong, so no message ends because of it.
    pub accepted_at: Time,
    pub ended_at: Time,
    /// Failed attempts: first of its work, then of its call-back.
    pub failed_attempts: u32,
    /// Attempts with an unknown outcome; counted at this store only.
    pub unknown_outcomes: u32,
}

impl Record {
    /// Whether its body is released: a routed message that succeeded is neither run
    /// nor read back again.
    pub fn is_body_released(&self) -> bool {
        let succeeded = matches!(self.stage, Stage::Ended(Outcome::Succeeded) | Stage::EndedAwaitingCallback(Outcome::Succeeded));
        succeeded && !self.header.route.is_empty()
    }

    /// Releases the body once nothing needs it, and the caller's request once no
    /// call-back is pending. From then on the record is that of an empty message, in
    /// every copy alike. Returns the change in bytes held.
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

    /// The body, if it is in memory or empty.
    pub fn loaded_body(&self) -> Option<Bytes> {
        match self.header.len {
            0 => Some(Bytes::new()),
            _ => self.body.clone(),
        }
    }
}

/// The replica's records and its state in the replication protocol.
///
/// Invariants: `installed_epoch <= promised_epoch`; `last_op` counts the ops of epoch
/// `installed_epoch` applied here without a gap, so of two replicas the one with the
/// higher (`installed_epoch`, `last_op`) holds everything in the other's history. Records
/// of an unfinished copy are no part of that (`is_foreign`): they are dropped before the
/// replica adopts an epoch, and neither served nor copied.
#[derive(Default)]
pub struct PartitionReplica {
    /// Nothing is accepted from lower epochs.
    pub promised_epoch: Epoch,
    /// The epoch whose ops are applied.
    pub installed_epoch: Epoch,
    pub last_op: u64,
    /// The sequence number of the next message.
    pub next_seq: u64,
    pub records: BTreeMap<MessageId, Record>,
    /// A copy that is being fetched.
    pub copy_fetch: Option<CopyFetch>,
    /// Set while this store leads the partition.
    pub leader_state: Option<LeaderState>,
}

impl PartitionReplica {
    /// Applies one op, which the journal save `save` will hold; every change by an op
    /// passes here. Returns the change in bytes held.
    pub fn apply(&mut self, partition: &PartitionId, op: &PartitionOp, save: u64, now: Time, journal: &mut Journal) -> i64 {
        match op {
            PartitionOp::Put(header, stage, body) => self.put_record(header, *stage, body, save, now, journal),
            PartitionOp::SetStage(id, stage) => {
                let Some(r) = self.records.get_mut(id) else { return 0 };
                if stage.rank() > r.stage.rank() {
                    r.stage = *stage;
                    r.stage_saved_in = save;
                    r.ended_at = now;
                }
                r.release_body()
            }
            PartitionOp::SetStageWithToken(id, stage, token) => {
                let Some(r) = self.records.get_mut(id) else { return 0 };
                if stage.rank() > r.stage.rank() {
                    (r.stage, r.stage_saved_in, r.ended_at) = (*stage, save, now);
                }
                if !token.is_empty() {
                    r.header.completion_token.clone_from(token);
                }
                r.release_body()
            }
            PartitionOp::Remove(id) => self.remove_record(partition, id, journal),
        }
    }
    /// Adds a record, or writes it again with another save. Returns the change in bytes
    /// held.
    pub fn put_record(
        &mut self,
        header: &MessageHeader,
        stage: Stage,
        body: &Bytes,
        save: u64,
        now: Time,
        journal: &mut Journal,
    ) -> i64 {
        self.next_seq = self.next_seq.max(header.seq + 1);
        if let Some(r) = self.records.get_mut(&header.id) {
            journal.remove_live_record(r.saved_in);
            journal.add_live_record(save);
            r.saved_in = save;
            r.copied_at = None;
            r.body = Some(body.clone());
            let old_len = i64::from(r.header.len);
            // An older journal entry of it may lack the completion token.
            let token = std::mem::take(&mut r.header.completion_token);
            r.header = header.clone();
            if r.header.completion_token.is_empty() {
                r.header.completion_token = token;
            }
            if stage.rank() >= r.stage.rank() {
                r.stage = stage;
            }
            return i64::from(r.header.len) - old_len + r.release_body();
        }
        journal.add_live_record(save);
        let mut record = Record {
            header: header.clone(),
            stage,
            body: Some(body.clone()),
            copied_at: None,
            saved_in: save,
            offset: 0,
            stage_saved_in: save,
            received_at: now,
            accepted_at: now,
            ended_at: now,
            failed_attempts: 0,
            unknown_outcomes: 0,
        };
        let held = body.len() as i64 + record.release_body();
        self.records.insert(header.id.clone(), record);
        held
    }
    /// Removes a record; returns the change in bytes held.
    pub fn remove_record(&mut self, partition: &PartitionId, id: &MessageId, journal: &mut Journal) -> i64 {
        let Some(r) = self.records.remove(id) else { return 0 };
        journal.remove_live_record(r.saved_in);
        journal.removed_records.push((r.saved_in, partition.clone(), id.clone()));
        -i64::from(r.header.len)
    }
    /// Whether it has all operations of an epoch up to this one.
    pub fn has_all_ops(&self, epoch: Epoch, last_op: u64) -> bool {
        self.installed_epoch == epoch && self.last_op >= last_op
    }
    /// The state that a copy under this epoch gives it, when the source's last operation
    /// is `last_op`. For a new leader the operation numbers restart.
    pub fn state_after_copy(&self, epoch: Epoch, last_op: u64) -> CopiedAt {
        CopiedAt { epoch, last_op: if self.leader_state.is_some() { 0 } else { last_op } }
    }
    /// Whether a record is no part of the replica's history: it came with a copy that was
    /// not installed.
    pub fn is_foreign(&self, record: &Record) -> bool {
        let state = CopiedAt { epoch: self.installed_epoch, last_op: self.last_op };
        record.copied_at.is_some_and(|copied_at| copied_at > state)
    }
    /// The ids of the records that are no part of the replica's history.
    pub fn foreign_records(&self) -> Vec<MessageId> {
        self.records.iter().filter(|(_, record)| self.is_foreign(record)).map(|(id, _)| id.clone()).collect()
    }
    /// All records, without bodies.
    pub fn snapshot(&self) -> PartitionSnapshot {
        PartitionSnapshot {
            last_op: self.last_op,
            next_seq: self.next_seq,
            headers: self.records.values().filter(|r| !self.is_foreign(r)).map(|r| (r.header.clone(), r.stage)).collect(),
        }
    }
    /// Removes all records but these, which get these stages and sequence numbers.
    /// Returns the change in bytes held.
    pub fn retain_only(
        &mut self,
        partition: &PartitionId,
        records: &[(MessageId, Stage, u64)],
        now: Time,
        journal: &mut Journal,
    ) -> i64 {
        let retained: BTreeMap<&MessageId, (Stage, u64)> = records.iter().map(|(i, s, q)| (i, (*s, *q))).collect();
        let to_remove: Vec<MessageId> = self.records.keys().filter(|i| !retained.contains_key(i)).cloned().collect();
        let mut held = 0;
        for id in to_remove {
            held += self.remove_record(partition, &id, journal);
        }
        for (id, r) in self.records.iter_mut() {
            let Some((stage, seq)) = retained.get(id) else { continue };
            if r.stage != *stage {
                r.ended_at = now;
                r.stage = *stage;
                r.stage_saved_in = journal.next_save();
                held += r.release_body();
            }
            r.header.seq = *seq;
        }
        held
    }
}
