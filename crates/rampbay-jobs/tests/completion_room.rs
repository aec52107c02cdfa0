//! When there will be room for tasks that wait.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::job::{Resources, Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::completion::options::StartOption;
use rampbay_jobs::planner::completion::room::{Room, RoomScope};
use rampbay_jobs::planner::completion::view::CompletionView;
use rampbay_jobs::record::{EndReason, Record};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::property::config;
use support::{job, run_in_virtual_time, step, task, worker_record};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const WAITING: &str = "00000000000000cc";
/// Time that a stop takes, in milliseconds, by the settings of the tests.
const STOP_MS: u64 = 400;

/// A step whose tasks run at one rack.
fn step_at(rack: &str, count: u32, devices: u64, estimate_ms: u64) -> Step {
    Step { required_label: rack.to_owned(), estimate_ms, ..step(count, devices) }
}

fn room(rig: &PlannerRig, count: usize, scope: RoomScope) -> Option<Room> {
    rig.ask(|view| view.room(&WAITING.to_owned(), 0, count, scope))
}

fn room_ms(rig: &PlannerRig, count: usize, scope: RoomScope) -> Option<u64> {
    room(rig, count, scope).map(|room| room.at.ms)
}

/// A job in a queue of its own, so that its estimate is taken as it is.
fn estimated(id: &str, priority: u32, step: Step) -> Submission {
    Submission { queue: format!("queue-{id}"), ..job(id, priority, step) }
}

/// Six full workers in two racks. The runs in the first rack end after 4 s; those in the second after 2, 6 and 8 s.
fn full_rig() -> PlannerRig {
    let mut rig = PlannerRig::of_workers(6);
    rig.submit(estimated(JOB, 1, step_at("r0", 3, 8, 4_000)));
    for (index, estimate_ms) in [2_000, 6_000, 8_000].into_iter().enumerate() {
        let id = format!("{OTHER}{index}");
        rig.submit(estimated(&id, 1, step_at("r1", 1, 8, estimate_ms)));
    }
    rig.plan();
    rig
}

/// Room is expected as soon as enough runs have ended, in the order of their ends, and in one rack possibly later than
/// anywhere.
#[rstest]
#[case::one(1, RoomScope::Anywhere, Some(2_000))]
#[case::two_anywhere(2, RoomScope::Anywhere, Some(4_000))]
#[case::four_anywhere(4, RoomScope::Anywhere, Some(4_000))]
#[case::two_in_rack(2, RoomScope::OneRack, Some(4_000))]
#[case::five_anywhere(5, RoomScope::Anywhere, Some(6_000))]
#[case::four_in_rack(4, RoomScope::OneRack, None)]
#[case::seven(7, RoomScope::Anywhere, None)]
fn room_by_ends_in_order(
    #[case] count: usize,
    #[case] scope: RoomScope,
    #[case] expected: Option<u64>,
) {
    run_in_virtual_time(async move {
        let mut rig = full_rig();
        rig.submit(job(WAITING, 1, gang(7, 8)));
        rig.plan();
        assert_eq!(room_ms(&rig, count, scope), expected);
        let places = room(&rig, count, scope).map(|room| room.places);
        assert_eq!(places.map(|places| places.len()), expected.map(|_| count));
    });
}

/// What is free now is there at once.
#[test]
fn room_now_on_free_workers() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.end(&task(JOB, 1), EndReason::Done);
        rig.submit(job(WAITING, 1, gang(3, 8)));
        rig.plan();
        assert_eq!(room_ms(&rig, 2, RoomScope::OneRack), Some(0));
        assert_eq!(room_ms(&rig, 3, RoomScope::Anywhere), Some(2_000));
    });
}

/// A gang frees its workers when its slowest member ends, also those of members that are done.
#[test]
fn room_behind_gang_by_its_slowest_member() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3);
        rig.submit(job(JOB, 1, gang(3, 8)));
        rig.plan();
        for second in 1..=4_u32 {
            sleep(Duration::from_secs(1)).await;
            for (index, rate) in [(0, 40), (1, 5), (2, 40)] {
                let instance = rig.instance_of(&task(JOB, index));
                let percent = (second * rate).min(100);
                let run = progress(JOB, index, percent, u64::from(second) * 1_000);
                rig.report(&instance, vec![run]);
            }
        }
        rig.submit(job(WAITING, 1, step(1, 8)));
        rig.plan();
        assert_eq!(room_ms(&rig, 1, RoomScope::Anywhere), Some(16_000));
    });
}

/// A run past its estimate may end at any time, but room isn't promised for now.
#[test]
fn room_behind_run_past_its_estimate_not_now() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.submit(job(WAITING, 1, gang(7, 8)));
        rig.advance_idle(Duration::from_secs(20)).await;
        rig.plan();
        assert!(room_ms(&rig, 1, RoomScope::Anywhere).is_some_and(|ms| ms > 500));
        let earliest =
            rig.ask(|view| view.earliest_room_ms(&WAITING.to_owned(), 0, 6, RoomScope::Anywhere));
        assert_eq!(earliest, Some(0), "nobody is refused for that");
    });
}

/// Tasks that run until they are cancelled never make room.
#[test]
fn room_never_behind_long_running_tasks() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(job(JOB, 1, Step { long_running: true, ..step(1, 8) }));
        rig.plan();
        rig.submit(job(WAITING, 1, step(1, 8)));
        rig.plan();
        assert_eq!(room_ms(&rig, 1, RoomScope::Anywhere), None);
    });
}

/// Stops under way make room after the time of a stop, and runs that end before them aren't held up.
#[test]
fn room_after_stops_under_way() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.guarantee(8);
        rig.submit(job(OTHER, 0, step(1, 8)));
        let records = rig.round();
        records.iter().for_each(|record| rig.table.apply(record));
        let all = [JOB, "00000000000000bb0", "00000000000000bb1", "00000000000000bb2"];
        let stopping = all.iter().flat_map(|id| rig.statuses(id));
        assert_eq!(stopping.filter(|status| *status == TaskStatus::Stopping).count(), 1);
        rig.submit(job(WAITING, 1, gang(7, 8)));
        assert_eq!(room_ms(&rig, 1, RoomScope::Anywhere), Some(STOP_MS));
        assert!(room_ms(&rig, 2, RoomScope::Anywhere).is_some_and(|ms| ms > STOP_MS));
    });
}

/// A worker that is gone gives no room, and its runs don't count any more.
#[test]
fn room_without_gone_worker() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.submit(job(WAITING, 1, gang(7, 8)));
        let soonest = rig.instance_of(&task("00000000000000bb0", 0));
        rig.remove_worker(&soonest);
        assert_eq!(room_ms(&rig, 1, RoomScope::Anywhere), Some(4_000));
        assert_eq!(room_ms(&rig, 6, RoomScope::Anywhere), None, "five workers are left");
    });
}

/// A worker whose capacity has shrunk below what runs there has room only once the excess has ended as well.
#[test]
fn room_on_shrunk_worker_after_excess_has_ended() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        for (id, estimate_ms) in [(JOB, 2_000), (OTHER, 6_000)] {
            rig.submit(job(id, 1, Step { estimate_ms, ..step(1, 4) }));
        }
        rig.plan();
        rig.put(&Record::Worker("i-0".to_owned(), Box::new(worker_record("side", "r0", 4))));
        rig.submit(job(WAITING, 1, step(1, 4)));
        rig.plan();
        assert_eq!(room_ms(&rig, 1, RoomScope::Anywhere), Some(6_000));
    });
}

/// Workers that may not run the step give it no room, and a limit of tasks for each worker holds.
#[rstest]
#[case::any(Step::default(), 12, Some(4_000))]
#[case::label(Step { required_label: "r1".to_owned(), ..Step::default() }, 5, Some(6_000))]
#[case::limit(Step { max_per_worker: 1, ..Step::default() }, 5, Some(6_000))]
#[case::missing_label(Step { required_label: "r9".to_owned(), ..Step::default() }, 1, None)]
fn room_on_allowed_workers(
    #[case] limits: Step,
    #[case] count: usize,
    #[case] expected: Option<u64>,
) {
    run_in_virtual_time(async move {
        let mut rig = full_rig();
        let (required_label, max_per_worker) = (limits.required_label, limits.max_per_worker);
        rig.submit(job(WAITING, 1, Step { required_label, max_per_worker, ..gang(40, 2) }));
        rig.plan();
        assert_eq!(room_ms(&rig, count, RoomScope::Anywhere), expected);
    });
}

/// The range of the time contains it, and the earliest possible time lies before.
#[test]
fn room_within_its_range() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.submit(job(WAITING, 1, gang(7, 8)));
        rig.plan();
        let found = room(&rig, 2, RoomScope::OneRack).expect("room").at;
        assert!(found.early_ms < found.ms && found.ms < found.late_ms, "{found:?}");
        let earliest =
            rig.ask(|view| view.earliest_room_ms(&WAITING.to_owned(), 0, 2, RoomScope::OneRack));
        assert!(earliest.is_some_and(|ms| ms <= found.early_ms), "{earliest:?}");
    });
}

/// Compares to wait for one rack with to start spread at once: a spread gang takes three times as long.
#[test]
fn waiting_for_rack_compared_with_spread_start() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.end(&task("00000000000000bb0", 0), EndReason::Done);
        let submission = job(WAITING, 1, Step { same_rack: true, ..gang(2, 8) });
        rig.submit(Submission { submitted_at: rig.wall, ..submission });
        rig.plan();
        let times = |option| {
            let found = rig.ask(|view| view.expected_times(&WAITING.to_owned(), 0, option));
            found.map(|found| (found.start.ms, found.end.ms))
        };
        let free = ["i-0".to_owned(), "i-3".to_owned()];
        let free = rig.ask(|view| free.clone().map(|worker| view.place(&worker).expect("known")));
        assert_eq!(times(StartOption::Now(&free)), Some((0, 15_000)));
        assert_eq!(times(StartOption::AfterStops(&free)), Some((STOP_MS, STOP_MS + 15_000)));
        assert_eq!(times(StartOption::Wait(RoomScope::OneRack)), Some((4_000, 9_000)));
        assert_eq!(times(StartOption::Wait(RoomScope::Anywhere)), Some((0, 15_000)));
    });
}

/// Stops and starts that the same round has decided are taken into account. Guards against a stopped run whose resources
/// count twice, and a started one that seems to hold its worker for ever.
#[test]
fn room_after_decisions_of_same_round() {
    run_in_virtual_time(async {
        let mut rig = full_rig();
        let freed = rig.instance_of(&task(JOB, 0));
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.submit(job(WAITING, 1, gang(7, 8)));
        rig.plan();
        let inputs = rig.inputs();
        let mut view = rig.planner.completion_view(&inputs);
        let ask = |view: &CompletionView<'_>, count| {
            let found = view.room(&WAITING.to_owned(), 0, count, RoomScope::Anywhere);
            found.map(|room| room.at.ms)
        };
        assert_eq!(ask(&view, 1), Some(0));
        let place = view.place(&freed).expect("a known worker");
        view.note_started(&WAITING.to_owned(), 0, &[place]);
        assert_eq!([1, 2, 4].map(|count| ask(&view, count)), [2_000, 4_000, 5_000].map(Some));
        view.note_stopped(&task("00000000000000bb2", 0));
        let times = [1, 2, 5, 6, 7].map(|count| ask(&view, count));
        assert_eq!(times, [Some(STOP_MS), Some(2_000), Some(5_000), Some(6_000), None]);
    });
}

/// Guards against the resources of a stopped run that count twice: at its stop, and when it would have ended.
#[test]
fn room_beside_stopped_run_by_end_of_other_run() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.submit(estimated(JOB, 2, Step { estimate_ms: 3_000, ..step(1, 4) }));
        rig.submit(estimated(OTHER, 2, Step { estimate_ms: 6_000, ..step(1, 4) }));
        rig.plan();
        rig.submit(estimated(WAITING, 2, step(1, 8)));
        let inputs = rig.inputs();
        let mut view = rig.planner.completion_view(&inputs);
        view.note_stopped(&task(JOB, 0));
        let found = view.room(&WAITING.to_owned(), 0, 1, RoomScope::Anywhere);
        assert_eq!(found.map(|room| room.at.ms), Some(6_000));
    });
}

/// A run that ends before the stops under way makes room before them.
#[test]
fn room_by_end_before_stops_under_way() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(estimated(JOB, 2, Step { estimate_ms: STOP_MS - 100, ..step(1, 8) }));
        rig.submit(estimated(OTHER, 2, Step { estimate_ms: 6_000, ..step(1, 8) }));
        rig.plan();
        rig.submit(estimated(WAITING, 2, step(2, 8)));
        let inputs = rig.inputs();
        let mut view = rig.planner.completion_view(&inputs);
        view.note_stopped(&task(OTHER, 0));
        let room_ms = |count| {
            let found = view.room(&WAITING.to_owned(), 0, count, RoomScope::Anywhere);
            found.map(|room| room.at.ms)
        };
        assert_eq!([1, 2].map(room_ms), [Some(STOP_MS - 100), Some(STOP_MS)]);
    });
}

/// A run of a generated fleet.
#[derive(Clone, Debug)]
struct GeneratedRun {
    devices: u64,
    estimate_ms: u64,
}

fn generated_run() -> impl Strategy<Value = GeneratedRun> {
    (1..9_u64, 1_000..20_000_u64)
        .prop_map(|(devices, estimate_ms)| GeneratedRun { devices, estimate_ms })
}

/// Returns the time of room as it is found by trying every end of a run in turn.
fn room_by_trial(rig: &PlannerRig, count: usize, devices: u64, scope: RoomScope) -> Option<u64> {
    let runs: Vec<(String, u64, u64)> = rig
        .table
        .jobs
        .values()
        .flat_map(|job| {
            let step = &job.submission.steps[0];
            let tasks = job.plan.iter().flat_map(|plan| plan.tasks(&job.submission.id));
            let running = tasks.filter(|(_, task)| task.may_be_running());
            running.map(|(_, task)| (task.instance.clone(), step.demand.devices, step.estimate_ms))
        })
        .collect();
    let mut times: Vec<u64> = runs.iter().map(|(_, _, end_ms)| *end_ms).chain([0]).collect();
    times.sort_unstable();
    times.into_iter().find(|at_ms| {
        let fitting = |instance: &String| {
            let capacity = rig.table.workers[instance].capacity;
            let held = runs.iter().filter(|(at, _, end_ms)| at == instance && end_ms > at_ms);
            let held: Vec<u64> = held.map(|(_, devices, _)| *devices).collect();
            let free = Resources {
                devices: capacity.devices - held.iter().sum::<u64>(),
                cpu_milli: capacity.cpu_milli - 10_000 * held.len() as u64,
                memory_mb: capacity.memory_mb - 1_000 * held.len() as u64,
            };
            free.count_of(&step(1, devices).demand) as usize
        };
        let mut by_rack = std::collections::BTreeMap::new();
        for (instance, worker) in &rig.table.workers {
            let rack = if scope == RoomScope::OneRack { worker.rack() } else { "" };
            *by_rack.entry(rack).or_insert(0) += fitting(instance);
        }
        by_rack.values().any(|fits| *fits >= count)
    })
}

proptest! {
    #![proptest_config(config(150))]

    /// Guards against ends that are missed, counted twice or out of order when the ends of a whole fleet are passed over.
    #[test]
    fn room_equals_trial_of_every_end(
        runs in prop::collection::vec(generated_run(), 1..30),
        count in 1..9_usize,
        devices in 1..9_u64,
        in_rack in any::<bool>(),
    ) {
        let scope = if in_rack { RoomScope::OneRack } else { RoomScope::Anywhere };
        let mut outcome = (None, None);
        run_in_virtual_time(async {
            let mut rig = PlannerRig::of_workers(7);
            for (index, run) in runs.iter().enumerate() {
                let waiting = Step { estimate_ms: run.estimate_ms, ..step(1, run.devices) };
                rig.submit(estimated(&format!("{index:016x}"), 2, waiting));
            }
            rig.plan();
            rig.submit(estimated(WAITING, 2, gang(1_000, devices)));
            outcome = (room_ms(&rig, count, scope), room_by_trial(&rig, count, devices, scope));
        });
        prop_assert_eq!(outcome.0, outcome.1);
    }
}
