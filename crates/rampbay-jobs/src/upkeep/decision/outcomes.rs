//! What operators are told of waves.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::metrics::metrics;
use crate::upkeep::machine::MachineName;
use crate::upkeep::record::{Turn, WaveProgress};
use crate::upkeep::wave::{WaveNumber, WaveStatus};

use super::{Round, Upkeep};

/// The reports of this term.
#[derive(Debug, Default)]
pub(super) struct Reports {
    under_way: BTreeSet<WaveNumber>,
    told: BTreeMap<WaveNumber, WaveStatus>,
}

impl Reports {
    pub fn note(&mut self, wave: WaveNumber, told: WaveStatus) {
        self.under_way.remove(&wave);
        self.told.insert(wave, told);
    }

    pub fn retain(&mut self, is_known: impl Fn(WaveNumber) -> bool) {
        self.told.retain(|wave, _| is_known(*wave));
    }
}

impl Upkeep {
    /// Decides the status of each wave.
    pub(super) fn decide_outcomes(&mut self, round: &mut Round<'_>) {
        let open = round.waves.values().filter(|wave| wave.is_open());
        let open: Vec<Rc<WaveProgress>> = open.cloned().collect();
        for wave in open {
            if !round.is_in_force(wave.wave) {
                continue;
            }
            let status = self.status_of(&wave);
            if status != wave.status
                && let Some(wave) = round.edit(wave.wave)
            {
                wave.status = status;
            }
        }
    }

    fn status_of(&self, wave: &WaveProgress) -> Option<WaveStatus> {
        let names = wave.order.machines();
        let is_listed = self
            .first_seen
            .get(&wave.wave)
            .is_some_and(|(_, since)| self.machines.is_listed_since(*since));
        if !is_listed {
            return wave.status.clone();
        }
        let is_gone = |name: &MachineName| self.machines.is_gone(name);
        if wave.status.is_none() {
            if names.iter().all(is_gone) && wave.turns.is_empty() {
                return Some(WaveStatus::Failed("none of the machines is known".to_owned()));
            }
            let is_known = |name: &MachineName| self.machines.get(name).is_some();
            return names.iter().any(is_known).then_some(WaveStatus::Running);
        }
        let has_begun = |name: &&MachineName| wave.turns.get(*name).is_some_and(Turn::has_begun);
        let left = names.iter().filter(|name| !has_begun(name) && !is_gone(name));
        let left: Vec<&MachineName> = left.collect();
        let is_refused = |name: &&MachineName| wave.turns.get(*name) == Some(&Turn::Refused);
        if left.is_empty() {
            return Some(WaveStatus::Succeeded);
        }
        if left.iter().all(is_refused) {
            let reason = format!("refused for the machine {}", left[0]);
            return Some(WaveStatus::Failed(reason));
        }
        wave.status.clone()
    }

    /// Tells operators what has changed.
    pub(super) fn report(&mut self, round: &mut Round<'_>) {
        let numbers: Vec<WaveNumber> = round.waves.keys().copied().collect();
        for number in numbers {
            self.note_told(round, number);
            let Some(wave) = round.waves.get(&number) else { continue };
            let Some(status) = &wave.status else { continue };
            let is_kept = round.inputs.kept.get(&number).map(|kept| &kept.status);
            // Only what the store keeps is told, so that a new leader doesn't decide otherwise.
            let is_due = is_kept == Some(&wave.status) && wave.reported != wave.status;
            if is_due && self.reports.under_way.insert(number) {
                log::info!("event=J215 wave status wave={number} status={status:?}");
                round.actions.reports.push((number, status.clone()));
            }
        }
    }

    /// Keeps what operators have been told, so that a new leader doesn't tell it again.
    fn note_told(&mut self, round: &mut Round<'_>, number: WaveNumber) {
        let Some(told) = self.reports.told.remove(&number) else { return };
        if let Some(wave) = round.edit(number) {
            wave.reported = Some(told);
        }
    }
}

/// Counts the machines of all waves by their state.
pub(super) fn count(waves: &BTreeMap<WaveNumber, Rc<WaveProgress>>) {
    let turns = || waves.values().flat_map(|wave| wave.turns.values());
    let of = |is_match: fn(&Turn) -> bool| turns().filter(|turn| is_match(turn)).count();
    let waiting = |wave: &&Rc<WaveProgress>| wave.is_open();
    let waiting = waves.values().filter(waiting).map(|wave| {
        let names = wave.order.machines().iter();
        names.filter(|name| !wave.turns.contains_key(*name)).count()
    });
    metrics().set_wave_machines("waiting", waiting.sum());
    metrics().set_wave_machines("ordered", of(|turn| matches!(turn, Turn::Ordered(_))));
    metrics().set_wave_machines("down", of(|turn| *turn == Turn::Begun));
    metrics().set_wave_machines("done", of(|turn| *turn == Turn::Done));
    metrics().set_wave_machines("refused", of(|turn| *turn == Turn::Refused));
}
