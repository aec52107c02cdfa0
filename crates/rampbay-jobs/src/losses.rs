//! Runs that were lost with their workers. They are recorded to tell a task that crashes its workers from one that only
//! ran beside it.
//!
//! A run that is lost with its worker's incarnation has no result. If losses weren't counted, a task that crashes
//! every worker it is started on would be started for ever: 34 times in 115 s in a test case, with a worker down
//! for 3.3 s each time. If they counted as failures, all tasks that ran beside it would fail. So each loss is kept
//! with the evidence for or against the task, and a task is given up only if nothing else can have been the cause,
//! or after more losses than other causes explain.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::{EpochMillis, InstanceId, NodeName, TaskId};

/// A run that may have begun at a worker's incarnation and hadn't ended when that ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: u32,
    /// Time from the first order or report of the run to this record, in milliseconds.
    pub age_ms: u64,
    /// Time for which its worker had listed it, in milliseconds; 0 if it never did.
    pub listed_ms: u64,
}

/// How a worker's incarnation ended, as its agent or the leader knew it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationEnd {
    /// Whether the worker had given notice that it leaves. Its lost runs then don't make any task suspect.
    pub gave_notice: bool,
    /// Runs that may have begun there; `None` if unknown, so that all assigned runs may have begun.
    pub runs: Option<Vec<InFlightRun>>,
}

/// Identifies tasks whose losses are counted together: a single task, or all tasks of a gang, by the index of the
/// first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UnitKey {
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Index in the step, from 0; 0 for a gang.
    pub index: u32,
}

impl InFlightRun {
    /// Returns whether its worker's incarnation ended soon after the start of the run.
    #[must_use]
    pub const fn ended_soon_after_start(&self) -> bool {
        self.listed_ms < SOON_AFTER_START_MS
    }
}

impl UnitKey {
    /// Returns the unit of a task.
    #[must_use]
    pub const fn of(task: &TaskId, is_gang: bool) -> Self {
        let index = if is_gang { 0 } else { task.index };
        Self { occurrence: task.occurrence, step: task.step, index }
    }
}

/// A run that was lost with its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// Number of the run, which the members of a gang share.
    pub attempt: u32,
    /// The worker's incarnation.
    pub instance: InstanceId,
    /// The worker's agent.
    pub node: NodeName,
    /// When the leader learned of the loss.
    pub at: EpochMillis,
    /// Whether the agent reported that the run may have begun. If not, the run was only assigned there, and whether it
    /// began is unknown.
    pub may_have_begun: bool,
    /// Whether the run may have begun, nothing else may have run there, and the worker was lost soon after the start.
    /// A worker that is lost for another reason is mostly lost later.
    pub is_proof: bool,
    /// Whether nothing had been started there after the run. A task that crashes its worker mostly does so soon.
    pub was_youngest: bool,
}

impl LostRun {
    /// Clears the suspicion against the task, since other workers were lost at the same time: the cause isn't at this
    /// worker.
    pub const fn clear_suspicion(&mut self) {
        self.is_proof = false;
        self.was_youngest = false;
    }
}

/// Number of losses, some of them proofs, from which a task is given up. One of them may have been beside other runs.
const LOSSES_TO_GIVE_UP: usize = 3;
/// Number of proofs among them: losses that no other run at the worker can have caused.
const PROOFS_TO_GIVE_UP: usize = 2;
/// A worker was lost soon after a start if it had listed the run for less than this time, in milliseconds. Workers list
/// their runs at least once a second.
const SOON_AFTER_START_MS: u64 = 1000;
/// Number of losses from which a task is given up whatever their circumstances: users accept at most two more
/// starts after the third crash. From the third loss on the task is isolated before others, so that it takes no
/// other runs down with it, and hardly any other run can be the cause.
const MAX_LOSSES: usize = 5;
/// Time after a loss within which another loss of the same unit counts only if the run may have begun, in
/// milliseconds. If many machines lose power, a run that was lost at one is assigned to the next, whose agent
/// doesn't know yet that its worker has been replaced: a task was lost at five machines within 0.5 s, and had run
/// at the first one only. A machine that a task has crashed takes longer to return.
const DUPLICATE_LOSS_WINDOW_MS: u64 = 2000;
/// Time for which a loss counts, in milliseconds: an hour. A task that runs for days loses its worker now and then.
const LOSS_RETENTION_MS: u64 = 3_600_000;

/// The degree to which a task is isolated from others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Isolation {
    /// It shares workers with others.
    #[default]
    None,
    /// It gets a worker of its own if one becomes idle soon.
    Preferred,
    /// It gets a worker of its own before others of the same urgency, and waits longer for it.
    First,
}

/// The lost runs of a unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitLosses(pub Vec<LostRun>);

impl UnitLosses {
    /// Adds a loss, once for each run, and removes those that no longer count. Returns whether the loss counts.
    pub fn add(&mut self, lost: LostRun) -> bool {
        self.0.retain(|known| lost.at.saturating_sub(known.at) < LOSS_RETENTION_MS);
        if let Some(known) = self.0.iter_mut().find(|known| known.attempt == lost.attempt) {
            // Another member of the gang: the evidence of both members is combined, so neither clears the other.
            known.is_proof |= lost.is_proof;
            known.was_youngest |= lost.was_youngest;
            return false;
        }
        let is_recent =
            |known: &LostRun| lost.at.saturating_sub(known.at) < DUPLICATE_LOSS_WINDOW_MS;
        if !lost.may_have_begun && self.0.iter().any(is_recent) {
            return false;
        }
        self.0.push(lost);
        true
    }

    /// Returns whether the unit is given up, since its losses show that it crashes its workers.
    #[must_use]
    pub fn should_give_up(&self) -> bool {
        let is_proven = self.0.len() >= LOSSES_TO_GIVE_UP && self.proofs() >= PROOFS_TO_GIVE_UP;
        is_proven || self.0.len() >= MAX_LOSSES
    }

    /// Counts the losses that are proofs: no other run can have caused them.
    #[must_use]
    pub fn proofs(&self) -> usize {
        self.0.iter().filter(|lost| lost.is_proof).count()
    }

    /// Returns the isolation of the unit's next run. After a single loss only a unit that was started last is isolated:
    /// otherwise each of the many unrelated tasks that a crash takes down would take a worker of its own.
    #[must_use]
    pub fn isolation(&self) -> Isolation {
        match self.0.as_slice() {
            [] => Isolation::None,
            [only] if !only.was_youngest => Isolation::None,
            [_] | [_, _] => Isolation::Preferred,
            _ => Isolation::First,
        }
    }

    /// Returns when the latest loss became known.
    #[must_use]
    pub fn latest(&self) -> Option<EpochMillis> {
        self.0.iter().map(|lost| lost.at).max()
    }

    /// Returns whether one of the losses occurred at a machine.
    #[must_use]
    pub fn occurred_at(&self, node: &str) -> bool {
        self.0.iter().any(|lost| lost.node == node)
    }
}

/// The lost runs of a job, by unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLosses(pub BTreeMap<UnitKey, UnitLosses>);

/// Largest number of units of a job whose losses are kept: 200 kB, if each of them has lost the most runs.
const MAX_UNITS: usize = 160;

impl JobLosses {
    /// Drops the least suspect units if there are more than are kept.
    pub fn drop_least_suspect(&mut self) {
        let excess = self.0.len().saturating_sub(MAX_UNITS);
        if excess == 0 {
            return;
        }
        let suspicion = |unit: &UnitLosses| {
            let was_youngest = unit.0.iter().any(|lost| lost.was_youngest);
            (unit.0.len(), was_youngest, unit.latest())
        };
        let mut keys: Vec<UnitKey> = self.0.keys().cloned().collect();
        keys.sort_by_cached_key(|key| self.0.get(key).map(suspicion));
        keys.truncate(excess);
        self.0.retain(|key, _| !keys.contains(key));
    }

    /// Discards losses at workers whose incarnations turned out to be alive: they were disconnected, not crashed.
    pub fn discard(&mut self, is_alive: impl Fn(&str) -> bool) {
        self.0.values_mut().for_each(|unit| unit.0.retain(|lost| !is_alive(&lost.instance)));
        self.0.retain(|_, unit| !unit.0.is_empty());
    }

    /// Iterates over all losses.
    pub fn iter(&self) -> impl Iterator<Item = &LostRun> {
        self.0.values().flat_map(|unit| &unit.0)
    }
}
