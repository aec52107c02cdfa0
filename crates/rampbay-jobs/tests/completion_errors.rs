//! The error of the estimates, observed at the ends of runs, and the ranges that follow from it.

mod support;

use std::sync::Mutex;
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::metrics::metrics;
use rampbay_jobs::planner::completion::Estimate;
use rampbay_jobs::planner::completion::spread::ErrorSpreads;
use rampbay_jobs::record::EndReason;
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const WAITING: &str = "00000000000000cc";
/// Expected duration of the test jobs' tasks, in milliseconds.
const EXPECTED_MS: u64 = 5_000;
/// Number of ended units from which the measured errors count.
const ENOUGH: u32 = 10;

/// Metrics are kept for the whole process, so only one test at a time reads them.
static COUNTING: Mutex<()> = Mutex::new(());

/// Returns the number of observed errors and the sum of the ratios for a source.
fn observed(source: &str) -> (u64, f64) {
    let text = metrics().render();
    let value = |kind: &str| {
        let name = format!("rampbay_estimate_error_ratio_{kind}{{source=\"{source}\"}} ");
        let line = text.lines().find_map(|line| line.strip_prefix(name.as_str()));
        line.map_or(0.0, |value| value.parse::<f64>().expect("a number"))
    };
    (value("count") as u64, value("sum"))
}

/// Runs a test and returns how many errors of a source it observed, and the mean ratio.
fn observed_in(source: &str, test: impl Future<Output = ()>) -> (u64, f64) {
    let _guard = COUNTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let before = observed(source);
    run_in_virtual_time(test);
    let after = observed(source);
    let count = after.0 - before.0;
    (count, (after.1 - before.1) / count.max(1) as f64)
}

/// Sums of ratios are kept in floating point, so that a difference of two isn't exact.
fn assert_observed(found: (u64, f64), count: u64, ratio: f64) {
    assert!(found.0 == count && (found.1 - ratio).abs() < 1e-9, "{found:?}");
}

async fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// The ratio is that of the time since the start was decided to the forecast, once for each single run.
#[test]
fn forecast_error_of_single_runs_observed() {
    let found = observed_in("forecast", async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(2, 8)));
        rig.plan();
        wait_ms(EXPECTED_MS * 3 / 2).await;
        (0..2).for_each(|index| rig.end(&task(JOB, index), EndReason::Done));
        rig.plan();
    });
    assert_observed(found, 2, 1.5);
}

/// A gang is observed once, at the first of its ends. Guards against wide gangs that count as many times as they have
/// members.
#[test]
fn forecast_error_of_gang_observed_once() {
    let found = observed_in("forecast", async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 0, gang(3, 8)));
        rig.plan();
        wait_ms(EXPECTED_MS).await;
        // By the reports the other members still run after the first end.
        for index in 0..3 {
            let instance = rig.instance_of(&task(JOB, index));
            rig.report(&instance, vec![progress(JOB, index, 99, EXPECTED_MS)]);
        }
        for index in 0..3 {
            rig.end(&task(JOB, index), EndReason::Done);
            rig.plan();
            wait_ms(100).await;
        }
    });
    assert_observed(found, 1, 1.0);
}

/// Runs that didn't do their work say nothing of durations; neither do ends of earlier runs.
#[rstest]
#[case::failed(EndReason::Failed)]
#[case::stopped(EndReason::Stopped)]
#[case::not_started(EndReason::NotStarted)]
fn error_of_unfinished_run_not_observed(#[case] reason: EndReason) {
    let found = observed_in("forecast", async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        wait_ms(EXPECTED_MS).await;
        rig.end(&task(JOB, 0), reason);
        rig.plan();
    });
    assert_eq!(found.0, 0);
}

/// A run that is started again is measured from its own start.
#[test]
fn error_of_second_run_from_its_own_start() {
    let found = observed_in("forecast", async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        wait_ms(3_000).await;
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.plan();
        wait_ms(EXPECTED_MS).await;
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
    });
    assert_observed(found, 1, 1.0);
}

/// The first estimate by the rate is compared with the whole time, also for runs that an earlier leader started.
#[rstest]
#[case::same_leader(false)]
#[case::new_leader(true)]
fn rate_error_observed(#[case] new_leader: bool) {
    let found = observed_in("rate", async move {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        wait_ms(1_000).await;
        if new_leader {
            rig.take_over();
        }
        // By the rate 8 s in all, but it takes 10.
        for second in 2..=4_u32 {
            wait_ms(1_000).await;
            let percent = second * 100 / 8;
            rig.report("i-0", vec![progress(JOB, 0, percent, u64::from(second) * 1_000)]);
        }
        wait_ms(6_000).await;
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
    });
    assert_eq!(found.0, 1);
    assert!((1.15..1.35).contains(&found.1), "{found:?}");
}

/// Ends a number of jobs of one queue, each of which takes a given time.
async fn end_jobs(rig: &mut PlannerRig, count: u32, took_ms: u64) {
    for number in 0..count {
        let id = format!("{number:016x}");
        rig.submit(job(&id, 1, step(1, 8)));
        rig.plan();
        wait_ms(took_ms).await;
        rig.end(&task(&id, 0), EndReason::Done);
        rig.plan();
    }
}

/// Returns how long a job of the same queue is expected to take at a worker.
fn expected(rig: &mut PlannerRig) -> Estimate {
    let label = "none".to_owned();
    rig.submit(job(WAITING, 1, Step { required_label: label, ..step(1, 8) }));
    rig.plan();
    let worker = "i-0".to_owned();
    rig.ask(|view| view.duration(&WAITING.to_owned(), 0, &[&worker])).expect("the step waits")
}

const fn width(estimate: Estimate) -> u64 {
    estimate.late_ms - estimate.early_ms
}

/// Once enough runs of a queue have ended, the range follows from their errors. A new leader, which hasn't seen them,
/// answers with the same time and says that it is less sure.
#[test]
fn range_after_takeover_wider() {
    let _guard = COUNTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        end_jobs(&mut rig, ENOUGH, EXPECTED_MS * 11 / 10).await;
        let before = expected(&mut rig);
        rig.take_over();
        rig.plan();
        let after = expected(&mut rig);
        assert_eq!((before.ms, after.ms), (EXPECTED_MS, EXPECTED_MS));
        assert!(after.early_ms < before.early_ms && after.late_ms > before.late_ms);
    });
}

/// A queue whose estimates are far off gets a wider range, and other queues don't.
#[test]
fn range_by_errors_of_queue() {
    let mut spreads = ErrorSpreads::default();
    let [wrong, right, other] = ["wrong", "right", "other"].map(str::to_owned);
    for number in 0..ENOUGH {
        let factor = if number % 2 == 0 { 3 } else { 1 };
        spreads.add_forecast(&wrong, EXPECTED_MS * factor, EXPECTED_MS);
        spreads.add_forecast(&right, EXPECTED_MS * 101 / 100, EXPECTED_MS);
    }
    let range = |queue: &String| {
        let spread = spreads.of_forecasts(queue, 0.0);
        (spread.early_ms(EXPECTED_MS), spread.late_ms(EXPECTED_MS))
    };
    let unknown = range(&other);
    assert!(range(&wrong).0 < unknown.0 && range(&wrong).1 > unknown.1);
    assert!(range(&right).0 > unknown.0 && range(&right).1 < unknown.1);
    assert!(range(&right).0 < EXPECTED_MS && range(&right).1 > EXPECTED_MS, "nothing is certain");
}

/// Before enough runs have ended, the spread of the callers' estimates counts, and at least a quarter.
#[rstest]
#[case::none(0, 0.0, 0.25)]
#[case::scattered_estimates(0, 0.8, 0.8)]
#[case::one_missing(ENOUGH - 1, 0.0, 0.25)]
#[case::enough(ENOUGH, 0.8, 0.05)]
fn range_before_enough_runs_by_estimates(
    #[case] ended: u32,
    #[case] of_estimates: f64,
    #[case] deviation: f64,
) {
    const RANGE_DEVIATIONS: f64 = 1.645;
    let mut spreads = ErrorSpreads::default();
    let queue = "queue".to_owned();
    (0..ended).for_each(|_| spreads.add_forecast(&queue, EXPECTED_MS, EXPECTED_MS));
    let found = spreads.of_forecasts(&queue, of_estimates).half_width();
    assert!((found - deviation * RANGE_DEVIATIONS).abs() < 1e-9, "{found}");
}

/// The estimates of a queue with widely scattered estimates have wider ranges.
#[test]
fn range_by_scatter_of_estimates() {
    let _guard = COUNTING.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        let alike = width(expected(&mut rig));
        for (index, estimate_ms) in [500, 1_500, 5_000, 15_000, 50_000].into_iter().enumerate() {
            let estimated = job(&format!("{index:016x}"), 1, Step { estimate_ms, ..step(1, 8) });
            rig.submit(Submission { first_run_ms: u64::MAX / 2, occurrences: 1, ..estimated });
        }
        rig.plan();
        assert!(width(expected(&mut rig)) > 2 * alike);
    });
}

/// A run that hung for minutes doesn't widen the range of its queue for good.
#[test]
fn range_after_single_outlier_bounded() {
    let mut spreads = ErrorSpreads::default();
    let queue = "queue".to_owned();
    (0..100).for_each(|_| spreads.add_forecast(&queue, EXPECTED_MS, EXPECTED_MS));
    spreads.add_forecast(&queue, EXPECTED_MS * 1_000, EXPECTED_MS);
    let late_ms = spreads.of_forecasts(&queue, 0.0).late_ms(EXPECTED_MS);
    assert!(late_ms < EXPECTED_MS * 2, "{late_ms}");
}
