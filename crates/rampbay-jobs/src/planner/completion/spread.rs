//! How wrong the estimates are, measured at the ends of runs.
//!
//! The error of an estimate is the logarithm of the actual over the estimated duration. Its root mean square is the
//! deviation, from which the ranges of later estimates follow.

use std::collections::BTreeMap;

use crate::job::QueueName;

/// Number of ended units of a queue from which the measured deviation is used.
const MIN_ENDED: u32 = 10;
/// Least deviation while too few units have ended.
const MIN_UNMEASURED_DEVIATION: f64 = 0.25;
/// Least measured deviation: runs that ended alike by chance don't make an estimate certain.
const MIN_MEASURED_DEVIATION: f64 = 0.05;
/// Greatest deviation. A range that is wider says nothing.
const MAX_DEVIATION: f64 = 1.5;
/// Greatest error, as a logarithm, that a single unit counts with, so that one that hung doesn't spoil the measurement.
const MAX_LOG_ERROR: f64 = 2.0;
/// Weight of a new error once many were measured.
const ERROR_WEIGHT: f64 = 0.02;
/// Deviations between an estimate and either end of its range: nine of ten runs end within it.
const RANGE_DEVIATIONS: f64 = 1.645;
/// Deviation that is added where the speed of a worker isn't known.
const UNKNOWN_SPEED_DEVIATION: f64 = 0.25;

/// Deviation of the logarithm of durations from their estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread(f64);

impl Spread {
    /// Returns a spread with a deviation, limited to the greatest that is used.
    #[must_use]
    pub const fn of(deviation: f64) -> Self {
        Self(deviation.clamp(0.0, MAX_DEVIATION))
    }

    /// Adds an independent cause of errors.
    #[must_use]
    pub fn with(self, deviation: f64) -> Self {
        // Both are small, so that the squares don't overflow; `hypot`, which guards against that, takes several times as long.
        Self::of((self.0 * self.0 + deviation * deviation).sqrt())
    }

    /// Adds the uncertainty of a worker whose speed isn't known.
    #[must_use]
    pub fn with_unknown_speed(self) -> Self {
        self.with(UNKNOWN_SPEED_DEVIATION)
    }

    /// Returns the early end of the range around a time in milliseconds.
    #[must_use]
    pub fn early_ms(self, ms: u64) -> u64 {
        (ms as f64 / self.range_factor()) as u64
    }

    /// Returns the late end of the range around a time in milliseconds.
    #[must_use]
    pub fn late_ms(self, ms: u64) -> u64 {
        (ms as f64 * self.range_factor()).ceil() as u64
    }

    /// Returns the logarithm of the factor between an estimate and either end of its range.
    #[must_use]
    pub fn half_width(self) -> f64 {
        self.0 * RANGE_DEVIATIONS
    }

    fn range_factor(self) -> f64 {
        self.half_width().exp()
    }
}

/// Errors of ended units.
#[derive(Clone, Copy, Debug, Default)]
struct Errors {
    count: u32,
    mean_square: f64,
}

impl Errors {
    fn add(&mut self, actual_ms: u64, estimated_ms: u64) {
        let ratio = actual_ms.max(1) as f64 / estimated_ms.max(1) as f64;
        let error = ratio.ln().clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        self.count = self.count.saturating_add(1);
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean_square += weight * (error * error - self.mean_square);
    }

    fn spread(&self) -> Option<Spread> {
        let deviation = self.mean_square.sqrt().max(MIN_MEASURED_DEVIATION);
        (self.count >= MIN_ENDED).then(|| Spread::of(deviation))
    }
}

/// Errors of the forecasts of each queue, and of estimates from the rates of runs.
#[derive(Debug, Default)]
pub struct ErrorSpreads {
    forecasts: BTreeMap<QueueName, Errors>,
    rates: Errors,
}

impl ErrorSpreads {
    /// Records the end of a unit whose duration was forecast.
    pub fn add_forecast(&mut self, queue: &QueueName, actual_ms: u64, estimated_ms: u64) {
        self.forecasts.entry(queue.clone()).or_default().add(actual_ms, estimated_ms);
    }

    /// Records the end of a unit whose duration was estimated from its rate.
    pub fn add_rate(&mut self, actual_ms: u64, estimated_ms: u64) {
        self.rates.add(actual_ms, estimated_ms);
    }

    /// Returns the spread of forecasts of a queue. Before enough units have ended, this is the deviation of the callers'
    /// estimates, `of_estimates`, or a greater least value.
    #[must_use]
    pub fn of_forecasts(&self, queue: &QueueName, of_estimates: f64) -> Spread {
        let measured = self.forecasts.get(queue).and_then(Errors::spread);
        measured.unwrap_or_else(|| Spread::of(of_estimates.max(MIN_UNMEASURED_DEVIATION)))
    }

    /// Returns whether the errors of the forecasts of a queue have been measured.
    #[must_use]
    pub fn is_forecast_measured(&self, queue: &QueueName) -> bool {
        self.forecasts.get(queue).is_some_and(|errors| errors.spread().is_some())
    }

    /// Returns whether the errors of estimates from the rates of runs have been measured.
    #[must_use]
    pub fn is_rate_measured(&self) -> bool {
        self.rates.spread().is_some()
    }

    /// Returns the spread of estimates from the rates of runs.
    #[must_use]
    pub fn of_rates(&self) -> Spread {
        self.rates.spread().unwrap_or(Spread::of(MIN_UNMEASURED_DEVIATION))
    }
}
