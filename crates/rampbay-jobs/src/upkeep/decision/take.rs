//! Which machines are next in turn: they get nothing new, what runs there ends or is stopped, and their maintenance is
//! ordered.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::upkeep::load::WorkerLoad;
use crate::upkeep::machine::{MachineName, MachineState, WorkerId};
use crate::upkeep::record::{Turn, WaveProgress};
use crate::upkeep::turns::{STOP_TIME, WaitingTurn, until_latest};
use crate::upkeep::wave::{WaveNumber, WaveOrder, WaveSpec};

use super::sends::MAX_LIST_AGE;
use super::{Round, TurnKey, Upkeep};

/// A machine that waits for its turn, and may have it.
struct Candidate {
    name: MachineName,
    worker: WorkerId,
    load: WorkerLoad,
    until_idle: Option<Duration>,
}

impl Upkeep {
    /// Keeps new work away from machines that may be down, and counts their work as away.
    pub(super) fn drain_machines_in_turn(&self, round: &mut Round<'_>) {
        for (_, name) in round.may_be_down() {
            let Some(machine) = self.machines.get(&name) else { continue };
            round.actions.closed.insert(machine.worker.clone());
            if let Some(load) = round.inputs.load_of(&machine.worker) {
                round.budgets.take(load);
            }
        }
    }

    /// Drains the machines that are next in turn, and orders the maintenance of those that are ready.
    pub(super) fn take_turns(&mut self, round: &mut Round<'_>) {
        let drained = std::mem::take(&mut self.drained);
        let stopping: BTreeSet<TurnKey> = self.stopping_since.keys().cloned().collect();
        self.is_order_due = false;
        let numbers: Vec<WaveNumber> = round.waves.keys().copied().collect();
        for number in numbers {
            let Some(wave) = round.waves.get(&number).map(std::rc::Rc::clone) else { continue };
            let WaveOrder::Readable(spec) = &wave.order else { continue };
            if wave.is_open() && wave.status.is_some() && round.is_in_force(number) {
                self.take_turns_of(round, &wave, spec, &drained);
            }
        }
        let worked_on = &self.drained;
        let down: BTreeSet<TurnKey> = round.may_be_down().into_iter().collect();
        for key in stopping.iter().filter(|key| !worked_on.contains(*key) && !down.contains(*key)) {
            self.stopping_since.remove(key);
        }
    }

    fn take_turns_of(
        &mut self,
        round: &mut Round<'_>,
        wave: &WaveProgress,
        spec: &WaveSpec,
        drained: &BTreeSet<TurnKey>,
    ) {
        let waits =
            |name: &&MachineName| !wave.turns.contains_key(*name) && !self.machines.is_gone(name);
        let waiting: Vec<&MachineName> = spec.machines.iter().filter(waits).collect();
        let max_count = spec.max_count as usize;
        let ends_at = wave.acknowledged_at.saturating_add(spec.duration_ms);
        let left = Duration::from_millis(ends_at.saturating_sub(round.inputs.wall));
        let mut free = max_count.saturating_sub(wave.down());
        let mut position = 0;
        for candidate in self.candidates(round, wave.wave, &waiting, drained) {
            if position == max_count {
                break;
            }
            let until_latest = until_latest(left, waiting.len() - position, max_count);
            let turn = WaitingTurn { until_latest, until_idle: candidate.until_idle };
            let key = (wave.wave, candidate.name.clone());
            if !round.budgets.allow(&candidate.load) {
                self.log_late(key, until_latest, "budget");
                continue;
            }
            if !turn.should_drain() {
                continue;
            }
            if left.is_zero() {
                self.log_late(key.clone(), until_latest, "time");
            }
            position += 1;
            self.drained.insert(key.clone());
            round.actions.closed.insert(candidate.worker.clone());
            if free == 0 {
                continue;
            }
            free -= 1;
            let was_drained = drained.contains(&key);
            if self.is_ready(round, &candidate, &turn, &key, was_drained) {
                self.order(round, key);
            }
        }
    }

    /// Lists the machines that may have their turn now, in the order in which they get it: first those that are drained
    /// already, then those that are idle soonest. Machines without budget come last.
    fn candidates(
        &self,
        round: &Round<'_>,
        wave: WaveNumber,
        waiting: &[&MachineName],
        drained: &BTreeSet<TurnKey>,
    ) -> Vec<Candidate> {
        let down: BTreeSet<MachineName> =
            round.may_be_down().into_iter().map(|(_, name)| name).collect();
        let now = round.inputs.now;
        let candidate = |name: &MachineName| {
            let machine = self.machines.get(name)?;
            let key = (wave, name.clone());
            let is_paused = self.attempts.get(&key).is_some_and(|known| now < known.retry_at);
            if machine.state != MachineState::Up || down.contains(name) || is_paused {
                return None;
            }
            let load = round.inputs.load_of(&machine.worker).cloned().unwrap_or_default();
            let until_idle = if load.runs == 0 { Some(Duration::ZERO) } else { load.until_idle };
            let worker = machine.worker.clone();
            Some(Candidate { name: name.clone(), worker, load, until_idle })
        };
        let mut found: Vec<Candidate> = waiting.iter().filter_map(|name| candidate(name)).collect();
        found.sort_by_key(|candidate| {
            let is_drained = drained.contains(&(wave, candidate.name.clone()));
            let has_budget = round.budgets.allow(&candidate.load);
            (!has_budget, !is_drained, candidate.until_idle.unwrap_or(Duration::MAX))
        });
        found
    }

    /// Returns whether the maintenance of a machine is ordered now, and stops what runs there if its time has come.
    fn is_ready(
        &mut self,
        round: &mut Round<'_>,
        candidate: &Candidate,
        turn: &WaitingTurn,
        key: &TurnKey,
        was_drained: bool,
    ) -> bool {
        let now = round.inputs.now;
        if turn.should_stop() && candidate.load.runs > 0 {
            self.stopping_since.entry(key.clone()).or_insert(now);
        }
        let stopping_since = self.stopping_since.get(key).copied();
        if stopping_since.is_some() {
            round.actions.stopping.insert(candidate.worker.clone());
            round.budgets.take(&candidate.load);
        }
        let is_stopped = stopping_since.is_some_and(|since| now >= since + STOP_TIME);
        let is_idle = candidate.load.runs == 0 && was_drained;
        let is_out_of_time = is_stopped && turn.until_latest.is_zero();
        if !is_idle && !is_out_of_time {
            return false;
        }
        self.is_order_due = true;
        round.inputs.may_call() && self.machines.age(now).is_some_and(|age| age <= MAX_LIST_AGE)
    }

    /// Keeps an order. A later round sends it.
    fn order(&mut self, round: &mut Round<'_>, key: TurnKey) {
        let token = round.inputs.token;
        log::info!("event=J212 maintenance ordered wave={} machine={} token={token}", key.0, key.1);
        self.attempts.entry(key.clone()).or_default().begin_turn(round.inputs.now);
        self.stopping_since.remove(&key);
        self.late.remove(&key);
        if let Some(wave) = round.edit(key.0) {
            wave.turns.insert(key.1, Turn::Ordered(token));
        }
    }

    fn log_late(&mut self, key: TurnKey, until_latest: Duration, reason: &str) {
        if until_latest.is_zero() && self.late.insert(key.clone()) {
            log::warn!(
                "event=J213 maintenance late wave={} machine={} reason={reason}",
                key.0,
                key.1
            );
        }
    }
}
