//! Which tasks the planner starts first, which runs it stops for them, and for which it holds workers.

mod support;

use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::{Placement, WaitReason};
use rampbay_jobs::record::{EndReason, ProgressReport};
use rstest::rstest;
use support::planner::{PlannerRig, gang, progress};
use support::{job, run_in_virtual_time, step, task};
use tokio::time::Instant;

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const URGENT: &str = "00000000000000cc";

/// Urgent work beyond its guarantee stops other runs as long as the work lost by that is less than its worth.
#[rstest]
#[case::young(Duration::from_secs(2), TaskStatus::Stopping)]
#[case::old(Duration::from_secs(12), TaskStatus::Running)]
fn urgent_work_stops_in_proportion(
    #[case] ran: Duration,
    #[case] expected: TaskStatus,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        rig.advance(ran).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 0, step(1, 8)) });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// A job that can't end in time any more stops no other runs, since starting it sooner gains nothing.
#[rstest]
#[case::in_time(0, TaskStatus::Stopping)]
#[case::late(20_000, TaskStatus::Running)]
fn late_urgent_work_stops_no_run(#[case] late_ms: u64, #[case] expected: TaskStatus) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1);
        rig.wall = 100_000;
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 1, step(1, 8)) });
        rig.plan();
        rig.submit(Submission { submitted_at: rig.wall - late_ms, ..job(URGENT, 0, step(1, 8)) });
        rig.plan();
        assert_eq!(rig.status_of(&task(JOB, 0)), expected);
    });
}

/// Guards against gangs that need several workers at once and never start, since single tasks take
/// each accelerator as it becomes free. Seen on the bench.
#[test]
fn waiting_gang_holds_worker_from_less_urgent_work() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(6);
        rig.submit(job(JOB, 2, step(6, 8)));
        rig.plan();
        rig.advance(Duration::from_secs(30)).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 1, gang(2, 8)) });
        rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 2, step(2, 8)) });
        rig.end(&task(JOB, 0), EndReason::Done);
        rig.plan();
        assert_eq!(rig.statuses(URGENT), vec![], "the free worker is kept for the gang");
        rig.end(&task(JOB, 1), EndReason::Done);
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![TaskStatus::Running; 2]);
    });
}

/// Spread over racks, a gang holds its resources several times as long, so on a busy fleet it waits for one rack.
#[rstest]
#[case::busy(2, 2, 0)]
#[case::idle(1, 3, 3)]
fn gang_wanting_rack_waits_on_busy_fleet(
    #[case] busy_per_rack: u32,
    #[case] members: u32,
    #[case] running_soon: usize,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(6).with_placement(placement);
        rig.submit(job(JOB, 0, Step { required_label: "r0".to_owned(), ..step(busy_per_rack, 8) }));
        rig.submit(job(
            URGENT,
            0,
            Step { required_label: "r1".to_owned(), ..step(busy_per_rack, 8) },
        ));
        rig.plan();
        let submission = job(OTHER, 0, Step { same_rack: true, ..gang(members, 8) });
        rig.submit(Submission { submitted_at: rig.wall, ..submission });
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![], "no rack has room");
        rig.advance(Duration::from_secs(3)).await;
        rig.plan();
        assert_eq!(rig.statuses(OTHER).len(), running_soon);
        rig.advance(Duration::from_secs(10)).await;
        rig.plan();
        assert_eq!(rig.statuses(OTHER).len(), members as usize, "it doesn't wait for ever");
    });
}

/// Widely scattered estimates say little: the job with fewer tasks goes first, whatever its estimate is.
#[rstest]
fn scattered_estimates_shrunk_to_mean(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        let estimated = |id: &str, count: u32, estimate_ms: u64| {
            job(id, 1, Step { estimate_ms, ..step(count, 4) })
        };
        for (index, estimate_ms) in [200, 1_000, 5_000, 30_000, 90_000].into_iter().enumerate() {
            let id = format!("00000000000000{index:02}");
            rig.submit(Submission {
                first_run_ms: u64::MAX / 2,
                occurrences: 1,
                ..estimated(&id, 1, estimate_ms)
            });
        }
        rig.submit(estimated(JOB, 2, 2_000));
        rig.submit(estimated(OTHER, 1, 8_000));
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![TaskStatus::Running]);
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running, TaskStatus::Waiting]);
    });
}

/// Two jobs that progress at a tenth of the expected rate show a slow worker; a single one may just take long.
#[rstest]
#[case::two_jobs(true, "i-1")]
#[case::one_job(false, "i-0")]
fn slow_worker_avoided(
    #[case] both_slow: bool,
    #[case] expected: &str,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, step(1, 2)));
        rig.submit(job(OTHER, 1, step(1, 2)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), rig.instance_of(&task(OTHER, 0)));
        for second in 0..4_u32 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.progress.note_read(Instant::now());
            let ran_ms = u64::from(second) * 1000;
            let other_percent = if both_slow { second * 2 } else { second * 20 };
            let runs = vec![
                progress(JOB, 0, second * 2, ran_ms),
                progress(OTHER, 0, other_percent, ran_ms),
            ];
            rig.progress.insert("i-0", ProgressReport { silent_ms: 0, runs }, Instant::now());
            rig.progress.insert("i-1", ProgressReport::default(), Instant::now());
        }
        rig.submit(job(URGENT, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(URGENT, 0)), expected);
    });
}

/// A worker whose runs are slower than those of the same step elsewhere is left to work that isn't urgent.
#[test]
fn urgent_work_prefers_faster_machines() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(3, 3)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 2)), "i-1");
        for second in 0..8_u32 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.progress.note_read(Instant::now());
            let run = |index, rate| progress(JOB, index, second * rate, u64::from(second) * 1000);
            let slower = ProgressReport { silent_ms: 0, runs: vec![run(0, 8), run(1, 8)] };
            let faster = ProgressReport { silent_ms: 0, runs: vec![run(2, 12)] };
            rig.progress.insert("i-0", slower, Instant::now());
            rig.progress.insert("i-1", faster, Instant::now());
            rig.plan();
        }
        rig.submit(job(URGENT, 0, step(1, 1)));
        rig.submit(job(OTHER, 1, step(1, 1)));
        rig.plan();
        assert_eq!(rig.instance_of(&task(URGENT, 0)), "i-1", "urgent work: the faster machine");
        assert_eq!(rig.instance_of(&task(OTHER, 0)), "i-0", "other work: the fuller one");
    });
}

/// The planner returns the reason why a step waits.
#[rstest]
#[case::urgent(0, step(1, 8), WaitReason::StopsUnderWay)]
#[case::not_urgent(1, step(1, 8), WaitReason::NoRoom)]
#[case::wants_rack(1, Step { same_rack: true, ..gang(2, 4) }, WaitReason::NoRack)]
fn wait_reason(
    #[case] priority: u32,
    #[case] waiting_step: Step,
    #[case] expected: WaitReason,
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(placement);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        assert_eq!(rig.planner.wait_reason(JOB, 0, 0), None);
        let submission = job(OTHER, priority, waiting_step);
        rig.submit(Submission { submitted_at: rig.wall, ..submission });
        rig.plan();
        assert_eq!(rig.planner.wait_reason(OTHER, 0, 0), Some(expected));
    });
}

/// A planner that takes over knows from the agents' reports how long the runs have gone on, so it
/// stops the youngest run. Without the reports all runs would seem equally young.
#[rstest]
fn youngest_run_stopped_after_takeover(
    #[values(Placement::ByLostWork, Placement::ByCompletion)] placement: Placement,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(placement);
        rig.submit(job(JOB, 1, step(2, 8)));
        rig.plan();
        tokio::time::sleep(Duration::from_secs(10)).await;
        for (index, ran_ms) in [(0, 9_000), (1, 500)] {
            let instance = rig.instance_of(&task(JOB, index));
            let report =
                ProgressReport { silent_ms: 0, runs: vec![progress(JOB, index, 20, ran_ms)] };
            rig.progress.insert(&instance, report, Instant::now());
        }
        rig.replace_planner();
        rig.guarantee(16);
        rig.submit(job(URGENT, 0, step(1, 8)));
        rig.plan();
        assert_eq!(rig.statuses(JOB), vec![TaskStatus::Running, TaskStatus::Stopping]);
    });
}
