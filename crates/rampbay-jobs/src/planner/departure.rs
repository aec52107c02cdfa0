//! Whether a run stays at a worker that has given notice.
//!
//! A run that is stopped has thrown its work away for sure, but for what it saved; one that stays and is still there
//! when the worker leaves has thrown that away and the time in between. So a run stays where the chance that it ends
//! in time outweighs what it loses more otherwise: one that has just begun leaves unless it is sure to end, one that
//! has done most of its work stays unless it is sure not to. A fixed margin of a fifth stopped gangs in their last
//! second: of a quiet day's 66,000 core-seconds of work thrown away two such stops made most.

use std::time::Duration;

/// Work that a run which saves its progress has at risk: what it has done since its last checkpoint, and the start
/// that has to come again.
const UNSAVED_WORK: Duration = Duration::from_millis(1500);
/// Half the width of the range in which the real rest lies around one that is told by a run's own rate: progress comes
/// in whole percents each second, and is a tenth off for a run of ten seconds.
const SPREAD_BY_RATE: f64 = 0.25;
/// The same for a rest that is told by an estimate alone.
const SPREAD_BY_ESTIMATE: f64 = 0.5;

/// What a run is expected to need still.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    /// The time, in milliseconds.
    pub ms: u64,
    /// Whether it is told by the run's own rate.
    pub is_by_rate: bool,
}

impl Rest {
    /// Returns the chance that the run ends within a time.
    fn chance_within(self, left_ms: u64) -> f64 {
        let spread = if self.is_by_rate { SPREAD_BY_RATE } else { SPREAD_BY_ESTIMATE };
        let excess = left_ms as f64 / self.ms.max(1) as f64 - 1.0;
        (0.5 + excess / (2.0 * spread)).clamp(0.0, 1.0)
    }
}

/// A run at a worker that leaves.
#[derive(Clone, Copy, Debug)]
pub struct NoticedRun {
    /// How long it has run.
    pub ran: Duration,
    /// Whether it saves its progress.
    pub saves: bool,
    /// What it is expected to need still.
    pub rest: Rest,
    /// When its worker leaves at the earliest, in milliseconds from now.
    pub left_ms: u64,
}

impl NoticedRun {
    /// Returns whether it loses less if it stays.
    pub fn stays(&self) -> bool {
        let at_risk = if self.saves { self.ran.min(UNSAVED_WORK) } else { self.ran };
        let stopped = at_risk.as_millis() as f64;
        let overtaken = stopped + self.left_ms as f64;
        let chance = self.rest.chance_within(self.left_ms);
        (1.0 - chance) * overtaken <= stopped
    }
}
