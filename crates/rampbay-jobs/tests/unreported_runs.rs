//! Runs that were assigned to a worker and that its agent doesn't pick up.
//!
//! Guards against accepted jobs without runs while capacity is free. Their tasks were assigned to a worker whose
//! agent had skipped their plans; the agent reported for 70 s without these runs, and the planner left them there.

mod support;

use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{EndReason, ProgressReport};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Has a worker's agent report `times` times, with or without the first task's run.
async fn report(rig: &mut PlannerRig, instance: &str, times: u32, lists_run: bool) {
    for _ in 0..times {
        sleep(REPORT_INTERVAL).await;
        rig.progress.note_read(Instant::now());
        let runs = if lists_run { vec![progress(JOB, 0, 10, 500)] } else { Vec::new() };
        rig.progress.insert(instance, ProgressReport { silent_ms: 0, runs }, Instant::now());
        rig.plan();
    }
}

fn rig_with_run() -> PlannerRig {
    let mut rig = PlannerRig::of_workers(2);
    rig.submit(job(JOB, 1, step(1, 8)));
    rig.plan();
    rig
}

#[rstest]
#[case::soon_after(3, TaskStatus::Running)]
#[case::for_long(7, TaskStatus::Stopping)]
fn run_without_report(#[case] reports: u32, #[case] expected: TaskStatus) {
    run_in_virtual_time(async {
        let mut rig = rig_with_run();
        let instance = rig.instance_of(&task(JOB, 0));
        report(&mut rig, &instance, reports, false).await;
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

#[test]
fn run_not_picked_up_placed_elsewhere_once_stopped() {
    run_in_virtual_time(async {
        let mut rig = rig_with_run();
        let instance = rig.instance_of(&task(JOB, 0));
        for _ in 0..7 {
            for other in ["i-0", "i-1"] {
                rig.progress.insert(other, ProgressReport::default(), Instant::now());
            }
            report(&mut rig, &instance, 1, false).await;
        }
        rig.end(&task(JOB, 0), EndReason::NotStarted);
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
        assert_ne!(rig.instance_of(&task(JOB, 0)), instance);
    });
}

#[test]
fn run_reported_once_stays() {
    run_in_virtual_time(async {
        let mut rig = rig_with_run();
        let instance = rig.instance_of(&task(JOB, 0));
        report(&mut rig, &instance, 2, false).await;
        report(&mut rig, &instance, 1, true).await;
        report(&mut rig, &instance, 3, false).await;
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    });
}

/// An agent that hasn't reported for a while may not have been able to learn of the run either.
#[test]
fn time_without_reports_not_counted() {
    run_in_virtual_time(async {
        let mut rig = rig_with_run();
        let instance = rig.instance_of(&task(JOB, 0));
        report(&mut rig, &instance, 2, false).await;
        sleep(Duration::from_secs(5)).await;
        report(&mut rig, &instance, 3, false).await;
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    });
}

/// A gang doesn't wait for a member that is never picked up: it is stopped and placed again as a whole.
#[test]
fn gang_with_member_not_picked_up_stopped() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        let instance = rig.instance_of(&task(JOB, 1));
        report(&mut rig, &instance, 7, false).await;
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Stopping; 2]);
    });
}
