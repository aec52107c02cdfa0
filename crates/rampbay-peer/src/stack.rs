//! All ways of a process to the store, one around the other.

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
use crate::service::{Followed, PeerService};
use crate::snapshots::Snapshots;
use crate::tail::{Starting, TailStore};
use crate::transport::Transport;
use crate::tree::{Tree, rank};

/// What a process follows, and for whom.
#[derive(Clone)]
pub enum Subscription {
    /// All of the state, and the operators' orders: an entry, which passes them on.
    Everything {
        /// Topic of the operators' orders.
        orders_topic: String,
        /// Age and latest records of what it knows of them.
        orders: Rc<Freshness>,
    },
    /// What concerns its worker: an agent.
    OwnWorker,
}

impl Subscription {
    const fn is_entry(&self) -> bool {
        matches!(self, Self::Everything { .. })
    }

    /// Returns the time between two probes of a broken way to the store. Callers wait for entries, and
    /// entries are few; agents are many, and what they send goes through the leader.
    const fn probe_interval(&self) -> Duration {
        if self.is_entry() { Duration::from_millis(100) } else { Duration::from_millis(1000) }
    }
}

/// What the ways of a process are made of.
pub struct StoreStackParts {
    /// Its settings.
    pub settings: Rc<Settings>,
    /// Carries its calls to peers.
    pub transport: Rc<dyn Transport>,
    /// The table that it keeps.
    pub live: LiveTable,
    /// The store itself.
    pub store: Rc<dyn Store>,
    /// What it follows.
    pub subscription: Subscription,
}

/// The ways of a process to the store.
pub struct StoreStack {
    /// The store, over whichever way is open.
    pub store: Rc<dyn Store>,
    /// What the process serves its peers with.
    pub peer_service: PeerService,
    /// How it finds its peers.
    pub routes: Routes,
    direct: Rc<DirectStore>,
    announced: Rc<dyn Store>,
    member: Member,
}

impl StoreStack {
    /// Opens all ways to the store.
    #[must_use]
    pub fn open(parts: StoreStackParts) -> Self {
        let StoreStackParts { settings, transport, live, store, subscription } = parts;
        let counted = MeteredStore::new(store, Counted::Direct);
        let direct = DirectStore::new(Rc::new(counted), subscription.probe_interval());
        let routes = Routes { settings: Rc::clone(&settings), transport, live: live.clone() };
        let grouped = |store: Rc<dyn Store>| -> Rc<dyn Store> {
            Rc::new(GroupStore::new(Rc::new(ReadYourWritesStore::new(store, live.clone()))))
        };
        // An agent takes in only its own appends. What it passes on for a peer may hold accounts of jobs that it doesn't
        // know, which come to it together with their jobs.
        let for_peers = |store: Rc<dyn Store>| -> Rc<dyn Store> {
            if subscription.is_entry() { grouped(store) } else { Rc::new(GroupStore::new(store)) }
        };
        // Peers are served out of the direct way alone, so that a call takes one hop at most.
        let no_peers: PeerList = Box::new(|| Rc::from([]));
        let alone = RelayStore::new(Rc::clone(&direct), no_peers).among(routes.clone().writers());
        let relay = RelayStore::new(Rc::clone(&direct), routes.clone().relays());
        let relay = relay.among(routes.clone().writers());
        let relay = for_peers(Rc::new(MeteredStore::new(Rc::new(relay), Counted::Any)));
        let gateways = match &subscription {
            Subscription::Everything { .. } => routes.clone().gateways_of_entry(),
            Subscription::OwnWorker => routes.clone().gateways_of_agent(),
        };
        let own = grouped(Rc::new(GatewayStore::new(Rc::clone(&relay), gateways)));
        let direct_alone: Rc<dyn Store> = Rc::clone(&direct) as Rc<dyn Store>;
        let peer_service = PeerService {
            direct: for_peers(Rc::new(alone)),
            gathers: relay,
            followed: followed(&settings, &live, &subscription),
            reports: subscription.is_entry().then(Rc::default),
            snapshots: subscription.is_entry().then(|| Snapshots::new(live.clone(), direct_alone)),
        };
        let announced = Rc::clone(&own);
        let store = read_through_peers(own, &settings, &routes, &subscription);
        let member = settings.member(subscription.is_entry());
        Self { store, peer_service, routes, direct, announced, member }
    }

    /// Probes the direct way while it is broken, keeps the process's address in the state, passes on the
    /// reports that it gathers, and tells its metrics where it stands, for ever.
    pub async fn maintain(self) {
        let observe = observe_for_ever(self.routes.clone(), self.peer_service.followed.clone());
        let announce = self.routes.live.announce(self.announced, self.member);
        let pass_on = async {
            if let Some(reports) = &self.peer_service.reports {
                reports.pass_on(self.store.as_ref()).await;
            }
        };
        tokio::join!(self.direct.probe_for_ever(), announce, pass_on, observe);
    }
}

/// Time between two looks at where a process stands: metrics are read less often.
const OBSERVING: Duration = Duration::from_secs(5);

/// Tells the metrics how old the process's views are, how far it is from the store, and how much the state holds.
async fn observe_for_ever(routes: Routes, followed: Followed) {
    let live = routes.live;
    loop {
        tokio::time::sleep(OBSERVING).await;
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

/// Sends reads of what is followed through peers.
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
            let state = state.starting(starting(settings, routes, subscription));
            Rc::new(TailStore::new(Rc::new(state), orders_topic, sources()))
        }
        Subscription::OwnWorker => {
            let tail = TailStore::new(store, STATE_TOPIC, routes.clone().sources_of_agent());
            let tail = tail.starting(starting(settings, routes, subscription));
            Rc::new(tail.for_agent(settings.node.clone()))
        }
    }
}

/// How long processes that start go to peers before they read the whole state from the store, and over how much more
/// that is spread: after a loss of power no peer knows it. Those that the settings of all name read it at once; other
/// ample entries wait as long as that takes, small ones and agents until those have it. An agent's leases last 6 s.
const AMPLE_START: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(150));
const SMALL_START: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(300));
const AGENT_START: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_millis(500));

/// Returns how a process reads the whole state when it starts.
fn starting(settings: &Settings, routes: &Routes, subscription: &Subscription) -> Starting {
    let is_ample = subscription.is_entry() && settings.member(true).is_well_provisioned();
    let (least, spread) = match subscription {
        Subscription::OwnWorker => AGENT_START,
        Subscription::Everything { .. } if is_ample => AMPLE_START,
        Subscription::Everything { .. } => SMALL_START,
    };
    let share = rank(&settings.node, "") % 1000;
    let is_known = settings.seeds.iter().any(|seed| seed.ip() == settings.ip);
    let spread = spread * share as u32 / 1000;
    let patience = if is_ample && is_known { Duration::ZERO } else { least + spread };
    Starting { routes: routes.clone(), patience }
}

/// Returns the views that a process passes on: those that are whole. What an agent reads has gaps, and whoever
/// took it for the state would miss records.
fn followed(settings: &Settings, live: &LiveTable, subscription: &Subscription) -> Followed {
    let Subscription::Everything { orders_topic, orders } = subscription else {
        return Followed::new();
    };
    let state = (STATE_TOPIC.to_owned(), Rc::clone(&live.freshness));
    let followed = Followed::from([state, (orders_topic.clone(), Rc::clone(orders))]);
    if settings.member(true).is_well_provisioned() {
        followed.values().for_each(|freshness| freshness.keep_recent());
    }
    followed
}
