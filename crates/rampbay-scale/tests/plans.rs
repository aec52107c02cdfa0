//! Network traffic that a wide job causes in a fleet.
//!
//! Guards against traffic that grows with the square of a job's width: a job plan that names all tasks was sent to
//! each agent with one of the tasks, and again at each change of a task. Wide jobs come with wide fleets, and at
//! 300 machines the busiest entry passed on 1.1 MB a second, growing faster than the fleet.

use std::time::Duration;

use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time in which the tasks of a job are started and end.
const JOB_TIME: Duration = Duration::from_secs(20);
/// Accelerators of a worker.
const DEVICES_PER_WORKER: u64 = 8;
const JOB: &str = "00000000000000aa";

/// Runs a job with this many tasks, each on a worker of its own. Returns the bytes per task that processes passed
/// on to each other, without the bytes that they pass on in such a time anyway.
async fn bytes_per_task(size: Size, tasks: usize) -> f64 {
    let fleet = Fleet::start(size).await;
    sleep(SETTLE_TIME).await;
    fleet.load.take();
    sleep(JOB_TIME).await;
    let idle = fleet.load.take().peer_bytes();
    fleet.submit(JOB, tasks as u32, DEVICES_PER_WORKER).await;
    let done = fleet.wait_until(JOB_TIME, |fleet| fleet.is_done(JOB)).await;
    let done = done.expect("the job is done in time");
    sleep(JOB_TIME.saturating_sub(done)).await;
    let passed = fleet.load.take().peer_bytes();
    passed.saturating_sub(idle) as f64 / tasks as f64
}

/// In one fleet, a task of a job that takes all workers causes hardly more traffic than a task of a job that takes
/// an eighth of them.
#[rstest]
fn bytes_of_job_not_as_square_of_width(#[values(120, 480)] machines: usize) {
    let size = Size::of(machines);
    let narrow = time::run(bytes_per_task(size, size.agents / 8));
    let wide = time::run(bytes_per_task(size, size.agents));
    println!("{machines} machines, bytes a task: {narrow:.0}, then {wide:.0}");
    assert!(wide <= 1.25 * narrow, "{narrow:.0} bytes a task, then {wide:.0}");
}
