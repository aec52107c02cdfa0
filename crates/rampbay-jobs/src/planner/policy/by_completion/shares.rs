//! The order of waiting steps of the same urgency by their workspaces' shares of the fleet.
//!
//! Load: a burst of one workspace, of hundreds of tasks, beside single jobs of others. Usage alone doesn't answer a burst
//! that arrives at once, since nothing of it has run yet. So a step is ranked by what its workspace has used and by the
//! work that waits before the step in the same workspace and urgency, as if that work had been done. A workspace's first
//! step has its workspace's rank, and the later steps of a burst go after the first ones of others. The ranks rise along
//! the order within a workspace, so that this order stays as it is.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::job::{EpochMillis, WorkspaceName};
use crate::metrics::metrics;
use crate::planner::StepKey;
use crate::planner::fair_share::{FairShares, RANK_INTERVAL, WINDOW, WorkspaceUsage};
use crate::planner::policy::{RoundStart, StepOrder, WaitingStep};

/// Time before its latest start from which a step that is in time counts as pressing, in milliseconds. The ranks change
/// twice a second and a task ends every few hundred milliseconds on a fleet of dozens of workers, so room that is
/// given to the step within this time still lets it end in time.
const PRESSING_MS: u64 = 2_000;
/// Highest rank of a pressing step. Fairness needs that the workspaces that haven't used more than the others (rank 0) go
/// before it; it doesn't need that a job ends late for a workspace that has itself used twice its share.
const MAX_PRESSING_RANK: u32 = 1;
/// Time between two measurements of what the workspaces hold. Each reads all runs, a fiftieth of a round's time at 2,500
/// workers; tasks run for seconds, so more of them would tell no more.
const MEASURE_INTERVAL: Duration = Duration::from_millis(250);
/// Largest number of lines on workspaces that go after others within [`RANK_INTERVAL`].
const MAX_LINES: usize = 2;
/// The labels of the largest shares in the metrics.
const PLACES: [&str; 3] = ["first", "second", "third"];

/// Those among which shares are compared: a workspace's steps of the same urgency.
type Group<'a> = (&'a str, (bool, u32));

/// The ranks of the waiting steps in a round, and the usage that they follow from.
#[derive(Debug, Default)]
pub struct ShareOrder {
    shares: FairShares,
    /// When the usage was last measured.
    measured_at: Option<Duration>,
    /// Ranks of the waiting steps, without those of rank 0.
    ranks: HashMap<StepKey, u32>,
    log: ShareLog,
}

impl ShareOrder {
    /// Measures the usage and ranks the waiting steps of a round. `order` is their order without shares.
    pub fn update(&mut self, start: &RoundStart<'_>, order: impl Fn(&WaitingStep) -> StepOrder) {
        let now = start.inputs.now;
        self.measure(start);
        let mut steps: Vec<&WaitingStep> = start.waiting.iter().collect();
        steps.sort_by_cached_key(|step| (step.urgency(), order(step), &step.job));
        let ranks = ranks(&self.shares, &steps, start.inputs.wall);
        self.log.update(&self.shares, &find_passed(&steps, &ranks), now);
        let ranked = steps.iter().zip(ranks).filter(|(_, rank)| *rank > 0);
        self.ranks = ranked.map(|(step, rank)| (step_key(step), rank)).collect();
    }

    /// Measures the usage if the last measurement is old enough.
    fn measure(&mut self, start: &RoundStart<'_>) {
        let now = start.inputs.now;
        let is_recent = |at: Duration| now.saturating_sub(at) < MEASURE_INTERVAL;
        if self.measured_at.is_some_and(is_recent) {
            return;
        }
        self.measured_at = Some(now);
        self.shares.update(now, &usage(start));
        let shares = self.shares.largest_shares(PLACES.len());
        for (index, place) in PLACES.into_iter().enumerate() {
            metrics().set_workspace_share(place, shares.get(index).copied().unwrap_or(0));
        }
    }

    /// Returns the rank of a waiting step; a lower one goes first.
    pub fn rank(&self, waiting: &WaitingStep) -> u32 {
        if self.ranks.is_empty() {
            return 0;
        }
        self.ranks.get(&step_key(waiting)).copied().unwrap_or(0)
    }
}

fn step_key(step: &WaitingStep) -> StepKey {
    (step.job.clone(), step.occurrence, step.step)
}

fn group(step: &WaitingStep) -> Group<'_> {
    (step.submission.workspace.as_str(), step.urgency())
}

/// Lists what the workspaces hold that have runs or waiting steps.
fn usage(start: &RoundStart<'_>) -> Vec<WorkspaceUsage> {
    let mut held: HashMap<&str, u64> = HashMap::new();
    for waiting in start.waiting {
        held.entry(&waiting.submission.workspace).or_default();
    }
    // The runs of a job follow each other.
    let mut job: Option<(&str, u64)> = None;
    for run in start.running() {
        let weight = run.definition().map_or(0, |step| step.charge().weight());
        let workspace = run.submission.workspace.as_str();
        match &mut job {
            Some((last, sum)) if std::ptr::eq(*last, workspace) => *sum += weight,
            _ => {
                if let Some((last, sum)) = job.replace((workspace, weight)) {
                    *held.entry(last).or_default() += sum;
                }
            }
        }
    }
    if let Some((last, sum)) = job {
        *held.entry(last).or_default() += sum;
    }
    let routing = start.inputs.routing;
    let usage = held.into_iter().map(|(workspace, running)| WorkspaceUsage {
        workspace: workspace.to_owned(),
        running,
        guaranteed_devices: routing.guaranteed_devices(workspace),
    });
    usage.collect()
}

/// Ranks steps that are sorted by their order without shares.
fn ranks(shares: &FairShares, steps: &[&WaitingStep], wall: EpochMillis) -> Vec<u32> {
    let mut ahead: HashMap<Group<'_>, u64> = HashMap::new();
    let mut ranks: Vec<u32> = Vec::with_capacity(steps.len());
    for step in steps {
        let before = ahead.entry(group(step)).or_default();
        let behind = *before + work_counted_at_once(step);
        ranks.push(shares.rank_behind(&step.submission.workspace, behind));
        *before += step.work();
    }
    // What goes before a pressing step in its workspace is pressing too, or the order there would change.
    let mut pressing: HashSet<Group<'_>> = HashSet::new();
    for (step, rank) in steps.iter().zip(&mut ranks).rev() {
        if is_pressing(step, wall) {
            pressing.insert(group(step));
        }
        if pressing.contains(&group(step)) {
            *rank = (*rank).min(MAX_PRESSING_RANK);
        }
    }
    ranks
}

/// Returns the work of a step that counts before its own rank: independent tasks in large numbers are a burst by
/// themselves. A gang starts whole or not at all, and a single task can't be divided.
fn work_counted_at_once(step: &WaitingStep) -> u64 {
    if step.definition().gang || step.tasks.len() == 1 { 0 } else { step.work() }
}

const fn is_pressing(step: &WaitingStep, wall: EpochMillis) -> bool {
    wall <= step.latest_start && step.latest_start < wall + PRESSING_MS
}

/// A step that goes after one of another workspace because of the shares.
struct Passed<'a> {
    step: &'a WaitingStep,
    rank: u32,
    /// The step that goes before it.
    by: &'a WaitingStep,
}

/// Finds the first step of each workspace that goes after one behind it in the order without shares.
fn find_passed<'a>(steps: &[&'a WaitingStep], ranks: &[u32]) -> Vec<Passed<'a>> {
    let mut passed: HashMap<&str, Passed<'a>> = HashMap::new();
    let mut lowest: Option<(&WaitingStep, u32)> = None;
    for (step, &rank) in steps.iter().copied().zip(ranks).rev() {
        match lowest {
            Some((by, lower)) if by.urgency() == step.urgency() && lower < rank => {
                passed.insert(&step.submission.workspace, Passed { step, rank, by });
            }
            Some((by, lower)) if by.urgency() == step.urgency() && lower == rank => {}
            _ => lowest = Some((step, rank)),
        }
    }
    let mut passed: Vec<Passed<'a>> = passed.into_values().collect();
    passed.sort_by_key(|passed| &passed.step.submission.workspace);
    passed
}

/// What was logged of workspaces that go after others.
#[derive(Debug, Default)]
struct ShareLog {
    /// When each logged workspace last went after another.
    last_passed: HashMap<WorkspaceName, Duration>,
    /// When the last lines were written, and how many.
    lines: (Duration, usize),
}

impl ShareLog {
    /// Logs a workspace when it first goes after another, and again after it hasn't for [`WINDOW`].
    fn update(&mut self, shares: &FairShares, passed: &[Passed<'_>], now: Duration) {
        metrics().workspaces_behind.set(passed.len() as i64);
        self.last_passed.retain(|_, at| now.saturating_sub(*at) < WINDOW);
        if now.saturating_sub(self.lines.0) >= RANK_INTERVAL {
            self.lines = (now, 0);
        }
        for passed in passed {
            let workspace = &passed.step.submission.workspace;
            if let Some(at) = self.last_passed.get_mut(workspace) {
                *at = now;
            } else if self.lines.1 < MAX_LINES {
                self.lines.1 += 1;
                self.last_passed.insert(workspace.clone(), now);
                write_line(shares, passed);
            }
        }
    }
}

fn write_line(shares: &FairShares, passed: &Passed<'_>) {
    let submission = &passed.step.submission;
    let share = shares.share(&submission.workspace);
    log::info!(
        "event=J195 workspace ordered by share workspace={:?} after={:?} priority={} guaranteed={} job={} before_job={} rank={} workspace_rank={} used_permille={} fair_permille={}",
        submission.workspace,
        passed.by.submission.workspace,
        submission.priority,
        passed.step.guaranteed,
        passed.step.job,
        passed.by.job,
        passed.rank,
        shares.rank(&submission.workspace),
        share.used_permille,
        share.fair_permille
    );
}
