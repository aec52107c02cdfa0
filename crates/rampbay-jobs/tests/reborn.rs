//! A worker that starts again under the name that it had: it knows nothing of before, and its counts begin anew.
//!
//! Taken for the life before, it was told to forget the ends of its first runs, whose numbers it had used before: they were never
//! kept, and their jobs never ended. Its heartbeats were passed over, since they count from one again.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{EndReason, Record};
use rstest::rstest;
use support::store::MemoryStore;
use support::worker::{FakeWorker, LateCalls};
use support::{AgentRig, job, on_virtual_time, plan_of, seed_running_job, step, table_of, task};
use tokio::time::sleep;

const FIRST_JOB: &str = "00000000000000aa";
const SECOND_JOB: &str = "00000000000000bb";
const OLD: &str = "i-1~1000";
const NEW: &str = "i-1~2000";
/// Longer than an agent takes to start a run, to keep its end, or to find that another life answers.
const SETTLES: Duration = Duration::from_millis(2500);

/// Starts an agent whose worker has done one run, and whose end has number 1.
async fn after_first_run() -> AgentRig {
    let store = MemoryStore::new();
    let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(OLD));
    rig.heartbeat(OLD, 41);
    sleep(SETTLES).await;
    seed_running_job(&store, FIRST_JOB, 1, OLD);
    sleep(SETTLES).await;
    rig.worker.end(&task(FIRST_JOB, 0), 1, EndReason::Done);
    sleep(SETTLES).await;
    assert_eq!(rig.worker.last_acknowledged(), 1);
    rig
}

/// Lets the worker's next life begin, and waits until it is registered.
async fn begin_next_life(rig: &AgentRig) {
    rig.worker.replace(NEW);
    rig.heartbeat(NEW, 1);
    sleep(SETTLES).await;
}

fn is_registered(store: &MemoryStore, instance: &str) -> bool {
    table_of(store).workers.contains_key(instance)
}

/// Puts a job into the store whose only task is assigned to a life.
fn assign(store: &MemoryStore, id: &str, instance: &str) {
    store.put(&Record::Submitted(Box::new(job(id, 1, step(1, 1)))));
    let plan = support::running_plan(1, instance, 1);
    store.put(&Record::Plan(id.to_owned(), Box::new(plan)));
}

#[test]
fn end_with_a_number_used_before_kept() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(SETTLES).await;
        assert!(is_registered(&rig.store, NEW), "its heartbeats count from one again");
        assign(&rig.store, SECOND_JOB, NEW);
        sleep(SETTLES).await;
        rig.worker.end(&task(SECOND_JOB, 0), 1, EndReason::Done);
        sleep(SETTLES).await;
        assert!(table_of(&rig.store).has_end(&task(SECOND_JOB, 0), 1));
        assert_eq!(rig.worker.last_acknowledged(), 1);
    });
}

/// The life before is given up, whether the new one is heard of first or answers first.
#[test]
fn life_before_given_up_by_listing() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        sleep(SETTLES).await;
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// Whenever the agent looks at an idle worker next, which it does each two seconds.
#[rstest]
fn life_before_given_up_by_heartbeat(#[values(100, 700, 1300, 1900)] since_look_ms: u64) {
    on_virtual_time(async move {
        let rig = after_first_run().await;
        sleep(Duration::from_millis(since_look_ms)).await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(Duration::from_millis(200)).await;
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// Nothing of the new life is forgotten for what the life before has ended: a call that was meant for that one, and
/// reaches the new one, takes note of no ends.
#[test]
fn life_before_takes_note_of_nothing_at_the_next_one() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        sleep(SETTLES).await;
        assert_eq!(rig.worker.last_acknowledged(), 0);
    });
}

#[test]
fn heartbeat_of_life_before_passed_over() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.replace(NEW);
        rig.heartbeat(NEW, 1);
        sleep(SETTLES).await;
        rig.heartbeat(OLD, 42);
        sleep(SETTLES).await;
        assert!(is_registered(&rig.store, NEW));
        assert!(!is_registered(&rig.store, OLD));
    });
}

/// A start that was ordered for the life before, and carried out by the next one, runs there. The life before is given
/// up only once it doesn't: the planner starts it elsewhere then.
#[test]
fn run_of_life_before_ended_at_the_next_one() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        assign(&rig.store, SECOND_JOB, OLD);
        rig.stop_heartbeats();
        rig.worker.replace(NEW);
        // The order reaches the new life before any listing of it.
        rig.worker.start_without_agent(&task(SECOND_JOB, 0), 1);
        while is_registered(&rig.store, OLD) {
            sleep(Duration::from_millis(5)).await;
        }
        assert!(rig.worker.running().is_empty(), "{:?}", rig.worker.running());
        assert_eq!(plan_of(&rig.store, SECOND_JOB).status, TaskStatus::Running);
    });
}

/// The same where the agent that ordered it has gone, and another process of its machine follows.
#[test]
fn run_of_life_before_ended_by_next_agent() {
    on_virtual_time(async {
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

/// How much later than ordered a call is carried out: the next life is registered and has runs by then.
const LATE: Duration = Duration::from_secs(8);

/// An end of the next life is forgotten before it is kept, and its job never ends: a call that notes the ends of the life before
/// is carried out late.
#[test]
fn end_kept_beside_late_note_of_life_before() {
    on_virtual_time(async {
        let store = MemoryStore::new();
        let rig = AgentRig::start(Rc::clone(&store), FakeWorker::new(OLD));
        rig.heartbeat(OLD, 41);
        sleep(SETTLES).await;
        seed_running_job(&store, FIRST_JOB, 1, OLD);
        sleep(SETTLES).await;
        rig.worker.late_calls.set(Some(LateCalls::Acknowledgements(LATE)));
        rig.worker.end(&task(FIRST_JOB, 0), 1, EndReason::Done);
        sleep(Duration::from_millis(500)).await;
        assert!(table_of(&store).has_end(&task(FIRST_JOB, 0), 1));
        begin_next_life(&rig).await;
        rig.worker.late_calls.set(None);
        assign(&store, SECOND_JOB, NEW);
        sleep(SETTLES).await;
        assert_eq!(rig.worker.running(), [(task(SECOND_JOB, 0), 1)]);
        // Its end falls into a time in which its agent gets no answers.
        rig.worker.silent.set(true);
        sleep(Duration::from_millis(1500)).await;
        rig.worker.end(&task(SECOND_JOB, 0), 1, EndReason::Done);
        sleep(SETTLES).await;
        rig.worker.silent.set(false);
        sleep(SETTLES).await;
        assert!(table_of(&store).has_end(&task(SECOND_JOB, 0), 1));
    });
}

/// A task runs twice: a start for the life before, given up since and placed elsewhere, is carried out late by the next one.
#[test]
fn late_start_for_life_before_not_carried_out() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.late_calls.set(Some(LateCalls::Starts(LATE)));
        assign(&rig.store, SECOND_JOB, OLD);
        sleep(SETTLES * 2).await;
        assert!(table_of(&rig.store).has_refusal(&task(SECOND_JOB, 0), 1));
        let elsewhere = support::running_plan(1, "i-2~1000", 2);
        rig.store.put(&Record::Plan(SECOND_JOB.to_owned(), Box::new(elsewhere)));
        sleep(Duration::from_millis(500)).await;
        begin_next_life(&rig).await;
        sleep(LATE).await;
        assert_eq!(rig.worker.starts(), []);
    });
}

/// Late orders for the life before are carried out until the next one has seen its own: a call without an answer held the
/// others up for a second.
#[test]
fn next_life_reached_soon_after_first_calls_are_lost() {
    on_virtual_time(async {
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

/// A task runs twice: a start for the life before, given up since and placed elsewhere, is carried out by a life that its agent
/// hasn't reached yet.
#[test]
fn unreached_life_starts_nothing() {
    on_virtual_time(async {
        let rig = after_first_run().await;
        rig.worker.late_calls.set(Some(LateCalls::Starts(LATE)));
        assign(&rig.store, SECOND_JOB, OLD);
        sleep(SETTLES * 2).await;
        let elsewhere = support::running_plan(1, "i-2~1000", 2);
        rig.store.put(&Record::Plan(SECOND_JOB.to_owned(), Box::new(elsewhere)));
        sleep(Duration::from_millis(500)).await;
        rig.worker.replace(NEW);
        rig.worker.silent.set(true);
        sleep(LATE).await;
        assert_eq!(rig.worker.starts(), []);
    });
}
