//! The time that counts as time in which an agent didn't pick up a run.
//!
//! Guards against counting reports from before the assignment: a run was stopped 1.4 s after it was assigned, since its
//! agent had reported without it before.

mod support;

use std::time::Duration;

use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::ProgressReport;
use rstest::rstest;
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, step, task};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";

/// Has a worker's agent report once after some time, without any run.
async fn report_after(rig: &mut PlannerRig, instance: &str, time_ms: u64) {
    sleep(Duration::from_millis(time_ms)).await;
    rig.progress.note_read(Instant::now());
    rig.progress.insert(instance, ProgressReport::default(), Instant::now());
    rig.plan();
}

/// Agents of idle workers report every two seconds, and one report may be late. An agent couldn't pick up a run
/// before the run was assigned between two of its reports.
#[rstest]
#[case::in_time(2000, 1900)]
#[case::late(3000, 1200)]
fn time_before_assignment_not_counted(#[case] before_ms: u64, #[case] after_ms: u64) {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        report_after(&mut rig, "i-0", 100).await;
        sleep(Duration::from_millis(before_ms)).await;
        rig.progress.note_read(Instant::now());
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        // Another agent reports, so the planner checks the runs.
        report_after(&mut rig, "i-other", 50).await;
        report_after(&mut rig, "i-0", 150).await;
        report_after(&mut rig, "i-0", after_ms).await;
        assert_eq!(rig.status_of(&task(JOB, 0)), TaskStatus::Running);
    });
}
