//! Progress of all runs, as reported by the agents.

use std::collections::BTreeMap;
use std::iter::Peekable;
use std::time::Duration;

use tokio::time::Instant;

use crate::follower::Sink;
use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::record::{KeyedRecord, ProgressReport, RunProgress};

use super::completion::pace::Pace;

/// A run's latest progress.
#[derive(Clone, Debug)]
pub struct ObservedProgress {
    /// Progress, 0 to 100.
    pub percent: u32,
    /// When this percentage was first reported.
    pub unchanged_since: Instant,
    /// When its agent first saw the run.
    pub first_seen: Instant,
    /// Its latest checkpoint.
    pub checkpoint: Checkpoint,
    /// Its worker.
    pub instance: InstanceId,
    /// Rate of its progress.
    pub rate: Rate,
    /// Pace of the run, by all of its reports.
    pub pace: Pace,
}

/// Rate of a run's progress, measured between two reports of its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Percent a second over the last interval, if one was measured.
    pub percent_per_s: Option<f64>,
    /// Number of measured intervals.
    pub intervals: u32,
    begin_percent: u32,
    begin_ran_ms: u64,
}

/// Shortest interval over which a rate is measured.
const MIN_INTERVAL_MS: u64 = 900;

impl Rate {
    fn begin(run: &RunProgress) -> Self {
        Self { begin_percent: run.percent, begin_ran_ms: run.ran_ms, ..Self::default() }
    }

    /// Returns the rate after another report on the run.
    fn advance(self, run: &RunProgress) -> Self {
        let Some(interval) = run.ran_ms.checked_sub(self.begin_ran_ms) else {
            // The agent process was restarted, so it counts the run's time anew.
            return Self::begin(run);
        };
        if interval < MIN_INTERVAL_MS || run.percent >= FULL_PERCENT {
            return self;
        }
        let gained = run.percent.saturating_sub(self.begin_percent);
        Self {
            percent_per_s: Some(f64::from(gained) * 1000.0 / interval as f64),
            intervals: self.intervals + 1,
            begin_percent: run.percent,
            begin_ran_ms: run.ran_ms,
        }
    }
}

/// Progress of a run that is done or waits for the other members of its gang, in percent.
pub const FULL_PERCENT: u32 = 100;

/// A run and its progress.
#[derive(Clone, Debug)]
struct ObservedRun {
    task: TaskId,
    attempt: u32,
    seen: ObservedProgress,
}

impl ObservedRun {
    fn matches(&self, task: &TaskId, attempt: u32) -> bool {
        // The numbers are compared first: the runs of a worker are often tasks of one job.
        self.attempt == attempt
            && self.task.index == task.index
            && self.task.step == task.step
            && self.task.occurrence == task.occurrence
            && self.task.job == task.job
    }
}

/// The known runs of a worker.
#[derive(Clone, Copy, Debug)]
pub struct RunsAt<'a> {
    listed: &'a [ObservedRun],
    /// Runs that are no longer reported.
    ended: &'a [ObservedRun],
}

impl<'a> RunsAt<'a> {
    /// Returns the progress of a run, if it is among them.
    pub fn find(&self, task: &TaskId, attempt: u32) -> Option<&'a ObservedProgress> {
        let mut runs = self.listed.iter().chain(self.ended);
        runs.find(|run| run.matches(task, attempt)).map(|run| &run.seen)
    }
}

/// An agent's latest report.
#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    silent: Duration,
    /// The runs that it lists.
    runs: Vec<ObservedRun>,
}

/// How recent an agent's latest report is, and what it says of the worker.
#[derive(Clone, Copy, Debug)]
pub struct ReportView {
    /// Time since the agent's last report, as far as reports could be read.
    pub age: Duration,
    /// Time for which the worker hadn't answered the agent when it reported.
    pub silent: Duration,
    /// Whether the agent has reported since the end of the last outage of the reports.
    pub has_reported: bool,
}

/// Progress of all runs.
#[derive(Debug, Default)]
pub struct ProgressTable {
    reports: BTreeMap<InstanceId, Report>,
    /// Runs that are no longer reported, by worker.
    ended: BTreeMap<InstanceId, Vec<ObservedRun>>,
    /// Incremented with each report.
    version: u64,
    /// End of the last outage of the reports: a report from before may be missing only because it couldn't be read.
    readable_since: Option<Instant>,
    last_read: Option<Instant>,
}

/// Longest time between two reads; after a longer one the ages of reports say nothing about the agents.
const MAX_READ_GAP: Duration = Duration::from_millis(1500);

impl ProgressTable {
    /// Records that the reports could be read at a time.
    pub fn note_read(&mut self, now: Instant) {
        let gap = self.last_read.is_none_or(|last| now - last > MAX_READ_GAP);
        if gap {
            self.readable_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Returns a number that is incremented with each report.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns how recent the latest report on a worker is, and how long the worker has been silent.
    pub fn report(&self, instance: &str, now: Instant) -> ReportView {
        let report = self.reports.get(instance);
        let silent = report.map_or(Duration::ZERO, |report| report.silent);
        let Some(readable) = self.readable_since else {
            return ReportView { age: Duration::ZERO, silent, has_reported: false };
        };
        let received = report.map_or(readable, |report| report.received_at);
        let is_readable = self.last_read.is_some_and(|last| now - last <= MAX_READ_GAP);
        let age = now.saturating_duration_since(received.max(readable));
        ReportView {
            age: if is_readable { age } else { Duration::ZERO },
            silent,
            has_reported: received > readable,
        }
    }

    /// Returns when the latest report on a worker was received.
    pub fn reported_at(&self, instance: &str) -> Option<Instant> {
        self.reports.get(instance).map(|report| report.received_at)
    }

    /// Returns the progress of a run at a worker.
    pub fn run(&self, instance: &str, task: &TaskId, attempt: u32) -> Option<&ObservedProgress> {
        self.runs_at(instance).find(task, attempt)
    }

    /// Returns the known runs of a worker.
    pub fn runs_at(&self, instance: &str) -> RunsAt<'_> {
        RunsAt {
            listed: self.reports.get(instance).map_or(&[], |report| &report.runs),
            ended: self.ended.get(instance).map_or(&[], Vec::as_slice),
        }
    }

    /// Returns the known runs of each of some workers, which are given in the order of their ids. Passes over the workers
    /// once, where a search for each costs more than what is then done with their runs.
    pub fn runs_at_each<'a>(
        &'a self,
        instances: impl Iterator<Item = &'a InstanceId>,
    ) -> Vec<RunsAt<'a>> {
        let mut reports = self.reports.iter().peekable();
        let mut ended = self.ended.iter().peekable();
        let runs = instances.map(|instance| RunsAt {
            listed: next_at(&mut reports, instance).map_or(&[], |report| &report.runs),
            ended: next_at(&mut ended, instance).map_or(&[], Vec::as_slice),
        });
        runs.collect()
    }

    /// Iterates over all known runs, first the reported ones and then those no longer reported.
    pub fn runs(&self) -> impl Iterator<Item = (&TaskId, u32, &ObservedProgress)> {
        let listed = self.reports.values().flat_map(|report| &report.runs);
        let ended = self.ended.values().flatten();
        listed.chain(ended).map(|run| (&run.task, run.attempt, &run.seen))
    }

    /// Returns the time for which a run's reported progress hasn't changed. Time without reports doesn't count.
    pub fn unchanged_for(&self, seen: &ObservedProgress) -> Duration {
        let report = self.reports.get(&seen.instance);
        report.map_or(Duration::ZERO, |r| {
            r.received_at.saturating_duration_since(seen.unchanged_since)
        })
    }

    /// Applies a report.
    pub fn insert(&mut self, instance: &str, report: ProgressReport, now: Instant) {
        self.version += 1;
        let mut before = self.reports.remove(instance).map_or_else(Vec::new, |known| known.runs);
        before.append(self.ended.entry(instance.to_owned()).or_default());
        let mut runs = Vec::with_capacity(report.runs.len());
        for run in report.runs {
            let place = before.iter().position(|known| known.matches(&run.task, run.attempt));
            let known = place.map(|place| before.swap_remove(place).seen);
            runs.push(Self::advance(instance, known.as_ref(), run, now));
        }
        self.retain_ended(instance, before, now);
        let silent = Duration::from_millis(report.silent_ms);
        self.reports.insert(instance.to_owned(), Report { received_at: now, silent, runs });
    }

    fn advance(
        instance: &str,
        known: Option<&ObservedProgress>,
        run: RunProgress,
        now: Instant,
    ) -> ObservedRun {
        let rate = known.map_or_else(|| Rate::begin(&run), |seen| seen.rate.advance(&run));
        let pace = known.map_or_else(|| Pace::begin(&run, now), |seen| seen.pace.after(&run, now));
        let is_saved = known.is_none_or(|seen| seen.checkpoint == run.checkpoint);
        let pace = if is_saved { pace } else { pace.with_new_checkpoint() };
        let same = known.filter(|seen| seen.percent == run.percent);
        let seen = ObservedProgress {
            percent: run.percent,
            unchanged_since: same.map_or(now, |seen| seen.unchanged_since),
            first_seen: known.map_or_else(|| first_seen_at(&run, now), |seen| seen.first_seen),
            checkpoint: run.checkpoint,
            instance: instance.to_owned(),
            rate,
            pace,
        };
        ObservedRun { task: run.task, attempt: run.attempt, seen }
    }

    /// Keeps runs that are no longer reported for [`ENDED_RETENTION`].
    fn retain_ended(&mut self, instance: &str, mut over: Vec<ObservedRun>, now: Instant) {
        over.retain(|run| {
            now.saturating_duration_since(run.seen.unchanged_since) < ENDED_RETENTION
        });
        if over.is_empty() {
            self.ended.remove(instance);
        } else {
            self.ended.insert(instance.to_owned(), over);
        }
    }

    /// Removes a worker's report, and keeps its runs with their checkpoints for a while.
    fn forget(&mut self, instance: &str, now: Instant) {
        self.version += 1;
        let mut runs = self.reports.remove(instance).map_or_else(Vec::new, |known| known.runs);
        runs.extend(self.ended.remove(instance).unwrap_or_default());
        self.retain_ended(instance, runs, now);
    }
}

/// Advances a sorted sequence to a worker, and returns its entry if there is one.
fn next_at<'a, T>(
    entries: &mut Peekable<impl Iterator<Item = (&'a InstanceId, &'a T)>>,
    instance: &InstanceId,
) -> Option<&'a T> {
    while entries.next_if(|(known, _)| *known < instance).is_some() {}
    entries.next_if(|(known, _)| *known == instance).map(|(_, entry)| entry)
}

/// Returns when a run was first seen by its agent, computed from the report, so that a planner that takes over
/// knows the ages of runs.
fn first_seen_at(run: &RunProgress, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(run.ran_ms)).unwrap_or(now)
}

/// Time for which the progress of a run that is no longer reported is kept, for its checkpoint.
const ENDED_RETENTION: Duration = Duration::from_secs(30);

impl Sink for ProgressTable {
    fn reset(&mut self) {}

    fn apply(&mut self, record: &KeyedRecord) {
        if record.value.is_empty() {
            self.forget(&record.key, Instant::now());
            return;
        }
        match postcard::from_bytes(&record.value) {
            Ok(report) => self.insert(&record.key, report, Instant::now()),
            Err(error) => log::warn!("event=J104 report unreadable key={} {error}", record.key),
        }
    }
}
