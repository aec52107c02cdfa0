//! A task that ran twice: writes that land late, and what their absence seems to prove.
//!
//! Seen: a task had runs at two workers at once. The first was never stopped, ended well, and its end was kept;
//! once all runs of one worker were given up at the same moment.
//!
//! How it came about: a call without answer may be carried out seconds later, and a process that is stopped holds
//! its calls back, while the same records have long gone another way. An agent's late removal of its worker's
//! registration, or its late refusal of a run, then undid what had been written since. Nothing in the record said
//! to which registration it belonged, and a worker without a registration is taken to run nothing.
//!
//! What proved it: these cases, each of which gave a run up while it went on.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::record::{EndReason, Record, STATE_TOPIC, TaskPlan};
use rstest::rstest;
use support::leader::start_leader;
use support::store::MemoryStore;
use support::worker::{FakeWorker, StartTrouble};
use support::{
    AgentRig, job, on_virtual_time, running_plan, seed_running_job, step, table_of, task,
    worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";
/// A worker where a run that is given up would start again.
const OTHER: &str = "i-9";
/// More than an agent and a leader take to start a job.
const STARTS: Duration = Duration::from_millis(1500);
/// More than a leader takes to give a run up and to assign it elsewhere, less than an eviction.
const SETTLES: Duration = Duration::from_millis(1000);
/// Longer than a silent worker's leases last.
const LAPSES: Duration = Duration::from_secs(12);

fn plan_of(store: &MemoryStore) -> TaskPlan {
    let table = table_of(store);
    let plan = table.jobs[JOB].plan.clone().expect("the job is planned");
    plan.task(&task(JOB, 0)).expect("the task is planned").clone()
}

fn assert_runs_once(rig: &AgentRig) {
    let plan = plan_of(&rig.store);
    assert_eq!(rig.worker.running(), vec![(task(JOB, 0), plan.attempt)], "{plan:?}");
    assert_eq!((plan.instance.as_str(), plan.occupies()), (WORKER, true), "{plan:?}");
}

fn submit(store: &MemoryStore) {
    store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
}

fn add_other_worker(store: &MemoryStore) {
    let record = Box::new(worker_record("side-9", "r1", 8));
    store.put(&Record::Worker(OTHER.to_owned(), record));
}

/// Starts an agent whose worker was silent until its life was ended, is heard again and has a run. Returns it with
/// the offsets of what was written about the end of its life.
async fn returned_worker() -> (AgentRig, usize, usize) {
    let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(STARTS).await;
    let from = rig.store.all(STATE_TOPIC).len();
    rig.worker.silent.set(true);
    sleep(LAPSES).await;
    let to = rig.store.all(STATE_TOPIC).len();
    assert!(to > from && table_of(&rig.store).workers.is_empty());
    rig.worker.silent.set(false);
    rig.heartbeat(WORKER, 2);
    sleep(STARTS).await;
    start_leader(&rig.store, "entry-1", 1, None);
    submit(&rig.store);
    sleep(STARTS).await;
    assert_runs_once(&rig);
    (rig, from, to)
}

#[test]
fn late_removal_gives_no_run_of_returned_worker_up() {
    on_virtual_time(async {
        let (rig, from, to) = returned_worker().await;
        add_other_worker(&rig.store);
        rig.store.land_again(from, to);
        sleep(SETTLES).await;
        assert_runs_once(&rig);
    });
}

/// The agent ends with a removal, or a refusal, still on its way; its successor starts the run.
#[rstest]
#[case::removal(true)]
#[case::refusal(false)]
fn late_write_of_predecessor_gives_no_run_up(#[case] removal: bool) {
    on_virtual_time(async move {
        let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(STARTS).await;
        let store = Rc::clone(&rig.store);
        store.holds_appends.set(true);
        if removal {
            rig.worker.silent.set(true);
            sleep(LAPSES).await;
        } else {
            rig.worker.start_trouble.set(StartTrouble::Unhealthy);
            start_leader(&store, "entry-1", 1, None);
            submit(&store);
            sleep(STARTS).await;
            rig.worker.start_trouble.set(StartTrouble::None);
        }
        let worker = Rc::clone(&rig.worker);
        worker.silent.set(false);
        rig.kill();
        store.holds_appends.set(false);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 9);
        sleep(STARTS).await;
        if removal {
            start_leader(&store, "entry-1", 1, None);
            submit(&store);
            sleep(STARTS).await;
        }
        assert_runs_once(&rig);
        add_other_worker(&store);
        store.land_held();
        sleep(SETTLES).await;
        assert_runs_once(&rig);
    });
}

/// A worker that comes back after its registration was gone isn't given what was assigned to it before: it may
/// have been started elsewhere by a decision that is on its way.
#[test]
fn run_assigned_before_return_not_started() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(STARTS).await;
        assert_eq!(rig.worker.starts(), vec![]);
        let ends: Vec<EndReason> =
            table_of(&rig.store).ends.values().map(|end| end.reason).collect();
        assert_eq!(ends, vec![EndReason::NotStarted], "the planner learns that it never starts");
    });
}

/// Without late writes, an agent that starts again takes up what was assigned before.
#[test]
fn run_assigned_before_restart_started() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(STARTS).await;
        assert_runs_once(&rig);
    });
}
