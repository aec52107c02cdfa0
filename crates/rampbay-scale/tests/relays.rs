//! Appends that reach the store through a peer.
//!
//! The failure: accepted jobs had nothing running indefinitely, although there was capacity for them. The planner
//! had assigned their tasks to a worker whose agent went on reporting, and the agent started none of them.
//!
//! The cause: an agent is sent only the records that concern its worker, and a job that the agent doesn't know
//! comes with the first job plan that names its worker. The store refused the leader's calls, so the leader's
//! append went through a peer, which was this agent. The agent applied the relayed records to its own view: a job
//! plan without its job, which was ignored, and a read position after it, so that job and plan weren't sent to the
//! agent any more.
//!
//! The evidence: the log of such a soak run (job plans were ignored in the millisecond in which the leader's
//! append returned through the peer), and these tests, which pass if the leader's own connection is open.

use std::time::Duration;

use rampbay_scale::connection::StoreAccess;
use rampbay_scale::fleet::Fleet;
use rampbay_scale::machine::Size;
use rampbay_scale::time;
use rstest::rstest;
use tokio::time::sleep;

/// Time after which a fleet has settled.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Time in which restarted agents learn the state and the work that is still running.
const RELOAD_TIME: Duration = Duration::from_millis(1800);
/// Time in which the first job ends and the second one runs to its end: 3 s each, and some waiting.
const COMPLETION_TIME: Duration = Duration::from_secs(10);

const FIRST: &str = "00000000000000aa";
const SECOND: &str = "00000000000000bb";

/// The agents reload the state while a job waits for capacity, so they learn of the job only once it is assigned
/// to them. By then the store refuses the leader's calls, and the leader's appends go through peers.
#[rstest]
fn job_assigned_through_a_peer_runs(#[values(1, 2, 3, 4)] agents: usize) {
    time::run(async {
        let mut fleet = Fleet::start(Size { well_provisioned: 2, small: 0, agents }).await;
        sleep(SETTLE_TIME).await;
        let all_devices = 8 * agents as u32;
        fleet.submit(FIRST, all_devices, 1).await;
        fleet.submit(SECOND, all_devices, 1).await;
        fleet.kill(|process| !process.is_entry());
        fleet.restart().await;
        sleep(RELOAD_TIME).await;
        fleet.leader().expect("a leader").connection.access.set(StoreAccess::Refused);
        let done = fleet.wait_until(COMPLETION_TIME, |fleet| fleet.is_done(SECOND)).await;
        assert!(done.is_some(), "not done, {} of its tasks run", fleet.running());
    });
}
