//! A process that stands for election, over the store in memory.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::candidacy::{Candidate, LeaderPollers, PreferredLeaders};
use rampbay_jobs::follower::{Pace, Sink, follow};
use rampbay_jobs::intake::CurrentRouting;
use rampbay_jobs::leader::{self, LeaderParts};
use rampbay_jobs::planner::{Placement, Planner, PlannerSettings};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::Store;
use rampbay_jobs::upkeep::driver::UpkeepParts;
use tokio::task::JoinHandle;

use super::settings;
use super::store::MemoryStore;

/// The operators' topic.
pub const OPERATOR_TOPIC: &str = "keyed.operators";

/// Reads each key of the operators' topic as a failure domain to drain.
struct DrainSink(Rc<CurrentRouting>);

impl Sink for DrainSink {
    fn reset(&mut self) {
        self.0.drains.reset();
    }

    fn apply(&mut self, record: &KeyedRecord) {
        if record.value.is_empty() {
            self.0.drains.restore(&record.key);
        } else {
            self.0.drains.drain(&record.key);
        }
    }
}

/// Makes a process a leader poller that stands at once.
struct FirstPoller;

impl LeaderPollers for FirstPoller {
    fn rank(&self) -> Option<usize> {
        Some(0)
    }
}

/// Starts a process that stands for election and plans while it leads. A process with
/// `preferred_leaders` is a small one.
pub fn start_leader(
    store: &Rc<MemoryStore>,
    node: &str,
    salt: u64,
    preferred_leaders: Option<Rc<dyn PreferredLeaders>>,
) -> JoinHandle<()> {
    let waves = None;
    start_leader_with(store, node, salt, preferred_leaders, waves, Placement::Auto)
}

/// Starts a process that serves waves of machine maintenance, and places work by a policy, while it leads.
pub fn start_leader_with(
    store: &Rc<MemoryStore>,
    node: &str,
    salt: u64,
    preferred_leaders: Option<Rc<dyn PreferredLeaders>>,
    upkeep: Option<UpkeepParts>,
    placement: Placement,
) -> JoinHandle<()> {
    let shared: Rc<dyn Store> = store.clone();
    let live = LiveTable::default();
    let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
    tokio::task::spawn_local(live.clone().follow(Rc::clone(&shared), pace));
    let routing = Rc::new(CurrentRouting::default());
    let operators = follow(
        Rc::clone(&shared),
        OPERATOR_TOPIC,
        pace,
        Rc::clone(&routing.freshness),
        DrainSink(Rc::clone(&routing)),
    );
    tokio::task::spawn_local(operators);
    let parts = LeaderParts {
        candidate: Candidate {
            node: node.to_owned(),
            store: shared,
            interval: Duration::from_millis(333),
            preferred_leaders,
            leader_pollers: Rc::new(FirstPoller),
            freshness: live.freshness,
            salt,
        },
        table: live.table,
        routing,
        progress_pace: pace,
        wall_clock: super::virtual_wall_clock,
        upkeep,
    };
    tokio::task::spawn_local(leader::run(parts, move || {
        Planner::new(PlannerSettings { placement, ..settings().planner() })
    }))
}
