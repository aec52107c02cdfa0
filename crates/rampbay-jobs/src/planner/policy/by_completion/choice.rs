//! Whether runs are stopped for a step, or it waits for room.
//!
//! Load: bursts of urgent gangs on a full fleet. Three choices are compared by when the step ends: to wait until room is
//! expected, to stop runs, and to start elsewhere, that is spread over racks. A stop loses work for certain, so it is
//! made only where the step then ends in time and wouldn't otherwise, or where it is late and ends markedly sooner.

use crate::job::EpochMillis;
use crate::planner::completion::options::{ExpectedTimes, StartOption};
use crate::planner::completion::room::RoomScope;
use crate::planner::displace::may_hold_at;
use crate::planner::fit::Need;
use crate::planner::policy::by_lost_work::priority_weight;
use crate::planner::policy::{ExpectedRoom, Preemption, StepAnswer, StepQuestion};
use crate::planner::units::Unit;

use super::questions::{Questions, Reason};
use super::worth;

/// Least time by which a late step has to end sooner for runs to be stopped, in milliseconds: twice of what a stop, its
/// end and the next start take from it.
const MIN_SAVED_MS: u64 = 1_000;

/// Returns whether the stops are made that were found for a step.
pub fn make_stops(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    stops: &Preemption,
    allowed: u64,
    questions: &Questions,
) -> StepAnswer {
    let searches = if question.wants_rack() { 2 } else { 1 };
    // Without victims the room is becoming free by stops under way, and has to be kept for the step.
    let is_decided = question.waiting.guaranteed || stops.victims.is_empty();
    if is_decided || !questions.may_ask(question, searches) {
        return StepAnswer::Now;
    }
    let Some(stopped) = question.times(need, StartOption::AfterStops(&stops.places)) else {
        return StepAnswer::Now;
    };
    let room = best_room(question, need);
    let Some(reason) = reason_to_wait(question, need, stops, allowed, stopped, room.as_ref())
    else {
        return StepAnswer::Now;
    };
    questions.note(question, reason, room.as_ref().map(|room| room.times), Some(stopped));
    StepAnswer::Wait(room.map_or_else(Vec::new, |room| room.places))
}

/// Returns the room at which the step ends first if nothing is stopped. Room for a gang that can't be held for it doesn't
/// count: less urgent work would take it piece by piece.
fn best_room(question: &StepQuestion<'_>, need: &Need<'_>) -> Option<ExpectedRoom> {
    let in_rack = question.wants_rack().then(|| question.room(need, RoomScope::OneRack)).flatten();
    let anywhere = question.room(need, RoomScope::Anywhere);
    let is_kept = |room: &ExpectedRoom| {
        room.times.start.ms == 0 || !need.step.gang || may_hold_at(question.fleet, &room.places)
    };
    let rooms = in_rack.into_iter().chain(anywhere).filter(is_kept);
    rooms.min_by_key(|room| question.certain_ms(room.times.end))
}

/// Returns why the stops aren't made; `None` if they are.
fn reason_to_wait(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    stops: &Preemption,
    allowed: u64,
    stopped: ExpectedTimes,
    room: Option<&ExpectedRoom>,
) -> Option<Reason> {
    let (wall, deadline) = (question.inputs().wall, question.deadline());
    let stopped_end = wall + stopped.end.ms;
    let waited_end =
        room.map_or(EpochMillis::MAX, |room| wall + question.certain_ms(room.times.end));
    if waited_end <= deadline.in_time {
        return Some(Reason::RoomInTime);
    }
    let is_late = stopped_end > deadline.in_time;
    if is_late && waited_end < stopped_end + MIN_SAVED_MS {
        return Some(Reason::StopsDontPay);
    }
    let worth = worth::of_end(stopped_end, deadline);
    let gained = worth.saturating_sub(worth::of_end(waited_end, deadline));
    // The costs of stops are weighted by priority, so the gain is as well.
    let whole = u128::from(allowed) * u128::from(priority_weight(need.priority));
    let gain = whole * u128::from(gained) / u128::from(worth::IN_TIME);
    let loss = stops.cost.saturating_add(lateness_cost(question, stops, stopped));
    (u128::from(loss) >= gain).then_some(Reason::StopsDontPay)
}

/// Returns what the callers of the stopped runs lose because the runs end later, beyond the work that is lost, in the
/// unit of the costs of stops.
fn lateness_cost(question: &StepQuestion<'_>, stops: &Preemption, stopped: ExpectedTimes) -> u64 {
    let Some(units) = &question.fleet.units else { return 0 };
    let victims = stops.victims.iter().filter_map(|&victim| units.units.get(victim));
    // They start again when the step has ended, if not elsewhere.
    let held_ms = stopped.end.ms;
    victims.map(|unit| lateness_cost_of(question, unit, held_ms).unwrap_or(0)).sum()
}

/// Returns this cost for one unit, which waits for `held_ms` until it starts again; `None` if it has no end.
fn lateness_cost_of(question: &StepQuestion<'_>, unit: &Unit, held_ms: u64) -> Option<u64> {
    let completion = &question.round.completion;
    let inputs = question.inputs();
    let submission = &inputs.table.jobs.get(&unit.first.job)?.submission;
    let deadline = completion.deadline(submission, unit.first.occurrence, unit.first.step)?;
    let step = submission.steps.get(unit.first.step as usize)?;
    let weight = step.demand.weight().max(1) * unit.held.len() as u64;
    let lost_ms = unit.lost_work * 1000 / weight;
    let end = inputs.wall + completion.end_of_unit(question.fleet, &unit.first)?.ms;
    let lost = worth::of_end(end, deadline)
        .saturating_sub(worth::of_end(end + lost_ms + held_ms, deadline));
    let work = weight * completion.step_duration_ms(submission, step) / 1000;
    Some(work * priority_weight(unit.priority) * lost / worth::IN_TIME)
}
