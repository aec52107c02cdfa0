//! Tasks with a start that got no answer: the planner starts them at the incarnation that rejects that start, or not
//! at all until the start has expired.

mod support;

use std::time::Duration;

use rampbay_jobs::job::TaskId;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::WaitReason;
use rampbay_jobs::record::{EndReason, Record, UnansweredStart};
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const GONE: &str = "i-gone";
const REMAINING: Duration = Duration::from_secs(10);
/// Longest time for which a job may have nothing running while there is capacity for it.
const MAX_STALL: Duration = Duration::from_secs(3);

/// Records that the start of a task's first run got no answer and is rejected at an incarnation.
fn put_unanswered(rig: &mut PlannerRig, task: &TaskId, instance: &str) {
    rig.put(&Record::Unanswered(Box::new(UnansweredStart {
        task: task.clone(),
        attempt: 1,
        instance: instance.to_owned(),
        address: String::new(),
        remaining_ms: REMAINING.as_millis() as u64,
    })));
}

/// Guards against a task that runs twice: an unanswered start is carried out while the task runs
/// elsewhere.
#[rstest]
fn task_bound_to_rejecting_worker(#[values("i-0", "i-1", "i-2")] rejecting: &str) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, step(1, 1)));
        put_unanswered(&mut rig, &task(JOB, 0), rejecting);
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), rejecting);
    });
}

/// A task waits while the incarnation that rejects its start is gone, and its step's other tasks
/// don't. It starts once the start has expired, and the record is removed.
#[test]
fn task_waits_until_start_has_expired() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, step(2, 1)));
        put_unanswered(&mut rig, &task(JOB, 0), GONE);
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Waiting, TaskStatus::Running]);
        assert_eq!(rig.planner.wait_reason(JOB, 0, 0), Some(WaitReason::UnansweredStart));
        rig.advance(REMAINING - Duration::from_secs(1)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Waiting);
        rig.advance(Duration::from_secs(1)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert!(rig.table.unanswered.is_empty());
    });
}

/// A worker that rejects the start and is full doesn't take the task beyond its capacity.
#[test]
fn task_waits_while_rejecting_worker_is_full() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(OTHER, 1, step(1, 8)));
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        let full = rig.instance_of(&task(OTHER, 0));
        rig.submit(job(JOB, 1, step(1, 1)));
        put_unanswered(&mut rig, &task(JOB, 0), &full);
        rig.plan();
        assert_eq!(rig.statuses(JOB), []);
        rig.end(&task(OTHER, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), full);
    });
}

/// Only the bound member of a gang is bound, and the gang waits as a whole.
#[rstest]
#[case::registered("i-1", &[TaskStatus::Running; 3])]
#[case::gone(GONE, &[])]
fn gang_starts_around_bound_member(#[case] rejecting: &str, #[case] expected: &[TaskStatus]) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, gang(3, 5)));
        put_unanswered(&mut rig, &task(JOB, 2), rejecting);
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB), expected);
        if !expected.is_empty() {
            assert_eq!(rig.instance_of(&task(JOB, 2)), rejecting);
        }
    });
}

/// Lets the planner stop the job's run, since the agent's reports lack it. Returns the run's worker.
async fn stop_unreported_run(rig: &mut PlannerRig) -> String {
    let task = task(JOB, 0);
    rig.submit(job(JOB, 1, step(1, 1)));
    rig.plan();
    while rig.status_of(&task) == TaskStatus::Running {
        rig.advance_idle(Duration::from_secs(1)).await;
        rig.plan();
    }
    rig.instance_of(&task)
}

/// Guards against a job that has nothing running for 5 s beside free workers (soak, small site, seed 1004): the agent
/// picked up its run too late, so the planner stopped the run and blocked the worker. Meanwhile an earlier process of
/// the agent may have ordered the run, so the task may start at this worker only.
#[rstest]
fn bound_task_starts_soon_after_run_picked_up_late(
    #[values(EndReason::Stopped, EndReason::NotStarted)] reason: EndReason,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2);
        let task = task(JOB, 0);
        let worker = stop_unreported_run(&mut rig).await;
        put_unanswered(&mut rig, &task, &worker);
        rig.end(&task, reason);
        let ended = Instant::now();
        rig.plan();
        while rig.status_of(&task) != TaskStatus::Running {
            rig.advance(Duration::from_millis(500)).await;
            rig.plan();
            assert!(ended.elapsed() < MAX_STALL, "{:?}", rig.planner.wait_reason(JOB, 0, 0));
        }
        assert_eq!(rig.instance_of(&task), worker);
    });
}

/// A task that isn't bound to the worker whose agent picked up its run late starts elsewhere.
#[test]
fn free_task_starts_elsewhere_after_run_picked_up_late() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        let task = task(JOB, 0);
        let worker = stop_unreported_run(&mut rig).await;
        rig.end(&task, EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.status_of(&task), TaskStatus::Running);
        assert_ne!(rig.instance_of(&task), worker);
    });
}

/// A worker whose agent still hasn't picked up a run gets no other one.
#[test]
fn worker_blocked_while_run_not_picked_up() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        let worker = stop_unreported_run(&mut rig).await;
        rig.submit(job(OTHER, 1, step(1, 1)));
        put_unanswered(&mut rig, &task(OTHER, 0), &worker);
        rig.advance(Duration::from_secs(4)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Waiting);
    });
}

/// Two starts that different incarnations reject bind a task to none of them.
#[test]
fn task_with_two_rejecting_workers_waits() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(1, 1)));
        put_unanswered(&mut rig, &task(JOB, 0), "i-0");
        rig.put(&Record::Unanswered(Box::new(UnansweredStart {
            task: task(JOB, 0),
            attempt: 2,
            instance: "i-1".to_owned(),
            address: String::new(),
            remaining_ms: REMAINING.as_millis() as u64,
        })));
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB), []);
    });
}
