//! The counts of what came of stops, which operators see as `rampbay_stops_total`.
//!
//! Metrics are counted for the whole process, so one test checks them all.

mod support;

use std::time::Duration;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::metrics::{OutcomeLabel, metrics};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::Placement;
use rampbay_jobs::record::{EndReason, Record};
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, step, task};

const JOB: &str = "00000000000000aa";
const URGENT: &str = "00000000000000cc";

fn counts() -> [u64; 3] {
    let count = |outcome| metrics().stops.get_or_create(&OutcomeLabel { outcome }).get();
    [count("in_time"), count("late"), count("unused")]
}

/// Lets an urgent job stop another one, and returns the rig once it is running.
fn rig_after_stop() -> PlannerRig {
    let mut rig = PlannerRig::of_workers(1).with_placement(Placement::ByCompletion);
    rig.submit(job(JOB, 2, Step { checkpointing: true, ..step(1, 8) }));
    rig.plan();
    rig.submit(Submission { submitted_at: rig.wall, ..job(URGENT, 0, step(1, 8)) });
    rig.plan();
    rig.end(&task(JOB, 0), EndReason::Stopped);
    rig.plan();
    assert_eq!(rig.status_of(&task(URGENT, 0)), TaskStatus::Running);
    rig
}

/// Each job that got room by stops is counted once, when it has ended: in time, late, or without a result. Counted by
/// the number of stops or at the start, the counts would not tell whether stops pay.
#[test]
fn stops_counted_by_outcome() {
    run_in_virtual_time(async {
        let before = counts();
        let mut rig = rig_after_stop();
        assert_eq!(counts(), before, "the job goes on");
        rig.end(&task(URGENT, 0), EndReason::Done);
        rig.plan();
        rig.plan();
        assert_eq!(counts(), [before[0] + 1, before[1], before[2]], "it ended in time");

        let mut rig = rig_after_stop();
        rig.advance(Duration::from_secs(11)).await;
        rig.end(&task(URGENT, 0), EndReason::Done);
        rig.plan();
        assert_eq!(counts(), [before[0] + 1, before[1] + 1, before[2]], "its objective is 10.5 s");

        let mut rig = rig_after_stop();
        rig.put(&Record::Cancelled(URGENT.to_owned()));
        rig.plan();
        rig.end(&task(URGENT, 0), EndReason::Stopped);
        rig.plan();
        assert_eq!(counts(), [before[0] + 1, before[1] + 1, before[2] + 1], "it was cancelled");
    });
}
