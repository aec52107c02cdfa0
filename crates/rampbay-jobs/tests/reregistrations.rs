//! A worker that is registered again, or whose agent is replaced by another process: earlier
//! records don't block its capacity or its runs forever, and no run starts twice.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::agent::{AgentHost, AgentParts, Heartbeat};
use rampbay_jobs::follower::Pace;
use rampbay_jobs::keys::{eviction_key, refusal_key, worker_key};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{EndReason, Record, RunEnd, STATE_TOPIC};
use rampbay_jobs::store::Store;
use rampbay_jobs::worker::{
    Listing, RenewOrder, StartOrder, Started, StopOrder, Worker, WorkerError,
};
use rstest::rstest;
use support::faulty_store::FaultyStore;
use support::leader::start_leader;
use support::store::MemoryStore;
use support::worker::{Client, FakeWorker};
use support::{
    AgentRig, job, plan_of, run_in_virtual_time, running_plan, seed_running_job, settings, step,
    table_of, task, worker_record,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const SECOND: &str = "00000000000000bb";
const WORKER: &str = "i-1";
const OTHER: &str = "i-9";
/// Number of the registration by an earlier agent process.
const PREDECESSOR: u64 = 77;
/// Longer than an agent and a leader take to start a job.
const JOB_STARTS_WITHIN: Duration = Duration::from_millis(1500);
/// Longer than any operation in flight takes to finish.
const SETTLES_WITHIN: Duration = Duration::from_secs(60);

/// Writes the records of [`seed_running_job`], with a numbered registration by a predecessor.
fn seed_with_predecessor(store: &MemoryStore) {
    seed_running_job(store, JOB, 1, WORKER);
    let known = Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    store.put_into(STATE_TOPIC, &worker_key(WORKER, PREDECESSOR), &known.encode().value);
    store.remove(&worker_key(WORKER, 0));
}

/// Writes a refusal by the predecessor.
fn refuse_by_predecessor(store: &MemoryStore) {
    let end = RunEnd {
        task: task(JOB, 0),
        attempt: 1,
        reason: EndReason::NotStarted,
        checkpoint: String::new(),
        instance: WORKER.to_owned(),
    };
    let key = refusal_key(&end, PREDECESSOR);
    let value = Record::Ended(Box::new(end)).encode().value;
    store.put_into(STATE_TOPIC, &key, &value);
}

/// A run is to be stopped that the agent's new process doesn't know. The process's first
/// registration is rejected, so that its refusal of the run is appended before the registration.
#[test]
fn refusal_before_own_registration_counts() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_with_predecessor(&store);
        let mut plan = running_plan(1, WORKER, 1);
        plan.open[0].steps[0][0].status = TaskStatus::Stopping;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        start_leader(&store, "entry-1", 1, None);
        sleep(JOB_STARTS_WITHIN).await;
        let faulty_store = FaultyStore::new(&store, 1);
        let rig =
            AgentRig::start_with_store(Rc::clone(&store), faulty_store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(SETTLES_WITHIN).await;
        let plan = plan_of(&store, JOB);
        assert_ne!((plan.status, plan.attempt), (TaskStatus::Stopping, 1), "{plan:?}");
    });
}

/// As above, but the run is assigned, and the predecessor refused it right before its own end.
#[test]
fn refusal_of_assigned_run_before_own_registration_counts() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_with_predecessor(&store);
        refuse_by_predecessor(&store);
        let faulty_store = FaultyStore::new(&store, 1);
        let rig =
            AgentRig::start_with_store(Rc::clone(&store), faulty_store, FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(Duration::from_millis(40)).await;
        start_leader(&store, "entry-1", 1, None);
        sleep(SETTLES_WITHIN).await;
        let plan = plan_of(&store, JOB);
        let starts = rig.worker.starts();
        assert!(!starts.is_empty(), "{plan:?} {:?}", table_of(&store).ends);
    });
}

/// An evicted worker's agent registers again. The planner decided just before to give the worker
/// up, and that decision is appended just after the registration.
#[test]
fn worker_given_up_after_return_runs_once() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(JOB_STARTS_WITHIN).await;
        let registered: Vec<String> = table_of(&store).registrations().keys(WORKER).collect();
        store.put(&Record::Worker(OTHER.to_owned(), Box::new(worker_record("side-9", "r1", 8))));
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        // What the agent reads when it reaches the store again: an earlier run, and its worker's
        // eviction.
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        store.put(&Record::Evicted(WORKER.to_owned()));
        let evictions: Vec<String> = table_of(&store).eviction_keys(WORKER).collect();
        while !table_of(&store).evicted.is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
        // A stop takes a while.
        rig.worker.ignores_stops.set(true);
        sleep(Duration::from_millis(20)).await;
        // The leader's append, decided before the worker was registered again (planner/evict.rs,
        // `remove_worker`).
        registered.iter().for_each(|key| store.remove(key));
        evictions.iter().for_each(|key| store.remove(key));
        start_leader(&store, "entry-1", 1, None);
        for _ in 0..300 {
            sleep(Duration::from_millis(1)).await;
            let plan = plan_of(&store, JOB);
            let elsewhere = plan.may_be_running() && plan.instance == OTHER;
            assert!(
                !elsewhere || rig.worker.running().is_empty(),
                "{plan:?} {:?}",
                rig.worker.running()
            );
        }
    });
}

/// A worker that was registered again after its eviction isn't evicted once more because of older
/// reports.
#[rstest]
fn returned_worker_not_evicted_again(#[values(0, 50, 200)] append: u64) {
    let mut repeated = Vec::new();
    for phase in (0..1000).step_by(50) {
        run_in_virtual_time(async {
            let store = MemoryStore::new();
            store.append_delay.set(Duration::from_millis(append));
            let faulty_store = FaultyStore::new(&store, 0);
            let rig = AgentRig::start_with_store(
                Rc::clone(&store),
                faulty_store.clone(),
                FakeWorker::new(WORKER),
            );
            rig.heartbeat(WORKER, 1);
            start_leader(&store, "entry-1", 1, None);
            sleep(JOB_STARTS_WITHIN + Duration::from_millis(phase)).await;
            faulty_store.cut.set(true);
            for send_heartbeat in 0..12 {
                sleep(Duration::from_secs(1)).await;
                rig.heartbeat(WORKER, 2 + send_heartbeat);
            }
            assert!(table_of(&store).evicted.contains(WORKER));
            faulty_store.cut.set(false);
            for send_heartbeat in 0..10 {
                sleep(Duration::from_secs(1)).await;
                rig.heartbeat(WORKER, 30 + send_heartbeat);
            }
            let key = eviction_key(WORKER, 0);
            let evictions = store
                .all(STATE_TOPIC)
                .iter()
                .filter(|r| r.key.starts_with(&key) && !r.value.is_empty())
                .count();
            if evictions > 1 {
                repeated.push((phase, evictions));
            }
        });
    }
    assert!(repeated.is_empty(), "phase, evictions: {repeated:?}");
}

/// A process whose registration the store hasn't accepted starts nothing, although its
/// predecessor's is there.
#[rstest]
#[case::of_earlier_release(0)]
#[case::numbered(PREDECESSOR)]
fn nothing_started_before_own_registration(#[case] number: u64) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        if number > 0 {
            let known =
                Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
            store.put_into(STATE_TOPIC, &worker_key(WORKER, number), &known.encode().value);
            store.remove(&worker_key(WORKER, 0));
        }
        let faulty_store = FaultyStore::new(&store, u32::MAX);
        let rig = AgentRig::start_with_store(
            Rc::clone(&store),
            faulty_store.clone(),
            FakeWorker::new(WORKER),
        );
        rig.heartbeat(WORKER, 1);
        sleep(JOB_STARTS_WITHIN).await;
        assert_eq!(rig.worker.starts(), vec![]);
        faulty_store.refused_registrations.set(0);
        sleep(JOB_STARTS_WITHIN * 5).await;
        assert_eq!(rig.worker.starts(), vec![(task(JOB, 0), 1)]);
    });
}

/// A run that is assigned while the worker's new registration is in flight is handed back, not
/// started.
#[test]
fn run_assigned_during_return_handed_back() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(JOB_STARTS_WITHIN).await;
        let keys: Vec<String> = table_of(&store).registrations().keys(WORKER).collect();
        assert!(!keys.is_empty());
        store.append_delay.set(Duration::from_millis(300));
        keys.iter().for_each(|key| store.remove(key));
        sleep(Duration::from_millis(200)).await;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(JOB_STARTS_WITHIN).await;
        assert!(table_of(&store).workers.contains_key(WORKER), "it is registered again");
        assert_eq!(rig.worker.starts(), vec![]);
        assert!(table_of(&store).has_refusal(&task(JOB, 0), 1), "the planner can read the refusal");
    });
}

/// A run that an earlier process refused isn't started, even if the planner hasn't processed the
/// refusal.
#[test]
fn run_refused_by_predecessor_not_started() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        refuse_by_predecessor(&store);
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(JOB_STARTS_WITHIN).await;
        assert_eq!(rig.worker.starts(), vec![]);
    });
}

/// A run at a worker without a registration is stopped, whether the job's plan still names the
/// worker or not.
#[test]
fn run_of_worker_without_registration_stopped() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(JOB_STARTS_WITHIN).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        let keys: Vec<String> = table_of(&store).registrations().keys(WORKER).collect();
        keys.iter().for_each(|key| store.remove(key));
        sleep(JOB_STARTS_WITHIN).await;
        assert_eq!(rig.worker.running(), vec![]);
        assert!(table_of(&store).workers.is_empty(), "a job's plan still names it");
    });
}

/// Only runs that were assigned while the worker's registration was gone may have been reassigned.
#[rstest]
#[case::gone_as_it_was_assigned(false, true)]
#[case::there_all_the_while(true, false)]
fn run_assigned_before_return_known(#[case] is_there: bool, #[case] expected: bool) {
    let store = MemoryStore::new();
    seed_with_predecessor(&store);
    if !is_there {
        store.remove(&worker_key(WORKER, PREDECESSOR));
    }
    let back = Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    store.put_into(STATE_TOPIC, &worker_key(WORKER, PREDECESSOR + 1), &back.encode().value);
    let run = (task(JOB, 0), 1);
    assert_eq!(table_of(&store).was_assigned_before_return(WORKER, &run), expected);
}

/// A worker client that answers polls late (renewals without a lease and a wait, concurrent with
/// others).
struct SlowPolls {
    inner: Client,
    delay: Rc<Cell<Duration>>,
    delayed: Rc<Cell<u32>>,
}

#[async_trait(?Send)]
impl Worker for SlowPolls {
    async fn start(&self, order: &StartOrder) -> Result<Started, WorkerError> {
        self.inner.start(order).await
    }
    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError> {
        self.inner.stop(order).await
    }
    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError> {
        let listing = self.inner.renew(order).await;
        let is_poll = order.lease_until.is_none() && order.wait.is_zero();
        if is_poll && !self.delay.get().is_zero() {
            self.delayed.set(self.delayed.get() + 1);
            sleep(self.delay.get()).await;
        }
        listing
    }
}

/// A renewal on another connection, which lists a run's end, is answered before an earlier poll.
#[rstest]
fn delayed_listing_doesnt_restore_ended_run(#[values(1, 20, 120)] delay_ms: u64) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let worker = FakeWorker::new(WORKER);
        let live = LiveTable::default();
        let delay = Rc::new(Cell::new(Duration::ZERO));
        let delayed = Rc::new(Cell::new(0));
        let shared: Rc<dyn Store> = store.clone();
        let (connected, slow, count) = (Rc::clone(&worker), Rc::clone(&delay), Rc::clone(&delayed));
        let host = AgentHost::new(AgentParts {
            node: "side-1".to_owned(),
            store: Rc::clone(&shared),
            table: Rc::clone(&live.table),
            freshness: Rc::clone(&live.freshness),
            connect: Box::new(move |_, instance| -> Rc<dyn Worker> {
                Rc::new(SlowPolls {
                    inner: Client::new(Rc::clone(&connected), instance),
                    delay: Rc::clone(&slow),
                    delayed: Rc::clone(&count),
                })
            }),
            compare_incarnations: |_, _| None,
            incarnation_start: |_| None,
            wall_clock: || 1_000_000,
            settings: settings().agent(),
        });
        let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };
        tokio::task::spawn_local(live.clone().follow(shared, pace));
        tokio::task::spawn_local(Rc::clone(&host).run());
        let send_heartbeat = |sequence| {
            host.heartbeat(Heartbeat {
                instance: WORKER.to_owned(),
                sequence,
                record: worker_record("", "r1", 8),
                remaining: None,
            });
        };
        send_heartbeat(1);
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(worker.running().len(), 1);
        // A run that this process doesn't know is to be stopped: a poll follows the stop.
        delay.set(Duration::from_millis(delay_ms));
        let mut plan = running_plan(1, WORKER, 1);
        plan.open[0].steps[0][0].status = TaskStatus::Stopping;
        store.put(&Record::Submitted(Box::new(job(SECOND, 1, step(1, 1)))));
        store.put(&Record::Plan(SECOND.to_owned(), Box::new(plan)));
        while delayed.get() == 0 {
            sleep(Duration::from_millis(1)).await;
        }
        worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(1000)).await;
        delay.set(Duration::ZERO);
        // The planner processes both ends, and evicts the worker later.
        let mut done = running_plan(1, WORKER, 1);
        done.open[0].steps[0][0].status = TaskStatus::Done;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(done.clone())));
        store.put(&Record::Plan(SECOND.to_owned(), Box::new(done)));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(worker.running(), vec![]);
        store.put(&Record::Evicted(WORKER.to_owned()));
        for sequence in 2..60 {
            sleep(Duration::from_millis(1000)).await;
            send_heartbeat(sequence);
        }
        let table = table_of(&store);
        assert!(
            table.evicted.is_empty(),
            "an idle worker is never registered again after its eviction"
        );
    });
}
