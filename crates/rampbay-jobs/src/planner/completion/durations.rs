//! How long the tasks of a step take on given workers.
//!
//! The expected duration, less the work that the checkpoint holds, times the slowness of the slowest worker, times the
//! remote penalty if the tasks run away from their data or are spread over racks although they want one, plus the time
//! of a restart if there is a checkpoint.

use std::time::Duration;

use crate::job::{InstanceId, Step, Submission};
use crate::planner::WorkerIndex;
use crate::planner::fleet_state::FleetState;

use super::saved::Saved;
use super::spread::Spread;
use super::{Completion, Estimate, Source};

/// Tasks of a step that start together.
#[derive(Clone, Copy, Debug)]
pub struct Batch<'a> {
    /// Their job.
    pub submission: &'a Submission,
    /// Their step.
    pub step: &'a Step,
    /// What their checkpoints hold; of several, the least.
    pub saved: Saved,
}

/// What the duration of a batch depends on at its workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Slowness of the slowest worker: the factor by which tasks take longer there than on an average one.
    pub slowness: f64,
    /// Whether the speed of each worker has been measured.
    pub is_speed_known: bool,
    /// Whether a worker is away from the data, or several racks are used by a step that wants one.
    pub is_remote: bool,
}

/// A worker as far as durations depend on it. `Rack` names its rack: comparing numbers is much cheaper than comparing names.
#[derive(Clone, Copy, Debug)]
struct Site<Rack> {
    /// Its rack; `None` if the worker is no longer registered.
    rack: Option<Rack>,
    /// Whether it is away from the step's data.
    is_away: bool,
    slowness: Option<f64>,
}

/// How long a batch takes under some conditions. The range is computed only when it is asked for.
#[derive(Clone, Copy, Debug)]
pub struct WholeTime {
    work_ms: u64,
    restore_ms: u64,
    spread: Spread,
}

impl WholeTime {
    /// Returns the expected time, in milliseconds.
    #[must_use]
    pub const fn ms(&self) -> u64 {
        self.restore_ms.saturating_add(self.work_ms)
    }

    /// Returns the spread of the work, which is nearly all of the time.
    #[must_use]
    pub const fn spread(&self) -> Spread {
        self.spread
    }

    /// Returns the time with its range.
    #[must_use]
    pub fn estimate(&self) -> Estimate {
        Estimate {
            ms: self.ms(),
            early_ms: self.restore_ms.saturating_add(self.spread.early_ms(self.work_ms)),
            late_ms: self.restore_ms.saturating_add(self.spread.late_ms(self.work_ms)),
            source: Source::Forecast,
        }
    }
}

/// What the tasks of a step take on an average worker, near their data.
#[derive(Clone, Copy, Debug)]
pub(super) struct StepForecast {
    expected_ms: u64,
    /// Spread where the speeds of all workers are known.
    known: Spread,
    /// Spread where they aren't.
    unknown: Spread,
}

impl StepForecast {
    /// Returns what runs of a step have shown: the time on an average worker, and the spread of such estimates.
    pub(super) fn of_peers(expected_ms: u64, known: Spread) -> Self {
        Self { expected_ms, known, unknown: known.with_unknown_speed() }
    }
}

/// Returns the conditions at some workers.
fn conditions<Rack: PartialEq + Copy>(
    step: &Step,
    sites: impl Iterator<Item = Site<Rack>>,
) -> Conditions {
    let mut found = Conditions { slowness: 0.0, is_speed_known: true, is_remote: false };
    let mut first_rack = None;
    for site in sites {
        found.slowness = found.slowness.max(site.slowness.unwrap_or(1.0));
        found.is_speed_known &= site.slowness.is_some();
        let Some(rack) = site.rack else { continue };
        let is_spread = step.same_rack && *first_rack.get_or_insert(rack) != rack;
        found.is_remote |= site.is_away || is_spread;
    }
    if found.slowness == 0.0 {
        // No worker is given.
        found = Conditions { slowness: 1.0, is_speed_known: false, ..found };
    }
    found
}

/// Returns whether a worker's rack isn't that of the step's data.
fn is_away<'a>(step: &Step, rack: impl FnOnce() -> &'a str) -> bool {
    !step.data_rack.is_empty() && step.data_rack != rack()
}

impl Completion<'_> {
    /// Returns how long the tasks of a batch take on the workers `places`, one entry a task or a worker, until the last
    /// one ends.
    #[must_use]
    pub fn duration(
        &self,
        fleet: &FleetState,
        batch: &Batch<'_>,
        places: &[WorkerIndex],
    ) -> Estimate {
        self.duration_under(batch, self.conditions_at(fleet, batch.step, places.iter().copied()))
    }

    /// Returns how long the tasks of a batch take on the workers with these ids.
    #[must_use]
    pub fn duration_on(&self, batch: &Batch<'_>, workers: &[&InstanceId]) -> Estimate {
        self.duration_under(batch, self.conditions_on(batch.step, workers))
    }

    /// Returns how long the tasks of a batch take under some conditions.
    #[must_use]
    pub fn duration_under(&self, batch: &Batch<'_>, conditions: Conditions) -> Estimate {
        let forecast = self.step_forecast(batch.submission, batch.step);
        self.whole_time(forecast, batch.saved, conditions).estimate()
    }

    /// Returns how long a task of a step takes on an average worker, in milliseconds.
    #[must_use]
    pub fn step_duration_ms(&self, submission: &Submission, step: &Step) -> u64 {
        self.forecasts.duration_ms(submission, step)
    }

    pub(super) fn step_forecast(&self, submission: &Submission, step: &Step) -> StepForecast {
        let of_estimates = self.forecasts.deviation(submission);
        let known = self.state.spreads.of_forecasts(&submission.queue, of_estimates);
        StepForecast {
            expected_ms: self.forecasts.duration_ms(submission, step),
            known,
            unknown: known.with_unknown_speed(),
        }
    }

    pub(super) fn whole_time(
        &self,
        forecast: StepForecast,
        saved: Saved,
        conditions: Conditions,
    ) -> WholeTime {
        let penalty = if conditions.is_remote { self.settings.remote_penalty } else { 1 };
        let work_ms = forecast.expected_ms as f64 * saved.share_left() * conditions.slowness;
        let restore = if saved.has_checkpoint { self.settings.restore } else { Duration::ZERO };
        let is_speed_known = conditions.is_speed_known;
        WholeTime {
            work_ms: (work_ms as u64).saturating_mul(penalty),
            restore_ms: restore.as_millis() as u64,
            spread: if is_speed_known { forecast.known } else { forecast.unknown },
        }
    }

    /// Returns the slowness of a worker: the factor by which tasks take longer there than on an average one; 1 if it
    /// hasn't been measured.
    #[must_use]
    pub fn slowness(&self, fleet: &FleetState, place: WorkerIndex) -> f64 {
        self.slowness_of_all(fleet).get(place).copied().flatten().unwrap_or(1.0)
    }

    /// Returns the conditions of a step's tasks at the workers `places`.
    #[must_use]
    pub fn conditions_at(
        &self,
        fleet: &FleetState,
        step: &Step,
        places: impl Iterator<Item = WorkerIndex>,
    ) -> Conditions {
        let slowness = self.slowness_of_all(fleet);
        let sites = places.map(|place| {
            let worker = &fleet.workers[place];
            let is_away = is_away(step, || worker.record.rack());
            Site { rack: Some(worker.rack), is_away, slowness: slowness[place] }
        });
        conditions(step, sites)
    }

    /// Returns the conditions of a step's tasks at the workers with these ids.
    #[must_use]
    pub fn conditions_on(&self, step: &Step, workers: &[&InstanceId]) -> Conditions {
        let known = &self.inputs.table.workers;
        let sites = workers.iter().map(|instance| {
            let rack = known.get(*instance).map(|worker| worker.rack());
            Site {
                rack,
                is_away: rack.is_some_and(|rack| is_away(step, || rack)),
                slowness: self.speeds.slowness(instance),
            }
        });
        conditions(step, sites)
    }

    fn slowness_of_all(&self, fleet: &FleetState) -> &[Option<f64>] {
        // The workers of a fleet are in the order of their ids.
        let instances = fleet.workers.iter().map(|worker| &worker.instance);
        self.slowness.get_or_init(|| self.speeds.slowness_of_each(instances))
    }
}
