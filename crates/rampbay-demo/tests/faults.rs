//! Faults in a site of real entries and side processes on loopback, checked against the stand-ins'
//! own records.

use std::time::Duration;

use rampbay_demo::site::{RunningSite, SiteOptions};
use rampbay_load::{
    report::Report,
    run::{Plan, run},
};
use rampbay_standin::{faults::FaultSet, settings::Site};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

async fn site() -> RunningSite {
    let lag = Duration::from_millis(300);
    let options = SiteOptions::new(Site::stockline()).entries(2).upstreams(4).lag(lag);
    RunningSite::start(options).await.expect("site starts")
}

fn plan(site: &RunningSite, seed: u64) -> Plan {
    Plan {
        targets: site.callers(),
        rate: 150.0,
        count: 450,
        workspaces: site.workspaces().iter().map(|(name, _)| (name.to_string(), 1.0)).collect(),
        work: Duration::from_millis(20),
        exponential: true,
        gangs: 0.2,
        gang_devices: vec![1, 2, 4],
        once: 0.4,
        deadline: Duration::from_secs(8),
        seed,
        prefix: format!("s{seed}"),
        ..Plan::default()
    }
}

/// Checks a run against the stand-ins' records.
fn check_run(site: &RunningSite, report: &Report, once: impl Fn(&str) -> bool) {
    let starts = site.starts();
    assert_eq!(report.wrong_answers, 0, "answers are complete and belong to their requests");
    for id in &report.not_run {
        assert!(!starts.contains_key(id), "{id} was refused as not run, but started");
    }
    for id in &report.answered {
        assert!(starts.contains_key(id), "{id} was answered, but never started");
    }
    for (id, count) in &starts {
        assert!(*count <= 1 || !once(id), "{id} may run at most once, started {count} times");
    }
    let workers = site.platform.workers.record();
    assert_eq!(workers.opened_in_part, 0, "no gang runs before all its parts are committed");
    for upstream in &site.upstreams {
        let most = upstream.model.record().most_busy;
        // A side process that was killed leaves its requests running at the upstream.
        assert!(most <= 16, "slots: {most}");
    }
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    SideKilled,
    SideRestarted,
    SideDrained,
    EntryKilled,
    UpstreamsFail,
    UpstreamsCut,
    LogDown,
    LogLosesAnswers,
    WorkersLoseAnswers,
    WorkerKilled,
    ListDown,
}

async fn inject(site: &mut RunningSite, fault: Fault) {
    match fault {
        Fault::SideKilled => site.kill_side(0),
        Fault::SideRestarted => {
            site.kill_side(1);
            tokio::time::sleep(Duration::from_millis(100)).await;
            site.start_side(1).await.expect("side process starts again");
        }
        Fault::SideDrained => site.upstreams[2].side.as_ref().expect("side runs").begin_drain(),
        Fault::EntryKilled => site.kill_entry(1),
        Fault::UpstreamsFail => {
            for upstream in &site.upstreams {
                upstream.model.faults.set(FaultSet { fail_percent: 10, ..FaultSet::default() });
            }
        }
        Fault::UpstreamsCut => {
            for upstream in &site.upstreams {
                upstream.model.faults.set(FaultSet { cut_percent: 10, ..FaultSet::default() });
            }
        }
        Fault::LogDown => {
            site.platform.log.faults.set(FaultSet { down: true, ..FaultSet::default() });
        }
        Fault::LogLosesAnswers => {
            let set = FaultSet { lose_answer_percent: 50, ..FaultSet::default() };
            site.platform.log.faults.set(set);
        }
        Fault::WorkersLoseAnswers => {
            let set = FaultSet { lose_answer_percent: 10, ..FaultSet::default() };
            site.platform.workers.faults.set(set);
        }
        Fault::WorkerKilled => site.platform.workers.kill("kwadaso-hall-w0"),
        Fault::ListDown => {
            site.platform.boxes.faults.set(FaultSet { down: true, ..FaultSet::default() });
        }
    }
}

/// Returns the ids of requests that must run at most once, as the load's seed determines them.
fn at_most_once_ids(plan: &Plan) -> Vec<String> {
    rampbay_load::run::at_most_once_ids(plan)
}

#[rstest]
#[case::side_process_killed_at_most_once_work_is_unknown_or_done(Fault::SideKilled)]
#[case::side_process_restarts_earlier_attempts_never_start(Fault::SideRestarted)]
#[case::side_process_drains_its_work_moves(Fault::SideDrained)]
#[case::entry_killed_others_continue(Fault::EntryKilled)]
#[case::upstreams_fail_retries_stay_within_budget(Fault::UpstreamsFail)]
#[case::upstreams_cut_answers_are_whole_or_none(Fault::UpstreamsCut)]
#[case::log_is_down_at_most_once_work_is_refused(Fault::LogDown)]
#[case::log_loses_answers_claims_are_settled_by_reading(Fault::LogLosesAnswers)]
#[case::workers_lose_answers_no_gang_in_part(Fault::WorkersLoseAnswers)]
#[case::worker_killed_gangs_start_again(Fault::WorkerKilled)]
#[case::list_is_down_last_known_list_is_used(Fault::ListDown)]
#[tokio::test(flavor = "multi_thread")]
async fn fault_under_load_promises_hold(#[case] fault: Fault) {
    let mut site = site().await;
    let plan = plan(&site, 1);
    let load = tokio::spawn({
        let plan = plan.clone();
        async move { run(&plan, |_| {}).await }
    });
    tokio::time::sleep(Duration::from_millis(700)).await;
    inject(&mut site, fault).await;
    let report = load.await.expect("load ends");
    println!("{fault:?}: {:?}", report.outcomes);
    let once = at_most_once_ids(&plan);
    check_run(&site, &report, |id| once.iter().any(|known| known == id));
    let answered = report.outcome("answered");
    assert!(answered > 100, "other requests are still answered: {:?}", report.outcomes);
}

/// Injects several faults at random times from a seed; `RAMPBAY_FAULT_SEEDS` sets how many seeds
/// each case runs.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
#[case(4)]
#[case(5)]
#[tokio::test(flavor = "multi_thread")]
async fn faults_together_promises_hold(#[case] first: u64) {
    let more: u64 =
        std::env::var("RAMPBAY_FAULT_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    for round in 0..more {
        inject_random_faults(first + 5 * round).await;
    }
}

async fn inject_random_faults(seed: u64) {
    const ALL: [Fault; 10] = [
        Fault::SideKilled,
        Fault::SideRestarted,
        Fault::SideDrained,
        Fault::EntryKilled,
        Fault::UpstreamsFail,
        Fault::UpstreamsCut,
        Fault::LogDown,
        Fault::LogLosesAnswers,
        Fault::WorkersLoseAnswers,
        Fault::WorkerKilled,
    ];
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut site = site().await;
    let plan = plan(&site, seed);
    let load = tokio::spawn({
        let plan = plan.clone();
        async move { run(&plan, |_| {}).await }
    });
    let mut seen = Vec::new();
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..700))).await;
        let fault = ALL[rng.random_range(0..ALL.len())];
        seen.push(fault);
        inject(&mut site, fault).await;
        if rng.random::<bool>() {
            site.platform.log.faults.set(FaultSet::default());
        }
    }
    let report = load.await.expect("load ends");
    println!("seed {seed}: {seen:?}: {:?}", report.outcomes);
    let once = at_most_once_ids(&plan);
    check_run(&site, &report, |id| once.iter().any(|known| known == id));
}
