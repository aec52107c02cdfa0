//! Workers whose room shrinks and grows again while they run: no start goes beyond it, also where a worker starts
//! whatever it is told, and what is stopped for other work is enough for it.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::Resources;
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::record::{EndReason, Leader, Record, WorkerRecord};
use rampbay_jobs::settings::Settings;
use rstest::rstest;
use support::planner::PlannerRig;
use support::site::{DEVICES, Site, Start, Work};
use support::store::MemoryStore;
use support::worker::{FakeWorker, StartFault};
use support::{
    AgentRig, job, on_virtual_time, plan_of, running_plan, seed_running_job, settings, step,
    table_of, task, worker_record,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";
const WORKER: &str = "i-1";
const SETTLES: Duration = Duration::from_millis(300);
/// Workers of a fleet, a quarter of which shrinks.
const FLEET: usize = 8;
/// Time from the first job to the shrinking.
const SHRINK_AFTER: Duration = Duration::from_secs(6);
/// Time for which rooms stay small.
const SMALL_FOR: Duration = Duration::from_secs(14);
/// Time in which all that was accepted can end.
const LONG: Duration = Duration::from_secs(60);
/// Time between two jobs.
const GAP: Duration = Duration::from_millis(800);
/// Time between two jobs while rooms are small.
const SHORT_GAP: Duration = Duration::from_millis(250);

/// Starts an agent whose worker, of eight accelerators, runs three tasks of one each.
async fn running_rig() -> AgentRig {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 3, WORKER);
    let rig = AgentRig::start(store, FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(SETTLES).await;
    rig
}

/// Assigns two more tasks of one accelerator each.
fn assign_more(rig: &AgentRig) {
    rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(2, 1)))));
    rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(2, WORKER, 1))));
}

fn starts_of_other(rig: &AgentRig) -> usize {
    rig.worker.starts().iter().filter(|(task, _)| task.job == OTHER).count()
}

#[test]
fn shrunk_worker_starts_what_fits() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.heartbeat_with_devices(WORKER, 2, 4);
        assign_more(&rig);
        sleep(SETTLES).await;
        assert_eq!(starts_of_other(&rig), 1);
        assert_eq!(rig.worker.running().len(), 4);
    });
}

#[test]
fn worker_shrunk_below_its_runs_keeps_them() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.heartbeat_with_devices(WORKER, 2, 1);
        assign_more(&rig);
        sleep(SETTLES).await;
        assert_eq!((starts_of_other(&rig), rig.worker.running().len()), (0, 3));
        rig.heartbeat(WORKER, 3);
        sleep(SETTLES).await;
        let known = table_of(&rig.store).workers[WORKER].capacity.devices;
        assert_eq!(known, 8, "room that is back is told to the leader");
    });
}

/// A start is turned away for an older fencing token, and ordered again under a newer one; the room has gone
/// meanwhile.
#[test]
fn start_ordered_again_goes_by_present_room() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.observe_fencing_token(9);
        assign_more(&rig);
        sleep(SETTLES).await;
        assert_eq!(starts_of_other(&rig), 0, "the token is too low");
        rig.heartbeat_with_devices(WORKER, 2, 3);
        sleep(SETTLES).await;
        rig.store.put(&Record::Leader(Leader { node: "entry-1".to_owned(), epoch: 10 }));
        sleep(SETTLES * 3).await;
        assert_eq!(starts_of_other(&rig), 0, "{:?}", rig.worker.running());
    });
}

/// A start whose order was lost is ordered again; the room has gone meanwhile.
#[test]
fn lost_start_ordered_again_goes_by_present_room() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.start_fault.set(StartFault::FirstOrderLost);
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(SETTLES).await;
        rig.heartbeat_with_devices(WORKER, 2, 3);
        sleep(SETTLES * 10).await;
        assert_eq!(starts_of_other(&rig), 0, "{:?}", rig.worker.running());
        let ends: Vec<EndReason> =
            table_of(&rig.store).ends.values().map(|end| end.reason).collect();
        assert_eq!(ends, vec![EndReason::NotStarted], "{:?}", plan_of(&rig.store, OTHER));
    });
}

/// What runs here of a job that this process doesn't know takes room nobody can tell the size of.
#[test]
fn run_of_unknown_job_keeps_others_from_starting() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.ignores_stops.set(true);
        rig.worker.start_without_agent(&task("00000000000000dd", 0), 1);
        sleep(Duration::from_millis(1500)).await;
        assign_more(&rig);
        sleep(SETTLES).await;
        assert_eq!(starts_of_other(&rig), 0);
        rig.worker.end(&task("00000000000000dd", 0), 1, EndReason::Done);
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(starts_of_other(&rig), 2);
    });
}

/// Seen in the soak: an agent's new process took its worker's room from the state, where it was as the process before
/// had known it, and started runs before it had heard the worker itself. The room had shrunk meanwhile.
#[test]
fn agent_that_has_not_heard_its_worker_starts_nothing() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 3, WORKER);
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        sleep(SETTLES * 4).await;
        assert!(rig.worker.starts().is_empty(), "the state's account is of unknown age");
        rig.heartbeat_with_devices(WORKER, 1, 2);
        sleep(SETTLES).await;
        assert_eq!(rig.worker.running().len(), 2);
    });
}

/// A worker whose heartbeats don't get through gets nothing; what was assigned to it goes elsewhere.
#[test]
fn start_at_a_worker_not_heard_for_long_refused() {
    on_virtual_time(async {
        let rig = running_rig().await;
        rig.stop_heartbeats();
        sleep(Duration::from_secs(4)).await;
        assign_more(&rig);
        sleep(SETTLES).await;
        assert_eq!(starts_of_other(&rig), 0);
        let ends: Vec<EndReason> =
            table_of(&rig.store).ends.values().map(|end| end.reason).collect();
        assert_eq!(ends, vec![EndReason::NotStarted; 2]);
        assert_eq!(rig.worker.running().len(), 3, "what runs goes on: the worker answers");
    });
}

fn with_devices(devices: u64) -> WorkerRecord {
    let whole = worker_record("side", "r0", 8);
    let capacity = Resources { devices, ..whole.capacity };
    WorkerRecord { capacity, ..whole }
}

fn shrink(rig: &mut PlannerRig, devices: u64) {
    rig.put(&Record::Worker("i-0".to_owned(), Box::new(with_devices(devices))));
}

#[test]
fn planner_gives_nothing_to_an_overfull_worker() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(2, 4)));
        rig.plan();
        shrink(&mut rig, 4);
        rig.submit(job(OTHER, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2], "what runs goes on");
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Waiting, "it is full still");
        shrink(&mut rig, 5);
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Running);
    });
}

/// Two runs of four accelerators on a worker that has four left: for urgent work both have to go, and neither goes
/// if that doesn't help.
#[test]
fn planner_stops_enough_on_an_overfull_worker() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.guarantee(8);
        rig.submit(job(JOB, 1, step(2, 4)));
        rig.plan();
        shrink(&mut rig, 4);
        rig.submit(job(URGENT, 0, step(1, 4)));
        let records = rig.round();
        records.iter().for_each(|record| rig.table.apply(record));
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Stopping; 2], "at once, not one by one");
    });
}

#[test]
fn planner_stops_nothing_on_an_overfull_worker_in_vain() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.guarantee(8);
        rig.submit(job(JOB, 1, step(2, 4)));
        rig.plan();
        shrink(&mut rig, 2);
        rig.submit(job(URGENT, 0, step(1, 4)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
    });
}

/// The oldest account by which a start goes, from the times that the platform names.
#[rstest]
#[case::usual(3000, 1500, 3000)]
#[case::larger(4000, 1500, 4000)]
#[case::slow_heartbeats(3000, 5000, 6500)]
#[case::short(500, 400, 400)]
fn age_of_account(#[case] awareness_ms: u64, #[case] heartbeat_ms: u64, #[case] expected_ms: u64) {
    let settings = Settings { awareness_ms, heartbeat_ms, ..settings() };
    assert_eq!(settings.agent().max_heartbeat_age, Duration::from_millis(expected_ms));
}

/// Hands in jobs of eight tasks, more of them while rooms are small.
async fn hand_in(site: Rc<Site>, ids: Vec<String>) {
    let begins = Instant::now();
    for id in ids {
        site.submit(&id, step(8, 1), Work::Ends(Duration::from_secs(5)));
        let rooms_are_small = (SHRINK_AFTER..SHRINK_AFTER + SMALL_FOR).contains(&begins.elapsed());
        sleep(if rooms_are_small { SHORT_GAP } else { GAP }).await;
    }
}

/// A quarter of the workers shrinks while more work comes.
#[rstest]
fn no_start_beyond_shrunk_rooms_while_more_work_comes(#[values(0, 1, 4, 6)] left: u64) {
    on_virtual_time(async move {
        let site = Site::start(FLEET);
        sleep(SETTLES * 5).await;
        let ids: Vec<String> = (1..=60).map(|number| format!("{number:016x}")).collect();
        spawn_local(hand_in(Rc::clone(&site), ids.clone()));
        sleep(SHRINK_AFTER).await;
        let shrunk = &site.machines[..FLEET / 4];
        shrunk.iter().for_each(|machine| machine.devices.set(left));
        sleep(SMALL_FOR).await;
        shrunk.iter().for_each(|machine| machine.devices.set(DEVICES));
        sleep(LONG).await;
        let starts = site.starts.borrow();
        let beyond: Vec<&Start> =
            starts.iter().filter(|s| s.runs_beside as u64 >= s.known_devices).collect();
        assert!(beyond.is_empty(), "{beyond:?}");
        for id in &ids {
            assert_eq!(site.status(id), JobStatus::Succeeded, "{:?}", site.starts_of(id));
        }
    });
}
