//! Cancellations of jobs that an entry's table doesn't hold yet.
//!
//! The failure (`review/2`): a job whose record is still on its way to the store is answered 504. Its caller cancels it
//! at another entry and is told that there is no such job, which acknowledges the cancelling. Then the record is stored,
//! and the job runs whole.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::cancel::{Canceller, EarlyCancel, number_at};
use rampbay_jobs::follower::Pace;
use rampbay_jobs::intake::{CurrentRouting, Intake, IntakeLimits, Refusal};
use rampbay_jobs::job::JobId;
use rampbay_jobs::plan::JobStatus;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Record, STATE_TOPIC};
use rampbay_jobs::store::Store;
use rampbay_jobs::table::MAX_EARLY_CANCELS_PER_WORKSPACE;
use rstest::rstest;
use support::site::{Site, Work};
use support::store::{MemoryStore, StoreFault};
use support::{canceller, job, run_in_virtual_time, step, table_of};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
/// How long callers wait.
const CALLER_WAIT: Duration = Duration::from_millis(2000);
/// Longest time until a call is answered.
const ANSWER_TIME: Duration = Duration::from_millis(1300);
/// More than a site takes to start a job.
const START_TIME: Duration = Duration::from_millis(1500);
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
    cancel_as(intake, JOB, &canceller()).await
}

async fn cancel_as(intake: &Intake, id: &str, canceller: &Canceller) -> Result<(), Refusal> {
    intake.cancel(&JobId::from(id), canceller, intake.wait_budget(Some(CALLER_WAIT))).await
}

/// Lets a caller submit the job at an entry whose append gets no answer and isn't carried out yet.
async fn submit_without_answer(store: &MemoryStore, intake: &Intake) {
    store.holds_appends.set(true);
    let budget = intake.wait_budget(Some(CALLER_WAIT));
    let outcome = intake.submit(job(JOB, 1, step(1, 1)), budget).await;
    assert_eq!(outcome, Err(Refusal::Unknown));
    store.holds_appends.set(false);
}

/// What happens between the acknowledgement and the arrival of the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Between {
    Nothing,
    NewLeader,
    /// All processes are lost, and the store has dropped its history.
    PowerLoss,
}

/// Guards against a job that is stored after the cancelling was acknowledged, and runs.
#[rstest]
#[case::nothing(Between::Nothing)]
#[case::new_leader(Between::NewLeader)]
#[case::power_loss(Between::PowerLoss)]
fn job_stored_after_its_cancelling_never_starts(#[case] between: Between) {
    run_in_virtual_time(async move {
        let site = Site::start(2);
        let (first, second) = (intake(&site.store), intake(&site.store));
        sleep(START_TIME).await;
        submit_without_answer(&site.store, &first).await;
        assert_eq!(cancel(&second).await, Err(Refusal::NoJob));
        match between {
            Between::Nothing => {}
            Between::NewLeader => site.replace_leader(),
            Between::PowerLoss => {
                site.store.forget_history(STATE_TOPIC);
                site.lose_power(Some(9), &[Duration::from_secs(1); 3]).await;
            }
        }
        site.store.apply_held();
        sleep(START_TIME).await;
        assert_eq!(site.starts_of(JOB).len(), 0);
        assert_eq!(site.status(JOB), JobStatus::Cancelled);
        site.replace_leader();
        sleep(START_TIME).await;
        assert_eq!(site.starts_of(JOB).len(), 0, "under the next leader");
    });
}

/// A caller who hands a job in again after it has cancelled it is told that it is taken, and sees it as cancelled.
#[test]
fn job_submitted_after_its_cancelling_shown_cancelled() {
    run_in_virtual_time(async {
        let site = Site::start(1);
        let intake = intake(&site.store);
        sleep(START_TIME).await;
        assert_eq!(cancel(&intake).await, Err(Refusal::NoJob));
        assert_eq!(intake.known_status(&JOB.to_owned()), Err(Refusal::NoJob));
        let budget = intake.wait_budget(Some(CALLER_WAIT));
        assert_eq!(intake.submit(job(JOB, 1, step(1, 1)), budget).await, Ok(()));
        sleep(START_TIME).await;
        assert_eq!(intake.known_status(&JOB.to_owned()), Ok(JobStatus::Cancelled));
        assert_eq!(cancel(&intake).await, Ok(()));
        assert_eq!(site.starts_of(JOB).len(), 0);
    });
}

/// Guards against a cancellation by which a caller stops a job that isn't its own, and is still to come.
#[test]
fn job_of_other_workspace_starts_after_cancelling() {
    run_in_virtual_time(async {
        let site = Site::start(1);
        let intake = intake(&site.store);
        sleep(START_TIME).await;
        let other = Canceller { workspace: "other".to_owned(), ..canceller() };
        assert_eq!(cancel_as(&intake, JOB, &other).await, Err(Refusal::NoJob));
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_millis(100)));
        sleep(START_TIME).await;
        assert_eq!(site.status(JOB), JobStatus::Succeeded);
    });
}

/// Guards against a caller who stops a job of another workspace, and against one who can't stop its own.
#[rstest]
#[case::own("workspace", "queue-1", Ok(()), JobStatus::Cancelled)]
#[case::own_at_other_queue("workspace", "queue-0", Ok(()), JobStatus::Cancelled)]
#[case::other_workspace("other", "queue-1", Err(Refusal::NotOwner), JobStatus::Running)]
#[case::other_queue("other", "queue-0", Err(Refusal::NotOwner), JobStatus::Running)]
fn cancel_known_job_by_its_callers_only(
    #[case] workspace: &'static str,
    #[case] queue: &'static str,
    #[case] expected: Result<(), Refusal>,
    #[case] status: JobStatus,
) {
    run_in_virtual_time(async move {
        let site = Site::start(1);
        let intake = intake(&site.store);
        sleep(START_TIME).await;
        site.submit(JOB, step(1, 1), Work::Ends(Duration::from_secs(60)));
        sleep(START_TIME).await;
        let canceller = Canceller {
            workspace: workspace.to_owned(),
            queue: queue.to_owned(),
            is_queue_public: false,
        };
        assert_eq!(cancel_as(&intake, JOB, &canceller).await, expected);
        sleep(START_TIME).await;
        assert_eq!(site.status(JOB), status);
    });
}

/// An answer that depends on whether the entry has read the job yet would acknowledge what isn't done.
#[test]
fn cancel_by_other_workspace_job_just_accepted_refused() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.read_delay.set(READ_DELAY);
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        sleep(Duration::from_millis(100)).await;
        let other = Canceller { workspace: "other".to_owned(), ..canceller() };
        assert_eq!(cancel_as(&intake, JOB, &other).await, Err(Refusal::NotOwner));
    });
}

/// A store that takes 250 ms an append delays the answer by no more than that.
#[test]
fn cancel_job_unknown_slow_store_answered_in_time() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.append_delay.set(Duration::from_millis(250));
        let started = Instant::now();
        assert_eq!(cancel(&intake).await, Err(Refusal::NoJob));
        assert!(started.elapsed() < ANSWER_TIME, "{:?}", started.elapsed());
    });
}

/// A caller that is told 410 while the answer of the store is lost would count on a cancellation that may not be stored.
#[test]
fn cancel_job_unknown_without_answer_not_acknowledged() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.holds_appends.set(true);
        assert_eq!(cancel(&intake).await, Err(Refusal::Unknown));
    });
}

/// How a cancellation fails to be stored in its call's time.
#[derive(Clone, Copy, Debug)]
enum Unstored {
    /// The append is under way when the caller is answered.
    UnderWay,
    /// The answer to the append is lost, and with it the append, when the caller leaves.
    CallerLeft,
    /// The store refuses it until the call's time is over.
    Refused,
}

/// Guards against a cancellation that is dropped with its call, since its caller may not ask again: the job would run on.
#[rstest]
#[case::under_way(Unstored::UnderWay, true)]
#[case::caller_left(Unstored::CallerLeft, true)]
#[case::refused(Unstored::Refused, false)]
fn cancellation_stored_after_its_call(
    #[case] unstored: Unstored,
    #[case] is_stored: bool,
    #[values(true, false)] is_known: bool,
) {
    run_in_virtual_time(async move {
        let store = MemoryStore::new();
        let intake = Rc::new(intake(&store));
        if is_known {
            store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        }
        sleep(Duration::from_millis(100)).await;
        match unstored {
            Unstored::UnderWay => {
                store.append_delay.set(Duration::from_secs(4));
                assert_eq!(cancel(&intake).await, Err(Refusal::Unknown));
            }
            Unstored::CallerLeft => {
                store.append_delay.set(Duration::from_secs(4));
                let call = tokio::time::timeout(Duration::from_millis(300), cancel(&intake));
                assert!(call.await.is_err(), "the caller leaves first");
            }
            Unstored::Refused => {
                store.fault.set(StoreFault::Refuses);
                let refusal = cancel(&intake).await.expect_err("nothing is stored");
                assert!(matches!(refusal, Refusal::NotCurrent | Refusal::Unavailable), "{refusal}");
            }
        }
        store.append_delay.set(Duration::ZERO);
        store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(10)).await;
        let table = table_of(&store);
        let is_cancelled = table.jobs.get(JOB).is_some_and(|job| job.cancelled);
        let is_kept = table.keeps_early_cancel(JOB, &canceller());
        assert_eq!(is_cancelled || is_kept, is_stored);
    });
}

/// Guards against cancellations of unknown jobs that fill the store, and against a workspace that takes others' part of it.
#[test]
fn cancellations_over_bound_refused_at_once() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        for number in 0..MAX_EARLY_CANCELS_PER_WORKSPACE as u64 {
            store.put(&Record::EarlyCancel(Box::new(EarlyCancel {
                job: format!("{number:016x}"),
                number: number_at(number, 0),
                canceller: canceller(),
            })));
        }
        store.put(&Record::Submitted(Box::new(job("00000000000000bb", 1, step(1, 1)))));
        sleep(Duration::from_millis(100)).await;
        let stored = store.all(STATE_TOPIC).len();
        let started = Instant::now();
        assert_eq!(
            cancel_as(&intake, "ffffffffffffffff", &canceller()).await,
            Err(Refusal::TooManyCancels)
        );
        assert!(started.elapsed() < Duration::from_millis(1));
        assert_eq!(store.all(STATE_TOPIC).len(), stored, "nothing is sent");
        let other = Canceller { workspace: "other".to_owned(), ..canceller() };
        assert_eq!(cancel_as(&intake, "ffffffffffffffff", &other).await, Err(Refusal::NoJob));
        assert_eq!(cancel_as(&intake, "00000000000000bb", &canceller()).await, Ok(()));
    });
}

/// A caller that asks again and again causes one append.
#[test]
fn repeated_cancel_of_unknown_job_stored_once() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        for _ in 0..100 {
            assert_eq!(cancel(&intake).await, Err(Refusal::NoJob));
        }
        assert_eq!(store.all(STATE_TOPIC).len(), 1);
    });
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

/// Guards against a 410, after which nothing may start, for a job that is stored already and may have been started.
#[test]
fn cancel_job_just_accepted_view_late_not_answered_as_unknown() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        let intake = intake(&store);
        sleep(Duration::from_millis(100)).await;
        store.read_delay.set(CALLER_WAIT);
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        sleep(Duration::from_millis(100)).await;
        assert_eq!(cancel(&intake).await, Ok(()));
        assert!(table_of(&store).jobs[JOB].cancelled);
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
