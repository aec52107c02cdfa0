//! Workers that are reserved for urgent work.
//!
//! Urgent work has little time: capacity that must first be freed by stops comes late, and the work of
//! the stopped runs is lost. Other work has time. So some workers take only urgent work, and other work
//! only if it would end late without them.

use crate::job::EpochMillis;
use crate::planner::WorkerIndex;
use crate::planner::fleet_state::FleetState;
use crate::planner::queue::WaitingStep;

/// Share of the usable workers that is reserved for urgent work, in percent.
const RESERVE_PERCENT: usize = 15;
/// Time before its latest start from which work that isn't urgent may use the reserve, in
/// milliseconds: half of the time that a task of most queues takes.
const RESERVE_LEAD_TIME_MS: u64 = 4_000;

/// Returns whether a step may use the workers that are reserved for urgent work.
pub fn may_use_reserve(waiting: &WaitingStep, wall: EpochMillis) -> bool {
    waiting.is_urgent() || wall + RESERVE_LEAD_TIME_MS > waiting.latest_start
}

/// Chooses the workers that are reserved for urgent work: those that run nothing else, sorted by rack,
/// so that gangs that want one rack fit there.
pub fn choose_reserve(fleet: &FleetState) -> Vec<WorkerIndex> {
    let max = fleet.workers.iter().filter(|worker| worker.usable).count() * RESERVE_PERCENT / 100;
    let mut is_occupied = vec![false; fleet.workers.len()];
    for task in fleet.running.iter().filter(|task| task.priority > 0) {
        is_occupied[task.place] = true;
    }
    let free = (0..fleet.workers.len()).filter(|&place| {
        let worker = &fleet.workers[place];
        worker.usable && !worker.avoided && !is_occupied[place]
    });
    let mut free: Vec<WorkerIndex> = free.collect();
    free.sort_by_key(|&place| fleet.workers[place].rack);
    free.truncate(max);
    free
}
