//! A planner on tables made of records, round by round.

use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::{Step, Submission, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::planner::{Planner, ProgressTable, RoundInputs};
use rampbay_jobs::record::{
    EndReason, KeyedRecord, ProgressReport, Record, RunEnd, RunProgress, WorkerRecord,
};
use rampbay_jobs::routing::{Routing, Workspace};
use rampbay_jobs::table::JobTable;
use tokio::time::Instant;

use super::{settings, step, task, worker_record};

/// A planner with what it goes by.
pub struct PlannerRig {
    /// The planner.
    pub planner: Planner,
    /// Its table.
    pub table: JobTable,
    /// What agents have reported.
    pub progress: ProgressTable,
    /// The configuration.
    pub routing: Routing,
    /// The failure domains that operators have drained.
    pub drained: DrainedDomains,
    /// Age of what is known of the operators' orders.
    pub drain_orders_age: Option<Duration>,
    /// When the planner began.
    pub started: Instant,
    /// Time of day.
    pub wall: u64,
}

impl PlannerRig {
    /// Makes a rig of some workers.
    pub fn new(workers: &[(&str, WorkerRecord)]) -> Self {
        let mut rig = Self {
            planner: Planner::new(settings().planner()),
            table: JobTable::default(),
            progress: ProgressTable::default(),
            routing: Routing::default(),
            drained: DrainedDomains::default(),
            drain_orders_age: Some(Duration::ZERO),
            started: Instant::now(),
            wall: 2_000,
        };
        rig.progress.note_read(Instant::now());
        for (instance, worker) in workers {
            rig.put(&Record::Worker((*instance).to_owned(), Box::new(worker.clone())));
        }
        rig
    }

    /// A rig of workers with 8 accelerators each, three a rack.
    pub fn of_workers(count: usize) -> Self {
        let name = |index: usize| format!("i-{index}");
        let names: Vec<String> = (0..count).map(name).collect();
        let record = |index: usize| worker_record("side", &format!("r{}", index / 3), 8);
        let workers: Vec<(&str, WorkerRecord)> =
            names.iter().enumerate().map(|(index, name)| (name.as_str(), record(index))).collect();
        Self::new(&workers)
    }

    /// Takes a record into the table.
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

    /// Plans one round, without taking it in.
    pub fn round(&mut self) -> Vec<KeyedRecord> {
        self.planner.round(&RoundInputs {
            table: &self.table,
            routing: &self.routing,
            drained: &self.drained,
            drain_orders_age: self.drain_orders_age,
            progress: &self.progress,
            now: self.started.elapsed(),
            wall: self.wall,
        })
    }

    /// Plans until nothing changes.
    pub fn plan(&mut self) {
        for _ in 0..20 {
            let records = self.round();
            if records.is_empty() {
                return;
            }
            records.iter().for_each(|record| self.table.apply(record));
        }
        panic!("the planner doesn't come to rest");
    }

    /// Lets time pass in which all agents report.
    pub async fn advance(&mut self, time: Duration) {
        self.advance_with_silent(time, "").await;
    }

    /// Lets time pass in which all agents but one report.
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

    /// Ends a task's present run.
    pub fn end(&mut self, id: &TaskId, reason: EndReason) {
        let (attempt, instance) = self.placed(id);
        self.put(&Record::Ended(Box::new(RunEnd {
            task: id.clone(),
            attempt,
            reason,
            checkpoint: String::new(),
            instance,
        })));
    }

    /// Returns attempt and worker of a task's latest run.
    pub fn placed(&self, id: &TaskId) -> (u32, String) {
        let plan = self.table.jobs[&id.job].plan.as_ref().expect("a plan");
        let task = plan.task(id).expect("a task");
        (task.attempt, task.instance.clone())
    }

    /// Returns the worker of a task's latest run.
    pub fn instance_of(&self, id: &TaskId) -> String {
        self.placed(id).1
    }

    /// Returns where a task stands.
    pub fn status_of(&self, id: &TaskId) -> TaskStatus {
        let plan = self.table.jobs[&id.job].plan.as_ref();
        plan.and_then(|plan| plan.task(id)).map_or(TaskStatus::Waiting, |task| task.status)
    }

    /// Lists where a job's tasks stand.
    pub fn statuses(&self, job: &str) -> Vec<TaskStatus> {
        let Some(plan) = &self.table.jobs[job].plan else { return Vec::new() };
        plan.tasks(&job.to_owned()).map(|(_, task)| task.status).collect()
    }

    /// Returns what callers see of a job.
    pub fn job_status(&self, job: &str) -> JobStatus {
        self.table.jobs[job].status()
    }
}

/// What an agent reports of a task's first run.
pub fn progress(job: &str, index: u32, percent: u32, ran_ms: u64) -> RunProgress {
    RunProgress { task: task(job, index), attempt: 1, percent, ran_ms, checkpoint: String::new() }
}

/// A gang of `count` tasks that hold `devices` accelerators each.
pub fn gang(count: u32, devices: u64) -> Step {
    Step { gang: true, ..step(count, devices) }
}
