//! The planner: decides from the table what starts where and what is stopped, round by round.
//!
//! A round is a function of the table, the configuration, the runs' progress and the time. It
//! returns the records that hold its decisions; nothing counts before the store has kept them.
//! What a planner remembers between rounds ([`health`], waits for evictions) only sways choices
//! and may be lost with it.

mod allowance;
mod draft;
mod evict;
mod expire;
mod fold;
mod forecast;
mod gang;
pub mod health;
mod make_room;
mod pace;
mod place;
mod preempt;
mod progress;
mod queue;
mod rack;
mod reserve;
mod room;
mod waits;
mod watch;

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::job::{EpochMillis, InstanceId, JobId};
use crate::record::KeyedRecord;
use crate::routing::Routing;
use crate::table::JobTable;

pub use progress::{ProgressTable, Seen};
pub use waits::WaitReason;

use draft::Draft;
use forecast::Forecasts;
use health::HealthBook;
use pace::PaceBook;
use waits::WaitBook;

/// Times that a planner goes by.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Age of a report after which its worker gets no new work.
    pub doubt_after: Duration,
    /// Age of a report after which its worker's runs are given up.
    pub evict_after: Duration,
    /// Time after an eviction from which no run of the worker can exist any more.
    pub gone_after: Duration,
    /// Time after a worker's good-bye from which none of its runs can exist any more.
    pub departed_after: Duration,
    /// Time without progress after which a run is moved.
    pub stall_after: Duration,
    /// How long a job is kept after its end.
    pub keep_ended: Duration,
    /// How much longer work takes away from its data or spread over racks.
    pub remote_penalty: u64,
}

/// What one round goes by.
pub struct RoundInputs<'a> {
    /// Jobs and workers.
    pub table: &'a JobTable,
    /// The configuration.
    pub routing: &'a Routing,
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
    ended_since: BTreeMap<JobId, Duration>,
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
            ended_since: BTreeMap::new(),
        }
    }

    /// Decides one round.
    #[must_use]
    pub fn round(&mut self, inputs: &RoundInputs<'_>) -> Vec<KeyedRecord> {
        self.note_workers(inputs);
        self.forecasts.update(inputs.table);
        let mut draft = Draft::new(inputs.table);
        fold::take_in_ends(&mut draft, inputs, &mut self.health);
        fold::give_up_lost_runs(&mut draft, inputs);
        fold::cancel(&mut draft);
        fold::settle(&mut draft, inputs);
        evict::evict(self, &mut draft, inputs);
        evict::give_up_departed(self, &mut draft, inputs);
        self.pace.update(&draft, inputs, &self.forecasts);
        watch::move_runs(self, &mut draft, inputs);
        let waits = place::place(self, &mut draft, inputs);
        self.waits.update(&waits, inputs.now);
        expire::expire(self, &mut draft, inputs);
        draft.into_records()
    }

    /// Returns why a step of a job waits, if it does.
    #[must_use]
    pub fn wait_reason(&self, job: &str, occurrence: u32, step: u32) -> Option<WaitReason> {
        self.waits.reason(&(job.to_owned(), occurrence, step))
    }

    fn note_workers(&mut self, inputs: &RoundInputs<'_>) {
        let workers = &inputs.table.workers;
        self.known_since.retain(|instance, _| workers.contains_key(instance));
        self.health.keep_only(|instance| workers.contains_key(instance));
        for instance in workers.keys() {
            self.known_since.entry(instance.clone()).or_insert(inputs.now);
        }
    }

    /// Returns how long a worker's agent hasn't reported, since this planner knows the worker.
    fn report_age(&self, instance: &str, inputs: &RoundInputs<'_>) -> Duration {
        let age = inputs.progress.report_age(instance, Instant::now());
        let known = self.known_since.get(instance).copied().unwrap_or(inputs.now);
        age.min(inputs.now.saturating_sub(known))
    }
}
