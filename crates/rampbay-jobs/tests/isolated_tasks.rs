//! Tasks that are isolated from others, since they have lost workers.
//!
//! Guards against accepted jobs that make no progress while most accelerators are free. After three power losses of
//! all machines each worker held an isolated task (`power_losses`), and an urgent job stopped one of them again and
//! again, since that task was placed before the urgent job each time.

mod support;

use std::time::Duration;

use rampbay_jobs::losses::{JobLosses, LostRun, UnitKey, UnitLosses};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::record::Record;
use support::planner::{PlannerRig, gang};
use support::{job, run_in_virtual_time, step, task};

const SUSPECT: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";

/// Submits a job whose task has lost three workers, one after the other.
fn submit_suspect(rig: &mut PlannerRig) {
    rig.submit(job(SUSPECT, 2, step(1, 1)));
    let lost = |attempt: u32| LostRun {
        attempt,
        instance: format!("i-gone-{attempt}"),
        node: format!("side-gone-{attempt}"),
        at: rig.wall,
        is_proof: false,
        was_youngest: true,
        may_have_begun: true,
    };
    let unit = (UnitKey::of(&task(SUSPECT, 0), false), UnitLosses((1..=3).map(lost).collect()));
    let losses = JobLosses([unit].into());
    rig.put(&Record::Losses(SUSPECT.to_owned(), Box::new(losses)));
}

#[test]
fn urgent_job_placed_before_isolated_tasks() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(2);
        submit_suspect(&mut rig);
        rig.submit(job(OTHER, 0, gang(2, 8)));
        rig.advance(Duration::from_millis(500)).await;
        rig.plan();
        assert_eq!(rig.statuses(OTHER), vec![TaskStatus::Running; 2]);
    });
}
