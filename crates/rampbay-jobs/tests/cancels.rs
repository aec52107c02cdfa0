//! Cancellations of jobs that an entry's table doesn't hold yet.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::follower::Pace;
use rampbay_jobs::intake::{CurrentRouting, Intake, IntakeLimits, Refusal};
use rampbay_jobs::job::JobId;
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::Record;
use rampbay_jobs::store::Store;
use support::store::{MemoryStore, StoreFault};
use support::{job, run_in_virtual_time, step, table_of};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
/// How long callers wait.
const CALLER_WAIT: Duration = Duration::from_millis(2000);
/// Delay of an entry's reads of the store; less than the maximum age of a table by which a job is reported
/// as unknown.
const READ_DELAY: Duration = Duration::from_millis(700);

/// Creates an intake whose table is kept current.
fn intake(store: &Rc<MemoryStore>) -> Intake {
    let shared: Rc<dyn Store> = store.clone();
    let live = LiveTable::default();
    let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
    tokio::task::spawn_local(live.clone().follow(Rc::clone(&shared), pace));
    let limits = IntakeLimits {
        configuration_age: Duration::from_millis(2750),
        usual_wait: Duration::from_millis(1300),
        store_age: Duration::from_millis(2200),
        max_waiting: 8,
        table_age: Duration::from_millis(1500),
    };
    let routing = Rc::new(CurrentRouting::default());
    Intake::new(shared, Rc::clone(&live.table), live.freshness, routing, limits)
}

async fn cancel(intake: &Intake) -> Result<(), Refusal> {
    intake.cancel(&JobId::from(JOB), intake.wait_budget(Some(CALLER_WAIT))).await
}

/// Another entry has accepted the job a moment ago: the answer that there is no such job would acknowledge
/// the cancellation, and the job would run on.
#[test]
fn cancel_job_just_accepted_elsewhere_kept() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.read_delay.set(READ_DELAY);
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(cancel(&intake).await, Ok(()));
        assert_eq!(table_of(&store).jobs[JOB].status(), JobStatus::Cancelled);
    });
}

#[test]
fn cancel_job_unknown_answered_in_time() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        let started = Instant::now();
        assert_eq!(cancel(&intake).await, Err(Refusal::NoJob));
        assert!(started.elapsed() < Duration::from_millis(1300), "{:?}", started.elapsed());
    });
}

/// While the store is unreachable, it isn't known whether there is such a job.
#[test]
fn cancel_store_unreachable_not_current() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.fault.set(StoreFault::Refuses);
        assert_eq!(cancel(&intake).await, Err(Refusal::NotCurrent));
    });
}
