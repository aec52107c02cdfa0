//! Which peers a process goes through, for what.
//!
//! Records travel down the [`Tree`] of the entries. Agents' appends go up to the leader, or else to an ample
//! entry nearby. Whoever is turned away by the store goes through any peer.

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
use crate::relay::{PeerList, Writers};
use crate::tail::{Sources, TailSources};
use crate::transport::Transport;
use crate::tree::{Tree, ample, entries, leader_pollers, rank};

/// Peers that a process knows to go through while the store turns it away. Some calls go wrong until one of them is
/// found that the store serves; where a third of the fleet is turned away, all of these are once in 40 million.
const MOST_RELAYS: usize = 16;

/// What a process needs to find its peers.
#[derive(Clone)]
pub struct Routes {
    /// Its settings.
    pub settings: Rc<Settings>,
    /// Carries its calls to peers.
    pub transport: Rc<dyn Transport>,
    /// The table, which knows the processes.
    pub live: LiveTable,
}

impl Routes {
    fn peer(&self, member: &Member) -> PeerStore {
        PeerStore::new(Rc::clone(&self.transport), member.address.clone())
    }

    /// Works a list of peers out once, and again after the processes or the leader have changed: each call asks for
    /// one, and a fleet has hundreds of processes.
    fn remembered<T: Clone + 'static>(
        self,
        list: impl Fn(&Self, &JobTable) -> T + 'static,
    ) -> impl Fn() -> T {
        let known: RefCell<Option<(u64, T)>> = RefCell::default();
        move || {
            let table = self.live.table.borrow();
            let state = table.membership_version();
            let mut known = known.borrow_mut();
            if let Some((_, list)) = known.as_ref().filter(|(of, _)| *of == state) {
                return list.clone();
            }
            let list = list(&self, &table);
            *known = Some((state, list.clone()));
            list
        }
    }

    /// Lists the processes that gather an agent's appends: the leader's first, since the planner knows
    /// at once what passes through it; then ample ones, or all entries where none is ample.
    #[must_use]
    pub fn gateways_of_agent(self) -> Gateways {
        Box::new(self.remembered(|routes, table| {
            let others = routes.near_first(routes.ample_or_all(table), table);
            let others = others.into_iter().filter(|other| other.node != table.leader.node);
            let leader = table.members.get(&table.leader.node);
            leader.into_iter().chain(others).map(|member| routes.gateway(member)).collect()
        }))
    }

    /// Lists the process that gathers an entry's appends: the leader, or none if it leads itself.
    #[must_use]
    pub fn gateways_of_entry(self) -> Gateways {
        Box::new(self.remembered(|routes, table| {
            let leader = table.members.get(&table.leader.node);
            let leader = leader.filter(|leader| leader.node != routes.settings.node);
            leader.into_iter().map(|member| routes.gateway(member)).collect()
        }))
    }

    fn gateway(&self, member: &Member) -> Rc<dyn GatewayPeer> {
        Rc::new(self.peer(member).as_gateway())
    }

    /// Counts the processes that append on their own beside this one: hardly any beside the leader; beside another one,
    /// whose way through the leader must have failed, all other entries.
    #[must_use]
    pub fn writers(self) -> Writers {
        Box::new(self.remembered(|routes, table| {
            let leads = table.leader.node == routes.settings.node;
            if leads { 1 } else { entries(table).count() as u32 + 1 }
        }))
    }

    /// Lists the ample entries, or all where none is ample.
    fn ample_or_all<'a>(&self, table: &'a JobTable) -> Vec<&'a Member> {
        let ample: Vec<&Member> = ample(table).collect();
        if ample.is_empty() { entries(table).collect() } else { ample }
    }

    /// Lists what an entry reads through, by its place in the tree. An entry that leads itself, or finds nobody
    /// ample, reads from the store.
    #[must_use]
    pub fn sources_of_entry(self) -> TailSources {
        Box::new(self.remembered(|routes, table| {
            let own = &routes.settings.node;
            let is_root = table.leader.node == *own;
            let above = if is_root { Vec::new() } else { routes.above(table) };
            let peers = above.into_iter().map(|member| routes.peer(member)).collect();
            Sources { peers, is_root }
        }))
    }

    /// Lists the entries above this one in the tree, the nearest first.
    fn above<'a>(&self, table: &'a JobTable) -> Vec<&'a Member> {
        let tree = Tree::of(table);
        if !self.settings.member(true).is_well_provisioned() {
            return self.near_first(ample(table).collect(), table);
        }
        // One that isn't in the state yet may be either; the leader is sure to have what it needs.
        let is_outer = tree.outer.iter().any(|member| member.node == self.settings.node);
        if is_outer {
            return self.near_first(tree.inner, table);
        }
        tree.root.into_iter().collect()
    }

    /// Lists what an agent reads the state through: ample entries, or all where none is ample.
    #[must_use]
    pub fn sources_of_agent(self) -> TailSources {
        Box::new(self.remembered(|routes, table| {
            let near = routes.near_first(routes.ample_or_all(table), table);
            let peers = near.into_iter().map(|member| routes.peer(member)).collect();
            Sources { peers, is_root: false }
        }))
    }

    /// Asks the processes that the settings name which entries there are, and lists those to go through before this one
    /// knows the state. It comes down the tree: after a loss of power they alone know it, and so would ever fewer of
    /// those that a process finds by chance.
    pub async fn first_peers(&self) -> Vec<PeerStore> {
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
                return self.first_above(entries).into_iter().chain([seed]).collect();
            }
        }
        Vec::new()
    }

    /// Lists the peers above this process in the tree that some entries make up without a leader.
    fn first_above(&self, entries: Vec<Member>) -> Vec<PeerStore> {
        let mut table = JobTable::default();
        table.members = entries.into_iter().map(|entry| (entry.node.clone(), entry)).collect();
        let tree = Tree::of(&table);
        let is_own = |member: &&Member| member.node == self.settings.node;
        let above = if tree.inner.iter().any(is_own) {
            Vec::new()
        } else if tree.outer.iter().any(is_own) {
            tree.inner
        } else {
            self.ample_or_all(&table)
        };
        let near = self.near_first(above, &table);
        near.into_iter().map(|member| self.peer(member)).collect()
    }

    /// Sorts members: near ones first, each process with another beginning, the leader after them: it has
    /// enough to do. The leader before it comes last: it may be gone.
    fn near_first<'a>(&self, mut members: Vec<&'a Member>, table: &JobTable) -> Vec<&'a Member> {
        let own = &self.settings;
        members.sort_by_cached_key(|member| {
            let is_far = member.failure_domain != own.failure_domain;
            let is_former = member.node == table.former_leader;
            let leads = member.node == table.leader.node;
            (is_former, leads, is_far, rank(&own.node, &member.node))
        });
        members
    }

    /// Lists some ways to the store through peers, each process with others, so that one peer doesn't serve all.
    #[must_use]
    pub fn relays(self) -> PeerList {
        Box::new(self.remembered(|routes, table| {
            let settings = &routes.settings;
            let at = |ip| SocketAddr::new(ip, settings.peer_port).to_string();
            let own = at(settings.ip);
            let seeds = settings.seeds.iter().map(|seed| at(seed.ip()));
            let known = table.members.values().map(|member| member.address.clone());
            let mut addresses: Vec<String> = known.chain(seeds).collect();
            addresses.sort();
            addresses.dedup();
            addresses.retain(|address| *address != own);
            addresses.sort_by_cached_key(|address| rank(&own, address));
            addresses.truncate(MOST_RELAYS);
            let store = |address: String| -> Rc<dyn Store> {
                Rc::new(PeerStore::new(Rc::clone(&routes.transport), address))
            };
            addresses.into_iter().map(store).collect()
        }))
    }

    /// Returns whether this process is among the few that ask the store again and again who leads.
    #[must_use]
    pub fn leader_pollers(self) -> Rc<dyn LeaderPollers> {
        let place = self.remembered(|routes, table| {
            let settings = &routes.settings;
            if table.members.is_empty() {
                // Before it knows the others: those that the settings of all name stand first.
                return settings.seeds.iter().position(|seed| seed.ip() == settings.ip);
            }
            leader_pollers(table).position(|member| member.node == settings.node)
        });
        Rc::new(Watch(Box::new(place)))
    }

    /// Returns who could lead in place of this process, if it has little room itself.
    #[must_use]
    pub fn preferred_leaders(self) -> Option<Rc<dyn PreferredLeaders>> {
        let is_ample = self.settings.member(true).is_well_provisioned();
        (!is_ample).then(|| Rc::new(AmplePeers(self)) as Rc<dyn PreferredLeaders>)
    }
}

/// This process's place among those that ask who leads.
struct Watch(Box<dyn Fn() -> Option<usize>>);

impl LeaderPollers for Watch {
    fn rank(&self) -> Option<usize> {
        (self.0)()
    }
}

/// Ample entries that are asked whether they answer, at most.
const MOST_ASKED: usize = 3;

/// The ample entries.
struct AmplePeers(Routes);

#[async_trait(?Send)]
impl PreferredLeaders for AmplePeers {
    async fn any_reachable(&self) -> bool {
        let routes = &self.0;
        let ample: Vec<PeerStore> = {
            let table = routes.live.table.borrow();
            let near = routes.near_first(ample(&table).collect(), &table);
            near.into_iter().take(MOST_ASKED).map(|member| routes.peer(member)).collect()
        };
        for peer in ample {
            if peer.responds().await {
                return true;
            }
        }
        false
    }
}
