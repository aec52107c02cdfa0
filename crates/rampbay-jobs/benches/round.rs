//! Time that one round of the planner takes on a fleet under load.
//!
//! `cargo bench -p rampbay-jobs`

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use support::fleet::Fleet;

#[path = "../tests/support/mod.rs"]
mod support;

/// Sizes of fleets, in workers.
const WORKERS: [usize; 3] = [240, 800, 2_500];
/// Time for which a fleet is under load before its rounds are measured.
const WARM_UP: Duration = Duration::from_secs(12);

fn round(c: &mut Criterion) {
    let mut group = c.benchmark_group("round");
    group.sample_size(20);
    for workers in WORKERS {
        support::run_in_virtual_time(async {
            let mut fleet = Fleet::new(workers, 1);
            fleet.advance(WARM_UP).await;
            let name = BenchmarkId::new("loaded", workers);
            group.bench_function(name, |bencher| bencher.iter(|| black_box(fleet.round())));
        });
    }
    group.finish();
}

criterion_group!(benches, round);
criterion_main!(benches);
