//! A worker that restarts under the same id: it keeps no state, and its counters start again.
//!
//! Regression: the agent took the new incarnation for the previous one. It acknowledged the ends of
//! the first new runs, whose numbers the previous incarnation had used already. Those ends were
//! never stored, and their jobs never ended. Heartbeats of the new incarnation were ignored, since
//! their sequence numbers start from one again.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{EndReason, Record};
use rampbay_jobs::worker::{StartOrder, StopOrder, Worker};
use rstest::rstest;
use support::store::MemoryStore;
use support::worker::{Client, FakeWorker, LateCalls};
use support::{
    AgentRig, job, plan_of, run_in_virtual_time, seed_running_job, step, table_of, task,
};
use tokio::time::sleep;

const FIRST_JOB: &str = "00000000000000aa";
const SECOND_JOB: &str = "00000000000000bb";
const THIRD_JOB: &str = "00000000000000cc";
const OLD: &str = "i-1~1000";
const NEW: &str = "i-1~2000";
/// Longer than an agent takes to start a run, to store its end, or to find that another incarnation
/// answers.
const SETTLES_WITHIN: Duration = Duration::from_millis(2500);

/// Starts an agent whose worker has finished one run, whose end has number 1.
async fn after_first_run() -> AgentRig {
    let store = MemoryStore::new();
    let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(OLD));
    rig.heartbeat(OLD, 41);
    sleep(SETTLES_WITHIN).await;
    seed_running_job(&store, FIRST_JOB, 1, OLD);
    sleep(SETTLES_WITHIN).await;
    rig.worker.end(&task(FIRST_JOB, 0), 1, EndReason::Done);
    sleep(SETTLES_WITHIN).await;
    assert_eq!(rig.worker.last_acknowledged(), 1);
    rig
}

/// Starts the worker's next incarnation, and waits until it is registered.
async fn start_next_incarnation(rig: &AgentRig) {
    rig.worker.replace(NEW);
    rig.heartbeat(NEW, 1);
    sleep(SETTLES_WITHIN).await;
}

fn is_registered(store: &MemoryStore, instance: &str) -> bool {
    table_of(store).workers.contains_key(instance)
}

/// Writes a job to the store whose only task is assigned to an incarnation.
fn assign(store: &MemoryStore, id: &str, instance: &str) {
    store.put(&Record::Submitted(Box::new(job(id, 1, step(1, 1)))));
    let plan = support::running_plan(1, instance, 1);
    store.put(&Record::Plan(id.to_owned(), Box::new(plan)));
}

#[test]
fn end_with_reused_number_stored() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(SETTLES_WITHIN).await;
        assert!(is_registered(&rig.store, NEW), "its heartbeats count from one again");
        assign(&rig.store, SECOND_JOB, NEW);
        sleep(SETTLES_WITHIN).await;
        rig.worker.end(&task(SECOND_JOB, 0), 1, EndReason::Done);
        sleep(SETTLES_WITHIN).await;
        assert!(table_of(&rig.store).has_end(&task(SECOND_JOB, 0), 1));
        assert_eq!(rig.worker.last_acknowledged(), 1);
    });
}

/// The previous incarnation ends once the new one answers.
#[test]
fn previous_incarnation_ended_by_listing() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        sleep(SETTLES_WITHIN).await;
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// The previous incarnation ends once the new one sends a heartbeat, at any time between two polls
/// of an idle worker, which follow each other every two seconds.
#[rstest]
fn previous_incarnation_ended_by_heartbeat(#[values(100, 700, 1300, 1900)] since_look_ms: u64) {
    run_in_virtual_time(async move {
        let rig = after_first_run().await;
        sleep(Duration::from_millis(since_look_ms)).await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(Duration::from_millis(200)).await;
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// The new incarnation forgets no ends because of ends of the previous one: a call that was meant
/// for the previous incarnation and reaches the new one acknowledges nothing.
#[test]
fn previous_incarnation_acknowledges_nothing_at_next_one() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(rig.worker.last_acknowledged(), 0);
    });
}

#[test]
fn heartbeat_of_previous_incarnation_ignored() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(SETTLES_WITHIN).await;
        rig.heartbeat(OLD, 42);
        sleep(SETTLES_WITHIN).await;
        assert!(is_registered(&rig.store, NEW));
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// A start that was ordered for the previous incarnation was carried out by the next one. The
/// previous incarnation's registration is removed only once that run is stopped, since the planner
/// then starts it elsewhere.
#[test]
fn run_of_previous_incarnation_stopped_at_next_one() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        assign(&rig.store, SECOND_JOB, OLD);
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        // The order reaches the new incarnation before the agent has got a listing from it.
        rig.worker.start_without_agent(&task(SECOND_JOB, 0), 1);
        while is_registered(&rig.store, OLD) {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(rig.worker.running().is_empty(), "{:?}", rig.worker.running());
        assert_eq!(plan_of(&rig.store, SECOND_JOB).status, TaskStatus::Running);
    });
}

/// As above, but the agent process that ordered the start has ended, and another process of its
/// machine follows.
#[test]
fn run_of_previous_incarnation_stopped_by_next_agent() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        let (store, worker) = (Rc::clone(&rig.store), Rc::clone(&rig.worker));
        rig.kill();
        assign(&store, SECOND_JOB, OLD);
        worker.replace(NEW);
        worker.start_without_agent(&task(SECOND_JOB, 0), 1);
        let rig = AgentRig::start(Rc::clone(&store), Rc::clone(&worker));
        rig.heartbeat(NEW, 1);
        while is_registered(&store, OLD) {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(worker.running().is_empty(), "{:?}", worker.running());
    });
}

/// Delay after which a late call is carried out: the next incarnation is registered and has runs by
/// then.
const LATE: Duration = Duration::from_secs(8);

/// Guards against this failure: a call that acknowledges ends of the previous incarnation is
/// carried out late. The next incarnation forgets one of its own ends before the store holds it,
/// and the job never ends.
#[test]
fn end_stored_despite_late_acknowledgement_of_previous_incarnation() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(OLD));
        rig.heartbeat(OLD, 41);
        sleep(SETTLES_WITHIN).await;
        seed_running_job(&store, FIRST_JOB, 1, OLD);
        sleep(SETTLES_WITHIN).await;
        rig.worker.late_calls.set(Some(LateCalls::Acknowledgements(LATE)));
        rig.worker.end(&task(FIRST_JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(500)).await;
        assert!(table_of(&store).has_end(&task(FIRST_JOB, 0), 1));
        start_next_incarnation(&rig).await;
        rig.worker.late_calls.set(None);
        assign(&store, SECOND_JOB, NEW);
        sleep(SETTLES_WITHIN).await;
        assert_eq!(rig.worker.running(), [(task(SECOND_JOB, 0), 1)]);
        // The run ends while its agent gets no answers.
        rig.worker.silent.set(true);
        sleep(Duration::from_millis(1500)).await;
        rig.worker.end(&task(SECOND_JOB, 0), 1, EndReason::Done);
        sleep(SETTLES_WITHIN).await;
        rig.worker.silent.set(false);
        sleep(SETTLES_WITHIN).await;
        assert!(table_of(&store).has_end(&task(SECOND_JOB, 0), 1));
    });
}

/// Guards against a task that starts again after its acknowledged end: a worker falls silent before its agent
/// has acknowledged an end, and restarts. The agent's first call that arrives is for the previous
/// incarnation, and the next one forgets its own end, which the store doesn't hold.
#[test]
fn next_incarnation_keeps_ends_after_silence() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        assign(&rig.store, SECOND_JOB, OLD);
        sleep(SETTLES_WITHIN).await;
        rig.store.append_delay.set(Duration::from_millis(300));
        rig.worker.end(&task(SECOND_JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(100)).await;
        rig.worker.silent.set(true);
        sleep(Duration::from_millis(1000)).await;
        assert!(table_of(&rig.store).has_end(&task(SECOND_JOB, 0), 1));
        rig.worker.replace(NEW);
        rig.worker.start_without_agent(&task(THIRD_JOB, 0), 1);
        rig.worker.end(&task(THIRD_JOB, 0), 1, EndReason::Stopped);
        rig.worker.end(&task(THIRD_JOB, 1), 1, EndReason::Done);
        rig.worker.silent.set(false);
        sleep(SETTLES_WITHIN).await;
        rig.heartbeat(NEW, 1);
        sleep(SETTLES_WITHIN).await;
        assert!(table_of(&rig.store).has_end(&task(THIRD_JOB, 0), 1));
        assert!(table_of(&rig.store).has_end(&task(THIRD_JOB, 1), 1));
    });
}

/// Guards against a task that runs twice: a start for the previous incarnation, given up and
/// reassigned in the meantime, is carried out late by the next incarnation.
#[test]
fn late_start_for_previous_incarnation_not_carried_out() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.late_calls.set(Some(LateCalls::Starts(LATE)));
        assign(&rig.store, SECOND_JOB, OLD);
        sleep(SETTLES_WITHIN * 2).await;
        assert!(table_of(&rig.store).has_refusal(&task(SECOND_JOB, 0), 1));
        let elsewhere = support::running_plan(1, "i-2~1000", 2);
        rig.store.put(&Record::Plan(SECOND_JOB.to_owned(), Box::new(elsewhere)));
        sleep(Duration::from_millis(500)).await;
        start_next_incarnation(&rig).await;
        sleep(LATE).await;
        assert_eq!(rig.worker.starts(), []);
    });
}

/// Late orders for the previous incarnation are carried out until the next one has seen a call of
/// its own. An unanswered call delayed the following calls by a second.
#[test]
fn next_incarnation_reached_soon_after_first_calls_are_lost() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.replace(NEW);
        rig.worker.silent.set(true);
        rig.heartbeat(NEW, 1);
        sleep(Duration::from_millis(300)).await;
        rig.worker.silent.set(false);
        sleep(Duration::from_millis(100)).await;
        assert!(is_registered(&rig.store, NEW));
    });
}

/// Guards against a fake worker that is stricter than the protocol: whatever fencing tokens and runs
/// the previous incarnation has seen, the next one under its id carries out a late start.
#[rstest]
fn late_start_carried_out_by_fake_worker(
    #[values(0, 9)] token: u64,
    #[values(false, true)] stopped: bool,
) {
    run_in_virtual_time(async move {
        let worker = FakeWorker::new(OLD);
        worker.observe_fencing_token(token);
        let client = Client::new(Rc::clone(&worker), OLD);
        let (task, attempt) = (task(FIRST_JOB, 0), 1);
        let order = StartOrder {
            task: task.clone(),
            attempt,
            payload: String::new(),
            lease_until: LATE.as_millis() as u64,
            fencing_token: token,
            checkpoint: String::new(),
        };
        worker.late_calls.set(Some(LateCalls::Starts(LATE)));
        assert!(client.start(&order).await.is_err());
        if stopped {
            let stop = StopOrder { task: task.clone(), attempt, fencing_token: token };
            client.stop(&stop).await.expect("the previous incarnation stops the run");
        }
        worker.replace(NEW);
        worker.silent.set(true);
        sleep(LATE).await;
        assert_eq!(worker.starts(), [(task, attempt)]);
    });
}

/// Guards against a task that runs twice: a start for the previous incarnation, given up and
/// reassigned in the meantime, is carried out by an incarnation that its agent hasn't reached yet.
#[test]
fn unreached_life_starts_nothing() {
    run_in_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.late_calls.set(Some(LateCalls::Starts(LATE)));
        assign(&rig.store, SECOND_JOB, OLD);
        sleep(SETTLES_WITHIN * 2).await;
        let elsewhere = support::running_plan(1, "i-2~1000", 2);
        rig.store.put(&Record::Plan(SECOND_JOB.to_owned(), Box::new(elsewhere)));
        sleep(Duration::from_millis(500)).await;
        rig.worker.replace(NEW);
        rig.worker.silent.set(true);
        sleep(LATE).await;
        assert_eq!(rig.worker.starts(), []);
    });
}
