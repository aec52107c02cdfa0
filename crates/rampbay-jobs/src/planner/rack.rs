//! Gangs that want one rack: whether they wait for it or are spread over several.

use super::RoundInputs;
use super::fit::{Need, rack_could_hold};
use super::fleet_state::FleetState;
use super::queue::WaitingStep;

/// Returns whether a gang is placed in one rack or else waits: it wants one rack, the policy lets it wait, and some
/// rack could hold it if nothing else ran there.
pub fn requires_one_rack(
    waiting: &WaitingStep,
    fleet: &FleetState,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    need.step.same_rack
        && waiting.tasks.len() > 1
        && need.policy.waits_for_rack(waiting, fleet, inputs)
        && rack_could_hold(fleet, need, waiting.tasks.len())
}
