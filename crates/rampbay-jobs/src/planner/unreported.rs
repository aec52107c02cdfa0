//! Runs that were assigned to a worker and that its agent doesn't report.
//!
//! An agent learns of a run by a record that is sent once. If it misses the record for whatever reason, its reports
//! show it, since they come without the run.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::TaskId;

/// Longest time for which an agent's reports may lack a run that was assigned to its worker.
const PICKUP_TIMEOUT: Duration = Duration::from_millis(4000);
/// Longest time between two reports that counts; after a longer one the time is measured anew.
const MAX_REPORT_GAP: Duration = Duration::from_millis(3500);

/// The times of the first and the latest report without a run.
#[derive(Clone, Copy, Debug)]
struct Unreported {
    since: Instant,
    latest: Instant,
}

/// The assigned runs that the agents haven't reported.
#[derive(Debug, Default)]
pub struct UnreportedRuns {
    known: BTreeMap<(TaskId, u32), Unreported>,
    /// Those that were checked since the last call of [`Self::finish_pass`].
    checked: BTreeMap<(TaskId, u32), Unreported>,
}

impl UnreportedRuns {
    /// Records that the latest report of a run's agent, received at `reported_at`, doesn't list the run. Returns
    /// whether reports have lacked the run for longer than [`PICKUP_TIMEOUT`].
    pub fn note(&mut self, task: &TaskId, attempt: u32, reported_at: Instant) -> bool {
        let key = (task.clone(), attempt);
        let first = Unreported { since: Instant::now(), latest: reported_at };
        let known = self.known.remove(&key).unwrap_or(first);
        let has_gap = reported_at.saturating_duration_since(known.latest) > MAX_REPORT_GAP;
        let since = if has_gap { reported_at } else { known.since };
        self.checked.insert(key, Unreported { since, latest: reported_at });
        reported_at.saturating_duration_since(since) > PICKUP_TIMEOUT
    }

    /// Ends a pass over the assigned runs: removes those that weren't checked in it, as they are reported by now or
    /// over.
    pub fn finish_pass(&mut self) {
        self.known = std::mem::take(&mut self.checked);
    }
}
