//! How long tasks are expected to take on given workers.

mod support;

use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::planner::completion::{Estimate, Source};
use rampbay_jobs::record::{EndReason, Record, RunEnd, RunProgress};
use rampbay_jobs::settings::Settings;
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, settings, step, task, worker_record};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
/// Expected duration of the test jobs' tasks, in milliseconds.
const EXPECTED_MS: u64 = 5_000;

/// Submits a job that no worker can hold, so that it waits, and returns how long it would take on some workers.
fn duration(rig: &mut PlannerRig, waiting: Step, workers: &[&str]) -> Estimate {
    let too_large = Step { required_label: "none".to_owned(), ..waiting };
    rig.submit(job(OTHER, 1, too_large));
    rig.plan();
    let workers: Vec<String> = workers.iter().map(|name| (*name).to_owned()).collect();
    let workers: Vec<&String> = workers.iter().collect();
    rig.ask(|view| view.duration(&OTHER.to_owned(), 0, &workers)).expect("the step waits")
}

/// Measures the speeds of two workers, of which the second one is faster by the ratio of the rates.
async fn measure_speeds(rig: &mut PlannerRig, rates: (u32, u32)) {
    rig.submit(job(JOB, 1, step(3, 3)));
    rig.plan();
    for second in 0..8_u32 {
        sleep(Duration::from_secs(1)).await;
        let run = |index, rate| progress(JOB, index, second * rate, u64::from(second) * 1000);
        rig.report("i-0", vec![run(0, rates.0), run(1, rates.0)]);
        rig.report("i-1", vec![run(2, rates.1)]);
        rig.plan();
    }
}

/// A leader without measured speeds answers from the forecast alone.
#[test]
fn duration_by_forecast_of_unknown_workers() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        let found = duration(&mut rig, step(2, 8), &["i-0", "i-2"]);
        assert_eq!((found.ms, found.source), (EXPECTED_MS, Source::Forecast));
        assert!(found.early_ms < EXPECTED_MS && found.late_ms > EXPECTED_MS, "{found:?}");
    });
}

/// Guards against a gang that is expected to end by the speed of its first or average worker: it ends with its slowest
/// member.
#[test]
fn duration_by_slowest_worker() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        measure_speeds(&mut rig, (6, 12)).await;
        let on = |rig: &mut PlannerRig, workers: &[&str]| duration(rig, gang(2, 1), workers).ms;
        let (slow, fast) = (on(&mut rig, &["i-0"]), on(&mut rig, &["i-1"]));
        assert!(slow.abs_diff(2 * fast) <= 10, "twice as slow: {slow} and {fast}");
        assert!(slow > EXPECTED_MS && fast < EXPECTED_MS, "the average worker lies between");
        assert_eq!(on(&mut rig, &["i-1", "i-0"]), slow);
    });
}

/// Where the speed of a worker isn't known, the answer is less sure.
#[test]
fn duration_range_wider_on_unknown_worker() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        measure_speeds(&mut rig, (10, 10)).await;
        let (known, unknown) =
            (duration(&mut rig, gang(2, 1), &["i-0"]), duration(&mut rig, gang(2, 1), &["i-2"]));
        assert_eq!(known.ms, unknown.ms);
        assert!(unknown.early_ms < known.early_ms && unknown.late_ms > known.late_ms);
    });
}

/// Guards against speeds that are forgotten once work is placed on the fastest workers only: compared with each other
/// they all seem average.
#[test]
fn slowness_kept_among_equally_fast_workers() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        measure_speeds(&mut rig, (6, 12)).await;
        let before = duration(&mut rig, gang(2, 1), &["i-1"]).ms;
        (0..3).for_each(|index| rig.end(&task(JOB, index), EndReason::Done));
        rig.plan();
        rig.submit(job("00000000000000cc", 1, step(4, 2)));
        rig.plan();
        for second in 0..40_u32 {
            sleep(Duration::from_secs(1)).await;
            let run = |index| RunProgress {
                task: task("00000000000000cc", index),
                ..progress(JOB, index, second * 2, u64::from(second) * 1000)
            };
            rig.report("i-1", vec![run(0), run(1)]);
            rig.report("i-0", vec![]);
            rig.report("i-2", vec![run(2)]);
            rig.plan();
        }
        let after = duration(&mut rig, gang(2, 1), &["i-1"]).ms;
        assert!(after.abs_diff(before) <= EXPECTED_MS / 100, "{before} before, {after} after");
    });
}

/// A run that stalls for some reports must not make its worker count as slow for long.
#[test]
fn slowness_not_measured_by_stalled_run() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        measure_speeds(&mut rig, (10, 10)).await;
        for second in 8..11_u32 {
            sleep(Duration::from_secs(1)).await;
            let run = |index, percent| progress(JOB, index, percent, u64::from(second) * 1000);
            rig.report("i-0", vec![run(0, second * 9), run(1, second * 9)]);
            rig.report("i-1", vec![run(2, 70)]);
            rig.plan();
        }
        assert_eq!(duration(&mut rig, step(1, 1), &["i-1"]).ms, EXPECTED_MS);
    });
}

/// Work away from its data, or spread over racks although it wants one, takes longer by the remote penalty, and by no
/// more if both hold.
#[rstest]
#[case::near("r0", false, &["i-0", "i-1"], 1)]
#[case::away_from_data("r0", false, &["i-0", "i-3"], 3)]
#[case::in_one_rack("", true, &["i-0", "i-1"], 1)]
#[case::spread("", true, &["i-0", "i-3"], 3)]
#[case::spread_as_allowed("", false, &["i-0", "i-3"], 1)]
#[case::both("r0", true, &["i-0", "i-3"], 3)]
fn duration_with_remote_penalty(
    #[case] data_rack: &str,
    #[case] same_rack: bool,
    #[case] workers: &[&str],
    #[case] factor: u64,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(4);
        let waiting = Step { data_rack: data_rack.to_owned(), same_rack, ..gang(2, 1) };
        assert_eq!(duration(&mut rig, waiting, workers).ms, EXPECTED_MS * factor);
    });
}

/// A worker that is gone between the choice and the answer counts as an average one, and not as remote.
#[test]
fn duration_on_gone_worker_by_forecast() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        let waiting = Step { same_rack: true, ..gang(2, 1) };
        assert_eq!(duration(&mut rig, waiting, &["i-0", "i-9"]).ms, EXPECTED_MS);
    });
}

/// Runs a checkpointing task to 60%, saves a checkpoint and stops it. `listed` is the progress at which reports list the
/// checkpoint.
async fn run_to_checkpoint(rig: &mut PlannerRig, listed: Option<u32>) {
    rig.submit(job(JOB, 1, Step { checkpointing: true, ..step(1, 8) }));
    rig.plan();
    for second in 1..4_u32 {
        sleep(Duration::from_secs(1)).await;
        let percent = second * 20;
        let checkpoint = if listed.is_some_and(|at| percent >= at) { "saved" } else { "" };
        let run = progress(JOB, 0, percent, u64::from(second) * 1000);
        rig.report("i-0", vec![RunProgress { checkpoint: checkpoint.to_owned(), ..run }]);
        rig.plan();
    }
    let (attempt, instance) = rig.latest_run(&task(JOB, 0));
    // Nothing may start again, so that the task waits.
    rig.put(&Record::Worker("i-0".to_owned(), Box::new(worker_record("side", "r0", 0))));
    rig.put(&Record::Ended(Box::new(RunEnd {
        task: task(JOB, 0),
        attempt,
        reason: EndReason::Stopped,
        checkpoint: "saved".to_owned(),
        instance,
    })));
    rig.plan();
}

/// A task with a checkpoint needs the rest of its work and a restart. What the checkpoint holds is known by the progress
/// at which it was first reported, or by the last progress if it was saved at the stop; also long after the reports of
/// the ended run are forgotten.
#[rstest]
#[case::listed(Some(40), EXPECTED_MS * 6 / 10)]
#[case::saved_at_stop(None, EXPECTED_MS * 4 / 10)]
fn duration_less_checkpoint(#[case] listed: Option<u32>, #[case] work_ms: u64) {
    const RESTORE_MS: u64 = 250;
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1);
        run_to_checkpoint(&mut rig, listed).await;
        let worker = "i-0".to_owned();
        let ask = |rig: &PlannerRig| {
            rig.ask(|view| view.duration(&JOB.to_owned(), 0, &[&worker])).expect("it waits").ms
        };
        assert_eq!(ask(&rig), work_ms + RESTORE_MS);
        for _ in 0..50 {
            sleep(Duration::from_secs(1)).await;
            rig.report("i-0", vec![]);
            rig.plan();
        }
        assert_eq!(ask(&rig), work_ms + RESTORE_MS);
    });
}

/// A new leader doesn't know what a checkpoint holds. It expects the whole work, and a restart.
#[test]
fn duration_with_unknown_checkpoint() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        run_to_checkpoint(&mut rig, Some(20)).await;
        rig.take_over();
        rig.plan();
        let worker = "i-0".to_owned();
        let found = rig.ask(|view| view.duration(&JOB.to_owned(), 0, &[&worker]));
        assert_eq!(found.expect("it waits").ms, EXPECTED_MS + 250);
    });
}

/// A restart that takes less than no time, or hours, would make every estimate useless. It is rejected at start.
#[rstest]
#[case::negative(-1.0)]
#[case::above_an_hour(3_600_001.0)]
#[case::no_number(f64::NAN)]
fn settings_with_unusable_restore_time_rejected(#[case] restore_ms: f64) {
    let checked = Settings { restore_ms, ..settings() }.check();
    let message = checked.expect_err("the value is out of range").to_string();
    assert!(message.contains("restore_ms"), "{message}");
}
