//! Whether an urgent gang starts on the workers that are free, or waits for faster ones.
//!
//! Load: urgent gangs on machines of uneven speed. A gang runs at the pace of its slowest member; started on slow workers
//! it ends late, while fast ones that become free within its time to spare let it end in time.

use crate::planner::WorkerIndex;
use crate::planner::completion::options::StartOption;
use crate::planner::completion::room::RoomScope;
use crate::planner::fit::Need;
use crate::planner::policy::{StepAnswer, StepQuestion};

use super::questions::{Questions, Reason};
use super::rack::IDLE_FLEET_MS;

/// Returns whether a gang starts on the workers `places`, which are free, or waits for faster ones. It waits only for as
/// long as the users allow beside free room on a fleet that is half idle.
pub fn start_at(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    places: &[WorkerIndex],
    questions: &Questions,
) -> StepAnswer {
    let waiting = question.waiting;
    let has_time = question.waited_ms() < IDLE_FLEET_MS && !waiting.is_late(question.inputs().wall);
    if need.priority > 0 || waiting.guaranteed || !has_time {
        return StepAnswer::Now;
    }
    let completion = &question.round.completion;
    let sites = places.iter().copied();
    let conditions = completion.conditions_at(question.fleet, need.step, sites);
    let now = question.times(need, StartOption::Now(places));
    let Some(now) = now.filter(|now| !question.is_in_time(now.end.ms)) else {
        return StepAnswer::Now;
    };
    // A spread gang isn't late for slow workers, and what isn't known of the workers is no reason to wait.
    if conditions.is_remote || !conditions.is_speed_known || !questions.may_ask(question, 1) {
        return StepAnswer::Now;
    }
    let left_ms = question.left_ms() as f64;
    let fast_enough = |place: &WorkerIndex| {
        let slowness = completion.slowness(question.fleet, *place);
        now.end.ms as f64 * slowness / conditions.slowness <= left_ms
    };
    let eligible = need.eligible(question.fleet).iter().copied();
    let fast = need.at(eligible.filter(fast_enough).collect());
    let scope = if question.wants_rack() { RoomScope::OneRack } else { RoomScope::Anywhere };
    let room = question.room(&fast, scope);
    match room.filter(|room| question.is_in_time(question.certain_ms(room.times.end))) {
        Some(room) => {
            questions.note(question, Reason::FasterWorkersSoon, Some(room.times), Some(now));
            StepAnswer::Wait(room.places)
        }
        None => StepAnswer::Now,
    }
}
