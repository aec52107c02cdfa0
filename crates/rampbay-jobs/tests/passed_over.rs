//! Accounts that an agent passes over, since their jobs aren't known to it.
//! An agent that such an account doesn't concern goes on as before, and one that it does concern reads the state anew once.

mod support;

use rampbay_jobs::record::Record;
use rampbay_jobs::table::JobTable;
use rstest::rstest;
use support::{job, running_plan, step, worker_record};

const JOB: &str = "00000000000000aa";
const WORKER: &str = "i-1";
const OTHER: &str = "i-9";

fn table() -> JobTable {
    let worker = |instance: &str, node: &str| {
        Record::Worker(instance.to_owned(), Box::new(worker_record(node, "r1", 8))).encode()
    };
    let mut table = JobTable::default();
    table.load(&[worker(WORKER, "side-1"), worker(OTHER, "side-9")]);
    table
}

fn account() -> Record {
    Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1)))
}

/// An account that goes to all agents comes without its job to those that it doesn't concern.
#[rstest]
#[case::concerned("side-1", true)]
#[case::other("side-9", false)]
fn account_without_job_lacked_by_its_agent_alone(#[case] agent: &str, #[case] lacks: bool) {
    let mut table = table();
    table.apply(&account().encode());
    assert_eq!(table.lacks_job_for(agent), lacks);
}

/// What was lacking is there after the state was read as a whole.
#[test]
fn gap_over_once_state_is_read() {
    let mut table = table();
    table.apply(&account().encode());
    let submission = Record::Submitted(Box::new(job(JOB, 1, step(1, 1))));
    let worker = Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    table.load(&[account().encode(), submission.encode(), worker.encode()]);
    assert!(!table.lacks_job_for("side-1"));
}

/// An account of a job that was removed, none of whose runs may exist, is nobody's gap.
#[test]
fn account_without_runs_lacked_by_nobody() {
    let mut table = table();
    table.apply(&Record::Plan(JOB.to_owned(), Box::default()).encode());
    assert!(!table.lacks_job_for("side-1"));
}
