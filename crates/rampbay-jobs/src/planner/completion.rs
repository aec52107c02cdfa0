//! One estimate of completion: how long tasks take, how long runs still need, and when there will be room.
//!
//! It is built once a round from references, has no input or output, and answers in whole milliseconds from now. What is
//! costly is computed at the first question that needs it: the ends of all runs, once a round, and one pass over them for
//! each question about room.
//!
//! Every answer has a range. Estimates of a queue are wrong by a factor, which is measured at the ends of runs
//! ([`spread`]). A leader that has just taken over knows no speeds, no progress and no errors: it answers from the
//! forecasts alone, and its ranges are wider.

pub mod changes;
pub mod deadline;
pub mod durations;
pub mod observed;
pub mod options;
pub mod pace;
pub mod remaining;
pub mod restart;
pub mod room;
pub mod saved;
pub mod spread;
pub mod view;

use std::cell::OnceCell;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::QueueName;

use super::forecast::Forecasts;
use super::speed::SpeedTracker;
use super::{Planner, PlannerSettings, RoundInputs};

use changes::RoundChange;
use observed::{StartedRuns, observe_changes, observe_ends};
use room::Ends;
use saved::SavedCheckpoints;
use spread::{ErrorSpreads, Spread};

/// What an estimate is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The rate of the run itself.
    Rate,
    /// The expected duration.
    Forecast,
}

impl Source {
    /// Returns the name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Rate => "rate",
            Self::Forecast => "forecast",
        }
    }
}

/// An estimated time, with its range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// Expected value, in milliseconds.
    pub ms: u64,
    /// Early end of the range, in milliseconds; at most `ms`.
    pub early_ms: u64,
    /// Late end of the range, in milliseconds; at least `ms`.
    pub late_ms: u64,
    /// What it is based on.
    pub source: Source,
}

impl Estimate {
    /// Returns a time that is certain.
    #[must_use]
    pub const fn exact(ms: u64) -> Self {
        Self { ms, early_ms: ms, late_ms: ms, source: Source::Forecast }
    }

    /// Returns the later one of two times, as for members of a gang, which ends with the last one.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        let source = if other.ms > self.ms { other.source } else { self.source };
        Self {
            ms: self.ms.max(other.ms),
            early_ms: self.early_ms.max(other.early_ms),
            late_ms: self.late_ms.max(other.late_ms),
            source,
        }
    }

    /// Returns the sum of two times, such as a start and a duration.
    #[must_use]
    pub const fn then(self, next: Self) -> Self {
        Self {
            ms: self.ms.saturating_add(next.ms),
            early_ms: self.early_ms.saturating_add(next.early_ms),
            late_ms: self.late_ms.saturating_add(next.late_ms),
            source: next.source,
        }
    }
}

/// Times that the estimate takes from the settings.
#[derive(Clone, Copy, Debug)]
pub struct CompletionSettings {
    /// Factor by which work takes longer away from its data or spread over racks.
    pub remote_penalty: u64,
    /// Time that a stop takes.
    pub stop: Duration,
    /// Time that a restart from a checkpoint takes.
    pub restore: Duration,
}

impl CompletionSettings {
    /// Takes the times from a planner's settings.
    #[must_use]
    pub const fn of(settings: &PlannerSettings) -> Self {
        Self {
            remote_penalty: settings.remote_penalty,
            stop: settings.stop_time,
            restore: settings.restore_time,
        }
    }
}

/// What the estimate keeps between rounds. A planner that takes over starts without it.
#[derive(Debug, Default)]
pub struct CompletionState {
    /// Errors of earlier estimates.
    spreads: ErrorSpreads,
    /// Work that the checkpoints of waiting tasks hold.
    saved: SavedCheckpoints,
    /// Runs that this planner has seen start.
    started: StartedRuns,
}

/// The estimate of one round.
pub struct Completion<'a> {
    settings: CompletionSettings,
    forecasts: &'a Forecasts,
    speeds: &'a SpeedTracker,
    state: &'a CompletionState,
    inputs: &'a RoundInputs<'a>,
    now: Instant,
    /// Spread of estimates from the rates of runs.
    rate_spread: Spread,
    /// Ends of the runs; computed when first needed.
    ends: OnceCell<Ends>,
    /// Decisions of the round that were made before that.
    changes: Vec<RoundChange>,
    /// Measured slowness of each worker; computed when first needed.
    slowness: OnceCell<Vec<Option<f64>>>,
}

impl<'a> Completion<'a> {
    /// Creates the estimate of a round; computes nothing yet.
    #[must_use]
    pub fn new(
        settings: CompletionSettings,
        forecasts: &'a Forecasts,
        speeds: &'a SpeedTracker,
        state: &'a CompletionState,
        inputs: &'a RoundInputs<'a>,
    ) -> Self {
        Self {
            settings,
            forecasts,
            speeds,
            state,
            inputs,
            now: Instant::now(),
            rate_spread: state.spreads.of_rates(),
            ends: OnceCell::new(),
            changes: Vec::new(),
            slowness: OnceCell::new(),
        }
    }
}

impl Completion<'_> {
    /// Returns whether enough runs have ended to know how wrong the estimates are: those of a queue's durations, and those
    /// by the rates of runs. A leader that has just taken over doesn't know it.
    #[must_use]
    pub fn is_measured(&self, queue: &QueueName) -> bool {
        self.state.spreads.is_forecast_measured(queue) && self.state.spreads.is_rate_measured()
    }
}

impl CompletionState {
    /// Returns how wrong forecasts of a queue are; `of_estimates` is the deviation of its callers' estimates.
    pub(super) fn spread_of(&self, queue: &QueueName, of_estimates: f64) -> Spread {
        self.spreads.of_forecasts(queue, of_estimates)
    }
}

impl Planner {
    /// Returns the estimate of completion for a round.
    #[must_use]
    pub fn completion<'a>(&'a self, inputs: &'a RoundInputs<'a>) -> Completion<'a> {
        let settings = CompletionSettings::of(&self.settings);
        Completion::new(settings, &self.forecasts, &self.speeds, &self.completion, inputs)
    }

    /// Measures the errors of earlier estimates at the runs that have ended.
    pub(super) fn observe_ended_runs(&mut self, inputs: &RoundInputs<'_>) {
        let observations = observe_ends(&self.completion(inputs));
        for observation in observations {
            observation.record(&mut self.completion.spreads);
        }
    }

    /// Notes the runs that a round has started, with their estimates, and the checkpoints of those that ended.
    pub(super) fn observe_changed_plans(
        &mut self,
        draft: &super::draft::Draft<'_>,
        inputs: &RoundInputs<'_>,
    ) {
        let changes = observe_changes(&self.completion(inputs), draft);
        self.completion.started.apply(changes.started);
        self.completion.saved.apply(changes.saved);
    }
}
