//! Intake and leadership, over the in-memory store.

mod support;

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::intake::{CallTarget, Refusal};
use rampbay_jobs::job::Submission;
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::record::{Record, STATE_TOPIC};
use rampbay_jobs::routing::Routing;
use rstest::rstest;
use support::intake::IntakeRig;
use support::leader::start_leader;
use support::store::{MemoryStore, StoreFault};
use support::{canceller, job, plan_of, run_in_virtual_time, step, table_of, worker_record};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";

/// How long callers wait, where the test doesn't depend on it.
const CALLER_WAIT: Duration = Duration::from_millis(1000);

#[rstest]
#[case::public("host", "/open/x", None, Ok("open"))]
#[case::keyed("host", "/keyed/x", Some("key"), Ok("keyed"))]
#[case::longest_prefix("HOST", "/keyed/deeper/x", Some("key"), Ok("deeper"))]
#[case::without_key("host", "/keyed/x", None, Err(Refusal::Unauthorized))]
#[case::unknown_key("host", "/keyed/x", Some("other"), Err(Refusal::Unauthorized))]
#[case::unknown_path("host", "/none/x", Some("key"), Err(Refusal::NoQueue))]
#[case::unknown_host("other", "/open/x", None, Err(Refusal::NoQueue))]
fn admission(
    #[case] host: &'static str,
    #[case] path: &'static str,
    #[case] key: Option<&'static str>,
    #[case] expected: Result<&'static str, Refusal>,
) {
    run_in_virtual_time(async move {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        let budget = rig.intake.wait_budget(None);
        let admitted = rig.intake.admit(CallTarget { host, path, key }, budget).await;
        assert_eq!(admitted.map(|admission| admission.queue.name), expected.map(str::to_owned));
    });
}

/// As long as the configuration isn't known to be current, a key may have been removed.
#[test]
fn old_configuration_admits_no_caller() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(4000)).await;
        assert_eq!(rig.admit(CALLER_WAIT).await.err(), Some(Refusal::NotCurrent));
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_millis(1000)).await;
        assert!(rig.admit(CALLER_WAIT).await.is_ok());
    });
}

#[test]
fn older_configuration_ignored() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        rig.routing.set(Routing { version: 0, ..Routing::default() });
        assert_eq!(rig.routing.get().map(|routing| routing.version), Some(1));
    });
}

#[rstest]
#[case::no_fault(StoreFault::None, Ok(()))]
#[case::refused(StoreFault::Refuses, Err(Refusal::Unavailable))]
#[case::answer_lost(StoreFault::LosesAnswers, Err(Refusal::Unknown))]
fn submission(#[case] fault: StoreFault, #[case] expected: Result<(), Refusal>) {
    run_in_virtual_time(async move {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(fault);
        assert_eq!(rig.submit(job(JOB, 1, step(1, 1)), CALLER_WAIT).await, expected);
        let stored = table_of(&rig.store).jobs.contains_key(JOB);
        assert_eq!(stored, fault != StoreFault::Refuses, "a refusal says that nothing was stored");
    });
}

/// A call doesn't wait longer than its limit for a store that doesn't answer.
#[test]
fn silent_store_caller_answered_in_time() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.append_delay.set(Duration::from_secs(60));
        let started = Instant::now();
        let outcome = rig.submit(job(JOB, 1, step(1, 1)), CALLER_WAIT).await;
        assert_eq!(outcome, Err(Refusal::Unknown));
        assert!(started.elapsed() < CALLER_WAIT, "the answer still reaches the caller");
    });
}

/// Submits a job like a caller who waits three seconds in all, and retries when told to.
async fn submit_with_retries(rig: &IntakeRig) -> Result<(), Refusal> {
    let end = Instant::now() + Duration::from_millis(3000);
    loop {
        let outcome = rig.submit(job(JOB, 1, step(1, 1)), end - Instant::now()).await;
        let retry_at = Instant::now() + Duration::from_millis(1000);
        if outcome.is_ok() || retry_at >= end {
            return outcome;
        }
        sleep(Duration::from_millis(1000)).await;
    }
}

/// Seen on the test bench: while the store was silent for four seconds, callers were refused who had
/// enough time left to wait until it answered again.
#[rstest]
#[case::refused(StoreFault::Refuses)]
#[case::answers_lost(StoreFault::LosesAnswers)]
fn outage_within_callers_time_job_stored(#[case] fault: StoreFault) {
    run_in_virtual_time(async move {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(fault);
        let store = Rc::clone(&rig.store);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(2800)).await;
            store.fault.set(StoreFault::None);
        });
        assert_eq!(submit_with_retries(&rig).await, Ok(()));
    });
}

/// A call that waits for a current configuration is answered by the one that is then in force.
#[test]
fn outage_within_callers_time_admitted() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(4000)).await;
        let store = Rc::clone(&rig.store);
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(1000)).await;
            store.fault.set(StoreFault::None);
        });
        let started = Instant::now();
        assert!(rig.admit(Duration::from_millis(1200)).await.is_ok());
        assert!(started.elapsed() < Duration::from_millis(1500), "admitted once it is current");
    });
}

/// While the store is known to be unreachable, a caller who can retry is told so at once, and nothing
/// is sent to the store.
#[test]
fn store_unreachable_caller_told_to_retry() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(2500)).await;
        let started = Instant::now();
        let outcome = rig.submit(job(JOB, 1, step(1, 1)), Duration::from_millis(3000)).await;
        assert_eq!(outcome, Err(Refusal::Unavailable));
        assert!(started.elapsed() <= Duration::from_millis(101));
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        assert!(!table_of(&rig.store).jobs.contains_key(JOB));
    });
}

/// How a repeated submission fails.
#[derive(Clone, Copy, Debug)]
enum Repeated {
    /// The store is known to be unreachable, and nothing is sent.
    StoreUnreachable,
    /// The store refuses it until the caller's time is over.
    StoreRefuses,
    /// Too many calls wait.
    TooManyWaiting,
}

/// Guards against a 503, by which the job never runs, while an earlier attempt of it may still be carried out.
#[rstest]
#[case::store_unreachable(Repeated::StoreUnreachable)]
#[case::store_refuses(Repeated::StoreRefuses)]
#[case::too_many_waiting(Repeated::TooManyWaiting)]
fn submission_after_one_without_answer_stays_unknown(#[case] repeated: Repeated) {
    run_in_virtual_time(async move {
        let rig = Rc::new(IntakeRig::start());
        sleep(Duration::from_millis(50)).await;
        rig.store.holds_appends.set(true);
        let submission = || job(JOB, 1, step(1, 1));
        assert_eq!(rig.submit(submission(), CALLER_WAIT).await, Err(Refusal::Unknown));
        match repeated {
            Repeated::StoreUnreachable => {
                rig.store.fault.set(StoreFault::Refuses);
                sleep(Duration::from_millis(2500)).await;
            }
            Repeated::StoreRefuses => rig.store.fault.set(StoreFault::Refuses),
            Repeated::TooManyWaiting => {
                for other in ["00000000000000bb", "00000000000000cc"] {
                    let rig = Rc::clone(&rig);
                    let other = job(other, 1, step(1, 1));
                    tokio::task::spawn_local(async move { rig.submit(other, CALLER_WAIT).await });
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        let outcome = rig.submit(submission(), Duration::from_millis(3000)).await;
        assert_eq!(outcome, Err(Refusal::Unknown));
        rig.store.apply_held();
        assert!(table_of(&rig.store).jobs.contains_key(JOB), "the first attempt is carried out");
    });
}

/// More calls than may wait are refused at once. One for a job that a waiting call may yet store isn't said to be refused.
#[rstest]
#[case::other_jobs(["00000000000000bb", "00000000000000cc"], Refusal::Unavailable)]
#[case::same_job([JOB, JOB], Refusal::Unknown)]
fn too_many_waiting_refused_at_once(#[case] waiting: [&'static str; 2], #[case] expected: Refusal) {
    run_in_virtual_time(async move {
        let rig = Rc::new(IntakeRig::start());
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(StoreFault::Refuses);
        for id in waiting {
            let rig = Rc::clone(&rig);
            tokio::task::spawn_local(async move {
                rig.submit(job(id, 1, step(1, 1)), CALLER_WAIT).await
            });
        }
        sleep(Duration::from_millis(10)).await;
        let started = Instant::now();
        let outcome = rig.submit(job(JOB, 1, step(1, 1)), CALLER_WAIT).await;
        assert_eq!(outcome, Err(expected));
        assert!(started.elapsed() < Duration::from_millis(1));
        sleep(CALLER_WAIT).await;
        assert!(rig.admit(CALLER_WAIT).await.is_ok(), "a call that has ended doesn't count");
    });
}

#[test]
fn repeated_submission_stays_one_job() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        for count in 1..3 {
            rig.submit(job(JOB, 1, step(count, 1)), CALLER_WAIT).await.expect("accepted");
            sleep(Duration::from_millis(50)).await;
        }
        let table = rig.live.table.borrow();
        assert_eq!(table.jobs[JOB].submission.steps[0].count, 1);
        assert_eq!(rig.store.all(STATE_TOPIC).len(), 1);
    });
}

#[test]
fn status_of_unknown_job() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        assert_eq!(rig.intake.known_status(&JOB.to_owned()), Err(Refusal::NoJob));
        rig.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_secs(5)).await;
        assert_eq!(rig.intake.known_status(&JOB.to_owned()), Err(Refusal::NotCurrent));
    });
}

#[test]
fn cancelled_job_shown_at_once() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.submit(job(JOB, 1, step(1, 1)), CALLER_WAIT).await.expect("accepted");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(rig.intake.pending("queue-1"), Ok(1));
        let budget = rig.intake.wait_budget(None);
        rig.intake.cancel(&JOB.to_owned(), &canceller(), budget).await.expect("cancelled");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(rig.intake.known_status(&JOB.to_owned()), Ok(JobStatus::Cancelled));
        assert_eq!(rig.intake.pending("queue-1"), Ok(0));
    });
}

#[test]
fn leader_plans_submitted_job() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Worker("i-1".to_owned(), Box::new(worker_record("side-1", "r1", 8))));
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_millis(500)).await;
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(2, 1)))));
        sleep(Duration::from_millis(200)).await;
        assert_eq!(plan_of(&store, JOB).status, TaskStatus::Running);
    });
}

/// A leader that was replaced and hasn't learned of it writes nothing more.
#[test]
fn replaced_leader_fenced() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_millis(500)).await;
        *store.leader.borrow_mut() = Some(("entry-2".to_owned(), 2));
        start_leader(&store, "entry-2", 2, None);
        sleep(Duration::from_millis(1000)).await;
        let first = table_of(&store).leader;
        assert_eq!(first.node, "entry-2");
        store.put(&Record::Worker("i-1".to_owned(), Box::new(worker_record("side-1", "r1", 8))));
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(2, 1)))));
        sleep(Duration::from_millis(500)).await;
        let table = table_of(&store);
        assert_eq!(table.leader, first);
        let attempts: Vec<u32> = table.jobs[JOB]
            .plan
            .as_ref()
            .expect("a plan")
            .tasks(&JOB.to_owned())
            .map(|(_, task)| task.attempt)
            .collect();
        assert_eq!(attempts, vec![1, 1]);
    });
}

/// A decision that a leader makes while the store loses answers is stored once.
#[test]
fn lost_answers_decision_stored_once() {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        store.put(&Record::Worker("i-1".to_owned(), Box::new(worker_record("side-1", "r1", 8))));
        start_leader(&store, "entry-1", 1, None);
        sleep(Duration::from_millis(500)).await;
        store.fault.set(StoreFault::LosesAnswers);
        store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        sleep(Duration::from_secs(3)).await;
        store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(2)).await;
        let plans = store.all(STATE_TOPIC).iter().filter(|r| r.key.starts_with("plan/")).count();
        assert_eq!(plans, 1);
    });
}

/// A follower whose history was dropped reads the newest records and goes on.
#[test]
fn history_dropped_table_complete() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(50)).await;
        rig.store.put(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))));
        sleep(Duration::from_millis(50)).await;
        rig.store.fault.set(StoreFault::Refuses);
        sleep(Duration::from_millis(1500)).await;
        rig.store.put(&Record::Cancelled(JOB.to_owned()));
        rig.store.forget_history(STATE_TOPIC);
        rig.store.fault.set(StoreFault::None);
        sleep(Duration::from_secs(1)).await;
        assert_eq!(rig.live.table.borrow().jobs[JOB].status(), JobStatus::Cancelled);
    });
}

/// Guards against a job that is accepted, or refused for ever, although the store doesn't take its record.
#[test]
fn too_large_job_refused_at_once() {
    run_in_virtual_time(async {
        let rig = IntakeRig::start();
        sleep(Duration::from_millis(100)).await;
        let payload = "x".repeat(300 << 10);
        let large = Submission { payload, ..job("00000000000000ff", 1, step(1, 1)) };
        let sent = Instant::now();
        let refused = rig.submit(large, Duration::from_secs(3)).await;
        assert_eq!(refused, Err(Refusal::TooLarge));
        assert!(sent.elapsed() < Duration::from_millis(10));
        assert!(rig.store.all(STATE_TOPIC).iter().all(|record| !record.key.starts_with("job/")));
    });
}
