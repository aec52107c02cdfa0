//! A burst of one large workspace beside single jobs of nine small ones, with the same priority.
//!
//! Guards against single jobs that wait until a burst of hundreds of tasks has been placed, as the order by work alone
//! has it, and against shares that leave room unused or outlive a change of the leader.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::job::{Resources, Step, Submission};
use rampbay_jobs::plan::TaskStatus;
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings};
use rampbay_jobs::routing::Routing;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::fleet::Fleet;
use support::planner::PlannerRig;
use support::{job, run_in_virtual_time, settings, step, task};

const WORKERS: usize = 8;
const DEVICES: u32 = 64;
const SEEDS: u64 = 4;
/// Small workspaces, each with a single job in each interval.
const SMALL_WORKSPACES: usize = 9;
/// Time between two jobs of a small workspace, in milliseconds.
const SINGLE_INTERVAL_MS: u64 = 3_000;
/// When the burst arrives, in milliseconds.
const BURST_MS: u64 = 4_000;
/// Jobs of the burst, of one task each.
const BURST_JOBS: usize = 600;
/// Work of a task of the burst, in milliseconds.
const BURST_WORK_MS: u64 = 2_000;
/// Work of a single job, in milliseconds.
const SINGLE_WORK_MS: u64 = 3_000;
/// Time for which single jobs arrive, in milliseconds. The burst needs some 20 s of the whole fleet.
const LOAD_MS: u64 = 24_000;
/// Time after which the runs are counted, in milliseconds.
const END_MS: u64 = 60_000;

/// A job that arrives.
struct Arrival {
    at_ms: u64,
    submission: Submission,
    work_ms: u64,
}

/// Whose jobs are whose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owners {
    /// The burst is of one workspace, each single job of one of nine others.
    Separate,
    /// All jobs are of one workspace, so that shares count for nothing.
    One,
}

/// What a load showed.
#[derive(Debug, Default)]
struct Outcome {
    decisions: Vec<String>,
    /// Times from the arrival of each single job to its start, in milliseconds, for those that arrived after the burst.
    waits_ms: Vec<u64>,
    /// Work of the runs that have ended until the burst has, in milliseconds of an accelerator.
    work_ms: u64,
    /// Accelerators in use, added up over the ticks in which the burst waits.
    used: u64,
    /// Number of these ticks.
    ticks: u64,
}

fn arrival(
    rng: &mut ChaCha8Rng,
    at_ms: u64,
    workspace: &str,
    devices: u64,
    work_ms: u64,
) -> Arrival {
    let step = Step {
        count: 1,
        demand: Resources { cpu_milli: 4_000, memory_mb: 4_000, devices },
        estimate_ms: work_ms,
        ..Step::default()
    };
    let id = format!("{:016x}", rng.random::<u64>());
    let submission = Submission {
        stretch_permille: 3000,
        target_ms: 1000,
        workspace: workspace.to_owned(),
        ..job(&id, 1, step)
    };
    Arrival { at_ms, submission, work_ms }
}

fn load(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for _ in 0..BURST_JOBS {
        let work_ms = rng.random_range(BURST_WORK_MS / 2..BURST_WORK_MS * 3 / 2);
        arrivals.push(arrival(&mut rng, BURST_MS, "large", 1, work_ms));
    }
    for number in 0..SMALL_WORKSPACES {
        let first_ms = rng.random_range(0..SINGLE_INTERVAL_MS);
        for at_ms in (first_ms..LOAD_MS).step_by(SINGLE_INTERVAL_MS as usize) {
            let name = format!("small-{number}");
            arrivals.push(arrival(&mut rng, at_ms, &name, 2, SINGLE_WORK_MS));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn create_planner(placement: Placement) -> Planner {
    Planner::new(PlannerSettings { placement, ..settings().planner() })
}

/// Runs a load on a fleet without failures. The leader changes at `leader_change_ms`.
fn run(seed: u64, placement: Placement, owners: Owners, leader_change_ms: Option<u64>) -> Outcome {
    let mut outcome = Outcome::default();
    run_in_virtual_time(async {
        let mut fleet = Fleet::with_placement(WORKERS, seed, placement);
        fleet.routing = Routing::default();
        (fleet.load, fleet.failure_share) = (0.0, 0.0);
        let mut arrivals = load(seed).into_iter().peekable();
        let mut singles: BTreeMap<String, u64> = BTreeMap::new();
        let mut burst: Vec<String> = Vec::new();
        while fleet.now_ms() < END_MS {
            while let Some(mut next) = arrivals.next_if(|next| next.at_ms <= fleet.now_ms()) {
                let is_burst = next.submission.workspace == "large";
                if is_burst {
                    burst.push(next.submission.id.clone());
                } else if next.at_ms >= BURST_MS {
                    singles.insert(next.submission.id.clone(), fleet.now_ms());
                }
                if owners == Owners::One {
                    next.submission.workspace = "all".to_owned();
                }
                fleet.submit_job(next.submission, next.work_ms);
            }
            if leader_change_ms == Some(fleet.now_ms()) {
                fleet.planner = create_planner(placement);
            }
            fleet.step().await;
            if burst.iter().any(|id| fleet.table.jobs[id].plan.is_none()) {
                outcome.used += devices_in_use(&fleet);
                outcome.ticks += 1;
                outcome.work_ms = ended_work_ms(&fleet);
            }
        }
        for (id, at_ms) in &singles {
            let start = fleet.decisions.iter().find(|line| line.contains(&format!("start {id}")));
            let start = start.expect("the job has started").split(' ').next().expect("a time");
            outcome.waits_ms.push(start.parse::<u64>().expect("a number") - at_ms);
        }
        outcome.waits_ms.sort_unstable();
        outcome.decisions = std::mem::take(&mut fleet.decisions);
    });
    outcome
}

fn devices_in_use(fleet: &Fleet) -> u64 {
    let tasks = fleet.table.jobs.iter().flat_map(|(id, job)| {
        let devices = job.submission.steps[0].demand.devices;
        let tasks = job.plan.iter().flat_map(|plan| plan.tasks(id));
        tasks.filter(|(_, task)| task.may_be_running()).map(move |_| devices)
    });
    tasks.sum()
}

fn ended_work_ms(fleet: &Fleet) -> u64 {
    let ended = fleet.table.jobs.values().filter(|job| job.status().is_final());
    let steps = ended.map(|job| &job.submission.steps[0]);
    steps.map(|step| step.estimate_ms * step.demand.devices).sum()
}

fn mean(waits: &[u64]) -> u64 {
    waits.iter().sum::<u64>() / waits.len() as u64
}

fn print(name: &str, outcome: &Outcome) {
    let Outcome { waits_ms, work_ms, used, ticks, .. } = outcome;
    let longest = waits_ms.last();
    println!(
        "{name}: mean wait {} longest {longest:?} ms, work {work_ms} used {used} in {ticks} ticks",
        mean(waits_ms)
    );
}

/// Single jobs start as room becomes free beside a burst, in place of waiting for its end.
#[test]
fn burst_does_not_delay_single_jobs() {
    for seed in 1..=SEEDS {
        let by_work = run(seed, Placement::ByLostWork, Owners::Separate, None);
        let by_share = run(seed, Placement::ByCompletion, Owners::Separate, None);
        let without = run(seed, Placement::ByCompletion, Owners::One, None);
        print("by_lost_work", &by_work);
        print("by_completion, one workspace", &without);
        print("by_completion", &by_share);
        assert!(mean(&by_share.waits_ms) * 4 < mean(&by_work.waits_ms), "seed {seed}");
        assert!(mean(&by_share.waits_ms) * 4 < mean(&without.waits_ms), "seed {seed}");
    }
}

/// Under `by_lost_work` workspaces without guarantees count for nothing: other deployments must be served as before.
#[test]
fn by_lost_work_ignores_shares() {
    for seed in 1..=SEEDS {
        let separate = run(seed, Placement::ByLostWork, Owners::Separate, None);
        let one = run(seed, Placement::ByLostWork, Owners::One, None);
        assert!(separate.decisions == one.decisions, "seed {seed}");
    }
}

/// A leader that takes over in the middle of the burst must not place the rest of it before the single jobs until it has
/// measured the usage itself.
#[test]
fn shares_hold_across_change_of_leader() {
    for seed in 1..=SEEDS {
        let stays = run(seed, Placement::ByCompletion, Owners::Separate, None);
        let changes = run(seed, Placement::ByCompletion, Owners::Separate, Some(12_000));
        print("one leader", &stays);
        print("leader changes", &changes);
        let (longest, mean) = (changes.waits_ms.last(), mean(&changes.waits_ms));
        assert!(mean <= self::mean(&stays.waits_ms) + 100, "seed {seed}: {mean} ms");
        assert!(longest <= stays.waits_ms.last().map(|wait| wait + 500).as_ref(), "seed {seed}");
    }
}

/// Shares decide who goes first, not how much runs: a full fleet does as much work as without them.
#[test]
fn work_done_on_full_fleet_not_lower() {
    let total = |owners: Owners| {
        let outcomes = (1..=SEEDS).map(|seed| run(seed, Placement::ByCompletion, owners, None));
        let sums = outcomes.fold((0, 0, 0), |(work, used, ticks), outcome| {
            print(&format!("{owners:?}"), &outcome);
            (work + outcome.work_ms, used + outcome.used, ticks + outcome.ticks)
        });
        let (work, used, ticks) = sums;
        (work / ticks, used * 1000 / ticks / u64::from(DEVICES))
    };
    let (shares, without) = (total(Owners::Separate), total(Owners::One));
    println!("work a tick and permille of accelerators in use: {shares:?}, without {without:?}");
    assert!(shares.1 * 100 >= without.1 * 99, "{shares:?} {without:?}");
    assert!(shares.0 * 100 >= without.0 * 99, "{shares:?} {without:?}");
}

/// Work of all kinds that six workspaces send evenly, somewhat more than the fleet can do. Returns how many jobs ended
/// in time, and how many there were.
fn run_even_load(seed: u64, owners: Owners) -> (usize, usize) {
    let mut counts = (0, 0);
    run_in_virtual_time(async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::with_placement(WORKERS, seed, Placement::ByCompletion);
        fleet.routing = Routing::default();
        (fleet.load, fleet.failure_share) = (0.0, 0.0);
        let mut open: BTreeMap<String, u64> = BTreeMap::new();
        while fleet.now_ms() < END_MS {
            if fleet.now_ms() < LOAD_MS * 2 && rng.random_bool(0.1) {
                let work_ms = rng.random_range(1_000..7_000);
                let workspace = format!("workspace-{}", rng.random_range(0..6));
                let devices = [1, 2, 4][rng.random_range(0..3)];
                let mut next = arrival(&mut rng, 0, &workspace, devices, work_ms);
                next.submission.steps[0].count = rng.random_range(1..9);
                next.submission.steps[0].gang = rng.random_bool(0.5);
                next.submission.priority = rng.random_range(0..3);
                if owners == Owners::One {
                    next.submission.workspace = "all".to_owned();
                }
                open.insert(next.submission.id.clone(), fleet.now_ms() + work_ms * 3 + 1_000);
                counts.1 += 1;
                fleet.submit_job(next.submission, work_ms);
            }
            fleet.step().await;
            let now_ms = fleet.now_ms();
            let is_over = |id: &str| fleet.table.jobs[id].status().is_final();
            let over: Vec<String> = open.keys().filter(|id| is_over(id)).cloned().collect();
            let ends = over.iter().filter_map(|id| open.remove(id));
            counts.0 += ends.filter(|until_ms| now_ms <= *until_ms).count();
        }
    });
    counts
}

/// Where workspaces send evenly, shares must not override the order by lateness and work, which keeps most jobs in
/// time.
#[test]
fn even_load_as_much_in_time() {
    let total = |owners: Owners| {
        let counts = (1..=SEEDS * 2).map(|seed| run_even_load(seed, owners));
        counts.fold((0, 0), |sum, counts| (sum.0 + counts.0, sum.1 + counts.1))
    };
    let (shares, without) = (total(Owners::Separate), total(Owners::One));
    println!("in time of all jobs: {shares:?}, without shares {without:?}");
    assert_eq!(shares.1, without.1);
    assert!(shares.0 * 100 >= without.0 * 97, "{shares:?} {without:?}");
}

const SINGLE: &str = "00000000000000bb";
const BURST: &str = "00000000000000aa";
const OTHER: &str = "00000000000000cc";

fn owned(workspace: &str, submission: Submission) -> Submission {
    Submission { workspace: workspace.to_owned(), ..submission }
}

/// Submits 40 jobs of one accelerator each.
fn submit_burst(rig: &mut PlannerRig) {
    for number in 0..40 {
        rig.submit(owned("large", job(&format!("{:016x}", 0xa000 + number), 1, step(1, 1))));
    }
}

/// A burst that arrives at once while nothing runs has used nothing yet; it must not be placed whole before another
/// workspace's single job for that.
#[rstest]
#[case::by_lost_work(Placement::ByLostWork, TaskStatus::Waiting)]
#[case::by_completion(Placement::ByCompletion, TaskStatus::Running)]
fn single_job_beside_burst_in_one_round(
    #[case] placement: Placement,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3).with_placement(placement);
        submit_burst(&mut rig);
        rig.submit(owned("small", job(SINGLE, 1, step(1, 8))));
        rig.plan();
        assert_eq!(rig.status_of(&task(SINGLE, 0)), expected);
    });
}

/// The same where the burst is one step of many tasks, and the single job has become late meanwhile.
#[rstest]
#[case::by_lost_work(Placement::ByLostWork, TaskStatus::Waiting)]
#[case::by_completion(Placement::ByCompletion, TaskStatus::Running)]
fn late_job_beside_wide_step_in_one_round(
    #[case] placement: Placement,
    #[case] expected: TaskStatus,
) {
    run_in_virtual_time(async move {
        let mut rig = PlannerRig::of_workers(3).with_placement(placement);
        rig.wall = 60_000;
        let burst = Submission { submitted_at: rig.wall, ..job(BURST, 1, step(40, 1)) };
        rig.submit(owned("large", burst));
        rig.submit(owned("small", job(SINGLE, 1, step(1, 8))));
        rig.plan();
        assert_eq!(rig.status_of(&task(SINGLE, 0)), expected);
    });
}

/// Room that nobody else wants goes to whoever wants it, also to a workspace far above its share.
#[test]
fn idle_room_taken_whole_by_burst() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3).with_placement(Placement::ByCompletion);
        rig.submit(owned("small", job(SINGLE, 1, step(1, 1))));
        submit_burst(&mut rig);
        rig.plan();
        let devices: usize = (0..3).map(|index| rig.runs_at(&format!("i-{index}")).len()).sum();
        assert_eq!(devices, 24);
    });
}

/// A single job that needs more than what is free doesn't keep a burst from what it can't use.
#[test]
fn room_that_single_job_cannot_use_taken_by_burst() {
    run_in_virtual_time(async {
        let mut rig = PlannerRig::of_workers(3).with_placement(Placement::ByCompletion);
        let unplaceable = Step { required_label: "missing".to_owned(), ..step(1, 8) };
        rig.submit(owned("small", job(SINGLE, 1, unplaceable)));
        submit_burst(&mut rig);
        rig.plan();
        let devices: usize = (0..3).map(|index| rig.runs_at(&format!("i-{index}")).len()).sum();
        assert_eq!(devices, 24);
    });
}

/// Urgency goes first: shares order only work of the same priority, and a guarantee is kept beyond any share.
#[rstest]
#[case::higher_priority(0, 0)]
#[case::guaranteed(0, 24)]
fn urgency_before_shares(#[case] priority: u32, #[case] guaranteed: u64) {
    run_in_virtual_time(async move {
        let mut rig = rig_with_users();
        rig.guarantee(guaranteed);
        rig.routing.workspaces.iter_mut().for_each(|known| known.name = "large".to_owned());
        let urgent = job(BURST, priority, step(1, 1));
        rig.submit(owned("large", Submission { submitted_at: rig.wall, ..urgent }));
        let lower = Submission { submitted_at: rig.wall, ..job(SINGLE, priority + 1, step(1, 1)) };
        rig.submit(owned("small", lower));
        rig.plan();
        assert_eq!(rig.status_of(&task(BURST, 0)), TaskStatus::Running);
        assert_eq!(rig.statuses(SINGLE), []);
    });
}

/// A rig of a new leader with one free accelerator: the workspace "large" uses 15 of 24, "medium" uses 8, and eight
/// workspaces wait for a worker that doesn't exist.
fn rig_with_users() -> PlannerRig {
    let mut rig = PlannerRig::of_workers(3).with_placement(Placement::ByCompletion);
    rig.wall = 60_000;
    let running = [("large", "00000000000000d1", 15), ("medium", "00000000000000d2", 8)];
    for (workspace, id, count) in running {
        rig.submit(owned(workspace, job(id, 1, step(count, 1))));
        rig.plan();
    }
    let unplaceable = Step { required_label: "missing".to_owned(), ..step(1, 1) };
    for number in 0..8 {
        let waiting = job(&format!("{:016x}", 0xe0 + number), 1, unplaceable.clone());
        rig.submit(owned(&format!("waiting-{number}"), waiting));
    }
    rig.replace_planner();
    rig
}

/// A job that is about to become late waits only for workspaces that are within their share: it goes before a workspace
/// that has itself used twice its share, and after one that has used nothing. Without the first, it would end late for
/// no fairness; without the second, a burst would pass single jobs as soon as it has waited.
#[rstest]
#[case::not_pressing(0, false, OTHER)]
#[case::pressing(4_000, false, BURST)]
#[case::pressing_beside_idle(4_000, true, SINGLE)]
fn pressing_job_waits_only_for_fairness(
    #[case] waited_ms: u64,
    #[case] single_waits: bool,
    #[case] expected: &str,
) {
    run_in_virtual_time(async move {
        let mut rig = rig_with_users();
        let pressing = job(BURST, 1, step(1, 1));
        let pressing = Submission { submitted_at: rig.wall - waited_ms, ..pressing };
        rig.submit(owned("large", pressing));
        let other = Submission { submitted_at: rig.wall, ..job(OTHER, 1, step(1, 1)) };
        rig.submit(owned("medium", other));
        if single_waits {
            let single = Submission { submitted_at: rig.wall, ..job(SINGLE, 1, step(1, 1)) };
            rig.submit(owned("small", single));
        }
        rig.plan();
        let is_running = |id: &&str| {
            rig.table.jobs.contains_key(*id) && rig.status_of(&task(id, 0)) == TaskStatus::Running
        };
        let running: Vec<&str> = [BURST, OTHER, SINGLE].into_iter().filter(is_running).collect();
        assert_eq!(running, [expected]);
    });
}

/// Within one workspace the order stays by lateness and work, also for one above its share and with a pressing job.
#[rstest]
fn order_within_workspace_unchanged(#[values(0, 4_000)] waited_ms: u64) {
    run_in_virtual_time(async move {
        let mut rig = rig_with_users();
        // It has 3.5 s to its latest start, and isn't pressing itself.
        let short = Step { estimate_ms: 3_000, ..step(1, 1) };
        let long = Submission { submitted_at: rig.wall - waited_ms, ..job(BURST, 1, step(1, 1)) };
        rig.submit(owned("large", long));
        let short = Submission { submitted_at: rig.wall, ..job(OTHER, 1, short) };
        rig.submit(owned("large", short));
        rig.plan();
        assert_eq!(rig.status_of(&task(OTHER, 0)), TaskStatus::Running);
        assert_eq!(rig.statuses(BURST), []);
    });
}

/// Workspaces that vanish from the configuration in the middle of a load, and leaders that change, stop nothing.
#[test]
fn work_goes_on_without_configured_workspaces() {
    run_in_virtual_time(async {
        let mut fleet = Fleet::with_placement(24, 1, Placement::ByCompletion);
        fleet.advance(Duration::from_secs(4)).await;
        fleet.routing = Routing::default();
        fleet.planner = create_planner(Placement::ByCompletion);
        fleet.advance(Duration::from_secs(1)).await;
        let before = fleet.decisions.len();
        fleet.advance(Duration::from_secs(8)).await;
        let starts = fleet.decisions[before..].iter().filter(|line| line.contains(" start "));
        assert!(starts.count() > 50);
    });
}
