//! The planner: tables of workers, workspaces, jobs and gangs, and the systems that run each tick.

mod contract;
mod place_jobs;
mod reserve;
mod views;
mod yielding;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    fleet::{Claim, Fleet},
    ids::{FencingToken, JobId, ProcessId, WorkspaceId},
    job::{Class, JobSpec},
    knobs::Knobs,
    lease::LeaseMeta,
    place::{GuaranteeImpact, IndexedPart, Preference, domain_bit, largest},
    reason::Reason,
    shape::{LEVELS, Shape},
    tables::{Demand, Gang, JobRow, JobState, QueueTable},
    topology::WorkerSpec,
};

use reserve::Reservation;

pub use contract::{
    Command, Explanation, GuaranteeError, PlanSettings, SubmitError, WorkspaceView, YieldKind,
};

/// The planner. See the [crate page](crate) for an example.
#[derive(Debug, Clone)]
pub struct Planner {
    seed: u64,
    holder: ProcessId,
    settings: PlanSettings,
    fleet: Fleet,
    jobs: BTreeMap<JobId, JobRow>,
    queue: QueueTable,
    deadlines: BTreeSet<(Duration, JobId)>,
    reclaiming: BTreeMap<JobId, Duration>,
    reservations: Vec<Reservation>,
    move_times: VecDeque<Duration>,
    /// Demands with new jobs since the last tick.
    new_demands: BTreeSet<Demand>,
    /// Whether something changed since the last tick that may let a waiting job start.
    capacity_gained: bool,
    /// Why the head of each demand's queue waits.
    blocked: BTreeMap<Demand, Reason>,
    last_token: FencingToken,
    next_scan: Duration,
    /// Gangs that were stopped for another planner's job, and the time until which their devices
    /// are left to that job.
    left_to_others: Vec<(FencingToken, Duration)>,
    /// Failure domains that other planners are responsible for.
    other_domains: u64,
}

/// Low bits of a fencing token, which hold the planner's seed; the bits above hold the time.
const TOKEN_SEED_BITS: u32 = 20;

impl Planner {
    /// Creates an empty planner; planners that run at the same time need different seeds.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            holder: "planner".into(),
            settings: PlanSettings::default(),
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            queue: QueueTable::new(),
            deadlines: BTreeSet::new(),
            reclaiming: BTreeMap::new(),
            reservations: Vec::new(),
            move_times: VecDeque::new(),
            new_demands: BTreeSet::new(),
            capacity_gained: false,
            blocked: BTreeMap::new(),
            last_token: 0,
            next_scan: Duration::ZERO,
            left_to_others: Vec::new(),
            other_domains: 0,
        }
    }

    /// Sets the name of the process that renews this planner's leases.
    #[must_use]
    pub fn holder(mut self, holder: impl Into<ProcessId>) -> Self {
        self.holder = holder.into();
        self
    }

    /// Sets the time limits and bounds.
    #[must_use]
    pub const fn settings(mut self, settings: PlanSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Adds a worker, or brings a known one back.
    pub fn add_worker(&mut self, spec: WorkerSpec) {
        self.fleet.workers.add(spec);
        self.capacity_gained = true;
    }

    /// Removes a worker's devices and returns the jobs of this planner that lose devices with it.
    ///
    /// The gangs of these jobs are to be stopped as a whole; the caller reports each job with
    /// [`Planner::lost`] once the other parts of its gang are released.
    pub fn remove_worker(&mut self, id: &str) -> Vec<JobId> {
        let Some(index) = self.fleet.workers.index(id) else {
            return Vec::new();
        };
        self.fleet.workers.change(index, |row| row.present = 0);
        let tokens: Vec<_> =
            self.fleet.workers.rows[index].holders.iter().map(|holder| holder.token).collect();
        self.capacity_gained = true;
        let gangs = tokens.iter().filter_map(|token| self.fleet.gangs.get(token));
        gangs.filter(|gang| gang.local).map(|gang| gang.meta.job.clone()).collect()
    }

    /// Sets the failure domains that this planner prefers.
    ///
    /// The planner uses other domains only where its own offer no place as good. This reduces
    /// conflicts between planners; no guarantee depends on it.
    pub fn prefer_failure_domains(&mut self, owns: impl Fn(&str) -> bool) {
        let names = self.fleet.workers.failure_domain_names();
        let others = names.filter(|(name, _)| !owns(name));
        self.other_domains = others.fold(0, |bits, (_, row)| bits | domain_bit(row));
    }

    /// Sets a workspace's knobs.
    pub fn set_workspace(&mut self, name: impl Into<WorkspaceId>, knobs: Knobs) {
        let name = name.into();
        let index = self.fleet.workspaces.ensure(&name);
        self.fleet.workspaces.rows[index].removed = false;
        self.fleet.set_knobs(index, knobs);
        self.capacity_gained = true;
    }

    /// Removes a workspace: its guarantee ends, and it takes no new jobs.
    pub fn remove_workspace(&mut self, name: &str) {
        let Some(index) = self.fleet.workspaces.index(name) else {
            return;
        };
        self.fleet.set_knobs(index, Knobs::default());
        self.fleet.workspaces.rows[index].removed = true;
        self.capacity_gained = true;
    }

    /// Checks whether the fleet could hold all guarantees at once.
    ///
    /// # Errors
    ///
    /// Returns the cells that would be missing.
    pub fn check_guarantees<'a>(
        &self,
        knobs: impl IntoIterator<Item = &'a Knobs>,
    ) -> Result<(), GuaranteeError> {
        let mut needs = Shape::EMPTY;
        for row in knobs {
            needs.add(&row.guarantee);
        }
        let mut cells = crate::guarantee::CellIndex::default();
        for row in &self.fleet.workers.rows {
            cells.update(row.rack_cell, 0, row.present);
        }
        let short = cells.missing(&needs);
        if short.is_empty() { Ok(()) } else { Err(GuaranteeError::Infeasible { short }) }
    }

    /// Adds a job to the queue.
    ///
    /// # Errors
    ///
    /// Returns why the job is refused; no part of the job has run.
    pub fn submit(&mut self, spec: JobSpec, now: Duration) -> Result<(), SubmitError> {
        let workspace = self
            .fleet
            .workspaces
            .index(&spec.workspace)
            .ok_or_else(|| SubmitError::UnknownWorkspace(spec.workspace.clone()))?;
        let gang = spec.gang.as_ref().ok_or(SubmitError::BadGang)?;
        if gang.devices == 0 || gang.min_devices.is_some_and(|min| min == 0 || min > gang.devices) {
            return Err(SubmitError::BadGang);
        }
        if self.jobs.contains_key(&spec.id) {
            return Err(SubmitError::Duplicate);
        }
        let largest = largest(&self.fleet.workers, gang.adjacency);
        if gang.smallest() > largest {
            return Err(SubmitError::Impossible { need: gang.smallest(), largest });
        }
        let row = &mut self.fleet.workspaces.rows[workspace];
        let guarantee = row.knobs.guarantee;
        if !spec.is_reclaimable() && !guarantee.holds(&Shape::tightest(gang.smallest())) {
            return Err(SubmitError::BeyondGuarantee { guarantee });
        }
        if row.waiting >= row.knobs.queued_limit {
            return Err(SubmitError::QueueFull { limit: row.knobs.queued_limit });
        }
        if spec.class == Class::Urgent && row.urgent >= row.knobs.urgent_limit {
            return Err(SubmitError::UrgentFull { limit: row.knobs.urgent_limit });
        }
        row.urgent += u32::from(spec.class == Class::Urgent);
        if let Some(deadline) = spec.deadline_ms {
            self.deadlines.insert((now + Duration::from_millis(deadline), spec.id.clone()));
        }
        let id = spec.id.clone();
        let row = JobRow {
            spec,
            workspace,
            arrived: now,
            waiting_since: now,
            state: JobState::Waiting,
            reason: Reason::Queued,
            refusals: 0,
            not_before: now,
        };
        self.jobs.insert(id.clone(), row);
        self.enqueue(&id, false);
        Ok(())
    }

    fn enqueue(&mut self, id: &JobId, front: bool) {
        let Some(row) = self.jobs.get(id) else { return };
        let Some(demand) = Demand::of(&row.spec, row.workspace) else {
            return;
        };
        self.fleet.workspaces.rows[row.workspace].waiting += 1;
        let jobs = self.queue.entry(demand.clone()).or_default();
        if front {
            jobs.push_front(id.clone());
        } else {
            jobs.push_back(id.clone());
        }
        self.new_demands.insert(demand);
    }

    fn dequeue(&mut self, id: &JobId) {
        let Some(row) = self.jobs.get(id) else { return };
        let Some(demand) = Demand::of(&row.spec, row.workspace) else {
            return;
        };
        let Some(jobs) = self.queue.get_mut(&demand) else {
            return;
        };
        let Some(at) = jobs.iter().position(|queued| queued == id) else {
            return;
        };
        jobs.remove(at);
        if jobs.is_empty() {
            self.queue.remove(&demand);
            self.blocked.remove(&demand);
        }
        self.fleet.workspaces.rows[row.workspace].waiting -= 1;
        self.release_reservation(id);
    }

    /// Runs every system once and returns the commands to carry out.
    pub fn tick(&mut self, now: Duration) -> Vec<Command> {
        let mut commands = Vec::new();
        self.expire(now, &mut commands);
        self.free_devices_left_to_others(now);
        self.advance_reclaims(now, &mut commands);
        if self.scan_due(now) {
            self.place_waiting(now, &mut commands);
            self.reserve_for_starving(now, &mut commands);
            self.capacity_gained = false;
            self.new_demands.clear();
        }
        commands
    }

    /// Returns whether the queue is to be scanned: after any change that could let a job start, and
    /// once per `SCAN_EVERY` because waiting jobs age.
    fn scan_due(&mut self, now: Duration) -> bool {
        const SCAN_EVERY: Duration = Duration::from_secs(1);
        if self.queue.is_empty() {
            return false;
        }
        if !self.capacity_gained && self.new_demands.is_empty() && now < self.next_scan {
            return false;
        }
        if now >= self.next_scan {
            self.next_scan = now + SCAN_EVERY;
            self.capacity_gained = true;
        }
        true
    }

    fn expire(&mut self, now: Duration, commands: &mut Vec<Command>) {
        while let Some((at, job)) = self.deadlines.first().cloned() {
            if at > now {
                break;
            }
            self.deadlines.pop_first();
            let waits = self.jobs.get(&job).is_some_and(|row| row.state == JobState::Waiting);
            if waits {
                self.remove_job(&job);
                commands.push(Command::Expire { job });
            }
        }
    }

    /// Reports that a gang's leases are committed and its work runs.
    pub fn started(&mut self, job: &str, now: Duration) {
        let Some(row) = self.jobs.get_mut(job) else {
            return;
        };
        let JobState::Starting { token } = row.state else {
            return;
        };
        row.state = JobState::Running { token };
        row.refusals = 0;
        if let Some(gang) = self.fleet.gangs.get_mut(&token) {
            gang.meta.started = now;
            gang.running = true;
            row.reason = Reason::Running { devices: gang.devices(), borrowed: !gang.owned };
        }
    }

    /// Reports that a worker refused part of a gang; every hold has been released.
    pub fn start_refused(&mut self, job: &str, now: Duration) {
        let Some(row) = self.jobs.get_mut(job) else {
            return;
        };
        row.refusals += 1;
        let times = row.refusals;
        row.not_before = now + backoff(self.seed, self.settings.refusal_backoff_ms, times);
        // The next scan must come no later than the end of the pause.
        self.next_scan = self.next_scan.min(row.not_before);
        self.wait_again(job, Reason::StartRefused { times }, now);
    }

    /// Reports that a job's gang was lost with a worker or an expired lease; the job waits again.
    pub fn lost(&mut self, job: &str, now: Duration) {
        self.wait_again(job, Reason::Lost, now);
    }

    fn wait_again(&mut self, job: &str, reason: Reason, now: Duration) {
        let Some((id, row)) = self.jobs.get_key_value(job) else {
            return;
        };
        let id = id.clone();
        let Some(token) = gang_token(&row.state) else {
            return;
        };
        self.drop_gang(token, now);
        self.requeue(&id, reason, now);
    }

    fn requeue(&mut self, id: &JobId, reason: Reason, now: Duration) {
        if let Some(row) = self.jobs.get_mut(id) {
            row.state = JobState::Waiting;
            row.reason = reason;
            row.waiting_since = now;
        }
        self.enqueue(id, true);
    }

    fn drop_gang(&mut self, token: FencingToken, now: Duration) {
        let Some(workspace) = self.fleet.gangs.get(&token).map(|gang| gang.workspace) else {
            return;
        };
        self.fleet.workspaces.rows[workspace].accrue(now);
        self.fleet.remove(token);
        self.capacity_gained = true;
    }

    /// Reports that a job is done or was cancelled; its devices are free.
    pub fn finished(&mut self, job: &str, now: Duration) {
        let Some((id, row)) = self.jobs.get_key_value(job) else {
            return;
        };
        let id = id.clone();
        if let Some(token) = gang_token(&row.state) {
            self.drop_gang(token, now);
        }
        self.remove_job(&id);
    }

    fn remove_job(&mut self, job: &JobId) {
        self.dequeue(job);
        self.reclaiming.remove(job);
        let Some(row) = self.jobs.remove(job) else {
            return;
        };
        let workspace = &mut self.fleet.workspaces.rows[row.workspace];
        workspace.urgent -= u32::from(row.spec.class == Class::Urgent);
        if let Some(deadline) = row.spec.deadline_ms {
            let at = row.arrived + Duration::from_millis(deadline);
            self.deadlines.remove(&(at, job.clone()));
        }
    }

    /// Replaces the known leases on one worker, except those of this planner's own jobs.
    pub fn sync_worker(&mut self, worker: &str, leases: &[(LeaseMeta, u64)], now: Duration) {
        let Some(index) = self.fleet.workers.index(worker) else {
            return;
        };
        let known: Vec<FencingToken> =
            self.fleet.workers.rows[index].holders.iter().map(|holder| holder.token).collect();
        for token in known {
            let foreign = self.fleet.gangs.get(&token).is_some_and(|gang| !gang.local);
            let reported = leases.iter().find(|(meta, _)| meta.token == token);
            let same = reported.is_some_and(|(_, devices)| {
                let parts = &self.fleet.gangs[&token].parts;
                parts.contains(&(index, *devices))
            });
            if foreign && !same {
                self.edit_foreign(token, now, |parts| parts.retain(|(at, _)| *at != index));
            }
        }
        for (meta, devices) in leases {
            let part = (index, *devices);
            match self.fleet.gangs.get(&meta.token) {
                Some(gang) if gang.local || gang.parts.contains(&part) => {}
                Some(_) => self.edit_foreign(meta.token, now, |parts| parts.push(part)),
                None => self.insert_foreign(meta, part, now),
            }
        }
    }

    fn insert_foreign(&mut self, meta: &LeaseMeta, part: IndexedPart, now: Duration) {
        let workspace = self.fleet.workspaces.ensure(&meta.workspace);
        self.fleet.workspaces.rows[workspace].accrue(now);
        let gang = Gang {
            meta: meta.clone(),
            workspace,
            parts: vec![part],
            owned: false,
            yields_to: None,
            local: false,
            running: true,
            cores_per_device: 0,
            memory_per_device: 0,
        };
        self.fleet.insert(gang, Claim::AsLeased(meta.cell));
    }

    fn edit_foreign(
        &mut self,
        token: FencingToken,
        now: Duration,
        edit: impl FnOnce(&mut Vec<IndexedPart>),
    ) {
        let Some(workspace) = self.fleet.gangs.get(&token).map(|gang| gang.workspace) else {
            return;
        };
        self.fleet.workspaces.rows[workspace].accrue(now);
        let Some(mut gang) = self.fleet.remove(token) else {
            return;
        };
        edit(&mut gang.parts);
        self.capacity_gained = true;
        if !gang.parts.is_empty() {
            let claim = Claim::AsLeased(gang.meta.cell);
            self.fleet.insert(gang, claim);
        }
    }

    /// Replaces the usage counted up to `until` by a delayed usage report of the platform.
    ///
    /// Devices held after `until` still count, so that a workspace can't use the delay to borrow
    /// more.
    pub fn report_usage(&mut self, name: &str, device_seconds: f64, until: Duration) {
        let Some(index) = self.fleet.workspaces.index(name) else {
            return;
        };
        let row = &mut self.fleet.workspaces.rows[index];
        let unreported = row.usage_at.saturating_sub(until).as_secs_f64();
        row.usage = device_seconds + f64::from(row.held_devices) * unreported;
    }

    fn preference(&self, demand: &Demand) -> Preference {
        let packing = self.fleet.workspaces.rows[demand.workspace].knobs.packing;
        let offset = usize::try_from(self.seed % 1_024).unwrap_or(0);
        Preference {
            packing,
            offset,
            other_domains: self.other_domains,
            impact: self.guarantee_impact(demand),
        }
    }

    /// Estimates how a gang affects guarantees: whether its cells fit into its workspace's unbound
    /// cells.
    fn guarantee_impact(&self, demand: &Demand) -> GuaranteeImpact {
        let unbound = self.fleet.workspaces.rows[demand.workspace].cells.unbound();
        let tightest = Shape::tightest(demand.devices);
        let needed = LEVELS.into_iter().rev().find(|level| tightest.count(*level) > 0);
        let binds = needed.and_then(|needed| {
            let larger = LEVELS.into_iter().filter(|level| *level >= needed);
            larger.into_iter().find(|level| unbound.count(*level) > 0)
        });
        match binds {
            Some(level) if unbound.holds(&tightest) => GuaranteeImpact::Binds(level),
            _ => GuaranteeImpact::Borrows { checkpointable: demand.checkpointable },
        }
    }

    fn next_token(&mut self, now: Duration) -> FencingToken {
        let millis = u64::try_from(now.as_millis()).unwrap_or(u64::MAX >> TOKEN_SEED_BITS);
        let seed = self.seed & ((1 << TOKEN_SEED_BITS) - 1);
        let token = (millis << TOKEN_SEED_BITS) | seed;
        self.last_token = token.max(self.last_token + (1 << TOKEN_SEED_BITS));
        self.last_token
    }
}

/// Returns the fencing token of a job's gang; a waiting job has none.
fn gang_token(state: &JobState) -> Option<FencingToken> {
    match state {
        JobState::Waiting => None,
        JobState::Reclaiming { token, .. }
        | JobState::Starting { token }
        | JobState::Running { token } => Some(*token),
    }
}

/// Returns a pause whose upper bound grows with the number of refusals.
///
/// The pause depends on the seed, so that two planners that conflict don't retry at the same time.
fn backoff(seed: u64, longest_ms: u64, refusals: u32) -> Duration {
    const FIRST_MS: u64 = 20;
    let ceiling = (FIRST_MS << refusals.min(16)).min(longest_ms.max(1));
    let mixed = (seed ^ u64::from(refusals)).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
    Duration::from_millis(1 + mixed % ceiling)
}
