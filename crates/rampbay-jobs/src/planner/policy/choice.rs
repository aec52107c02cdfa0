//! The choice of a policy by the setting `placement`.

use std::time::Duration;

use serde::Deserialize;

use crate::planner::PlannerSettings;

use super::PlacementPolicy;
use super::by_completion::ByCompletion;
use super::by_lost_work::{ByLostWork, MAX_WORK_SINCE_CHECKPOINT};

/// The setting that chooses a policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub enum Placement {
    /// `by_completion` where a restart from a checkpoint costs more than `by_lost_work` assumes, otherwise
    /// `by_lost_work`.
    #[default]
    Auto,
    /// Stops and waits are weighed by the work that they lose.
    ByLostWork,
    /// Stops and waits are weighed by when the jobs are expected to end.
    ByCompletion,
}

impl Placement {
    /// Returns its name in settings and logs.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Auto => "auto",
            Self::ByLostWork => "by_lost_work",
            Self::ByCompletion => "by_completion",
        }
    }
}

/// A text that names no placement policy.
#[derive(Debug, thiserror::Error)]
#[error("placement is \"{0}\", must be \"auto\", \"by_lost_work\" or \"by_completion\"")]
pub struct PlacementError(String);

impl TryFrom<String> for Placement {
    type Error = PlacementError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        match text.as_str() {
            "auto" => Ok(Self::Auto),
            "by_lost_work" => Ok(Self::ByLostWork),
            "by_completion" => Ok(Self::ByCompletion),
            _ => Err(PlacementError(text)),
        }
    }
}

/// Creates the policy that the settings choose, and logs which it is and why.
pub fn create_policy(settings: &PlannerSettings) -> Box<dyn PlacementPolicy> {
    let restart_cost = restart_cost(settings);
    let is_costly = restart_cost > MAX_WORK_SINCE_CHECKPOINT;
    let by_completion = match settings.placement {
        Placement::Auto => is_costly,
        Placement::ByLostWork => false,
        Placement::ByCompletion => true,
    };
    let policy: Box<dyn PlacementPolicy> = if by_completion {
        Box::new(ByCompletion::new(settings))
    } else {
        Box::new(ByLostWork::new(settings))
    };
    log::info!(
        "event=J191 placement policy chosen policy={} setting={} restart_cost_ms={} limit_ms={}",
        policy.name(),
        settings.placement.label(),
        restart_cost.as_millis(),
        MAX_WORK_SINCE_CHECKPOINT.as_millis()
    );
    policy
}

/// Returns the time that the restart of a run from its checkpoint costs on average: half of the interval between two
/// checkpoints, which is done again, and the restart itself.
fn restart_cost(settings: &PlannerSettings) -> Duration {
    settings.checkpoint_interval / 2 + settings.restore_time
}
