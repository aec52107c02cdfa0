//! Which calls are made.

use std::time::Duration;

use crate::upkeep::control::UpkeepOrder;
use crate::upkeep::machine::MachineState;
use crate::upkeep::record::Turn;
use crate::upkeep::turns::MAINTENANCE_TIME;

use super::attempts::Latest;
use super::resolve::is_wanted;
use super::{Round, TurnKey, Upkeep, UpkeepCall};

/// Largest number of orders under way at a slow interface; the rate of calls is limited besides.
const MAX_ORDERS_UNDER_WAY: usize = 4;
/// Age from which a list is read again while a machine is about to be ordered or to come up.
pub(super) const MAX_LIST_AGE: Duration = Duration::from_millis(1000);
/// Age from which a list is read again while machines of waves wait, so that machines that vanish are noticed. Each call is
/// paid for.
const IDLE_LIST_AGE: Duration = Duration::from_secs(10);

impl Upkeep {
    /// Sends the orders that the store keeps under this leader's token. A list is several calls, which the rate of calls
    /// allows only without others beside them.
    pub(super) fn send_orders(&mut self, round: &mut Round<'_>) {
        if self.is_listing {
            return;
        }
        for key in round.may_be_down() {
            let token = round.inputs.token;
            let is_kept = |key: &TurnKey| {
                let kept = round.inputs.kept.get(&key.0);
                kept.and_then(|kept| kept.turns.get(&key.1)) == Some(&Turn::Ordered(token))
            };
            let now_is = round.waves.get(&key.0).and_then(|wave| wave.turns.get(&key.1));
            if now_is != Some(&Turn::Ordered(token)) || !is_kept(&key) || !is_wanted(round, &key) {
                continue;
            }
            if !self.pace.is_ready(round.inputs.now) || !self.may_send(&key, round.inputs.now) {
                continue;
            }
            self.pace.note_call(round.inputs.now);
            self.attempts.entry(key.clone()).or_default().latest = Latest::Sent;
            let order = UpkeepOrder { wave: key.0, machine: key.1, token };
            round.actions.calls.push(UpkeepCall::Begin(order));
        }
    }

    fn may_send(&self, key: &TurnKey, now: Duration) -> bool {
        let under_way = self.attempts.values().filter(|known| known.latest == Latest::Sent);
        if under_way.count() >= MAX_ORDERS_UNDER_WAY {
            return false;
        }
        let Some(attempt) = self.attempts.get(key) else { return true };
        // An order that may have been carried out is repeated only where the machine shows no maintenance.
        let is_up = || self.machines.state_since(&key.1, attempt.since) == Some(MachineState::Up);
        match attempt.latest {
            Latest::Sent | Latest::Fenced | Latest::Begun => false,
            Latest::None => true,
            Latest::Unanswered => is_up(),
            Latest::Refused => now >= attempt.retry_at && (!attempt.may_have_landed() || is_up()),
        }
    }

    /// Requests the list of machines if a decision waits for it.
    pub(super) fn request_list(&mut self, round: &mut Round<'_>) {
        let now = round.inputs.now;
        if self.is_listing || !self.pace.is_ready(now) || !self.needs_list(round) {
            return;
        }
        self.pace.note_call(now);
        self.is_listing = true;
        round.actions.calls.push(UpkeepCall::List);
    }

    fn needs_list(&self, round: &Round<'_>) -> bool {
        let now = round.inputs.now;
        let age = self.machines.age(now);
        let is_older = |limit: Duration| age.is_none_or(|age| age >= limit);
        let down = round.may_be_down();
        let is_open = |wave: &super::WaveNumber| {
            round.is_in_force(*wave) && round.waves.get(wave).is_some_and(|wave| wave.is_open())
        };
        let open: Vec<super::WaveNumber> =
            round.waves.keys().copied().filter(|wave| is_open(wave)).collect();
        let unseen = |wave: &super::WaveNumber| {
            let seen = self.first_seen.get(wave);
            seen.is_none_or(|(_, since)| !self.machines.is_listed_since(*since))
        };
        let may_be_gone = self.named.iter().any(|name| self.machines.may_be_gone(name));
        open.iter().any(unseen)
            || (!open.is_empty() && (may_be_gone || self.is_order_due) && is_older(MAX_LIST_AGE))
            || (!open.is_empty() && is_older(IDLE_LIST_AGE))
            || down.iter().any(|key| self.is_awaited(round, key) && is_older(MAX_LIST_AGE))
    }

    /// Returns whether a list may show now what has become of an order.
    fn is_awaited(&self, round: &Round<'_>, key: &TurnKey) -> bool {
        let attempt = self.attempts.get(key).copied().unwrap_or_default();
        let turn = round.waves.get(&key.0).and_then(|wave| wave.turns.get(&key.1));
        match turn {
            Some(Turn::Begun) => round.inputs.now >= attempt.since + MAINTENANCE_TIME,
            Some(Turn::Ordered(token)) => {
                let is_own = *token == round.inputs.token;
                !is_own || matches!(attempt.latest, Latest::Unanswered | Latest::Refused)
            }
            _ => false,
        }
    }
}
