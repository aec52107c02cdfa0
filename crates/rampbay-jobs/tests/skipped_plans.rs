//! Plans that an agent skips, because their jobs aren't known to it.
//! An agent that such a plan doesn't concern goes on as before, and one that it concerns reloads the state once.

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

fn plan_record() -> Record {
    Record::Plan(JOB.to_owned(), Box::new(running_plan(1, WORKER, 1)))
}

/// A plan that is passed on to all agents arrives without its job at those that it doesn't concern.
#[rstest]
#[case::concerned("side-1", true)]
#[case::other("side-9", false)]
fn plan_without_job_is_gap_of_its_agent_only(#[case] agent: &str, #[case] lacks: bool) {
    let mut table = table();
    table.apply(&plan_record().encode());
    assert_eq!(table.lacks_job_for(agent), lacks);
}

/// The gap is closed once the state has been read in full.
#[test]
fn gap_closed_once_state_is_read() {
    let mut table = table();
    table.apply(&plan_record().encode());
    let submission = Record::Submitted(Box::new(job(JOB, 1, step(1, 1))));
    let worker = Record::Worker(WORKER.to_owned(), Box::new(worker_record("side-1", "r1", 8)));
    table.load(&[plan_record().encode(), submission.encode(), worker.encode()]);
    assert!(!table.lacks_job_for("side-1"));
}

/// A plan of a removed job, none of whose runs may exist, is a gap of no agent.
#[test]
fn plan_without_runs_is_no_gap() {
    let mut table = table();
    table.apply(&Record::Plan(JOB.to_owned(), Box::default()).encode());
    assert!(!table.lacks_job_for("side-1"));
}
