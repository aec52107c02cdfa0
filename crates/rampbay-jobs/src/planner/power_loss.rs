//! Detects power losses, in which several machines lose their workers and their agent processes at once.
//!
//! If a task crashes its worker, the agent on that machine survives, and reports what ran there. If the agent
//! process was lost as well, no such report comes. One such machine isn't conclusive; several at once have a common
//! cause, which is none of the tasks. The stored losses show this to any leader, including one that was elected
//! later.

use std::collections::{BTreeMap, BTreeSet};

use crate::job::{EpochMillis, InstanceId, NodeName};
use crate::losses::JobLosses;

use super::RoundInputs;
use super::draft::Draft;

/// Time within which lost machines count as lost at once, in milliseconds. It covers the time until all are back
/// and the leader knows of it.
const COMMON_CAUSE_WINDOW_MS: u64 = 3000;
/// Number of machines lost at once from which a common cause is assumed.
const COMMON_CAUSE_MACHINES: usize = 3;

/// A machine that lost its worker and its agent process.
#[derive(Debug)]
struct LostMachine {
    at: EpochMillis,
    node: NodeName,
    instance: InstanceId,
}

/// Machines whose losses were recently discarded. They are kept, since the machines that come back last are too few to
/// be recognized by themselves.
#[derive(Debug, Default)]
pub struct PowerLosses(Vec<LostMachine>);

impl PowerLosses {
    /// Discards the losses that were caused by power losses.
    pub fn discard_losses(&mut self, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
        self.0.retain(|known| inputs.wall.saturating_sub(known.at) <= COMMON_CAUSE_WINDOW_MS);
        let mut machines = lost_machines(draft, inputs);
        if machines.is_empty() {
            return;
        }
        machines.append(&mut self.0);
        machines.sort_by_key(|machine| machine.at);
        let lost = lost_together(&machines);
        if lost.is_empty() {
            return;
        }
        log::warn!(
            "event=J187 losses discarded, machines and their agents were lost at once machines={}",
            lost.len()
        );
        for id in &inputs.table.active {
            let is_affected = draft
                .losses(id)
                .is_some_and(|losses| losses.iter().any(|run| lost.contains(&run.instance)));
            if is_affected {
                draft.edit_losses(id).discard(|instance| lost.contains(instance));
            }
        }
        machines.retain(|machine| lost.contains(&machine.instance));
        self.0 = machines;
    }
}

/// Lists the machines with a loss that no agent has reported.
fn lost_machines(draft: &Draft<'_>, inputs: &RoundInputs<'_>) -> Vec<LostMachine> {
    let jobs = inputs.table.active.iter().filter_map(|id| draft.losses(id));
    let runs = jobs.flat_map(JobLosses::iter).filter(|run| !run.may_have_begun);
    let by_instance: BTreeMap<&InstanceId, (EpochMillis, &NodeName)> =
        runs.map(|run| (&run.instance, (run.at, &run.node))).collect();
    let machine = |(instance, (at, node)): (&InstanceId, (EpochMillis, &NodeName))| LostMachine {
        at,
        node: node.clone(),
        instance: instance.clone(),
    };
    by_instance.into_iter().map(machine).collect()
}

/// Returns the workers of machines that were lost at once with enough others. `machines` is sorted by the time of loss.
fn lost_together(machines: &[LostMachine]) -> BTreeSet<InstanceId> {
    let mut lost = BTreeSet::new();
    for (first, machine) in machines.iter().enumerate() {
        let together = machines[first..]
            .iter()
            .take_while(|other| other.at.saturating_sub(machine.at) <= COMMON_CAUSE_WINDOW_MS);
        let nodes: BTreeSet<&NodeName> = together.clone().map(|other| &other.node).collect();
        if nodes.len() >= COMMON_CAUSE_MACHINES {
            lost.extend(together.map(|other| other.instance.clone()));
        }
    }
    lost
}
