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

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const GONE: &str = "i-gone";
const REMAINING: Duration = Duration::from_secs(10);

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
