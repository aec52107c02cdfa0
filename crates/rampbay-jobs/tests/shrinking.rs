//! Workers whose capacity shrinks and grows again while they run. No start exceeds the capacity,
//! even if the worker starts whatever it is ordered to, and as many runs are stopped for other work
//! as that work needs.

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
    AgentRig, job, plan_of, run_in_virtual_time, running_plan, seed_running_job, settings, step,
    table_of, task, worker_record,
};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";
const WORKER: &str = "i-1";
const SETTLES_WITHIN: Duration = Duration::from_millis(300);
/// Number of workers, a quarter of which shrink.
const FLEET: usize = 8;
/// Time from the first job until workers shrink.
const SHRINK_AFTER: Duration = Duration::from_secs(6);
/// Time for which capacities stay small.
const SMALL_FOR: Duration = Duration::from_secs(14);
/// Time in which all accepted jobs can end.
const LONG: Duration = Duration::from_secs(60);
/// Time between two jobs.
const GAP: Duration = Duration::from_millis(800);
/// Time between two jobs while capacities are small.
const SHORT_GAP: Duration = Duration::from_millis(250);

/// Starts an agent whose worker, of eight accelerators, runs three tasks of one each.
async fn running_rig() -> AgentRig {
    let store = MemoryStore::new();
    seed_running_job(&store, JOB, 3, WORKER);
    let rig = AgentRig::start(store, FakeWorker::new(WORKER));
    rig.heartbeat(WORKER, 1);
    sleep(SETTLES_WITHIN).await;
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
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.heartbeat_with_devices(WORKER, 2, 4);
        assign_more(&rig);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(starts_of_other(&rig), 1);
        assert_eq!(rig.worker.running().len(), 4);
    });
}

#[test]
fn worker_shrunk_below_its_runs_keeps_them() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.heartbeat_with_devices(WORKER, 2, 1);
        assign_more(&rig);
        sleep(SETTLES_WITHIN).await;
        assert_eq!((starts_of_other(&rig), rig.worker.running().len()), (0, 3));
        rig.heartbeat(WORKER, 3);
        sleep(SETTLES_WITHIN).await;
        let known = table_of(&rig.store).workers[WORKER].capacity.devices;
        assert_eq!(known, 8, "the leader learns of the regained capacity");
    });
}

/// A start is rejected for an older fencing token, and repeated with a newer one; the capacity has
/// shrunk in between.
#[test]
fn repeated_start_checks_current_capacity() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.observe_fencing_token(9);
        assign_more(&rig);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(starts_of_other(&rig), 0, "the token is too low");
        rig.heartbeat_with_devices(WORKER, 2, 3);
        sleep(SETTLES_WITHIN).await;
        rig.store.put(&Record::Leader(Leader { node: "entry-1".to_owned(), epoch: 10 }));
        sleep(SETTLES_WITHIN * 3).await;
        assert_eq!(starts_of_other(&rig), 0, "{:?}", rig.worker.running());
    });
}

/// A lost start is repeated; the capacity has shrunk in between.
#[test]
fn repeated_lost_start_checks_current_capacity() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.start_fault.set(StartFault::FirstOrderLost);
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(1, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        sleep(SETTLES_WITHIN).await;
        rig.heartbeat_with_devices(WORKER, 2, 3);
        sleep(SETTLES_WITHIN * 10).await;
        assert_eq!(starts_of_other(&rig), 0, "{:?}", rig.worker.running());
        let ends: Vec<EndReason> =
            table_of(&rig.store).ends.values().map(|end| end.reason).collect();
        assert_eq!(ends, vec![EndReason::NotStarted], "{:?}", plan_of(&rig.store, OTHER));
    });
}

/// A run of a job that this process doesn't know holds an unknown amount of resources.
#[test]
fn run_of_unknown_job_blocks_other_starts() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.worker.ignores_stops.set(true);
        rig.worker.start_without_agent(&task("00000000000000dd", 0), 1);
        sleep(Duration::from_millis(1500)).await;
        assign_more(&rig);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(starts_of_other(&rig), 0);
        rig.worker.end(&task("00000000000000dd", 0), 1, EndReason::Done);
        sleep(Duration::from_millis(1500)).await;
        assert_eq!(starts_of_other(&rig), 2);
    });
}

/// Regression: a restarted agent took its worker's capacity from the state, where its predecessor
/// had written it, and started runs before it had received a heartbeat. The capacity had shrunk in
/// between.
#[test]
fn agent_without_a_heartbeat_starts_nothing() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 3, WORKER);
        let rig = AgentRig::start(store, FakeWorker::new(WORKER));
        sleep(SETTLES_WITHIN * 4).await;
        assert!(
            rig.worker.starts().is_empty(),
            "the state's record of the worker is of unknown age"
        );
        rig.heartbeat_with_devices(WORKER, 1, 2);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(rig.worker.running().len(), 2);
    });
}

/// A worker whose heartbeats don't arrive gets no runs; runs that were assigned to it are started
/// elsewhere.
#[test]
fn start_without_recent_heartbeat_refused() {
    run_in_virtual_time(async {
        let rig = running_rig().await;
        rig.stop_heartbeats();
        sleep(Duration::from_secs(4)).await;
        assign_more(&rig);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(starts_of_other(&rig), 0);
        let ends: Vec<EndReason> =
            table_of(&rig.store).ends.values().map(|end| end.reason).collect();
        assert_eq!(ends, vec![EndReason::NotStarted; 2]);
        assert_eq!(rig.worker.running().len(), 3, "runs go on: the worker answers");
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
fn planner_assigns_nothing_to_an_overfull_worker() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(2, 4)));
        rig.plan();
        shrink(&mut rig, 4);
        rig.submit(job(OTHER, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2], "runs go on");
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Waiting, "the worker is still full");
        shrink(&mut rig, 5);
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Running);
    });
}

/// Two runs of four accelerators on a worker that has four left: urgent work needs both to be
/// stopped. If that doesn't help, neither is stopped.
#[test]
fn planner_stops_enough_on_an_overfull_worker() {
    run_in_virtual_time(async {
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
    run_in_virtual_time(async {
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

/// The greatest age of a heartbeat with which runs are started, derived from the platform's
/// settings.
#[rstest]
#[case::usual(3000, 1500, 3000)]
#[case::larger(4000, 1500, 4000)]
#[case::slow_heartbeats(3000, 5000, 6500)]
#[case::short(500, 400, 400)]
fn max_age_of_heartbeat(
    #[case] awareness_ms: u64,
    #[case] heartbeat_ms: u64,
    #[case] expected_ms: u64,
) {
    let settings = Settings { awareness_ms, heartbeat_ms, ..settings() };
    assert_eq!(settings.agent().max_heartbeat_age, Duration::from_millis(expected_ms));
}

/// Submits jobs of eight tasks, more of them while capacities are small.
async fn submit_jobs(site: Rc<Site>, ids: Vec<String>) {
    let begins = Instant::now();
    for id in ids {
        site.submit(&id, step(8, 1), Work::Ends(Duration::from_secs(5)));
        let capacities_are_small =
            (SHRINK_AFTER..SHRINK_AFTER + SMALL_FOR).contains(&begins.elapsed());
        sleep(if capacities_are_small { SHORT_GAP } else { GAP }).await;
    }
}

/// A quarter of the workers shrink while more work is submitted.
#[rstest]
fn no_start_beyond_shrunk_capacity_while_more_work_comes(#[values(0, 1, 4, 6)] left: u64) {
    run_in_virtual_time(async move {
        let site = Site::start(FLEET);
        sleep(SETTLES_WITHIN * 5).await;
        let ids: Vec<String> = (1..=60).map(|number| format!("{number:016x}")).collect();
        spawn_local(submit_jobs(Rc::clone(&site), ids.clone()));
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
