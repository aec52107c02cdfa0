//! How long a gang that wants one rack waits for it before it is spread over several.
//!
//! Load: gangs of 1 to 8 accelerators a task that want one rack, beside steps of many single tasks. Spread over racks, a
//! gang takes several times as long, and holds its workers for that time. So it waits for as long as it ends sooner
//! that way, within the users' rule that no job stands still for 3 s beside free room on a fleet that is half idle.

use crate::job::EpochMillis;
use crate::planner::PlannerSettings;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;

use super::reserve::IDLE_BELOW_PERCENT;

/// Longest wait of guaranteed work, in milliseconds: it has to start within 2.7 s, stops included.
const GUARANTEED_MS: u64 = 700;
/// Longest wait on a fleet that is half idle, in milliseconds: the users' 3 s without the time of a round and a start.
const IDLE_FLEET_MS: u64 = 2_300;
/// Longest wait of urgent work, in milliseconds: it ends late anyway if it is spread.
const URGENT_MS: u64 = 8_000;
/// Wait of other work whose tasks are short, in milliseconds: spread, it would delay the others on a busy fleet.
const MIN_OTHER_MS: u64 = 12_000;

/// The times for which gangs wait for one rack.
#[derive(Clone, Copy, Debug)]
pub struct RackWaits {
    /// Factor by which a gang takes longer if it is spread over racks.
    remote_penalty: u64,
}

impl RackWaits {
    /// Takes the factor from a planner's settings.
    pub const fn new(settings: &PlannerSettings) -> Self {
        Self { remote_penalty: settings.remote_penalty }
    }

    /// Returns whether a gang goes on waiting for one rack.
    pub fn waits(&self, waiting: &WaitingStep, fleet: &FleetState, wall: EpochMillis) -> bool {
        waiting.waited_ms(wall) <= self.max_wait_ms(waiting, fleet)
    }

    fn max_wait_ms(&self, waiting: &WaitingStep, fleet: &FleetState) -> u64 {
        if waiting.guaranteed {
            return GUARANTEED_MS;
        }
        if fleet.percent_used() < IDLE_BELOW_PERCENT {
            return IDLE_FLEET_MS;
        }
        if waiting.is_urgent() {
            return URGENT_MS;
        }
        MIN_OTHER_MS.max(self.spread_delay_ms(waiting))
    }

    /// Returns how much longer the gang is expected to take if it is spread, in milliseconds.
    const fn spread_delay_ms(&self, waiting: &WaitingStep) -> u64 {
        waiting.duration_ms * self.remote_penalty.saturating_sub(1)
    }
}
