//! Decides in rounds which machines get their maintenance.
//!
//! A round is a function of the waves, of what the store keeps of them, of the machines as last listed, and of the work at
//! their workers. Between rounds only the answers of the interface in this term are kept, which a new leader does without:
//! it takes each order that the store keeps as one that may have been carried out.

mod attempts;
mod outcomes;
mod resolve;
mod sends;
mod take;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::job::EpochMillis;
use crate::keys::upkeep_key;
use crate::record::{KeyedRecord, Record, removal};

use super::budget::Budgets;
use super::control::{ControlError, UpkeepOrder};
use super::load::{Load, WorkerLoad};
use super::machine::{KnownMachines, Machine, MachineName, WorkerId};
use super::pace::CallPace;
use super::record::WaveProgress;
use super::wave::{WaveNumber, WaveOrder, WaveStatus};

use attempts::Attempt;

/// Age of the contact with the store from which nothing is ordered: another process may lead.
const MAX_STORE_AGE: Duration = Duration::from_millis(1000);
/// Longest time after which a leader usually has read an operator's record, in milliseconds. The time of a wave counts from
/// the acknowledgement of its record.
const READ_TIME_MS: u64 = 1000;
/// Time that must lie between the calls of two holders, by the users' bounds.
const HOLDER_GAP: Duration = Duration::from_millis(3000);
/// Time after the start of a term before which nothing is called. An earlier leader that doesn't hear from the store goes
/// on for `MAX_STORE_AGE`.
pub const TAKEOVER_PAUSE: Duration = HOLDER_GAP.saturating_add(MAX_STORE_AGE);

/// What a round depends on.
pub struct UpkeepInputs<'a> {
    /// The waves in force; `None` before the operators' topic was read.
    pub waves: Option<&'a BTreeMap<WaveNumber, WaveOrder>>,
    /// What the store keeps of each wave.
    pub kept: &'a BTreeMap<WaveNumber, Rc<WaveProgress>>,
    /// Epoch of this leader, the fencing token of its orders.
    pub token: u64,
    /// Highest epoch that the state shows.
    pub newest_epoch: u64,
    /// How long ago the store was heard; `None` if it wasn't.
    pub store_age: Option<Duration>,
    /// Monotonic time since the term began.
    pub now: Duration,
    /// Wall-clock time.
    pub wall: EpochMillis,
    /// The work at the workers.
    pub load: &'a Load,
}

impl UpkeepInputs<'_> {
    /// Returns whether this process certainly leads, no earlier leader calls any more, and it is known which waves are in
    /// force.
    fn may_call(&self) -> bool {
        self.now >= TAKEOVER_PAUSE
            && self.waves.is_some()
            && self.newest_epoch == self.token
            && self.store_age.is_some_and(|age| age < MAX_STORE_AGE)
    }

    fn load_of(&self, worker: &str) -> Option<&WorkerLoad> {
        self.load.workers.get(worker)
    }
}

/// A call to the interface.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepCall {
    /// List the machines.
    List,
    /// Begin the maintenance of a machine.
    Begin(UpkeepOrder),
}

/// What a round decides.
#[derive(Debug, Default)]
pub struct UpkeepActions {
    /// Records to be appended to the state, fenced. An order is sent only by a later round, which finds it there.
    pub records: Vec<KeyedRecord>,
    /// What operators are to be told.
    pub reports: Vec<(WaveNumber, WaveStatus)>,
    /// The calls to make now.
    pub calls: Vec<UpkeepCall>,
    /// Workers that get nothing new.
    pub closed: BTreeSet<WorkerId>,
    /// Workers whose runs are stopped.
    pub stopping: BTreeSet<WorkerId>,
}

/// Identifies a machine of a wave.
type TurnKey = (WaveNumber, MachineName);

/// The decisions of one term.
#[derive(Debug, Default)]
pub struct Upkeep {
    machines: KnownMachines,
    pace: CallPace,
    /// Orders of this term, and pauses of machines that were refused.
    attempts: BTreeMap<TurnKey, Attempt>,
    /// Answers that no round has dealt with yet.
    answers: Vec<(UpkeepOrder, Result<(), ControlError>)>,
    is_listing: bool,
    /// Whether a machine waits only for a recent list.
    is_order_due: bool,
    /// Waves, and when this term first saw their present records.
    first_seen: BTreeMap<WaveNumber, (WaveOrder, Duration)>,
    /// Machines that got nothing new since the last round at the latest.
    drained: BTreeSet<TurnKey>,
    /// Workers whose runs are being stopped, and since when.
    stopping_since: BTreeMap<TurnKey, Duration>,
    /// Machines whose turn is late, which are logged once.
    late: BTreeSet<TurnKey>,
    reports: outcomes::Reports,
    /// Machines of waves on which there is something left to do.
    named: BTreeSet<MachineName>,
}

/// State of one round.
struct Round<'a> {
    inputs: &'a UpkeepInputs<'a>,
    waves: BTreeMap<WaveNumber, Rc<WaveProgress>>,
    budgets: Budgets,
    actions: UpkeepActions,
}

impl Round<'_> {
    /// Returns a wave for changing it.
    fn edit(&mut self, wave: WaveNumber) -> Option<&mut WaveProgress> {
        self.waves.get_mut(&wave).map(Rc::make_mut)
    }

    /// Returns whether a wave is in force by its present record.
    fn is_in_force(&self, wave: WaveNumber) -> bool {
        self.inputs.waves.is_none_or(|waves| waves.contains_key(&wave))
    }

    /// Lists the machines that may be down, with their waves.
    fn may_be_down(&self) -> Vec<TurnKey> {
        let waves = self.waves.values();
        let turns = waves.flat_map(|wave| wave.turns.iter().map(|turn| (wave.wave, turn)));
        let down = turns.filter(|(_, (_, turn))| turn.may_be_down());
        down.map(|(wave, (name, _))| (wave, name.clone())).collect()
    }
}

impl Upkeep {
    /// Runs one round.
    #[must_use]
    pub fn round(&mut self, inputs: &UpkeepInputs<'_>) -> UpkeepActions {
        let mut round = Round {
            inputs,
            waves: inputs.kept.clone(),
            budgets: Budgets::new(&inputs.load.steps),
            actions: UpkeepActions::default(),
        };
        self.read_waves(&mut round);
        self.apply_answers(&mut round);
        self.resolve_turns(&mut round);
        self.decide_outcomes(&mut round);
        self.drain_machines_in_turn(&mut round);
        self.take_turns(&mut round);
        self.forget_ended(&mut round);
        if inputs.may_call() {
            self.send_orders(&mut round);
            self.request_list(&mut round);
            self.report(&mut round);
        }
        outcomes::count(&round.waves);
        round.into_actions()
    }

    /// Returns the workers of the machines of open waves, as they were listed last. Only their work is of interest.
    #[must_use]
    pub fn workers(&self) -> BTreeSet<WorkerId> {
        let listed = self.named.iter().filter_map(|name| self.machines.get(name));
        listed.map(|machine| machine.worker.clone()).collect()
    }

    /// Notes a list of all machines, and when it was requested.
    pub fn note_list(
        &mut self,
        requested_at: Duration,
        now: Duration,
        list: Result<Vec<Machine>, ControlError>,
    ) {
        self.is_listing = false;
        self.pace.note_call(now);
        match list {
            Ok(machines) => {
                self.pace.note_answer();
                self.machines.replace(machines, requested_at, self.named.iter());
            }
            Err(error) => {
                log::warn!("event=J216 machines not listed error={error}");
                self.pace.back_off(now);
            }
        }
    }

    /// Notes the answer to an order. The next round deals with it.
    pub fn note_answer(&mut self, order: UpkeepOrder, answer: Result<(), ControlError>) {
        self.answers.push((order, answer));
    }

    /// Notes that operators were told the status of a wave.
    pub fn note_report(&mut self, wave: WaveNumber, told: WaveStatus) {
        self.reports.note(wave, told);
    }

    /// Begins the progress of new waves, and replaces the orders of those with newer records.
    fn read_waves(&mut self, round: &mut Round<'_>) {
        let Some(waves) = round.inputs.waves else { return };
        let now = round.inputs.now;
        let acknowledged_at = round.inputs.wall.saturating_sub(READ_TIME_MS);
        self.first_seen.retain(|wave, (order, _)| waves.get(wave) == Some(order));
        for (number, order) in waves {
            self.first_seen.entry(*number).or_insert_with(|| (order.clone(), now));
            match round.waves.get(number) {
                Some(known) if known.order == *order => continue,
                Some(_) => {
                    if let Some(known) = round.edit(*number) {
                        known.replace(order.clone(), acknowledged_at);
                    }
                }
                None => {
                    let progress = WaveProgress::new(*number, order.clone(), acknowledged_at);
                    round.waves.insert(*number, Rc::new(progress));
                }
            }
            log_wave(*number, order);
        }
        let open = round.waves.values().filter(|wave| wave.is_open() || wave.down() > 0);
        let named = open.flat_map(|wave| wave.order.machines().iter().chain(wave.turns.keys()));
        self.named = named.cloned().collect();
    }

    /// Removes waves that are no longer in force, once none of their machines may be down.
    fn forget_ended(&mut self, round: &mut Round<'_>) {
        let ended = round.waves.values().filter(|wave| wave.down() == 0);
        let ended = ended.map(|wave| wave.wave).filter(|wave| !round.is_in_force(*wave));
        for wave in ended.collect::<Vec<_>>() {
            round.waves.remove(&wave);
        }
        let waves = &round.waves;
        self.attempts.retain(|(wave, _), _| waves.contains_key(wave));
        self.late.retain(|(wave, _)| waves.contains_key(wave));
        self.reports.retain(|wave| waves.contains_key(&wave));
    }
}

impl Round<'_> {
    /// Collects the records of the waves that have changed.
    fn into_actions(mut self) -> UpkeepActions {
        let kept = self.inputs.kept;
        for (number, wave) in &self.waves {
            if kept.get(number).is_none_or(|before| before != wave) {
                let record = Record::Upkeep(Box::new(wave.as_ref().clone()));
                self.actions.records.push(record.encode());
            }
        }
        let removed = kept.keys().filter(|number| !self.waves.contains_key(*number));
        self.actions.records.extend(removed.map(|number| removal(upkeep_key(*number))));
        self.actions
    }
}

fn log_wave(number: WaveNumber, order: &WaveOrder) {
    match (order, order.defect()) {
        (WaveOrder::Readable(spec), None) => log::info!(
            "event=J210 wave read wave={number} machines={} duration_ms={} max_count={}",
            spec.machines.len(),
            spec.duration_ms,
            spec.max_count
        ),
        (_, defect) => {
            let reason = defect.unwrap_or_default();
            log::warn!("event=J211 wave impossible wave={number} reason={reason:?}");
        }
    }
}
