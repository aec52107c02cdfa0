//! Selects the peers that a process reads, appends and relays through.
//!
//! Records are passed down the [`Tree`] of the entries. Agents' appends go up to the leader, or
//! else to a well-provisioned entry nearby. A process that the store rejects relays its calls
//! through any peer.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_trait::async_trait;
use rampbay_jobs::candidacy::{LeaderPollers, PreferredLeaders};
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::Member;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::table::JobTable;

use crate::gateway::{GatewayPeer, Gateways};
use crate::peer::PeerStore;
use crate::relay::{PeerList, WriterCount};
use crate::tail::{Sources, TailSources};
use crate::transport::Transport;
use crate::tree::{Tree, entries, leader_pollers, rank, well_provisioned};

/// Largest number of peers that a process relays through while the store rejects its calls. Some
/// calls fail until a peer is found that the store serves; where the store rejects a third of the
/// fleet, all of these peers are rejected once in 40 million cases.
const MAX_RELAYS: usize = 16;

/// What a process needs to find its peers.
#[derive(Clone)]
pub struct Routes {
    /// Settings of the process.
    pub settings: Rc<Settings>,
    /// Sends calls to peers.
    pub transport: Rc<dyn Transport>,
    /// The table, which lists the processes.
    pub live: LiveTable,
}

impl Routes {
    fn peer(&self, member: &Member) -> PeerStore {
        PeerStore::new(Rc::clone(&self.transport), member.address.clone())
    }

    /// Caches what `list` returns until the membership or the leader changes: every call asks for a
    /// list of peers, and a fleet has hundreds of processes.
    fn cached<T: Clone + 'static>(
        self,
        list: impl Fn(&Self, &JobTable) -> T + 'static,
    ) -> impl Fn() -> T {
        let cache: RefCell<Option<(u64, T)>> = RefCell::default();
        move || {
            let table = self.live.table.borrow();
            let state = table.membership_version();
            let mut cache = cache.borrow_mut();
            if let Some((_, list)) = cache.as_ref().filter(|(of, _)| *of == state) {
                return list.clone();
            }
            let list = list(&self, &table);
            *cache = Some((state, list.clone()));
            list
        }
    }

    /// Lists the gateways of an agent: the leader first, since its planner learns at once of what
    /// passes through it; then well-provisioned entries, or all entries if none is
    /// well-provisioned.
    #[must_use]
    pub fn gateways_of_agent(self) -> Gateways {
        Box::new(self.cached(|routes, table| {
            let others = routes.nearest_first(routes.well_provisioned_or_all(table), table);
            let others = others.into_iter().filter(|other| other.node != table.leader.node);
            let leader = table.members.get(&table.leader.node);
            leader.into_iter().chain(others).map(|member| routes.gateway(member)).collect()
        }))
    }

    /// Lists the gateway of an entry: the leader, or none if the entry leads itself.
    #[must_use]
    pub fn gateways_of_entry(self) -> Gateways {
        Box::new(self.cached(|routes, table| {
            let leader = table.members.get(&table.leader.node);
            let leader = leader.filter(|leader| leader.node != routes.settings.node);
            leader.into_iter().map(|member| routes.gateway(member)).collect()
        }))
    }

    fn gateway(&self, member: &Member) -> Rc<dyn GatewayPeer> {
        Rc::new(self.peer(member).as_gateway())
    }

    /// Estimates how many processes append directly beside this one: hardly any if this process
    /// leads. Otherwise its path through the leader must have failed, and all other entries count.
    #[must_use]
    pub fn writer_count(self) -> WriterCount {
        Box::new(self.cached(|routes, table| {
            let leads = table.leader.node == routes.settings.node;
            if leads { 1 } else { entries(table).count() as u32 + 1 }
        }))
    }

    /// Lists the well-provisioned entries, or all entries if none is well-provisioned.
    fn well_provisioned_or_all<'a>(&self, table: &'a JobTable) -> Vec<&'a Member> {
        let well_provisioned: Vec<&Member> = well_provisioned(table).collect();
        if well_provisioned.is_empty() { entries(table).collect() } else { well_provisioned }
    }

    /// Returns what an entry reads through, by its position in the tree. An entry that leads, or
    /// knows of no well-provisioned entry, reads from the store.
    #[must_use]
    pub fn sources_of_entry(self) -> TailSources {
        Box::new(self.cached(|routes, table| {
            let own = &routes.settings.node;
            let is_root = table.leader.node == *own;
            let parents = if is_root { Vec::new() } else { routes.parents(table) };
            let peers = parents.into_iter().map(|member| routes.peer(member)).collect();
            Sources { peers, is_root }
        }))
    }

    /// Lists the entries above this one in the tree, the nearest first.
    fn parents<'a>(&self, table: &'a JobTable) -> Vec<&'a Member> {
        let tree = Tree::of(table);
        if !self.settings.member(true).is_well_provisioned() {
            return self.nearest_first(well_provisioned(table).collect(), table);
        }
        // An entry that isn't in the state yet may be an inner or an outer one; the leader always
        // has the records that it needs.
        let is_outer = tree.outer.iter().any(|member| member.node == self.settings.node);
        if is_outer {
            return self.nearest_first(tree.inner, table);
        }
        tree.root.into_iter().collect()
    }

    /// Returns what an agent reads the state through: well-provisioned entries, or all entries if
    /// none is well-provisioned.
    #[must_use]
    pub fn sources_of_agent(self) -> TailSources {
        Box::new(self.cached(|routes, table| {
            let nearest = routes.nearest_first(routes.well_provisioned_or_all(table), table);
            let peers = nearest.into_iter().map(|member| routes.peer(member)).collect();
            Sources { peers, is_root: false }
        }))
    }

    /// Asks the seeds in the settings for the list of entries, and returns the peers to read
    /// through before this process knows the state. The state spreads down the tree: after a loss
    /// of power only the seeds know it, and of entries picked by chance ever fewer would know it.
    pub async fn bootstrap_peers(&self) -> Vec<PeerStore> {
        let port = self.settings.peer_port;
        let mut seeds: Vec<String> = self
            .settings
            .seeds
            .iter()
            .map(|seed| SocketAddr::new(seed.ip(), port).to_string())
            .collect();
        seeds.sort_by_cached_key(|seed| rank(&self.settings.node, seed));
        for seed in seeds {
            let seed = PeerStore::new(Rc::clone(&self.transport), seed);
            let entries = seed.entries().await;
            if !entries.is_empty() {
                return self.initial_parents(entries).into_iter().chain([seed]).collect();
            }
        }
        Vec::new()
    }

    /// Lists the peers above this process in the tree that `entries` form without a leader.
    fn initial_parents(&self, entries: Vec<Member>) -> Vec<PeerStore> {
        let mut table = JobTable::default();
        table.members = entries.into_iter().map(|entry| (entry.node.clone(), entry)).collect();
        let tree = Tree::of(&table);
        let is_own = |member: &&Member| member.node == self.settings.node;
        let parents = if tree.inner.iter().any(is_own) {
            Vec::new()
        } else if tree.outer.iter().any(is_own) {
            tree.inner
        } else {
            self.well_provisioned_or_all(&table)
        };
        let nearest = self.nearest_first(parents, &table);
        nearest.into_iter().map(|member| self.peer(member)).collect()
    }

    /// Sorts members: those of the same failure domain first, in an order that differs between
    /// processes; then the leader, which has the most load; last the former leader, which may be
    /// down.
    fn nearest_first<'a>(&self, mut members: Vec<&'a Member>, table: &JobTable) -> Vec<&'a Member> {
        let own = &self.settings;
        members.sort_by_cached_key(|member| {
            let is_far = member.failure_domain != own.failure_domain;
            let is_former = member.node == table.former_leader;
            let leads = member.node == table.leader.node;
            (is_former, leads, is_far, rank(&own.node, &member.node))
        });
        members
    }

    /// Lists some peers to relay calls through, different ones for each process, so that no peer
    /// serves all.
    #[must_use]
    pub fn relays(self) -> PeerList {
        Box::new(self.cached(|routes, table| {
            let settings = &routes.settings;
            let at = |ip| SocketAddr::new(ip, settings.peer_port).to_string();
            let own = at(settings.ip);
            let seeds = settings.seeds.iter().map(|seed| at(seed.ip()));
            let members = table.members.values().map(|member| member.address.clone());
            let mut addresses: Vec<String> = members.chain(seeds).collect();
            addresses.sort();
            addresses.dedup();
            addresses.retain(|address| *address != own);
            addresses.sort_by_cached_key(|address| rank(&own, address));
            addresses.truncate(MAX_RELAYS);
            let store = |address: String| -> Rc<dyn Store> {
                Rc::new(PeerStore::new(Rc::clone(&routes.transport), address))
            };
            addresses.into_iter().map(store).collect()
        }))
    }

    /// Returns this process's rank among the few that poll the store for the leader.
    #[must_use]
    pub fn leader_pollers(self) -> Rc<dyn LeaderPollers> {
        let poller_rank = self.cached(|routes, table| {
            let settings = &routes.settings;
            if table.members.is_empty() {
                // Before the members are known, the seeds, which all processes find in their
                // settings, stand first.
                return settings.seeds.iter().position(|seed| seed.ip() == settings.ip);
            }
            leader_pollers(table).position(|member| member.node == settings.node)
        });
        Rc::new(PollerRank(Box::new(poller_rank)))
    }

    /// Returns the entries that should lead in place of this process, if it isn't well-provisioned
    /// itself.
    #[must_use]
    pub fn preferred_leaders(self) -> Option<Rc<dyn PreferredLeaders>> {
        let is_well_provisioned = self.settings.member(true).is_well_provisioned();
        (!is_well_provisioned)
            .then(|| Rc::new(WellProvisionedPeers(self)) as Rc<dyn PreferredLeaders>)
    }
}

/// The rank of this process among those that poll the store for the leader.
struct PollerRank(Box<dyn Fn() -> Option<usize>>);

impl LeaderPollers for PollerRank {
    fn rank(&self) -> Option<usize> {
        (self.0)()
    }
}

/// Largest number of well-provisioned entries that are pinged.
const MAX_PINGED: usize = 3;

/// The well-provisioned entries.
struct WellProvisionedPeers(Routes);

#[async_trait(?Send)]
impl PreferredLeaders for WellProvisionedPeers {
    async fn any_reachable(&self) -> bool {
        let routes = &self.0;
        let well_provisioned: Vec<PeerStore> = {
            let table = routes.live.table.borrow();
            let nearest = routes.nearest_first(well_provisioned(&table).collect(), &table);
            nearest.into_iter().take(MAX_PINGED).map(|member| routes.peer(member)).collect()
        };
        for peer in well_provisioned {
            if peer.responds().await {
                return true;
            }
        }
        false
    }
}
