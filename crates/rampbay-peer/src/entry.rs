//! What an entry's process does besides serving callers: it follows the state and the operators'
//! orders, and stands for election as leader.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::candidacy::Candidate;
use rampbay_jobs::follower::{Pace, Sink, follow};
use rampbay_jobs::intake::CurrentRouting;
use rampbay_jobs::job::EpochMillis;
use rampbay_jobs::leader::{self, LeaderParts};
use rampbay_jobs::planner::Planner;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::upkeep::driver::UpkeepParts;

use crate::routes::Routes;

/// Pace at which the table is followed; decisions wait for it. Reads are billed, and with a shorter
/// gap no run starts sooner.
const TABLE_PACE: Pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(30) };
/// Pace at which the operators' orders are followed; calls may be answered only while these are
/// recent.
const OPERATORS_PACE: Pace =
    Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(20) };
/// Pace at which the runs' progress is followed; it arrives in batches, about seven a second.
const PROGRESS_PACE: Pace =
    Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(300) };

/// The process of an entry.
#[derive(Clone)]
pub struct Entry {
    /// Settings of the process.
    pub settings: Rc<Settings>,
    /// The store, reached through peers or directly.
    pub store: Rc<dyn Store>,
    /// How the process finds its peers.
    pub routes: Routes,
    /// The table of this process.
    pub live: LiveTable,
    /// The operators' orders, as far as this process knows them.
    pub routing: Rc<CurrentRouting>,
    /// What serves waves of machine maintenance; `None` where they aren't served.
    pub upkeep: Option<UpkeepParts>,
}

impl Entry {
    /// Keeps the table and the operators' orders current, forever.
    pub async fn follow(self, operators_topic: &str, operators: impl Sink) {
        let table = self.live.follow(Rc::clone(&self.store), TABLE_PACE);
        let freshness = Rc::clone(&self.routing.freshness);
        let orders = follow(self.store, operators_topic, OPERATORS_PACE, freshness, operators);
        tokio::join!(table, orders);
    }

    /// Stands for election, and leads whenever elected, forever. `salt` differs between processes
    /// and between starts.
    pub async fn lead(self, wall_clock: fn() -> EpochMillis, salt: u64) {
        let interval = Duration::from_millis(self.settings.leader_ttl_ms) / 3;
        let parts = LeaderParts {
            candidate: Candidate {
                node: self.settings.node.clone(),
                store: self.store,
                interval,
                preferred_leaders: self.routes.clone().preferred_leaders(),
                leader_pollers: self.routes.leader_pollers(),
                freshness: self.live.freshness,
                salt,
            },
            table: self.live.table,
            routing: self.routing,
            progress_pace: PROGRESS_PACE,
            wall_clock,
            upkeep: self.upkeep,
        };
        let planner = self.settings.planner();
        leader::run(parts, || Planner::new(planner)).await;
    }
}
