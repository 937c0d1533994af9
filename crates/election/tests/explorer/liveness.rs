//! Liveness: checks that a group recovers once all faults have ended.
use super::{InjectedFault, Machine, Step, Violation, World};
use dw_election::prelude::{Command, Span};

/// How long a group may take to recover once all faults have ended.
const RECOVERY_TIME: Span = Span::secs(15);
/// For how long after a recovery the platform guarantees no further loss.
const TIME_BETWEEN_LOSSES: Span = Span::secs(4);
/// How long a group may be without a leader after the loss of a machine.
const LEADER_TIMEOUT: Span = Span::secs(6);

/// Ends all faults in a copy of `world` and checks that a leader is elected,
/// that the group then tolerates the loss of one more machine, and that no
/// acknowledged command is lost.
pub fn check_liveness(world: &World, selector: usize) -> Result<(), Violation> {
    let mut world = world.clone();
    // The control has to recover too, so its restarts end here.
    world.fault = world.fault.filter(|fault| *fault != InjectedFault::RestartsLeaderAtChange);
    recover(&mut world)?;
    world.run_with_immediate_delivery(RECOVERY_TIME)?;
    let leader = world.leader().ok_or(Violation::NoLeaderAfterRecovery)?;
    check_committed_commands(&world, leader)?;
    world.run_with_immediate_delivery(TIME_BETWEEN_LOSSES)?;
    let lost = select_voter(&world, selector).ok_or(Violation::NoLeaderAfterRecovery)?;
    world.take_step(Step::Remove(lost))?;
    world.run_with_immediate_delivery(LEADER_TIMEOUT)?;
    let leader = world.leader().ok_or(Violation::NoLeaderAfterOneMoreLoss { lost })?;
    check_committed_commands(&world, leader)?;
    world.take_step(Step::Propose(leader))?;
    world.run_with_immediate_delivery(Span::secs(1))?;
    match world.leader() {
        Some(leader) => check_committed_commands(&world, leader),
        None => Err(Violation::NoLeaderAfterOneMoreLoss { lost }),
    }
}

/// Restarts and reconnects all machines and replaces the removed ones.
fn recover(world: &mut World) -> Result<(), Violation> {
    // A machine that is leaving stops within seconds; here it is restarted.
    let leaving: Vec<Machine> = world.nodes.iter().filter(|(_, node)| node.leaving).map(|(machine, _)| *machine).collect();
    for machine in leaving {
        world.take_step(Step::Crash(machine))?;
    }
    loop {
        let is_recovery = |step: &Step| matches!(step, Step::Reconnect(_) | Step::Restart(_) | Step::AddReplacement);
        let Some(step) = world.steps().into_iter().find(is_recovery) else { return Ok(()) };
        world.take_step(step)?;
    }
}

fn select_voter(world: &World, selector: usize) -> Option<Machine> {
    let voters = &world.checker.configuration.voters;
    let running = world.nodes.keys().copied().filter(|machine| voters.contains_key(&super::world::name(*machine)));
    let running: Vec<Machine> = running.collect();
    let index = selector.checked_rem(running.len())?;
    Some(running[index])
}

/// Checks that `leader` has applied every committed command.
fn check_committed_commands(world: &World, leader: Machine) -> Result<(), Violation> {
    let applied = &world.nodes[&leader].applied;
    for (index, entry) in &world.checker.committed {
        let Command::Apply(command) = entry.command else { continue };
        if !applied.contains(&(*index, command)) {
            return Err(Violation::AcknowledgedCommandLost { index: *index });
        }
    }
    Ok(())
}
