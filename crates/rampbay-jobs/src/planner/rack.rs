//! Gangs that want one rack: how long they wait for it before they are spread over several.

use super::RoundInputs;
use super::gang::{Need, rack_could_hold};
use super::queue::WaitingStep;
use super::room::Rooms;

/// How long a gang that wants one rack waits for it before it is spread over several. Spread, it
/// holds its room several times as long, so on a busy fleet the wait is long.
const WAIT_FOR_RACK_MS: u64 = 12_000;
/// The same for urgent work, which ends late anyway if it is spread.
const WAIT_FOR_RACK_URGENT_MS: u64 = 8000;
/// The same for guaranteed work, which has to start in time.
const WAIT_FOR_RACK_GUARANTEED_MS: u64 = 700;
/// The same while much of the fleet is free.
const WAIT_FOR_RACK_IDLE_MS: u64 = 1500;
/// Share of the accelerators in use below which much of the fleet is free, in percent.
const IDLE_BELOW_PERCENT: u64 = 60;

/// Returns how long a gang that wants one rack waits for it before it is spread over several.
fn patience_ms(waiting: &WaitingStep, rooms: &Rooms) -> u64 {
    if waiting.guaranteed {
        return WAIT_FOR_RACK_GUARANTEED_MS;
    }
    if rooms.percent_used() < IDLE_BELOW_PERCENT {
        return WAIT_FOR_RACK_IDLE_MS;
    }
    if waiting.is_urgent() { WAIT_FOR_RACK_URGENT_MS } else { WAIT_FOR_RACK_MS }
}

/// Returns whether a gang goes into one rack or waits: it wants that, has not waited too long, and
/// there is a rack that could hold it.
pub fn insists_on_rack(
    waiting: &WaitingStep,
    rooms: &Rooms,
    need: &Need<'_>,
    inputs: &RoundInputs<'_>,
) -> bool {
    need.step.same_rack
        && waiting.tasks.len() > 1
        && waiting.waited_ms(inputs.wall) <= patience_ms(waiting, rooms)
        && rack_could_hold(rooms, need, waiting.tasks.len())
}
