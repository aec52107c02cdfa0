//! Where the policy `by_completion` places work, and how long gangs wait for one rack.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::EndReason;
use rampbay_jobs::routing::Workspace;
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const THIRD: &str = "00000000000000cc";
/// Progress of runs in percent a second, by the speed of their machines.
const SLOWER: u32 = 5;
const USUAL: u32 = 8;
const FASTER: u32 = 12;

/// Creates a rig whose planner places work by `by_completion`.
fn rig_of_workers(count: usize) -> PlannerRig {
    PlannerRig::of_workers(count).with_placement(Placement::ByCompletion)
}

/// Returns the workers of a job's tasks, all of which are running.
fn workers_of(rig: &PlannerRig, id: &str) -> BTreeSet<String> {
    let statuses = rig.statuses(id);
    assert!(statuses.iter().all(|status| *status == TaskStatus::Running), "{statuses:?}");
    (0..statuses.len()).map(|index| rig.instance_of(&task(id, index as u32))).collect()
}

/// Returns the racks of a job's tasks, all of which are running.
fn racks_of(rig: &PlannerRig, id: &str) -> BTreeSet<String> {
    let workers = workers_of(rig, id);
    workers.iter().map(|instance| rig.table.workers[instance].rack().to_owned()).collect()
}

/// Urgent work goes to the fastest machine, other work to the slowest, so that the fast ones stay free. Placed by free
/// capacity alone, bulk work took fast machines, and urgent gangs ran on slow ones.
#[rstest]
#[case::urgent(0, "i-2")]
#[case::middle(1, "i-1")]
#[case::bulk(2, "i-1")]
fn machine_chosen_by_urgency(#[case] priority: u32, #[case] expected: &str) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(3);
        rig.measure_speeds(&[USUAL, SLOWER, FASTER]).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, priority, step(1, 1)) });
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), expected);
    });
}

/// A gang that wants one rack is placed by its least preferred member: an urgent one where its slowest is fastest,
/// another one where it holds no fast machine.
#[rstest]
#[case::urgent(0, [USUAL, USUAL, USUAL, FASTER, FASTER, FASTER, SLOWER, SLOWER, SLOWER], "r1")]
#[case::urgent_one_slow_member(0, [FASTER, FASTER, SLOWER, USUAL, USUAL, USUAL, SLOWER, SLOWER, SLOWER], "r1")]
#[case::middle(1, [USUAL, USUAL, USUAL, SLOWER, SLOWER, SLOWER, FASTER, FASTER, FASTER], "r1")]
#[case::middle_one_fast_member(1, [SLOWER, SLOWER, FASTER, USUAL, USUAL, USUAL, FASTER, FASTER, FASTER], "r1")]
fn rack_chosen_by_gang_urgency(
    #[case] priority: u32,
    #[case] speeds: [u32; 9],
    #[case] expected: &str,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(9);
        rig.measure_speeds(&speeds).await;
        let gang = Step { same_rack: true, ..gang(3, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, priority, gang) });
        rig.plan();
        assert_eq!(racks_of(&rig, JOB), BTreeSet::from([expected.to_owned()]));
    });
}

/// A task that starts again is behind the others of its step, and goes to the fastest machine, also if it isn't urgent.
/// On the slowest one, which such work takes otherwise, it would hold up its step again.
#[test]
fn restarted_task_goes_to_fast_machine() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(3);
        rig.measure_speeds(&[USUAL, SLOWER, FASTER]).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 2, step(1, 1)) });
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), "i-1");
        rig.end(&task(JOB, 0), EndReason::Failed);
        rig.plan();
        assert_eq!(rig.instance_of(&task(JOB, 0)), "i-2");
    });
}

/// A gang that isn't urgent takes slower machines, but not one of them beside faster ones, at whose pace it would hold the
/// others. Placed by the rank of each worker alone, it took the slow one first, in a rack of its own as well as spread.
#[rstest]
#[case::spread(false, [SLOWER, USUAL, USUAL, USUAL, USUAL, USUAL], 3, false)]
#[case::one_rack(true, [SLOWER, USUAL, USUAL, USUAL, USUAL, USUAL], 3, false)]
#[case::spread_no_other(false, [SLOWER, USUAL, USUAL, SLOWER, USUAL, USUAL], 5, true)]
#[case::spread_mostly_slow(false, [SLOWER, SLOWER, USUAL, USUAL, USUAL, USUAL], 3, true)]
fn one_slow_member_avoided(
    #[case] same_rack: bool,
    #[case] speeds: [u32; 6],
    #[case] members: u32,
    #[case] is_taken: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(6);
        rig.measure_speeds(&speeds).await;
        let gang = Step { same_rack, ..gang(members, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 1, gang) });
        rig.plan();
        assert_eq!(workers_of(&rig, JOB).contains("i-0"), is_taken);
    });
}

/// One slow member makes the whole gang as slow as three do, so among racks with a slow machine the fuller one is
/// taken. Chosen by the number of slow machines, the gang gained nothing and took the rack with more room.
#[test]
fn slow_members_not_counted() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(9);
        rig.measure_speeds(&[SLOWER, USUAL, USUAL, SLOWER, SLOWER, SLOWER, SLOWER, USUAL, USUAL])
            .await;
        let other = Step { required_label: "r1".to_owned(), ..step(1, 1) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 0, other) });
        rig.plan();
        let gang = Step { same_rack: true, ..gang(3, 7) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 0, gang) });
        rig.plan();
        assert_eq!(racks_of(&rig, JOB), BTreeSet::from(["r1".to_owned()]));
    });
}

/// For stops the speed counts for urgent work only, and there before the cost, as under `by_lost_work`.
#[test]
fn run_on_slow_machine_spared() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(3);
        rig.measure_speeds(&[SLOWER, USUAL, USUAL]).await;
        rig.submit(Submission { submitted_at: rig.wall, ..job(OTHER, 2, step(3, 8)) });
        rig.plan();
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 0, step(1, 8)) });
        rig.plan();
        let runs = (0..3).map(|index| task(OTHER, index));
        let stopped = runs.filter(|run| rig.status_of(run) == TaskStatus::Stopping);
        let stopped: Vec<String> = stopped.map(|run| rig.instance_of(&run)).collect();
        assert_eq!(stopped, ["i-1"]);
    });
}

/// Other work that may use the reserve, on a fleet that is half idle, takes it last; and the share in use counts what
/// the same round has placed. Otherwise a burst of other work would take the reserve beside free workers.
#[test]
fn burst_of_other_work_leaves_reserve() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(10);
        for number in 0..10 {
            let id = format!("{:016x}", 0xa000 + number);
            let job = job(&id, 1, gang(2, 4));
            rig.submit(Submission { target_ms: 60_000, submitted_at: rig.wall - 1000, ..job });
        }
        rig.plan();
        let workers = rig.table.workers.keys();
        assert_eq!(workers.filter(|worker| rig.runs_at(worker).is_empty()).count(), 2);
    });
}

/// A gang that waits for one rack.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    Guaranteed,
    Urgent,
    Other,
}

/// A gang is spread only when the wait for one rack costs more than the spread. Spread after 1.5 s, gangs of four took
/// three times as long and hadn't ended 28 s later; a fixed time is too short for long tasks.
#[rstest]
#[case::guaranteed_waits(Waiting::Guaranteed, 5_000, 500, false)]
#[case::guaranteed_spread(Waiting::Guaranteed, 5_000, 1_000, true)]
#[case::urgent_waits(Waiting::Urgent, 5_000, 8_000, false)]
#[case::urgent_spread(Waiting::Urgent, 5_000, 8_500, true)]
#[case::short_tasks_wait(Waiting::Other, 5_000, 12_000, false)]
#[case::short_tasks_spread(Waiting::Other, 5_000, 12_500, true)]
#[case::long_tasks_wait(Waiting::Other, 10_000, 20_000, false)]
#[case::long_tasks_spread(Waiting::Other, 10_000, 20_500, true)]
fn gang_waits_for_rack_on_busy_fleet(
    #[case] waiting: Waiting,
    #[case] estimate_ms: u64,
    #[case] waited_ms: u64,
    #[case] is_spread: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(6);
        for (id, rack) in [(OTHER, "r0"), (THIRD, "r1")] {
            let step = Step { required_label: rack.to_owned(), ..step(2, 8) };
            rig.submit(Submission { submitted_at: rig.wall, ..job(id, 0, step) });
        }
        rig.plan();
        let priority = if matches!(waiting, Waiting::Other) { 1 } else { 0 };
        let gang = Step { same_rack: true, estimate_ms, ..gang(2, 8) };
        let gang = Submission { stretch_permille: 1000, ..job(JOB, priority, gang) };
        let workspace = "guaranteed".to_owned();
        rig.routing.workspaces.push(Workspace {
            name: workspace.clone(),
            keys: Vec::new(),
            guaranteed_devices: if matches!(waiting, Waiting::Guaranteed) { 16 } else { 0 },
        });
        rig.submit(Submission { workspace, submitted_at: rig.wall, ..gang });
        rig.advance(Duration::from_millis(waited_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB).is_empty(), !is_spread);
    });
}

/// On a fleet that is half idle a gang waits for one rack no longer than the users' rule allows.
#[rstest]
#[case::waits(2_000, false)]
#[case::spread(2_500, true)]
fn gang_waits_for_rack_on_idle_fleet(#[case] waited_ms: u64, #[case] is_spread: bool) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(6);
        for (id, rack) in [(OTHER, "r0"), (THIRD, "r1")] {
            let step = Step { required_label: rack.to_owned(), ..step(1, 8) };
            rig.submit(Submission { submitted_at: rig.wall, ..job(id, 0, step) });
        }
        rig.plan();
        let gang = Step { same_rack: true, ..gang(3, 8) };
        rig.submit(Submission { submitted_at: rig.wall, ..job(JOB, 1, gang) });
        rig.advance(Duration::from_millis(waited_ms)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB).is_empty(), !is_spread);
    });
}

/// The users' rule: no job stands still for 3 s beside free room for it twice over while under half of the capacity is in
/// use. The reserve and the wait for one rack could both break it; with seven workers in use no rack has room for a gang of
/// three.
#[rstest]
fn no_job_stands_on_idle_fleet(
    #[values(0, 1, 2)] priority: u32,
    #[values(0, 2, 5, 7)] in_use: u32,
    #[values(1, 2, 3, 4)] count: u32,
    #[values(true, false)] same_rack: bool,
    #[values(true, false)] is_gang: bool,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_of_workers(16);
        for number in 0..in_use {
            let step = Step { required_label: format!("r{}", 4 - number % 5), ..step(1, 8) };
            let id = format!("{:016x}", 0xe000 + number);
            rig.submit(Submission { submitted_at: rig.wall, ..job(&id, 0, step) });
        }
        rig.plan();
        let step = Step { same_rack, gang: is_gang, ..step(count, 8) };
        let other = job(JOB, priority, step);
        rig.submit(Submission { target_ms: 60_000, submitted_at: rig.wall, ..other });
        rig.advance(Duration::from_millis(2_500)).await;
        rig.plan();
        assert!(rig.statuses(JOB).contains(&TaskStatus::Running));
    });
}

/// The same for a job that only the workers of the reserve may run.
#[test]
fn job_bound_to_reserve_starts_on_idle_fleet() {
    run_in_virtual_time(async {
        let mut rig = rig_of_workers(16);
        let step = Step { required_label: "r0".to_owned(), ..step(1, 8) };
        let other = job(JOB, 1, step);
        rig.submit(Submission { target_ms: 60_000, submitted_at: rig.wall, ..other });
        rig.plan();
        assert_eq!(rig.statuses(JOB), [], "the reserve is all of this rack");
        rig.advance(Duration::from_millis(2_500)).await;
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running]);
    });
}
