//! Decides whether a run stays at a worker that has given notice.
//!
//! A run that is stopped loses its work for certain, except for its checkpoint. A run that stays and is still running
//! when the worker leaves loses that work and the time in between. So a run stays if its expected loss is no greater
//! that way: a run that has just begun is stopped unless it is sure to end in time, a run that has done most of its
//! work stays unless it is sure not to. A fixed margin would stop wide gangs in their last second, when they lose most.

use std::time::Duration;

/// Largest work that a checkpointing run has at risk: the work since its last checkpoint, and the repeated start.
const MAX_WORK_AT_RISK: Duration = Duration::from_millis(1500);
/// Half the width of the range in which the actual remaining time lies around one computed from the run's own rate,
/// as a share of it. Progress is reported in whole percents once a second, so it is a tenth off for a run of ten
/// seconds.
const RATE_SPREAD: f64 = 0.25;
/// Half the width of this range for a remaining time that is computed from an estimate alone.
const ESTIMATE_SPREAD: f64 = 0.5;

/// The time that a run is still expected to need.
#[derive(Clone, Copy, Debug)]
pub struct RemainingTime {
    /// The time, in milliseconds.
    pub ms: u64,
    /// Whether it is computed from the run's own rate.
    pub is_from_rate: bool,
}

impl RemainingTime {
    /// Returns the probability that the run ends within a time, given in milliseconds.
    fn chance_of_ending_within(self, left_ms: u64) -> f64 {
        let spread = if self.is_from_rate { RATE_SPREAD } else { ESTIMATE_SPREAD };
        let excess = left_ms as f64 / self.ms.max(1) as f64 - 1.0;
        (0.5 + excess / (2.0 * spread)).clamp(0.0, 1.0)
    }
}

/// Times that a run at a departing worker loses beyond its work, as a policy charges them.
#[derive(Clone, Copy, Debug, Default)]
pub struct DepartureCosts {
    /// Time lost if the run is stopped.
    pub if_stopped: Duration,
    /// Time lost if the run is still running when its worker leaves.
    pub if_left: Duration,
}

/// A run at a worker that is about to leave.
#[derive(Clone, Copy, Debug)]
pub struct DepartingRun {
    /// Time for which the run has gone on.
    pub ran: Duration,
    /// Whether the run saves checkpoints.
    pub checkpointing: bool,
    /// Time that the run is still expected to need.
    pub remaining: RemainingTime,
    /// Time until its worker leaves at the earliest, in milliseconds.
    pub notice_left_ms: u64,
}

impl DepartingRun {
    /// Returns whether the run is expected to lose no more time if it stays than if it is stopped.
    pub fn should_stay(&self, costs: &DepartureCosts) -> bool {
        let at_risk = if self.checkpointing { self.ran.min(MAX_WORK_AT_RISK) } else { self.ran };
        let lost_if_stopped = (at_risk + costs.if_stopped).as_millis() as f64;
        let lost_at_departure =
            (at_risk + costs.if_left).as_millis() as f64 + self.notice_left_ms as f64;
        let chance = self.remaining.chance_of_ending_within(self.notice_left_ms);
        (1.0 - chance) * lost_at_departure <= lost_if_stopped
    }
}
