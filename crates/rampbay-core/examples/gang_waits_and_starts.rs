//! A gang waits for free devices, with a reason, and starts once another gang ends.
//!
//! `cargo run -p rampbay-core --example gang_waits_and_starts`
//!
//! What to look for: the reason names the devices that are needed and the most that are free in one
//! place; the gang starts in the first tick after the devices are free.

use std::time::Duration;

use rampbay_core::{
    job::{GangSpec, JobSpec},
    knobs::Knobs,
    plan::{Command, Planner},
    topology::WorkerSpec,
};

fn main() {
    let mut planner = Planner::new(1);
    planner.add_worker(WorkerSpec::new("w0", "rack-0", "bern-halle", "mittelland", 8));
    planner.set_workspace("reindexing", Knobs::default());
    let second = Duration::from_secs(1);
    for id in ["first", "second"] {
        let spec = JobSpec::new(id, "reindexing").gang(GangSpec::new(8));
        planner.submit(spec, second).expect("job accepted");
    }
    show(&mut planner, second);
    planner.finished("first", second * 60);
    println!("first has ended");
    show(&mut planner, second * 61);
}

fn show(planner: &mut Planner, now: Duration) {
    for command in planner.tick(now) {
        if let Command::Start { job, placement, .. } = command {
            planner.started(&job, now);
            println!("start {job} on {placement:?}");
        }
    }
    let jobs: Vec<_> = planner.jobs().cloned().collect();
    for job in jobs {
        let why = planner.explain(&job, now).expect("known");
        println!("{job}: {}", why.reason);
    }
}
