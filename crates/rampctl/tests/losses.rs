//! Outcomes of jobs and their counts, from log lines as the processes write them.

use rampctl::losses::{JobHistories, LogLine, Loss, Report, StopRow};
use rstest::rstest;

const ACCEPTED: &str = "time_ms=1000 level=INFO node=e event=J202 job accepted job=aa config=1 queue=q workspace=w priority=0 steps=1x1 estimate_ms=2000 objective_ms=3000";

const GIVEN_UP: &str = "time_ms=9000 level=WARN node=e event=J147 task given up, its workers crash under it task=aa.0.0.0 losses=3 proofs=2 at=[\"s-1\"]";

fn histories(lines: &[&str]) -> JobHistories {
    let mut histories = JobHistories::default();
    let parsed = lines.iter().filter_map(|line| LogLine::parse(line));
    parsed.for_each(|line| histories.apply(&line));
    histories
}

/// Writes the lines of a job's run: assigned, ordered, ended and settled at these times.
fn run(assigned: u64, ordered: u64, ended: u64, settled: u64) -> Vec<String> {
    vec![
        format!("time_ms={assigned} event=J150 run assigned task=aa.0.0.0 attempt=1 worker=i"),
        format!("time_ms={ordered} event=J166 run ordered task=aa.0.0.0 attempt=1 worker=i"),
        format!("time_ms={ended} event=J165 run over task=aa.0.0.0 attempt=1 reason=Done"),
        format!("time_ms={settled} event=J133 job settled job=aa status=Succeeded wall=1"),
    ]
}

#[rstest]
#[case::in_time(run(1010, 1020, 3020, 3030), Loss::InTime)]
#[case::no_room(run(3000, 3010, 5000, 5010), Loss::WaitedForRoom)]
#[case::order_late(run(1010, 3500, 5500, 5510), Loss::OrderedLate)]
#[case::long_run(run(1010, 1020, 6000, 6010), Loss::RanLong)]
#[case::told_late(run(1010, 1020, 3020, 5500), Loss::ToldLate)]
#[case::never_ended(vec![], Loss::NotEnded)]
#[case::given_up(vec![GIVEN_UP.to_owned()], Loss::CrashedWorkers)]
fn loss_of_job(#[case] run: Vec<String>, #[case] expected: Loss) {
    let lines: Vec<&str> =
        std::iter::once(ACCEPTED).chain(run.iter().map(String::as_str)).collect();
    assert_eq!(histories(&lines).jobs["aa"].loss(), expected);
}

#[test]
fn loss_ran_again() {
    let first = run(1010, 1020, 1500, 0);
    let second = run(4000, 4010, 6000, 6010);
    let lines: Vec<&str> = std::iter::once(ACCEPTED)
        .chain(first[..3].iter().chain(&second).map(String::as_str))
        .collect();
    assert_eq!(histories(&lines).jobs["aa"].loss(), Loss::RanAgain);
}

/// The leader reads a job from the store, and may log its assignment before the entry logs its
/// acceptance.
#[test]
fn loss_of_job_assigned_before_its_acceptance_is_logged() {
    const BASE: u64 = 1_700_000_000_000;
    let accepted = ACCEPTED.replace("time_ms=1000", &format!("time_ms={}", BASE + 1000));
    let run = run(BASE + 990, BASE + 1010, BASE + 8000, BASE + 8010);
    let lines: Vec<&str> = std::iter::once(run[0].as_str())
        .chain([accepted.as_str()])
        .chain(run[1..].iter().map(String::as_str))
        .collect();
    assert_eq!(histories(&lines).jobs["aa"].loss(), Loss::RanLong);
}

/// A job whose log lines include neither its acceptance nor a refusal has no known time of submission.
#[test]
fn report_leaves_out_jobs_without_acceptance_or_refusal() {
    let run = run(900, 950, 2950, 2960);
    let lines: Vec<&str> = run.iter().map(String::as_str).collect();
    assert_eq!(Report::of(&histories(&lines)), Report::default());
}

#[rstest]
#[case::never_taken("504", false, Loss::Refused)]
#[case::taken_later("503", true, Loss::NotEnded)]
fn loss_refused(#[case] status: &str, #[case] accepted: bool, #[case] expected: Loss) {
    let refused =
        format!("time_ms=900 event=J201 call answered method=POST path=/q/aa status={status}");
    let lines: Vec<&str> =
        std::iter::once(refused.as_str()).chain(accepted.then_some(ACCEPTED)).collect();
    assert_eq!(histories(&lines).jobs["aa"].loss(), expected);
}

/// Lines gathered from several processes have a prefix; lines without a time or an event number are
/// skipped.
#[rstest]
#[case::gathered("  1.0 edge-1 time_ms=5 level=INFO event=J1 x y=2", Some(5))]
#[case::foreign("worth 0.5 of all", None)]
#[case::no_number("time_ms=5 level=INFO", None)]
fn parse_line(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(LogLine::parse(text).map(|line| line.time), expected);
}

#[test]
fn report_stops() {
    let stop = "time_ms=1005 event=J151 run stopped for urgent work task=bb.0.0.0 for_job=aa lost_work=2500";
    let run = run(1010, 1020, 3020, 3030);
    let lines: Vec<&str> =
        [ACCEPTED, stop, stop].into_iter().chain(run.iter().map(String::as_str)).collect();
    let report = Report::of(&histories(&lines));
    let row = StopRow { beneficiary: Loss::InTime, stops: 2, lost_core_s: 5 };
    assert_eq!(report.stops, vec![row]);
    insta::assert_snapshot!(rampctl::grids::losses(&report));
}
