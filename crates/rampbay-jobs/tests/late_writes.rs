//! Writes that are carried out late, by which a task ran twice.
//!
//! The failure: a task had runs at two workers at once. The first was never stopped and succeeded, and its end was
//! stored; in one case all runs of a worker were given up at the same moment.
//!
//! The cause: a call that got no answer may be carried out seconds later, and a process that is stopped holds its calls
//! back, while the same records have long been written by another path. An agent's late removal of its worker's
//! registration, or its late refusal of a run, then undid what had been written since. Nothing in the record said to
//! which registration it belonged, and a worker without a registration is assumed to run nothing. Each of these cases
//! gave a run up while it went on.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::keys::{eviction_key, worker_key};
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::record::{EndReason, KeyedRecord, Record, STATE_TOPIC};
use rampbay_jobs::store::Store;
use rampbay_jobs::table::JobTable;
use rstest::rstest;
use support::entry::EntryRelayedStore;
use support::leader::start_leader;
use support::store::MemoryStore;
use support::worker::{FakeWorker, StartFault};
use support::{
    AgentRig, job, plan_of, run_in_virtual_time, running_plan, seed_running_job, step, table_of,
    task, worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";
/// A worker where a run that is given up would start again.
const OTHER: &str = "i-9";
/// More than an agent and a leader take to start a job.
const START_TIME: Duration = Duration::from_millis(1500);
/// More than a leader takes to give a run up and to assign it elsewhere, less than an eviction.
const SETTLE_TIME: Duration = Duration::from_millis(1000);
/// Longer than a silent worker's leases last.
const EXPIRY_TIME: Duration = Duration::from_secs(12);

fn assert_runs_once(rig: &AgentRig) {
    let plan = plan_of(&rig.store, JOB);
    assert_eq!(rig.worker.running(), vec![(task(JOB, 0), plan.attempt)], "{plan:?}");
    assert_eq!((plan.instance.as_str(), plan.may_be_running()), (WORKER, true), "{plan:?}");
}

fn submit(store: &MemoryStore) {
    store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
}

fn add_other_worker(store: &MemoryStore) {
    let record = Box::new(worker_record("side-9", "r1", 8));
    store.put(&Record::Worker(OTHER.to_owned(), record));
}

/// Starts an agent whose worker was silent until the worker's incarnation was ended, answers again and has a run.
/// Returns the agent, and the range of offsets of the records that were written about that end.
async fn returned_worker() -> (AgentRig, usize, usize) {
    returned_worker_through(|store| store.clone()).await
}

/// Does the same as [`returned_worker`], for an agent that reaches the store through a layer.
async fn returned_worker_through(
    layer: impl Fn(&Rc<MemoryStore>) -> Rc<dyn Store>,
) -> (AgentRig, usize, usize) {
    let store = MemoryStore::new();
    let shared = layer(&store);
    sleep(Duration::from_millis(100)).await;
    let rig = AgentRig::start_with_store(store, shared, FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(START_TIME).await;
    let from = rig.store.all(STATE_TOPIC).len();
    rig.worker.silent.set(true);
    sleep(EXPIRY_TIME).await;
    let to = rig.store.all(STATE_TOPIC).len();
    assert!(to > from && table_of(&rig.store).workers.is_empty());
    rig.worker.silent.set(false);
    rig.heartbeat(WORKER, 2);
    sleep(START_TIME).await;
    start_leader(&rig.store, "entry-1", 1, None);
    submit(&rig.store);
    sleep(START_TIME).await;
    assert_runs_once(&rig);
    (rig, from, to)
}

#[test]
fn late_removal_keeps_run_of_returned_worker() {
    run_in_virtual_time(async {
        let (rig, from, to) = returned_worker().await;
        add_other_worker(&rig.store);
        rig.store.apply_again(from, to);
        sleep(SETTLE_TIME).await;
        assert_runs_once(&rig);
    });
}

/// The agent's process ends while its removal or its refusal hasn't been carried out; the next process starts the run.
#[rstest]
#[case::removal(true)]
#[case::refusal(false)]
fn late_write_of_predecessor_keeps_run(#[case] removal: bool) {
    run_in_virtual_time(async move {
        let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let store = Rc::clone(&rig.store);
        store.holds_appends.set(true);
        if removal {
            rig.worker.silent.set(true);
            sleep(EXPIRY_TIME).await;
        } else {
            rig.worker.start_fault.set(StartFault::Unhealthy);
            start_leader(&store, "entry-1", 1, None);
            submit(&store);
            sleep(START_TIME).await;
            rig.worker.start_fault.set(StartFault::None);
        }
        let worker = Rc::clone(&rig.worker);
        worker.silent.set(false);
        rig.kill();
        store.holds_appends.set(false);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 9);
        sleep(START_TIME).await;
        if removal {
            start_leader(&store, "entry-1", 1, None);
            submit(&store);
            sleep(START_TIME).await;
        }
        assert_runs_once(&rig);
        add_other_worker(&store);
        store.apply_held();
        sleep(SETTLE_TIME).await;
        assert_runs_once(&rig);
    });
}

/// A worker that returns after its registration was gone isn't given the run that was assigned to it before: the
/// decision that starts the run elsewhere may be on its way. The worker isn't registered before that decision is
/// stored.
#[test]
fn run_assigned_before_return_not_started() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        assert_eq!(rig.worker.starts(), vec![]);
        assert!(table_of(&store).workers.is_empty(), "a plan still names it");
        start_leader(&store, "entry-1", 1, None);
        sleep(START_TIME).await;
        assert_eq!(rig.worker.starts(), vec![(task(JOB, 0), 2)], "given up, then assigned anew");
    });
}

/// A run that was reported as never started appears at the worker nevertheless.
#[test]
fn refused_run_that_appears_stopped() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let worker = FakeWorker::new(WORKER);
        worker.start_fault.set(StartFault::Unhealthy);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        rig.worker.start_without_agent(&task(JOB, 0), 1);
        assert_eq!(rig.worker.running().len(), 1);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(rig.worker.running(), vec![]);
    });
}

/// A run that was assigned before the worker returned isn't started either by an agent process that starts just as the
/// worker has returned.
#[test]
fn run_assigned_before_return_not_started_by_successor() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        add_other_worker(&store);
        submit(&store);
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(Duration::from_millis(40)).await;
        let worker = Rc::clone(&rig.worker);
        rig.kill();
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 2);
        sleep(START_TIME).await;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, OTHER, 2))));
        sleep(START_TIME).await;
        assert_eq!(rig.worker.starts(), vec![]);
        assert!(table_of(&store).workers.contains_key(WORKER), "no plan names it any more");
    });
}

/// An incarnation that registers again after an eviction doesn't take back its earlier refusal of a run.
#[test]
fn refusal_before_return_from_eviction_kept() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let worker = FakeWorker::new(WORKER);
        worker.start_fault.set(StartFault::Unhealthy);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        assert_eq!(rig.worker.starts(), vec![]);
        store.put(&Record::Evicted(WORKER.to_owned()));
        sleep(START_TIME).await;
        rig.worker.start_fault.set(StartFault::None);
        assert!(table_of(&store).evicted.is_empty(), "it has returned");
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_secs(10)).await;
        assert_eq!(rig.worker.starts().len(), 1, "{:?}", plan_of(&store, JOB));
    });
}

/// If the store hasn't carried out the registration of a process, the next process has the same view, and still takes
/// another registration number.
#[test]
fn registration_number_of_predecessor_not_reused() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.holds_appends.set(true);
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        rig.worker.silent.set(true);
        sleep(EXPIRY_TIME).await;
        rig.worker.silent.set(false);
        let worker = Rc::clone(&rig.worker);
        rig.kill();
        store.holds_appends.set(false);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 9);
        sleep(START_TIME).await;
        start_leader(&store, "entry-1", 1, None);
        submit(&store);
        sleep(START_TIME).await;
        assert_runs_once(&rig);
        add_other_worker(&store);
        store.apply_held();
        sleep(SETTLE_TIME).await;
        assert_runs_once(&rig);
    });
}

/// The whole failure as it was seen: a worker returns, a removal is carried out late, and the worker's agent reads
/// through an entry.
#[test]
fn late_removal_behind_entry_starts_nothing_elsewhere() {
    run_in_virtual_time(async {
        let (rig, from, to) =
            returned_worker_through(|store| EntryRelayedStore::start(store)).await;
        add_other_worker(&rig.store);
        rig.store.apply_again(from, to);
        sleep(SETTLE_TIME).await;
        assert_runs_once(&rig);
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(SETTLE_TIME).await;
        assert_eq!(rig.worker.last_acknowledged(), 1);
        assert_eq!(table_of(&rig.store).status(JOB), Some(JobStatus::Succeeded));
    });
}

/// A registration that is carried out after its worker has left is removed again by the agent, which knows that the
/// worker has left.
#[test]
fn late_registration_of_worker_that_left_removed() {
    run_in_virtual_time(async {
        let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let registered = rig.store.all(STATE_TOPIC).len();
        assert!(table_of(&rig.store).workers.contains_key(WORKER));
        start_leader(&rig.store, "entry-1", 1, None);
        rig.host.deregister(|life| life == WORKER);
        rig.worker.gone.set(true);
        sleep(START_TIME).await;
        assert!(table_of(&rig.store).workers.is_empty());
        rig.store.apply_again(0, registered);
        sleep(SETTLE_TIME).await;
        let table = table_of(&rig.store);
        assert!(table.workers.is_empty());
        assert_eq!(table.registrations().late().count(), 0, "its key is removed");
    });
}

/// A worker has deregistered and its machine is gone; a registration from before is carried out late.
#[test]
fn late_registration_keeps_departure() {
    run_in_virtual_time(async {
        let rig = AgentRig::start(MemoryStore::new(), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let store = Rc::clone(&rig.store);
        let registered = store.all(STATE_TOPIC).len();
        start_leader(&store, "entry-1", 1, None);
        sleep(START_TIME).await;
        rig.host.deregister(|life| life == WORKER);
        sleep(Duration::from_millis(60)).await;
        rig.kill();
        store.apply_again(0, registered);
        assert!(table_of(&store).workers[WORKER].departed);
        sleep(Duration::from_secs(9)).await;
        assert!(table_of(&store).workers.is_empty(), "given up after its last lease");
    });
}

/// To a leader of a release without registration numbers, the removal of the key without a number means that the worker
/// is gone.
#[test]
fn registration_without_number_stays_until_incarnation_ends() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let key = worker_key(WORKER, 0);
        let is_removal = |record: &KeyedRecord| record.key == key && record.value.is_empty();
        assert!(!store.all(STATE_TOPIC).iter().any(is_removal));
        assert_eq!(table_of(&store).registrations().numbers(WORKER).count(), 2);
        rig.host.deregister(|life| life == WORKER);
        rig.worker.gone.set(true);
        sleep(START_TIME).await;
        assert!(store.all(STATE_TOPIC).iter().any(is_removal));
    });
}

/// Two agent processes that run on one machine at the same time don't flood the store.
#[test]
fn two_agent_processes_of_one_machine_write_little() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new(WORKER);
        let first = AgentRig::start(Rc::clone(&store), Rc::clone(&worker));
        first.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let second = AgentRig::start(Rc::clone(&store), worker);
        second.heartbeat(WORKER, 2);
        sleep(Duration::from_secs(10)).await;
        let count = store.all(STATE_TOPIC).len();
        assert!(table_of(&store).workers.contains_key(WORKER));
        assert!(count < 30, "{count} records in 10 s");
    });
}

/// A registration is carried out late, after its removal and before the planner's decision; the agent's process starts
/// again in between.
#[test]
fn run_not_started_after_late_registration_and_restart() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        let registered = store.all(STATE_TOPIC).len();
        assert!(registered > 0);
        add_other_worker(&store);
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        // The run was assigned while the agent couldn't reach the store and the worker was silent: the incarnation has
        // ended, and its registration is removed.
        let keys: Vec<String> = table_of(&store).registrations().keys(WORKER).collect();
        let number = table_of(&store).registrations().newest(WORKER).map(|(number, _)| number);
        let number = number.expect("it is registered");
        let worker = Rc::clone(&rig.worker);
        rig.kill();
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        keys.iter().for_each(|key| store.remove(key));
        store.put(&Record::Over(WORKER.to_owned(), number));
        store.apply_again(0, registered);
        let rig = AgentRig::start(Rc::clone(&store), worker);
        rig.heartbeat(WORKER, 9);
        sleep(Duration::from_millis(60)).await;
        // The decision that was made while the registration was gone arrives 60 ms later.
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, OTHER, 2))));
        sleep(START_TIME).await;
        assert_eq!(rig.worker.starts(), vec![]);
    });
}

/// Without late writes, an agent that starts again starts the run that was assigned before.
#[test]
fn run_assigned_before_restart_started() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(START_TIME).await;
        assert_runs_once(&rig);
    });
}

/// The removal of an eviction is carried out once more, late, when the worker has returned and is evicted again. Without
/// a number, the removal undid the newer eviction, and the agent went on with runs that were being given up.
#[test]
fn late_removal_of_an_eviction_leaves_a_newer_one() {
    let mut table = JobTable::default();
    let worker = Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    let eviction = Record::Evicted(WORKER.to_owned()).encode().value;
    let mut apply = |key: String, value: &[u8]| {
        table.apply(&KeyedRecord { key, value: value.to_vec() });
        table.evicted.contains(WORKER)
    };
    apply(worker_key(WORKER, 256), &worker.encode().value);
    assert!(apply(eviction_key(WORKER, 256), &eviction));
    assert!(!apply(eviction_key(WORKER, 256), &[]), "it has returned");
    apply(worker_key(WORKER, 257), &worker.encode().value);
    assert!(apply(eviction_key(WORKER, 257), &eviction));
    assert!(apply(eviction_key(WORKER, 256), &[]), "the late copy");
    assert!(!apply(eviction_key(WORKER, 257), &[]));
}
