//! What a wide job costs the network of a fleet.
//!
//! An account that names all tasks of a job went to each agent with one of them, and anew at each change of one: the bytes
//! grew with the square of the job's width, and wide jobs come with wide fleets. 300 machines passed on 1.1 MB a second at
//! the busiest entry, growing with more than the size.

use std::time::Duration;

use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time in which a fleet comes to rest.
const REST: Duration = Duration::from_secs(6);
/// Time in which a job's tasks are started and end.
const JOB_TIME: Duration = Duration::from_secs(20);
/// Accelerators of a worker.
const WHOLE_WORKER: u64 = 8;
const JOB: &str = "00000000000000aa";

/// Runs a job of so many tasks, each at a worker of its own. Returns the bytes that processes passed on to each other for
/// each task: what they pass on in such a time anyway is taken off.
async fn bytes_a_task(size: Size, tasks: usize) -> f64 {
    let fleet = Fleet::start(size).await;
    sleep(REST).await;
    fleet.load.take();
    sleep(JOB_TIME).await;
    let idle = fleet.load.take().passed_bytes();
    fleet.submit(JOB, tasks as u32, WHOLE_WORKER).await;
    let done = fleet.until(JOB_TIME, |fleet| fleet.is_done(JOB)).await;
    let done = done.expect("the job is done in time");
    sleep(JOB_TIME.saturating_sub(done)).await;
    let passed = fleet.load.take().passed_bytes();
    passed.saturating_sub(idle) as f64 / tasks as f64
}

/// In one fleet, a task of a job that takes all workers costs hardly more than one of a job that takes an eighth of them.
#[rstest]
fn bytes_of_job_not_as_square_of_width(#[values(120, 480)] machines: usize) {
    let size = Size::of(machines);
    let narrow = time::run(bytes_a_task(size, size.agents / 8));
    let wide = time::run(bytes_a_task(size, size.agents));
    println!("{machines} machines, bytes a task: {narrow:.0}, then {wide:.0}");
    assert!(wide <= 1.25 * narrow, "{narrow:.0} bytes a task, then {wide:.0}");
}
