//! What the stop of a run costs.
//!
//! Load: bursts of urgent gangs on a full fleet. A run that saves checkpoints is saved when it is stopped, so it loses
//! only the stop and its restart, however long it has run. Any other run loses all its time. A run that has just been
//! restarted has lost little yet, and would be the cheapest one to stop for burst after burst, so that its job never
//! ends. So no task is stopped for others more than twice: two stops, even at the very end of a run, leave time for a
//! third run within three times the work, which is the objective of the queues whose runs are stopped.

use std::time::Duration;

use crate::planner::PlannerSettings;
use crate::planner::policy::StopCost;
use crate::planner::policy::by_lost_work::priority_weight;
use crate::planner::progress::ObservedProgress;
use crate::planner::running::RunningTask;

use super::preemptions::PreemptionHistory;

/// How often a task may be stopped for others. After that only guaranteed work may stop it.
pub const MAX_PREEMPTIONS: u32 = 2;

/// Times that a stop takes.
#[derive(Clone, Copy, Debug)]
pub struct StopTimes {
    /// Time of the stop itself, during which the run holds its resources without progress.
    stop: Duration,
    /// Time of a restart from a checkpoint.
    restore: Duration,
}

impl StopTimes {
    /// Takes the times from a planner's settings.
    pub const fn new(settings: &PlannerSettings) -> Self {
        Self { stop: settings.stop_time, restore: settings.restore_time }
    }

    /// Returns the cost of stopping a run, given its progress if it is known.
    pub fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        history: &PreemptionHistory,
    ) -> StopCost {
        let lost_ms = self.lost_time(run, seen, history).as_millis() as u64;
        let lost_work = run.weight.max(1) * lost_ms / 1000;
        if history.preemptions(&run.id) >= MAX_PREEMPTIONS {
            return StopCost { lost_work, cost: u64::MAX };
        }
        StopCost { lost_work, cost: lost_work * priority_weight(run.priority) }
    }

    /// Returns the time that a run loses by a stop.
    fn lost_time(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        history: &PreemptionHistory,
    ) -> Duration {
        let lost = if run.checkpointing { self.restore } else { elapsed(run, seen, history) };
        lost + self.stop
    }
}

/// Returns the time for which a run has gone on. A run that no agent has reported has just been assigned, unless that
/// was before this planner began: it may be about to end then, so it counts as that old.
fn elapsed(
    run: &RunningTask,
    seen: Option<&ObservedProgress>,
    history: &PreemptionHistory,
) -> Duration {
    if let Some(seen) = seen {
        return seen.first_seen.elapsed();
    }
    history.expected_of_earlier_run(&run.id, run.attempt).unwrap_or_default()
}
