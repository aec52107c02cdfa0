//! The layers through which a process reaches the store.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::metrics::metrics;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::read_your_writes::ReadYourWritesStore;
use rampbay_jobs::record::{Member, STATE_TOPIC};
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;

use crate::direct::DirectStore;
use crate::gateway::GatewayStore;
use crate::group::GroupStore;
use crate::metered::{Counted, MeteredStore};
use crate::relay::{PeerList, RelayStore};
use crate::routes::Routes;
use crate::service::{FollowedTopics, PeerService};
use crate::snapshots::Snapshots;
use crate::tail::{Bootstrap, TailStore};
use crate::transport::Transport;
use crate::tree::{Tree, rank};

/// Which records a process follows, and whether it passes them on.
#[derive(Clone)]
pub enum Subscription {
    /// An entry: all of the state and the operators' orders, which it passes on.
    Everything {
        /// Topic of the operators' orders.
        orders_topic: String,
        /// Age and latest records of the entry's view of these orders.
        orders: Rc<Freshness>,
    },
    /// An agent: the records that concern its worker.
    OwnWorker,
}

impl Subscription {
    const fn is_entry(&self) -> bool {
        matches!(self, Self::Everything { .. })
    }

    /// Returns the time between two probes of an unavailable direct path. Callers wait for entries,
    /// and entries are few; agents are many, and their appends go through the leader.
    const fn probe_interval(&self) -> Duration {
        if self.is_entry() { Duration::from_millis(100) } else { Duration::from_millis(1000) }
    }
}

/// The parts from which a [`StoreStack`] is built.
pub struct StoreStackParts {
    /// Settings of the process.
    pub settings: Rc<Settings>,
    /// Sends calls to peers.
    pub transport: Rc<dyn Transport>,
    /// The table of this process.
    pub live: LiveTable,
    /// The store itself.
    pub store: Rc<dyn Store>,
    /// Which records the process follows.
    pub subscription: Subscription,
}

/// The layers through which a process reaches the store.
pub struct StoreStack {
    /// The store, reached through peers or directly.
    pub store: Rc<dyn Store>,
    /// Handles the requests of peers.
    pub peer_service: PeerService,
    /// How the process finds its peers.
    pub routes: Routes,
    direct: Rc<DirectStore>,
    announcement_store: Rc<dyn Store>,
    member: Member,
}

impl StoreStack {
    /// Builds all layers over the store.
    #[must_use]
    pub fn open(parts: StoreStackParts) -> Self {
        let StoreStackParts { settings, transport, live, store, subscription } = parts;
        let counted = MeteredStore::new(store, Counted::Direct);
        let direct = DirectStore::new(Rc::new(counted), subscription.probe_interval());
        let routes = Routes { settings: Rc::clone(&settings), transport, live: live.clone() };
        let grouped = |store: Rc<dyn Store>| -> Rc<dyn Store> {
            Rc::new(GroupStore::new(Rc::new(ReadYourWritesStore::new(store, live.clone()))))
        };
        // An agent applies only its own appends to its table. Appends that it relays for a peer may
        // hold plans of jobs that the agent doesn't know; it gets such plans together with their
        // jobs.
        let for_peers = |store: Rc<dyn Store>| -> Rc<dyn Store> {
            if subscription.is_entry() { grouped(store) } else { Rc::new(GroupStore::new(store)) }
        };
        // Peers are served over the direct path only, so that a call takes one hop at most.
        let no_peers: PeerList = Box::new(|| Rc::from([]));
        let without_peers = RelayStore::new(Rc::clone(&direct), no_peers)
            .with_writer_count(routes.clone().writer_count());
        let relay = RelayStore::new(Rc::clone(&direct), routes.clone().relays());
        let relay = relay.with_writer_count(routes.clone().writer_count());
        let relay = for_peers(Rc::new(MeteredStore::new(Rc::new(relay), Counted::Any)));
        let gateways = match &subscription {
            Subscription::Everything { .. } => routes.clone().gateways_of_entry(),
            Subscription::OwnWorker => routes.clone().gateways_of_agent(),
        };
        let own = grouped(Rc::new(GatewayStore::new(Rc::clone(&relay), gateways)));
        let direct_store: Rc<dyn Store> = Rc::clone(&direct) as Rc<dyn Store>;
        let peer_service = PeerService {
            direct: for_peers(Rc::new(without_peers)),
            batching: relay,
            followed: followed_topics(&settings, &live, &subscription),
            reports: subscription.is_entry().then(Rc::default),
            snapshots: subscription.is_entry().then(|| Snapshots::new(live.clone(), direct_store)),
        };
        let announcement_store = Rc::clone(&own);
        let store = read_through_peers(own, &settings, &routes, &subscription);
        let member = settings.member(subscription.is_entry());
        Self { store, peer_service, routes, direct, announcement_store, member }
    }

    /// Probes the direct path while it is unavailable, keeps the process's address in the state,
    /// passes on the reports that it collects, and updates its metrics, forever.
    pub async fn maintain(self) {
        let metrics_updates =
            update_metrics(self.routes.clone(), self.peer_service.followed.clone());
        let announce = self.routes.live.announce(self.announcement_store, self.member);
        let pass_on = async {
            if let Some(reports) = &self.peer_service.reports {
                reports.pass_on(self.store.as_ref()).await;
            }
        };
        tokio::join!(self.direct.run_probes(), announce, pass_on, metrics_updates);
    }
}

/// Time between two updates of the metrics, which are scraped less often.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);

/// Records in the metrics how old the process's views are, how many hops it is from the store, and
/// how much the state holds.
async fn update_metrics(routes: Routes, followed: FollowedTopics) {
    let live = routes.live;
    loop {
        tokio::time::sleep(METRICS_INTERVAL).await;
        let table = live.table.borrow();
        metrics().tree_depth.set(Tree::of(&table).depth_of(&routes.settings.node) as i64);
        metrics().set_state("workers", table.workers.len());
        metrics().set_state("jobs", table.jobs.len());
        metrics().set_state("processes", table.members.len());
        metrics().set_view_age("state", live.freshness.age().unwrap_or(Duration::MAX));
        let orders = followed.iter().find(|(topic, _)| *topic != STATE_TOPIC);
        if let Some((_, orders)) = orders {
            metrics().set_view_age("orders", orders.age().unwrap_or(Duration::MAX));
        }
    }
}

/// Adds layers that read the followed topics through peers.
fn read_through_peers(
    store: Rc<dyn Store>,
    settings: &Settings,
    routes: &Routes,
    subscription: &Subscription,
) -> Rc<dyn Store> {
    match subscription {
        Subscription::Everything { orders_topic, .. } => {
            let sources = || routes.clone().sources_of_entry();
            let state = TailStore::new(store, STATE_TOPIC, sources());
            let state = state.with_bootstrap(bootstrap(settings, routes, subscription));
            Rc::new(TailStore::new(Rc::new(state), orders_topic, sources()))
        }
        Subscription::OwnWorker => {
            let tail = TailStore::new(store, STATE_TOPIC, routes.clone().sources_of_agent());
            let tail = tail.with_bootstrap(bootstrap(settings, routes, subscription));
            Rc::new(tail.for_agent(settings.node.clone()))
        }
    }
}

/// How long processes that start try peers before they read the whole state from the store, and the
/// range over which that time is spread further: after a loss of power no peer knows the state.
/// Well-provisioned seeds read it at once; other well-provisioned entries wait as long as that
/// takes; small entries and agents wait until the well-provisioned ones have it. An agent's leases
/// last 6 s.
const WELL_PROVISIONED_BOOTSTRAP_WAIT: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(150));
const SMALL_BOOTSTRAP_WAIT: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(300));
const AGENT_BOOTSTRAP_WAIT: (Duration, Duration) =
    (Duration::from_millis(1000), Duration::from_millis(500));

/// Returns how a process reads the whole state when it starts.
fn bootstrap(settings: &Settings, routes: &Routes, subscription: &Subscription) -> Bootstrap {
    let is_well_provisioned =
        subscription.is_entry() && settings.member(true).is_well_provisioned();
    let (least, spread) = match subscription {
        Subscription::OwnWorker => AGENT_BOOTSTRAP_WAIT,
        Subscription::Everything { .. } if is_well_provisioned => WELL_PROVISIONED_BOOTSTRAP_WAIT,
        Subscription::Everything { .. } => SMALL_BOOTSTRAP_WAIT,
    };
    let share = rank(&settings.node, "") % 1000;
    let is_seed = settings.seeds.iter().any(|seed| seed.ip() == settings.ip);
    let spread = spread * share as u32 / 1000;
    let max_wait = if is_well_provisioned && is_seed { Duration::ZERO } else { least + spread };
    Bootstrap { routes: routes.clone(), max_wait }
}

/// Returns the views that a process passes on: the complete ones. An agent's view has gaps, and a
/// reader that took it for the whole state would miss records.
fn followed_topics(
    settings: &Settings,
    live: &LiveTable,
    subscription: &Subscription,
) -> FollowedTopics {
    let Subscription::Everything { orders_topic, orders } = subscription else {
        return FollowedTopics::new();
    };
    let state = (STATE_TOPIC.to_owned(), Rc::clone(&live.freshness));
    let followed = FollowedTopics::from([state, (orders_topic.clone(), Rc::clone(orders))]);
    if settings.member(true).is_well_provisioned() {
        followed.values().for_each(|freshness| freshness.keep_recent());
    }
    followed
}
