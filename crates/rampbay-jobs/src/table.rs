//! The table of jobs and workers: a pure function of the store's records, in their order.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};

use crate::drained::DrainedDomains;
use crate::job::{InstanceId, JobId, NodeName, Submission, TaskId};
use crate::keys::{eviction_key, split_refusal_key, split_worker_key};
use crate::losses::{JobLosses, LifeOver};
use crate::parts::{PlanLayout, take_in_head, take_in_part};
use crate::plan::{JobPlan, JobStatus, TaskPlan, TaskStatus};
use crate::record::{EndReason, KeyedRecord, Leader, Member, Record, RunEnd, WorkerRecord};
use crate::registrations::{RegistrationNumber, Registrations};

/// One job.
#[derive(Clone, Debug)]
pub struct Job {
    /// What was submitted.
    pub submission: Rc<Submission>,
    /// The planner's account, once there is one.
    pub plan: Option<Rc<JobPlan>>,
    /// How the store holds that account.
    pub plan_layout: PlanLayout,
    /// Whether its caller has cancelled it.
    pub cancelled: bool,
}

impl Job {
    /// Returns what callers see of it.
    #[must_use]
    pub fn status(&self) -> JobStatus {
        let planned = self.plan.as_ref().map_or(JobStatus::Queued, |plan| plan.status);
        if self.cancelled && !planned.is_final() {
            return JobStatus::Cancelled;
        }
        planned
    }

    /// Returns whether a planner still has something to do for it.
    #[must_use]
    pub fn is_active(&self) -> bool {
        let Some(plan) = &self.plan else { return true };
        !plan.status.is_final() || plan.may_be_running()
    }
}

/// Numbers of states of the processes that were given out: no two states have the same, also of tables that were
/// loaded anew.
static PROCESS_STATES: AtomicU64 = AtomicU64::new(0);

/// Workers that are gone and whose agents are remembered, beside twice as many as are there.
const MOST_GONE_AGENTS: usize = 256;

/// Everything that the store's records say, and what came before something else among them.
#[derive(Clone, Debug, Default)]
pub struct JobTable {
    /// All known jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Jobs with something left to do.
    pub active: BTreeSet<JobId>,
    /// Workers that are there, by the registration of each that counts.
    pub workers: BTreeMap<InstanceId, Rc<WorkerRecord>>,
    /// Workers whose runs are given up.
    pub evicted: BTreeSet<InstanceId>,
    /// The registrations under which they were evicted.
    evictions: BTreeMap<InstanceId, BTreeSet<RegistrationNumber>>,
    /// Ends that no account holds yet, by their keys.
    pub ends: BTreeMap<String, Rc<RunEnd>>,
    /// The planner in charge.
    pub leader: Leader,
    /// The process that was in charge before; it may be gone.
    pub former_leader: NodeName,
    /// Failure domains in which nothing is started.
    pub drained: DrainedDomains,
    /// The processes, by their names.
    pub members: BTreeMap<NodeName, Member>,
    /// How workers' lives ended, for a while after.
    pub ended_incarnations: BTreeMap<InstanceId, Rc<LifeOver>>,
    /// The runs that went with their workers, of the jobs that have any.
    pub losses: BTreeMap<JobId, Rc<JobLosses>>,
    /// All registrations, those that a newer one has followed among them.
    registrations: Registrations,
    /// Agents of all workers that were there since the state was read as a whole, also of those that are gone.
    agents: BTreeMap<InstanceId, NodeName>,
    /// Runs that were assigned to a worker before it came back, registered anew.
    assigned_before_return: BTreeMap<InstanceId, BTreeSet<(TaskId, u32)>>,
    /// Cancellations of jobs that aren't known.
    early_cancels: BTreeSet<JobId>,
    /// Workers with runs by accounts that were passed over, since their jobs aren't known.
    lacking_jobs: BTreeSet<InstanceId>,
    /// Number of the present state of the processes.
    membership_version: u64,
}

impl JobTable {
    /// Takes in the newest record of each key in place of all that was known, whatever their order: jobs go
    /// before their accounts, which would be passed over without them, and so do workers, which haven't returned,
    /// after the ends of their registrations.
    pub fn load(&mut self, records: &[KeyedRecord]) {
        *self = Self::default();
        let is_of = |kind: &'static str| move |record: &&KeyedRecord| record.key.starts_with(kind);
        const FIRST: [&str; 3] = ["over/", "job/", "worker/"];
        for kind in FIRST {
            records.iter().filter(is_of(kind)).for_each(|record| self.apply(record));
        }
        let goes_last = |record: &&KeyedRecord| !FIRST.iter().any(|kind| is_of(kind)(record));
        records.iter().filter(goes_last).for_each(|record| self.apply(record));
    }

    /// Takes in one record. Records that can't be read are passed over: a newer release may
    /// have written them.
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
            Record::Cancelled(id) => self.insert_cancel(id),
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
                self.show_newest(&instance);
            }
            Record::LifeOver(instance, over) => {
                self.ended_incarnations.insert(instance, Rc::new(*over));
            }
            Record::Losses(job, losses) => {
                self.losses.insert(job, Rc::new(*losses));
            }
            Record::Evicted(instance) => {
                let (_, number) = split_worker_key(key);
                self.evictions.entry(instance.clone()).or_default().insert(number);
                self.evicted.insert(instance);
            }
            Record::Leader(leader) => {
                if leader.epoch >= self.leader.epoch {
                    if leader.node != self.leader.node {
                        self.former_leader.clone_from(&self.leader.node);
                    }
                    self.leader = leader;
                    self.note_process_change();
                }
            }
            Record::Member(member) => {
                self.members.insert(member.node.clone(), member);
                self.note_process_change();
            }
            Record::Drained(drained) => {
                if drained.read_to >= self.drained.read_to {
                    self.drained = drained;
                }
            }
        }
    }

    fn note_process_change(&mut self) {
        self.membership_version = PROCESS_STATES.fetch_add(1, Ordering::Relaxed) + 1;
    }

    /// Returns a number that stands for the processes that are known and who leads: another one after each change.
    /// What is worked out from them needs to be worked out again only then.
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
        self.show_newest(instance);
    }

    fn remove_worker(&mut self, key: &str) {
        let (instance, number) = split_worker_key(key);
        self.registrations.remove(instance, number);
        self.show_newest(instance);
    }

    fn remove_eviction(&mut self, key: &str) {
        let (instance, number) = split_worker_key(key);
        let Some(numbers) = self.evictions.get_mut(instance) else { return };
        numbers.remove(&number);
        if numbers.is_empty() {
            self.evictions.remove(instance);
            self.evicted.remove(instance);
        }
    }

    /// Lists the keys of a worker's evictions. A call that removes them may land late, when the worker has come back
    /// and is evicted again, under another registration: that eviction stands.
    pub fn eviction_keys<'a>(&'a self, instance: &'a str) -> impl Iterator<Item = String> + 'a {
        let numbers = self.evictions.get(instance).into_iter().flatten();
        numbers.map(move |number| eviction_key(instance, *number))
    }

    fn show_newest(&mut self, instance: &str) {
        if let Some((_, record)) = self.registrations.newest(instance) {
            self.workers.insert(instance.to_owned(), Rc::clone(record));
        } else {
            self.workers.remove(instance);
            self.assigned_before_return.remove(instance);
            self.forget_agents();
        }
    }

    /// Forgets the agents of workers that are gone and that no account names, once there are many.
    fn forget_agents(&mut self) {
        if self.agents.len() < MOST_GONE_AGENTS + 2 * self.workers.len() {
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

    /// Lists the runs that may exist at a worker, by the accounts.
    #[must_use]
    pub fn runs_assigned_to(&self, instance: &str) -> BTreeSet<(TaskId, u32)> {
        let is_there = |task: &TaskPlan| task.may_be_running() && task.instance == instance;
        let mut runs = BTreeSet::new();
        for id in &self.active {
            let Some(plan) = self.jobs.get(id).and_then(|job| job.plan.as_ref()) else { continue };
            for task in plan.tasks_where(id, is_there) {
                let attempt = plan.task(&task).map_or(0, |found| found.attempt);
                runs.insert((task, attempt));
            }
        }
        runs
    }

    /// Returns whether an account says that a run may exist at a worker.
    #[must_use]
    pub fn has_runs_assigned_to(&self, instance: &str) -> bool {
        self.active_plans().flat_map(JobPlan::workers).any(|named| named == instance)
    }

    /// Returns the registrations of the workers.
    #[must_use]
    pub const fn registrations(&self) -> &Registrations {
        &self.registrations
    }

    /// Returns the agent of a worker that is there or was; `None` if it was gone before the state was read as a
    /// whole.
    #[must_use]
    pub fn agent_of(&self, instance: &str) -> Option<&NodeName> {
        self.agents.get(instance)
    }

    /// Returns whether a run was assigned to a worker before that came back, after its registration was gone.
    /// While it was gone the planner may have taken the run to be over, by a decision that is still on its way.
    #[must_use]
    pub fn was_assigned_before_return(&self, instance: &str, run: &(TaskId, u32)) -> bool {
        self.assigned_before_return.get(instance).is_some_and(|runs| runs.contains(run))
    }

    fn insert_submission(&mut self, submission: Submission) {
        let id = submission.id.clone();
        if self.jobs.contains_key(&id) {
            return;
        }
        let cancelled = self.early_cancels.remove(&id);
        let job = Job {
            submission: Rc::new(submission),
            plan: None,
            plan_layout: PlanLayout::default(),
            cancelled,
        };
        self.jobs.insert(id.clone(), job);
        self.active.insert(id);
    }

    fn insert_cancel(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) => job.cancelled = true,
            None => {
                self.early_cancels.insert(id);
            }
        }
    }

    fn insert_plan(&mut self, id: &JobId, plan: JobPlan) {
        let Some(job) = self.jobs.get_mut(id) else {
            return self
                .pass_over(id, plan.open.iter().flat_map(|open| open.steps.iter().flatten()));
        };
        let known = job.plan.take().map(Rc::unwrap_or_clone);
        let (plan, form) = take_in_head(&job.submission, known, plan);
        job.plan = Some(Rc::new(plan));
        job.plan_layout = form;
        self.note_account_change(id);
    }

    fn insert_part(&mut self, first: &TaskId, tasks: Vec<TaskPlan>) {
        let Some(job) = self.jobs.get_mut(&first.job) else {
            return self.pass_over(&first.job, tasks.iter());
        };
        let plan = Rc::make_mut(job.plan.get_or_insert_default());
        take_in_part(&job.submission, plan, first, tasks);
        self.note_account_change(&first.job);
    }

    /// Passes over an account whose job isn't known, and takes note of the workers that have runs by it.
    fn pass_over<'a>(&mut self, job: &JobId, tasks: impl Iterator<Item = &'a TaskPlan>) {
        let named = tasks.filter(|task| task.may_be_running()).map(|task| &task.instance);
        let there = named.filter(|instance| self.workers.contains_key(*instance));
        let there: BTreeSet<InstanceId> = there.cloned().collect();
        if !there.is_empty() {
            log::warn!(
                "event=J183 account passed over, its job isn't known job={job} workers={there:?}"
            );
            self.lacking_jobs.extend(there);
        }
    }

    /// Returns whether an account was passed over, since the state was read as a whole, that an agent needs: its job isn't
    /// known.
    #[must_use]
    pub fn lacks_job_for(&self, agent: &str) -> bool {
        let mut agents = self.lacking_jobs.iter().filter_map(|instance| self.agent_of(instance));
        agents.any(|known| known == agent)
    }

    fn note_account_change(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else { return };
        if job.is_active() {
            self.active.insert(id.clone());
        } else {
            self.active.remove(id);
        }
    }

    fn remove(&mut self, key: &str) {
        let Some((kind, name)) = key.split_once('/') else { return };
        match kind {
            "job" => {
                self.jobs.remove(name);
                self.active.remove(name);
            }
            "cancel" => {
                self.early_cancels.remove(name);
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
            "member" => {
                self.members.remove(name);
                self.note_process_change();
            }
            _ => {}
        }
    }

    /// Returns what callers see of a job, if it is known. A job whose last tasks have ended well has
    /// succeeded as soon as the store holds these ends; the planner's account follows.
    #[must_use]
    pub fn status(&self, id: &str) -> Option<JobStatus> {
        let job = self.jobs.get(id)?;
        let status = job.status();
        let has_ended = status == JobStatus::Running && self.all_done(job);
        Some(if has_ended { JobStatus::Succeeded } else { status })
    }

    /// Returns whether every task of a job is done, by the account or by an end that it doesn't hold
    /// yet.
    fn all_done(&self, job: &Job) -> bool {
        let submission = &job.submission;
        let Some(plan) = &job.plan else { return false };
        let lasts = submission.steps.iter().any(|step| step.long_running);
        if lasts || plan.next_occurrence < submission.occurrence_count() {
            return false;
        }
        plan.open.iter().all(|occurrence| {
            let steps = occurrence.steps.iter().zip(&submission.steps).enumerate();
            steps.into_iter().all(|(number, (tasks, step))| {
                let mut tasks = tasks.iter().enumerate();
                let is_done = |(index, task): (usize, &TaskPlan)| {
                    let id = TaskId {
                        job: submission.id.clone(),
                        occurrence: occurrence.number,
                        step: number as u32,
                        index: index as u32,
                    };
                    task.status == TaskStatus::Done || self.has_ended_well(&id, task)
                };
                // A gang ends jointly: one member done counts for all.
                if step.gang { tasks.any(is_done) } else { tasks.all(is_done) }
            })
        })
    }

    /// Returns whether the end of a run is known that no account holds yet.
    #[must_use]
    pub fn has_end(&self, task: &TaskId, attempt: u32) -> bool {
        self.ends.contains_key(&format!("end/{task}/{attempt}"))
    }

    /// Returns whether a refusal of a run is known that no account holds yet.
    #[must_use]
    pub fn has_refusal(&self, task: &TaskId, attempt: u32) -> bool {
        let key = format!("refusal/{task}/{attempt}");
        let mut from_key = self.ends.range(key.clone()..);
        from_key.next().is_some_and(|(found, _)| split_refusal_key(found).0 == key)
    }

    fn has_ended_well(&self, id: &TaskId, task: &TaskPlan) -> bool {
        let end = self.ends.get(&format!("end/{id}/{}", task.attempt));
        task.may_be_running() && end.is_some_and(|end| end.reason == EndReason::Done)
    }

    /// Counts the accepted jobs of a queue that aren't timed and none of whose tasks has begun.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        let waiting = self.active.iter().filter_map(|id| self.jobs.get(id));
        waiting
            .filter(|job| job.submission.queue == queue && job.status() == JobStatus::Queued)
            .count()
    }

    /// Returns whether nothing may be started at a worker: operators have drained its failure domain.
    #[must_use]
    pub fn is_in_drained_domain(&self, worker: &WorkerRecord) -> bool {
        self.drained.contains(&worker.failure_domain)
    }

    /// Returns whether a run is to go on: assigned to this worker, which is registered, and not cancelled. What
    /// runs at a worker whose registration is gone will be started elsewhere.
    #[must_use]
    pub fn should_run(&self, instance: &str, task: &TaskId, attempt: u32) -> bool {
        if !self.workers.contains_key(instance) {
            return false;
        }
        let Some(job) = self.jobs.get(&task.job) else { return false };
        if job.cancelled {
            return false;
        }
        let Some(planned) = job.plan.as_ref().and_then(|plan| plan.task(task)) else {
            return false;
        };
        planned.status == TaskStatus::Running
            && planned.attempt == attempt
            && planned.instance == instance
    }
}
