//! The planner: decides from the table what starts where and what is stopped, round by round.
//!
//! A round is a function of the table, the configuration, the runs' progress and the time. It
//! returns the records that hold its decisions; nothing counts before the store has kept them.
//! What a planner remembers between rounds ([`health`], waits for evictions) only sways choices
//! and may be lost with it.

mod allowance;
mod departure;
mod draft;
mod drain;
mod evict;
mod exhausted;
mod expire;
mod forecast;
mod gang;
pub mod health;
mod isolate;
mod lost;
mod make_room;
mod pace;
mod place;
mod power_loss;
mod preempt;
mod progress;
mod queue;
mod rack;
mod reserve;
mod room;
mod running;
mod settle;
mod units;
mod unreported;
mod waits;
mod watch;
mod workers;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::drained::DrainedDomains;
use crate::job::{EpochMillis, InstanceId, JobId};
use crate::parts::PlanLayout;
use crate::record::KeyedRecord;
use crate::routing::Routing;
use crate::table::JobTable;

pub use progress::{ProgressTable, Seen};
pub use waits::WaitReason;

use draft::Draft;
use forecast::Forecasts;
use health::HealthBook;
use lost::RecentlyLost;
use pace::PaceBook;
use power_loss::PowerLosses;
use settle::SettledPlans;
use unreported::UnreportedRuns;
use waits::WaitBook;
use workers::WorkerViews;

/// Names the tasks of one step of one occurrence.
type StepKey = (JobId, u32, u32);
/// Place of a worker in a round: its index among all workers, in the order of their ids.
type Place = usize;

/// What a planner goes by: times, and how it writes.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Age of a report after which its worker gets no new work.
    pub suspect_after: Duration,
    /// Age of a report after which its worker's runs are given up.
    pub evict_after: Duration,
    /// Time after an eviction from which no run of the worker can exist any more.
    pub remove_evicted_after: Duration,
    /// Time after a worker's good-bye from which none of its runs can exist any more.
    pub remove_departed_after: Duration,
    /// Time without progress after which a run is moved.
    pub stall_after: Duration,
    /// How long a job is kept after its end.
    pub ended_job_retention: Duration,
    /// Oldest knowledge of what operators want under which runs are assigned.
    pub max_drain_orders_age: Duration,
    /// How much longer work takes away from its data or spread over racks.
    pub remote_penalty: u64,
    /// How accounts are written.
    pub plan_layout: PlanLayout,
}

/// What one round goes by.
pub struct RoundInputs<'a> {
    /// Jobs and workers.
    pub table: &'a JobTable,
    /// The configuration.
    pub routing: &'a Routing,
    /// The failure domains that operators have drained, as this process reads their orders.
    pub drained: &'a DrainedDomains,
    /// Age of what is known of the operators' orders; `None` before the first read.
    pub drain_orders_age: Option<Duration>,
    /// Progress of the runs.
    pub progress: &'a ProgressTable,
    /// Steady time since the planner began.
    pub now: Duration,
    /// Time of day.
    pub wall: EpochMillis,
}

/// The planner.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    health: HealthBook,
    forecasts: Forecasts,
    pace: PaceBook,
    waits: WaitBook,
    evicted_since: BTreeMap<InstanceId, Duration>,
    departed_since: BTreeMap<InstanceId, Duration>,
    known_since: BTreeMap<InstanceId, Duration>,
    /// Whether the operators' orders were known well enough in the last round.
    knows_operators: bool,
    ended_since: BTreeMap<JobId, Duration>,
    /// Since when this planner has known that registrations of workers are over.
    over_since: BTreeMap<InstanceId, Duration>,
    /// When ended jobs are looked for next.
    expires_next: Duration,
    settled: SettledPlans,
    /// State of the progress at which runs were last looked at.
    watched: Option<u64>,
    /// Workers that went lately without notice.
    recently_lost: RecentlyLost,
    /// Machines that lost their power lately.
    power_losses: PowerLosses,
    /// Whether runs on workers that are gone have been looked for since the workers changed.
    lost_runs_checked: bool,
    /// Assigned runs that their agents don't report.
    unreported: UnreportedRuns,
}

/// Most workers that one line of the log names.
const MOST_NAMED: usize = 8;

/// Tells which workers' registrations have come and gone since the last round.
fn log_changed_workers(known: &BTreeMap<InstanceId, Duration>, table: &JobTable) {
    let workers = &table.workers;
    let came = workers.keys().filter(|instance| !known.contains_key(*instance));
    let gone = known.keys().filter(|instance| !workers.contains_key(*instance));
    let came: Vec<&InstanceId> = came.collect();
    let gone: Vec<&InstanceId> = gone.collect();
    log::info!(
        "event=J136 registrations changed workers={} came={} gone={} names_came={:?} names_gone={:?}",
        workers.len(),
        came.len(),
        gone.len(),
        &came[..came.len().min(MOST_NAMED)],
        &gone[..gone.len().min(MOST_NAMED)]
    );
}

impl Planner {
    /// Makes a planner that remembers nothing.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self {
            settings,
            health: HealthBook::default(),
            forecasts: Forecasts::default(),
            pace: PaceBook::default(),
            waits: WaitBook::default(),
            evicted_since: BTreeMap::new(),
            departed_since: BTreeMap::new(),
            known_since: BTreeMap::new(),
            knows_operators: true,
            ended_since: BTreeMap::new(),
            over_since: BTreeMap::new(),
            expires_next: Duration::ZERO,
            settled: SettledPlans::default(),
            watched: None,
            recently_lost: RecentlyLost::default(),
            power_losses: PowerLosses::default(),
            lost_runs_checked: false,
            unreported: UnreportedRuns::default(),
        }
    }

    /// Decides one round.
    #[must_use]
    pub fn round(&mut self, inputs: &RoundInputs<'_>) -> Vec<KeyedRecord> {
        self.note_workers(inputs);
        self.note_returns(inputs);
        self.forecasts.update(inputs.table);
        let workers = WorkerViews::new(inputs, &self.known_since);
        let mut draft = Draft::new(inputs.table);
        settle::take_in_ends(&mut draft, inputs, &mut self.health);
        if !std::mem::replace(&mut self.lost_runs_checked, true) {
            lost::give_up_lost_runs(self, &mut draft, inputs);
        }
        lost::give_up_crashing(&mut draft);
        settle::cancel(&mut draft);
        settle::settle(&mut draft, inputs, &mut self.settled);
        drain::record(&mut draft, inputs);
        evict::evict(self, &mut draft, &workers, inputs);
        evict::give_up_departed(self, &mut draft, inputs);
        self.pace.update(&draft, inputs, &self.forecasts);
        watch::move_runs(self, &mut draft, &workers, inputs);
        let waits = if drain::check_known(self, inputs) {
            place::place(self, &mut draft, &workers, inputs)
        } else {
            Vec::new()
        };
        self.waits.update(&waits, inputs.now);
        expire::expire(self, &mut draft, inputs);
        expire::expire_registrations(self, &mut draft, inputs);
        draft.into_records(self.settings.plan_layout)
    }

    /// Returns why a step of a job waits, if it does.
    #[must_use]
    pub fn wait_reason(&self, job: &str, occurrence: u32, step: u32) -> Option<WaitReason> {
        self.waits.reason(&(job.to_owned(), occurrence, step))
    }

    /// Counts a worker's silence from its return: its agent reports only after that, and would be evicted again
    /// for what it couldn't report before (up to 38 times within 10 s of being in touch again).
    fn note_returns(&mut self, inputs: &RoundInputs<'_>) {
        let evicted = &inputs.table.evicted;
        let returned = self.evicted_since.keys().filter(|instance| !evicted.contains(*instance));
        for instance in returned {
            if let Some(known) = self.known_since.get_mut(instance) {
                *known = inputs.now;
            }
        }
    }

    fn note_lost_workers(&mut self, inputs: &RoundInputs<'_>) {
        let table = inputs.table;
        let gave_notice = |instance: &InstanceId| {
            table.ended_incarnations.get(instance).is_some_and(|over| over.gave_notice)
        };
        let gone = self
            .known_since
            .keys()
            .filter(|instance| !table.workers.contains_key(*instance) && !gave_notice(instance));
        self.recently_lost.note(gone.cloned(), inputs.now);
    }

    fn note_workers(&mut self, inputs: &RoundInputs<'_>) {
        let workers = &inputs.table.workers;
        if self.known_since.keys().eq(workers.keys()) {
            return;
        }
        self.lost_runs_checked = false;
        log_changed_workers(&self.known_since, inputs.table);
        self.note_lost_workers(inputs);
        self.known_since.retain(|instance, _| workers.contains_key(instance));
        self.health.keep_only(|instance| workers.contains_key(instance));
        for instance in workers.keys() {
            self.known_since.entry(instance.clone()).or_insert(inputs.now);
        }
    }
}
