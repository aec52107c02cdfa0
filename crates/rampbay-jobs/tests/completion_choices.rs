//! The choices of the policy `by_completion` that follow from the estimate of completion: whether an urgent step waits for
//! room, stops runs or starts elsewhere, how long a gang waits for one rack, and which work may use the reserve.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::{Placement, ProgressTable};
use rampbay_jobs::record::{EndReason, RunProgress};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::Instant;

const URGENT: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
/// Four racks of three workers.
const WORKERS: usize = 12;
/// Progress of runs in percent a second on machines of the same speed.
const USUAL: u32 = 8;
/// The same on uneven machines: tasks take 0.55 and 1.2 times as long.
const FAST: u32 = 12;
const SLOW: u32 = 6;
/// Expected duration of the background's runs that end late, in milliseconds.
const LONG_MS: u64 = 20_000;

/// Creates a rig that places work by `by_completion`, and whose planner has measured its errors and the speeds of the
/// workers, given in percent a second.
async fn measured_rig(rates: [u32; WORKERS]) -> PlannerRig {
    let mut rig = PlannerRig::of_workers(WORKERS).with_placement(Placement::ByCompletion);
    rig.measure_speeds(&rates).await;
    rig
}

/// Replaces the planner by that of a new leader, which knows neither progress nor errors.
fn change_leader(rig: &mut PlannerRig) {
    rig.replace_planner();
    rig.progress = ProgressTable::default();
    rig.progress.note_read(Instant::now());
    rig.started = Instant::now();
}

/// Fills workers of a rack with single tasks of a job in a queue of its own, so that its estimate is taken as it is. It
/// is late already, so that it may use the reserve. Runs of priority 1 save checkpoints.
fn fill(rig: &mut PlannerRig, id: &str, priority: u32, rack: u32, count: u32, estimate_ms: u64) {
    let required_label = format!("r{rack}");
    let step = Step { required_label, estimate_ms, checkpointing: priority == 1, ..step(count, 8) };
    let submission = Submission {
        queue: format!("queue-{id}"),
        stretch_permille: 1000,
        target_ms: 0,
        submitted_at: rig.wall - 1_000,
        ..job(id, priority, step)
    };
    rig.submit(submission);
    rig.plan();
    assert_eq!(rig.statuses(id), vec![TaskStatus::Running; count as usize]);
}

/// Returns the id of the job that fills a rack.
fn background(rack: u32) -> String {
    format!("{:016x}", 0xe000 + rack)
}

/// Fills all workers. The runs in the first rack take `first_ms`, all others long.
fn fill_all(rig: &mut PlannerRig, priority: u32, first_ms: u64) {
    for rack in 0..4 {
        let estimate_ms = if rack == 0 { first_ms } else { LONG_MS };
        fill(rig, &background(rack), priority, rack, 3, estimate_ms);
    }
}

/// Submits an urgent step whose tasks take 2 s, with 2 s to spare.
fn submit_urgent(rig: &mut PlannerRig, step: Step) {
    submit_urgent_since(rig, step, 0);
}

/// The same for a step that has waited already.
fn submit_urgent_since(rig: &mut PlannerRig, step: Step, waited_ms: u64) {
    let step = Step { estimate_ms: 2_000, ..step };
    rig.submit(Submission {
        stretch_permille: 2_000,
        target_ms: 0,
        submitted_at: rig.wall - waited_ms,
        ..job(URGENT, 0, step)
    });
    rig.plan();
}

/// Counts the runs that are being stopped.
fn stopping(rig: &PlannerRig) -> usize {
    let statuses = (0..4).flat_map(|rack| rig.statuses(&background(rack)));
    statuses.filter(|status| *status == TaskStatus::Stopping).count()
}

/// Advances the time while the agents report progress by the clocks of the runs: those of the first rack at a rate in
/// percent a second, the others none yet.
async fn advance_with_rate(rig: &mut PlannerRig, seconds: u32, rate: u32) {
    for second in 1..=seconds {
        tokio::time::sleep(Duration::from_secs(1)).await;
        rig.wall += 1_000;
        let instances: Vec<String> = rig.table.workers.keys().cloned().collect();
        for instance in instances {
            let runs = rig.runs_at(&instance).into_iter().map(|(id, attempt)| RunProgress {
                percent: if id.job == background(0) { second * rate } else { 0 },
                ran_ms: u64::from(second) * 1_000,
                attempt,
                task: id,
                checkpoint: String::new(),
            });
            let runs = runs.collect();
            rig.report(&instance, runs);
        }
        rig.plan();
    }
}

/// A stop loses work for certain. It is made only where the step would end late if it waited: not where room is expected
/// within its 2 s to spare.
#[rstest]
#[case::room_in_time(1_500, 0)]
#[case::room_late(3_000, 2)]
fn urgent_gang_stops_runs_only_without_room_in_time(
    #[case] first_ms: u64,
    #[case] expected: usize,
) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, first_ms);
        submit_urgent(&mut rig, Step { same_rack: true, ..gang(2, 8) });
        assert_eq!(stopping(&rig), expected);
    });
}

/// The same for single tasks: only as many runs are stopped as tasks would find no room in time.
#[test]
fn urgent_tasks_stop_runs_only_for_missing_room() {
    run_in_virtual_time(async {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        // The runs in the first rack are the oldest ones, and so the dearest to stop.
        fill(&mut rig, &background(0), 2, 0, 3, 2_500);
        rig.advance(Duration::from_secs(1)).await;
        (1..4).for_each(|rack| fill(&mut rig, &background(rack), 2, rack, 3, LONG_MS));
        submit_urgent(&mut rig, step(5, 8));
        assert_eq!(stopping(&rig), 2, "three of five find room in the first rack");
    });
}

/// A new leader doesn't know how wrong its estimates are. It relies on the late end of the range, by which the room that
/// it would expect in time isn't certain.
#[rstest]
#[case::room_possibly_late(1_500, 2)]
#[case::room_in_time_for_certain(200, 0)]
fn new_leader_relies_on_late_end_of_range(#[case] first_ms: u64, #[case] expected: usize) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, first_ms);
        change_leader(&mut rig);
        submit_urgent(&mut rig, gang(2, 8));
        assert_eq!(stopping(&rig), expected);
    });
}

/// The workers at which an urgent gang expects room are kept for it. Otherwise bulk tasks would take each of them as it
/// becomes free, and the room would never come.
#[test]
fn expected_room_held_for_urgent_gang() {
    run_in_virtual_time(async {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, 1_500);
        submit_urgent(&mut rig, Step { same_rack: true, ..gang(3, 8) });
        assert_eq!(stopping(&rig), 0);
        rig.submit(Submission { submitted_at: rig.wall - 9_000, ..job(OTHER, 2, step(3, 8)) });
        for index in 0..3 {
            assert_eq!(rig.statuses(URGENT), []);
            rig.end(&task(&background(0), index), EndReason::Done);
            rig.plan();
        }
        assert_eq!(rig.statuses(URGENT), [TaskStatus::Running; 3]);
        assert!(!rig.statuses(OTHER).contains(&TaskStatus::Running));
    });
}

/// A gang that would end late by a little gains less than its whole worth by a stop. Runs are stopped for that only if
/// they lose less.
#[rstest]
#[case::loses_little(0, 2_500, 2)]
#[case::loses_more_than_gained(2_000, 4_000, 0)]
fn stop_made_only_if_gain_exceeds_loss(
    #[case] ran_ms: u64,
    #[case] first_ms: u64,
    #[case] expected: usize,
) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        // In either case the first room is expected 0.5 s after the time to spare: the first report comes after 0.5 s.
        fill_all(&mut rig, 2, first_ms);
        rig.advance(Duration::from_millis(ran_ms)).await;
        submit_urgent(&mut rig, gang(2, 8));
        assert_eq!(stopping(&rig), expected);
    });
}

/// Work past its objective is still wanted. Runs are stopped for it where it then ends markedly sooner, not for the tenths
/// of a second that the stop itself takes.
#[rstest]
#[case::room_soon(1_200, 0)]
#[case::room_much_later(LONG_MS, 2)]
fn late_gang_stops_runs_only_to_end_markedly_sooner(
    #[case] first_ms: u64,
    #[case] expected: usize,
) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, first_ms);
        submit_urgent_since(&mut rig, gang(2, 8), 3_000);
        assert_eq!(stopping(&rig), expected);
    });
}

/// Guaranteed work has to start within its time, so no estimate keeps it from stopping what it needs.
#[test]
fn guaranteed_gang_stops_runs_beside_expected_room() {
    run_in_virtual_time(async {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, 1_500);
        rig.guarantee(16);
        submit_urgent(&mut rig, gang(2, 8));
        assert_eq!(stopping(&rig), 2);
    });
}

/// A run goes on past its estimate, or its reports are late or lost: it isn't taken as about to end, so the gang doesn't
/// wait for it. Reports that come show when it ends.
#[rstest]
#[case::rate_shows_end_soon(2, 40, 0)]
#[case::rate_shows_end_later(2, 10, 2)]
#[case::reports_lost_until_now(0, 0, 2)]
fn room_behind_overdue_run_by_its_reports(
    #[case] reported_s: u32,
    #[case] rate: u32,
    #[case] expected: usize,
) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 1, 1_500);
        if reported_s > 0 {
            advance_with_rate(&mut rig, reported_s, rate).await;
        } else {
            tokio::time::sleep(Duration::from_secs(12)).await;
            rig.wall += 12_000;
            rig.progress.note_read(Instant::now());
            let instances: Vec<String> = rig.table.workers.keys().cloned().collect();
            for instance in instances {
                let runs = rig.runs_at(&instance);
                let runs = runs.into_iter().map(|(id, _)| progress(&id.job, id.index, 0, 12_000));
                let runs = runs.collect();
                rig.report(&instance, runs);
            }
        }
        submit_urgent(&mut rig, gang(2, 8));
        assert_eq!(stopping(&rig), expected);
    });
}

/// The rack that a gang waits for loses a worker before the room comes. The next round decides anew by what is left.
#[test]
fn gang_stops_runs_once_expected_room_is_gone() {
    run_in_virtual_time(async {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill_all(&mut rig, 2, 1_500);
        submit_urgent(&mut rig, Step { same_rack: true, ..gang(3, 8) });
        assert_eq!(stopping(&rig), 0);
        rig.remove_worker("i-1");
        rig.plan();
        assert_eq!(stopping(&rig), 3);
    });
}

/// An urgent gang that would end late on the slow workers that are free waits for fast ones that become free within its
/// time to spare, and starts there. Where they don't, it starts at once: late, but no later than it must.
#[rstest]
#[case::fast_soon(1_000, true)]
#[case::fast_late(9_000, false)]
fn urgent_gang_waits_for_fast_workers(#[case] first_ms: u64, #[case] waits: bool) {
    run_in_virtual_time(async move {
        let mut rates = [SLOW; WORKERS];
        rates[..3].fill(FAST);
        let mut rig = measured_rig(rates).await;
        fill(&mut rig, &background(0), 1, 0, 3, first_ms);
        let step = Step { estimate_ms: 2_000, ..gang(2, 8) };
        let urgent = job(URGENT, 0, step);
        rig.submit(Submission {
            stretch_permille: 1_000,
            target_ms: 200,
            submitted_at: rig.wall,
            ..urgent
        });
        rig.plan();
        assert_eq!(rig.statuses(URGENT).is_empty(), waits);
        (0..3).for_each(|index| rig.end(&task(&background(0), index), EndReason::Done));
        rig.plan();
        let workers: BTreeSet<String> =
            (0..2).map(|index| rig.instance_of(&task(URGENT, index))).collect();
        let fast = ["i-0", "i-1", "i-2"];
        assert_eq!(workers.iter().all(|worker| fast.contains(&worker.as_str())), waits);
    });
}

/// The fast workers don't become free as expected. The gang doesn't wait beside the slow ones any longer than it can
/// still end in time by that.
#[test]
fn urgent_gang_starts_on_slow_workers_in_the_end() {
    run_in_virtual_time(async {
        let mut rates = [SLOW; WORKERS];
        rates[..3].fill(FAST);
        let mut rig = measured_rig(rates).await;
        fill(&mut rig, &background(0), 1, 0, 3, 1_000);
        let urgent = job(URGENT, 0, Step { estimate_ms: 2_000, ..gang(2, 8) });
        rig.submit(Submission {
            stretch_permille: 1_000,
            target_ms: 200,
            submitted_at: rig.wall,
            ..urgent
        });
        rig.plan();
        assert_eq!(rig.statuses(URGENT), []);
        rig.advance(Duration::from_millis(1_500)).await;
        rig.plan();
        assert_eq!(rig.statuses(URGENT), [TaskStatus::Running; 2]);
    });
}

/// Submits a gang of three that wants one rack, where one worker of each rack is free. Those of the first rack end after
/// `first_ms`. The background is as urgent, so nothing may be stopped.
fn submit_gang_for_rack(rig: &mut PlannerRig, first_ms: u64, estimate_ms: u64) {
    for rack in 0..4 {
        let run_ms = if rack == 0 { first_ms } else { 90_000 };
        fill(rig, &background(rack), 0, rack, 2, run_ms);
    }
    let step = Step { same_rack: true, estimate_ms, ..gang(3, 8) };
    rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 0, step) });
    rig.plan();
}

/// Spread over racks, a gang takes three times as long. It waits for a rack that becomes free sooner than that, and is
/// spread at once where none does; with a fixed wait of 8 s it lost that time as well.
#[rstest]
#[case::rack_soon(4_000, true)]
#[case::rack_late(12_000, false)]
fn gang_waits_for_rack_that_becomes_free_soon(#[case] first_ms: u64, #[case] waits: bool) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        submit_gang_for_rack(&mut rig, first_ms, 5_000);
        assert_eq!(rig.statuses(URGENT).is_empty(), waits);
    });
}

/// A gang of long tasks waits for its rack for longer than the constant while it ends sooner that way, but not for ever
/// for a rack that is always about to become free.
#[rstest]
#[case::beyond_constant(9_000, true)]
#[case::not_for_ever(16_500, false)]
fn gang_waits_for_rack_beyond_constant(#[case] waited_ms: u64, #[case] waits: bool) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        submit_gang_for_rack(&mut rig, 12_000, 10_000);
        rig.advance(Duration::from_millis(waited_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(URGENT).is_empty(), waits);
    });
}

/// A new leader can't tell whether a rack that is expected a little too late comes sooner after all. The constant decides,
/// until the rack can't come in time even by the early end of the range.
#[rstest]
#[case::possibly_soon(12_000, 0, true)]
#[case::possibly_soon_waited(12_000, 8_500, false)]
#[case::late_for_certain(60_000, 0, false)]
fn new_leader_waits_for_rack_by_constant(
    #[case] first_ms: u64,
    #[case] waited_ms: u64,
    #[case] waits: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(WORKERS).with_placement(Placement::ByCompletion);
        submit_gang_for_rack(&mut rig, first_ms, 5_000);
        rig.advance(Duration::from_millis(waited_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(URGENT).is_empty(), waits);
    });
}

/// The users' rule: a gang doesn't stand still for 3 s beside free room for it twice over, whatever the estimate says of a
/// rack.
#[rstest]
#[case::waits(2_000, true)]
#[case::spread(2_500, false)]
fn gang_beside_room_twice_over_spread(#[case] waited_ms: u64, #[case] waits: bool) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        for rack in 0..4 {
            fill(&mut rig, &background(rack), 0, rack, 2, 4_000);
        }
        let step = Step { same_rack: true, ..gang(2, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 0, step) });
        rig.advance(Duration::from_millis(waited_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(URGENT).is_empty(), waits);
    });
}

/// Other work uses the reserve where it would end late without it, however long before its latest start, and leaves it
/// alone where room comes in time, however shortly before.
#[rstest]
#[case::room_late(15_000, LONG_MS, TaskStatus::Running)]
#[case::room_in_time(15_000, 9_000, TaskStatus::Waiting)]
#[case::room_in_time_nearly_late(3_000, 2_000, TaskStatus::Waiting)]
fn work_that_would_end_late_uses_reserve(
    #[case] spare_ms: u64,
    #[case] first_ms: u64,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let mut rig = measured_rig([USUAL; WORKERS]).await;
        fill(&mut rig, &background(0), 1, 0, 3, first_ms);
        fill(&mut rig, &background(1), 1, 1, 3, LONG_MS);
        fill(&mut rig, &background(2), 1, 2, 3, LONG_MS);
        fill(&mut rig, &background(3), 1, 3, 1, LONG_MS);
        rig.submit(Submission {
            stretch_permille: 1_000,
            target_ms: spare_ms,
            submitted_at: rig.wall,
            ..job(OTHER, 1, step(1, 8))
        });
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), expected);
    });
}
