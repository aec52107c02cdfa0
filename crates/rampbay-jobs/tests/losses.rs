//! When a task is given up for what it has lost, and how far it is kept apart, case by case.

use rampbay_jobs::losses::{InFlightRun, Isolation, JobLosses, LostRun, UnitKey, UnitLosses};
use rstest::rstest;

/// A loss at a minute of its own.
fn lost(attempt: u32) -> LostRun {
    LostRun {
        attempt,
        instance: format!("i-{attempt}"),
        node: format!("side-{attempt}"),
        at: 60_000 * u64::from(attempt),
        may_have_begun: true,
        ..LostRun::default()
    }
}

fn proof(attempt: u32) -> LostRun {
    LostRun { is_proof: true, ..lost(attempt) }
}

fn losses(of: &[LostRun]) -> UnitLosses {
    let mut losses = UnitLosses::default();
    of.iter().for_each(|lost| {
        losses.add(lost.clone());
    });
    losses
}

#[rstest]
#[case::none(&[], false)]
#[case::two_proofs(&[proof(1), proof(2)], false)]
#[case::beside_others_first(&[lost(1), proof(2), proof(3)], true)]
#[case::beside_others_between(&[proof(1), lost(2), proof(3)], true)]
#[case::one_proof(&[lost(1), lost(2), proof(3)], false)]
#[case::four_without_proof(&[lost(1), lost(2), lost(3), lost(4)], false)]
#[case::five_without_proof(&[lost(1), lost(2), lost(3), lost(4), lost(5)], true)]
#[case::one_run_many_times(&[proof(1), proof(1), proof(1), proof(1), proof(1)], false)]
fn given_up(#[case] of: &[LostRun], #[case] expected: bool) {
    assert_eq!(losses(of).is_convicted(), expected);
}

#[rstest]
#[case::none(&[], Isolation::None)]
#[case::older_than_others(&[lost(1)], Isolation::None)]
#[case::youngest(&[LostRun { was_youngest: true, ..lost(1) }], Isolation::Preferred)]
#[case::two(&[lost(1), lost(2)], Isolation::Preferred)]
#[case::three(&[lost(1), lost(2), lost(3)], Isolation::First)]
fn kept_apart(#[case] of: &[LostRun], #[case] expected: Isolation) {
    assert_eq!(losses(of).isolation(), expected);
}

#[test]
fn losses_of_long_ago_no_longer_count() {
    let hour_ms = 3_600_000;
    let mut known = losses(&[lost(1), lost(2), lost(3), lost(4)]);
    known.add(LostRun { at: hour_ms + 2 * 60_000 + 1, ..lost(70) });
    let attempts: Vec<u32> = known.0.iter().map(|lost| lost.attempt).collect();
    assert_eq!(attempts, [3, 4, 70]);
}

/// Another member of a gang went with a worker where it had no neighbour: that proves something against the gang.
#[test]
fn members_of_one_run_count_once_with_all_their_evidence() {
    let mut known = losses(&[lost(1)]);
    assert!(!known.add(LostRun { instance: "i-9".to_owned(), ..proof(1) }));
    assert_eq!((known.0.len(), known.proofs()), (1, 1));
}

#[rstest]
#[case::at_once(0, true, true)]
#[case::soon_after(1_900, false, false)]
#[case::soon_after_and_begun(1_900, true, true)]
#[case::later(2_100, false, true)]
fn loss_of_a_run_that_may_not_have_begun(
    #[case] after_ms: u64,
    #[case] may_have_begun: bool,
    #[case] counts: bool,
) {
    let mut known = losses(&[lost(1)]);
    let next = LostRun { at: lost(1).at + after_ms, may_have_begun, ..lost(2) };
    assert_eq!(known.add(next), counts);
}

#[rstest]
#[case::never_listed(0, true)]
#[case::listed_for_less_than_a_second(999, true)]
#[case::listed_for_longer(1_000, false)]
fn worker_went_soon(#[case] listed_ms: u64, #[case] expected: bool) {
    let task = "00000000000000aa.0.0.0".parse().expect("a task");
    assert_eq!(InFlightRun { task, attempt: 1, age_ms: 9_000, listed_ms }.went_soon(), expected);
}

#[test]
fn losses_at_workers_that_are_back_forgotten() {
    let mut job = JobLosses::default();
    let key = |index| UnitKey { occurrence: 0, step: 0, index };
    job.0.insert(key(0), losses(&[lost(1), lost(2)]));
    job.0.insert(key(1), losses(&[lost(1)]));
    job.forgive(|instance| instance == "i-1");
    assert_eq!(job.0.keys().collect::<Vec<_>>(), [&key(0)]);
    assert_eq!(job.iter().map(|lost| lost.attempt).collect::<Vec<_>>(), [2]);
}
