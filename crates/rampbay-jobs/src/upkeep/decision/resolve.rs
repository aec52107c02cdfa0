//! Finds out what has become of orders, by their answers and by the list of machines.

use std::time::Duration;

use crate::upkeep::control::{ControlError, UpkeepOrder};
use crate::upkeep::machine::MachineState;
use crate::upkeep::record::Turn;
use crate::upkeep::turns::{MAINTENANCE_TIME, STOP_TIME};

use super::attempts::{Attempt, Latest, MAX_CALL_DELAY};
use super::{Round, TAKEOVER_PAUSE, TurnKey, Upkeep};

impl Upkeep {
    /// Applies the answers that have come since the last round.
    pub(super) fn apply_answers(&mut self, round: &mut Round<'_>) {
        for (order, answer) in std::mem::take(&mut self.answers) {
            log::info!(
                "event=J214 maintenance answered wave={} machine={} token={} outcome={answer:?}",
                order.wave,
                order.machine,
                order.token
            );
            self.note_pace(answer, round.inputs.now);
            self.apply_answer(round, order, answer);
        }
    }

    fn note_pace(&mut self, answer: Result<(), ControlError>, now: Duration) {
        match answer {
            Err(ControlError::TooManyCalls | ControlError::NotSent | ControlError::NoAnswer) => {
                self.pace.back_off(now);
            }
            _ => self.pace.note_answer(),
        }
    }

    fn apply_answer(
        &mut self,
        round: &mut Round<'_>,
        order: UpkeepOrder,
        answer: Result<(), ControlError>,
    ) {
        let key = (order.wave, order.machine);
        let now = round.inputs.now;
        let attempt = self.attempts.entry(key.clone()).or_default();
        attempt.note(answer, now);
        let may_land = attempt.may_land(now);
        let Some(wave) = round.edit(order.wave) else { return };
        if !wave.turns.get(&key.1).is_some_and(Turn::may_be_down) {
            return;
        }
        match answer {
            Ok(()) => {
                wave.turns.insert(key.1, Turn::Begun);
            }
            Err(ControlError::Wave) => {
                wave.turns.insert(key.1, Turn::Refused);
            }
            Err(ControlError::Busy | ControlError::NoMachine) if !may_land => {
                wave.turns.remove(&key.1);
            }
            Err(_) => {}
        }
    }

    /// Resolves the turns of machines that may be down, by the list of machines.
    pub(super) fn resolve_turns(&mut self, round: &mut Round<'_>) {
        for key in round.may_be_down() {
            let Some(turn) = round.waves.get(&key.0).and_then(|wave| wave.turns.get(&key.1)) else {
                continue;
            };
            let resolved = match turn {
                Turn::Begun => self.resolve_begun(&key),
                Turn::Ordered(token) => self.resolve_ordered(round, &key, *token),
                Turn::Done | Turn::Refused => continue,
            };
            let Some(wave) = round.edit(key.0) else { continue };
            match resolved {
                Resolved::Unknown => {}
                Resolved::Is(turn) => {
                    wave.turns.insert(key.1, turn);
                }
                Resolved::NotBegun => {
                    wave.turns.remove(&key.1);
                }
            }
        }
    }

    fn resolve_begun(&self, key: &TurnKey) -> Resolved {
        let since = self.attempts.get(key).map_or(Duration::ZERO, |attempt| attempt.since);
        let state = self.machines.state_since(&key.1, since + MAINTENANCE_TIME);
        if state == Some(MachineState::Up) || self.machines.is_gone(&key.1) {
            return Resolved::Is(Turn::Done);
        }
        Resolved::Unknown
    }

    fn resolve_ordered(&mut self, round: &mut Round<'_>, key: &TurnKey, token: u64) -> Resolved {
        let now = round.inputs.now;
        let is_wanted = is_wanted(round, key);
        let is_own = token == round.inputs.token;
        let attempt = self.attempts.entry(key.clone()).or_insert_with(|| {
            // An earlier leader may have sent the order until the pause was over.
            let until = if is_own { Duration::ZERO } else { TAKEOVER_PAUSE + MAX_CALL_DELAY };
            Attempt::of_earlier_order(until)
        });
        let attempt = *attempt;
        if attempt.latest == Latest::Sent {
            return Resolved::Unknown;
        }
        if self.machines.is_gone(&key.1) {
            return Resolved::NotBegun;
        }
        let since = if is_own { attempt.since } else { attempt.since.max(TAKEOVER_PAUSE) };
        let state = self.machines.state_since(&key.1, since);
        if attempt.may_have_landed() && state == Some(MachineState::Upkeep) {
            return Resolved::Is(Turn::Begun);
        }
        if !attempt.may_land(now) && (!is_wanted || attempt.latest == Latest::Refused) {
            let is_limited = attempt.retry_at <= attempt.since;
            // An order that was refused since there were too many calls keeps its turn.
            if !is_wanted || !is_limited {
                return Resolved::NotBegun;
            }
        }
        let is_up = state == Some(MachineState::Up);
        if !is_own && is_wanted && is_up && self.may_repeat(round, key) {
            return Resolved::Is(Turn::Ordered(round.inputs.token));
        }
        Resolved::Unknown
    }

    /// Returns whether an earlier leader's order is repeated now. Work that came to the machine while nobody knew of the
    /// order is stopped first.
    fn may_repeat(&mut self, round: &mut Round<'_>, key: &TurnKey) -> bool {
        if !round.inputs.may_call() {
            return false;
        }
        let worker = self.machines.get(&key.1).map(|machine| machine.worker.clone());
        let worker = worker.unwrap_or_default();
        let runs = round.inputs.load_of(&worker).map_or(0, |load| load.runs);
        if runs == 0 {
            return true;
        }
        let now = round.inputs.now;
        let since = *self.stopping_since.entry(key.clone()).or_insert(now);
        round.actions.stopping.insert(worker);
        now.saturating_sub(since) >= STOP_TIME
    }
}

/// Returns whether the present record of a wave that is in force names a machine.
pub(super) fn is_wanted(round: &Round<'_>, key: &TurnKey) -> bool {
    let wave = round.waves.get(&key.0);
    let names = |name| wave.is_some_and(|wave| wave.order.machines().contains(name));
    round.is_in_force(key.0) && names(&key.1)
}

/// What has become of an order.
enum Resolved {
    /// It isn't known.
    Unknown,
    /// The machine's turn is this.
    Is(Turn),
    /// The maintenance hasn't begun, and won't by this order.
    NotBegun,
}
