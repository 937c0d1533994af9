//! The host of a replica: passes inputs to it and executes its actions.
use super::*;

impl World {
    /// Passes one input to a replica and executes the resulting actions.
    pub(super) fn run_replica(
        &mut self,
        machine: Machine,
        input: u64,
        call: impl FnOnce(&mut Replica<u32>, Time) -> Vec<Action<u32>>,
    ) -> Result<(), Violation> {
        let now = self.now;
        let node = self.node_mut(machine);
        let Some(replica) = &mut node.replica else { return Ok(()) };
        node.input_hash = hash_of((node.input_hash, input));
        let (previous_commit_index, configuration) = (replica.commit_index(), replica.configuration().clone());
        let actions = call(replica, now);
        let (commit_index, is_leader) = (replica.commit_index(), replica.role() == Role::Leader);
        let persisted = self.queue_writes(machine, &actions)?;
        if commit_index > previous_commit_index {
            self.check_commit(machine, commit_index, is_leader.then_some(&configuration))?;
        }
        for action in actions {
            self.execute_action(machine, action)?;
        }
        self.after_persist(machine, persisted)
    }

    /// Queues the writes among `actions` and returns the number of the last one.
    pub(super) fn queue_writes(&mut self, machine: Machine, actions: &[Action<u32>]) -> Result<Option<u64>, Violation> {
        let mut last = None;
        for action in actions {
            let Action::Persist(number, state) = action else { continue };
            self.checker.on_write_issued(state)?;
            let node = self.node_mut(machine);
            node.latest_state = state.clone();
            node.pending_writes.push_back((*number, state.clone()));
            last = Some(*number);
        }
        Ok(last)
    }

    pub(super) fn check_commit(
        &mut self,
        machine: Machine,
        index: u64,
        leader_configuration: Option<&Configuration>,
    ) -> Result<(), Violation> {
        let state = self.nodes[&machine].latest_state.clone();
        let checker = Arc::make_mut(&mut self.checker);
        if let Some(configuration) = leader_configuration {
            checker.on_leader_commit(machine, index, &state, configuration)?;
        }
        checker.on_commit(machine, index, &state)
    }

    pub(super) fn execute_action(&mut self, machine: Machine, action: Action<u32>) -> Result<(), Violation> {
        match action {
            Action::Send(to, message) => self.send(machine, &to, message),
            Action::Apply(index, term, command) => {
                let entry = Entry { term, command: Command::Apply(command) };
                if self.checker.committed.get(&index) != Some(&entry) {
                    return Err(Violation::CommittedEntriesDiffer { index, machine });
                }
                self.node_mut(machine).applied.push((index, command));
            }
            Action::InstallSnapshot(snapshot) => self.install_snapshot(machine, &snapshot)?,
            Action::BecameLeader(term) => {
                let state = self.nodes[&machine].latest_state.clone();
                Arc::make_mut(&mut self.checker).on_leader(machine, term, &name(machine), &state)?;
            }
            Action::Persist(..) | Action::ConfigurationChanged(_) | Action::SetPeerAddress(..) | Action::LostLeadership => {}
        }
        Ok(())
    }

    pub(super) fn install_snapshot(&mut self, machine: Machine, snapshot: &Snapshot) -> Result<(), Violation> {
        self.checker.on_snapshot(machine, snapshot)?;
        self.node_mut(machine).applied = ciborium::from_reader(snapshot.data.as_ref()).unwrap_or_default();
        Ok(())
    }

    pub(super) fn after_persist(&mut self, machine: Machine, persisted: Option<u64>) -> Result<(), Violation> {
        let Some(number) = persisted else { return Ok(()) };
        let node = &self.nodes[&machine];
        let is_leader = node.replica.as_ref().is_some_and(|replica| replica.role() == Role::Leader);
        if let Some(state) = faulty_change(self.fault, &node.latest_state).filter(|_| is_leader) {
            return self.restart_with_state(machine, state);
        }
        if self.reductions.immediate_writes {
            return self.persist(machine);
        }
        if self.fault == Some(InjectedFault::SendsBeforeDurable) {
            return self.run_replica(machine, hash_of(("too early", number)), |replica, now| replica.persisted(number, now));
        }
        Ok(())
    }
}
