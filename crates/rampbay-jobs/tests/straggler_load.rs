//! A generated fleet of uneven workers that turn slow for some seconds, with and without the rule on stragglers.
//!
//! Guards against moves that cost callers more than they gain, and against work that is thrown away.

mod support;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::{Resources, Step, Submission};
use rampbay_jobs::planner::policy::by_completion::ByCompletion;
use rampbay_jobs::planner::policy::{
    Candidate, DepartureCosts, FleetState, Need, ObservedProgress, PlacementPolicy, Preemption,
    RackRank, RoundEnd, RoundStart, RunningTask, StepAnswer, StepOrder, StepQuestion, StopCost,
    Straggler, WaitingStep, WorkerIndex, WorkerRank,
};
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings, RoundInputs};
use rampbay_jobs::routing::Routing;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::fleet::{Fleet, SlowTime};
use support::{run_in_virtual_time, settings};

const WORKERS: usize = 24;
const SEEDS: u64 = 16;
/// Time for which jobs arrive, in milliseconds.
const LOAD_MS: u64 = 60_000;
/// Time by which all jobs have ended, in milliseconds.
const END_MS: u64 = 150_000;
/// Time between two steps of each kind, in milliseconds.
const STEP_INTERVAL_MS: u64 = 3_000;
/// Speeds of a quarter of the workers and of the others, in percent: a task takes 0.55 and 1.2 times its nominal work.
const FAST: u64 = 182;
const SLOW: u64 = 83;

/// The rules of `by_completion`, with or without that on stragglers. Keeps the runs that were moved.
#[derive(Debug)]
struct Observed {
    rules: ByCompletion,
    moves: bool,
    moved: Rc<RefCell<Vec<Straggler>>>,
}

impl PlacementPolicy for Observed {
    fn name(&self) -> &'static str {
        self.rules.name()
    }

    fn begin_round(&mut self, start: &RoundStart<'_>) {
        self.rules.begin_round(start);
    }

    fn step_order(&self, waiting: &WaitingStep, inputs: &RoundInputs<'_>) -> StepOrder {
        self.rules.step_order(waiting, inputs)
    }

    fn choose_reserve(&mut self, fleet: &FleetState, inputs: &RoundInputs<'_>) -> Vec<WorkerIndex> {
        self.rules.choose_reserve(fleet, inputs)
    }

    fn may_use_reserve(&self, question: &StepQuestion<'_>) -> bool {
        self.rules.may_use_reserve(question)
    }

    fn worker_rank(&self, need: &Need<'_>, candidate: &Candidate<'_>) -> WorkerRank {
        self.rules.worker_rank(need, candidate)
    }

    fn even_places(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        places: &[WorkerIndex],
        taken: &[WorkerIndex],
    ) -> Option<Vec<WorkerIndex>> {
        self.rules.even_places(need, fleet, places, taken)
    }

    fn rack_rank(
        &self,
        need: &Need<'_>,
        fleet: &FleetState,
        rack: usize,
        places: &[WorkerIndex],
    ) -> RackRank {
        self.rules.rack_rank(need, fleet, rack, places)
    }

    fn waits_for_rack(&self, question: &StepQuestion<'_>, need: &Need<'_>) -> bool {
        self.rules.waits_for_rack(question, need)
    }

    fn start_at(
        &self,
        question: &StepQuestion<'_>,
        need: &Need<'_>,
        places: &[WorkerIndex],
    ) -> StepAnswer {
        self.rules.start_at(question, need, places)
    }

    fn make_stops(
        &self,
        question: &StepQuestion<'_>,
        need: &Need<'_>,
        stops: &Preemption,
        allowed: u64,
    ) -> StepAnswer {
        self.rules.make_stops(question, need, stops, allowed)
    }

    fn stop_cost(
        &self,
        run: &RunningTask,
        seen: Option<&ObservedProgress>,
        inputs: &RoundInputs<'_>,
    ) -> StopCost {
        self.rules.stop_cost(run, seen, inputs)
    }

    fn max_stop_cost(&self, waiting: &WaitingStep, count: usize, inputs: &RoundInputs<'_>) -> u64 {
        self.rules.max_stop_cost(waiting, count, inputs)
    }

    fn stall_limit(&self, step: &Step, seen: &ObservedProgress) -> Duration {
        self.rules.stall_limit(step, seen)
    }

    fn departure_costs(&self) -> DepartureCosts {
        self.rules.departure_costs()
    }

    fn avoid_time(&self) -> Duration {
        self.rules.avoid_time()
    }

    fn choose_stragglers(&self, end: &RoundEnd<'_>) -> Vec<Straggler> {
        if !self.moves {
            return Vec::new();
        }
        let chosen = self.rules.choose_stragglers(end);
        self.moved.borrow_mut().extend(chosen.iter().cloned());
        chosen
    }
}

/// A job that arrives.
struct Arrival {
    at_ms: u64,
    submission: Submission,
    work_ms: u64,
}

fn arrival(rng: &mut ChaCha8Rng, at_ms: u64, priority: u32, count: u32, work_ms: u64) -> Arrival {
    let is_bulk = priority == 2;
    let devices = if is_bulk { 1 } else { [1, 2, 4][rng.random_range(0..3)] };
    let step = Step {
        count,
        demand: Resources { cpu_milli: 12_000, memory_mb: 16_000, devices },
        estimate_ms: work_ms * rng.random_range(80..120) / 100,
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

/// Generates steps of all kinds that take about half of the fleet.
fn load(rng: &mut ChaCha8Rng) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for at_ms in (0..LOAD_MS).step_by(STEP_INTERVAL_MS as usize) {
        let (gang, work_ms) = (rng.random_range(2..8), rng.random_range(4_000..12_000));
        arrivals.push(arrival(rng, at_ms, 1, gang, work_ms));
        let (bulk, work_ms) = (rng.random_range(10..40), rng.random_range(3_000..9_000));
        arrivals.push(arrival(rng, at_ms, 2, bulk, work_ms));
        let (urgent, work_ms) = (rng.random_range(1..7), rng.random_range(1_500..3_500));
        arrivals.push(arrival(rng, at_ms + 1_000, 0, urgent, work_ms));
    }
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

/// Generates the times in which workers are several times slower.
fn slow_times(rng: &mut ChaCha8Rng) -> BTreeMap<String, Vec<SlowTime>> {
    let times = |rng: &mut ChaCha8Rng| {
        let mut from_ms = rng.random_range(0..40_000);
        let mut times = Vec::new();
        while from_ms < END_MS {
            let until_ms = from_ms + rng.random_range(3_000..9_000);
            times.push(SlowTime { from_ms, until_ms, factor: rng.random_range(3..9) });
            from_ms = until_ms + rng.random_range(10_000..60_000);
        }
        times
    };
    (0..WORKERS).map(|index| (format!("i-{index:05}"), times(rng))).collect()
}

/// What a load showed.
#[derive(Debug, Default)]
struct Outcome {
    /// Times that the jobs took, in milliseconds, by priority.
    took_ms: [Vec<u64>; 3],
    moved: Vec<Straggler>,
    /// Work of all jobs, in core-seconds.
    work: u64,
    /// When each job ended, in milliseconds.
    ended_ms: BTreeMap<String, u64>,
    /// When the jobs with moved runs would have ended without the moves.
    would_end_ms: BTreeMap<String, (u64, u64)>,
}

impl Outcome {
    fn total_ms(&self) -> u64 {
        self.took_ms.iter().flatten().sum()
    }

    fn lost(&self) -> u64 {
        self.moved.iter().map(|straggler| straggler.lost_work).sum::<u64>() / 1000
    }
}

fn run(seed: u64, moves: bool) -> Outcome {
    let mut outcome = Outcome::default();
    run_in_virtual_time(async {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::with_placement(WORKERS, seed, Placement::ByCompletion);
        let placement = Placement::ByCompletion;
        let settings = PlannerSettings { placement, ..settings().planner() };
        let moved = Rc::default();
        let rules = ByCompletion::new(&settings);
        let policy = Observed { rules, moves, moved: Rc::clone(&moved) };
        fleet.planner = Planner::with_policy(settings, Box::new(policy));
        fleet.routing = Routing::default();
        (fleet.load, fleet.failure_share) = (0.0, 0.0);
        fleet.set_speeds(|index| if index % 4 == 0 { FAST } else { SLOW });
        fleet.slow = slow_times(&mut rng);
        let mut arrivals = load(&mut rng).into_iter().peekable();
        let mut open: BTreeMap<String, (u64, usize)> = BTreeMap::new();
        while fleet.now_ms() < END_MS {
            while let Some(next) = arrivals.next_if(|next| next.at_ms <= fleet.now_ms()) {
                let step = &next.submission.steps[0];
                outcome.work +=
                    step.demand.weight() * u64::from(step.count) * next.work_ms / 1_000_000;
                let priority = next.submission.priority as usize;
                open.insert(next.submission.id.clone(), (fleet.now_ms(), priority));
                fleet.submit_job(next.submission, next.work_ms);
            }
            fleet.step().await;
            let now_ms = fleet.now_ms();
            open.retain(|id, (since, priority)| {
                let is_over = fleet.table.jobs[id].status().is_final();
                if is_over {
                    outcome.took_ms[*priority].push(now_ms - *since);
                    outcome.ended_ms.insert(id.clone(), now_ms);
                }
                !is_over
            });
        }
        assert!(open.is_empty(), "{} jobs haven't ended", open.len());
        outcome.moved = moved.borrow().clone();
        for (task, at_ms, would_end_ms) in &fleet.stopped {
            if !outcome.moved.iter().any(|straggler| straggler.task.job == task.job) {
                continue;
            }
            let known = outcome.would_end_ms.entry(task.job.clone()).or_insert((*at_ms, 0));
            known.1 = known.1.max(*would_end_ms);
        }
    });
    outcome
}

/// The mean time that jobs take isn't longer with the rule, jobs with moved runs end sooner in total than those runs would
/// have ended, and less than a fiftieth of the work is lost.
#[test]
fn uneven_workers_that_turn_slow() {
    let (mut with, mut without, mut lost, mut work, mut moves) = (0, 0, 0, 0, 0);
    let (mut ended, mut would_end) = (0, 0);
    for seed in 1..=SEEDS {
        let (before, after) = (run(seed, false), run(seed, true));
        println!(
            "seed={seed} jobs={} mean_ms without={} with={} moved={} lost={} of {}",
            after.ended_ms.len(),
            before.total_ms() / before.ended_ms.len() as u64,
            after.total_ms() / after.ended_ms.len() as u64,
            after.moved.len(),
            after.lost(),
            after.work
        );
        assert_eq!(before.ended_ms.len(), after.ended_ms.len());
        for straggler in &after.moved {
            let (at_ms, would_end_ms) = after.would_end_ms[&straggler.task.job];
            let (took, would) = (after.ended_ms[&straggler.task.job] - at_ms, would_end_ms - at_ms);
            println!("  {straggler:?} took_ms={took} would_take_ms={would}");
            ended += took;
            would_end += would;
        }
        with += after.total_ms();
        without += before.total_ms();
        lost += after.lost();
        work += after.work;
        moves += after.moved.len();
    }
    println!("with={with} without={without} moves={moves} lost={lost} of {work}");
    println!("jobs with moved runs: ended={ended} would_end={would_end}");
    assert!(moves > 0, "nothing was moved");
    assert!(ended <= would_end, "{ended} > {would_end}");
    assert!(with <= without, "{with} > {without}");
    assert!(lost * 50 < work, "{lost} of {work}");
}
