//! Runs that went with their workers: the account by which a task that crashes its workers is told from one that
//! only stood beside it.
//!
//! A run whose worker's life ends under it has no verdict of its own. Not counted, a task that crashes every worker it
//! is started on is started for ever: 34 times in 115 s in the case that was played, with a worker down for 3.3 s each
//! time. Counted like a failure, it would fail all that ran beside it. So each loss is kept with what speaks for or
//! against the task, and a task is given up only where nothing else can have been the cause, or after as many losses
//! as no other cause explains.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::job::{EpochMillis, InstanceId, NodeName, TaskId};

/// A run that may have begun at a life of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InFlightRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub attempt: u32,
    /// How long before the report it was ordered or heard of first, in milliseconds.
    pub age_ms: u64,
    /// For how long its worker had listed it, in milliseconds; 0 if it never did.
    pub listed_ms: u64,
}

/// How a worker's life ended, as its agent or the leader knew it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LifeOver {
    /// Whether the worker had given notice that it leaves. What went with it then is no reason to suspect a task.
    pub gave_notice: bool,
    /// Runs that may have begun there; `None` where that isn't known, and all that were assigned may have.
    pub runs: Option<Vec<InFlightRun>>,
}

/// Names tasks that are suspected together: a task, or all tasks of a gang, which stand under the first of them.
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
    /// Returns whether its worker went soon after its start.
    #[must_use]
    pub const fn went_soon(&self) -> bool {
        self.listed_ms < SOON_MS
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

/// A run that went with its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRun {
    /// The run; for a gang its common number.
    pub attempt: u32,
    /// The worker's life.
    pub instance: InstanceId,
    /// The worker's agent.
    pub node: NodeName,
    /// When the leader learned of it.
    pub at: EpochMillis,
    /// Whether its agent knew that it may have begun; otherwise it was assigned there, and nobody knows.
    pub may_have_begun: bool,
    /// Whether it may have begun, nothing else may have run there, and the worker went soon after the start. A worker
    /// that goes by itself mostly does so later.
    pub is_proof: bool,
    /// Whether nothing there had been started after it. What crashes its worker mostly does so soon.
    pub was_youngest: bool,
}

impl LostRun {
    /// Takes note that other workers went at the same moment: the cause isn't at the worker.
    pub const fn excuse(&mut self) {
        self.is_proof = false;
        self.was_youngest = false;
    }
}

/// Losses that speak for a fault of the task, one of them beside others, before the task is given up.
const LOSSES_TO_GIVE_UP: usize = 3;
/// Losses among them that prove something: no neighbour can have caused these.
const PROOFS_TO_GIVE_UP: usize = 2;
/// For how long a worker that goes soon after a start may have listed the run, in milliseconds: it lists what it has
/// once a second at least.
const SOON_MS: u64 = 1000;
/// Losses after which a task is given up however they came about: after the third crash two more starts are the most
/// that users accept. From the third loss on it is kept apart before all others, so that it takes nobody with it, and
/// hardly has a neighbour to blame.
const MOST_LOSSES: usize = 5;
/// Time after a loss within which another one of the same unit counts only if the run may have begun, in milliseconds.
/// Where many machines lose power, what was lost at one is assigned to the next, whose agent doesn't know yet that its
/// worker is another: a task was lost at five machines within 0.5 s, and had run at the first one only. A machine that
/// a task crashes takes longer to be back.
const ONE_LOSS_MS: u64 = 2000;
/// How long a loss counts, in milliseconds: an hour. A task that lasts for days loses its worker now and then.
const COUNTED_FOR_MS: u64 = 3_600_000;

/// How far a task is kept apart from others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Isolation {
    /// It runs beside others.
    #[default]
    None,
    /// It gets a worker of its own where one is idle soon.
    Preferred,
    /// It gets one before all others, and waits longer for it.
    First,
}

/// What a unit has lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnitLosses(pub Vec<LostRun>);

impl UnitLosses {
    /// Takes in a loss, once for each run, and forgets what no longer counts. Returns whether it counts.
    pub fn add(&mut self, lost: LostRun) -> bool {
        self.0.retain(|known| lost.at.saturating_sub(known.at) < COUNTED_FOR_MS);
        if let Some(known) = self.0.iter_mut().find(|known| known.attempt == lost.attempt) {
            // Another member of the gang: a worker where it had no neighbour doesn't clear the first one.
            known.is_proof |= lost.is_proof;
            known.was_youngest |= lost.was_youngest;
            return false;
        }
        let is_recent = |known: &LostRun| lost.at.saturating_sub(known.at) < ONE_LOSS_MS;
        if !lost.may_have_begun && self.0.iter().any(is_recent) {
            return false;
        }
        self.0.push(lost);
        true
    }

    /// Returns whether the unit is at fault as far as can be told.
    #[must_use]
    pub fn is_convicted(&self) -> bool {
        let is_proven = self.0.len() >= LOSSES_TO_GIVE_UP && self.proofs() >= PROOFS_TO_GIVE_UP;
        is_proven || self.0.len() >= MOST_LOSSES
    }

    /// Counts the losses that prove something.
    #[must_use]
    pub fn proofs(&self) -> usize {
        self.0.iter().filter(|lost| lost.is_proof).count()
    }

    /// Returns how far the unit is to be kept apart in its next run. After a single loss only what was started last
    /// is: of many innocents that a crash takes down, each would take a worker of its own.
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

    /// Returns whether one of them was at a machine.
    #[must_use]
    pub fn was_at(&self, node: &str) -> bool {
        self.0.iter().any(|lost| lost.node == node)
    }
}

/// What the units of a job have lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLosses(pub BTreeMap<UnitKey, UnitLosses>);

impl JobLosses {
    /// Forgets losses at workers whose lives turned out to go on: they were cut off, and nothing crashed them.
    pub fn forgive(&mut self, goes_on: impl Fn(&str) -> bool) {
        self.0.values_mut().for_each(|unit| unit.0.retain(|lost| !goes_on(&lost.instance)));
        self.0.retain(|_, unit| !unit.0.is_empty());
    }

    /// Iterates over all losses.
    pub fn iter(&self) -> impl Iterator<Item = &LostRun> {
        self.0.values().flat_map(|unit| &unit.0)
    }
}
