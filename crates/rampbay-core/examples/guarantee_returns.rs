//! A workspace reclaims its guarantee although others have borrowed every device.
//!
//! `cargo run -p rampbay-core --example guarantee_returns`
//!
//! What to look for: the cheapest borrower is chosen; the owner waits as "reclaiming" until its
//! devices are free; a borrower that couldn't be stopped is refused in the first place.

use std::time::Duration;

use rampbay_core::{
    job::{GangSpec, JobSpec},
    knobs::Knobs,
    plan::{Command, Planner},
    topology::WorkerSpec,
};

fn main() {
    let mut planner = Planner::new(1);
    for at in 0..2 {
        planner.add_worker(WorkerSpec::new(&format!("w{at}"), "r0", "solothurn", "mittelland", 8));
    }
    planner
        .set_workspace("subjects", Knobs::default().guarantee("1 worker".parse().expect("shape")));
    planner.set_workspace("trials", Knobs::default());
    let second = Duration::from_secs(1);
    let sweep = JobSpec::new("sweep", "trials").repeatable(false).gang(GangSpec::new(8));
    println!("sweep: {}", planner.submit(sweep, second).expect_err("may not borrow"));
    for (id, checkpointable) in [("slow", false), ("quick", true)] {
        let gang = GangSpec::new(8).checkpointable(checkpointable);
        planner.submit(JobSpec::new(id, "trials").gang(gang), second).expect("job accepted");
    }
    let mut asked = run(&mut planner, second);
    let later = second * 600;
    let owner = JobSpec::new("owner", "subjects").gang(GangSpec::new(8));
    planner.submit(owner, later).expect("job accepted");
    asked.extend(run(&mut planner, later));
    println!("owner: {}", planner.explain("owner", later).expect("known").reason);
    for token in asked {
        planner.stopped(token, later + second);
    }
    run(&mut planner, later + second);
    println!("owner: {}", planner.explain("owner", later + second).expect("known").reason);
    println!("quick: {}", planner.explain("quick", later + second).expect("known").reason);
}

fn run(planner: &mut Planner, now: Duration) -> Vec<u64> {
    let mut asked = Vec::new();
    for command in planner.tick(now) {
        match command {
            Command::Start { job, .. } => {
                println!("start {job}");
                planner.started(&job, now);
            }
            Command::Yield { token, job, how, for_job, .. } => {
                println!("{job} is asked to give way to {for_job}: {how:?}");
                asked.push(token);
            }
            Command::Expire { job } => println!("{job} has expired"),
        }
    }
    asked
}
