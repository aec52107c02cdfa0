//! The planner, round by round, on tables made of records.

mod support;

use std::time::Duration;

use rampbay_jobs::job::{Step, Submission, TaskId};
use rampbay_jobs::plan::{JobStatus, TaskStatus};
use rampbay_jobs::record::{EndReason, ProgressReport, Record, RunEnd, WorkerRecord};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, on_virtual_time, step, task, worker_record};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";

#[test]
fn gang_placed_whole() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
        assert_ne!(rig.placed(&task(JOB, 0)).1, rig.placed(&task(JOB, 1)).1);
    });
}

#[test]
fn gang_without_room_not_placed_in_part() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, gang(3, 8)));
        rig.plan();
        assert!(rig.statuses(JOB).iter().all(|status| *status == TaskStatus::Waiting));
    });
}

#[test]
fn gang_wanting_rack_placed_in_one() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(6);
        rig.submit(job(JOB, 1, Step { same_rack: true, ..gang(3, 8) }));
        rig.plan();
        let racks: Vec<String> = (0..3)
            .map(|index| rig.table.workers[&rig.placed(&task(JOB, index)).1].rack().to_owned())
            .collect();
        assert!(racks.iter().all(|rack| *rack == racks[0]), "{racks:?}");
    });
}

/// Seen on the bench: a worker that had just registered was evicted at once, since it had never
/// reported, and again after each return.
#[test]
fn new_worker_without_report_not_evicted() {
    on_virtual_time(async {
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
fn silent_worker_evicted_then_given_up() {
    on_virtual_time(async {
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

/// While no reports can be read, no agent is taken to be silent.
/// The agent's machine is taken away soon after its worker's good-bye, and says nothing more.
#[test]
fn departed_worker_given_up_after_leases() {
    on_virtual_time(async {
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

/// Seen on the bench: urgent work was given to a worker that had gone during an outage.
#[test]
fn worker_unheard_since_outage_avoided() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.advance(Duration::from_secs(1)).await;
        // Nothing can be read for a while; then only one agent reports.
        tokio::time::sleep(Duration::from_secs(5)).await;
        rig.advance_with_silent(Duration::from_millis(1000), "i-0").await;
        rig.submit(job(URGENT, 0, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(URGENT, 0)), "i-1");
    });
}

#[test]
fn unreadable_reports_nobody_evicted() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.advance(Duration::from_secs(1)).await;
        tokio::time::sleep(Duration::from_secs(30)).await;
        rig.plan();
        assert!(rig.table.evicted.is_empty());
    });
}

/// Seen on the bench: a worker that fails all it starts was always free, and drew job after job.
#[test]
fn failing_worker_blocked() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        for (number, id) in [JOB, OTHER].iter().enumerate() {
            rig.submit(job(id, 1, step(1, 8)));
            rig.plan();
            let (_, instance) = rig.placed(&task(id, 0));
            assert_eq!(instance, "i-0", "job {number} starts at the first worker");
            rig.end(&task(id, 0), EndReason::Failed);
            rig.plan();
            assert_eq!(rig.placed(&task(id, 0)).1, "i-1", "the retry goes elsewhere");
            rig.end(&task(id, 0), EndReason::Done);
            rig.plan();
            rig.advance(Duration::from_secs(2)).await;
        }
        rig.submit(job(URGENT, 1, step(2, 8)));
        rig.plan();
        assert_eq!(rig.placed(&task(URGENT, 0)).1, "i-1");
        assert_eq!(rig.status_of(&task(URGENT, 1)), TaskStatus::Waiting);
    });
}

/// A job that fails wherever it runs blocks no worker.
#[test]
fn hopeless_job_blocks_nobody() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
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

#[test]
fn guaranteed_job_stops_borrower() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
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

#[test]
fn room_being_freed_kept_for_guaranteed_job() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
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
fn gang_failures_counted_once_a_run(#[case] failures: u32, #[case] status: JobStatus) {
    on_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(6);
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

#[test]
fn gang_members_share_attempt() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(4);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::NotStarted);
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 1)), TaskStatus::Stopping);
        rig.end(&task(JOB, 1), EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.placed(&task(JOB, 0)).0, 2);
        assert_eq!(rig.placed(&task(JOB, 1)).0, 2);
    });
}

#[test]
fn dependent_step_waits() {
    on_virtual_time(async {
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
    on_virtual_time(async {
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
    on_virtual_time(async {
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
    on_virtual_time(async {
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

/// Seen on the bench: an urgent step wider than all workers reserved nothing, lower work took each
/// place that was freed for it, and was stopped again at once.
#[test]
fn wide_urgent_step_keeps_freed_room() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
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
    on_virtual_time(async {
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

/// Seen on the bench: after an outage of the store every run counted as standing still, since no
/// report had come, and all were stopped.
#[test]
fn unreadable_reports_no_run_moved() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(2, 1)));
        rig.plan();
        rig.advance(Duration::from_secs(2)).await;
        tokio::time::sleep(Duration::from_secs(8)).await;
        rig.progress.note_read(Instant::now());
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running; 2]);
    });
}

/// A run reports the same progress for a while; at the end of its estimate it may do so for long.
#[rstest]
#[case::standing(40, TaskStatus::Stopping)]
#[case::past_its_estimate(100, TaskStatus::Running)]
fn same_progress_reported(#[case] percent: u32, #[case] expected: TaskStatus) {
    on_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1);
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
