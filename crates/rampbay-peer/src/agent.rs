//! What every agent's process does beside its worker: it follows what concerns the worker, and serves it.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::agent::AgentHost;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::store::Store;

/// How the table is followed: orders wait for it.
const TABLE_PACE: Pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(25) };

/// An agent's process.
pub struct Agent {
    /// The store, over all ways.
    pub store: Rc<dyn Store>,
    /// The table that it keeps.
    pub live: LiveTable,
    /// The lives of its worker.
    pub host: Rc<AgentHost>,
}

impl Agent {
    /// Follows the state and serves the worker, for ever.
    pub async fn run(self) {
        tokio::join!(self.live.follow(self.store, TABLE_PACE), self.host.run());
    }
}
