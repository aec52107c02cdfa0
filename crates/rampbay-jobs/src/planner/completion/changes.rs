//! What a round has decided before the ends of runs are first asked for.
//!
//! The ends of all runs are estimated at the first question that needs them, which many rounds never ask. So earlier
//! decisions of the round are only listed, and taken into account once the ends are known.

use std::rc::Rc;

use crate::job::{Step, Submission, TaskId};
use crate::planner::WorkerIndex;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;

use super::Completion;
use super::durations::Batch;
use super::room::Ends;
use super::saved::Saved;

/// A decision of the round.
#[derive(Clone, Debug)]
pub enum RoundChange {
    /// A unit is stopped, named by one of its tasks.
    Stopped(TaskId),
    /// Tasks of a step start.
    Started(StartedBatch),
}

/// Tasks that the round starts.
#[derive(Clone, Debug)]
pub struct StartedBatch {
    submission: Rc<Submission>,
    step: u32,
    saved: Saved,
    /// One entry a task.
    places: Vec<WorkerIndex>,
}

impl StartedBatch {
    fn step(&self) -> &Step {
        &self.submission.steps[self.step as usize]
    }
}

impl Completion<'_> {
    /// Takes into account that this round stops a unit: a gang, or a single run. `unit` is one of its tasks.
    pub fn note_stopped(&mut self, fleet: &FleetState, unit: &TaskId) {
        self.note(fleet, RoundChange::Stopped(unit.clone()));
    }

    /// Takes into account that this round starts tasks of a step on the workers `places`, one entry a task. `saved` is
    /// what their checkpoints hold.
    pub fn note_started(
        &mut self,
        fleet: &FleetState,
        waiting: &WaitingStep,
        saved: Saved,
        places: &[WorkerIndex],
    ) {
        if waiting.definition().long_running {
            return;
        }
        let submission = Rc::clone(&waiting.submission);
        let started =
            StartedBatch { submission, step: waiting.step, saved, places: places.to_vec() };
        self.note(fleet, RoundChange::Started(started));
    }

    fn note(&mut self, fleet: &FleetState, change: RoundChange) {
        let Some(mut ends) = self.ends.take() else {
            self.changes.push(change);
            return;
        };
        self.apply(fleet, &change, &mut ends);
        self.ends = ends.into();
    }

    pub(super) fn apply_changes(&self, fleet: &FleetState, ends: &mut Ends) {
        self.changes.iter().for_each(|change| self.apply(fleet, change, ends));
    }

    fn apply(&self, fleet: &FleetState, change: &RoundChange, ends: &mut Ends) {
        match change {
            RoundChange::Stopped(unit) => ends.stop(fleet, unit),
            RoundChange::Started(started) => {
                let StartedBatch { submission, saved, places, .. } = started;
                let step = started.step();
                let batch = Batch { submission, step, saved: *saved };
                ends.add(places, step.charge(), self.duration(fleet, &batch, places));
            }
        }
    }
}
