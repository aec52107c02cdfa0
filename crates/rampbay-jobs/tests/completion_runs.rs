//! How long runs are expected to need still.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::job::Step;
use rampbay_jobs::planner::completion::{Estimate, Source};
use rampbay_jobs::record::{EndReason, Record, RunEnd, RunProgress};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::property::config;
use support::{job, run_in_virtual_time, step, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
/// Expected duration of the test jobs' tasks, in milliseconds.
const EXPECTED_MS: u64 = 5_000;

fn remaining(rig: &PlannerRig) -> Estimate {
    rig.ask(|view| view.remaining(&task(JOB, 0))).expect("it runs")
}

/// Starts a job on some workers of three to a rack.
fn rig_with(workers: usize, started: Step) -> PlannerRig {
    let mut rig = PlannerRig::of_workers(workers);
    rig.submit(job(JOB, 1, started));
    rig.plan();
    rig
}

async fn wait_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}

/// Before any report the forecast counts, less the time since the start was decided.
#[test]
fn remaining_by_forecast_before_reports() {
    run_in_virtual_time(async {
        let rig = rig_with(1, step(1, 8));
        wait_ms(2_000).await;
        let found = remaining(&rig);
        assert_eq!((found.ms, found.source), (EXPECTED_MS - 2_000, Source::Forecast));
    });
}

/// A new leader doesn't know when runs without reports started. It expects their whole duration, and takes their age from
/// the first report.
#[test]
fn remaining_after_takeover_by_forecast_alone() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        wait_ms(2_000).await;
        rig.take_over();
        rig.plan();
        let after = remaining(&rig);
        assert_eq!((after.ms, after.source), (EXPECTED_MS, Source::Forecast));
        rig.report("i-0", vec![progress(JOB, 0, 40, 2_000)]);
        assert_eq!(remaining(&rig).ms, EXPECTED_MS - 2_000);
    });
}

/// Once two reports give the run's own rate, it counts, whatever the forecast says.
#[test]
fn remaining_by_rate_after_two_reports() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        wait_ms(1_000).await;
        rig.report("i-0", vec![progress(JOB, 0, 10, 1_000)]);
        assert_eq!(remaining(&rig).source, Source::Forecast);
        wait_ms(1_000).await;
        rig.report("i-0", vec![progress(JOB, 0, 20, 2_000)]);
        let found = remaining(&rig);
        assert_eq!((found.ms, found.source), (8_000, Source::Rate));
        wait_ms(500).await;
        assert_eq!(remaining(&rig).ms, 7_500, "the run goes on between reports");
    });
}

/// Guards against a slow run that seems about to end because its expected duration has nearly passed, while its progress
/// shows that most of the work is left.
#[test]
fn remaining_not_below_what_progress_shows() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        wait_ms(4_500).await;
        rig.report("i-0", vec![progress(JOB, 0, 9, 4_500)]);
        assert_eq!(remaining(&rig).ms, EXPECTED_MS * 90 / 100);
    });
}

/// Guards against runs past their estimate that seem to end at once: room would be expected now, round after round.
#[test]
fn remaining_past_estimate_grows_with_delay() {
    run_in_virtual_time(async {
        let rig = rig_with(1, step(1, 8));
        wait_ms(EXPECTED_MS + 1_000).await;
        let soon = remaining(&rig);
        assert!(soon.ms > 500 && soon.ms < EXPECTED_MS, "{soon:?}");
        wait_ms(EXPECTED_MS * 4).await;
        let later = remaining(&rig);
        assert!(later.ms > soon.ms && later.late_ms > later.ms, "{later:?}");
        assert_eq!(later.early_ms, 0, "it may end at any time");
    });
}

/// Guards against reports that are lost at the end of a run: by its rate it should have ended.
#[test]
fn remaining_past_end_by_rate_above_zero() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        for second in 1..=4_u32 {
            wait_ms(1_000).await;
            rig.report("i-0", vec![progress(JOB, 0, second * 20, u64::from(second) * 1_000)]);
        }
        wait_ms(4_000).await;
        let found = remaining(&rig);
        assert!(found.ms > 0 && found.ms < 2_000, "{found:?}");
    });
}

/// A gang ends with its slowest member, also if the others are done and wait for it.
#[test]
fn remaining_of_gang_by_slowest_member() {
    run_in_virtual_time(async {
        let mut rig = rig_with(3, gang(3, 8));
        for second in 1..=4_u32 {
            wait_ms(1_000).await;
            for (index, rate) in [(0, 50), (1, 5), (2, 50)] {
                let instance = rig.instance_of(&task(JOB, index));
                let percent = (second * rate).min(100);
                let run = progress(JOB, index, percent, u64::from(second) * 1_000);
                rig.report(&instance, vec![run]);
            }
        }
        let found = remaining(&rig);
        assert_eq!((found.ms, found.source), (16_000, Source::Rate));
    });
}

/// A gang that was spread over racks although it wants one is expected to take longer by the remote penalty.
#[test]
fn remaining_of_spread_gang_with_penalty() {
    run_in_virtual_time(async {
        // Four workers can't be in one rack of three.
        let rig = rig_with(6, Step { same_rack: true, ..gang(4, 8) });
        assert_eq!(remaining(&rig).ms, EXPECTED_MS * 3);
    });
}

/// A run that continues from a checkpoint is expected to take the rest of the work and a restart, though it started in
/// the round in which the run before ended.
#[test]
fn remaining_of_run_from_checkpoint() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, Step { checkpointing: true, ..step(1, 8) });
        wait_ms(2_000).await;
        rig.report("i-0", vec![progress(JOB, 0, 40, 2_000)]);
        rig.put(&Record::Ended(Box::new(RunEnd {
            task: task(JOB, 0),
            attempt: 1,
            reason: EndReason::Stopped,
            checkpoint: "saved".to_owned(),
            instance: "i-0".to_owned(),
        })));
        rig.plan();
        assert_eq!(rig.latest_run(&task(JOB, 0)).0, 2, "it has started again");
        assert_eq!(remaining(&rig).ms, EXPECTED_MS * 60 / 100 + 250);
    });
}

/// A report that arrives, and by how much it may delay the expected end of the run, which does 10% a second and has been
/// reported at 1, 2 and 3 s, in milliseconds.
#[rstest]
#[case::timely(1_000, (40, 4_000), 0)]
#[case::late(3_000, (40, 4_000), 0)]
#[case::after_lost_ones(4_000, (70, 7_000), 0)]
#[case::repeated(100, (30, 3_000), 0)]
#[case::overtaken(500, (20, 2_000), 0)]
#[case::overtaken_without_progress(500, (30, 2_500), 0)]
#[case::without_progress(1_000, (30, 4_000), 1_000)]
#[case::with_less_progress(1_000, (12, 4_000), 1_000)]
#[case::of_restarted_agent(1_000, (40, 200), 0)]
#[case::of_restarted_agent_without_progress(1_000, (30, 200), 1_000)]
#[case::of_restarted_agent_with_less_progress(1_000, (20, 200), 0)]
fn report_delays_end_by_no_more_than_its_interval(
    #[case] after_ms: u64,
    #[case] (percent, ran_ms): (u32, u64),
    #[case] delay_ms: u64,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_with(1, step(1, 8));
        for second in 1..=3_u32 {
            wait_ms(1_000).await;
            rig.report("i-0", vec![progress(JOB, 0, second * 10, u64::from(second) * 1_000)]);
        }
        wait_ms(after_ms).await;
        let before = remaining(&rig).ms;
        rig.report("i-0", vec![progress(JOB, 0, percent, ran_ms)]);
        let after = remaining(&rig);
        assert_eq!(after.ms, before + delay_ms);
        assert_eq!(after.source, Source::Rate);
    });
}

/// Guards against a run that seems several times as long because it stalled for some seconds, as tasks do that then
/// continue: its rate afterwards is that from before.
#[test]
fn rate_of_run_after_stall_as_before() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        let percents = [10, 20, 30, 30, 30, 30, 30, 30, 31, 41];
        for (second, percent) in percents.into_iter().enumerate() {
            wait_ms(1_000).await;
            let ran_ms = (second as u64 + 1) * 1_000;
            rig.report("i-0", vec![progress(JOB, 0, percent, ran_ms)]);
        }
        assert_eq!(remaining(&rig).ms, 5_900);
    });
}

/// A run that has become slower for good is expected to take longer, though it seems to stall at first.
#[test]
fn rate_of_slower_run_learned() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        let mut percent = 0;
        for second in 1..=12_u32 {
            wait_ms(1_000).await;
            // A tenth of the rate, reported every third second.
            percent = if second <= 3 { second * 10 } else { 30 + (second - 3) / 3 };
            rig.report("i-0", vec![progress(JOB, 0, percent, u64::from(second) * 1_000)]);
        }
        let left_ms = u64::from(100 - percent) * 3_000;
        let found = remaining(&rig).ms;
        assert!(found > left_ms / 2, "{found} of {left_ms}");
    });
}

/// A worker that is gone takes its runs out of the estimate.
#[test]
fn remaining_unknown_of_run_on_gone_worker() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        rig.remove_worker("i-0");
        rig.plan();
        assert_eq!(rig.ask(|view| view.remaining(&task(JOB, 0))), None);
    });
}

/// A run that an agent lists under another attempt isn't the one that is asked for.
#[test]
fn remaining_without_progress_of_earlier_run() {
    run_in_virtual_time(async {
        let mut rig = rig_with(1, step(1, 8));
        for second in 1..=2_u32 {
            wait_ms(1_000).await;
            let run = progress(JOB, 0, second * 40, u64::from(second) * 1_000);
            rig.report("i-0", vec![RunProgress { attempt: 7, ..run }]);
        }
        let found = remaining(&rig);
        assert_eq!((found.ms, found.source), (EXPECTED_MS - 2_000, Source::Forecast));
    });
}

proptest! {
    #![proptest_config(config(200))]

    /// Whatever the agents report, an estimate lies within its range and is finite.
    #[test]
    fn remaining_within_its_range(
        reports in prop::collection::vec((0..3_000_u64, 0..=100_u32, 0..20_000_u64), 0..8),
    ) {
        let mut estimates = Vec::new();
        run_in_virtual_time(async {
            let mut rig = rig_with(1, step(1, 8));
            estimates.push(remaining(&rig));
            for &(after_ms, percent, ran_ms) in &reports {
                wait_ms(after_ms).await;
                rig.report("i-0", vec![progress(JOB, 0, percent, ran_ms)]);
                estimates.push(remaining(&rig));
            }
        });
        for found in estimates {
            prop_assert!(found.early_ms <= found.ms && found.ms <= found.late_ms, "{found:?}");
            prop_assert!(found.late_ms < 1_000 * 3_600 * 24, "{found:?}");
        }
    }
}
