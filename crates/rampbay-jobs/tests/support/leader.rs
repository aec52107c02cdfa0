//! A process that stands for leadership, over the store in memory.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::candidacy::Successors;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::leader::{self, LeaderParts};
use rampbay_jobs::planner::Planner;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::store::Store;
use tokio::task::JoinHandle;

use super::settings;
use super::store::MemoryStore;

/// Starts a process that stands for leadership and plans while it leads. One with `successors` has
/// little room itself.
pub fn start_leader(
    store: &Rc<MemoryStore>,
    node: &str,
    salt: u64,
    successors: Option<Rc<dyn Successors>>,
) -> JoinHandle<()> {
    let shared: Rc<dyn Store> = store.clone();
    let live = LiveTable::default();
    let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
    tokio::task::spawn_local(live.clone().follow(Rc::clone(&shared), pace));
    let parts = LeaderParts {
        node: node.to_owned(),
        store: shared,
        table: live.table,
        freshness: live.freshness,
        routing: Rc::default(),
        progress_pace: pace,
        wall_clock: || 2_000,
        candidacy_interval: Duration::from_millis(333),
        salt,
        successors,
    };
    tokio::task::spawn_local(leader::run(parts, || Planner::new(settings().planner())))
}
