//! Progress of all runs, as the agents report it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::follower::Sink;
use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::record::{KeyedRecord, ProgressReport, RunProgress};

/// A run's latest progress.
#[derive(Clone, Debug)]
pub struct ObservedProgress {
    /// How far it is, 0 to 100.
    pub percent: u32,
    /// When it came there.
    pub unchanged_since: Instant,
    /// When its agent saw it first.
    pub first_seen: Instant,
    /// What it saved last.
    pub checkpoint: Checkpoint,
    /// Where it runs.
    pub instance: InstanceId,
    /// How fast it gets on.
    pub rate: Rate,
}

/// How fast a run gets on, measured between two of its agent's listings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rate {
    /// Percent a second over the last interval, if there was one.
    pub percent_per_s: Option<f64>,
    /// Number of intervals.
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

    /// Takes in where the run is now.
    fn advance(self, run: &RunProgress) -> Self {
        let Some(interval) = run.ran_ms.checked_sub(self.begin_ran_ms) else {
            // Its agent has started again.
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

/// Progress of a run that is done, or waits for the other members of its gang.
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
        self.attempt == attempt && self.task == *task
    }
}

/// The runs that are known at a worker.
#[derive(Clone, Copy, Debug)]
pub struct RunsAt<'a> {
    listed: &'a [ObservedRun],
    /// Runs that are listed no longer.
    ended: &'a [ObservedRun],
}

impl<'a> RunsAt<'a> {
    /// Returns the progress of one of them.
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
    /// What it lists.
    runs: Vec<ObservedRun>,
}

/// What an agent's latest report says of it.
#[derive(Clone, Copy, Debug)]
pub struct ReportView {
    /// How long the agent hasn't reported, while reports could be read.
    pub age: Duration,
    /// How long its worker hadn't answered it at the report.
    pub silent: Duration,
    /// Whether it has reported since reports could last be read again.
    pub has_reported: bool,
}

/// Progress of all runs.
#[derive(Debug, Default)]
pub struct ProgressTable {
    reports: BTreeMap<InstanceId, Report>,
    /// Runs that are listed no longer, by their workers.
    ended: BTreeMap<InstanceId, Vec<ObservedRun>>,
    /// Rises with each report.
    version: u64,
    /// Reports older than this time may be missing only because none could be read.
    readable_since: Option<Instant>,
    last_read: Option<Instant>,
}

/// Time between reads beyond which the reports' ages say nothing about the agents.
const MAX_READ_GAP: Duration = Duration::from_millis(1500);

impl ProgressTable {
    /// Takes note that the reports could be read at this time.
    pub fn note_read(&mut self, now: Instant) {
        let gap = self.last_read.is_none_or(|last| now - last > MAX_READ_GAP);
        if gap {
            self.readable_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Returns a number that rises with each report.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns what an agent's latest report says of it.
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

    /// Returns when the latest report on a worker came.
    pub fn reported_at(&self, instance: &str) -> Option<Instant> {
        self.reports.get(instance).map(|report| report.received_at)
    }

    /// Returns the progress of a run at a worker.
    pub fn run(&self, instance: &str, task: &TaskId, attempt: u32) -> Option<&ObservedProgress> {
        self.runs_at(instance).find(task, attempt)
    }

    /// Returns the runs that are known at a worker.
    pub fn runs_at(&self, instance: &str) -> RunsAt<'_> {
        RunsAt {
            listed: self.reports.get(instance).map_or(&[], |report| &report.runs),
            ended: self.ended.get(instance).map_or(&[], Vec::as_slice),
        }
    }

    /// Iterates over all runs that are known, worker by worker.
    pub fn runs(&self) -> impl Iterator<Item = (&TaskId, u32, &ObservedProgress)> {
        let listed = self.reports.values().flat_map(|report| &report.runs);
        let ended = self.ended.values().flatten();
        listed.chain(ended).map(|run| (&run.task, run.attempt, &run.seen))
    }

    /// Returns how long a run's reports have said the same. Time without reports doesn't count.
    pub fn unchanged_for(&self, seen: &ObservedProgress) -> Duration {
        let report = self.reports.get(&seen.instance);
        report.map_or(Duration::ZERO, |r| {
            r.received_at.saturating_duration_since(seen.unchanged_since)
        })
    }

    /// Takes in a report.
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
        let same = known.filter(|seen| seen.percent == run.percent);
        let seen = ObservedProgress {
            percent: run.percent,
            unchanged_since: same.map_or(now, |seen| seen.unchanged_since),
            first_seen: known.map_or_else(|| first_seen_at(&run, now), |seen| seen.first_seen),
            checkpoint: run.checkpoint,
            instance: instance.to_owned(),
            rate,
        };
        ObservedRun { task: run.task, attempt: run.attempt, seen }
    }

    /// Keeps runs that are listed no longer for a while.
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

    /// Forgets a worker's report, and keeps for a while what its runs saved.
    fn forget(&mut self, instance: &str, now: Instant) {
        self.version += 1;
        let mut runs = self.reports.remove(instance).map_or_else(Vec::new, |known| known.runs);
        runs.extend(self.ended.remove(instance).unwrap_or_default());
        self.retain_ended(instance, runs, now);
    }
}

/// Returns when a run was first seen by its agent. A planner that takes over so knows how old runs are.
fn first_seen_at(run: &RunProgress, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(run.ran_ms)).unwrap_or(now)
}

/// How long the progress of a run that is no longer listed is kept, for its checkpoint.
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
