//! A planner that runs rounds on a table built from records.

use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::{Step, Submission, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::planner::completion::view::CompletionView;
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings, ProgressTable, RoundInputs};
use rampbay_jobs::record::{
    EndReason, KeyedRecord, ProgressReport, Record, RunEnd, RunProgress, WorkerRecord, removal,
};
use rampbay_jobs::routing::{Routing, Workspace};
use rampbay_jobs::table::JobTable;
use rampbay_jobs::upkeep::load::WorkerDrains;
use tokio::time::Instant;

use super::{job, settings, step, task, worker_record};

/// A planner with the inputs of its rounds.
pub struct PlannerRig {
    /// Settings of the planner.
    pub settings: PlannerSettings,
    /// The planner.
    pub planner: Planner,
    /// Its table.
    pub table: JobTable,
    /// Progress that agents have reported.
    pub progress: ProgressTable,
    /// The configuration.
    pub routing: Routing,
    /// The failure domains that operators have drained.
    pub drained: DrainedDomains,
    /// Age of the known drain orders.
    pub drain_orders_age: Option<Duration>,
    /// The workers that maintenance waves take out of use.
    pub upkeep: WorkerDrains,
    /// When the planner began.
    pub started: Instant,
    /// Wall-clock time, in milliseconds.
    pub wall: u64,
}

impl PlannerRig {
    /// Creates a rig with some workers.
    pub fn new(workers: &[(&str, WorkerRecord)]) -> Self {
        let settings = settings().planner();
        let mut rig = Self {
            settings,
            planner: Planner::new(settings),
            table: JobTable::default(),
            progress: ProgressTable::default(),
            routing: Routing::default(),
            drained: DrainedDomains::default(),
            drain_orders_age: Some(Duration::ZERO),
            upkeep: WorkerDrains::default(),
            started: Instant::now(),
            wall: 2_000,
        };
        rig.progress.note_read(Instant::now());
        for (instance, worker) in workers {
            rig.put(&Record::Worker((*instance).to_owned(), Box::new(worker.clone())));
        }
        rig
    }

    /// Creates a rig with workers of 8 accelerators each, three per rack.
    pub fn of_workers(count: usize) -> Self {
        let name = |index: usize| format!("i-{index}");
        let names: Vec<String> = (0..count).map(name).collect();
        let record = |index: usize| worker_record("side", &format!("r{}", index / 3), 8);
        let workers: Vec<(&str, WorkerRecord)> =
            names.iter().enumerate().map(|(index, name)| (name.as_str(), record(index))).collect();
        Self::new(&workers)
    }

    /// Lets the planner place work by a policy.
    #[must_use]
    pub fn with_placement(mut self, placement: Placement) -> Self {
        self.settings.placement = placement;
        self.replace_planner();
        self
    }

    /// Replaces the planner by one without state from earlier rounds, as a new leader has it.
    pub fn replace_planner(&mut self) {
        self.planner = Planner::new(self.settings);
    }

    /// Applies a record to the table.
    pub fn put(&mut self, record: &Record) {
        self.table.apply(&record.encode());
    }

    /// Submits a job.
    pub fn submit(&mut self, submission: Submission) {
        self.put(&Record::Submitted(Box::new(submission)));
    }

    /// Guarantees accelerators to the workspace of the test jobs.
    pub fn guarantee(&mut self, devices: u64) {
        self.routing.workspaces = vec![Workspace {
            name: "workspace".to_owned(),
            keys: Vec::new(),
            guaranteed_devices: devices,
        }];
    }

    /// Runs one round without applying its records.
    pub fn round(&mut self) -> Vec<KeyedRecord> {
        self.planner.round(&RoundInputs {
            table: &self.table,
            routing: &self.routing,
            drained: &self.drained,
            drain_orders_age: self.drain_orders_age,
            upkeep: &self.upkeep,
            progress: &self.progress,
            now: self.started.elapsed(),
            wall: self.wall,
        })
    }

    /// Returns the inputs of a round.
    pub fn inputs(&self) -> RoundInputs<'_> {
        RoundInputs {
            table: &self.table,
            routing: &self.routing,
            drained: &self.drained,
            drain_orders_age: self.drain_orders_age,
            upkeep: &self.upkeep,
            progress: &self.progress,
            now: self.started.elapsed(),
            wall: self.wall,
        }
    }

    /// Asks the estimate of completion a question, by what the planner knew at its last round.
    pub fn ask<T>(&self, question: impl FnOnce(&CompletionView<'_>) -> T) -> T {
        let inputs = self.inputs();
        question(&self.planner.completion_view(&inputs))
    }

    /// Advances the time while all agents report that nothing runs at their workers.
    pub async fn advance_idle(&mut self, time: Duration) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let instances: Vec<String> = self.table.workers.keys().cloned().collect();
            instances.iter().for_each(|instance| self.report(instance, Vec::new()));
        }
    }

    /// Replaces the planner by that of a new leader, which knows the table but no reports.
    pub fn take_over(&mut self) {
        self.planner = Planner::new(settings().planner());
        self.progress = ProgressTable::default();
        self.progress.note_read(Instant::now());
        self.started = Instant::now();
    }

    /// Removes a worker, as after the end of its incarnation.
    pub fn remove_worker(&mut self, instance: &str) {
        let keys: Vec<String> = self.table.registrations().keys(instance).collect();
        for key in keys {
            self.table.apply(&removal(key));
        }
    }

    /// Lets an agent report on the runs of its worker.
    pub fn report(&mut self, instance: &str, runs: Vec<RunProgress>) {
        self.progress.note_read(Instant::now());
        self.progress.insert(instance, ProgressReport { silent_ms: 0, runs }, Instant::now());
    }

    /// Runs rounds and applies their records until a round changes nothing.
    ///
    /// # Panics
    ///
    /// Panics if the plan still changes after 20 rounds.
    pub fn plan(&mut self) {
        for _ in 0..20 {
            let records = self.round();
            if records.is_empty() {
                return;
            }
            records.iter().for_each(|record| self.table.apply(record));
        }
        panic!("the plan still changes after 20 rounds");
    }

    /// Advances the time while all agents report.
    pub async fn advance(&mut self, time: Duration) {
        self.advance_with_silent(time, "").await;
    }

    /// Advances the time while all agents but the one of the worker `silent` report.
    pub async fn advance_with_silent(&mut self, time: Duration, silent: &str) {
        let end = Instant::now() + time;
        while Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(500)).await;
            self.wall += 500;
            self.progress.note_read(Instant::now());
            let instances: Vec<String> = self.table.workers.keys().cloned().collect();
            for instance in instances.into_iter().filter(|instance| instance != silent) {
                let runs = self.runs_at(&instance);
                let runs = runs.into_iter().map(|(task, attempt)| RunProgress {
                    task,
                    attempt,
                    percent: u32::try_from(self.wall / 500 % 100).unwrap_or(0),
                    ran_ms: 0,
                    checkpoint: String::new(),
                });
                let report = ProgressReport { silent_ms: 0, runs: runs.collect() };
                self.progress.insert(&instance, report, Instant::now());
            }
        }
    }

    /// Runs an urgent job on all workers until the planner knows their speeds, and ends it. `rates` are in percent a
    /// second, in the order of the workers' ids. Each worker must be free and take one task of 8 accelerators.
    pub async fn measure_speeds(&mut self, rates: &[u32]) {
        const JOB: &str = "0000000000005eed";
        let count = self.table.workers.len() as u32;
        let submission = job(JOB, 0, step(count, 8));
        self.submit(Submission { submitted_at: self.wall, ..submission });
        self.plan();
        for second in 0..8_u32 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            self.wall += 1000;
            self.progress.note_read(Instant::now());
            for index in 0..count {
                let instance = self.instance_of(&task(JOB, index));
                let place = self.table.workers.keys().position(|known| *known == instance);
                let rate = rates[place.expect("a known worker")];
                let run = progress(JOB, index, second * rate, u64::from(second) * 1000);
                let report = ProgressReport { silent_ms: 0, runs: vec![run] };
                self.progress.insert(&instance, report, Instant::now());
            }
            self.plan();
        }
        (0..count).for_each(|index| self.end(&task(JOB, index), EndReason::Done));
        self.plan();
    }

    /// Lists the runs at a worker.
    pub fn runs_at(&self, instance: &str) -> Vec<(TaskId, u32)> {
        let mut runs = Vec::new();
        for (id, job) in &self.table.jobs {
            let Some(plan) = &job.plan else { continue };
            let here = plan
                .tasks(id)
                .filter(|(_, task)| task.instance == instance && task.may_be_running());
            runs.extend(here.map(|(id, task)| (id, task.attempt)));
        }
        runs
    }

    /// Ends a task's current run.
    pub fn end(&mut self, id: &TaskId, reason: EndReason) {
        let (attempt, instance) = self.latest_run(id);
        self.put(&Record::Ended(Box::new(RunEnd {
            task: id.clone(),
            attempt,
            reason,
            checkpoint: String::new(),
            instance,
        })));
    }

    /// Returns the attempt and the worker of a task's latest run.
    pub fn latest_run(&self, id: &TaskId) -> (u32, String) {
        let plan = self.table.jobs[&id.job].plan.as_ref().expect("a plan");
        let task = plan.task(id).expect("a task");
        (task.attempt, task.instance.clone())
    }

    /// Returns the worker of a task's latest run.
    pub fn instance_of(&self, id: &TaskId) -> String {
        self.latest_run(id).1
    }

    /// Returns the status of a task.
    pub fn status_of(&self, id: &TaskId) -> TaskStatus {
        let plan = self.table.jobs[&id.job].plan.as_ref();
        plan.and_then(|plan| plan.task(id)).map_or(TaskStatus::Waiting, |task| task.status)
    }

    /// Lists the statuses of a job's tasks.
    pub fn statuses(&self, job: &str) -> Vec<TaskStatus> {
        let Some(plan) = &self.table.jobs[job].plan else { return Vec::new() };
        plan.tasks(&job.to_owned()).map(|(_, task)| task.status).collect()
    }

    /// Returns the status of a job that callers see.
    pub fn job_status(&self, job: &str) -> JobStatus {
        self.table.jobs[job].status()
    }
}

/// Returns the progress that an agent reports of a task's first run.
pub fn progress(job: &str, index: u32, percent: u32, ran_ms: u64) -> RunProgress {
    RunProgress { task: task(job, index), attempt: 1, percent, ran_ms, checkpoint: String::new() }
}

/// Returns a gang step of `count` tasks that hold `devices` accelerators each.
pub fn gang(count: u32, devices: u64) -> Step {
    Step { gang: true, ..step(count, devices) }
}
