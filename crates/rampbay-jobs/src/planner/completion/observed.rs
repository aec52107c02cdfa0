//! The error of the estimates, observed at the ends of runs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::job::{JobId, QueueName, Step, Submission, TaskId};
use crate::metrics::metrics;
use crate::plan::{JobPlan, TaskPlan, TaskStatus};
use crate::planner::draft::Draft;
use crate::record::{EndReason, RunEnd};

use super::durations::Batch;
use super::saved::SavedOfJob;
use super::spread::ErrorSpreads;
use super::{Completion, Estimate, Source};

/// Names a unit of a job: a gang by its first member, or a single task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnitId {
    occurrence: u32,
    step: u32,
    index: u32,
}

impl UnitId {
    /// Returns the unit of a task.
    #[must_use]
    pub const fn of(task: &TaskId, is_gang: bool) -> Self {
        let index = if is_gang { 0 } else { task.index };
        Self { occurrence: task.occurrence, step: task.step, index }
    }
}

/// A unit that this planner has seen start.
#[derive(Clone, Copy, Debug)]
pub struct StartedUnit {
    attempt: u32,
    /// When its start was decided, since the planner began.
    at: Duration,
    /// How long it was then expected to take.
    expected: Estimate,
}

/// The running units of one job.
pub type StartedOfJob = BTreeMap<UnitId, StartedUnit>;

/// The running units that this planner has seen start.
#[derive(Debug, Default)]
pub struct StartedRuns(BTreeMap<JobId, StartedOfJob>);

impl StartedRuns {
    /// Replaces what is known of some jobs.
    pub fn apply(&mut self, changes: Vec<(JobId, StartedOfJob)>) {
        for (job, started) in changes {
            if started.is_empty() {
                self.0.remove(&job);
            } else {
                self.0.insert(job, started);
            }
        }
    }

    fn get(&self, job: &JobId, unit: UnitId, attempt: u32) -> Option<&StartedUnit> {
        let started = self.0.get(job)?.get(&unit)?;
        (started.attempt == attempt).then_some(started)
    }

    /// Returns the time since this planner decided the start of a unit's run.
    #[must_use]
    pub fn ran(&self, job: &JobId, unit: UnitId, attempt: u32, now: Duration) -> Option<Duration> {
        self.get(job, unit, attempt).map(|started| now.saturating_sub(started.at))
    }
}

/// What a round has changed: the running units and the saved checkpoints of the jobs whose plans it has edited.
#[derive(Debug, Default)]
pub struct Changes {
    /// Running units by job.
    pub started: Vec<(JobId, StartedOfJob)>,
    /// Saved checkpoints by job.
    pub saved: Vec<(JobId, SavedOfJob)>,
}

/// Finds the running units and the saved checkpoints of the jobs whose plans a round has edited. Of a job that has ended
/// nothing is kept.
#[must_use]
pub fn observe_changes(completion: &Completion<'_>, draft: &Draft<'_>) -> Changes {
    let mut changes = Changes::default();
    for (id, plan) in draft.changed_plans() {
        let job = draft.table.jobs.get(id).filter(|_| !plan.status.is_final());
        let started = job.map(|job| started_units(completion, &job.submission, plan));
        let saved = job.map(|_| completion.saved_of_plan(id, plan));
        changes.started.push((id.clone(), started.unwrap_or_default()));
        changes.saved.push((id.clone(), saved.unwrap_or_default()));
    }
    changes
}

fn started_units(
    completion: &Completion<'_>,
    submission: &Submission,
    plan: &JobPlan,
) -> StartedOfJob {
    let mut started = StartedOfJob::new();
    for occurrence in &plan.open {
        let steps = occurrence.steps.iter().zip(&submission.steps).enumerate();
        for (number, (tasks, step)) in steps.filter(|(_, (_, step))| !step.long_running) {
            let size = if step.gang { tasks.len().max(1) } else { 1 };
            for (index, unit) in tasks.chunks(size).enumerate() {
                let index = (index * size) as u32;
                let id = UnitId { occurrence: occurrence.number, step: number as u32, index };
                started.extend(started_unit(completion, submission, id, unit).map(|of| (id, of)));
            }
        }
    }
    started
}

/// Returns a unit if all of it runs in the same attempt: as it was noted before, or else as it starts now.
fn started_unit(
    completion: &Completion<'_>,
    submission: &Submission,
    unit: UnitId,
    tasks: &[TaskPlan],
) -> Option<StartedUnit> {
    let attempt = tasks.first()?.attempt;
    let is_running =
        |task: &TaskPlan| task.status == TaskStatus::Running && task.attempt == attempt;
    if !tasks.iter().all(is_running) {
        return None;
    }
    if let Some(known) = completion.state.started.get(&submission.id, unit, attempt) {
        return Some(*known);
    }
    let first = TaskId {
        job: submission.id.clone(),
        occurrence: unit.occurrence,
        step: unit.step,
        index: unit.index,
    };
    let step = submission.steps.get(unit.step as usize)?;
    let expected = completion.duration_of_unit(submission, step, &first, tasks);
    Some(StartedUnit { attempt, at: completion.inputs.now, expected })
}

impl Completion<'_> {
    /// Returns how long the run of a unit takes as a whole at the workers to which its tasks are assigned.
    fn duration_of_unit(
        &self,
        submission: &Submission,
        step: &Step,
        first: &TaskId,
        tasks: &[TaskPlan],
    ) -> Estimate {
        let ids = (first.index..).map(|index| TaskId { index, ..first.clone() });
        let saved = self.saved_of(step.gang, ids.zip(tasks));
        let workers: Vec<_> = tasks.iter().map(|task| &task.instance).collect();
        self.duration_on(&Batch { submission, step, saved }, &workers)
    }
}

/// The actual and the estimated duration of a unit, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Outcome {
    actual_ms: u64,
    estimated_ms: u64,
}

impl Outcome {
    fn ratio(self) -> f64 {
        self.actual_ms as f64 / self.estimated_ms.max(1) as f64
    }
}

/// The end of a unit that has done its work.
#[derive(Clone, Debug)]
pub struct Observation {
    task: TaskId,
    attempt: u32,
    members: usize,
    queue: QueueName,
    priority: u32,
    /// By the forecast when the unit started.
    forecast: Outcome,
    /// Range of the forecast, in milliseconds.
    range: (u64, u64),
    /// By the first rate of its slowest member.
    rate: Option<Outcome>,
}

/// Finds the units that have done their work since the last round. Stopped, failed and long-running ones say nothing of
/// durations.
#[must_use]
pub fn observe_ends(completion: &Completion<'_>) -> Vec<Observation> {
    let mut counted = BTreeSet::new();
    let mut observations = Vec::new();
    let ends = completion.inputs.table.ends.values();
    for end in ends.filter(|end| end.reason == EndReason::Done) {
        let Some(ended) = EndedUnit::of(completion, end) else { continue };
        if counted.insert((&end.task.job, UnitId::of(&end.task, ended.step.gang))) {
            observations.extend(ended.observe(completion));
        }
    }
    observations
}

/// A unit of which a run has done its work.
struct EndedUnit<'a> {
    end: &'a RunEnd,
    submission: &'a Submission,
    step: &'a Step,
    first: TaskId,
    tasks: &'a [TaskPlan],
}

impl<'a> EndedUnit<'a> {
    /// Returns the unit of an end, if the end is that of a current run and the first one of its gang.
    fn of(completion: &Completion<'a>, end: &'a RunEnd) -> Option<Self> {
        let job = completion.inputs.table.jobs.get(&end.task.job)?;
        let step = job.submission.steps.get(end.task.step as usize)?;
        let open = &job.plan.as_ref()?.open;
        let occurrence = open.iter().find(|open| open.number == end.task.occurrence)?;
        let tasks = occurrence.steps.get(end.task.step as usize)?;
        let own = tasks.get(end.task.index as usize)?;
        let is_current = own.may_be_running() && own.attempt == end.attempt;
        let is_first = !step.gang || tasks.iter().all(|task| task.status != TaskStatus::Done);
        let first =
            TaskId { index: if step.gang { 0 } else { end.task.index }, ..end.task.clone() };
        let tasks = if step.gang { tasks.as_slice() } else { std::slice::from_ref(own) };
        let unit = Self { end, submission: &job.submission, step, first, tasks };
        (is_current && is_first && !step.long_running).then_some(unit)
    }

    fn observe(&self, completion: &Completion<'_>) -> Option<Observation> {
        let by_rate = self.by_rate(completion);
        let unit = UnitId::of(&self.first, self.step.gang);
        let started = completion.state.started.get(&self.first.job, unit, self.end.attempt);
        let (actual_ms, expected) = if let Some(started) = started {
            let ran = completion.inputs.now.saturating_sub(started.at);
            (ran.as_millis() as u64, started.expected)
        } else {
            // It started under an earlier leader.
            let duration =
                completion.duration_of_unit(self.submission, self.step, &self.first, self.tasks);
            (self.reported_ms(completion)?, duration)
        };
        Some(Observation {
            task: self.end.task.clone(),
            attempt: self.end.attempt,
            members: self.tasks.len(),
            queue: self.submission.queue.clone(),
            priority: self.submission.priority,
            forecast: Outcome { actual_ms, estimated_ms: expected.ms },
            range: (expected.early_ms, expected.late_ms),
            rate: by_rate,
        })
    }

    fn paces(&self, completion: &Completion<'a>) -> impl Iterator<Item = &'a super::pace::Pace> {
        let progress = completion.inputs.progress;
        let ids = (self.first.index..).zip(self.tasks);
        let runs = ids.filter_map(move |(index, task)| {
            let id = TaskId { index, ..self.first.clone() };
            progress.run(&task.instance, &id, task.attempt)
        });
        runs.map(|seen| &seen.pace)
    }

    /// Returns the time that the unit has run by the reports of its agents, in milliseconds.
    fn reported_ms(&self, completion: &Completion<'a>) -> Option<u64> {
        let ran = self.paces(completion).map(|pace| pace.ran(completion.now));
        ran.max().map(|ran| ran.as_millis() as u64)
    }

    /// Returns the outcome of the estimate by the first rates of the members; the slowest one counts.
    fn by_rate(&self, completion: &Completion<'a>) -> Option<Outcome> {
        let estimated_ms =
            self.paces(completion).filter_map(super::pace::Pace::first_total_ms).max()?;
        Some(Outcome { actual_ms: self.reported_ms(completion)?, estimated_ms })
    }
}

impl Observation {
    /// Records the errors of the estimates, in the metrics and in what later ranges follow from, and logs those of
    /// priority 0.
    pub fn record(&self, spreads: &mut ErrorSpreads) {
        let forecast = self.forecast;
        metrics().observe_estimate_error(Source::Forecast.name(), forecast.ratio());
        spreads.add_forecast(&self.queue, forecast.actual_ms, forecast.estimated_ms);
        if let Some(rate) = self.rate {
            metrics().observe_estimate_error(Source::Rate.name(), rate.ratio());
            spreads.add_rate(rate.actual_ms, rate.estimated_ms);
        }
        if self.priority == 0 {
            self.log();
        }
    }

    fn log(&self) {
        log::info!(
            "event=J190 estimate checked task={} attempt={} members={} actual_ms={} forecast_ms={} early_ms={} late_ms={} rate_ms={}",
            self.task,
            self.attempt,
            self.members,
            self.forecast.actual_ms,
            self.forecast.estimated_ms,
            self.range.0,
            self.range.1,
            self.rate.map_or(-1, |rate| rate.estimated_ms as i64)
        );
    }
}
