//! How long a gang that wants one rack waits for it before it is spread over several.
//!
//! Load: gangs of 1 to 8 accelerators a task that want one rack, beside steps of many single tasks. Spread over racks, a
//! gang takes several times as long, and holds its workers for that time. So it waits for as long as the estimate says
//! that it ends sooner that way, within the users' rule that no job stands still for 3 s beside free room on a fleet that
//! is half idle. While the estimate's errors aren't known, constants bound the wait.

use crate::planner::PlannerSettings;
use crate::planner::completion::room::RoomScope;
use crate::planner::fit::Need;
use crate::planner::fleet_state::FleetState;
use crate::planner::policy::{ExpectedRoom, StepQuestion};
use crate::planner::queue::WaitingStep;

use super::questions::{Questions, Reason};
use super::reserve::IDLE_BELOW_PERCENT;

/// Longest wait of guaranteed work, in milliseconds: it has to start within 2.7 s, stops included.
const GUARANTEED_MS: u64 = 700;
/// Longest wait on a fleet that is half idle, in milliseconds: the users' 3 s without the time of a round and a start.
pub const IDLE_FLEET_MS: u64 = 2_300;
/// Longest wait of urgent work, in milliseconds: it ends late anyway if it is spread.
const URGENT_MS: u64 = 8_000;
/// Wait of other work whose tasks are short, in milliseconds: spread, it would delay the others on a busy fleet.
const MIN_OTHER_MS: u64 = 12_000;
/// Number of these times after which a gang is spread whatever the estimate says: a rack that was expected for that long
/// goes to others, or its runs don't end.
const MAX_WAITS: u64 = 2;
/// Number of times that a job fits into the room beside which the users don't let it stand still.
const FREE_ROOM_FACTOR: usize = 2;

/// The times for which gangs wait for one rack.
#[derive(Clone, Copy, Debug)]
pub struct RackWaits {
    /// Factor by which a gang takes longer if it is spread over racks.
    remote_penalty: u64,
}

impl RackWaits {
    /// Takes the factor from a planner's settings.
    pub const fn new(settings: &PlannerSettings) -> Self {
        Self { remote_penalty: settings.remote_penalty }
    }

    /// Returns whether a gang goes on waiting for one rack.
    pub fn waits(
        &self,
        question: &StepQuestion<'_>,
        need: &Need<'_>,
        questions: &Questions,
    ) -> bool {
        let (waiting, fleet) = (question.waiting, question.fleet);
        let (waited_ms, max_wait_ms) = (question.waited_ms(), self.max_wait_ms(waiting, fleet));
        let by_constants = waited_ms <= max_wait_ms;
        let is_bound = waiting.guaranteed || fleet.percent_used() < IDLE_BELOW_PERCENT;
        if is_bound || waited_ms > max_wait_ms * MAX_WAITS || !questions.may_ask(question, 2) {
            return by_constants;
        }
        let Some(rack) = question.room(need, RoomScope::OneRack) else { return by_constants };
        let spread = question.room(need, RoomScope::Anywhere);
        let waits = ends_sooner_in_rack(question, &rack, spread.as_ref(), by_constants)
            && !stands_beside_room(question, need, spread.as_ref(), questions);
        let (rack, spread) = (Some(rack.times), spread.map(|spread| spread.times));
        match (waits, by_constants) {
            (true, false) => questions.note(question, Reason::RackSoon, rack, spread),
            (false, true) => questions.note(question, Reason::RackLate, spread, rack),
            _ => {}
        }
        waits
    }

    fn max_wait_ms(&self, waiting: &WaitingStep, fleet: &FleetState) -> u64 {
        if waiting.guaranteed {
            return GUARANTEED_MS;
        }
        if fleet.percent_used() < IDLE_BELOW_PERCENT {
            return IDLE_FLEET_MS;
        }
        if waiting.is_urgent() {
            return URGENT_MS;
        }
        MIN_OTHER_MS.max(self.spread_delay_ms(waiting))
    }

    /// Returns how much longer the gang is expected to take if it is spread, in milliseconds.
    const fn spread_delay_ms(&self, waiting: &WaitingStep) -> u64 {
        waiting.duration_ms * self.remote_penalty.saturating_sub(1)
    }
}

/// Returns whether a gang ends sooner in the rack that is expected to have room than spread over several. Where that
/// isn't certain, `by_constants` decides.
fn ends_sooner_in_rack(
    question: &StepQuestion<'_>,
    rack: &ExpectedRoom,
    spread: Option<&ExpectedRoom>,
    by_constants: bool,
) -> bool {
    let Some(spread) = spread else { return true };
    if question.is_measured() {
        return rack.times.end.ms < spread.times.end.ms;
    }
    let is_in_time = |room: &ExpectedRoom| question.is_in_time(room.times.end.late_ms);
    if is_in_time(spread) && !is_in_time(rack) {
        return false;
    }
    // The time that the gang takes is as uncertain for both, so only the wait counts with its early end.
    let taken_ms = rack.times.end.late_ms.saturating_sub(rack.times.start.late_ms);
    let early_end_ms = rack.times.start.early_ms.saturating_add(taken_ms);
    early_end_ms < spread.times.end.late_ms && by_constants
}

/// Returns whether the gang has waited for as long as the users allow beside free room for it twice over.
fn stands_beside_room(
    question: &StepQuestion<'_>,
    need: &Need<'_>,
    spread: Option<&ExpectedRoom>,
    questions: &Questions,
) -> bool {
    let fits_now = spread.is_some_and(|spread| spread.times.start.ms == 0);
    if question.waited_ms() <= IDLE_FLEET_MS || !fits_now || !questions.may_ask(question, 1) {
        return false;
    }
    let twice = StepQuestion { count: question.count * FREE_ROOM_FACTOR, ..*question };
    twice.room(need, RoomScope::Anywhere).is_some_and(|room| room.times.start.ms == 0)
}
