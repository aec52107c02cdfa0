//! The pace of runs under reports that are late, lost, repeated, out of order, or from restarted agents.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::planner::completion::pace::{Pace, by_rate_ms};
use rampbay_jobs::record::RunProgress;
use support::planner::progress;
use support::property::config;
use tokio::time::Instant;

/// Time between two reports, in milliseconds.
const INTERVAL_MS: u64 = 1_000;
/// Rates, in percent a second, at which the progress of each report is a whole percent.
const EVEN_RATES: [u32; 4] = [1, 2, 5, 10];
/// Longest time that a timely report is under way, in milliseconds. Times of reports are known up to that.
const USUAL_DELAY_MS: u64 = 250;
/// Time for which a restarted agent doesn't know of the run, in milliseconds.
const RESTART_MS: u64 = 600;

/// What becomes of a report.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Arrives {
        delay_ms: u64,
    },
    ArrivesTwice {
        delay_ms: u64,
        again_ms: u64,
    },
    IsLost,
    /// It arrives, and shows less progress than an earlier one.
    Contradicts {
        missing: u32,
    },
}

/// What goes wrong with the reports on a run; one kind of fault each, as several at once can't be told apart.
#[derive(Clone, Debug)]
struct Disturbance {
    fates: Vec<Fate>,
    /// Number of the last report before the agent is restarted.
    restart: u64,
}

fn timely() -> impl Strategy<Value = Fate> + Clone {
    (0..USUAL_DELAY_MS).prop_map(|delay_ms| Fate::Arrives { delay_ms })
}

/// Draws faults of one kind among timely reports.
fn faults(fault: impl Strategy<Value = Fate> + Clone + 'static) -> BoxedStrategy<Disturbance> {
    let fate = prop_oneof![timely(), fault];
    let fates = prop::collection::vec(fate, 3..9);
    fates.prop_map(|fates| Disturbance { fates, restart: u64::MAX }).boxed()
}

fn disturbance() -> impl Strategy<Value = Disturbance> {
    let restart = (prop::collection::vec(timely(), 3..9), 1..9_u64);
    prop_oneof![
        faults((0..6_000_u64).prop_map(|delay_ms| Fate::Arrives { delay_ms })),
        faults(Just(Fate::IsLost)),
        faults(
            (0..USUAL_DELAY_MS, 0..6_000_u64)
                .prop_map(|(delay_ms, again_ms)| Fate::ArrivesTwice { delay_ms, again_ms })
        ),
        faults((1..30_u32).prop_map(|missing| Fate::Contradicts { missing })),
        restart.prop_map(|(fates, restart)| Disturbance { fates, restart }),
    ]
}

/// A report, and when it was made and arrives, in milliseconds since the start of the run.
#[derive(Clone, Debug)]
struct Arrival {
    made_ms: u64,
    at_ms: u64,
    report: RunProgress,
}

/// Returns the reports on a run that goes on at an even rate, in the order of their arrival. The agent is restarted
/// after report `restart`, and counts the run's time anew.
fn arrivals(rate: u32, disturbance: &Disturbance) -> Vec<Arrival> {
    let Disturbance { fates, restart } = disturbance;
    let mut arrivals: Vec<Arrival> = Vec::new();
    for (number, fate) in (1_u64..).zip(fates) {
        let made_ms = number * INTERVAL_MS;
        let percent = rate * u32::try_from(number).expect("a short run");
        let counted_from = if number > *restart { restart * INTERVAL_MS + RESTART_MS } else { 0 };
        let report = progress("00000000000000aa", 0, percent, made_ms - counted_from);
        let arrival = |at_ms| Arrival { made_ms, at_ms, report: report.clone() };
        match *fate {
            Fate::Arrives { delay_ms } => arrivals.push(arrival(made_ms + delay_ms)),
            Fate::ArrivesTwice { delay_ms, again_ms } => {
                arrivals.push(arrival(made_ms + delay_ms));
                arrivals.push(arrival(made_ms + delay_ms + again_ms));
            }
            Fate::IsLost => {}
            Fate::Contradicts { missing } => {
                let earlier = arrivals.iter().filter(|earlier| earlier.at_ms < made_ms);
                let shown = earlier.map(|earlier| earlier.report.percent).max().unwrap_or(0);
                let percent = shown.saturating_sub(missing);
                let report = RunProgress { percent, ..report };
                arrivals.push(Arrival { made_ms, at_ms: made_ms, report });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Returns the expected end of a run, in milliseconds since its start, once its rate is known.
fn end_ms(pace: &Pace, started: Instant, now: Instant) -> Option<u64> {
    let left_ms = by_rate_ms(pace.percent(), pace.percent_per_s()?);
    let observed = now - pace.observed_ago(now) - started;
    Some(observed.as_millis() as u64 + left_ms)
}

proptest! {
    #![proptest_config(config(400))]

    /// Guards against estimates that jump back by seconds because a report was late, lost, repeated, out of order or
    /// contradictory, or because the agent was restarted. The time since the newest report before bounds the jump.
    #[test]
    fn disturbed_reports_delay_end_by_no_more_than_their_interval(
        rate in prop::sample::select(&EVEN_RATES[..]),
        disturbance in disturbance(),
    ) {
        let started = Instant::now();
        // The run is first reported on time.
        let mut pace = Pace::begin(&progress("00000000000000aa", 0, 0, 0), started);
        let (mut last_made_ms, mut last_at_ms) = (0, 0);
        let mut known_end = None;
        for Arrival { made_ms, at_ms, report } in arrivals(rate, &disturbance) {
            let now = started + Duration::from_millis(at_ms);
            pace = pace.after(&report, now);
            let end = end_ms(&pace, started, now);
            let since_ms = (at_ms - last_at_ms).max(made_ms.saturating_sub(last_made_ms));
            if let (Some(before), Some(after)) = (known_end, end) {
                prop_assert!(
                    after <= before + since_ms.max(INTERVAL_MS) + USUAL_DELAY_MS,
                    "the end moved from {before} to {after} after {since_ms}: {report:?}"
                );
            }
            known_end = end;
            if made_ms > last_made_ms {
                (last_made_ms, last_at_ms) = (made_ms, at_ms);
            }
        }
    }

    /// The rate is off by no more than what the rounding of the progress to whole percents explains.
    #[test]
    fn rate_within_rounding(
        whole_ms in 4_000..120_000_u64,
        first_ms in 0..1_000_u64,
        reports in 2..12_u64,
    ) {
        let started = Instant::now();
        let times = (0..reports).map(|number| first_ms + number * INTERVAL_MS);
        let mut pace: Option<Pace> = None;
        for ran_ms in times.filter(|ran_ms| *ran_ms < whole_ms) {
            let percent = u32::try_from(ran_ms * 100 / whole_ms).expect("a share");
            let report = progress("00000000000000aa", 0, percent, ran_ms);
            let at = started + Duration::from_millis(ran_ms);
            pace = Some(pace.map_or_else(|| Pace::begin(&report, at), |pace| pace.after(&report, at)));
        }
        let pace = pace.expect("a report");
        if let Some(rate) = pace.percent_per_s() {
            let actual = 100_000.0 / whole_ms as f64;
            let error = (rate / actual - 1.0).abs();
            // The rate's own deviation is relative to the measured progress, which may be a percent less than the actual.
            prop_assert!(error <= 1.01 * pace.rounding() / (1.0 - pace.rounding()).max(0.5) + 1e-9, "{error} {pace:?}");
        }
    }
}

/// A single report gives no rate.
#[test]
fn rate_unknown_after_one_report() {
    let pace = Pace::begin(&progress("00000000000000aa", 0, 10, 500), Instant::now());
    assert_eq!((pace.percent(), pace.percent_per_s()), (10, None));
}

/// Guards against a run whose clock jumps ahead: the last report of an agent process that was replaced arrives after the
/// first one of its successor.
#[test]
fn report_of_replaced_agent_ignored() {
    let started = Instant::now();
    let after = |pace: Pace, (at_ms, percent, ran_ms)| {
        let report = progress("00000000000000aa", 0, percent, ran_ms);
        pace.after(&report, started + Duration::from_millis(at_ms))
    };
    let reports = [(1_000, 10, 1_000), (2_000, 20, 2_000), (4_000, 40, 200)];
    let pace = Pace::begin(&progress("00000000000000aa", 0, 0, 0), started);
    let pace = reports.into_iter().fold(pace, after);
    assert_eq!(after(pace, (4_100, 30, 3_000)), pace);
}

/// Guards against a rate that is several times too high: the agent is restarted so soon after the first report that it then
/// counts more time than before.
#[test]
fn rate_of_young_run_after_restart_of_agent() {
    let started = Instant::now();
    let reports = [(300, 1, 300), (1_900, 9, 400), (2_900, 14, 1_400)];
    let mut pace = Pace::begin(&progress("00000000000000aa", 0, 0, 0), started);
    for (at_ms, percent, ran_ms) in reports {
        let report = progress("00000000000000aa", 0, percent, ran_ms);
        pace = pace.after(&report, started + Duration::from_millis(at_ms));
    }
    assert_eq!(pace.percent_per_s(), Some(5.0));
}
