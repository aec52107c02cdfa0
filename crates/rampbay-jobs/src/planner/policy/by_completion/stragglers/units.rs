//! The runs of a step, as far as their reports show that they hold it up.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::{InstanceId, JobId, Step, Submission, TaskId};
use crate::plan::{JobPlan, TaskPlan, TaskStatus};
use crate::planner::StepKey;
use crate::planner::completion::Source;
use crate::planner::completion::saved::Saved;
use crate::planner::policy::RoundEnd;
use crate::planner::progress::{FULL_PERCENT, ObservedProgress};

use super::calm::MAX_REPORT_AGE;

/// Time for which a run has gone on before it is moved: its rate is known by three reports. Each further second is lost
/// with the run if it is moved.
const MIN_RUN_TIME: Duration = Duration::from_secs(2);
/// Longest time for which a run is expected to be slow and to recover then: twice the 6 s for which tasks stand still, as
/// for stalled runs.
const SLOW_TIME: Duration = Duration::from_secs(12);
/// Factor between members' rates, or the slowness of their workers, from which one of them is the slow one: half of the
/// difference between the two kinds of workers.
const SLOW_FACTOR: f64 = 1.5;

/// The tasks of a step in one occurrence.
#[derive(Clone, Copy)]
pub struct StepRuns<'a> {
    /// The job.
    pub job: &'a JobId,
    /// The job's submission.
    pub submission: &'a Rc<Submission>,
    /// The job's plan.
    pub plan: &'a JobPlan,
    /// The occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub number: u32,
    /// The step.
    pub step: &'a Step,
    /// The plans of its tasks.
    pub tasks: &'a [TaskPlan],
}

impl StepRuns<'_> {
    /// Returns the id of a task.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job.clone(), occurrence: self.occurrence, step: self.number, index }
    }

    /// Returns the key of the step.
    pub fn key(&self) -> StepKey {
        (self.job.clone(), self.occurrence, self.number)
    }

    /// Returns the numbers of the tasks that aren't done, if all of them run.
    pub fn all_running(&self) -> Option<Vec<u32>> {
        let open =
            self.tasks.iter().enumerate().filter(|(_, task)| task.status != TaskStatus::Done);
        let running =
            open.map(|(index, task)| (task.status == TaskStatus::Running).then_some(index as u32));
        running.collect()
    }
}

/// A gang or a single run with a known rate.
#[derive(Clone, Debug)]
pub struct Unit {
    /// Numbers of its tasks.
    pub tasks: Vec<u32>,
    /// Workers of its tasks.
    pub workers: Vec<InstanceId>,
    /// Its slow worker.
    pub slow: InstanceId,
    /// Expected remaining time, in milliseconds.
    pub remaining_ms: u64,
    /// Time for which it has run since what its checkpoint holds, in milliseconds.
    pub unsaved_ms: u64,
    /// What its checkpoint holds.
    pub saved: Saved,
}

/// A member with its progress.
struct Member<'a> {
    id: TaskId,
    task: &'a TaskPlan,
    seen: &'a ObservedProgress,
    percent_per_s: f64,
}

impl Unit {
    /// Returns a unit, or `None` if not all of its members have a known rate, or the slow one isn't known. `average_ms` is
    /// the time that a task takes on an average worker.
    pub fn of(
        end: &RoundEnd<'_>,
        step: &StepRuns<'_>,
        tasks: Vec<u32>,
        average_ms: u64,
    ) -> Option<Self> {
        let members: Option<Vec<Member<'_>>> =
            tasks.iter().map(|&index| Member::of(end, step, index)).collect();
        let members = members?;
        let slow = slow_member(end, &members)?;
        let ids: Vec<TaskId> = members.iter().map(|member| member.id.clone()).collect();
        let by_rate = end.round.completion.remaining(&ids, step.plan)?;
        let now = Instant::now();
        let by_mean_rate = members.iter().map(|member| member.remaining_by_mean_ms(now)).max()?;
        let recovering = members.iter().map(|member| member.recovering_ms(end, now, average_ms));
        let recovering = recovering.max()?;
        let saved = members.iter().map(|member| member.saved(end, step.step)).max()?;
        let unsaved = members.iter().map(|member| member.unsaved_ms(now, saved)).max()?;
        (by_rate.source == Source::Rate).then(|| Self {
            tasks,
            workers: members.iter().map(|member| member.task.instance.clone()).collect(),
            slow,
            // A run that was faster before, or hasn't gone on for long, may be slow for some seconds only.
            remaining_ms: by_rate.ms.min(by_mean_rate).min(recovering),
            unsaved_ms: unsaved,
            saved,
        })
    }
}

impl<'a> Member<'a> {
    fn of(end: &RoundEnd<'a>, step: &StepRuns<'a>, index: u32) -> Option<Self> {
        let now = Instant::now();
        let id = step.task(index);
        let task = step.tasks.get(index as usize)?;
        let seen = end.round.inputs.progress.run(&task.instance, &id, task.attempt)?;
        let report = end.round.inputs.progress.report(&task.instance, now);
        let is_recent = report.has_reported
            && report.age.max(report.silent) <= MAX_REPORT_AGE
            && seen.pace.observed_ago(now) <= MAX_REPORT_AGE;
        let has_rate = is_recent
            && seen.pace.ran(now) >= MIN_RUN_TIME
            && (1..FULL_PERCENT).contains(&seen.pace.percent());
        let percent_per_s = seen.pace.percent_per_s().filter(|_| has_rate)?;
        Some(Self { id, task, seen, percent_per_s })
    }

    /// Returns the remaining time by the mean rate since the start of the run.
    fn remaining_by_mean_ms(&self, now: Instant) -> u64 {
        let ran_ms = self.seen.pace.ran(now).as_millis() as u64;
        let percent = u64::from(self.seen.pace.percent());
        ran_ms * (u64::from(FULL_PERCENT) - percent) / percent
    }

    /// Returns the remaining time if the worker has turned slow when the run started, and will be at its usual pace
    /// after [`SLOW_TIME`]; the longest time once that has passed.
    fn recovering_ms(&self, end: &RoundEnd<'_>, now: Instant, average_ms: u64) -> u64 {
        let Some(slow_for) = SLOW_TIME.checked_sub(self.seen.pace.ran(now)) else {
            return u64::MAX;
        };
        let left = FULL_PERCENT.saturating_sub(self.seen.pace.percent());
        let slowness = end.slowness(&self.task.instance).unwrap_or(1.0);
        let left_ms = average_ms as f64 * slowness * f64::from(left) / f64::from(FULL_PERCENT);
        slow_for.as_millis() as u64 + left_ms as u64
    }

    /// Returns what the latest checkpoint holds that was reported, or from which the run continues.
    fn saved(&self, end: &RoundEnd<'_>, step: &Step) -> Saved {
        let before = end.round.completion.saved(&self.id, self.task);
        let is_newer = step.checkpointing
            && !self.seen.checkpoint.is_empty()
            && self.seen.checkpoint != self.task.checkpoint;
        if !is_newer {
            return before;
        }
        let percent = self.seen.pace.checkpoint_percent().max(before.percent);
        Saved { percent, has_checkpoint: true }
    }

    /// Returns the time in which the work was done that a stop loses.
    fn unsaved_ms(&self, now: Instant, saved: Saved) -> u64 {
        let ran_ms = self.seen.pace.ran(now).as_millis() as u64;
        let unsaved = f64::from(self.seen.pace.percent().saturating_sub(saved.percent));
        ran_ms.min((unsaved * 1000.0 / self.percent_per_s.max(f64::MIN_POSITIVE)) as u64)
    }
}

/// Returns the worker of the slow member: of a single run its own. Of a gang it is the one whose rate is lowest or, since
/// all may go at the pace of the slowest one, the one that is slow now or is the slower machine. Returns `None` if it
/// isn't known, since the gang might be placed there again.
fn slow_member(end: &RoundEnd<'_>, members: &[Member<'_>]) -> Option<InstanceId> {
    if let [single] = members {
        return Some(single.task.instance.clone());
    }
    let rates = || members.iter().map(|member| member.percent_per_s);
    let fastest = rates().fold(0.0, f64::max);
    let slowest = members.iter().min_by(|a, b| a.percent_per_s.total_cmp(&b.percent_per_s))?;
    if fastest >= slowest.percent_per_s * SLOW_FACTOR {
        return Some(slowest.task.instance.clone());
    }
    let mut slow_now = members.iter().filter(|member| end.is_slow(&member.task.instance));
    if let Some(slow) = slow_now.next() {
        return Some(slow.task.instance.clone());
    }
    let known: Vec<(f64, &InstanceId)> = members
        .iter()
        .filter_map(|member| Some((end.slowness(&member.task.instance)?, &member.task.instance)))
        .collect();
    let least = known.iter().map(|(slowness, _)| *slowness).fold(f64::INFINITY, f64::min);
    let (most, worker) = known.iter().max_by(|one, other| one.0.total_cmp(&other.0))?;
    (*most >= least * SLOW_FACTOR).then(|| (*worker).clone())
}
