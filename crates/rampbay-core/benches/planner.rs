//! Measures how the time of a planner tick grows with the numbers of workers, running tasks, queued
//! jobs and workspaces.
//!
//! `cargo bench -p rampbay-core`

use std::{hint::black_box, time::Duration};

use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};
use rampbay_core::{
    job::{Adjacency, GangSpec, JobSpec},
    knobs::Knobs,
    plan::{Command, Planner},
    topology::WorkerSpec,
};

const NOW: Duration = Duration::from_secs(1_000);
const LATER: Duration = Duration::from_secs(1_001);

fn fleet(workers: usize, workspaces: usize) -> Planner {
    let mut planner = Planner::new(1);
    for at in 0..workers {
        let rack = at / 3;
        let domain = rack * 9 / workers.div_ceil(3);
        let names = (format!("w{at}"), format!("r{rack}"), format!("d{domain}"));
        planner.add_worker(WorkerSpec::new(&names.0, &names.1, &names.2, "region", 8));
    }
    for at in 0..workspaces {
        let knobs = Knobs::default().guarantee("1 worker".parse().expect("shape"));
        planner.set_workspace(format!("team-{at}"), knobs);
    }
    planner
}

fn tick(planner: &mut Planner, now: Duration) {
    for command in planner.tick(now) {
        if let Command::Start { job, .. } = command {
            planner.started(&job, now);
        }
    }
}

fn filled(workers: usize, workspaces: usize, tasks: usize) -> Planner {
    const GANG: u32 = 4;
    let mut planner = fleet(workers, workspaces);
    for at in 0..tasks / GANG as usize {
        let spec = JobSpec::new(format!("job-{at}"), format!("team-{}", at % workspaces));
        let _ = planner.submit(spec.gang(GangSpec::new(GANG)), NOW);
        tick(&mut planner, NOW);
    }
    planner
}

/// Ends 50 gangs, submits 50 jobs and runs one tick.
fn busy_tick(planner: &mut Planner, workspaces: usize) {
    for at in 0..50 {
        planner.finished(&format!("job-{at}"), LATER);
        let spec = JobSpec::new(format!("new-{at}"), format!("team-{}", at % workspaces));
        let _ = planner.submit(spec.gang(GangSpec::new(4)), LATER);
    }
    black_box(planner.tick(LATER));
}

fn by_tasks(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick with 100 events, by running tasks");
    for tasks in [800, 8_000, 19_000] {
        let planner = filled(2_500, 130, tasks);
        group.bench_with_input(BenchmarkId::from_parameter(tasks), &planner, |b, planner| {
            b.iter_batched_ref(
                || planner.clone(),
                |planner| busy_tick(planner, 130),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn by_workspaces(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick with 100 events, by workspaces");
    for workspaces in [4, 32, 130] {
        let planner = filled(300, workspaces, 1_600);
        group.bench_with_input(BenchmarkId::from_parameter(workspaces), &planner, |b, planner| {
            b.iter_batched_ref(
                || planner.clone(),
                |planner| busy_tick(planner, workspaces),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn gang_of_256(c: &mut Criterion) {
    let mut group = c.benchmark_group("place a gang of 256, by workers");
    for workers in [300, 1_000, 2_500] {
        let mut planner = filled(workers, 4, workers);
        let gang = GangSpec::new(256).adjacency(Adjacency::FailureDomain);
        planner.submit(JobSpec::new("large", "team-0").gang(gang), NOW).expect("job accepted");
        group.bench_with_input(BenchmarkId::from_parameter(workers), &planner, |b, planner| {
            b.iter_batched_ref(
                || planner.clone(),
                |planner| black_box(planner.tick(LATER)),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

fn by_queued(c: &mut Criterion) {
    let mut group = c.benchmark_group("tick with one new job, by queued jobs");
    for jobs in [10, 1_000, 10_000] {
        let mut planner = filled(300, 130, 2_400);
        for at in 0..jobs {
            let spec = JobSpec::new(format!("waits-{at}"), format!("team-{}", at % 130));
            let _ = planner.submit(spec.gang(GangSpec::new(24)), NOW);
        }
        tick(&mut planner, NOW);
        group.bench_with_input(BenchmarkId::from_parameter(jobs), &planner, |b, planner| {
            b.iter_batched_ref(
                || planner.clone(),
                |planner| {
                    let spec = JobSpec::new("one", "team-1").gang(GangSpec::new(24));
                    let _ = planner.submit(spec, NOW);
                    black_box(planner.tick(NOW));
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(10)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = by_tasks, by_workspaces, gang_of_256, by_queued
}
criterion_main!(benches);
