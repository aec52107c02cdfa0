//! In-memory fakes of the store and of a worker, in virtual time.
#![allow(dead_code, reason = "each test file uses some of the fakes")]

pub mod acknowledged;
pub mod entry;
pub mod faulty_store;
pub mod fleet;
pub mod intake;
pub mod leader;
pub mod outlook;
pub mod planner;
pub mod property;
pub mod site;
pub mod store;
pub mod upkeep;
pub mod worker;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::agent::{AgentHost, AgentParts, Heartbeat};
use rampbay_jobs::cancel::Canceller;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::job::{Resources, Step, Submission, TaskId};
use rampbay_jobs::plan::{JobPlan, JobStatus, Occurrence, TaskPlan, TaskStatus};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Leader, Record, WorkerRecord};
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::table::JobTable;
use rampbay_jobs::worker::Worker;

use store::MemoryStore;
use worker::FakeWorker;

/// Runs a test in virtual time, on one thread.
pub fn run_in_virtual_time<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    rampbay_jobs::clock::set_clock_source(time_with_suspension);
    SUSPENDED.set(Duration::ZERO);
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

thread_local! {
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Suspends all machines for a time, during which the monotonic clock, and with it all timers, stand still.
pub fn suspend(time: Duration) {
    SUSPENDED.set(SUSPENDED.get() + time);
}

fn time_with_suspension() -> Duration {
    thread_local! {
        static START: tokio::time::Instant = tokio::time::Instant::now();
    }
    // Greater than any age that is subtracted.
    const BOOTED: Duration = Duration::from_secs(1_000_000);
    BOOTED + START.with(tokio::time::Instant::elapsed) + SUSPENDED.get()
}

/// Settings like those of the first deployments.
pub fn settings() -> Settings {
    let text = serde_json::json!({
        "node": "side-1", "ip": "127.0.0.1", "failure_domain": "domain-1",
        "peer_port": 7000, "metrics_port": 7001, "store": "127.0.0.1:1",
        "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000, "visible_ms": 3000,
        "grace_s": 6.0, "remote_penalty": 3, "leader_ttl_ms": 1000
    });
    serde_json::from_value(text).expect("settings")
}

/// A worker's record.
pub fn worker_record(node: &str, rack: &str, devices: u64) -> WorkerRecord {
    WorkerRecord {
        node: node.to_owned(),
        service: "service".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        failure_domain: "domain-1".to_owned(),
        capacity: Resources { cpu_milli: 128_000, memory_mb: 262_144, devices },
        labels: vec!["a".to_owned(), rack.to_owned()],
        draining: false,
        leaves_at: 0,
        departed: false,
        may_be_suspected: true,
    }
}

/// A job of one step.
pub fn job(id: &str, priority: u32, step: Step) -> Submission {
    Submission {
        id: id.to_owned(),
        workspace: "workspace".to_owned(),
        queue: format!("queue-{priority}"),
        service: "service".to_owned(),
        priority,
        attempts: 3,
        stretch_permille: 2000,
        target_ms: 500,
        payload: "payload".to_owned(),
        steps: vec![step],
        submitted_at: 1_000,
        ..Submission::default()
    }
}

/// The caller who submits [`job`]s of priority 1.
pub fn canceller() -> Canceller {
    Canceller {
        workspace: "workspace".to_owned(),
        queue: "queue-1".to_owned(),
        is_queue_public: false,
    }
}

/// A step of `count` tasks that hold `devices` accelerators each.
pub fn step(count: u32, devices: u64) -> Step {
    Step {
        count,
        demand: Resources { cpu_milli: 10_000, memory_mb: 1_000, devices },
        estimate_ms: 5_000,
        ..Step::default()
    }
}

/// Returns the id of a task of the first occurrence's first step.
pub fn task(job: &str, index: u32) -> TaskId {
    TaskId { job: job.to_owned(), occurrence: 0, step: 0, index }
}

/// A plan in which all tasks of a one-step job run at one worker.
pub fn running_plan(count: u32, instance: &str, attempt: u32) -> JobPlan {
    let running = TaskPlan {
        status: TaskStatus::Running,
        attempt,
        instance: instance.to_owned(),
        ..TaskPlan::default()
    };
    JobPlan {
        status: JobStatus::Running,
        open: vec![Occurrence { number: 0, steps: vec![vec![running; count as usize]] }],
        next_occurrence: 1,
    }
}

/// Returns the time of day, which advances with virtual time.
pub fn virtual_wall_clock() -> u64 {
    thread_local! {
        static START: tokio::time::Instant = tokio::time::Instant::now();
    }
    1_000_000 + START.with(tokio::time::Instant::elapsed).as_millis() as u64
}

/// An agent over fakes, with its follower.
pub struct AgentRig {
    pub store: Rc<MemoryStore>,
    pub worker: Rc<FakeWorker>,
    pub host: Rc<AgentHost>,
    pub live: LiveTable,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    latest: Rc<RefCell<Option<Heartbeat>>>,
}

impl AgentRig {
    /// Starts an agent process on a store and a worker that may exist already.
    pub fn start(store: Rc<MemoryStore>, worker: Rc<FakeWorker>) -> Self {
        let shared: Rc<dyn Store> = store.clone();
        Self::start_with_store(store, shared, worker)
    }

    /// Starts an agent process that reaches the store through `shared`, a layer over it.
    pub fn start_with_store(
        store: Rc<MemoryStore>,
        shared: Rc<dyn Store>,
        worker: Rc<FakeWorker>,
    ) -> Self {
        Self::start_node("side-1", store, shared, worker)
    }

    /// Starts an agent process under a name.
    pub fn start_node(
        node: &str,
        store: Rc<MemoryStore>,
        shared: Rc<dyn Store>,
        worker: Rc<FakeWorker>,
    ) -> Self {
        let live = LiveTable::of_agent(node.to_owned());
        let connected = Rc::clone(&worker);
        let host = AgentHost::new(AgentParts {
            node: node.to_owned(),
            store: Rc::clone(&shared),
            table: Rc::clone(&live.table),
            freshness: Rc::clone(&live.freshness),
            connect: Box::new(move |_, instance| -> Rc<dyn Worker> {
                Rc::new(worker::Client::new(Rc::clone(&connected), instance))
            }),
            compare_incarnations: worker::compare_incarnations,
            incarnation_start: worker::start_time,
            wall_clock: virtual_wall_clock,
            settings: settings().agent(),
        });
        let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };
        let follower = tokio::task::spawn_local(live.clone().follow(shared, pace));
        let agent = tokio::task::spawn_local(Rc::clone(&host).run());
        let latest = Rc::default();
        let beats = repeat_heartbeats(Rc::clone(&host), Rc::clone(&worker), Rc::clone(&latest));
        let beats = tokio::task::spawn_local(beats);
        Self { store, worker, host, live, tasks: vec![follower, agent, beats], latest }
    }

    /// Lets the worker send a heartbeat.
    pub fn heartbeat(&self, instance: &str, sequence: u64) {
        self.heartbeat_with_devices(instance, sequence, 8);
    }

    /// Lets the worker send a heartbeat that reports how many accelerators it has.
    pub fn heartbeat_with_devices(&self, instance: &str, sequence: u64, devices: u64) {
        let heartbeat = Heartbeat {
            instance: instance.to_owned(),
            sequence,
            record: worker_record("", "r1", devices),
            remaining: None,
        };
        *self.latest.borrow_mut() = Some(heartbeat.clone());
        self.host.heartbeat(heartbeat);
    }

    /// Stops the worker's heartbeats, though the worker still answers.
    pub fn stop_heartbeats(&self) {
        *self.latest.borrow_mut() = None;
    }

    /// Kills the process. The answers to calls that are under way are lost.
    pub fn kill(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.host.abandon();
    }
}

/// Repeats the latest heartbeat of a worker again and again, while the worker is running.
async fn repeat_heartbeats(
    host: Rc<AgentHost>,
    worker: Rc<FakeWorker>,
    latest: Rc<RefCell<Option<Heartbeat>>>,
) {
    loop {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let heartbeat = latest.borrow().clone();
        let is_there = |beat: &Heartbeat| {
            !worker.silent.get() && !worker.gone.get() && *worker.instance.borrow() == beat.instance
        };
        if let Some(heartbeat) = heartbeat.filter(is_there) {
            host.heartbeat(heartbeat);
        }
    }
}

/// Builds the table that follows from the records of a store.
pub fn table_of(store: &MemoryStore) -> JobTable {
    let mut table = JobTable::default();
    for record in store.all(rampbay_jobs::record::STATE_TOPIC) {
        table.apply(&record);
    }
    table
}

/// Returns the plan of a job's first task.
///
/// # Panics
///
/// Panics if the job isn't planned, or its first occurrence has ended.
pub fn plan_of(store: &MemoryStore, job: &str) -> TaskPlan {
    let table = table_of(store);
    let plan = table.jobs[job].plan.clone().expect("the job is planned");
    plan.task(&task(job, 0)).expect("the task is planned").clone()
}

/// Puts a leader, a worker and a job whose tasks run there into a store.
pub fn seed_running_job(store: &MemoryStore, id: &str, count: u32, instance: &str) {
    let leader = Leader { node: "entry-1".to_owned(), epoch: 7 };
    store.put(&Record::Leader(leader));
    let record = Box::new(worker_record("side-1", "r1", 8));
    store.put(&Record::Worker(instance.to_owned(), record));
    store.put(&Record::Submitted(Box::new(job(id, 1, step(count, 1)))));
    store.put(&Record::Plan(id.to_owned(), Box::new(running_plan(count, instance, 1))));
}

/// Shares a value among fakes.
pub fn shared<T>(value: T) -> Rc<RefCell<T>> {
    Rc::new(RefCell::new(value))
}
