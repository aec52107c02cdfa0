//! A machine that was suspended: its steady clock stood still, and what it knows is older than that clock says.
//!
//! Where an age is a proof, a process that wakes would go on by it: renew leases of runs that were started elsewhere
//! meanwhile, start what was given to another worker, let in callers whose keys are gone, or say that a job isn't
//! known.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::follower::Pace;
use rampbay_jobs::intake::{CallTarget, CurrentRouting, Intake, IntakeLimits, Refusal};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Leader, Record, TaskStatus};
use rampbay_jobs::routing::{Queue, Routing, Workspace};
use rampbay_jobs::store::Store;
use support::planner::PlannerRig;
use support::store::{MemoryStore, Trouble};
use support::way::Way;
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
async fn running_rig() -> (AgentRig, Rc<Way>) {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 1, WORKER);
    let way = Way::new(&store, 0);
    let rig = AgentRig::start_over(Rc::clone(&store), way.clone(), FakeWorker::new(WORKER));
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
        rig.worker.see_fence(9);
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(SETTLES).await;
        way.cut.set(true);
        sleep(SETTLES).await;
        suspend(SUSPENDED);
        rig.worker.see_fence(1);
        sleep(SETTLES).await;
        let starts = rig.worker.starts();
        assert!(starts.iter().all(|(started, _)| started.job != OTHER), "{starts:?}");
    });
}

/// An entry that wakes, and reaches the store no more, asks callers to come back: their keys may be gone.
#[test]
fn callers_turned_away_by_a_configuration_from_before() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let live = LiveTable::default();
        let routing = Rc::new(CurrentRouting {
            freshness: Rc::clone(&live.freshness),
            ..CurrentRouting::default()
        });
        routing.set(Routing {
            version: 1,
            queues: vec![Queue {
                name: "queue".to_owned(),
                host: "host".to_owned(),
                path_prefix: "/queue/".to_owned(),
                service: "service".to_owned(),
                ..Queue::default()
            }],
            workspaces: vec![Workspace {
                name: "workspace".to_owned(),
                keys: vec!["key".to_owned()],
                guaranteed_devices: 8,
            }],
            body_limit: 0,
        });
        let shared: Rc<dyn Store> = store.clone();
        let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
        tokio::task::spawn_local(live.clone().follow(Rc::clone(&shared), pace));
        let limits = IntakeLimits {
            configuration_age: Duration::from_millis(2750),
            usual_wait: Duration::from_millis(800),
            store_age: Duration::from_millis(2200),
            most_waiting: 2,
            table_age: Duration::from_millis(1500),
        };
        let (table, freshness) = (Rc::clone(&live.table), Rc::clone(&live.freshness));
        let intake = Intake::new(shared, table, freshness, Rc::clone(&routing), limits);
        sleep(SETTLES).await;
        let target = CallTarget { host: "host", path: "/queue/x", key: Some("key") };
        let patience = || intake.patience(Some(Duration::from_millis(300)));
        assert!(intake.admit(target, patience()).await.is_ok());
        assert_eq!(intake.known_status(&JOB.to_owned()), Err(Refusal::NoJob));
        store.trouble.set(Trouble::Refuses);
        suspend(SUSPENDED);
        let status = intake.known_status(&JOB.to_owned());
        let admitted = intake.admit(target, patience()).await;
        assert!(matches!(admitted, Err(Refusal::NotCurrent)), "{admitted:?}");
        assert_eq!(status, Err(Refusal::NotCurrent), "another entry may have taken it meanwhile");
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
        rig.pass_without(Duration::from_secs(8), &worker).await;
        rig.plan();
        assert!(rig.table.evicted.contains(&worker));
        suspend(SUSPENDED);
        rig.pass_without(Duration::from_secs(2), &worker).await;
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
