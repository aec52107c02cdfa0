//! When the machines of a wave get their turns.

use std::time::Duration;

/// Time that a machine is down for its maintenance, by the users' bounds.
pub(super) const MAINTENANCE_TIME: Duration = Duration::from_millis(2000);
/// Time that a turn takes besides: the order is kept and sent, and the list shows that the machine is up again.
const START_TIME: Duration = Duration::from_millis(1500);
/// Time before the end of its drain at which the runs of a machine are stopped, so that they save their checkpoints: a
/// stop, its order and its record.
pub(super) const STOP_TIME: Duration = Duration::from_millis(1000);
/// Longest time for which a machine gets nothing new although it has runs that don't end in time. Most runs end within
/// this time; longer would leave the machine half empty for the rest of the wave.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(20);

/// A machine that waits for its turn.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingTurn {
    /// Time until the latest moment at which its maintenance may begin; zero if that has passed.
    pub until_latest: Duration,
    /// Time until its last run ends; `None` if a run doesn't end by itself.
    pub until_idle: Option<Duration>,
}

impl WaitingTurn {
    /// Returns whether the machine gets nothing new from now on.
    pub fn should_drain(&self) -> bool {
        let ends_in_time = self.until_idle.is_some_and(|idle| idle <= self.until_latest);
        ends_in_time || self.until_latest <= MAX_DRAIN_TIME
    }

    /// Returns whether what runs there is stopped now.
    pub fn should_stop(&self) -> bool {
        self.until_latest <= STOP_TIME
    }
}

/// Returns the time until the latest moment at which the maintenance of a machine may begin, so that it and those after
/// it have had theirs in time. `waiting` counts them all, `left` is the time that the wave has left.
pub(super) fn until_latest(left: Duration, waiting: usize, max_count: usize) -> Duration {
    let batches = u32::try_from(waiting.div_ceil(max_count.max(1))).unwrap_or(u32::MAX);
    left.saturating_sub((MAINTENANCE_TIME + START_TIME).saturating_mul(batches))
}
