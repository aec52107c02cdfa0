//! A machine that was suspended: its steady clock stood still, and what it knows is older than that clock says.
//!
//! Where an age is a proof, a process that wakes would go on by it: renew leases of runs that were started elsewhere
//! meanwhile, start what was given to another worker, let in callers whose keys are gone, or say that a job isn't
//! known.

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
    AgentRig, job, on_virtual_time, running_plan, seed_running_job, step, suspend, table_of, task,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const WORKER: &str = "i-1";
const SETTLES: Duration = Duration::from_millis(500);
/// Longer than any age that proves something.
const SUSPENDED: Duration = Duration::from_secs(20);

/// Starts an agent whose worker runs a task, and whose way to the store can be cut.
async fn running_rig() -> (AgentRig, Rc<FaultyStore>) {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 1, WORKER);
    let way = FaultyStore::new(&store, 0);
    let rig = AgentRig::start_with_store(Rc::clone(&store), way.clone(), FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(SETTLES).await;
    assert_eq!(rig.worker.running().len(), 1);
    (rig, way)
}

/// Leases go on for 9 s without news from the store. Those 9 s include a suspension: after 20 s the planner has given
/// the run up, and the agent learns of it only once it is in touch.
#[test]
fn leases_not_renewed_by_a_view_from_before() {
    on_virtual_time(async {
        let (rig, way) = running_rig().await;
        way.cut.set(true);
        sleep(SETTLES).await;
        suspend(SUSPENDED);
        // The lease that was there lasts for 6 s of the worker's clock.
        sleep(Duration::from_millis(6500)).await;
        assert!(rig.worker.running().is_empty(), "the lease was renewed after the wake");
    });
}

#[test]
fn leases_renewed_once_in_touch_again() {
    on_virtual_time(async {
        let (rig, _way) = running_rig().await;
        suspend(SUSPENDED);
        for beat in 2..10 {
            sleep(Duration::from_secs(1)).await;
            rig.heartbeat(WORKER, beat);
        }
        assert_eq!(rig.worker.running().len(), 1);
    });
}

/// A start that waits for a newer fencing token goes by the view from before the suspension no longer.
#[test]
fn nothing_started_by_a_view_from_before() {
    on_virtual_time(async {
        let (rig, way) = running_rig().await;
        rig.worker.observe_fencing_token(9);
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(SETTLES).await;
        way.cut.set(true);
        sleep(SETTLES).await;
        suspend(SUSPENDED);
        rig.worker.observe_fencing_token(1);
        sleep(SETTLES).await;
        let starts = rig.worker.starts();
        assert!(starts.iter().all(|(started, _)| started.job != OTHER), "{starts:?}");
    });
}

/// An entry that wakes, and reaches the store no more, asks callers to come back: their keys may be gone.
#[test]
fn callers_turned_away_by_a_configuration_from_before() {
    on_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(SETTLES).await;
        let waits = Duration::from_millis(300);
        assert!(rig.admit(waits).await.is_ok());
        assert_eq!(rig.intake.known_status(&JOB.to_owned()), Err(Refusal::NoJob));
        rig.store.fault.set(StoreFault::Refuses);
        suspend(SUSPENDED);
        let status = rig.intake.known_status(&JOB.to_owned());
        assert_eq!(status, Err(Refusal::NotCurrent), "another entry may have taken it meanwhile");
        let admitted = rig.admit(waits).await;
        assert!(matches!(admitted, Err(Refusal::NotCurrent)), "{admitted:?}");
    });
}

/// The leader's own clock of waits stands still meanwhile: what it has to wait out, it waits out after the wake.
#[test]
fn evicted_worker_not_given_up_sooner() {
    on_virtual_time(async {
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

/// All machines sleep and wake together: nothing is given up, and nothing runs twice.
#[test]
fn run_goes_on_after_all_machines_wake() {
    on_virtual_time(async {
        let (rig, _way) = running_rig().await;
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
