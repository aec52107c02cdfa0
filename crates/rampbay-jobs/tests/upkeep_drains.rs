//! Workers that waves of machine maintenance take out of use, as the planner treats them, and the work there, as waves see
//! it.

mod support;

use std::time::Duration;

use rampbay_jobs::job::Step;
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::EndReason;
use rampbay_jobs::upkeep::load::{Load, WorkerDrains};
use rstest::rstest;

use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};

const JOB: &str = "00000000000000aa";

/// The policies, which must treat such workers alike.
const POLICIES: [Placement; 2] = [Placement::ByLostWork, Placement::ByCompletion];

fn set<const N: usize>(names: [&str; N]) -> std::collections::BTreeSet<String> {
    names.into_iter().map(str::to_owned).collect()
}

/// Guards against work that is started at a machine which is about to go down, urgent work included.
#[rstest]
fn closed_worker_gets_nothing(#[values(0, 1)] policy: usize, #[values(0, 1)] priority: u32) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2).with_placement(POLICIES[policy]);
        rig.upkeep.closed = set(["i-0"]);
        rig.submit(job(JOB, priority, step(4, 8)));
        rig.plan();
        rig.advance(Duration::from_secs(10)).await;
        rig.plan();
        assert!(rig.runs_at("i-0").is_empty());
        assert_eq!(rig.runs_at("i-1").len(), 1);
        rig.upkeep = WorkerDrains::default();
        rig.plan();
        assert_eq!(rig.runs_at("i-0").len(), 1, "it is used again");
    });
}

/// Guards against a drain that stops what could end in time.
#[rstest]
fn run_at_closed_worker_goes_on(#[values(0, 1)] policy: usize) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1).with_placement(POLICIES[policy]);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        rig.upkeep.closed = set(["i-0"]);
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running]);
    });
}

/// Guards against runs that die with their machine without a stop, and against a gang that goes on without a member.
#[rstest]
fn runs_at_stopping_worker_stopped_with_their_gangs(#[values(0, 1)] policy: usize) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3).with_placement(POLICIES[policy]);
        rig.submit(job(JOB, 1, gang(2, 8)));
        rig.plan();
        let (first, second) = (rig.instance_of(&task(JOB, 0)), rig.instance_of(&task(JOB, 1)));
        rig.upkeep.closed = set([first.as_str()]);
        rig.upkeep.stopping = rig.upkeep.closed.clone();
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Stopping; 2]);
        rig.end(&task(JOB, 0), EndReason::Stopped);
        rig.end(&task(JOB, 1), EndReason::Stopped);
        rig.plan();
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running; 2], "placed elsewhere");
        assert!(rig.runs_at(&first).is_empty());
        assert_eq!(rig.runs_at(&second).len(), 1);
    });
}

/// Guards against a job that fails since the maintenance of machines took its runs away several times.
#[rstest]
#[case::emptied_for_maintenance(true)]
#[case::lost(false)]
fn run_lost_to_maintenance_not_counted(#[case] is_emptied: bool) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.plan();
        let instance = rig.instance_of(&task(JOB, 0));
        if is_emptied {
            rig.upkeep.stopping = set([instance.as_str()]);
            rig.plan();
            rig.upkeep = WorkerDrains::default();
        }
        rig.remove_worker(&instance);
        rig.plan();
        let losses = rig.table.losses.get(JOB).map_or(0, |losses| losses.iter().count());
        assert_eq!(losses, usize::from(!is_emptied));
        assert_eq!(rig.statuses(JOB), [TaskStatus::Running], "it runs elsewhere");
    });
}

fn load_of(rig: &PlannerRig) -> Load {
    let workers = rig.table.workers.keys().cloned().collect();
    Load::new(&rig.planner, &rig.inputs(), &workers, str::to_owned)
}

/// Guards against a machine that counts as idle while work ends there, and against work without an end that is waited for.
#[test]
fn load_tells_runs_and_time_until_idle() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        let endless = Step { long_running: true, ..step(1, 8) };
        rig.submit(job(JOB, 1, step(1, 8)));
        rig.submit(job("00000000000000bb", 1, endless));
        rig.plan();
        let load = load_of(&rig);
        let ends = rig.instance_of(&task(JOB, 0));
        let lasts = rig.instance_of(&task("00000000000000bb", 0));
        assert!(load.workers[&ends].until_idle.is_some_and(|time| time >= Duration::from_secs(4)));
        assert_eq!(load.workers[&lasts].until_idle, None);
        assert!(load.steps.is_empty(), "no step has a limit");
    });
}

/// Guards against a gang that goes away as a whole and counts by one member.
#[test]
fn load_counts_whole_gang() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        rig.submit(job(JOB, 1, Step { long_running: true, optional: Some(1), ..gang(2, 8) }));
        rig.plan();
        assert_eq!(load_of(&rig).workers["i-0"].limited[&(JOB.to_owned(), 0, 0)], 2);
    });
}

/// Guards against tasks that are away and don't count, and against tasks that have never run and do.
#[test]
fn load_counts_tasks_that_are_away() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        let limited = Step { long_running: true, optional: Some(1), ..step(3, 8) };
        rig.submit(job(JOB, 1, limited));
        rig.plan();
        let key = (JOB.to_owned(), 0, 0);
        assert_eq!((load_of(&rig).steps[&key].optional, load_of(&rig).steps[&key].away), (1, 0));
        rig.upkeep.stopping = set(["i-0"]);
        rig.plan();
        let load = load_of(&rig);
        assert_eq!(load.steps[&key].away, 1);
        assert!(load.workers["i-0"].limited.is_empty(), "it is counted once");
        assert_eq!(load.workers["i-0"].runs, 1);
        assert_eq!(load.workers["i-1"].limited[&key], 1);
    });
}
