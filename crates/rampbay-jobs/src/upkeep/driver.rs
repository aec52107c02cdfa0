//! Makes the calls that a leader decides on.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::freshness::Freshness;
use crate::planner::{Planner, RoundInputs};
use crate::record::KeyedRecord;
use crate::store::{AppendError, Fence};

use super::control::{ControlError, MachineControl, UpkeepOrder};
use super::decision::{Upkeep, UpkeepActions, UpkeepCall, UpkeepInputs};
use super::load::{Load, WorkerDrains};
use super::machine::Machine;
use super::wave::{CurrentWaves, WaveNumber, WaveStatus};

/// Time between two rounds: half the shortest time between two calls.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two rounds, as a multiple of the time that the first one takes: the work at the workers of a whole
/// fleet takes 26 ms at 2,500 workers, and the planner needs the leader's thread.
const ROUND_INTERVAL_FACTOR: u32 = 10;
/// Pause before a report that may not have been stored is repeated.
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Writer name of reports, shared by all leaders, so that a late report of an earlier leader isn't stored.
const REPORT_WRITER: &str = "upkeep";

/// What a leader needs to serve waves.
#[derive(Clone)]
pub struct UpkeepParts {
    /// The interface.
    pub control: Rc<dyn MachineControl>,
    /// The waves that operators have ordered.
    pub waves: Rc<CurrentWaves>,
}

/// What has come of a call.
enum Outcome {
    Listed(Duration, Result<Vec<Machine>, ControlError>),
    Answered(UpkeepOrder, Result<(), ControlError>),
    Reported(Result<(), AppendError>),
}

/// Serves the waves during one term. The calls under way end with it.
pub struct UpkeepDriver {
    parts: UpkeepParts,
    upkeep: Upkeep,
    token: u64,
    started: Instant,
    next_round: Instant,
    drains: WorkerDrains,
    calls: JoinSet<Outcome>,
    /// Reports to be made, one after the other in this order.
    reports: VecDeque<(WaveNumber, WaveStatus)>,
    reports_made: u64,
    is_reporting: bool,
}

impl UpkeepDriver {
    /// Creates the driver of a term that has just begun, under an epoch.
    #[must_use]
    pub fn new(parts: UpkeepParts, token: u64) -> Self {
        Self {
            parts,
            upkeep: Upkeep::default(),
            token,
            started: Instant::now(),
            next_round: Instant::now(),
            drains: WorkerDrains::default(),
            calls: JoinSet::new(),
            reports: VecDeque::new(),
            reports_made: 0,
            is_reporting: false,
        }
    }

    /// Returns the workers that waves take out of use.
    #[must_use]
    pub const fn drains(&self) -> &WorkerDrains {
        &self.drains
    }

    /// Runs a round if one is due, starts its calls, and returns the records to be appended. `orders` tells how current
    /// the waves are, `state` how current the table.
    pub fn round(
        &mut self,
        planner: &Planner,
        inputs: &RoundInputs<'_>,
        state: &Freshness,
        orders: &Freshness,
    ) -> Vec<KeyedRecord> {
        let waves = self.parts.waves.view();
        let kept = &inputs.table.upkeep;
        if waves.is_empty() && kept.is_empty() {
            self.drains = WorkerDrains::default();
            return Vec::new();
        }
        if Instant::now() < self.next_round {
            return Vec::new();
        }
        let started = Instant::now();
        self.collect_outcomes();
        let control = Rc::clone(&self.parts.control);
        let worker_id = |instance: &str| control.worker_id(instance);
        let load = Load::new(planner, inputs, &self.upkeep.workers(), worker_id);
        let actions = self.upkeep.round(&UpkeepInputs {
            waves: orders.age().is_some().then_some(&*waves),
            kept,
            token: self.token,
            newest_epoch: inputs.table.leader.epoch,
            store_age: state.age(),
            now: self.started.elapsed(),
            wall: inputs.wall,
            load: &load,
        });
        let UpkeepActions { records, reports, calls, closed, stopping } = actions;
        self.drains = WorkerDrains::of(inputs.table, &closed, &stopping, worker_id);
        calls.into_iter().for_each(|call| self.start(call));
        self.reports.extend(reports);
        self.start_report();
        self.next_round = started + ROUND_INTERVAL.max(started.elapsed() * ROUND_INTERVAL_FACTOR);
        records
    }

    fn start(&mut self, call: UpkeepCall) {
        let control = Rc::clone(&self.parts.control);
        let requested_at = self.started.elapsed();
        self.calls.spawn_local(async move {
            match call {
                UpkeepCall::List => Outcome::Listed(requested_at, control.machines().await),
                UpkeepCall::Begin(order) => {
                    let answer = control.begin_upkeep(&order).await;
                    Outcome::Answered(order, answer)
                }
            }
        });
    }

    /// Makes the next report if none is under way. It is repeated unchanged until it is stored, so that the store takes
    /// the repetitions for one append.
    fn start_report(&mut self) {
        let Some((wave, status)) = self.reports.front().cloned().filter(|_| !self.is_reporting)
        else {
            return;
        };
        self.is_reporting = true;
        let control = Rc::clone(&self.parts.control);
        let fence = Fence {
            writer: REPORT_WRITER.to_owned(),
            epoch: self.token,
            sequence: self.reports_made,
        };
        self.calls.spawn_local(async move {
            let outcome = control.report(wave, &status, &fence).await;
            if outcome.is_err() {
                tokio::time::sleep(REPORT_PAUSE).await;
            }
            Outcome::Reported(outcome)
        });
    }

    fn collect_outcomes(&mut self) {
        let now = self.started.elapsed();
        while let Some(joined) = self.calls.try_join_next() {
            match joined {
                Ok(Outcome::Listed(requested_at, list)) => {
                    self.upkeep.note_list(requested_at, now, list);
                }
                Ok(Outcome::Answered(order, answer)) => self.upkeep.note_answer(order, answer),
                Ok(Outcome::Reported(outcome)) => self.note_report(&outcome),
                Err(error) => log::error!("event=J008 task panicked error={error}"),
            }
        }
    }

    fn note_report(&mut self, outcome: &Result<(), AppendError>) {
        self.is_reporting = false;
        if outcome.is_ok()
            && let Some((wave, status)) = self.reports.pop_front()
        {
            self.reports_made += 1;
            self.upkeep.note_report(wave, status);
        }
    }
}

/// Serves waves where that is set up, for a leader.
pub struct WaveService(Option<UpkeepDriver>);

impl WaveService {
    /// Creates the service of a term; it does nothing without `parts`.
    #[must_use]
    pub fn new(parts: Option<&UpkeepParts>, token: u64) -> Self {
        Self(parts.map(|parts| UpkeepDriver::new(parts.clone(), token)))
    }

    /// Returns the workers that waves take out of use.
    #[must_use]
    pub fn drains(&self) -> WorkerDrains {
        self.0.as_ref().map(|driver| driver.drains().clone()).unwrap_or_default()
    }

    /// Runs a round, see [`UpkeepDriver::round`].
    pub fn round(
        &mut self,
        planner: &Planner,
        inputs: &RoundInputs<'_>,
        state: &Freshness,
        orders: &Freshness,
    ) -> Vec<KeyedRecord> {
        let driver = self.0.as_mut();
        driver.map_or_else(Vec::new, |driver| driver.round(planner, inputs, state, orders))
    }
}
