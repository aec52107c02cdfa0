//! Which runs are moved off a worker that has given notice, and which may end there.
//!
//! Guards against stopping a run that would end in time. A gang of 70 tasks, each with a whole worker's
//! accelerators, had run for 5.9 s and needed 4.9 s more by its own rate when one of its workers gave a notice of
//! 6.1 s. It was stopped, since its remaining time was above four fifths of the notice, and 48,000 core-seconds of
//! work were lost.

mod support;

use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::{ProgressReport, Record, WorkerRecord};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
/// Expected duration of each task, in milliseconds.
const ESTIMATE_MS: u64 = 10_000;

/// A run, and the notice that its worker gives.
struct Case {
    step: Step,
    /// Time for which the run has gone on, in milliseconds.
    ran_ms: u64,
    /// Its progress then, if its agent has reported it.
    percent: Option<u32>,
    notice_ms: u64,
    /// Time from the last report to the round, in milliseconds.
    report_age_ms: u64,
}

/// Runs a case, and returns the status of the first task after the next rounds.
fn run_case(case: Case) -> TaskStatus {
    let mut status = TaskStatus::Waiting;
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, Step { estimate_ms: ESTIMATE_MS, ..case.step.clone() }));
        rig.plan();
        let instance = rig.instance_of(&task(JOB, 0));
        if let Some(percent) = case.percent {
            report(&mut rig, &instance, 0, 0);
            sleep(Duration::from_millis(case.ran_ms)).await;
            rig.wall += case.ran_ms;
            report(&mut rig, &instance, percent, case.ran_ms);
        }
        let record = WorkerRecord {
            draining: true,
            leaves_at: rig.wall + case.notice_ms,
            ..rig.table.workers[&instance].as_ref().clone()
        };
        rig.put(&Record::Worker(instance, Box::new(record)));
        sleep(Duration::from_millis(case.report_age_ms)).await;
        rig.wall += case.report_age_ms;
        rig.plan();
        status = rig.status_of(&task(JOB, 0));
    });
    status
}

fn report(rig: &mut PlannerRig, instance: &str, percent: u32, ran_ms: u64) {
    rig.progress.note_read(Instant::now());
    let others: Vec<String> = rig.table.workers.keys().cloned().collect();
    for worker in others {
        let runs =
            if worker == instance { vec![progress(JOB, 0, percent, ran_ms)] } else { Vec::new() };
        rig.progress.insert(&worker, ProgressReport { silent_ms: 0, runs }, Instant::now());
    }
}

fn checkpointing(step: Step) -> Step {
    Step { checkpointing: true, ..step }
}

/// By its own rate the remaining time of each run is 10 s less the time it has run, as its progress matches that.
#[rstest]
#[case::gang_in_its_last_third(gang(2, 8), 5_900, Some(54), 6_100)]
#[case::task_in_its_last_second(step(1, 1), 9_000, Some(90), 1_000)]
#[case::likely_to_end(step(1, 1), 5_000, Some(50), 6_000)]
#[case::sure_to_end_though_it_has_just_begun(step(1, 1), 1_000, Some(10), 14_000)]
#[case::sure_to_end_and_saves(checkpointing(step(1, 1)), 5_000, Some(50), 7_000)]
fn run_stays(
    #[case] step: Step,
    #[case] ran_ms: u64,
    #[case] percent: Option<u32>,
    #[case] notice_ms: u64,
) {
    let status = run_case(Case { step, ran_ms, percent, notice_ms, report_age_ms: 0 });
    assert_eq!(status, TaskStatus::Running);
}

#[rstest]
#[case::never_ends_in_time(step(1, 1), 5_000, Some(50), 3_000)]
#[case::has_just_begun(gang(2, 8), 1_000, Some(10), 9_500)]
#[case::not_reported_yet(step(1, 1), 0, None, 11_000)]
#[case::saves_what_it_has_done(checkpointing(step(1, 1)), 5_000, Some(50), 5_200)]
fn run_leaves(
    #[case] step: Step,
    #[case] ran_ms: u64,
    #[case] percent: Option<u32>,
    #[case] notice_ms: u64,
) {
    let status = run_case(Case { step, ran_ms, percent, notice_ms, report_age_ms: 0 });
    assert_eq!(status, TaskStatus::Stopping);
}

/// A run goes on between two reports, so its remaining time shrinks together with the notice.
#[test]
fn run_stays_while_no_report_comes() {
    let case = Case {
        step: gang(2, 8),
        ran_ms: 5_900,
        percent: Some(54),
        notice_ms: 6_100,
        report_age_ms: 1_400,
    };
    assert_eq!(run_case(case), TaskStatus::Running);
}
