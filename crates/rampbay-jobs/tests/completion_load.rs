//! Bursts of urgent gangs on a full fleet, under the policy `by_completion`.
//!
//! Guards against stopping the runs that have just been restarted for burst after burst, as `by_lost_work` does (up to 13
//! times for one task), and against urgent gangs that end late since they wait for stops.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rampbay_jobs::job::{Resources, Step, Submission};
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings};
use rampbay_jobs::routing::Routing;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::fleet::Fleet;
use support::run_in_virtual_time;

const WORKERS: usize = 24;
const SEEDS: u64 = 8;
/// Time for which jobs arrive, in milliseconds.
const LOAD_MS: u64 = 60_000;
/// Time between two bursts, in milliseconds.
const BURST_INTERVAL_MS: u64 = 6_000;
/// Urgent gangs in a burst.
const BURST_GANGS: u64 = 3;
/// Time between two steps of the lower queues, in milliseconds.
const OTHER_INTERVAL_MS: u64 = 3_000;
/// Time after which urgent jobs that haven't ended count as ended, in milliseconds.
const END_MS: u64 = 90_000;

/// A job that arrives.
struct Arrival {
    at_ms: u64,
    submission: Submission,
    work_ms: u64,
}

/// What a load showed.
#[derive(Debug, Default)]
struct Outcome {
    starts: usize,
    stops: usize,
    /// Largest number of stops of one task.
    max_stops: usize,
    /// Times that the urgent jobs took, in milliseconds.
    urgent_ms: Vec<u64>,
    /// Urgent jobs that ended in time.
    in_time: usize,
}

fn arrival(rng: &mut ChaCha8Rng, at_ms: u64, priority: u32, count: u32, work_ms: u64) -> Arrival {
    let is_bulk = priority == 2;
    let devices = if is_bulk { 1 } else { [1, 2, 4, 8][rng.random_range(0..4)] };
    let step = Step {
        count,
        demand: Resources { cpu_milli: 12_000, memory_mb: 16_000, devices },
        estimate_ms: work_ms * rng.random_range(70..130) / 100,
        checkpointing: priority > 0 && rng.random_bool(0.45),
        gang: !is_bulk,
        same_rack: !is_bulk && rng.random_bool(0.7),
        ..Step::default()
    };
    let (stretch_permille, target_ms) = if priority == 0 { (1500, 250) } else { (3000, 3000) };
    let submission = Submission {
        id: format!("{:016x}", rng.random::<u64>()),
        workspace: "workspace".to_owned(),
        queue: format!("queue-{priority}"),
        service: "service".to_owned(),
        priority,
        attempts: 3,
        stretch_permille,
        target_ms,
        payload: "payload".to_owned(),
        steps: vec![step],
        ..Submission::default()
    };
    Arrival { at_ms, submission, work_ms }
}

/// Generates the load: steps of the lower queues that fill the fleet, and bursts of urgent gangs.
fn load(seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at_ms in (0..LOAD_MS).step_by(OTHER_INTERVAL_MS as usize) {
        let (gang, work_ms) = (rng.random_range(2..14), rng.random_range(4_000..10_000));
        arrivals.push(arrival(&mut rng, at_ms, 1, gang, work_ms));
        let (bulk, work_ms) = (rng.random_range(20..50), rng.random_range(5_000..14_000));
        arrivals.push(arrival(&mut rng, at_ms, 2, bulk, work_ms));
    }
    for at_ms in (5_000..LOAD_MS).step_by(BURST_INTERVAL_MS as usize) {
        for number in 0..BURST_GANGS {
            let (gang, work_ms) = (rng.random_range(1..7), rng.random_range(1_500..3_500));
            arrivals.push(arrival(&mut rng, at_ms + number * 200, 0, gang, work_ms));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// The machines of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Machines {
    /// Speeds of 0.8 to 1.25.
    Usual,
    /// Tasks take 0.55 times as long on a quarter of the workers, and 1.2 times on the others.
    Uneven,
}

/// Runs a load on a fleet without failures, so that runs are stopped only for others.
fn run(seed: u64, placement: Placement, machines: Machines) -> Outcome {
    let mut outcome = Outcome::default();
    run_in_virtual_time(async {
        let mut fleet = Fleet::with_placement(WORKERS, seed, placement);
        fleet.routing = Routing::default();
        (fleet.load, fleet.failure_share) = (0.0, 0.0);
        if machines == Machines::Uneven {
            for (number, speed) in fleet.speeds.values_mut().enumerate() {
                *speed = if number % 4 == 0 { 182 } else { 83 };
            }
        }
        let mut arrivals = load(seed).into_iter().peekable();
        let mut urgent: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        while fleet.now_ms() < END_MS {
            while let Some(next) = arrivals.next_if(|next| next.at_ms <= fleet.now_ms()) {
                if next.submission.priority == 0 {
                    let objective = next.submission.objective_ms(next.work_ms);
                    urgent.insert(next.submission.id.clone(), (fleet.now_ms(), objective));
                }
                fleet.submit_job(next.submission, next.work_ms);
            }
            fleet.step().await;
            let now_ms = fleet.now_ms();
            let is_over = |id: &str| fleet.table.jobs[id].status().is_final() || now_ms >= END_MS;
            let over: BTreeSet<String> = urgent.keys().filter(|id| is_over(id)).cloned().collect();
            for (since, objective) in over.iter().filter_map(|id| urgent.remove(id)) {
                outcome.urgent_ms.push(now_ms - since);
                outcome.in_time += usize::from(now_ms - since <= objective);
            }
        }
        let mut stops: BTreeMap<&str, usize> = BTreeMap::new();
        for decision in &fleet.decisions {
            let words: Vec<&str> = decision.split(' ').collect();
            if words[1] == "stop" {
                *stops.entry(words[2]).or_default() += 1;
            }
        }
        outcome.stops = stops.values().sum();
        outcome.starts = fleet.decisions.len() - outcome.stops;
        outcome.max_stops = stops.values().copied().max().unwrap_or(0);
    });
    outcome
}

/// The outcomes of several loads under a policy, added up.
fn run_all(placement: Placement, machines: Machines) -> Outcome {
    let mut total = Outcome::default();
    for seed in 1..=SEEDS {
        let outcome = run(seed, placement, machines);
        println!("{placement:?} {machines:?} seed={seed} {outcome:?}");
        total.starts += outcome.starts;
        total.stops += outcome.stops;
        total.max_stops = total.max_stops.max(outcome.max_stops);
        total.urgent_ms.extend(outcome.urgent_ms);
        total.in_time += outcome.in_time;
    }
    total
}

/// No task is stopped more than twice, fewer than a tenth as many runs are stopped as started, and urgent gangs end no
/// later than under `by_lost_work`, on average and by the number that ends in time.
#[test]
fn bursts_on_full_fleet() {
    let before = run_all(Placement::ByLostWork, Machines::Usual);
    let outcome = run_all(Placement::ByCompletion, Machines::Usual);
    assert!(outcome.max_stops <= 2, "{} stops of one task", outcome.max_stops);
    assert!(outcome.stops * 10 < outcome.starts, "{} of {}", outcome.stops, outcome.starts);
    assert_eq!(outcome.urgent_ms.len(), before.urgent_ms.len());
    let total = |outcome: &Outcome| outcome.urgent_ms.iter().sum::<u64>();
    assert!(total(&outcome) <= total(&before), "{} > {}", total(&outcome), total(&before));
    assert!(outcome.in_time >= before.in_time, "{} < {}", outcome.in_time, before.in_time);
}

/// On uneven machines a gang that starts on a slow one ends late. Guards against gangs that wait for faster workers or
/// for room that doesn't come: no fewer end in time than under `by_lost_work`.
#[test]
fn bursts_on_uneven_full_fleet() {
    let before = run_all(Placement::ByLostWork, Machines::Uneven);
    let outcome = run_all(Placement::ByCompletion, Machines::Uneven);
    println!("{} in time, {} before", outcome.in_time, before.in_time);
    assert!(outcome.max_stops <= 2, "{} stops of one task", outcome.max_stops);
    assert!(outcome.stops * 10 < outcome.starts, "{} of {}", outcome.stops, outcome.starts);
    assert!(outcome.in_time >= before.in_time, "{} < {}", outcome.in_time, before.in_time);
}

/// A fleet with failing runs, leaders that change and callers of all queues goes on under the policy: jobs of each
/// priority end. Guards against rules that leave a step waiting for good.
#[rstest]
fn jobs_of_each_priority_end(#[values(1, 2, 3)] seed: u64) {
    run_in_virtual_time(async move {
        let mut fleet = Fleet::with_placement(WORKERS, seed, Placement::ByCompletion);
        let settings = support::settings().planner();
        let settings = PlannerSettings { placement: Placement::ByCompletion, ..settings };
        for _ in 0..3 {
            fleet.advance(Duration::from_secs(10)).await;
            fleet.planner = Planner::new(settings);
        }
        fleet.load = 0.0;
        fleet.advance(Duration::from_secs(400)).await;
        let open = fleet.table.active.iter().filter(|id| {
            let submission = &fleet.table.jobs[*id].submission;
            let devices = submission.first_step_devices();
            !submission.steps[0].gang || devices <= WORKERS as u64 * 8 / 2
        });
        let open: Vec<&String> = open.collect();
        assert!(open.is_empty(), "{open:?} haven't ended");
    });
}
