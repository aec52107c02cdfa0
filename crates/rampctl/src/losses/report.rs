//! Counts of what was lost.

use std::collections::BTreeMap;

use serde::Serialize;

use super::history::{JobHistories, JobHistory, Loss};

/// Length of one row of the report, in seconds.
const WINDOW_S: u64 = 10;
/// Milliseconds in a second, and thousandths of a core-second in a core-second.
const MILLI: u64 = 1000;

/// Jobs of one queue that were submitted in the same 10 seconds and have the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LossRow {
    /// Seconds from the first submission of any job to the start of the window.
    pub from_s: u64,
    /// The jobs' queue; empty if they were refused.
    pub queue: String,
    /// Why the jobs were lost or late.
    pub loss: Loss,
    /// Number of jobs.
    pub jobs: usize,
}

/// Stops that made room for jobs with the same outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StopRow {
    /// Outcome of the jobs that the stops made room for.
    pub beneficiary: Loss,
    /// Number of stops.
    pub stops: usize,
    /// Work lost by the stops, in core-seconds.
    pub lost_core_s: u64,
}

/// What was lost, by time, queue and reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Jobs, the earliest first.
    pub losses: Vec<LossRow>,
    /// Stops for urgent work.
    pub stops: Vec<StopRow>,
}

impl Report {
    /// Counts the outcomes and the stops in the histories.
    #[must_use]
    pub fn of(histories: &JobHistories) -> Self {
        Self { losses: losses(histories), stops: stops(histories) }
    }
}

fn losses(histories: &JobHistories) -> Vec<LossRow> {
    let first = histories.jobs.values().filter_map(JobHistory::submitted_at).min().unwrap_or(0);
    let mut counts: BTreeMap<(u64, &str, Loss), usize> = BTreeMap::new();
    for history in histories.jobs.values() {
        let Some(submitted) = history.submitted_at() else { continue };
        let from_s = (submitted - first) / MILLI / WINDOW_S * WINDOW_S;
        *counts.entry((from_s, &history.queue, history.loss())).or_default() += 1;
    }
    let rows = counts.into_iter();
    rows.map(|((from_s, queue, loss), jobs)| LossRow {
        from_s,
        queue: queue.to_owned(),
        loss,
        jobs,
    })
    .collect()
}

fn stops(histories: &JobHistories) -> Vec<StopRow> {
    let mut counts: BTreeMap<Loss, (usize, u64)> = BTreeMap::new();
    for stop in &histories.stops {
        let beneficiary = histories.jobs.get(&stop.beneficiary);
        let loss = beneficiary.map_or(Loss::NotEnded, JobHistory::loss);
        let (stops, lost) = counts.entry(loss).or_default();
        *stops += 1;
        *lost += stop.lost_work;
    }
    let rows = counts.into_iter();
    rows.map(|(beneficiary, (stops, lost))| StopRow {
        beneficiary,
        stops,
        lost_core_s: lost / MILLI,
    })
    .collect()
}
