//! Jobs that are removed from the store some time after their end.
//!
//! The fault, found in a review: a job that had ended could start again, and its tasks run again although their ends had been
//! stored. The removals of its plan and of the job are separate records, and a round of more than 512 kB was divided between
//! them. A leader that failed between the two appends left a job without a plan.

mod support;

use std::time::Duration;

use rampbay_jobs::keys::plan_key;
use rampbay_jobs::plan::JobPlan;
use rampbay_jobs::record::{EndReason, KeyedRecord, Record};
use rampbay_jobs::store::{BYTES_PER_APPEND, split_into_appends};
use rampbay_jobs::table::JobTable;
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, settings, step, task};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000ff";

/// Lets a job end, and returns the records that remove it, with the plan that it had.
async fn removal() -> (Vec<KeyedRecord>, JobPlan) {
    let mut rig = PlannerRig::of_workers(1);
    rig.submit(job(JOB, 1, step(1, 1)));
    rig.plan();
    rig.end(&task(JOB, 0), EndReason::Done);
    rig.plan();
    rig.advance(settings().planner().ended_job_retention + Duration::from_secs(2)).await;
    let plan = rig.table.jobs[JOB].plan.clone().expect("a plan");
    (rig.round(), plan.as_ref().clone())
}

/// Whatever precedes the removal in its round, and wherever the round is divided: a leader that fails between two appends
/// leaves no job that starts again.
#[test]
fn job_removed_with_its_plan() {
    run_in_virtual_time(async {
        let (removal, plan) = removal().await;
        let submission = Record::Submitted(Box::new(job(JOB, 1, step(1, 1))));
        let kept = [submission.encode(), Record::Plan(JOB.to_owned(), Box::new(plan)).encode()];
        let bytes: usize = removal.iter().map(KeyedRecord::size).sum();
        let key = plan_key(OTHER);
        for space in 0..=bytes {
            let value = vec![0; BYTES_PER_APPEND - key.len() - space];
            let before = KeyedRecord { key: key.clone(), value };
            let records: Vec<KeyedRecord> = [before].into_iter().chain(removal.clone()).collect();
            let first = split_into_appends(&records).next().expect("an append");
            let is_removed = |record: &KeyedRecord| first.iter().any(|gone| gone.key == record.key);
            let left: Vec<KeyedRecord> =
                kept.iter().filter(|record| !is_removed(record)).cloned().collect();
            let mut table = JobTable::default();
            table.load(&left);
            assert!(
                !table.active.contains(JOB),
                "starts again with space for {space} of {bytes} bytes"
            );
        }
    });
}
