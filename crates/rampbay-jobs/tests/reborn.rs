//! A worker that restarts under the same id, and a start that is carried out late.
//!
//! This is the test as it stood when KNOWN-RED.txt first listed it, under the target that its entry
//! names. `worker_restarts` has the same test under the target that the other entry names.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::record::{EndReason, Record};
use support::store::MemoryStore;
use support::worker::{FakeWorker, LateCalls};
use support::{AgentRig, job, run_in_virtual_time, seed_running_job, step, task};
use tokio::time::sleep;

const FIRST_JOB: &str = "00000000000000aa";
const SECOND_JOB: &str = "00000000000000bb";
const OLD: &str = "i-1~1000";
const NEW: &str = "i-1~2000";
/// Longer than an agent takes to start a run, to keep its end, or to find that another life answers.
const SETTLES: Duration = Duration::from_millis(2500);
/// How much later than ordered a call is carried out: the next life is registered and has runs by then.
const LATE: Duration = Duration::from_secs(8);

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

/// Puts a job into the store whose only task is assigned to a life.
fn assign(store: &MemoryStore, id: &str, instance: &str) {
    store.put(&Record::Submitted(Box::new(job(id, 1, step(1, 1)))));
    let plan = support::running_plan(1, instance, 1);
    store.put(&Record::Plan(id.to_owned(), Box::new(plan)));
}

/// A task runs twice: a start for the life before, given up since and placed elsewhere, is carried out by a life that its agent
/// hasn't reached yet.
#[test]
fn unreached_life_starts_nothing() {
    run_in_virtual_time(async {
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
