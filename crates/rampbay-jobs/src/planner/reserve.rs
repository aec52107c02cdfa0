//! Workers that are kept for urgent work.
//!
//! Urgent work has little time: room that must first be made by stops comes late, and what was stopped
//! is thrown away. Other work has time. So some workers take only urgent work, unless the rest would
//! end late without them.

use crate::job::EpochMillis;

use super::Place;
use super::queue::WaitingStep;
use super::room::Rooms;

/// Share of the usable workers that is kept for urgent work, in percent.
const RESERVE_PERCENT: usize = 15;
/// Time before its latest start from which work that isn't urgent may use the reserve, in
/// milliseconds: half of the time that a task of most queues takes.
const PRESSED_MS: u64 = 4_000;

/// Returns whether a step may use the workers that are kept for urgent work.
pub fn may_use_reserve(waiting: &WaitingStep, wall: EpochMillis) -> bool {
    waiting.is_urgent() || wall + PRESSED_MS > waiting.latest_start
}

/// Chooses the workers that are kept for urgent work: those that run nothing else, close together, so
/// that gangs for one rack find room there.
pub fn choose_reserve(rooms: &mut Rooms) {
    let most = rooms.rooms.iter().filter(|room| room.usable).count() * RESERVE_PERCENT / 100;
    let mut is_taken = vec![false; rooms.rooms.len()];
    for task in rooms.running.iter().filter(|task| task.priority > 0) {
        is_taken[task.place] = true;
    }
    let free = (0..rooms.rooms.len()).filter(|&place| {
        let room = &rooms.rooms[place];
        room.usable && !room.avoided && !is_taken[place]
    });
    let mut free: Vec<Place> = free.collect();
    free.sort_by_key(|&place| rooms.rooms[place].rack);
    free.truncate(most);
    for place in free {
        rooms.rooms[place].reserved = true;
    }
}
