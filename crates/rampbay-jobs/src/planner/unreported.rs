//! Runs that were assigned to a worker and that its agent doesn't report.
//!
//! An agent takes a run up by a record that it is sent once. Whatever keeps it from that, its reports show it: they come, and
//! the run isn't among them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::TaskId;

/// Longest time for which an agent may report without a run that was assigned to its worker.
const UPTAKE_TIME: Duration = Duration::from_millis(4000);
/// Longest time between two reports that counts: after a longer one the agent gets its time anew.
const REPORT_GAP: Duration = Duration::from_millis(3500);

/// The reports without a run, from the first to the latest of them.
#[derive(Clone, Copy, Debug)]
struct Unreported {
    since: Instant,
    latest: Instant,
}

/// The assigned runs that their agents haven't reported.
#[derive(Debug, Default)]
pub struct UnreportedRuns {
    known: BTreeMap<(TaskId, u32), Unreported>,
    /// Those that have been looked at since [`Self::forget_others`].
    looked_at: BTreeMap<(TaskId, u32), Unreported>,
}

impl UnreportedRuns {
    /// Takes note that the latest report of a run's agent, which came at `reported_at`, doesn't list it. Returns whether
    /// reports have come without it for too long.
    pub fn note(&mut self, task: &TaskId, attempt: u32, reported_at: Instant) -> bool {
        let key = (task.clone(), attempt);
        let first = Unreported { since: Instant::now(), latest: reported_at };
        let known = self.known.remove(&key).unwrap_or(first);
        let has_gap = reported_at.saturating_duration_since(known.latest) > REPORT_GAP;
        let since = if has_gap { reported_at } else { known.since };
        self.looked_at.insert(key, Unreported { since, latest: reported_at });
        reported_at.saturating_duration_since(since) > UPTAKE_TIME
    }

    /// Forgets the runs that haven't been looked at since it was called last: they are reported by now, or over.
    pub fn forget_others(&mut self) {
        self.known = std::mem::take(&mut self.looked_at);
    }
}
