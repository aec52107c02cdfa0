//! The ranks of workers and racks for a step.
//!
//! Load: urgent gangs beside steps that have time, on machines of uneven speed. A gang runs at the pace of its slowest
//! member, and an urgent one is late on a slow machine. So urgent work goes to the fastest machines, and other work to
//! the slowest, which leaves the fast ones free for the next burst. Other work that may use the reserve takes it last.
//! A gang that isn't urgent takes no slow machine beside faster ones, which it would hold at the slow one's pace.

use crate::planner::WorkerIndex;
use crate::planner::fit::Need;
use crate::planner::fleet_state::{FleetState, WorkerState};
use crate::planner::speed::MachineSpeed;

/// Added to the class of a reserved worker for work that isn't urgent: more than any class of speed.
const RESERVED_SLOWNESS: u32 = MachineSpeed::Slower as u32 + 1;
/// Added to the class of an avoided worker for a gang, which fails as a whole: more than any other class.
const AVOIDED_SLOWNESS: u32 = 2 * RESERVED_SLOWNESS;

/// Returns the class of a worker for a step by its speed; lower is preferred.
pub fn slowness(need: &Need<'_>, worker: &WorkerState) -> u32 {
    if need.priority == 0 {
        return worker.speed as u32;
    }
    let reserved = if worker.reserved { RESERVED_SLOWNESS } else { 0 };
    if need.is_restart() {
        // It is behind the other tasks of its step already, and would be the last to end on a slow machine.
        return worker.speed as u32 + reserved;
    }
    let reversed = MachineSpeed::Slower as u32 - worker.speed as u32;
    reversed + reserved
}

/// Returns the class of the chosen workers for a gang: that of its least preferred member. For an urgent gang this is
/// the slowest one, at whose pace it runs; for any other gang the fastest one, which it would hold at a slower pace.
pub fn gang_slowness(need: &Need<'_>, fleet: &FleetState, places: &[WorkerIndex]) -> u64 {
    let classes = places.iter().map(|&place| {
        let worker = &fleet.workers[place];
        slowness(need, worker) + if worker.avoided { AVOIDED_SLOWNESS } else { 0 }
    });
    // Of chosen workers with the same least preferred member, those of one speed are preferred.
    classes.max().map_or(0, u64::from) * 2 + u64::from(has_few_slower(fleet, places))
}

/// Returns whether some of the workers are slower machines, but fewer than half.
fn has_few_slower(fleet: &FleetState, places: &[WorkerIndex]) -> bool {
    let is_slower = |place: &&WorkerIndex| fleet.workers[**place].speed == MachineSpeed::Slower;
    let slower = places.iter().filter(is_slower).count();
    slower > 0 && slower * 2 < places.len()
}

/// Returns the workers without the slower machines if a gang would take few of these beside faster ones. Reserved
/// workers aren't taken in their place.
pub fn even_places(
    need: &Need<'_>,
    fleet: &FleetState,
    places: &[WorkerIndex],
    taken: &[WorkerIndex],
) -> Option<Vec<WorkerIndex>> {
    if !need.step.gang || !has_few_slower(fleet, taken) {
        return None;
    }
    let faster = places.iter().copied().filter(|place| {
        let worker = &fleet.workers[*place];
        worker.speed != MachineSpeed::Slower && (!worker.reserved || taken.contains(place))
    });
    Some(faster.collect())
}
