//! Counts of what was lost.

use std::collections::BTreeMap;

use serde::Serialize;

use super::trail::{Loss, Trail, Trails};

/// Length of one row of the report, in seconds.
const WINDOW_S: u64 = 10;
/// Thousandths of a core-second in a core-second.
const MILLI: u64 = 1000;

/// Jobs of one queue that came within some seconds and fared alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LossRow {
    /// Seconds from the first job to the row's begin.
    pub from_s: u64,
    /// Their queue; empty where they were refused.
    pub queue: String,
    /// Why they were lost or late.
    pub loss: Loss,
    /// Their number.
    pub jobs: usize,
}

/// Stops for jobs that fared alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StopRow {
    /// What became of the jobs that the stops made room for.
    pub beneficiary: Loss,
    /// The stops.
    pub stops: usize,
    /// Work that they threw away, in core-seconds.
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
    /// Counts what trails tell.
    #[must_use]
    pub fn of(trails: &Trails) -> Self {
        Self { losses: losses(trails), stops: stops(trails) }
    }
}

fn losses(trails: &Trails) -> Vec<LossRow> {
    let first = trails.jobs.values().filter_map(Trail::came_at).min().unwrap_or(0);
    let mut counts: BTreeMap<(u64, &str, Loss), usize> = BTreeMap::new();
    for trail in trails.jobs.values() {
        let Some(came) = trail.came_at() else { continue };
        let from_s = (came - first) / MILLI / WINDOW_S * WINDOW_S;
        *counts.entry((from_s, &trail.queue, trail.loss())).or_default() += 1;
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

fn stops(trails: &Trails) -> Vec<StopRow> {
    let mut counts: BTreeMap<Loss, (usize, u64)> = BTreeMap::new();
    for stop in &trails.stops {
        let beneficiary = trails.jobs.get(&stop.beneficiary);
        let loss = beneficiary.map_or(Loss::NotEnded, Trail::loss);
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
