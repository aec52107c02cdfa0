//! A generated fleet under load, in virtual time: jobs arrive, runs progress, end, fail and are stopped.
//!
//! It simulates agents and workers only as far as a planner sees them. The same seed generates the
//! same load, so two versions of the planner can be compared decision by decision.

use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::drained::DrainedDomains;
use rampbay_jobs::job::{Resources, Step, Submission, TaskId};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings, ProgressTable, RoundInputs};
use rampbay_jobs::record::{
    EndReason, KeyedRecord, ProgressReport, Record, RunEnd, RunProgress, WorkerRecord,
};
use rampbay_jobs::routing::{Routing, Workspace};
use rampbay_jobs::table::JobTable;
use rampbay_jobs::upkeep::load::WorkerDrains;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::settings;

/// Time between two rounds.
const TICK: Duration = Duration::from_millis(50);
/// Ticks between two reports of an agent.
const REPORT_TICKS: u64 = 20;
/// Time that a stop takes, in milliseconds.
const STOP_MS: u64 = 300;
/// Share of the runs that fail, unless a test sets another one.
const FAILURE_SHARE: f64 = 0.01;
/// Factor by which a gang takes longer that is spread over racks.
const SPREAD_FACTOR: u64 = 3;
/// Speeds of the machines, in percent.
const SPEEDS: [u64; 3] = [80, 100, 125];
const WORKERS_PER_RACK: usize = 8;
const WORKSPACES: usize = 6;

/// A kind of job that arrives.
struct Kind {
    priority: u32,
    /// Jobs a second on 240 workers.
    jobs_per_s: f64,
    tasks: u32,
    cpu_milli: u64,
    memory_mb: u64,
    devices: &'static [u64],
    work_ms: u64,
    gang: bool,
    same_rack_share: f64,
}

const KINDS: [Kind; 3] = [
    Kind {
        priority: 1,
        jobs_per_s: 0.8,
        tasks: 25,
        cpu_milli: 52_000,
        memory_mb: 110_000,
        devices: &[1, 2, 4, 8],
        work_ms: 8_500,
        gang: true,
        same_rack_share: 0.6,
    },
    Kind {
        priority: 0,
        jobs_per_s: 5.3,
        tasks: 8,
        cpu_milli: 15_000,
        memory_mb: 39_000,
        devices: &[1, 2, 4, 8],
        work_ms: 2_500,
        gang: true,
        same_rack_share: 0.8,
    },
    Kind {
        priority: 2,
        jobs_per_s: 0.6,
        tasks: 78,
        cpu_milli: 11_000,
        memory_mb: 16_000,
        devices: &[1],
        work_ms: 9_500,
        gang: false,
        same_rack_share: 0.0,
    },
];

/// A run at a worker.
struct Run {
    started_ms: u64,
    ends_ms: u64,
    reason: EndReason,
    /// Times in which its worker is slow.
    slow: Vec<SlowTime>,
}

/// A time in which the runs at a worker take longer.
#[derive(Clone, Copy, Debug)]
pub struct SlowTime {
    /// Its beginning, in milliseconds since the fleet was created.
    pub from_ms: u64,
    /// Its end.
    pub until_ms: u64,
    /// Factor by which runs take longer.
    pub factor: u64,
}

impl SlowTime {
    /// Returns the work that a run doesn't do between two times, in milliseconds.
    fn lost_ms(&self, from_ms: u64, until_ms: u64) -> u64 {
        let time = until_ms.min(self.until_ms).saturating_sub(from_ms.max(self.from_ms));
        time - time / self.factor
    }
}

impl Run {
    /// Returns the work that has been done at a time, in milliseconds.
    fn worked_ms(&self, at_ms: u64) -> u64 {
        let lost = self.slow.iter().map(|slow| slow.lost_ms(self.started_ms, at_ms));
        at_ms - self.started_ms - lost.sum::<u64>()
    }

    /// Delays its end until the work of `work_ms` is done.
    fn delay_end(&mut self, work_ms: u64) {
        while self.worked_ms(self.ends_ms) < work_ms {
            self.ends_ms += work_ms - self.worked_ms(self.ends_ms);
        }
    }
}

/// A fleet, and the planner that plans for it.
pub struct Fleet {
    /// The planner.
    pub planner: Planner,
    /// The table that it plans from.
    pub table: JobTable,
    /// Progress that agents have reported.
    pub progress: ProgressTable,
    /// The configuration.
    pub routing: Routing,
    /// The failure domains that operators have drained.
    pub drained: DrainedDomains,
    /// Starts and stops so far, one per entry.
    pub decisions: Vec<String>,
    /// The tasks of stopped runs, when each was stopped, and when it would have ended otherwise.
    pub stopped: Vec<(TaskId, u64, u64)>,
    rng: ChaCha8Rng,
    /// Speed of each worker, in percent.
    pub speeds: BTreeMap<String, u64>,
    /// Times in which workers are slow, by worker; for runs that start later.
    pub slow: BTreeMap<String, Vec<SlowTime>>,
    runs: BTreeMap<(TaskId, u32), Run>,
    work_ms: BTreeMap<String, u64>,
    /// Factor on the rates at which jobs arrive; 0 if only the test submits any.
    pub load: f64,
    /// Share of the runs that fail.
    pub failure_share: f64,
    jobs: u64,
    ticks: u64,
    started: Instant,
    /// The workers that maintenance waves take out of use.
    pub upkeep: WorkerDrains,
}

impl Fleet {
    /// Creates a fleet of idle workers, planned by the policy that the settings of the first deployments choose.
    pub fn new(workers: usize, seed: u64) -> Self {
        Self::with_placement(workers, seed, Placement::Auto)
    }

    /// Creates a fleet of idle workers that is planned by a policy.
    pub fn with_placement(workers: usize, seed: u64, placement: Placement) -> Self {
        let settings = PlannerSettings { placement, ..settings().planner() };
        let mut fleet = Self {
            planner: Planner::new(settings),
            table: JobTable::default(),
            progress: ProgressTable::default(),
            routing: Routing { workspaces: workspaces(workers), ..Routing::default() },
            drained: DrainedDomains::default(),
            decisions: Vec::new(),
            stopped: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            speeds: BTreeMap::new(),
            slow: BTreeMap::new(),
            runs: BTreeMap::new(),
            work_ms: BTreeMap::new(),
            load: workers as f64 / 240.0,
            failure_share: FAILURE_SHARE,
            jobs: 0,
            ticks: 0,
            started: Instant::now(),
            upkeep: WorkerDrains::default(),
        };
        for index in 0..workers {
            let instance = format!("i-{index:05}");
            let rack = format!("r{}", index / WORKERS_PER_RACK);
            let record = WorkerRecord {
                node: format!("side-{index}"),
                service: "service".to_owned(),
                address: "127.0.0.1:1".to_owned(),
                capacity: Resources { cpu_milli: 128_000, memory_mb: 262_144, devices: 8 },
                labels: vec!["a".to_owned(), rack],
                ..WorkerRecord::default()
            };
            let speed = SPEEDS[fleet.rng.random_range(0..SPEEDS.len())];
            fleet.speeds.insert(instance.clone(), speed);
            fleet.put(&Record::Worker(instance, Box::new(record)));
        }
        fleet
    }

    /// Sets the speeds of all machines, in percent, in the order of the workers' ids.
    pub fn set_speeds(&mut self, speed: impl Fn(usize) -> u64) {
        for (index, known) in self.speeds.values_mut().enumerate() {
            *known = speed(index);
        }
    }

    fn put(&mut self, record: &Record) {
        self.table.apply(&record.encode());
    }

    /// Returns the time since the fleet was created, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.ticks * TICK.as_millis() as u64
    }

    /// Advances the time by as many ticks as fit into `time`.
    pub async fn advance(&mut self, time: Duration) {
        let ticks = time.as_millis() / TICK.as_millis();
        for _ in 0..ticks {
            self.step().await;
        }
    }

    /// Advances the time by one tick: arrivals, ends, reports, and a round.
    pub async fn step(&mut self) {
        tokio::time::advance(TICK).await;
        self.ticks += 1;
        self.arrive();
        self.end_runs();
        self.report();
        let records = self.round();
        self.apply(&records);
    }

    /// Returns the inputs of a round.
    pub fn inputs(&self) -> RoundInputs<'_> {
        RoundInputs {
            table: &self.table,
            routing: &self.routing,
            drained: &self.drained,
            drain_orders_age: Some(Duration::ZERO),
            upkeep: &self.upkeep,
            progress: &self.progress,
            now: self.started.elapsed(),
            wall: 1_000_000 + self.now_ms(),
        }
    }

    /// Runs one round without applying its records.
    pub fn round(&mut self) -> Vec<KeyedRecord> {
        self.planner.round(&RoundInputs {
            table: &self.table,
            routing: &self.routing,
            drained: &self.drained,
            drain_orders_age: Some(Duration::ZERO),
            upkeep: &self.upkeep,
            progress: &self.progress,
            now: self.started.elapsed(),
            wall: self.wall_ms(),
        })
    }

    /// Applies the records of a round to the table, and starts and stops runs accordingly.
    pub fn apply(&mut self, records: &[KeyedRecord]) {
        let before: BTreeMap<(TaskId, u32), TaskStatus> = self.active_runs();
        for record in records {
            self.table.apply(record);
        }
        let now_ms = self.now_ms();
        for (key, status) in self.active_runs() {
            let was = before.get(&key);
            match status {
                TaskStatus::Running if was.is_none() => self.start(&key, now_ms),
                TaskStatus::Stopping if was == Some(&TaskStatus::Running) => {
                    self.decisions.push(format!("{now_ms} stop {} {}", key.0, key.1));
                    if let Some(run) = self.runs.get_mut(&key) {
                        self.stopped.push((key.0.clone(), now_ms, run.ends_ms));
                        run.ends_ms = run.ends_ms.min(now_ms + STOP_MS);
                        run.reason = EndReason::Stopped;
                    }
                }
                _ => {}
            }
        }
    }

    fn active_runs(&self) -> BTreeMap<(TaskId, u32), TaskStatus> {
        let mut active_runs = BTreeMap::new();
        for (id, job) in &self.table.jobs {
            let Some(plan) = &job.plan else { continue };
            let tasks = plan.tasks(id).filter(|(_, task)| task.may_be_running());
            active_runs.extend(tasks.map(|(id, task)| ((id, task.attempt), task.status)));
        }
        active_runs
    }

    fn instance_of(&self, key: &(TaskId, u32)) -> String {
        let plan = self.table.jobs[&key.0.job].plan.as_ref().expect("a plan");
        plan.task(&key.0).expect("a task").instance.clone()
    }

    fn start(&mut self, key: &(TaskId, u32), now_ms: u64) {
        let instance = self.instance_of(key);
        self.decisions.push(format!("{now_ms} start {} {} {instance}", key.0, key.1));
        let job = &self.table.jobs[&key.0.job];
        let step = &job.submission.steps[key.0.step as usize];
        let plan = job.plan.as_ref().expect("a plan");
        let rack = |instance: &str| self.table.workers[instance].rack().to_owned();
        let spread = step.same_rack
            && plan.tasks(&key.0.job).any(|(_, task)| rack(&task.instance) != rack(&instance));
        let factor = if spread { SPREAD_FACTOR } else { 1 };
        let duration_ms = self.work_ms[&key.0.job] * 100 / self.speeds[&instance] * factor;
        let fails = self.rng.random_bool(self.failure_share);
        let reason = if fails { EndReason::Failed } else { EndReason::Done };
        let slow = self.slow.get(&instance).cloned().unwrap_or_default();
        let ends_ms = now_ms + duration_ms;
        let mut run = Run { started_ms: now_ms, ends_ms, reason, slow };
        run.delay_end(duration_ms);
        self.runs.insert(key.clone(), run);
    }

    fn arrive(&mut self) {
        for kind in &KINDS {
            let expected = kind.jobs_per_s * self.load * TICK.as_secs_f64();
            if self.rng.random_bool(expected.min(1.0)) {
                self.submit(kind);
            }
        }
    }

    fn submit(&mut self, kind: &Kind) {
        self.jobs += 1;
        let work_ms = self.rng.random_range(kind.work_ms / 2..kind.work_ms * 3 / 2);
        let submission = Submission {
            id: format!("{:016x}", self.rng.random::<u64>()),
            workspace: format!("workspace-{}", self.rng.random_range(0..WORKSPACES)),
            queue: format!("queue-{}", kind.priority),
            service: "service".to_owned(),
            priority: kind.priority,
            attempts: 3,
            stretch_permille: 2000,
            target_ms: 500,
            payload: "payload".to_owned(),
            steps: vec![Step {
                count: self.rng.random_range(1..kind.tasks * 2),
                demand: Resources {
                    cpu_milli: kind.cpu_milli,
                    memory_mb: kind.memory_mb,
                    devices: kind.devices[self.rng.random_range(0..kind.devices.len())],
                },
                estimate_ms: work_ms * self.rng.random_range(80..120) / 100,
                checkpointing: self.rng.random_bool(0.45),
                gang: kind.gang,
                same_rack: self.rng.random_bool(kind.same_rack_share),
                ..Step::default()
            }],
            ..Submission::default()
        };
        self.submit_job(submission, work_ms);
    }

    /// Submits a job now, each of whose tasks takes `work_ms` on a machine of usual speed.
    pub fn submit_job(&mut self, submission: Submission, work_ms: u64) {
        self.work_ms.insert(submission.id.clone(), work_ms);
        let submission = Submission { submitted_at: self.wall_ms(), ..submission };
        self.put(&Record::Submitted(Box::new(submission)));
    }

    fn wall_ms(&self) -> u64 {
        1_000_000 + self.now_ms()
    }

    fn end_runs(&mut self) {
        let now_ms = self.now_ms();
        let over = self.runs.iter().filter(|(_, run)| run.ends_ms <= now_ms);
        let over: Vec<((TaskId, u32), EndReason)> =
            over.map(|(key, run)| (key.clone(), run.reason)).collect();
        for ((task, attempt), reason) in over {
            let instance = self.instance_of(&(task.clone(), attempt));
            self.runs.remove(&(task.clone(), attempt));
            let end = RunEnd { task, attempt, reason, checkpoint: String::new(), instance };
            self.put(&Record::Ended(Box::new(end)));
        }
    }

    fn report(&mut self) {
        let now = Instant::now();
        self.progress.note_read(now);
        if !self.ticks.is_multiple_of(REPORT_TICKS) {
            return;
        }
        let now_ms = self.now_ms();
        let mut reports: BTreeMap<String, ProgressReport> =
            self.speeds.keys().map(|name| (name.clone(), ProgressReport::default())).collect();
        for (key, run) in &self.runs {
            let ran_ms = now_ms - run.started_ms;
            let whole = run.worked_ms(run.ends_ms).max(1);
            let progress = RunProgress {
                task: key.0.clone(),
                attempt: key.1,
                percent: u32::try_from(run.worked_ms(now_ms) * 100 / whole).unwrap_or(100),
                ran_ms,
                checkpoint: String::new(),
            };
            reports.entry(self.instance_of(key)).or_default().runs.push(progress);
        }
        for (instance, report) in reports {
            self.progress.insert(&instance, report, now);
        }
    }
}

fn workspaces(workers: usize) -> Vec<Workspace> {
    let devices = workers as u64 * 8;
    let workspace = |index: usize| Workspace {
        name: format!("workspace-{index}"),
        keys: Vec::new(),
        guaranteed_devices: devices / (WORKSPACES as u64 * 2),
    };
    (0..WORKSPACES).map(workspace).collect()
}
