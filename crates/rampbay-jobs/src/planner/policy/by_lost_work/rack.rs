//! How long a gang that wants one rack waits for it before it is spread over several.

use crate::job::EpochMillis;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;

/// Time for which a gang that wants one rack waits for it before it is spread over several. A spread
/// gang holds its resources several times as long, so on a busy fleet the wait is long.
const MAX_RACK_WAIT_MS: u64 = 12_000;
/// This time for urgent work, which ends late anyway if it is spread.
const MAX_RACK_WAIT_URGENT_MS: u64 = 8000;
/// This time for guaranteed work, which has to start in time.
const MAX_RACK_WAIT_GUARANTEED_MS: u64 = 700;
/// This time while much of the fleet is free.
const MAX_RACK_WAIT_IDLE_MS: u64 = 1500;
/// Share of the accelerators in use below which much of the fleet is free, in percent.
const IDLE_BELOW_PERCENT: u64 = 60;

/// Returns the time for which a gang that wants one rack waits for it before it is spread over several.
fn max_rack_wait_ms(waiting: &WaitingStep, fleet: &FleetState) -> u64 {
    if waiting.guaranteed {
        return MAX_RACK_WAIT_GUARANTEED_MS;
    }
    if fleet.percent_used() < IDLE_BELOW_PERCENT {
        return MAX_RACK_WAIT_IDLE_MS;
    }
    if waiting.is_urgent() { MAX_RACK_WAIT_URGENT_MS } else { MAX_RACK_WAIT_MS }
}

/// Returns whether a gang goes on waiting for one rack.
pub fn waits_for_rack(waiting: &WaitingStep, fleet: &FleetState, wall: EpochMillis) -> bool {
    waiting.waited_ms(wall) <= max_rack_wait_ms(waiting, fleet)
}
