//! How long tasks take if they are started again.

use super::durations::{Batch, Conditions, StepForecast};
use super::{Completion, Estimate};

impl Completion<'_> {
    /// Returns how long the tasks of a batch take under some conditions, given the time that tasks of the same step take
    /// on an average worker, in milliseconds, if runs have shown it. It is more certain than the caller's estimate.
    #[must_use]
    pub fn restart(
        &self,
        batch: &Batch<'_>,
        peer_ms: Option<u64>,
        conditions: Conditions,
    ) -> Estimate {
        let Some(peer_ms) = peer_ms else { return self.duration_under(batch, conditions) };
        let forecast = StepForecast::of_peers(peer_ms, self.rate_spread);
        self.whole_time(forecast, batch.saved, conditions).estimate()
    }
}
