//! An agent's process: follows the records that concern its worker, and serves the worker.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::agent::AgentHost;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::store::Store;

/// Pace at which the table is followed; orders to the worker wait for it.
const TABLE_PACE: Pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };

/// The process of an agent.
pub struct Agent {
    /// The store, reached through peers or directly.
    pub store: Rc<dyn Store>,
    /// The table of this process.
    pub live: LiveTable,
    /// The incarnations of the agent's worker.
    pub host: Rc<AgentHost>,
}

impl Agent {
    /// Follows the state and serves the worker, forever.
    pub async fn run(self) {
        tokio::join!(self.live.follow(self.store, TABLE_PACE), self.host.run());
    }
}
