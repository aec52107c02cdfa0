//! Gangs that want one rack: how long they wait for it before they are spread over several.

use super::RoundInputs;
use super::fit::{Need, rack_could_hold};
use super::fleet_state::FleetState;
use super::queue::WaitingStep;

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

/// Returns whether a gang is placed in one rack or else waits: it wants one rack, hasn't waited too
/// long, and some rack could hold it if nothing else ran there.
pub fn requires_one_rack(
    waiting: &WaitingStep,
    fleet: &FleetState,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    need.step.same_rack
        && waiting.tasks.len() > 1
        && waiting.waited_ms(inputs.wall) <= max_rack_wait_ms(waiting, fleet)
        && rack_could_hold(fleet, need, waiting.tasks.len())
}
