//! Tasks that are kept apart from others, since workers went while they ran.
//!
//! Seen: after three losses of power of all machines, accepted jobs stood still for as long as anybody looked, while most
//! accelerators were free. Each worker held a task of its own that nothing might join, and an urgent job stopped one of
//! them again and again: it was placed before the urgent job each time.

mod support;

use std::time::Duration;

use rampbay_jobs::account::TaskStatus;
use rampbay_jobs::losses::{JobLosses, LostRun, UnitKey, UnitLosses};
use rampbay_jobs::record::Record;
use rstest::rstest;
use support::planner::{PlannerRig, gang};
use support::{job, on_virtual_time, step, task};

const SUSPECT: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";
const WORKERS: usize = 12;

/// Submits a job each of whose tasks has lost so many workers, one after the other.
fn submit_suspects(rig: &mut PlannerRig, count: u32, losses: u32) {
    rig.submit(job(SUSPECT, 2, step(count, 1)));
    let lost = |attempt: u32| LostRun {
        attempt,
        instance: format!("i-gone-{attempt}"),
        node: format!("side-gone-{attempt}"),
        at: rig.wall,
        is_proof: false,
        was_youngest: true,
        may_have_begun: true,
    };
    let of_task = UnitLosses((1..=losses).map(lost).collect());
    let unit = |index| (UnitKey::of(&task(SUSPECT, index), false), of_task.clone());
    let losses = JobLosses((0..count).map(unit).collect());
    rig.put(&Record::Losses(SUSPECT.to_owned(), Box::new(losses)));
}

#[rstest]
fn most_workers_left_to_others(#[values(1, 2, 3, 4)] losses: u32) {
    on_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(WORKERS);
        submit_suspects(&mut rig, WORKERS as u32, losses);
        rig.submit(job(OTHER, 2, step(4, 1)));
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![TaskStatus::Running; 4]);
    });
}

#[test]
fn urgent_job_placed_before_tasks_kept_apart() {
    on_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        submit_suspects(&mut rig, 1, 3);
        rig.submit(job(OTHER, 0, gang(2, 8)));
        rig.pass(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![TaskStatus::Running; 2]);
    });
}
