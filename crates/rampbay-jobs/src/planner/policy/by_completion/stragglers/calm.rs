//! Whether the reports of the fleet are such that the rates of runs can be trusted.
//!
//! Load: the store, or the way of many reports, is slow or down for some seconds. Runs then seem to stand still or are
//! late, all at once, and catch up later.

use std::time::Duration;

use tokio::time::Instant;

use crate::planner::RoundInputs;

/// Age of a report from which it is late. Agents report once a second.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(2_000);
/// Part of the workers of which late reports show a fault of the reports rather than of the workers; a single one never
/// does.
const MANY_PART: usize = 10;
/// Time for which nothing is moved after such a fault: that over which the rate of a run is measured.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// When the reports of many workers were last missing.
#[derive(Debug, Default)]
pub struct Calm {
    disturbed_at: Option<Duration>,
}

impl Calm {
    /// Checks the reports of all workers.
    pub fn update(&mut self, inputs: &RoundInputs<'_>) {
        let now = Instant::now();
        let workers = &inputs.table.workers;
        let late = workers.keys().filter(|instance| {
            let report = inputs.progress.report(instance, now);
            !report.has_reported || report.age > MAX_REPORT_AGE
        });
        if late.count() > (workers.len() / MANY_PART).max(1) {
            self.disturbed_at = Some(inputs.now);
        }
    }

    /// Returns whether no reports of many workers were missing lately.
    pub fn is_calm(&self, now: Duration) -> bool {
        self.disturbed_at.is_none_or(|at| now.saturating_sub(at) >= QUIET_TIME)
    }
}
