//! Progress of all runs, as the agents report it.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::follower::Sink;
use crate::job::{Checkpoint, InstanceId, TaskId};
use crate::record::{KeyedRecord, ProgressReport, RunProgress};

/// A run's latest progress.
#[derive(Clone, Debug)]
pub struct Seen {
    /// How far it is, 0 to 100.
    pub percent: u32,
    /// When it came there.
    pub since: Instant,
    /// When it was seen first.
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
const SHORTEST_INTERVAL_MS: u64 = 900;

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
        if interval < SHORTEST_INTERVAL_MS || run.percent >= FULL_PERCENT {
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

/// An agent's latest report.
#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    silent: Duration,
}

/// Progress of all runs.
#[derive(Debug, Default)]
pub struct ProgressTable {
    runs: BTreeMap<(TaskId, u32), Seen>,
    reports: BTreeMap<InstanceId, Report>,
    /// Reports older than this time may be missing only because none could be read.
    readable_since: Option<Instant>,
    last_read: Option<Instant>,
}

/// Time between reads beyond which the reports' ages say nothing about the agents.
const READ_GAP: Duration = Duration::from_millis(1500);

impl ProgressTable {
    /// Takes note that the reports could be read at this time.
    pub fn note_read(&mut self, now: Instant) {
        let gap = self.last_read.is_none_or(|last| now - last > READ_GAP);
        if gap {
            self.readable_since = Some(now);
        }
        self.last_read = Some(now);
    }

    /// Returns how long an agent hasn't reported, while reports could be read.
    pub fn report_age(&self, instance: &str, now: Instant) -> Duration {
        let Some(readable) = self.readable_since else { return Duration::ZERO };
        if self.last_read.is_none_or(|last| now - last > READ_GAP) {
            return Duration::ZERO;
        }
        let received = self.reports.get(instance).map_or(readable, |report| report.received_at);
        now.saturating_duration_since(received.max(readable))
    }

    /// Returns whether an agent has reported since reports could last be read again.
    pub fn is_heard(&self, instance: &str) -> bool {
        let Some(readable) = self.readable_since else { return false };
        self.reports.get(instance).is_some_and(|report| report.received_at > readable)
    }

    /// Returns how long a worker hadn't answered its agent at the last report.
    pub fn silent(&self, instance: &str) -> Duration {
        self.reports.get(instance).map_or(Duration::ZERO, |report| report.silent)
    }

    /// Returns a run's progress.
    pub fn run(&self, task: &TaskId, attempt: u32) -> Option<&Seen> {
        self.runs.get(&(task.clone(), attempt))
    }

    /// Iterates over all runs that are known.
    pub fn runs(&self) -> impl Iterator<Item = (&(TaskId, u32), &Seen)> {
        self.runs.iter()
    }

    /// Returns how long a run's reports have said the same. Time without reports doesn't count.
    pub fn same_for(&self, seen: &Seen) -> Duration {
        let report = self.reports.get(&seen.instance);
        report.map_or(Duration::ZERO, |r| r.received_at.saturating_duration_since(seen.since))
    }

    /// Takes in a report.
    pub fn insert(&mut self, instance: &str, report: ProgressReport, now: Instant) {
        let silent = Duration::from_millis(report.silent_ms);
        self.reports.insert(instance.to_owned(), Report { received_at: now, silent });
        self.runs.retain(|(task, attempt), seen| {
            seen.instance != instance
                || report.runs.iter().any(|run| run.task == *task && run.attempt == *attempt)
                || now.saturating_duration_since(seen.since) < KEEP_ENDED
        });
        for run in report.runs {
            let key = (run.task.clone(), run.attempt);
            let before = self.runs.get(&key);
            let rate = before.map_or_else(|| Rate::begin(&run), |seen| seen.rate.advance(&run));
            let first_seen = before.map_or(now, |seen| seen.first_seen);
            let same = before.filter(|seen| seen.percent == run.percent);
            let since = same.map_or(now, |seen| seen.since);
            let seen = Seen {
                percent: run.percent,
                since,
                first_seen,
                checkpoint: run.checkpoint,
                instance: instance.to_owned(),
                rate,
            };
            self.runs.insert(key, seen);
        }
    }

    fn forget(&mut self, instance: &str) {
        self.reports.remove(instance);
    }
}

/// How long the progress of a run that is no longer listed is kept, for its checkpoint.
const KEEP_ENDED: Duration = Duration::from_secs(30);

impl Sink for ProgressTable {
    fn reset(&mut self) {}

    fn apply(&mut self, record: &KeyedRecord) {
        if record.value.is_empty() {
            self.forget(&record.key);
            return;
        }
        match postcard::from_bytes(&record.value) {
            Ok(report) => self.insert(&record.key, report, Instant::now()),
            Err(error) => log::warn!("event=J104 report unreadable key={} {error}", record.key),
        }
    }
}
