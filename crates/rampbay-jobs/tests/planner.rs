//! Rounds of the planner on tables built from records.

mod support;

use std::time::Duration;

use rampbay_jobs::job::{Step, Submission, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::{EndReason, ProgressReport, Record, RunEnd, WorkerRecord};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task, worker_record};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";

#[rstest]
fn gang_placed_whole(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
        assert_ne!(rig.latest_run(&task(JOB, 0)).1, rig.latest_run(&task(JOB, 1)).1);
    });
}

#[rstest]
fn gang_without_room_not_placed_in_part(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, gang(3, 8)));
        rig.plan();
        assert!(rig.statuses(JOB).iter().all(|status| *status == TaskStatus::Waiting));
    });
}

#[rstest]
fn gang_wanting_rack_placed_in_one(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(6).with_placement(placement);
        rig.submit(job(JOB, 1, Step { same_rack: true, ..gang(3, 8) }));
        rig.plan();
        let racks: Vec<String> = (0..3)
            .map(|index| rig.table.workers[&rig.latest_run(&task(JOB, index)).1].rack().to_owned())
            .collect();
        assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
    });
}

/// Guards against a task that starts again although its worker lists the end of a run that the leader has given up.
#[rstest]
#[case::done(EndReason::Done, TaskStatus::Done, 0)]
#[case::failed(EndReason::Failed, TaskStatus::Waiting, 1)]
#[case::lapsed(EndReason::Lapsed, TaskStatus::Waiting, 0)]
fn end_of_given_up_run_counts_until_task_starts_again(
    #[case] reason: EndReason,
    #[case] status: TaskStatus,
    #[case] failures: u32,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(Submission { attempts: 3, ..job(JOB, 1, step(2, 1)) });
        rig.plan();
        let (attempt, instance) = rig.latest_run(&task(JOB, 0));
        rig.remove_worker(&instance);
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Waiting; 2]);
        // A copy of the end may arrive as well.
        for _ in 0..2 {
            let end = RunEnd {
                task: task(JOB, 0),
                attempt,
                reason,
                checkpoint: String::new(),
                instance: instance.clone(),
            };
            rig.put(&Record::Ended(Box::new(end)));
            rig.plan();
        }
        assert_eq!(rig.statuses(JOB), vec![status, TaskStatus::Waiting]);
        let plan = rig.table.jobs[JOB].plan.clone().expect("the job is planned");
        assert_eq!(plan.task(&task(JOB, 0)).expect("the task is planned").failures, failures);
    });
}

/// Guards against evicting a worker that has just registered because its agent has never reported.
/// The worker was evicted again after each return. Seen on the bench.
#[test]
fn new_worker_without_report_not_evicted() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.advance(Duration::from_secs(20)).await;
        rig.put(&Record::Worker("i-new".to_owned(), Box::new(worker_record("side", "r1", 8))));
        rig.plan();
        assert!(rig.table.evicted.is_empty());
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
    });
}

#[test]
fn silent_worker_evicted_then_removed() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        rig.advance(Duration::from_secs(1)).await;
        for _ in 0..80 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            rig.progress.note_read(Instant::now());
        }
        rig.plan();
        assert!(rig.table.evicted.contains("i-0"));
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running, "it may still run");
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(100)).await;
            rig.progress.note_read(Instant::now());
        }
        rig.plan();
        assert!(rig.table.workers.is_empty());
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Waiting);
    });
}

/// The agent's machine is removed soon after the worker's deregistration, so the agent reports nothing more.
#[test]
fn departed_worker_removed_after_leases() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.advance(Duration::from_secs(1)).await;
        rig.plan();
        let first = rig.instance_of(&task(JOB, 0));
        let record = WorkerRecord {
            draining: true,
            departed: true,
            ..rig.table.workers[&first].as_ref().clone()
        };
        rig.put(&Record::Worker(first.clone(), Box::new(record)));
        rig.plan();
        rig.advance_with_silent(Duration::from_secs(6), &first).await;
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), first, "its last lease may still hold");
        rig.advance_with_silent(Duration::from_millis(1500), &first).await;
        rig.plan();
        assert_ne!(rig.instance_of(&task(JOB, 0)), first);
        assert!(!rig.table.workers.contains_key(&first));
    });
}

/// Guards against assigning urgent work to a worker that was lost during an outage of the reports. Seen on the bench.
#[rstest]
fn worker_without_report_since_outage_avoided(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.advance(Duration::from_secs(1)).await;
        // No report can be read for a while; then only one agent reports.
        tokio::time::sleep(Duration::from_secs(5)).await;
        rig.advance_with_silent(Duration::from_millis(1000), "i-0").await;
        rig.submit(job(URGENT, 0, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(URGENT, 0)), "i-1");
    });
}

/// While no reports can be read, no agent counts as silent.
#[test]
fn unreadable_reports_evict_no_worker() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.advance(Duration::from_secs(1)).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        rig.plan();
        assert!(rig.table.evicted.is_empty());
    });
}

/// Guards against a worker that fails every run: it was always free, and was assigned job after job. Seen on the bench.
#[test]
fn failing_worker_blocked() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        for (number, id) in [JOB, OTHER].iter().enumerate() {
            rig.submit(job(id, 1, step(1, 8)));
            rig.plan();
            let (_, instance) = rig.latest_run(&task(id, 0));
            assert_eq!(instance, "i-0", "job {number} starts at the first worker");
            rig.end(&task(id, 0), EndReason::Failed);
            rig.plan();
            assert_eq!(rig.latest_run(&task(id, 0)).1, "i-1", "the retry goes elsewhere");
            rig.end(&task(id, 0), EndReason::Done);
            rig.plan();
            rig.advance(Duration::from_secs(2)).await;
        }
        rig.submit(job(URGENT, 1, step(2, 8)));
        rig.plan();
        assert_eq!(rig.latest_run(&task(URGENT, 0)).1, "i-1");
        assert_eq!(rig.status_of(&task(URGENT, 1)), TaskStatus::Waiting);
    });
}

/// A job that fails wherever it runs blocks no worker.
#[rstest]
fn job_failing_everywhere_blocks_no_worker(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3).with_placement(placement);
        for id in [JOB, OTHER] {
            rig.submit(job(id, 1, step(1, 8)));
            for _ in 0..3 {
                rig.plan();
                rig.end(&task(id, 0), EndReason::Failed);
            }
            rig.plan();
            assert_eq!(rig.job_status(id), JobStatus::Failed);
        }
        rig.submit(job(URGENT, 1, step(3, 8)));
        rig.plan();
        assert_eq!(rig.statuses(URGENT), vec![TaskStatus::Running; 3]);
    });
}

#[rstest]
fn guaranteed_job_stops_borrower(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.guarantee(8);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        rig.submit(job(URGENT, 0, step(1, 8)));
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Stopping);
        assert_eq!(rig.status_of(&task(URGENT, 0)), TaskStatus::Waiting, "the room isn't free yet");
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.status_of(&task(URGENT, 0)), TaskStatus::Running);
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Waiting);
    });
}

#[rstest]
fn capacity_being_freed_reserved_for_guaranteed_job(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.guarantee(8);
        rig.submit(job(JOB, 1, step(2, 4)));
        rig.plan();
        rig.submit(job(URGENT, 0, step(1, 8)));
        rig.plan();
        rig.submit(job(OTHER, 1, step(1, 4)));
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Waiting);
    });
}

#[rstest]
#[case::once(1, JobStatus::Running)]
#[case::too_often(3, JobStatus::Failed)]
fn gang_failures_counted_once_a_run(
    #[case] failures: u32,
    #[case] status: JobStatus,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(6).with_placement(placement);
        rig.submit(job(JOB, 1, gang(2, 8)));
        for _ in 0..failures {
            rig.plan();
            rig.end(&task(JOB, 0), EndReason::Failed);
            rig.end(&task(JOB, 1), EndReason::Broken);
            rig.plan();
        }
        assert_eq!(rig.job_status(JOB), status);
    });
}

#[rstest]
fn gang_members_share_attempt(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(4).with_placement(placement);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::NotStarted);
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 1)), TaskStatus::Stopping);
        rig.end(&task(JOB, 1), EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.latest_run(&task(JOB, 0)).0, 2);
        assert_eq!(rig.latest_run(&task(JOB, 1)).0, 2);
    });
}

#[test]
fn dependent_step_waits() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        let mut submission = job(JOB, 1, step(2, 1));
        submission.steps.push(Step { depends_on: vec![0], ..step(1, 1) });
        rig.submit(submission);
        rig.plan();
        let second = TaskId { step: 1, ..task(JOB, 0) };
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.status_of(&second), TaskStatus::Waiting);
        rig.end(&task(JOB, 1), EndReason::Done);
        rig.plan();
        assert_eq!(rig.status_of(&second), TaskStatus::Running);
        rig.end(&second, EndReason::Done);
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Succeeded);
    });
}

#[test]
fn cancelled_job_stopped() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        rig.put(&Record::Cancelled(JOB.to_owned()));
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Cancelled);
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Stopping);
    });
}

#[test]
fn stale_end_removed_without_effect() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        rig.put(&Record::Ended(Box::new(RunEnd {
            task: task(JOB, 0),
            attempt: 7,
            reason: EndReason::Done,
            checkpoint: String::new(),
            instance: "i-0".to_owned(),
        })));
        rig.plan();
        assert!(rig.table.ends.is_empty());
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    });
}

#[test]
fn timed_job_starts_when_due() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        let timed = Submission {
            first_run_ms: 5_000,
            interval_ms: 4_000,
            occurrences: 2,
            ..job(JOB, 1, step(1, 1))
        };
        rig.submit(timed);
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Queued);
        rig.advance(Duration::from_secs(3)).await;
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Running);
        rig.advance(Duration::from_secs(4)).await;
        rig.plan();
        let second = TaskId { occurrence: 1, ..task(JOB, 0) };
        rig.end(&second, EndReason::Done);
        rig.plan();
        assert_eq!(rig.job_status(JOB), JobStatus::Succeeded);
    });
}

/// Guards against preempting in vain for an urgent step that is wider than the fleet: it reserved
/// nothing, so less urgent work took the capacity that was freed for it, and was stopped again at
/// once. Seen on the bench.
#[rstest]
fn wide_urgent_step_keeps_freed_capacity(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, step(4, 4)));
        rig.plan();
        rig.submit(job(URGENT, 0, step(5, 8)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Stopping; 4]);
        for index in 0..4 {
            rig.end(&task(JOB, index), EndReason::Stopped);
            rig.plan();
        }
        let running = |status: &&TaskStatus| **status == TaskStatus::Running;
        assert_eq!(rig.statuses(URGENT).iter().filter(running).count(), 2);
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Waiting; 4]);
    });
}

#[test]
fn ended_job_removed_later() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        rig.advance(Duration::from_secs(200)).await;
        rig.plan();
        assert!(rig.table.jobs.contains_key(JOB), "callers may still ask");
        rig.advance(Duration::from_secs(50)).await;
        rig.plan();
        assert!(rig.table.jobs.is_empty());
    });
}

/// Guards against stopping all runs after an outage of the store: they counted as stalled, since no
/// reports had been read. Seen on the bench.
#[rstest]
fn unreadable_reports_move_no_run(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.submit(job(JOB, 1, step(2, 1)));
        rig.plan();
        rig.advance(Duration::from_secs(2)).await;
        tokio::time::sleep(Duration::from_secs(8)).await;
        rig.progress.note_read(Instant::now());
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
    });
}

/// A run that reports the same progress for some time has stalled, unless it is past its estimate.
#[rstest]
#[case::stalled(40, TaskStatus::Stopping)]
#[case::past_its_estimate(100, TaskStatus::Running)]
fn same_progress_reported(
    #[case] percent: u32,
    #[case] expected: TaskStatus,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.progress.note_read(Instant::now());
            let run = progress(JOB, 0, percent, 0);
            let report = ProgressReport { silent_ms: 0, runs: vec![run] };
            rig.progress.insert("i-0", report, Instant::now());
        }
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}
