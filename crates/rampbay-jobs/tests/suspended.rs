//! A machine that was suspended: its monotonic clock stood still, and its view is older than that clock says.
//!
//! A process that relied on such an age after the machine wakes would renew leases of runs that were started elsewhere
//! meanwhile, start what was assigned to another worker, admit callers whose keys were removed, or report that a job
//! isn't known.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::intake::Refusal;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{Leader, Record};
use support::faulty_store::FaultyStore;
use support::intake::IntakeRig;
use support::planner::PlannerRig;
use support::store::{MemoryStore, StoreFault};
use support::worker::FakeWorker;
use support::{
    AgentRig, job, run_in_virtual_time, running_plan, seed_running_job, step, suspend, table_of,
    task,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const WORKER: &str = "i-1";
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Longer than any age up to which a view is relied on.
const SUSPENDED: Duration = Duration::from_secs(20);

/// Starts an agent whose worker runs a task, and whose connection to the store can be cut.
async fn running_rig() -> (AgentRig, Rc<FaultyStore>) {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 1, WORKER);
    let connection = FaultyStore::new(&store, 0);
    let rig =
        AgentRig::start_with_store(Rc::clone(&store), connection.clone(), FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(SETTLE_TIME).await;
    assert_eq!(rig.worker.running().len(), 1);
    (rig, connection)
}

/// Leases are renewed for 9 s without news from the store. Those 9 s include a suspension: after 20 s the planner has
/// given the run up, and the agent learns of that only once it reaches the store again.
#[test]
fn leases_not_renewed_by_view_from_before_suspension() {
    run_in_virtual_time(async {
        let (rig, connection) = running_rig().await;
        connection.cut.set(true);
        sleep(SETTLE_TIME).await;
        suspend(SUSPENDED);
        // The last lease lasts for 6 s by the worker's clock.
        sleep(Duration::from_millis(6500)).await;
        assert!(rig.worker.running().is_empty(), "the lease was renewed after the wake");
    });
}

#[test]
fn leases_renewed_once_store_is_reached_again() {
    run_in_virtual_time(async {
        let (rig, _connection) = running_rig().await;
        suspend(SUSPENDED);
        for beat in 2..10 {
            sleep(Duration::from_secs(1)).await;
            rig.heartbeat(WORKER, beat);
        }
        assert_eq!(rig.worker.running().len(), 1);
    });
}

/// A start that waits for a newer fencing token isn't made by a view from before the suspension.
#[test]
fn nothing_started_by_view_from_before_suspension() {
    run_in_virtual_time(async {
        let (rig, connection) = running_rig().await;
        rig.worker.observe_fencing_token(9);
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(SETTLE_TIME).await;
        connection.cut.set(true);
        sleep(SETTLE_TIME).await;
        suspend(SUSPENDED);
        rig.worker.observe_fencing_token(1);
        sleep(SETTLE_TIME).await;
        let starts = rig.worker.starts();
        assert!(starts.iter().all(|(started, _)| started.job != OTHER), "{starts:?}");
    });
}

/// An entry that wakes, and can't reach the store, asks callers to retry: their keys may have been removed.
#[test]
fn callers_refused_by_configuration_from_before_suspension() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(SETTLE_TIME).await;
        let waits = Duration::from_millis(300);
        assert!(rig.admit(waits).await.is_ok());
        assert_eq!(rig.intake.known_status(&JOB.to_owned()), Err(Refusal::NoJob));
        rig.store.fault.set(StoreFault::Refuses);
        suspend(SUSPENDED);
        let status = rig.intake.known_status(&JOB.to_owned());
        assert_eq!(
            status,
            Err(Refusal::NotCurrent),
            "another entry may have accepted it meanwhile"
        );
        let admitted = rig.admit(waits).await;
        assert!(matches!(admitted, Err(Refusal::NotCurrent)), "{admitted:?}");
    });
}

/// The clock by which the leader waits stands still during a suspension: the rest of a wait passes after the wake.
#[test]
fn evicted_worker_not_given_up_sooner() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        let worker = rig.instance_of(&task(JOB, 0));
        rig.advance_with_silent(Duration::from_secs(8), &worker).await;
        rig.plan();
        assert!(rig.table.evicted.contains(&worker));
        suspend(SUSPENDED);
        rig.advance_with_silent(Duration::from_secs(2), &worker).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert_eq!(rig.instance_of(&task(JOB, 0)), worker);
    });
}

/// All machines are suspended and wake together: nothing is given up, and nothing runs twice.
#[test]
fn run_goes_on_after_all_machines_wake() {
    run_in_virtual_time(async {
        let (rig, _connection) = running_rig().await;
        rig.store.put(&Record::Leader(Leader { node: "entry-1".to_owned(), epoch: 8 }));
        for beat in 0..3 {
            suspend(Duration::from_secs(5));
            sleep(Duration::from_secs(1)).await;
            rig.heartbeat(WORKER, 2 + beat);
        }
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        assert_eq!(rig.worker.starts().len(), 1);
        assert!(table_of(&rig.store).ends.is_empty());
    });
}
