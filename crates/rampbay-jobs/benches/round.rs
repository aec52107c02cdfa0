//! Time that one round of the planner takes on a fleet under load.
//!
//! `cargo bench -p rampbay-jobs`

use std::hint::black_box;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rampbay_jobs::planner::Placement;
use rampbay_jobs::planner::completion::room::RoomScope;
use rampbay_jobs::planner::completion::view::CompletionView;
use rampbay_jobs::routing::Queue;
use support::fleet::Fleet;

#[path = "../tests/support/mod.rs"]
mod support;

/// Sizes of fleets, in workers.
const WORKERS: [usize; 3] = [240, 800, 2_500];
/// Time for which a fleet is under load before its rounds are measured.
const WARM_UP: Duration = Duration::from_secs(12);
/// This time for the estimate of completion: by then many steps wait, and a round takes as long as it ever does.
const BACKLOG_WARM_UP: Duration = Duration::from_secs(30);

fn round(c: &mut Criterion) {
    let mut group = c.benchmark_group("round");
    group.sample_size(20);
    let policies = [("loaded", Placement::Auto), ("by_completion", Placement::ByCompletion)];
    let cases = policies.iter().flat_map(|policy| WORKERS.map(|workers| (*policy, workers)));
    for ((name, placement), workers) in cases {
        support::run_in_virtual_time(async {
            let mut fleet = Fleet::with_placement(workers, 1, placement);
            fleet.advance(WARM_UP).await;
            let name = BenchmarkId::new(name, workers);
            group.bench_function(name, |bencher| bencher.iter(|| black_box(fleet.round())));
        });
    }
    group.finish();
}

/// Number of waiting steps for which room is asked for in a round.
const ASKED_STEPS: usize = 10;

/// Time of a round under the policy that asks the estimate, on a fleet where many steps wait.
fn round_by_completion(c: &mut Criterion) {
    let mut group = c.benchmark_group("by_completion");
    group.sample_size(20);
    for workers in WORKERS {
        support::run_in_virtual_time(async {
            let mut fleet = Fleet::with_placement(workers, 1, Placement::ByCompletion);
            fleet.advance(BACKLOG_WARM_UP).await;
            group.bench_function(BenchmarkId::new("round", workers), |bencher| {
                bencher.iter(|| black_box(fleet.round()));
            });
        });
    }
    group.finish();
}

/// Time that the estimate of completion takes of a round: the ends of all runs with the questions of one waiting step, and
/// with those of several, each for one rack and for anywhere.
fn completion(c: &mut Criterion) {
    let mut group = c.benchmark_group("completion");
    group.sample_size(20);
    for workers in WORKERS {
        support::run_in_virtual_time(async {
            let mut fleet = Fleet::new(workers, 1);
            fleet.advance(BACKLOG_WARM_UP).await;
            group.bench_function(BenchmarkId::new("round", workers), |bencher| {
                bencher.iter(|| black_box(fleet.round()));
            });
            let inputs = fleet.inputs();
            for (name, steps) in [("ends", 1), ("room", ASKED_STEPS)] {
                group.bench_function(BenchmarkId::new(name, workers), |bencher| {
                    bencher.iter_batched_ref(
                        || fleet.planner.completion_view(&inputs),
                        |view| black_box(ask_room(view, steps)),
                        BatchSize::PerIteration,
                    );
                });
            }
        });
    }
    group.finish();
}

/// Asks when there will be room for the first waiting steps. Returns how many will find some.
fn ask_room(view: &CompletionView<'_>, steps: usize) -> usize {
    let asked = view.waiting().iter().take(steps);
    let rooms = asked.flat_map(|waiting| {
        let need = view.need(&waiting.job, waiting.step).expect("the step waits");
        let count = waiting.tasks.len();
        let room = |scope| view.completion.room(&view.fleet, &need, count, scope);
        [RoomScope::OneRack, RoomScope::Anywhere].map(room)
    });
    rooms.flatten().count()
}

/// Number of priorities of the fleet's jobs.
const PRIORITIES: u32 = 3;

/// Returns the queue from which the fleet's jobs of a priority come.
fn queue_of(priority: u32) -> Queue {
    Queue {
        name: format!("queue-{priority}"),
        service: "service".to_owned(),
        priority,
        ..Queue::default()
    }
}

/// Time that the forecast of an outlook takes, which is made once every two seconds beside the rounds.
fn outlook(c: &mut Criterion) {
    let mut group = c.benchmark_group("outlook");
    group.sample_size(20);
    for workers in WORKERS {
        support::run_in_virtual_time(async {
            let mut fleet = Fleet::new(workers, 1);
            fleet.advance(BACKLOG_WARM_UP).await;
            fleet.routing.queues = (0..PRIORITIES).map(queue_of).collect();
            let inputs = fleet.inputs();
            assert!(!fleet.planner.room_forecast(&inputs).priorities("service").is_empty());
            group.bench_function(BenchmarkId::new("forecast", workers), |bencher| {
                bencher.iter(|| {
                    let forecast = fleet.planner.room_forecast(&inputs);
                    black_box(forecast.priorities("service"))
                });
            });
        });
    }
    group.finish();
}

criterion_group!(benches, round, round_by_completion, completion, outlook);
criterion_main!(benches);
