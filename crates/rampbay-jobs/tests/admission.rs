//! Which jobs are refused by an outlook: only those that certainly can't be served.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::admission::{Decision, RefusalReason, RetryAfter, decide};
use rampbay_jobs::job::{Resources, Step, Submission};
use rampbay_jobs::outlook::room::{HORIZONS_MS, HeldDevices, Slots, slots_at_horizons};
use rampbay_jobs::outlook::{LargestGang, Outlook, PriorityOutlook, ServiceOutlook, WorkerShape};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::outlook::{outlook, room_from};
use support::planner::gang;
use support::property::config;
use support::{job, step};

const JOB: &str = "00000000000000aa";
/// Time from which there is room so late that no job of the tests ends in time. Three times the objective is 46.5 s at
/// the late end of the range: an estimate of 5 s, which may be 1.5 times as long, twice that and 0.5 s.
const TOO_LATE_MS: u64 = 64_000;
const FRESH: Duration = Duration::from_millis(500);

fn decide_now(outlook: &Outlook, age: Duration, submission: &Submission) -> Decision {
    decide(Some(outlook), age, submission, submission.submitted_at)
}

fn reason(decision: Decision) -> Option<RefusalReason> {
    match decision {
        Decision::Admit => None,
        Decision::Refuse { reason, .. } => Some(reason),
    }
}

fn of_label(label: &str, step: Step) -> Step {
    Step { required_label: label.to_owned(), ..step }
}

/// A job that could never start would wait for good; a missing check lets it in.
#[rstest]
#[case::label(of_label("none", step(1, 1)), RefusalReason::NoSuchLabel)]
#[case::accelerators(step(1, 9), RefusalReason::TaskTooLarge)]
#[case::processors(
    Step { demand: Resources { cpu_milli: 128_001, ..Resources::default() }, ..step(1, 0) },
    RefusalReason::TaskTooLarge
)]
#[case::wide_gang(gang(7, 8), RefusalReason::GangTooWide)]
#[case::wide_gang_of_label(of_label("r1", gang(4, 8)), RefusalReason::GangTooWide)]
#[case::gang_with_limit(Step { max_per_worker: 1, ..gang(7, 1) }, RefusalReason::GangTooWide)]
fn never_fits_refused(#[case] step: Step, #[case] expected: RefusalReason) {
    let decision = decide_now(&outlook(0), FRESH, &job(JOB, 1, step));
    let refused =
        Decision::Refuse { reason: expected, expected_ms: None, retry_after: RetryAfter::LONGEST };
    assert_eq!(decision, refused);
}

/// A later step that never fits holds the job up for good as well, after the earlier ones have used the fleet in vain.
#[test]
fn never_fits_later_step_refused() {
    let later = Step { depends_on: vec![0], ..gang(7, 8) };
    let submission = Submission { steps: vec![step(1, 1), later], ..job(JOB, 1, step(1, 1)) };
    let decision = decide_now(&outlook(0), FRESH, &submission);
    assert_eq!(reason(decision), Some(RefusalReason::GangTooWide));
}

/// Guards against refusals of work that just fits.
#[rstest]
#[case::whole_worker(step(1, 8))]
#[case::whole_fleet(gang(6, 8))]
#[case::whole_rack(of_label("r1", gang(3, 8)))]
#[case::kind(of_label("a", gang(6, 8)))]
#[case::wider_than_rack(Step { same_rack: true, ..gang(6, 8) })]
#[case::tasks_one_after_the_other(step(500, 8))]
#[case::limit_one_after_the_other(Step { max_per_worker: 1, ..step(500, 1) })]
#[case::fills(Step { fills: true, demand: Resources { cpu_milli: 900_000, ..Resources::default() }, ..step(1, 0) })]
#[case::no_tasks(Step { count: 0, ..step(1, 9) })]
fn just_fits_admitted(#[case] step: Step) {
    assert_eq!(decide_now(&outlook(0), FRESH, &job(JOB, 1, step)), Decision::Admit);
}

/// Work that gets room only when its caller no longer wants it is refused, with the time at which room is expected.
#[rstest]
#[case::gang(gang(2, 8))]
#[case::task(step(5, 3))]
fn no_room_in_time_refused(#[case] step: Step) {
    let decision = decide_now(&outlook(TOO_LATE_MS), FRESH, &job(JOB, 1, step));
    let expected_ms = Some(TOO_LATE_MS - 500);
    let retry_after = RetryAfter::expected(TOO_LATE_MS - 500);
    let reason = RefusalReason::NoRoomInTime;
    assert_eq!(decision, Decision::Refuse { reason, expected_ms, retry_after });
}

/// Guards against refusals of work that may yet be served.
#[rstest]
#[case::room_in_time(outlook(48_000), job(JOB, 1, gang(2, 8)))]
#[case::higher_estimate(outlook(TOO_LATE_MS), job(JOB, 1, Step { estimate_ms: 6_000, ..gang(2, 8) }))]
#[case::estimate_below_mean(outlook(48_000), job(JOB, 1, Step { estimate_ms: 1, ..gang(2, 8) }))]
#[case::no_accelerators(outlook(TOO_LATE_MS), job(JOB, 1, step(1, 0)))]
#[case::unknown_priority(outlook(TOO_LATE_MS), job(JOB, 3, gang(2, 8)))]
#[case::huge_estimate(outlook(TOO_LATE_MS), job(JOB, 1, Step { estimate_ms: u64::MAX, ..gang(2, 8) }))]
#[case::guaranteed(
    Outlook { guaranteed: vec!["workspace".to_owned()], ..outlook(TOO_LATE_MS) },
    job(JOB, 0, gang(2, 8))
)]
fn may_be_served_admitted(#[case] outlook: Outlook, #[case] submission: Submission) {
    assert_eq!(decide_now(&outlook, FRESH, &submission), Decision::Admit);
}

/// A guarantee holds for urgent work only, and for the workspaces that have one.
#[rstest]
#[case::of_other_workspace("other", 0)]
#[case::of_other_priority("workspace", 1)]
fn not_guaranteed_refused(#[case] workspace: &str, #[case] priority: u32) {
    let outlook = Outlook { guaranteed: vec![workspace.to_owned()], ..outlook(TOO_LATE_MS) };
    let decision = decide_now(&outlook, FRESH, &job(JOB, priority, gang(2, 8)));
    assert_eq!(reason(decision), Some(RefusalReason::NoRoomInTime));
}

/// The range's early end decides, not the expected time, which is late half of the time.
#[test]
fn room_in_time_at_early_end_admitted() {
    let mut outlook = outlook(TOO_LATE_MS);
    outlook.services[0].priorities[1].early = room_from(12_000);
    assert_eq!(decide_now(&outlook, FRESH, &job(JOB, 1, gang(2, 8))), Decision::Admit);
}

/// Whatever isn't known or isn't forecast is accepted, also what could never fit by the outlook.
#[rstest]
#[case::timed(Submission { occurrences: 1, first_run_ms: 9_000, ..job(JOB, 1, gang(7, 8)) })]
#[case::long_running(job(JOB, 1, Step { long_running: true, ..gang(7, 8) }))]
#[case::unknown_service(Submission { service: "other".to_owned(), ..job(JOB, 1, gang(7, 8)) })]
fn not_forecast_admitted(#[case] submission: Submission) {
    assert_eq!(decide_now(&outlook(0), FRESH, &submission), Decision::Admit);
}

/// An outlook that is too old says nothing: its leader may be gone, and the fleet may have changed.
#[rstest]
#[case::fresh(0, false)]
#[case::at_limit(6_000, false)]
#[case::past_limit(6_001, true)]
fn old_outlook_admits(#[case] age_ms: u64, #[case] admits: bool) {
    let decision = decide_now(&outlook(0), Duration::from_millis(age_ms), &job(JOB, 1, gang(7, 8)));
    assert_eq!(decision == Decision::Admit, admits);
    assert_eq!(decide(None, FRESH, &job(JOB, 1, gang(7, 8)), 1_000), Decision::Admit);
}

/// Room is nearer by the outlook's age: counted from now, a job would be refused that is served in time.
#[test]
fn age_brings_room_nearer() {
    // There is no room for 48 s from the outlook on, and the job waits for 46.5 s.
    let submission = job(JOB, 1, gang(2, 8));
    let decide_at = |age_ms| {
        reason(decide_now(&outlook(TOO_LATE_MS), Duration::from_millis(age_ms), &submission))
    };
    assert_eq!(decide_at(1_400), Some(RefusalReason::NoRoomInTime));
    assert_eq!(decide_at(1_600), None);
}

/// Callers that are refused together don't come back together, nor before room is expected.
#[rstest]
#[case::at_once(0, 1, 1)]
#[case::short(1_200, 2, 2)]
#[case::usual(8_000, 8, 12)]
#[case::long(25_000, 25, 30)]
#[case::beyond_limit(64_000, 30, 30)]
#[case::without_end(u64::MAX, 30, 30)]
fn retry_after_spread(#[case] expected_ms: u64, #[case] least: u64, #[case] most: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let retry_after = RetryAfter::expected(expected_ms);
    let drawn: BTreeSet<u64> = (0..300).map(|_| retry_after.draw(&mut rng).as_secs()).collect();
    let all: BTreeSet<u64> = (least..=most).collect();
    assert_eq!(drawn, all, "each whole second of the range");
    assert_eq!(RetryAfter::LONGEST.draw(&mut rng).as_secs(), 30);
}

/// The largest gang is known for a rack and for the whole service.
#[rstest]
#[case::whole_workers(gang(1, 8), 3, 6)]
#[case::two_a_worker(gang(1, 4), 6, 12)]
#[case::odd(gang(1, 3), 6, 12)]
#[case::one_rack(of_label("r0", gang(1, 8)), 3, 3)]
#[case::too_large(gang(1, 9), 0, 0)]
fn largest_gang_by_size(#[case] step: Step, #[case] in_rack: u64, #[case] anywhere: u64) {
    let outlook = outlook(0);
    assert_eq!(outlook.services[0].largest_gang(&step), LargestGang { in_rack, anywhere });
}

/// Draws the accelerators of some workers, and runs that hold part of them.
fn fleets() -> impl Strategy<Value = (Vec<u64>, Vec<HeldDevices>)> {
    let capacities = prop::collection::vec(1_u64..=8, 1..8);
    capacities.prop_flat_map(|capacities| {
        let workers = capacities.len();
        let run =
            (0..workers, 1_u64..=4, 0_u32..3, prop::option::of((0_u64..200_000, 0_u64..=100)));
        let runs = prop::collection::vec(run, 0..12).prop_map(move |runs| {
            runs.into_iter().map(|(worker, devices, priority, end)| HeldDevices {
                worker,
                devices,
                priority,
                end_ms: end.map(|(end, _)| end),
                early_end_ms: end.map(|(end, percent)| end * percent / 100),
            })
        });
        (Just(capacities), runs.prop_map(Iterator::collect))
    })
}

/// Counts the tasks that fit at a time, if all runs end at the early ends of their ranges.
fn fitting(
    (capacities, runs): (&[u64], &[HeldDevices]),
    priority: u32,
    devices: u64,
    time: u64,
) -> u64 {
    let is_held = |run: &&HeldDevices| {
        run.priority <= priority && run.early_end_ms.is_none_or(|end| end > time)
    };
    let at_worker = |(worker, capacity): (usize, &u64)| {
        let here = runs.iter().filter(|run| run.worker == worker).filter(is_held);
        capacity.saturating_sub(here.map(|run| run.devices).sum()) / devices
    };
    capacities.iter().enumerate().map(at_worker).sum()
}

fn shape(devices: u64) -> WorkerShape {
    WorkerShape {
        capacity: Resources { cpu_milli: 1_000_000, memory_mb: 1_000_000, devices },
        labels: vec!["a".to_owned()],
        racks: std::iter::once(("r0".to_owned(), 1)).collect(),
    }
}

fn forecast(early: Vec<Slots>, expected: Vec<Slots>) -> PriorityOutlook {
    PriorityOutlook { priority: 1, mean_ms: 0, late_permille: 1_000, expected, early }
}

proptest! {
    #![proptest_config(config(1000))]

    /// A wait that an entry takes for certain is never longer than the one that follows from the runs themselves:
    /// otherwise jobs are refused that would be served.
    #[test]
    fn certain_wait_never_too_long(
        (capacities, runs) in fleets(),
        priority in 0_u32..3,
        devices in 1_u64..=8,
        count in 1_u64..12,
    ) {
        let early = slots_at_horizons(&capacities, &runs, priority, |run| run.early_end_ms);
        let known = forecast(early, Vec::new()).no_room_until_ms(devices, count);
        let ends = runs.iter().filter_map(|run| run.early_end_ms).chain([0]);
        let fits = |time: &u64| fitting((&capacities, &runs), priority, devices, *time) >= count;
        let earliest = ends.filter(fits).min();
        prop_assert!(earliest.is_none_or(|earliest| known <= earliest), "{known} {earliest:?}");
    }

    /// A later release may know more or fewer horizons; no outlook ends the process of an entry.
    #[test]
    fn any_number_of_horizons_read(
        early in prop::collection::vec(any::<Slots>(), 0..40),
        expected in prop::collection::vec(any::<Slots>(), 0..40),
        (devices, count) in (0_u64..20, 0_u32..u32::MAX),
    ) {
        let is_empty = early.is_empty();
        let forecast = forecast(early, expected);
        let wait_ms = forecast.no_room_until_ms(devices, u64::from(count));
        prop_assert!(wait_ms <= HORIZONS_MS[HORIZONS_MS.len() - 1]);
        prop_assert!(!is_empty || wait_ms == 0, "nothing is known");
        let _ = forecast.expected_room_ms(devices, u64::from(count));
    }

    /// Whatever else the outlook says, a job that fits the idle fleet and has time is accepted when there is room now.
    #[test]
    fn room_now_admitted(
        (capacities, runs) in fleets(),
        later in prop::collection::vec(any::<Slots>(), HORIZONS_MS.len() - 1),
        expected in prop::collection::vec(any::<Slots>(), 0..20),
        (devices, count, estimate_ms) in (1_u64..=8, any::<u32>(), 0_u64..1_000_000),
        age_ms in 0_u64..8_000,
        is_gang in any::<bool>(),
    ) {
        let fits_now = fitting((&capacities, &runs), 1, devices, 0) as u32;
        let now = slots_at_horizons(&capacities, &runs, 1, |run| run.early_end_ms)[0];
        let early = std::iter::once(now).chain(later).collect();
        let service = ServiceOutlook {
            service: "service".to_owned(),
            shapes: capacities.iter().map(|&devices| shape(devices)).collect(),
            priorities: vec![forecast(early, expected)],
        };
        // As many tasks as fit now, or fewer; other steps may have more, one after the other.
        let count = if is_gang { count % (fits_now + 1) } else { u32::from(fits_now > 0) * (count % 100) };
        let step = Step { estimate_ms, gang: is_gang, ..step(count, devices) };
        let outlook = Outlook { services: vec![service], ..Outlook::default() };
        let decision = decide_now(&outlook, Duration::from_millis(age_ms), &job(JOB, 1, step));
        prop_assert_eq!(decision, Decision::Admit);
    }
}
