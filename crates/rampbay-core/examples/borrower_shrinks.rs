//! A borrower returns half of its devices when their owner needs them.
//!
//! `cargo run -p rampbay-core --example borrower_shrinks`
//!
//! What to look for: the borrower isn't stopped; it keeps the devices that the owner doesn't need.

use std::time::Duration;

use rampbay_core::{
    job::{GangSpec, JobSpec},
    knobs::Knobs,
    plan::{Command, Planner, YieldKind},
    topology::WorkerSpec,
};

fn main() {
    let mut planner = Planner::new(1);
    planner.add_worker(WorkerSpec::new("w0", "rack-0", "bomso-hall", "ashanti", 8));
    planner
        .set_workspace("forecasts", Knobs::default().guarantee("1 quad".parse().expect("shape")));
    planner.set_workspace("trials", Knobs::default());
    let second = Duration::from_secs(1);
    let borrower = JobSpec::new("borrower", "trials").gang(GangSpec::new(8).min_devices(4));
    planner.submit(borrower, second).expect("job accepted");
    run(&mut planner, second);
    let owner = JobSpec::new("owner", "forecasts").gang(GangSpec::new(4));
    planner.submit(owner, second * 2).expect("job accepted");
    run(&mut planner, second * 2);
    run(&mut planner, second * 3);
    for job in ["borrower", "owner"] {
        println!("{job}: {}", planner.explain(job, second * 3).expect("known").reason);
    }
}

fn run(planner: &mut Planner, now: Duration) {
    for command in planner.tick(now) {
        match command {
            Command::Start { job, placement, .. } => {
                println!("start {job} on {placement:?}");
                planner.started(&job, now);
            }
            Command::Yield { token, job, how: YieldKind::Shrink { keep }, for_job, .. } => {
                println!("{job} shrinks to {keep:?} for {for_job}");
                planner.shrunk(token, &keep, now);
            }
            other => println!("{other:?}"),
        }
    }
}
