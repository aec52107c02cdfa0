//! An agent that switches between entries with different histories. A restarted entry doesn't know
//! the agents of workers that are gone. The suspected failure is that a job's plan reaches the
//! agent without the job, or not at all.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::keys::{plan_key, worker_key};
use rampbay_jobs::layer::Layer;
use rampbay_jobs::parts::{PlanLayout, changes, part_keys};
use rampbay_jobs::plan::{JobPlan, JobStatus, Occurrence, TaskPlan, TaskStatus};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Record, STATE_TOPIC};
use rampbay_jobs::store::{Batch, Offset, ReadError, Snapshot, Store};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::store::MemoryStore;
use support::{job, run_in_virtual_time, step, table_of, task, worker_record};
use tokio::task::JoinHandle;
use tokio::time::sleep;

const AGENT: &str = "side-1";
const WORKERS: [(&str, &str); 3] = [("i-1", AGENT), ("i-2", "side-2"), ("i-3", "side-3")];
const PACE: Pace = Pace { wait: Duration::from_millis(50), gap: Duration::from_millis(1) };
/// Longer than a record takes from the store to the agent.
const ARRIVES_WITHIN: Duration = Duration::from_millis(200);
const STEPS: usize = 300;

struct Entry {
    live: LiveTable,
    follower: JoinHandle<()>,
}

impl Entry {
    fn start(store: &Rc<MemoryStore>) -> Self {
        let live = LiveTable::default();
        live.freshness.keep_recent();
        let shared: Rc<dyn Store> = store.clone();
        let follower = tokio::task::spawn_local(live.clone().follow(shared, PACE));
        Self { live, follower }
    }
}

/// The store as an agent reads it, through the first entry that can pass records on.
struct EntriesStore {
    store: Rc<MemoryStore>,
    entries: RefCell<Vec<Entry>>,
    first: Cell<usize>,
    newest_reads: Cell<usize>,
}

impl EntriesStore {
    fn in_read_order(&self) -> Vec<LiveTable> {
        let entries = self.entries.borrow();
        let first = self.first.get();
        (0..entries.len())
            .map(|step| entries[(first + step) % entries.len()].live.clone())
            .collect()
    }
}

#[async_trait(?Send)]
impl Layer for EntriesStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn read(&self, _: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        for live in self.in_read_order() {
            if let Ok(batch) = live.freshness.pass_on(from, wait, Some(AGENT)).await {
                return Ok(batch);
            }
        }
        Err(ReadError::Trimmed)
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        self.newest_reads.set(self.newest_reads.get() + 1);
        let snapshots =
            self.in_read_order().into_iter().map(|live| live.pass_on_newest(Some(AGENT)));
        snapshots.flatten().next().ok_or(ReadError::Unavailable)
    }
}

/// Writes random records of the kinds that a planner and agents write.
struct Writer {
    store: Rc<MemoryStore>,
    rng: ChaCha8Rng,
    jobs: Vec<(String, JobPlan)>,
    registered: BTreeSet<&'static str>,
    number: u64,
}

impl Writer {
    fn submit(&mut self) {
        self.number += 1;
        let id = format!("{:016x}", self.number);
        let count = if self.rng.random_bool(0.3) { 20 } else { 2 };
        self.store.put(&Record::Submitted(Box::new(job(&id, 1, step(count, 1)))));
        let tasks = vec![TaskPlan::default(); count as usize];
        let open = vec![Occurrence { number: 0, steps: vec![tasks] }];
        let plan = JobPlan { status: JobStatus::Running, open, next_occurrence: 1 };
        changes(&id, None, PlanLayout::InParts, &plan)
            .iter()
            .for_each(|record| self.store.put_into(STATE_TOPIC, &record.key, &record.value));
        self.jobs.push((id, plan));
    }

    /// Changes some tasks of one job: assigns them to registered workers, stops them, or sets them
    /// back to waiting.
    fn plan(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let place = self.rng.random_range(0..self.jobs.len());
        let (id, kept) = self.jobs[place].clone();
        let mut plan = kept.clone();
        let registered: Vec<&str> = self.registered.iter().copied().collect();
        for task in &mut plan.open[0].steps[0] {
            if !self.rng.random_bool(0.2) {
                continue;
            }
            let next = match task.status {
                TaskStatus::Waiting => registered.choose(&mut self.rng).map(|instance| TaskPlan {
                    status: TaskStatus::Running,
                    attempt: task.attempt + 1,
                    instance: (*instance).to_owned(),
                    ..TaskPlan::default()
                }),
                TaskStatus::Running if self.rng.random_bool(0.5) => {
                    Some(TaskPlan { status: TaskStatus::Stopping, ..task.clone() })
                }
                _ => Some(TaskPlan { attempt: task.attempt, ..TaskPlan::default() }),
            };
            *task = next.unwrap_or_else(|| task.clone());
        }
        changes(&id, Some(&kept), PlanLayout::InParts, &plan)
            .iter()
            .for_each(|record| self.store.put_into(STATE_TOPIC, &record.key, &record.value));
        self.jobs[place].1 = plan;
    }

    /// Registers a worker that no job's plan names, or removes a registered one.
    fn change_worker(&mut self) {
        let (instance, node) = *WORKERS.choose(&mut self.rng).expect("a worker");
        if self.registered.remove(instance) {
            self.store.remove(&worker_key(instance, 0));
        } else if !self.jobs.iter().any(|(_, plan)| plan.workers().any(|named| named == instance)) {
            self.registered.insert(instance);
            let record = Box::new(worker_record(node, "r1", 8));
            self.store.put(&Record::Worker(instance.to_owned(), record));
        }
    }

    fn give_up_lost(&mut self) {
        for (id, plan) in &mut self.jobs {
            let kept = plan.clone();
            let tasks = plan.open[0].steps[0].iter_mut();
            let lost = |task: &&mut TaskPlan| {
                task.may_be_running() && !self.registered.contains(task.instance.as_str())
            };
            tasks.filter(lost).for_each(|task| {
                *task = TaskPlan { attempt: task.attempt, ..TaskPlan::default() };
            });
            if *plan != kept {
                changes(id, Some(&kept), PlanLayout::InParts, plan).iter().for_each(|record| {
                    self.store.put_into(STATE_TOPIC, &record.key, &record.value);
                });
            }
        }
    }

    fn remove_job(&mut self) {
        let Some(place) = self.jobs.iter().position(|(_, plan)| !plan.may_be_running()) else {
            return;
        };
        let (id, plan) = self.jobs.remove(place);
        part_keys(&id, &plan, PlanLayout::InParts).for_each(|key| self.store.remove(&key));
        self.store.remove(&plan_key(&id));
        self.store.remove(&format!("job/{id}"));
    }
}

/// The agent's view wants exactly the runs at its own worker, and the agent needs no new snapshot
/// for that.
#[rstest]
fn agent_knows_its_runs_through_any_entry(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        let entries = RefCell::new(vec![Entry::start(&store), Entry::start(&store)]);
        let (first, newest_reads) = (Cell::new(0), Cell::new(0));
        let entries_store =
            Rc::new(EntriesStore { store: Rc::clone(&store), entries, first, newest_reads });
        sleep(ARRIVES_WITHIN).await;
        let agent = LiveTable::default();
        let shared: Rc<dyn Store> = entries_store.clone();
        tokio::task::spawn_local(agent.clone().follow(shared, PACE));
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (jobs, registered) = (Vec::new(), BTreeSet::new());
        let mut writer = Writer { store: Rc::clone(&store), rng, jobs, registered, number: 0 };
        for number in 0..STEPS {
            match writer.rng.random_range(0..20) {
                0..3 => writer.submit(),
                3..12 => writer.plan(),
                12..14 => writer.change_worker(),
                14..16 => writer.give_up_lost(),
                16 => writer.remove_job(),
                17 => {
                    let place = writer.rng.random_range(0..2);
                    let entry = std::mem::replace(
                        &mut entries_store.entries.borrow_mut()[place],
                        Entry::start(&store),
                    );
                    entry.follower.abort();
                }
                _ => entries_store.first.set(writer.rng.random_range(0..2)),
            }
            if writer.rng.random_bool(0.5) {
                continue;
            }
            sleep(ARRIVES_WITHIN).await;
            let whole = table_of(&store);
            let known = agent.table.borrow();
            for (id, plan) in &writer.jobs {
                for index in 0..plan.open[0].steps[0].len() as u32 {
                    let task = task(id, index);
                    let attempt = plan.task(&task).map_or(0, |task| task.attempt);
                    let expected = whole.should_run("i-1", &task, attempt);
                    let wanted = known.should_run("i-1", &task, attempt);
                    assert_eq!(wanted, expected, "step {number}, {task} {attempt}");
                }
            }
            assert!(!known.lacks_job_for(AGENT), "step {number}");
        }
    });
}
