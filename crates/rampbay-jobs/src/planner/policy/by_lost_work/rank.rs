//! The ranks of workers and racks for a step.

use crate::planner::WorkerIndex;
use crate::planner::fit::Need;
use crate::planner::fleet_state::{FleetState, WorkerState};
use crate::planner::policy::{Candidate, RackRank, WorkerRank};
use crate::planner::speed::MachineSpeed;

/// Returns the speed of a worker's machine as far as it matters for a step: only urgent work is short of time.
fn speed_for(need: &Need<'_>, worker: &WorkerState) -> MachineSpeed {
    if need.priority == 0 { worker.speed } else { MachineSpeed::Usual }
}

fn is_slower_for(need: &Need<'_>, worker: &WorkerState) -> bool {
    speed_for(need, worker) == MachineSpeed::Slower
}

/// Returns the rank of a worker. Among workers where the task fits now, the fullest is preferred; where runs have to be
/// stopped, the one where that costs least.
pub fn worker_rank(need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank {
    let Candidate { worker, free, stop_cost } = *candidate;
    let rank = WorkerRank {
        avoided: worker.avoided,
        unconfirmed: worker.unconfirmed,
        free_devices: free.devices,
        ..WorkerRank::default()
    };
    match stop_cost {
        Some(stop_cost) => {
            WorkerRank { slowness: u32::from(is_slower_for(need, worker)), stop_cost, ..rank }
        }
        None => WorkerRank {
            remote: need.is_remote(worker),
            failed: need.has_failed_at(worker),
            slowness: speed_for(need, worker) as u32,
            free_cpu_milli: free.cpu_milli,
            ..rank
        },
    }
}

/// Returns the rank of a rack. Prefers the rack of the data, then the one with fewer slower machines, then the one with
/// the fewest free accelerators.
pub fn rack_rank(
    need: &Need<'_>,
    fleet: &FleetState,
    rack: usize,
    places: &[WorkerIndex],
) -> RackRank {
    let data_rack = &need.step.data_rack;
    let slower = places.iter().filter(|&&place| is_slower_for(need, &fleet.workers[place]));
    RackRank {
        remote: !data_rack.is_empty() && *data_rack != fleet.racks[rack],
        slowness: slower.count() as u64,
        free_devices: fleet.free_devices_in(rack),
    }
}
