//! Jobs that are removed from the store some time after their end.
//!
//! Found in a review: a job that had ended could begin anew, and its tasks run again after ends that were kept. The removals
//! of its account and of the job are records of their own, and a round of more than 512 kB was divided between them. A
//! leader that went between the two appends left a job without an account.

mod support;

use std::time::Duration;

use rampbay_jobs::keys::plan_key;
use rampbay_jobs::plan::JobPlan;
use rampbay_jobs::record::{EndReason, KeyedRecord, Record};
use rampbay_jobs::store::{BYTES_PER_APPEND, split_into_appends};
use rampbay_jobs::table::JobTable;
use support::planner::PlannerRig;
use support::{job, on_virtual_time, settings, step, task};

const JOB: &str = "00000000000000aa";
const OTHER: &str = "00000000000000ff";

/// Lets a job end, and returns what removes it, with the account that it had.
async fn removal() -> (Vec<KeyedRecord>, JobPlan) {
    let mut rig = PlannerRig::of_workers(1);
    rig.submit(job(JOB, 1, step(1, 1)));
    rig.plan();
    rig.end(&task(JOB, 0), EndReason::Done);
    rig.plan();
    rig.advance(settings().planner().ended_job_retention + Duration::from_secs(2)).await;
    let plan = rig.table.jobs[JOB].plan.clone().expect("an account");
    (rig.round(), plan.as_ref().clone())
}

/// Whatever goes before the removal in its round, and wherever that is divided: a leader that goes between two appends
/// leaves no job to begin anew.
#[test]
fn job_removed_with_its_account() {
    on_virtual_time(async {
        let (removal, plan) = removal().await;
        let submission = Record::Submitted(Box::new(job(JOB, 1, step(1, 1))));
        let kept = [submission.encode(), Record::Plan(JOB.to_owned(), Box::new(plan)).encode()];
        let bytes: usize = removal.iter().map(KeyedRecord::size).sum();
        let key = plan_key(OTHER);
        for room in 0..=bytes {
            let value = vec![0; BYTES_PER_APPEND - key.len() - room];
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
                "begins anew with room for {room} of {bytes} bytes"
            );
        }
    });
}
