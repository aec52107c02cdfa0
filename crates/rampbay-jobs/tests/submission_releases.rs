//! Submissions that one release stores and another one reads.

mod support;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::record::{KeyedRecord, Record};
use rampbay_jobs::table::JobTable;
use rstest::rstest;
use serde::{Deserialize, Serialize};
use support::{job, step};

const JOB: &str = "00000000000000aa";

/// A submission as releases wrote it that don't know `speculative`.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct OlderSubmission {
    id: String,
    workspace: String,
    queue: String,
    service: String,
    priority: u32,
    attempts: u32,
    stretch_permille: u64,
    target_ms: u64,
    payload: String,
    steps: Vec<Step>,
    first_run_ms: u64,
    interval_ms: u64,
    occurrences: u32,
    submitted_at: u64,
}

/// The first kind of record, in the layout of these releases.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum OlderRecord {
    Submitted(Box<OlderSubmission>),
}

fn older(submission: &Submission) -> OlderRecord {
    let Submission { id, workspace, queue, service, payload, steps, .. } = submission.clone();
    OlderRecord::Submitted(Box::new(OlderSubmission {
        id,
        workspace,
        queue,
        service,
        priority: submission.priority,
        attempts: submission.attempts,
        stretch_permille: submission.stretch_permille,
        target_ms: submission.target_ms,
        payload,
        steps,
        first_run_ms: submission.first_run_ms,
        interval_ms: submission.interval_ms,
        occurrences: submission.occurrences,
        submitted_at: submission.submitted_at,
    }))
}

fn speculative_job() -> Submission {
    Submission { speculative: vec![0, 2], ..job(JOB, 1, step(4, 1)) }
}

/// A release that has just been started reads what an older one stored. Unread, all accepted jobs would be lost.
#[test]
fn older_record_read() {
    let submission = job(JOB, 1, step(4, 1));
    let value = postcard::to_allocvec(&older(&submission)).expect("encodable");
    let mut table = JobTable::default();
    table.apply(&KeyedRecord { key: format!("job/{JOB}"), value });
    assert_eq!(*table.jobs[JOB].submission, submission);
}

/// An older release reads the jobs that a newer one accepts, while both run during an upgrade.
#[rstest]
#[case::without_copies(job(JOB, 1, step(4, 1)))]
#[case::with_copies(speculative_job())]
fn newer_record_read_by_older(#[case] submission: Submission) {
    let value = Record::Submitted(Box::new(submission.clone())).encode().value;
    let read: OlderRecord = postcard::from_bytes(&value).expect("readable");
    assert_eq!(read, older(&submission));
}

/// What a still newer release adds is ignored.
#[rstest]
#[case::nothing_added(&[])]
#[case::field_added(&[3, 1, 2, 3])]
fn speculative_steps_kept(#[case] added: &[u8]) {
    let mut record = Record::Submitted(Box::new(speculative_job())).encode();
    record.value.extend_from_slice(added);
    let mut table = JobTable::default();
    table.apply(&record);
    let read = &table.jobs[JOB].submission;
    assert_eq!(**read, speculative_job());
    assert_eq!([0, 1, 2].map(|step| read.allows_copies(step)), [true, false, true]);
}
