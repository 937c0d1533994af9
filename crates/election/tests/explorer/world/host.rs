//! The host of a replica: gives it its inputs and carries out its actions.
use super::*;

impl World {
    /// Gives a replica one input and carries out what it asks for.
    pub(super) fn give(
        &mut self,
        machine: Machine,
        input: u64,
        call: impl FnOnce(&mut Replica<u32>, Time) -> Vec<Action<u32>>,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node_mut(machine);
        let Some(replica) = &mut node.replica else { return Ok(()) };
        node.inputs = hash_of((node.inputs, input));
        let (commit, configuration) = (replica.commit_index(), replica.configuration().clone());
        let actions = call(replica, now);
        let (committed, leads) = (replica.commit_index(), replica.role() == Role::Leader);
        let persisted = self.take_states(machine, &actions)?;
        if committed > commit {
            self.check_commit(machine, committed, leads.then_some(&configuration))?;
        }
        for action in actions {
            self.carry_out(machine, action)?;
        }
        self.after_persist(machine, persisted)
    }

    /// Queues the writes among `actions`; returns the number of the last.
    pub(super) fn take_states(&mut self, machine: Machine, actions: &[Action<u32>]) -> Result<Option<u64>, Violation> {
        let mut last = None;
        for action in actions {
            let Action::Persist(number, state) = action else { continue };
            self.ledger.on_state(state)?;
            let node = self.node_mut(machine);
            node.latest = state.clone();
            node.writes.push_back((*number, state.clone()));
            last = Some(*number);
        }
        Ok(last)
    }

    pub(super) fn check_commit(&mut self, machine: Machine, index: u64, led_by: Option<&Configuration>) -> Result<(), Violation> {
        let state = self.nodes[&machine].latest.clone();
        let ledger = Arc::make_mut(&mut self.ledger);
        if let Some(configuration) = led_by {
            ledger.on_leader_commit(machine, index, &state, configuration)?;
        }
        ledger.on_commit(machine, index, &state)
    }

    pub(super) fn carry_out(&mut self, machine: Machine, action: Action<u32>) -> Result<(), Violation> {
        match action {
            Action::Send(to, message) => self.send(machine, &to, message),
            Action::Apply(index, term, command) => {
                let entry = Entry { term, command: Command::Apply(command) };
                if self.ledger.committed.get(&index) != Some(&entry) {
                    return Err(Violation::CommittedEntriesDiffer { index, machine });
                }
                self.node_mut(machine).applied.push((index, command));
            }
            Action::InstallSnapshot(snapshot) => self.install_snapshot(machine, &snapshot)?,
            Action::BecameLeader(term) => {
                let state = self.nodes[&machine].latest.clone();
                Arc::make_mut(&mut self.ledger).on_leader(machine, term, &name(machine), &state)?;
            }
            Action::Persist(..) | Action::ConfigurationChanged(_) | Action::SetPeerAddress(..) | Action::LostLeadership => {}
        }
        Ok(())
    }

    pub(super) fn install_snapshot(&mut self, machine: Machine, snapshot: &Snapshot) -> Result<(), Violation> {
        self.ledger.on_snapshot(machine, snapshot)?;
        self.node_mut(machine).applied = ciborium::from_reader(snapshot.data.as_ref()).unwrap_or_default();
        Ok(())
    }

    pub(super) fn after_persist(&mut self, machine: Machine, persisted: Option<u64>) -> Result<(), Violation> {
        let Some(number) = persisted else { return Ok(()) };
        let node = &self.nodes[&machine];
        let leads = node.replica.as_ref().is_some_and(|replica| replica.role() == Role::Leader);
        if let Some(state) = broken_change(self.breakage, &node.latest).filter(|_| leads) {
            return self.replace_state(machine, state);
        }
        if self.reductions.writes_at_once {
            return self.persist(machine);
        }
        if self.breakage == Some(Breakage::AnswersBeforeDurable) {
            return self.give(machine, hash_of(("too early", number)), |replica, now| replica.persisted(number, now));
        }
        Ok(())
    }
}
