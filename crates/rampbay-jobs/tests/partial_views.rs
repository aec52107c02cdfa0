//! Views of the state that aren't complete: an agent is sent only what concerns its worker, and a state is reloaded
//! in another order than it was written in.
//!
//! The failure: of two runs of a task at once, the first was never stopped, though the planner had given it up.
//!
//! The cause: an entry passes a plan on to the agents of the workers that the plan names. The planner gives a run up
//! once its worker's registration is gone, and by then the entry no longer knew the worker's agent. So the agent was
//! never told, went on with the run, and started what it hadn't started yet.

mod support;

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::keys::worker_key;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::recipients::Recipients;
use rampbay_jobs::record::{KeyedRecord, Member, Record, STATE_TOPIC};
use rampbay_jobs::store::{Batch, Offset, ReadError, Store};
use rampbay_jobs::table::JobTable;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::entry::EntryRelayedStore;
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{
    AgentRig, job, run_in_virtual_time, running_plan, seed_running_job, step, task, worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";
const OTHER: &str = "i-9";
const AGENT: &str = "side-1";
/// More than an agent takes to start or to stop a run.
const ACTION_TIME: Duration = Duration::from_millis(800);

fn plan(instance: &str, attempt: u32) -> Record {
    Record::Plan(JOB.to_owned(), Box::new(running_plan(1, instance, attempt)))
}

/// Starts an agent behind an entry, with a run at its worker.
async fn running_rig() -> AgentRig {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 1, WORKER);
    store.put(&Record::Worker(OTHER.to_owned(), Box::new(worker_record("side-9", "r1", 8))));
    let shared: Rc<dyn Store> = EntryRelayedStore::start(&store);
    sleep(ACTION_TIME).await;
    let rig = AgentRig::start_with_store(store, shared, FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(ACTION_TIME).await;
    assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
    rig
}

/// Removes all registrations of a worker, as a planner does that gives it up.
fn give_up(store: &MemoryStore, instance: &str) {
    let mut table = JobTable::default();
    table.load(&store.all(STATE_TOPIC));
    table.registrations().keys(instance).for_each(|key| store.remove(&key));
}

#[test]
fn run_given_up_stopped_by_agent_behind_entry() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        give_up(&rig.store, WORKER);
        rig.store.put(&plan(OTHER, 2));
        sleep(ACTION_TIME).await;
        assert_eq!(rig.worker.running(), vec![]);
    });
}

#[test]
fn run_given_up_not_started_by_agent_behind_entry() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        let second = "00000000000000bb";
        let planned = |instance, attempt| {
            let plan = running_plan(1, instance, attempt);
            Record::Plan(second.to_owned(), Box::new(plan))
        };
        rig.store.put(&Record::Submitted(Box::new(job(second, 1, step(1, 1)))));
        // One read returns all of this: the run is assigned, its worker is given up, the run is assigned elsewhere.
        rig.store.put(&planned(WORKER, 1));
        give_up(&rig.store, WORKER);
        rig.store.put(&planned(OTHER, 2));
        sleep(ACTION_TIME * 3).await;
        assert_eq!(rig.worker.starts(), vec![(task(JOB, 0), 1)]);
    });
}

/// An entry that has reloaded the state doesn't know the agent of a worker that is gone: the plan is passed on to all
/// agents.
#[rstest]
#[case::known_before(false, Recipients::Agents([AGENT.to_owned()].into()))]
#[case::reloaded(true, Recipients::All)]
fn plan_of_gone_worker_passed_on(#[case] reloads: bool, #[case] expected: Recipients) {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 1, WORKER);
    let mut table = JobTable::default();
    store.all(STATE_TOPIC).iter().for_each(|record| table.apply(record));
    store.remove(&worker_key(WORKER, 0));
    if reloads {
        let kept: Vec<KeyedRecord> = store.all(STATE_TOPIC);
        let kept = kept.into_iter().filter(|record| !record.key.starts_with("worker/"));
        table.load(&kept.collect::<Vec<_>>());
    } else {
        store.all(STATE_TOPIC).last().iter().for_each(|record| table.apply(record));
    }
    let waiting = Record::Plan(JOB.to_owned(), Box::default());
    let addressed = table.apply_and_address(&waiting.encode());
    assert_eq!(addressed.recipients, expected);
}

/// A job that moves from a worker that is gone to another: the new agent is sent the job before its plan.
#[test]
fn plan_of_gone_worker_brings_its_job_to_new_agent() {
    let mut table = JobTable::default();
    let records = [
        Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))),
        plan(WORKER, 1),
        Record::Worker(OTHER.to_owned(), Box::new(worker_record("side-9", "r1", 8))),
    ];
    table.load(&records.each_ref().map(Record::encode));
    let addressed = table.apply_and_address(&plan(OTHER, 2).encode());
    let sent: Vec<String> = addressed.records_for("side-9").map(|record| record.key).collect();
    assert_eq!(sent, [format!("job/{JOB}"), format!("plan/{JOB}")]);
}

/// An entry that doesn't know the agent of a worker that is gone passes the plan on to all agents, and the job with it.
#[test]
fn plan_for_unknown_agent_brings_its_job() {
    let mut table = JobTable::default();
    table.load(&[Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))).encode()]);
    let plan_record = Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1)));
    let addressed = table.apply_and_address(&plan_record.encode());
    let sent: Vec<String> = addressed.records_for(AGENT).map(|record| record.key).collect();
    assert_eq!(sent, [format!("job/{JOB}"), format!("plan/{JOB}")]);
}

/// Seen in the soak: an agent had just applied an end that it had appended, when a read was answered that had started
/// before. The answer held a job and its plan, two records for two offsets, and was taken for a complete one: the job
/// was skipped as known, and so was its plan without the job. The run never started.
#[rstest]
#[case::whole(false, 1)]
#[case::partial(true, 0)]
fn answer_with_as_many_records_as_offsets(#[case] is_partial: bool, #[case] skipped: usize) {
    let job = Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))).encode();
    let records = vec![job, plan(WORKER, 1).encode()];
    let batch = Batch { end: 2, next: 2, records, is_partial, ..Batch::default() };
    assert_eq!(batch.new_since(0, 1), &batch.records[skipped..]);
}

/// An entry that passes plans on without their jobs.
struct EntryWithoutJobs(Rc<EntryRelayedStore>);

#[async_trait(?Send)]
impl Layer for EntryWithoutJobs {
    fn inner(&self) -> &dyn Store {
        self.0.as_ref()
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let mut batch = Layer::read(self.0.as_ref(), topic, from, wait).await?;
        batch.records.retain(|record| !record.key.starts_with("job/"));
        Ok(batch)
    }
}

/// An agent whose view has a gap can't tell what it lacks, only that something is missing: a plan names its worker, and the
/// plan's job isn't known. When such a plan was merely skipped, the run didn't start for as long as the agent lived.
#[test]
fn plan_without_its_job_makes_agent_reload() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let shared: Rc<dyn Store> = Rc::new(EntryWithoutJobs(EntryRelayedStore::start(&store)));
        sleep(ACTION_TIME).await;
        let rig = AgentRig::start_with_store(store, shared, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(ACTION_TIME).await;
        seed_running_job(&rig.store, JOB, 1, WORKER);
        sleep(ACTION_TIME).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
    });
}

/// A gap that the state itself has can't be closed: the agent reloads the state every three seconds at most.
#[test]
fn plan_whose_job_is_missing_causes_few_reloads() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(ACTION_TIME).await;
        rig.store.put(&plan(WORKER, 1));
        let before = rig.store.newest_reads.get();
        sleep(Duration::from_secs(10)).await;
        let reads = rig.store.newest_reads.get() - before;
        assert!((1..=4).contains(&reads), "{reads}");
        assert_eq!(rig.worker.running(), vec![]);
    });
}

/// The store returns the newest record of each key in an order of its own: a job that was written again comes after
/// its plan.
#[rstest]
fn state_reloaded_in_any_order(#[values(1, 2, 3, 4)] seed: u64) {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 2, WORKER);
    let mut records = store.all(STATE_TOPIC);
    records.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    let mut table = JobTable::default();
    table.load(&records);
    assert!(table.should_run(WORKER, &task(JOB, 0), 1));
    assert!(table.should_run(WORKER, &task(JOB, 1), 1));
}

fn member(node: &str, passes_on: bool) -> Record {
    Record::Member(Member { node: node.to_owned(), passes_on, ..Member::default() })
}

/// Every agent reads through entries, so that the address of another agent is of no use to it; from its own it learns that
/// the state holds that address.
#[rstest]
#[case::entry("entry-1", true, "side-9", true)]
#[case::other_agent("side-1", false, "side-9", false)]
#[case::itself("side-9", false, "side-9", true)]
fn member_passed_on_to_agent(
    #[case] node: &str,
    #[case] passes_on: bool,
    #[case] agent: &str,
    #[case] expected: bool,
) {
    let mut table = JobTable::default();
    for _ in 0..2 {
        let addressed = table.apply_and_address(&member(node, passes_on).encode());
        assert_eq!(addressed.recipients.includes(agent), expected);
    }
    assert_eq!(table.concerns(&format!("member/{node}"), agent), expected);
}
