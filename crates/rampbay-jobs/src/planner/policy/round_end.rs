//! What a policy may look at once a round has placed what waits, and what it may then decide.

use std::rc::Rc;

use crate::job::{InstanceId, JobId, Submission, TaskId, USEFUL_OBJECTIVES};
use crate::plan::JobPlan;
use crate::planner::draft::Draft;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;
use crate::planner::workers::WorkerViews;
use crate::planner::{Planner, RoundInputs};

use super::RoundContext;

/// State at the end of a round, once what waits has been placed.
pub struct RoundEnd<'a> {
    /// The inputs of the round and the estimate of completion.
    pub round: RoundContext<'a>,
    planner: &'a Planner,
    draft: &'a Draft<'a>,
    workers: &'a WorkerViews<'a>,
}

impl<'a> RoundEnd<'a> {
    pub(in crate::planner) fn new(
        planner: &'a Planner,
        draft: &'a Draft<'a>,
        workers: &'a WorkerViews<'a>,
        inputs: &'a RoundInputs<'a>,
    ) -> Self {
        let round = RoundContext { inputs, completion: planner.completion(inputs) };
        Self { round, planner, draft, workers }
    }

    /// Computes the state of all workers, with what the round has placed. This takes a while on a large fleet, so it
    /// should be asked for only when there is something to decide.
    #[must_use]
    pub fn fleet(&self) -> FleetState {
        FleetState::new(self.planner, self.draft, self.workers, self.round.inputs)
    }

    /// Iterates over the jobs that go on, with their plans.
    pub fn jobs(&self) -> impl Iterator<Item = (&'a JobId, &'a Rc<Submission>, &'a JobPlan)> {
        let draft = self.draft;
        self.round.inputs.table.active.iter().filter_map(move |id| {
            let job = draft.table.jobs.get(id)?;
            let plan = draft.plan(id)?;
            let goes_on = !job.cancelled && !plan.status.is_final();
            goes_on.then_some((id, &job.submission, plan))
        })
    }

    /// Returns the plan of a job, if there is one.
    #[must_use]
    pub fn plan(&self, job: &JobId) -> Option<&'a JobPlan> {
        self.draft.plan(job)
    }

    /// Returns some running tasks of a step as they would wait after a stop. `first` names one of them. The step isn't
    /// taken as guaranteed, so that it gets no more room than it would for certain.
    #[must_use]
    pub fn as_waiting(
        &self,
        submission: &Rc<Submission>,
        first: &TaskId,
        tasks: Vec<u32>,
    ) -> WaitingStep {
        let durations = self.planner.forecasts.durations_ms(submission);
        let chains = submission.chains_ms(&durations);
        let objective_ms = submission.objective_ms(chains.iter().copied().max().unwrap_or(0));
        let since = submission.due_at(first.occurrence);
        let step = first.step as usize;
        WaitingStep {
            job: first.job.clone(),
            submission: Rc::clone(submission),
            occurrence: first.occurrence,
            step: first.step,
            tasks,
            guaranteed: false,
            waits_since: since,
            duration_ms: durations[step],
            latest_start: (since + objective_ms).saturating_sub(chains[step]),
            latest_useful_start: (since + objective_ms * USEFUL_OBJECTIVES)
                .saturating_sub(chains[step]),
        }
    }

    /// Returns the expected duration of a task of a step on an average worker, in milliseconds.
    #[must_use]
    pub fn forecast_ms(&self, submission: &Submission, step: u32) -> u64 {
        let step = submission.steps.get(step as usize);
        step.map_or(0, |step| self.planner.forecasts.duration_ms(submission, step))
    }

    /// Returns the measured slowness of a worker: the factor by which tasks take longer there than on an average one.
    #[must_use]
    pub fn slowness(&self, instance: &str) -> Option<f64> {
        self.planner.speeds.slowness(instance)
    }

    /// Returns whether a worker is slow now.
    #[must_use]
    pub fn is_slow(&self, instance: &str) -> bool {
        self.planner.speeds.is_slow(instance)
    }
}

/// A gang or a single run that holds up its step, and starts again elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Straggler {
    /// The task, or a member of the gang.
    pub task: TaskId,
    /// The slow worker, which the new start avoids.
    pub worker: InstanceId,
    /// Time until it is expected to end where it runs, in milliseconds.
    pub here_ms: u64,
    /// Time until it is expected to end elsewhere at the latest, with the stop and the new start, in milliseconds.
    pub elsewhere_ms: u64,
    /// Work that is lost, in thousandths of core-seconds.
    pub lost_work: u64,
}

impl Straggler {
    /// Logs the decision, or what came of it.
    pub fn log(&self, outcome: &str) {
        log::info!(
            "event=J194 run held up its step task={} worker={} here_ms={} elsewhere_ms={} lost_core_ms={} outcome={outcome}",
            self.task,
            self.worker,
            self.here_ms,
            self.elsewhere_ms,
            self.lost_work
        );
    }
}
