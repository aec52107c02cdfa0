//! Appends that reach the store through the process of a peer.
//!
//! Seen: accepted jobs had nothing running for as long as anybody looked, while there was room for them. The planner had
//! assigned their tasks to a worker whose agent went on reporting, and the agent ordered none of them.
//!
//! How it came about: an agent is sent only what concerns its worker, and a job it doesn't know comes together with the
//! first account that names its worker. The store turned the leader away, so the leader's append went through the process
//! of a peer, and that was this agent. It took the records that it passed on into its own view: an account without its
//! job, which was passed over, and a position behind it, so that job and account weren't sent to it any more.
//!
//! Proved by: the soak's log of such a play (accounts passed over in the millisecond in which the leader's append came back
//! through a peer), and by these tests, which pass with the leader's own way open.

use std::time::Duration;

use rampbay_scale::connection::Way;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time in which a fleet comes to rest.
const REST: Duration = Duration::from_secs(6);
/// Time in which agents that have started again know the state, with the work that they found still running.
const READ_ANEW: Duration = Duration::from_millis(1800);
/// Time in which the first job ends and the second one runs to its end: 3 s each, and some waiting.
const DONE: Duration = Duration::from_secs(10);

const FIRST: &str = "00000000000000aa";
const SECOND: &str = "00000000000000bb";

/// The agents read the state anew while a job waits for room, so they know it only once it is assigned to them. By then the
/// store turns the leader away, and its appends go through peers.
#[rstest]
fn job_assigned_through_a_peer_runs(#[values(1, 2, 3, 4)] agents: usize) {
    time::run(async {
        let mut fleet = Fleet::start(Size { ample: 2, small: 0, agents }).await;
        sleep(REST).await;
        let all_devices = 8 * agents as u32;
        fleet.submit(FIRST, all_devices, 1).await;
        fleet.submit(SECOND, all_devices, 1).await;
        fleet.kill(|process| !process.is_entry());
        fleet.restart().await;
        sleep(READ_ANEW).await;
        fleet.leader().expect("a leader").connection.way.set(Way::Refused);
        let done = fleet.until(DONE, |fleet| fleet.is_done(SECOND)).await;
        assert!(done.is_some(), "not done, {} of its tasks run", fleet.running());
    });
}
