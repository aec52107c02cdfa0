//! The table of jobs and workers: a pure function of the store's records, in their order.

mod agents;
mod by_registration;
mod cancels;
mod runs;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::drained::DrainedDomains;
use crate::job::{InstanceId, JobId, NodeName, Submission, TaskId};
use crate::keys::{TIMERS_KEY, split_number, split_unanswered_name, split_worker_key};
use crate::losses::{IncarnationEnd, JobLosses};
use crate::outlook::Outlook;
use crate::parts::{PlanLayout, merge_head, merge_part};
use crate::plan::{JobPlan, JobStatus, TaskPlan};
use crate::record::{
    AgentStop, KeyedRecord, Leader, Member, Record, RunEnd, StoredTimer, UnansweredStart,
    WorkerRecord,
};
use crate::registrations::{RegistrationNumber, Registrations};
use crate::upkeep::record::WaveProgress;
use crate::upkeep::wave::WaveNumber;

use by_registration::ByRegistration;
pub use cancels::{Cancels, MAX_EARLY_CANCELS, MAX_EARLY_CANCELS_PER_WORKSPACE, StrayCancel};

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was submitted.
    pub submission: Rc<Submission>,
    /// The plan, once the planner has made one.
    pub plan: Option<Rc<JobPlan>>,
    /// How that plan is laid out in the store.
    pub plan_layout: PlanLayout,
    /// Whether a caller has cancelled it who may do so.
    pub cancelled: bool,
}

impl Job {
    /// Returns the status of the job, as callers see it.
    #[must_use]
    pub fn status(&self) -> JobStatus {
        let planned = self.plan.as_ref().map_or(JobStatus::Queued, |plan| plan.status);
        if self.cancelled && !planned.is_final() {
            return JobStatus::Cancelled;
        }
        planned
    }

    /// Returns whether a planner still has something to do for the job.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let Some(plan) = &self.plan else { return true };
        !plan.status.is_final() || plan.may_be_running()
    }
}

/// Counts the membership versions of all tables of this process: no two versions are equal, also after a table was
/// loaded anew.
static MEMBERSHIP_VERSIONS: AtomicU64 = AtomicU64::new(0);

/// Agents of gone workers are forgotten once the number of remembered agents reaches this, plus twice the number of
/// registered workers.
const MAX_GONE_AGENTS: usize = 256;

/// The state that the store's records describe, and the facts that depend on the order of the records.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    /// All known jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs with something left to do.
    pub active: BTreeSet<JobId>,
    /// Registered workers, each as its registration with the highest number describes it.
    pub workers: BTreeMap<InstanceId, Rc<WorkerRecord>>,
    /// Workers whose runs are given up.
    pub evicted: BTreeSet<InstanceId>,
    /// Their evictions.
    evictions: ByRegistration<()>,
    /// Ends of runs that no plan includes yet, by their keys.
    pub ends: BTreeMap<String, Rc<RunEnd>>,
    /// The process that leads.
    pub leader: Leader,
    /// The process that led before; it may be gone.
    pub former_leader: NodeName,
    /// Failure domains in which nothing is started.
    pub drained: DrainedDomains,
    /// The processes, by their names.
    pub members: BTreeMap<NodeName, Member>,
    /// How incarnations of workers ended; kept for some time after their ends.
    pub ended_incarnations: BTreeMap<InstanceId, Rc<IncarnationEnd>>,
    /// Runs that were lost with their workers, by job.
    pub losses: BTreeMap<JobId, Rc<JobLosses>>,
    /// Starts that got no answer and may still be carried out, by task and attempt.
    pub unanswered: BTreeMap<TaskId, BTreeMap<u32, Rc<UnansweredStart>>>,
    /// What has been done of waves of machine maintenance.
    pub upkeep: BTreeMap<WaveNumber, Rc<WaveProgress>>,
    /// What the leader expects of the fleet, in its newest outlook.
    pub outlook: Option<Rc<Outlook>>,
    /// The stops of agents' processes.
    stops: ByRegistration<AgentStop>,
    /// The suspicions of workers.
    suspicions: ByRegistration<()>,
    /// The leader's timers, as it stored them last.
    pub timers: Vec<StoredTimer>,
    /// All registrations, including those that newer ones have replaced.
    registrations: Registrations,
    /// Agents of all workers that have been registered since the state was last read in full, also of workers that are
    /// gone.
    agents: BTreeMap<InstanceId, NodeName>,
    /// Runs that were assigned to a worker before it returned: before it registered again, having had no registration.
    assigned_before_return: BTreeMap<InstanceId, BTreeSet<(TaskId, u32)>>,
    /// Cancellations, also of jobs that aren't known.
    cancels: Cancels,
    /// Workers that have runs by plans that were skipped, because the jobs of the plans aren't known.
    workers_with_skipped_plans: BTreeSet<InstanceId>,
    /// Version of the members and the leader.
    membership_version: u64,
}

impl JobTable {
    /// Replaces the whole state by the newest record of each key, given in any order. Jobs are applied before their
    /// plans, which would be skipped without them. Workers are applied before plans, too, so that they don't count as
    /// returned, and after the ends of their registrations. Parts of plans are applied before the heads: a step that a
    /// head holds is newer than a part of it, which a leader of an earlier release left behind.
    pub fn load(&mut self, records: &[KeyedRecord]) {
        *self = Self::default();
        let is_of = |kind: &'static str| move |record: &&KeyedRecord| record.key.starts_with(kind);
        const FIRST: [&str; 4] = ["over/", "job/", "worker/", "part/"];
        for kind in FIRST {
            records.iter().filter(is_of(kind)).for_each(|record| self.apply(record));
        }
        let is_last = |record: &&KeyedRecord| !FIRST.iter().any(|kind| is_of(kind)(record));
        records.iter().filter(is_last).for_each(|record| self.apply(record));
    }

    /// Applies one record. Records that can't be decoded are skipped: a newer release may have written
    /// them.
    pub fn apply(&mut self, record: &KeyedRecord) {
        if record.value.is_empty() {
            self.remove(&record.key);
            return;
        }
        match Record::decode(record) {
            Ok(value) => self.insert(&record.key, value),
            Err(error) => log::warn!("event=J104 record unreadable {error}"),
        }
    }

    fn insert(&mut self, key: &str, record: Record) {
        match record {
            Record::Submitted(submission) => self.insert_submission(*submission),
            Record::Cancelled(id) => {
                self.cancels.insert(id.clone());
                self.update_cancelled(&id);
            }
            Record::EarlyCancel(cancel) => {
                let id = cancel.job.clone();
                self.cancels.insert_early(*cancel);
                self.update_cancelled(&id);
            }
            Record::Plan(id, plan) => self.insert_plan(&id, *plan),
            Record::Part(first, tasks) => self.insert_part(&first, tasks),
            Record::Ended(end) => {
                self.ends.insert(key.to_owned(), Rc::new(*end));
            }
            Record::Worker(instance, worker) => {
                let (_, number) = split_worker_key(key);
                self.insert_worker(&instance, number, *worker);
            }
            Record::Over(instance, number) => {
                self.registrations.end(&instance, number);
                self.update_worker(&instance);
            }
            Record::LifeOver(instance, end) => {
                self.ended_incarnations.insert(instance, Rc::new(*end));
            }
            Record::Losses(job, losses) => {
                self.losses.insert(job, Rc::new(*losses));
            }
            Record::Unanswered(start) => {
                let of_task = self.unanswered.entry(start.task.clone()).or_default();
                of_task.insert(start.attempt, Rc::new(*start));
            }
            Record::Upkeep(progress) => {
                self.upkeep.insert(progress.wave, Rc::new(*progress));
            }
            Record::Evicted(instance) => {
                self.evictions.insert(key, ());
                self.evicted.insert(instance);
            }
            Record::Stopped(stop) => self.stops.insert(key, stop),
            Record::Suspected(_) => self.suspicions.insert(key, ()),
            Record::Timers(timers) => self.timers = timers,
            Record::Leader(leader) => {
                if leader.epoch >= self.leader.epoch {
                    if leader.node != self.leader.node {
                        self.former_leader.clone_from(&self.leader.node);
                    }
                    self.leader = leader;
                    self.bump_membership_version();
                }
            }
            Record::Member(member) => {
                self.members.insert(member.node.clone(), member);
                self.bump_membership_version();
            }
            Record::Outlook(outlook) => {
                // A copy of an older one may be carried out late.
                if self.outlook.as_ref().is_none_or(|known| known.version() < outlook.version()) {
                    self.outlook = Some(Rc::new(*outlook));
                }
            }
            Record::Drained(drained) => {
                if drained.read_to >= self.drained.read_to {
                    self.drained = drained;
                }
            }
        }
    }

    fn bump_membership_version(&mut self) {
        self.membership_version = MEMBERSHIP_VERSIONS.fetch_add(1, Ordering::Relaxed) + 1;
    }

    /// Returns the version of the members and the leader: another number after each change. What is derived from them
    /// needs to be derived again only then.
    #[must_use]
    pub const fn membership_version(&self) -> u64 {
        self.membership_version
    }

    fn insert_worker(&mut self, instance: &str, number: RegistrationNumber, worker: WorkerRecord) {
        if !self.workers.contains_key(instance) {
            let assigned = self.runs_assigned_to(instance);
            if !assigned.is_empty() {
                self.assigned_before_return.insert(instance.to_owned(), assigned);
            }
        }
        self.agents.insert(instance.to_owned(), worker.node.clone());
        self.registrations.insert(instance, number, worker);
        self.update_worker(instance);
    }

    fn remove_worker(&mut self, key: &str) {
        let (instance, number) = split_worker_key(key);
        self.registrations.remove(instance, number);
        self.update_worker(instance);
    }

    fn update_worker(&mut self, instance: &str) {
        if let Some((_, record)) = self.registrations.newest(instance) {
            self.workers.insert(instance.to_owned(), Rc::clone(record));
        } else {
            self.workers.remove(instance);
            self.assigned_before_return.remove(instance);
            self.forget_agents();
        }
    }

    /// Forgets the agents of workers that are gone and that no plan names, once there are many.
    fn forget_agents(&mut self) {
        if self.agents.len() < MAX_GONE_AGENTS + 2 * self.workers.len() {
            return;
        }
        let named: BTreeSet<&InstanceId> = self.active_plans().flat_map(JobPlan::workers).collect();
        let named: BTreeSet<InstanceId> = named.into_iter().cloned().collect();
        let workers = &self.workers;
        self.agents.retain(|known, _| workers.contains_key(known) || named.contains(known));
    }

    fn active_plans(&self) -> impl Iterator<Item = &JobPlan> {
        self.active.iter().filter_map(|id| self.jobs.get(id)?.plan.as_deref())
    }

    /// Lists the runs that may exist at a worker, by the plans of active jobs.
    #[must_use]
    pub fn runs_assigned_to(&self, instance: &str) -> BTreeSet<(TaskId, u32)> {
        let is_assigned = |task: &TaskPlan| task.may_be_running() && task.instance == instance;
        let mut runs = BTreeSet::new();
        for id in &self.active {
            let Some(plan) = self.jobs.get(id).and_then(|job| job.plan.as_ref()) else { continue };
            for task in plan.tasks_where(id, is_assigned) {
                let attempt = plan.task(&task).map_or(0, |found| found.attempt);
                runs.insert((task, attempt));
            }
        }
        runs
    }

    /// Returns whether a run may exist at a worker, by the plans of active jobs.
    #[must_use]
    pub fn has_runs_assigned_to(&self, instance: &str) -> bool {
        self.active_plans().flat_map(JobPlan::workers).any(|named| named == instance)
    }

    /// Returns the registrations of the workers.
    #[must_use]
    pub const fn registrations(&self) -> &Registrations {
        &self.registrations
    }

    /// Returns the agent of a worker that is registered or was; `None` if it was gone before the state was last read
    /// in full.
    #[must_use]
    pub fn agent_of(&self, instance: &str) -> Option<&NodeName> {
        self.agents.get(instance)
    }

    /// Returns the agent of the first worker, registered or gone, whose id matches a predicate.
    pub fn find_agent(&self, is_match: impl Fn(&str) -> bool) -> Option<&NodeName> {
        self.agents.iter().find(|(instance, _)| is_match(instance)).map(|(_, agent)| agent)
    }

    /// Returns whether a run was assigned to a worker before the worker returned, after its registration was gone.
    /// While it was gone, the planner may have given the run up, by a decision that hasn't been read yet.
    #[must_use]
    pub fn was_assigned_before_return(&self, instance: &str, run: &(TaskId, u32)) -> bool {
        self.assigned_before_return.get(instance).is_some_and(|runs| runs.contains(run))
    }

    fn insert_submission(&mut self, submission: Submission) {
        let id = submission.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let cancelled = self.cancels.binds(&submission);
        let job = Job {
            submission: Rc::new(submission),
            plan: None,
            plan_layout: PlanLayout::default(),
            cancelled,
        };
        self.jobs.insert(id.clone(), job);
        self.active.insert(id);
    }

    fn insert_plan(&mut self, id: &JobId, plan: JobPlan) {
        let Some(job) = self.jobs.get_mut(id) else {
            return self
                .skip_plan(id, plan.open.iter().flat_map(|open| open.steps.iter().flatten()));
        };
        let known = job.plan.take().map(Rc::unwrap_or_clone);
        let (plan, form) = merge_head(&job.submission, known, plan);
        job.plan = Some(Rc::new(plan));
        job.plan_layout = form;
        self.update_active(id);
    }

    fn insert_part(&mut self, first: &TaskId, tasks: Vec<TaskPlan>) {
        let Some(job) = self.jobs.get_mut(&first.job) else {
            return self.skip_plan(&first.job, tasks.iter());
        };
        let plan = Rc::make_mut(job.plan.get_or_insert_default());
        merge_part(&job.submission, plan, first, tasks);
        self.update_active(&first.job);
    }

    /// Skips a plan, or a part of one, whose job isn't known, and records which registered workers have runs by it.
    fn skip_plan<'a>(&mut self, job: &JobId, tasks: impl Iterator<Item = &'a TaskPlan>) {
        let named = tasks.filter(|task| task.may_be_running()).map(|task| &task.instance);
        let registered = named.filter(|instance| self.workers.contains_key(*instance));
        let registered: BTreeSet<InstanceId> = registered.cloned().collect();
        if !registered.is_empty() {
            log::warn!(
                "event=J183 plan skipped, its job isn't known job={job} workers={registered:?}"
            );
            self.workers_with_skipped_plans.extend(registered);
        }
    }

    /// Returns whether a plan that an agent needs was skipped since the state was last read in full, because the plan's
    /// job isn't known.
    #[must_use]
    pub fn lacks_job_for(&self, agent: &str) -> bool {
        let mut agents =
            self.workers_with_skipped_plans.iter().filter_map(|instance| self.agent_of(instance));
        agents.any(|known| known == agent)
    }

    fn update_active(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() {
            self.active.insert(id.clone());
        } else {
            self.active.remove(id);
        }
    }

    fn remove(&mut self, key: &str) {
        if key == TIMERS_KEY {
            self.timers.clear();
        }
        let Some((kind, name)) = key.split_once('/') else { return };
        match kind {
            "job" => {
                self.jobs.remove(name);
                self.active.remove(name);
            }
            "cancel" => {
                self.cancels.remove(name);
                self.update_cancelled(name);
            }
            "early_cancel" => {
                let (id, number) = split_number(name);
                self.cancels.remove_early(id, number);
                self.update_cancelled(id);
            }
            "end" | "refusal" => {
                self.ends.remove(key);
            }
            "worker" => self.remove_worker(key),
            "over" => self.registrations.forget_end(name),
            "life" => {
                self.ended_incarnations.remove(name);
            }
            "losses" => {
                self.losses.remove(name);
            }
            "evicted" => self.remove_eviction(key),
            "stopped" => self.stops.remove(key),
            "suspected" => self.suspicions.remove(key),
            "unanswered" => self.remove_unanswered(name),
            "upkeep" => self.remove_wave(name),
            "member" => {
                self.members.remove(name);
                self.bump_membership_version();
            }
            _ => {}
        }
    }

    fn remove_wave(&mut self, name: &str) {
        if let Ok(wave) = name.parse() {
            self.upkeep.remove(&wave);
        }
    }

    fn remove_unanswered(&mut self, name: &str) {
        let Some((task, attempt)) = split_unanswered_name(name) else { return };
        let Some(of_task) = self.unanswered.get_mut(&task) else { return };
        of_task.remove(&attempt);
        if of_task.is_empty() {
            self.unanswered.remove(&task);
        }
    }

    /// Iterates over the starts without an answer that an incarnation rejects.
    pub fn unanswered_at(&self, instance: &str) -> impl Iterator<Item = &Rc<UnansweredStart>> {
        let starts = self.unanswered.values().flat_map(BTreeMap::values);
        starts.filter(move |start| start.instance == instance)
    }

    /// Returns whether a task is in a gang; `false` if its job isn't known.
    #[must_use]
    pub fn is_in_gang(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let step = job.and_then(|job| job.submission.steps.get(task.step as usize));
        step.is_some_and(|step| step.gang)
    }

    /// Returns whether a start of a task, or of another member of its gang, got no answer and may still be carried out.
    #[must_use]
    pub fn has_unanswered_start(&self, task: &TaskId) -> bool {
        if !self.is_in_gang(task) {
            return self.unanswered.contains_key(task);
        }
        let member = |index: u32| TaskId { index, ..task.clone() };
        self.unanswered.range(member(0)..=member(u32::MAX)).next().is_some()
    }

    /// Returns whether nothing may be started at a worker because operators have drained its failure domain.
    #[must_use]
    pub fn is_in_drained_domain(&self, worker: &WorkerRecord) -> bool {
        self.drained.contains(&worker.failure_domain)
    }
}
