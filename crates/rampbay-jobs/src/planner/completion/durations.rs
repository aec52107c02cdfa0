//! How long the tasks of a step take on given workers.
//!
//! The expected duration, less the work that the checkpoint holds, times the slowness of the slowest worker, times the
//! remote penalty if the tasks run away from their data or are spread over racks although they want one, plus the time
//! of a restart if there is a checkpoint.

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

/// A worker as far as durations depend on it.
#[derive(Clone, Copy, Debug)]
struct Site<'a> {
    /// Its rack; `None` if the worker is no longer registered.
    rack: Option<&'a str>,
    slowness: Option<f64>,
}

/// Returns the conditions at some workers.
fn conditions<'a>(step: &Step, sites: impl Iterator<Item = Site<'a>>) -> Conditions {
    let mut found = Conditions { slowness: 0.0, is_speed_known: true, is_remote: false };
    let mut first_rack = None;
    for site in sites {
        found.slowness = found.slowness.max(site.slowness.unwrap_or(1.0));
        found.is_speed_known &= site.slowness.is_some();
        let Some(rack) = site.rack else { continue };
        let is_away = !step.data_rack.is_empty() && step.data_rack != rack;
        let is_spread = step.same_rack && *first_rack.get_or_insert(rack) != rack;
        found.is_remote |= is_away || is_spread;
    }
    if found.slowness == 0.0 {
        // No worker is given.
        found = Conditions { slowness: 1.0, is_speed_known: false, ..found };
    }
    found
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
        let expected_ms = self.forecasts.duration_ms(batch.submission, batch.step);
        let penalty = if conditions.is_remote { self.settings.remote_penalty } else { 1 };
        let work_ms = expected_ms as f64 * batch.saved.share_left() * conditions.slowness;
        let work_ms = (work_ms as u64).saturating_mul(penalty);
        let restore =
            if batch.saved.has_checkpoint { self.settings.restore } else { Default::default() };
        let restore_ms = restore.as_millis() as u64;
        let spread = self.forecast_spread(batch.submission, conditions.is_speed_known);
        Estimate {
            ms: restore_ms.saturating_add(work_ms),
            early_ms: restore_ms.saturating_add(spread.early_ms(work_ms)),
            late_ms: restore_ms.saturating_add(spread.late_ms(work_ms)),
            source: Source::Forecast,
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
        let sites = places.map(|place| Site {
            rack: Some(fleet.workers[place].record.rack()),
            slowness: slowness[place],
        });
        conditions(step, sites)
    }

    /// Returns the conditions of a step's tasks at the workers with these ids.
    #[must_use]
    pub fn conditions_on(&self, step: &Step, workers: &[&InstanceId]) -> Conditions {
        let known = &self.inputs.table.workers;
        let sites = workers.iter().map(|instance| Site {
            rack: known.get(*instance).map(|worker| worker.rack()),
            slowness: self.speeds.slowness(instance),
        });
        conditions(step, sites)
    }

    /// Returns the spread of forecasts for a job.
    pub(super) fn forecast_spread(&self, submission: &Submission, is_speed_known: bool) -> Spread {
        let of_estimates = self.forecasts.deviation(submission);
        let spread = self.state.spreads.of_forecasts(&submission.queue, of_estimates);
        if is_speed_known { spread } else { spread.with_unknown_speed() }
    }

    fn slowness_of_all(&self, fleet: &FleetState) -> &[Option<f64>] {
        self.slowness.get_or_init(|| {
            let workers = fleet.workers.iter();
            workers.map(|worker| self.speeds.slowness(&worker.instance)).collect()
        })
    }
}
