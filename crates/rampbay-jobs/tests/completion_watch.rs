//! Runs that the policy `by_completion` moves: stalled ones, and those at workers that leave; and workers that it avoids.

mod support;

use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::{EndReason, ProgressReport, Record, WorkerRecord};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
/// Time between two reports.
const REPORT_INTERVAL_MS: u64 = 500;

/// Creates a rig with one worker, whose planner places work by a policy, and starts a task there.
fn rig_with_run(placement: Placement, step: Step) -> PlannerRig {
    let mut rig = PlannerRig::of_workers(1).with_placement(placement);
    rig.submit(job(JOB, 1, step));
    rig.plan();
    rig
}

/// Reports the run for some time: its progress grows with each report until `worked_ms` have passed, and stands still
/// from then on. Returns whether the run goes on.
async fn stands_still(rig: &mut PlannerRig, worked_ms: u64, still_ms: u64, percent: u32) -> bool {
    let reports = (worked_ms + still_ms) / REPORT_INTERVAL_MS;
    for number in 0..=reports {
        let ran_ms = number * REPORT_INTERVAL_MS;
        let steps_left = worked_ms.saturating_sub(ran_ms) / REPORT_INTERVAL_MS;
        let run = progress(JOB, 0, percent - steps_left as u32, ran_ms);
        let report = ProgressReport { silent_ms: 0, runs: vec![run] };
        rig.progress.note_read(Instant::now());
        rig.progress.insert("i-0", report, Instant::now());
        rig.plan();
        tokio::time::sleep(Duration::from_millis(REPORT_INTERVAL_MS)).await;
    }
    rig.status_of(&task(JOB, 0)) == TaskStatus::Running
}

/// A stalled run waits for as long as its restart would cost, from 3.5 s to 12 s. Tasks that stand still for 6 s go on
/// then; a gang of 10 s of work that was given up after 3.5 s lost all of it.
#[rstest]
#[case::young_waits(1_000, 3_500, true)]
#[case::young_moved(1_000, 4_000, false)]
#[case::older_waits(7_000, 7_000, true)]
#[case::older_moved(7_000, 7_500, false)]
#[case::old_waits(20_000, 12_000, true)]
#[case::old_moved(20_000, 12_500, false)]
fn stalled_run_waits_for_unsaved_work(
    #[case] worked_ms: u64,
    #[case] still_ms: u64,
    #[case] goes_on: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_with_run(Placement::ByCompletion, step(1, 1));
        assert_eq!(stands_still(&mut rig, worked_ms, still_ms, 60).await, goes_on);
    });
}

/// A checkpointing run has saved its work, so it is moved at once however old it is.
#[rstest]
#[case::waits(3_500, true)]
#[case::moved(4_000, false)]
fn stalled_checkpointing_run_moved_soon(#[case] still_ms: u64, #[case] goes_on: bool) {
    run_in_virtual_time(async move {
        let step = Step { checkpointing: true, ..step(1, 1) };
        let mut rig = rig_with_run(Placement::ByCompletion, step);
        assert_eq!(stands_still(&mut rig, 20_000, still_ms, 60).await, goes_on);
    });
}

/// A run past its estimate reports no further progress, and is left the allowance of `by_lost_work` on top: three times
/// its estimate of 5 s.
#[rstest]
#[case::waits(7_000, 22_000, true)]
#[case::moved(7_000, 22_500, false)]
fn run_past_estimate_waits_longer(
    #[case] worked_ms: u64,
    #[case] still_ms: u64,
    #[case] goes_on: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_with_run(Placement::ByCompletion, step(1, 1));
        assert_eq!(stands_still(&mut rig, worked_ms, still_ms, 100).await, goes_on);
    });
}

/// `by_lost_work` goes on giving up after 3.5 s, whatever the restart costs.
#[test]
fn by_lost_work_moves_stalled_run_at_once() {
    run_in_virtual_time(async {
        let mut rig = rig_with_run(Placement::ByLostWork, step(1, 1));
        assert!(!stands_still(&mut rig, 20_000, 4_000, 60).await);
    });
}

/// A stop costs its own time and that of the next start, 700 ms here, and a run that is still there when its worker
/// leaves is missed 500 ms later than a stopped one. A run of 1 s that needs 9 s more was stopped for a notice of 10.7 s,
/// although it would most likely have ended.
#[rstest]
#[case::by_lost_work(Placement::ByLostWork, 10_700, TaskStatus::Stopping)]
#[case::by_completion(Placement::ByCompletion, 10_700, TaskStatus::Running)]
#[case::by_completion_less_notice(Placement::ByCompletion, 10_610, TaskStatus::Stopping)]
fn departing_run_charged_stop(
    #[case] placement: Placement,
    #[case] notice_ms: u64,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let step = Step { estimate_ms: 10_000, ..step(1, 1) };
        let mut rig = rig_with_run(placement, step);
        for (percent, ran_ms) in [(0, 0), (10, 1000)] {
            tokio::time::sleep(Duration::from_millis(ran_ms)).await;
            rig.wall += ran_ms;
            let run = progress(JOB, 0, percent, ran_ms);
            let report = ProgressReport { silent_ms: 0, runs: vec![run] };
            rig.progress.note_read(Instant::now());
            rig.progress.insert("i-0", report, Instant::now());
        }
        let worker = rig.table.workers["i-0"].as_ref().clone();
        let leaves_at = rig.wall + notice_ms;
        let worker = WorkerRecord { draining: true, leaves_at, ..worker };
        rig.put(&Record::Worker("i-0".to_owned(), Box::new(worker)));
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A worker that fails all that it starts for some seconds is passed over for 5 s. Free again after 1.5 s, it drew the
/// retries of gangs, each of which failed as a whole.
#[rstest]
#[case::by_lost_work_avoids(Placement::ByLostWork, 1_000, "i-1")]
#[case::by_lost_work_takes_again(Placement::ByLostWork, 2_000, "i-0")]
#[case::by_completion_avoids(Placement::ByCompletion, 4_500, "i-1")]
#[case::by_completion_takes_again(Placement::ByCompletion, 5_500, "i-0")]
fn worker_avoided_after_failure(
    #[case] placement: Placement,
    #[case] later_ms: u64,
    #[case] expected: &str,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), "i-0");
        rig.end(&task(JOB, 0), EndReason::Failed);
        rig.put(&Record::Cancelled(JOB.to_owned()));
        rig.plan();
        rig.advance(Duration::from_millis(later_ms)).await;
        rig.submit(job(OTHER, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(OTHER, 0)), expected);
    });
}

/// A gang that wants one rack takes one without a worker at which a run has just failed. Workers were passed over one by
/// one only, so a gang that filled its rack took the failing worker too, and failed as a whole.
#[rstest]
#[case::by_lost_work(Placement::ByLostWork, "r0")]
#[case::by_completion(Placement::ByCompletion, "r1")]
fn rack_with_failing_worker_avoided(#[case] placement: Placement, #[case] expected: &str) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(6).with_placement(placement);
        let first = Step { required_label: "r0".to_owned(), ..step(1, 1) };
        rig.submit(job(JOB, 0, first));
        rig.plan();
        rig.end(&task(JOB, 0), EndReason::Failed);
        rig.put(&Record::Cancelled(JOB.to_owned()));
        rig.plan();
        rig.submit(job(OTHER, 0, Step { same_rack: true, ..gang(3, 8) }));
        rig.plan();
        assert_eq!(rig.table.workers[&rig.instance_of(&task(OTHER, 0))].rack(), expected);
    });
}
