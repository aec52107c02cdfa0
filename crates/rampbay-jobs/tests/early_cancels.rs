//! Cancellations that are stored without their jobs: whom they bind, and how they end.

mod support;

use std::time::Duration;

use rampbay_jobs::cancel::{Canceller, EarlyCancel, number_at};
use rampbay_jobs::job::{EpochMillis, Submission};
use rampbay_jobs::keys::{STRAY_CANCELS_TIMER, early_cancel_key};
use rampbay_jobs::record::{KeyedRecord, Record, StoredTimer, removal};
use rampbay_jobs::table::{JobTable, MAX_EARLY_CANCELS_PER_WORKSPACE};
use rstest::rstest;
use support::planner::PlannerRig;
use support::{canceller, job, run_in_virtual_time, step};
use tokio::time::{Instant, sleep};

const JOB: &str = "00000000000000aa";
/// Ten times the longest delay with which a call was seen to be carried out.
const MIN_RETENTION: Duration = Duration::from_secs(120);
/// Twice as long, with the check for new ones.
const MAX_RETENTION: Duration = Duration::from_secs(242);
/// Time for which each leader leads where leaders change.
const TERM: Duration = Duration::from_secs(15);
/// Most of a wait that each new leader repeats.
const REPEATED: Duration = Duration::from_secs(2);
/// When the job is submitted.
const SUBMITTED_AT: EpochMillis = 1_000;

fn cancel_by(workspace: &str, queue: &str, is_queue_public: bool) -> Canceller {
    Canceller { workspace: workspace.to_owned(), queue: queue.to_owned(), is_queue_public }
}

fn early_cancel(id: &str, position: u64) -> Record {
    let number = number_at(position, 0);
    Record::EarlyCancel(Box::new(EarlyCancel {
        job: id.to_owned(),
        number,
        canceller: canceller(),
    }))
}

fn early_cancels(table: &JobTable) -> usize {
    table.stray_cancels().len()
}

/// Guards against a caller who stops a job of another workspace, and against one who can't stop its own.
#[rstest]
#[case::own_workspace("w", "q", cancel_by("w", "q", false), true)]
#[case::own_workspace_other_queue("w", "q", cancel_by("w", "other", false), true)]
#[case::other_workspace("w", "q", cancel_by("other", "q", false), false)]
#[case::without_key_other_queue("w", "q", cancel_by("", "other", true), false)]
#[case::public_queue_without_key("w", "q", cancel_by("", "q", true), true)]
#[case::public_queue_with_key("", "q", cancel_by("w", "q", true), true)]
#[case::unowned_job_queue_no_longer_public("", "q", cancel_by("w", "q", false), true)]
#[case::unowned_job_other_public_queue("", "q", cancel_by("", "other", true), false)]
#[case::unowned_job_other_queue("", "q", cancel_by("w", "other", true), false)]
fn may_cancel(
    #[case] workspace: &str,
    #[case] queue: &str,
    #[case] canceller: Canceller,
    #[case] expected: bool,
) {
    let submission = Submission {
        workspace: workspace.to_owned(),
        queue: queue.to_owned(),
        submitted_at: SUBMITTED_AT,
        ..job(JOB, 1, step(1, 1))
    };
    assert_eq!(canceller.may_cancel(&submission), expected);
}

/// Advances the time until no cancellation is left, with a new leader after each `term`, and returns the time.
async fn measure_retention(rig: &mut PlannerRig, term: Duration) -> Duration {
    let started = Instant::now();
    let mut term_began = started;
    while early_cancels(&rig.table) > 0 {
        assert!(started.elapsed() < 2 * MAX_RETENTION, "the cancellation is never removed");
        rig.plan();
        rig.advance(Duration::from_millis(500)).await;
        if term_began.elapsed() >= term {
            rig.take_over();
            term_began = Instant::now();
        }
    }
    started.elapsed()
}

/// Guards against cancellations of jobs that never come and are kept for ever, also where leaders follow each other, and
/// against ones that are removed before their jobs can come.
#[rstest]
#[case::one_leader(Duration::MAX)]
#[case::leaders_that_change(TERM)]
fn cancellation_without_job_removed(#[case] term: Duration) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(1);
        rig.put(&early_cancel(JOB, 7));
        let kept = measure_retention(&mut rig, term).await;
        let terms = u32::try_from(kept.as_secs() / term.as_secs().max(1)).expect("few terms");
        let most = MIN_RETENTION + Duration::from_secs(2) + REPEATED * terms;
        assert!(kept >= MIN_RETENTION && kept <= most, "{kept:?}");
        assert!(rig.table.timers.is_empty(), "the timer ends");
    });
}

/// Guards against a wait that each leader begins anew, for the cancellations that have come since the last one did.
#[test]
fn cancellation_beside_newer_ones_removed_under_leaders_that_change() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.put(&early_cancel(JOB, 7));
        let started = Instant::now();
        let mut terms = 0;
        while rig.table.cancels().early_of(JOB).count() > 0 {
            let most = MIN_RETENTION + Duration::from_secs(2) + REPEATED * terms;
            assert!(started.elapsed() <= most, "after {terms} leaders");
            for _ in 0..TERM.as_secs() {
                rig.plan();
                rig.advance(Duration::from_secs(1)).await;
            }
            terms += 1;
            rig.put(&early_cancel("00000000000000bb", 7 + u64::from(terms)));
            rig.take_over();
        }
    });
}

/// A late copy of a cancellation whose job has been removed is removed, too.
#[test]
fn copy_of_cancellation_of_known_job_removed() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.put(&Record::Cancelled(JOB.to_owned()));
        measure_retention(&mut rig, Duration::MAX).await;
    });
}

/// A cancellation that is stored just before the others are removed is kept as long as they were.
#[test]
fn cancellation_during_wait_kept_whole_time() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.put(&early_cancel("00000000000000bb", 7));
        rig.plan();
        while early_cancels(&rig.table) > 0 && rig.started.elapsed() < Duration::from_secs(119) {
            rig.advance(Duration::from_secs(1)).await;
            rig.plan();
        }
        rig.put(&early_cancel(JOB, 9));
        let kept = measure_retention(&mut rig, Duration::MAX).await;
        assert!(kept >= MIN_RETENTION && kept <= MAX_RETENTION, "{kept:?}");
    });
}

/// As many as are kept of one workspace are removed soon after their wait.
#[test]
fn many_cancellations_removed_together() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        for number in 0..MAX_EARLY_CANCELS_PER_WORKSPACE as u64 {
            rig.put(&early_cancel(&format!("{number:016x}"), number));
        }
        assert!(rig.table.cancels().is_full_for(&canceller().workspace));
        let kept = measure_retention(&mut rig, Duration::MAX).await;
        assert!(kept <= MIN_RETENTION + Duration::from_secs(2), "{kept:?}");
        assert!(!rig.table.cancels().is_full_for(&canceller().workspace));
    });
}

/// A cancellation that the leader's timer covers is removed when the timer ends, so a repeated call stores another one.
#[test]
fn covered_cancellation_not_kept_for_repeated_call() {
    let mut table = JobTable::default();
    table.apply(&early_cancel(JOB, 7).encode());
    assert!(table.keeps_early_cancel(JOB, &canceller()));
    assert!(!table.keeps_early_cancel(JOB, &cancel_by("other", "queue-1", false)));
    let name = format!("{STRAY_CANCELS_TIMER}{}", number_at(7, 0));
    table.apply(&Record::Timers(vec![StoredTimer { name, elapsed_ms: 2_000 }]).encode());
    assert!(!table.keeps_early_cancel(JOB, &canceller()));
    table.apply(&early_cancel(JOB, 8).encode());
    assert!(table.keeps_early_cancel(JOB, &canceller()));
}

/// A removal that was decided before the cancellation was repeated leaves the newer one.
#[test]
fn removal_under_way_keeps_newer_cancellation() {
    let mut table = JobTable::default();
    table.apply(&early_cancel(JOB, 7).encode());
    table.apply(&early_cancel(JOB, 8).encode());
    table.apply(&removal(early_cancel_key(JOB, number_at(7, 0))));
    table.apply(&Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))).encode());
    assert!(table.jobs[JOB].cancelled);
}

/// A job that is stored while the removal of its cancellation is under way counts alike in a table that followed the
/// records and in one that reads the newest of each key.
#[test]
fn job_beside_removal_alike_after_reload() {
    let cancel = early_cancel(JOB, 7).encode();
    let submitted = Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))).encode();
    let removed = removal(cancel.key.clone());
    let mut followed = JobTable::default();
    [&cancel, &submitted, &removed].into_iter().for_each(|record| followed.apply(record));
    let mut loaded = JobTable::default();
    loaded.load(std::slice::from_ref(&submitted));
    assert_eq!(followed.jobs[JOB].cancelled, loaded.jobs[JOB].cancelled);
}

/// The records of a table that is read anew come in any order.
#[rstest]
#[case::job_first(false)]
#[case::cancellation_first(true)]
fn reloaded_job_stays_cancelled(#[case] reversed: bool) {
    let mut records: Vec<KeyedRecord> = vec![
        Record::Submitted(Box::new(job(JOB, 1, step(1, 1)))).encode(),
        early_cancel(JOB, 7).encode(),
    ];
    if reversed {
        records.reverse();
    }
    let mut table = JobTable::default();
    table.load(&records);
    assert!(table.jobs[JOB].cancelled);
}

/// The cancellations of a job are removed with it.
#[test]
fn removed_job_leaves_no_cancellation() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(1);
        rig.put(&early_cancel(JOB, 7));
        rig.put(&early_cancel(JOB, 8));
        rig.submit(job(JOB, 1, step(1, 1)));
        rig.plan();
        assert_eq!(early_cancels(&rig.table), 0, "they cancel the job");
        for _ in 0..300 {
            sleep(Duration::from_secs(1)).await;
            rig.plan();
        }
        assert!(rig.table.jobs.is_empty());
        assert_eq!(rig.table.cancels().early_of(JOB).count(), 0);
    });
}
