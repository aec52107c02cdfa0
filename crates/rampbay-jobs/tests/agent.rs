//! The agent of a worker, tested against fakes of the store and of the worker.

mod support;

use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{EndReason, Record};
use rstest::rstest;
use support::store::{MemoryStore, StoreFault};
use support::worker::{FakeWorker, StartFault};
use support::{
    AgentRig, job, run_in_virtual_time, running_plan, seed_running_job, step, table_of, task,
};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";

fn reasons(store: &MemoryStore) -> Vec<EndReason> {
    let records = store.all(rampbay_jobs::record::STATE_TOPIC);
    let records = records.iter().filter(|record| !record.value.is_empty());
    let ends = records.filter_map(|record| match Record::decode(record) {
        Ok(Record::Ended(end)) => Some(end.reason),
        _ => None,
    });
    ends.collect()
}

/// Starts an agent whose worker runs the tasks of a job.
async fn running_rig(tasks: u32) -> AgentRig {
    let store = MemoryStore::new();
    let worker = FakeWorker::new("i-1");
    seed_running_job(&store, JOB, tasks, "i-1");
    let rig = AgentRig::start(store, worker);
    rig.heartbeat("i-1", 1);
    sleep(Duration::from_millis(300)).await;
    rig
}

#[test]
fn start_assigned_run() {
    run_in_virtual_time(async {
        let rig = running_rig(2).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1), (task(JOB, 1), 1)]);
    });
}

/// A worker may start whatever it is ordered to, so the agent limits starts to its capacity of
/// eight accelerators, whatever two planners have assigned. Runs that are being stopped still
/// count.
#[rstest]
#[case::beside_running(6, TaskStatus::Running, 2)]
#[case::beside_stopping(6, TaskStatus::Stopping, 2)]
#[case::none_fits(8, TaskStatus::Running, 0)]
#[case::all_fit(4, TaskStatus::Running, 3)]
fn starts_within_capacity(#[case] held: u32, #[case] status: TaskStatus, #[case] expected: usize) {
    const OTHER: &str = "00000000000000bb";
    run_in_virtual_time(async move {
        let rig = running_rig(held).await;
        rig.worker.ignores_stops.set(true);
        let mut plan = running_plan(held, "i-1", 1);
        plan.open[0].steps[0].iter_mut().for_each(|task| task.status = status);
        rig.store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        sleep(Duration::from_millis(300)).await;
        rig.store.put(&Record::Submitted(Box::new(job(OTHER, 1, step(3, 1)))));
        rig.store.put(&Record::Plan(OTHER.to_owned(), Box::new(running_plan(3, "i-1", 1))));
        sleep(Duration::from_millis(300)).await;
        let starts = rig.worker.starts();
        assert_eq!(starts.iter().filter(|(task, _)| task.job == OTHER).count(), expected);
        assert_eq!(reasons(&rig.store), vec![EndReason::NotStarted; 3 - expected]);
    });
}

#[test]
fn end_stored_before_acknowledged() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.store.fault.set(StoreFault::Refuses);
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(rig.worker.last_acknowledged(), 0, "the store doesn't hold the end yet");
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(reasons(&rig.store), vec![EndReason::Done]);
    });
}

/// Regression: the agent restarted while an end was on its way to the store. The worker refused the
/// ended attempt, and the refusal reached the store before the end did.
#[test]
fn restart_ended_run_not_started_again() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        let (store, worker) = (rig.store.clone(), rig.worker.clone());
        rig.kill();
        worker.end(&task(JOB, 0), 1, EndReason::Done);
        store.append_delay.set(Duration::from_millis(240));
        let rig = AgentRig::start(store, worker);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(reasons(&rig.store), vec![EndReason::Done]);
    });
}

/// An end is acknowledged to an idle worker as soon as the store holds it.
#[test]
fn last_end_acknowledged_soon() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(rig.worker.last_acknowledged(), 1);
    });
}

#[rstest]
#[case::answer_lost(StartFault::AnswerLost, true)]
#[case::order_lost(StartFault::OrderLost, false)]
fn unanswered_start_settled(#[case] fault: StartFault, #[case] runs: bool) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(fault);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(!rig.worker.running().is_empty(), runs);
        let expected = if runs { vec![] } else { vec![EndReason::NotStarted] };
        assert_eq!(reasons(&rig.store), expected);
    });
}

/// Regression: one start that an unhealthy worker rejected made a whole gang fail.
#[test]
fn refused_start_ordered_again() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::FirstRefused);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        assert_eq!(reasons(&rig.store), vec![]);
    });
}

#[test]
fn unhealthy_worker_refusal_reported_once() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::Unhealthy);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(reasons(&rig.store), vec![EndReason::NotStarted]);
    });
}

#[test]
fn cancelled_job_stopped_without_planner() {
    run_in_virtual_time(async {
        let rig = running_rig(2).await;
        rig.store.put(&Record::Cancelled(JOB.to_owned()));
        sleep(Duration::from_millis(600)).await;
        assert!(rig.worker.running().is_empty());
        assert_eq!(reasons(&rig.store), vec![EndReason::Stopped, EndReason::Stopped]);
    });
}

/// Leases are renewed during a store outage that is shorter than the greatest table age for
/// renewals, and expire in a longer one.
#[rstest]
#[case::short(Duration::from_secs(8), true)]
#[case::long(Duration::from_secs(17), false)]
fn outage_leases(#[case] outage: Duration, #[case] runs: bool) {
    run_in_virtual_time(async move {
        let rig = running_rig(1).await;
        rig.store.fault.set(StoreFault::Refuses);
        sleep(outage).await;
        assert_eq!(!rig.worker.running().is_empty(), runs);
    });
}

#[test]
fn new_incarnation_ends_old_one() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.worker.replace("i-2");
        rig.heartbeat("i-2", 1);
        sleep(Duration::from_millis(2500)).await;
        let table = table_of(&rig.store);
        assert!(!table.workers.contains_key("i-1"));
        assert!(table.workers.contains_key("i-2"));
    });
}

/// A worker that doesn't answer is given up only when all its leases have expired.
#[test]
fn silent_worker_given_up_after_leases() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.worker.silent.set(true);
        for _ in 0..200 {
            sleep(Duration::from_millis(50)).await;
            let given_up = !table_of(&rig.store).workers.contains_key("i-1");
            assert!(!given_up || rig.worker.running().is_empty(), "given up while it runs");
        }
        assert!(!table_of(&rig.store).workers.contains_key("i-1"));
    });
}

/// An evicted worker is registered again only once all its runs have stopped.
#[test]
fn evicted_worker_returns_empty() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.store.put(&Record::Evicted("i-1".to_owned()));
        sleep(Duration::from_secs(3)).await;
        assert!(rig.worker.running().is_empty());
        assert!(table_of(&rig.store).evicted.is_empty());
        assert!(table_of(&rig.store).workers.contains_key("i-1"));
    });
}

/// Regression: a run was given up, and its next attempt was assigned to the same worker while the
/// first one was still being stopped.
#[test]
fn next_attempt_waits_for_end_of_first() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.worker.ignores_stops.set(true);
        rig.store.put(&Record::Plan(JOB.to_owned(), Box::new(running_plan(1, "i-1", 2))));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        rig.worker.end(&task(JOB, 0), 1, EndReason::Stopped);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 2)]);
    });
}

#[test]
fn superseded_attempt_stopped() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        let mut plan = running_plan(1, "i-1", 1);
        plan.open[0].steps[0][0].status = TaskStatus::Stopping;
        rig.store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        sleep(Duration::from_secs(1)).await;
        assert!(rig.worker.running().is_empty());
        assert_eq!(rig.worker.starts().len(), 1);
    });
}

/// Regression: a run that was to be stopped before its agent had read of it was never reported, and
/// its task never made progress.
#[rstest]
#[case::never_started(StartFault::None, vec![EndReason::NotStarted])]
#[case::started_without_agent(StartFault::AnswerLost, vec![EndReason::Stopped])]
fn stop_of_unknown_run_reported(#[case] before: StartFault, #[case] expected: Vec<EndReason>) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        seed_running_job(&store, JOB, 1, "i-1");
        if before == StartFault::AnswerLost {
            worker.start_without_agent(&task(JOB, 0), 1);
        }
        let mut plan = running_plan(1, "i-1", 1);
        plan.open[0].steps[0][0].status = TaskStatus::Stopping;
        store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(reasons(&rig.store), expected);
    });
}

/// Regression: while the agent's table was out of date, an ended incarnation was adopted again four
/// times a second, and its end was written each time.
#[test]
fn ended_incarnation_not_adopted_again() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.store.read_delay.set(Duration::from_secs(3));
        rig.worker.replace("i-2");
        sleep(Duration::from_secs(8)).await;
        let records = rig.store.all(rampbay_jobs::record::STATE_TOPIC);
        let removals = records.iter().filter(|r| r.key == "worker/i-1" && r.value.is_empty());
        assert_eq!(removals.count(), 1);
    });
}

/// Regression: an unanswered start was given up at once, and with it its whole gang, although a
/// repeated order would have been carried out.
#[test]
fn unanswered_start_ordered_again() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::FirstOrderLost);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        assert_eq!(reasons(&rig.store), vec![]);
    });
}

/// Regression for a run that started twice: a rejected order proves nothing about an earlier
/// unanswered order of the same run.
#[test]
fn refusal_after_unanswered_start_proves_nothing() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::AnswerLostThenUnhealthy);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        for _ in 0..60 {
            sleep(Duration::from_millis(50)).await;
            let given_up = !reasons(&rig.store).is_empty();
            assert!(!given_up || rig.worker.running().is_empty(), "given up while it runs");
        }
    });
}

/// Regression: a gang of ten lost 40% of its work. The start of one member was carried out without
/// an answer, and the member was stopped before the worker was polled for it.
#[test]
fn unanswered_start_that_runs_kept() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::AnswerLostThenUnhealthy);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_secs(4)).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        assert_eq!(reasons(&rig.store), vec![]);
    });
}

/// As above, but the table no longer wants the run when its start is due to be repeated.
#[test]
fn unanswered_start_no_longer_wanted_stopped_first() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let worker = FakeWorker::new("i-1");
        worker.start_fault.set(StartFault::AnswerLost);
        seed_running_job(&store, JOB, 1, "i-1");
        let rig = AgentRig::start(store, worker);
        rig.heartbeat("i-1", 1);
        sleep(Duration::from_millis(100)).await;
        let mut plan = running_plan(1, "i-1", 1);
        plan.open[0].steps[0][0].status = TaskStatus::Stopping;
        rig.store.put(&Record::Plan(JOB.to_owned(), Box::new(plan)));
        for _ in 0..60 {
            sleep(Duration::from_millis(50)).await;
            let given_up = !reasons(&rig.store).is_empty();
            assert!(!given_up || rig.worker.running().is_empty(), "given up while it runs");
        }
        assert_eq!(reasons(&rig.store), vec![EndReason::Stopped]);
    });
}

/// The agent forgets the ends of jobs that the store no longer holds.
#[test]
fn ends_of_removed_job_forgotten() {
    run_in_virtual_time(async {
        let rig = running_rig(1).await;
        rig.worker.end(&task(JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(300)).await;
        assert_eq!(rig.host.remembered_ends(), 1);
        rig.store.remove(&format!("job/{JOB}"));
        sleep(Duration::from_secs(3)).await;
        assert_eq!(rig.host.remembered_ends(), 0);
    });
}
