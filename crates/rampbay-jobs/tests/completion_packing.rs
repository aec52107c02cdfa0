//! Where the policy `by_completion` places work, and how long gangs wait for one rack.

mod support;

use std::collections::BTreeSet;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
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
