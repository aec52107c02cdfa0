//! The planner: decides from the table which tasks start on which worker and which runs are stopped.
//!
//! It works in rounds. A round is a function of the table, the configuration, the runs' progress
//! and the time. It returns the records that hold its decisions; a decision takes effect only once
//! the store has kept its record. The state that a planner keeps between rounds (such as [`health`]) only
//! influences choices, so it may be lost when another planner takes over; what must not be lost is in the table.

mod begun;
pub mod completion;
mod departure;
mod displace;
mod draft;
mod drain;
mod events;
mod evict;
mod expire;
pub mod fair_share;
mod fit;
mod fleet_state;
mod forecast;
pub mod health;
mod infeasible;
mod isolation;
mod lost;
mod place;
pub mod policy;
mod power_loss;
mod preempt;
mod progress;
mod queue;
mod rack;
mod removal;
pub mod room_forecast;
mod running;
mod settle;
mod speed;
mod timers;
mod unanswered;
mod units;
mod unreported;
mod upkeep;
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
use crate::store::StoreLimits;
use crate::table::JobTable;
use crate::upkeep::load::WorkerDrains;

pub use policy::Placement;
pub use progress::{ObservedProgress, ProgressTable};
pub use waits::WaitReason;

use completion::CompletionState;
use draft::Draft;
use events::RunEvent;
use evict::SilentWorkers;
use expire::StrayCancels;
use forecast::Forecasts;
use health::HealthTracker;
use lost::RecentlyLost;
use policy::{PlacementPolicy, RoundStart, create_policy};
use power_loss::PowerLosses;
use queue::WaitingStep;
use settle::SettledPlans;
use speed::SpeedTracker;
use timers::Timers;
use unreported::UnreportedRuns;
use upkeep::EmptiedWorkers;
use waits::WaitLog;
use workers::WorkerViews;

/// Identifies one step of one occurrence: job, occurrence and step.
type StepKey = (JobId, u32, u32);
/// Index of a worker among all workers of a round, in the order of their ids.
pub type WorkerIndex = usize;

/// Time limits of a planner, the policy by which it places work, and the layout in which it writes job plans.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSettings {
    /// Age of an agent's last report after which its worker is suspected, and gets no new work.
    pub suspect_after: Duration,
    /// Age of an agent's last report after which its worker is evicted.
    pub evict_after: Duration,
    /// Time after an eviction, or a suspicion that isn't answered, from which no run of the worker can exist any more, so
    /// that the worker is removed.
    pub remove_evicted_after: Duration,
    /// Time after a worker's deregistration from which none of its runs can exist any more, so that
    /// the worker is removed.
    pub remove_departed_after: Duration,
    /// Time added to the remaining leases of an agent's process that has stopped.
    pub stop_slack: Duration,
    /// Time without progress after which a run is moved.
    pub stall_after: Duration,
    /// Time for which a job is kept after its end.
    pub ended_job_retention: Duration,
    /// Greatest age of the known drain orders at which runs are still assigned.
    pub max_drain_orders_age: Duration,
    /// Factor by which work takes longer away from its data or spread over racks.
    pub remote_penalty: u64,
    /// Time that a stop takes at a worker.
    pub stop_time: Duration,
    /// Work between two checkpoints of a run that saves them.
    pub checkpoint_interval: Duration,
    /// Time that the restart of a run from a checkpoint takes.
    pub restore_time: Duration,
    /// The setting that chooses the policy.
    pub placement: Placement,
    /// Layout in which job plans are written.
    pub plan_layout: PlanLayout,
    /// The sizes that the store takes.
    pub store_limits: StoreLimits,
}

/// Inputs of one round.
pub struct RoundInputs<'a> {
    /// Jobs and workers.
    pub table: &'a JobTable,
    /// The configuration.
    pub routing: &'a Routing,
    /// The failure domains that operators have drained, as this process has read their orders.
    pub drained: &'a DrainedDomains,
    /// Age of the known drain orders; `None` before the first read.
    pub drain_orders_age: Option<Duration>,
    /// The workers that maintenance waves take out of use.
    pub upkeep: &'a WorkerDrains,
    /// Progress of the runs.
    pub progress: &'a ProgressTable,
    /// Monotonic time since the planner began.
    pub now: Duration,
    /// Wall-clock time.
    pub wall: EpochMillis,
}

/// Makes the decisions of a leader, and keeps what influences them from round to round.
#[derive(Debug)]
pub struct Planner {
    settings: PlannerSettings,
    /// The rules by which work is placed.
    policy: Box<dyn PlacementPolicy>,
    /// Changes of runs that the policy hasn't been told of yet.
    events: Vec<RunEvent>,
    health: HealthTracker,
    forecasts: Forecasts,
    speeds: SpeedTracker,
    /// What the estimate of completion keeps between rounds.
    completion: CompletionState,
    waits: WaitLog,
    /// Workers that were suspected or evicted.
    silent: SilentWorkers,
    /// Timers that outlive this planner.
    timers: Timers,
    known_since: BTreeMap<InstanceId, Duration>,
    /// Whether the drain orders were recent enough to assign runs in the last round.
    drain_orders_recent: bool,
    ended_since: BTreeMap<JobId, Duration>,
    /// When this planner learned that the registrations of a worker have ended.
    registrations_ended_since: BTreeMap<InstanceId, Duration>,
    /// Time of the next check for ended jobs.
    next_expiry_check: Duration,
    /// Cancellations without jobs.
    stray_cancels: StrayCancels,
    settled: SettledPlans,
    /// Version of the progress table at which the runs were last checked.
    last_checked_progress: Option<u64>,
    /// Workers that were recently lost without notice.
    recently_lost: RecentlyLost,
    /// Machines that recently lost power.
    power_losses: PowerLosses,
    /// Whether runs on removed workers have been searched for since the set of workers changed.
    lost_runs_checked: bool,
    /// Assigned runs that the agents don't report.
    unreported: UnreportedRuns,
    /// Workers that were emptied for maintenance.
    emptied: EmptiedWorkers,
}

/// Largest number of workers that a log line names.
const MAX_NAMED: usize = 8;

/// Logs which workers have been registered and removed since the last round.
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
        &came[..came.len().min(MAX_NAMED)],
        &gone[..gone.len().min(MAX_NAMED)]
    );
}

impl Planner {
    /// Creates a planner with the policy that the settings choose, without any state from earlier rounds.
    #[must_use]
    pub fn new(settings: PlannerSettings) -> Self {
        Self::with_policy(settings, create_policy(&settings))
    }

    /// Creates a planner with a given policy, without any state from earlier rounds.
    #[must_use]
    pub fn with_policy(settings: PlannerSettings, policy: Box<dyn PlacementPolicy>) -> Self {
        let health = HealthTracker::new(policy.avoid_time());
        Self {
            settings,
            policy,
            events: Vec::new(),
            health,
            forecasts: Forecasts::default(),
            speeds: SpeedTracker::default(),
            completion: CompletionState::default(),
            waits: WaitLog::default(),
            silent: SilentWorkers::default(),
            timers: Timers::default(),
            known_since: BTreeMap::new(),
            drain_orders_recent: true,
            ended_since: BTreeMap::new(),
            registrations_ended_since: BTreeMap::new(),
            next_expiry_check: Duration::ZERO,
            stray_cancels: StrayCancels::default(),
            settled: SettledPlans::default(),
            last_checked_progress: None,
            recently_lost: RecentlyLost::default(),
            power_losses: PowerLosses::default(),
            lost_runs_checked: false,
            unreported: UnreportedRuns::default(),
            emptied: EmptiedWorkers::default(),
        }
    }

    /// Returns the name of the policy by which it places work.
    #[must_use]
    pub fn policy_name(&self) -> &'static str {
        self.policy.name()
    }

    /// Runs one round and returns the records of its decisions.
    #[must_use]
    pub fn round(&mut self, inputs: &RoundInputs<'_>) -> Vec<KeyedRecord> {
        self.timers.begin_round(inputs.table);
        self.update_known_workers(inputs);
        self.emptied.note(inputs);
        self.reset_returned_workers(inputs);
        self.forecasts.update(inputs.table);
        let workers = WorkerViews::new(inputs, &self.known_since);
        self.observe_ended_runs(inputs);
        let mut draft = Draft::new(inputs.table);
        settle::apply_ends(&mut draft, inputs, &mut self.health);
        begun::note_begun_jobs(&mut draft, inputs);
        if !std::mem::replace(&mut self.lost_runs_checked, true) {
            lost::give_up_lost_runs(self, &mut draft, inputs);
        }
        lost::give_up_crashing(&mut draft);
        settle::cancel(&mut draft);
        settle::settle(&mut draft, inputs, &mut self.settled);
        drain::record_drained_domains(&mut draft, inputs);
        evict::evict(self, &mut draft, &workers, inputs);
        removal::remove_ended(self, &mut draft, inputs);
        self.speeds.update(&draft, inputs, &self.forecasts);
        let waiting = queue::waiting_steps(&draft, inputs, &self.forecasts);
        self.begin_round(&mut draft, &waiting, inputs);
        watch::move_runs(self, &mut draft, &workers, inputs);
        upkeep::stop_runs(&mut draft, inputs);
        let waits = if drain::check_orders_recent(self, inputs) {
            let waits = place::place(self, &mut draft, waiting, &workers, inputs);
            watch::move_stragglers(self, &mut draft, &workers, inputs);
            waits
        } else {
            Vec::new()
        };
        self.waits.update(&waits, inputs.now);
        unanswered::expire_unanswered(&mut self.timers, &mut draft, inputs);
        expire::expire_cancels(self, &mut draft, inputs);
        self.timers.end_round(&mut draft, inputs.now);
        expire::expire(self, &mut draft, inputs);
        expire::expire_registrations(self, &mut draft, inputs);
        self.events = draft.take_events();
        self.observe_changed_plans(&draft, inputs);
        draft.into_records(self.settings.plan_layout, &self.settings.store_limits)
    }

    /// Returns the sizes that the store takes.
    #[must_use]
    pub const fn store_limits(&self) -> StoreLimits {
        self.settings.store_limits
    }

    /// Records that the store has refused a record for its size, although the settings allow it.
    pub fn note_refused_record(&mut self, record: &KeyedRecord) {
        let limits = &mut self.settings.store_limits;
        limits.record_bytes = limits.record_bytes.min(record.size());
    }

    /// Returns the reason why a step of a job waits, if it does.
    #[must_use]
    pub fn wait_reason(&self, job: &str, occurrence: u32, step: u32) -> Option<WaitReason> {
        self.waits.reason(&(job.to_owned(), occurrence, step))
    }

    /// Tells the policy of the round and of the changes of runs since the last one.
    fn begin_round(
        &mut self,
        draft: &mut Draft<'_>,
        waiting: &[WaitingStep],
        inputs: &RoundInputs<'_>,
    ) {
        self.events.append(&mut draft.take_events());
        self.policy.begin_round(&RoundStart {
            inputs,
            waiting,
            events: &self.events,
            forecasts: &self.forecasts,
            speeds: &self.speeds,
            draft,
        });
    }

    /// Restarts the measurement of silence for workers whose agents have answered a suspicion or returned after an eviction.
    /// Measured from before, they would be suspected or evicted again for reports that their agents couldn't send.
    fn reset_returned_workers(&mut self, inputs: &RoundInputs<'_>) {
        for instance in self.silent.take_returned(inputs.table) {
            if let Some(known) = self.known_since.get_mut(&instance) {
                *known = inputs.now;
            }
        }
    }

    fn record_lost_workers(&mut self, inputs: &RoundInputs<'_>) {
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

    fn update_known_workers(&mut self, inputs: &RoundInputs<'_>) {
        let workers = &inputs.table.workers;
        if self.known_since.keys().eq(workers.keys()) {
            return;
        }
        self.lost_runs_checked = false;
        log_changed_workers(&self.known_since, inputs.table);
        self.record_lost_workers(inputs);
        self.known_since.retain(|instance, _| workers.contains_key(instance));
        self.health.retain(|instance| workers.contains_key(instance));
        for instance in workers.keys() {
            self.known_since.entry(instance.clone()).or_insert(inputs.now);
        }
    }
}
