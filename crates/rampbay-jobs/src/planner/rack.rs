//! Gangs that want one rack: how long they wait for it before they are spread over several.

use super::RoundInputs;
use super::fit::{Need, rack_could_hold};
use super::fleet_state::FleetState;
use super::queue::WaitingStep;

/// How long a gang that wants one rack waits for it before it is spread over several. Spread, it
/// holds its room several times as long, so on a busy fleet the wait is long.
const MAX_RACK_WAIT_MS: u64 = 12_000;
/// The same for urgent work, which ends late anyway if it is spread.
const MAX_RACK_WAIT_URGENT_MS: u64 = 8000;
/// The same for guaranteed work, which has to start in time.
const MAX_RACK_WAIT_GUARANTEED_MS: u64 = 700;
/// The same while much of the fleet is free.
const MAX_RACK_WAIT_IDLE_MS: u64 = 1500;
/// Share of the accelerators in use below which much of the fleet is free, in percent.
const IDLE_BELOW_PERCENT: u64 = 60;

/// Returns how long a gang that wants one rack waits for it before it is spread over several.
fn max_rack_wait_ms(waiting: &WaitingStep, fleet: &FleetState) -> u64 {
    if waiting.guaranteed {
        return MAX_RACK_WAIT_GUARANTEED_MS;
    }
    if fleet.percent_used() < IDLE_BELOW_PERCENT {
        return MAX_RACK_WAIT_IDLE_MS;
    }
    if waiting.is_urgent() { MAX_RACK_WAIT_URGENT_MS } else { MAX_RACK_WAIT_MS }
}

/// Returns whether a gang goes into one rack or waits: it wants that, has not waited too long, and
/// there is a rack that could hold it.
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
