//! Jobs in the store, as releases read each other's.

mod support;

use rampbay_jobs::job::{Step, Submission};
use rampbay_jobs::record::{KeyedRecord, Record, encode};
use rampbay_jobs::table::JobTable;
use rstest::rstest;

use support::{job, step};

const ID: &str = "00000000000000aa";

/// A job's record in the releases without later fields of steps.
#[derive(serde::Serialize, serde::Deserialize)]
enum EarlierRecord {
    Submitted(Box<Submission>),
}

fn with_optional(optional: Option<u32>) -> Submission {
    let limited = Step { optional, long_running: true, ..step(3, 1) };
    let job = job(ID, 1, step(1, 1));
    Submission { steps: vec![step(1, 1), limited], ..job }
}

/// Guards against a field that is lost in the store.
#[rstest]
#[case::none(None)]
#[case::zero(Some(0))]
#[case::some(Some(70_000))]
fn optional_stored(#[case] optional: Option<u32>) {
    let record = Record::Submitted(Box::new(with_optional(optional)));
    assert_eq!(Record::decode(&record.encode()).expect("a record"), record);
}

/// Guards against jobs that are lost in an upgrade.
#[test]
fn record_of_earlier_release_read() {
    let job = with_optional(None);
    let value = encode(&EarlierRecord::Submitted(Box::new(job.clone())));
    let record = KeyedRecord { key: format!("job/{ID}"), value };
    assert_eq!(Record::decode(&record).expect("a record"), Record::Submitted(Box::new(job)));
}

/// Guards against jobs that an earlier release can't read while releases are mixed.
#[rstest]
#[case::without_field(None)]
#[case::with_field(Some(2))]
fn record_read_by_earlier_release(#[case] optional: Option<u32>) {
    let value = Record::Submitted(Box::new(with_optional(optional))).encode().value;
    let read: EarlierRecord = postcard::from_bytes(&value).expect("an earlier record");
    let EarlierRecord::Submitted(job) = read;
    assert_eq!(*job, with_optional(None));
}

/// Guards against records that grow, and whose old and new forms differ, for jobs without the field.
#[test]
fn job_without_later_fields_stored_as_before() {
    let job = with_optional(None);
    let before = encode(&EarlierRecord::Submitted(Box::new(job.clone())));
    assert_eq!(Record::Submitted(Box::new(job)).encode().value, before);
}

/// Guards against the progress of a wave that stays in the state after its removal.
#[test]
fn wave_progress_applied_and_removed() {
    use rampbay_jobs::keys::upkeep_key;
    use rampbay_jobs::record::removal;
    use rampbay_jobs::upkeep::record::WaveProgress;
    use rampbay_jobs::upkeep::wave::WaveOrder;
    let order = WaveOrder::Unreadable("a reason".to_owned());
    let progress = WaveProgress::new(7, order, 1000);
    let mut table = JobTable::default();
    table.apply(&Record::Upkeep(Box::new(progress.clone())).encode());
    assert_eq!(table.upkeep[&7].as_ref(), &progress);
    table.apply(&removal(upkeep_key(7)));
    assert!(table.upkeep.is_empty());
}
