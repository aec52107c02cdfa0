//! Which peers a process goes through, for what.
//!
//! Whoever serves many others needs room: a wide link and a good share of a core. Such processes are
//! called ample ([`Member::is_ample`]). Ample entries read through the leader; small ones read through ample
//! ones, and so do agents. The leader so serves a handful of processes however many there are.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;

use async_trait::async_trait;
use rampbay_jobs::candidacy::Successors;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::Member;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;
use rampbay_jobs::table::JobTable;

use crate::peer::PeerStore;
use crate::relay::{GatewayPeer, Gateways, PeerList, Writers};
use crate::tail::TailPeers;
use crate::transport::Transport;

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

    /// Lists the processes that gather an agent's appends: the leader's first, since the planner knows
    /// at once what passes through it; then ample ones, or all entries where none is ample.
    #[must_use]
    pub fn gateways(self) -> Gateways {
        Box::new(move || {
            let table = self.live.table.borrow();
            let leader = table.members.get(&table.leader.node).map(|leader| self.peer(leader));
            let others = self.near_first(self.ample_entries(&table), &table.leader.node);
            let others = others.into_iter().filter(|other| {
                leader.as_ref().is_none_or(|leader| leader.address() != other.address())
            });
            let others: Vec<PeerStore> = others.collect();
            let gateway = |peer: PeerStore| -> Rc<dyn GatewayPeer> { Rc::new(peer.as_gateway()) };
            leader.into_iter().chain(others).map(gateway).collect()
        })
    }

    /// Counts the processes that append on their own: all entries, and a second time the leader, whose
    /// decisions go beside what it gathers.
    #[must_use]
    pub fn writers(self) -> Writers {
        Box::new(move || {
            let table = self.live.table.borrow();
            entries(&table).count() as u32 + 1
        })
    }

    /// Lists the ample entries, or all where none is ample.
    fn ample_entries<'a>(&self, table: &'a JobTable) -> Vec<&'a Member> {
        let ample: Vec<&Member> = ample(table).collect();
        if ample.is_empty() { entries(table).collect() } else { ample }
    }

    /// Lists what an entry reads the state through: the leader for ample ones, other ample ones for
    /// the rest. An entry that leads itself, or finds nobody ample, reads from the store.
    #[must_use]
    pub fn tails_of_entry(self) -> TailPeers {
        Box::new(move || {
            let table = self.live.table.borrow();
            let own = &self.settings.node;
            if table.leader.node == *own {
                return Vec::new();
            }
            if self.settings.member(true).is_ample() {
                let leader = table.members.get(&table.leader.node);
                let leader = leader.filter(|leader| leader.is_ample());
                return leader.map(|leader| self.peer(leader)).into_iter().collect();
            }
            self.near_first(ample(&table).collect(), &table.leader.node)
        })
    }

    /// Lists what an agent reads the state through: ample entries, or all where none is ample.
    #[must_use]
    pub fn tails_of_agent(self) -> TailPeers {
        Box::new(move || {
            let table = self.live.table.borrow();
            self.near_first(self.ample_entries(&table), &table.leader.node)
        })
    }

    /// Sorts members: near ones first, each process with another beginning, the leader last: it has
    /// enough to do.
    fn near_first(&self, mut members: Vec<&Member>, leader: &str) -> Vec<PeerStore> {
        let own = &self.settings;
        members.sort_by_key(|member| {
            let is_far = member.failure_domain != own.failure_domain;
            (member.node == leader, is_far, rank(&own.node, &member.node))
        });
        members.into_iter().map(|member| self.peer(member)).collect()
    }

    /// Lists the ways to the store through peers.
    #[must_use]
    pub fn relays(self) -> PeerList {
        Box::new(move || {
            let table = self.live.table.borrow();
            let settings = &self.settings;
            let own = SocketAddr::new(settings.ip, settings.peer_port).to_string();
            let seeds = settings.seeds.iter();
            let seeds =
                seeds.map(|seed| SocketAddr::new(seed.ip(), settings.peer_port).to_string());
            let known = table.members.values().map(|member| member.address.clone());
            let mut addresses: Vec<String> = known.chain(seeds).collect();
            addresses.sort();
            addresses.dedup();
            addresses.retain(|address| *address != own);
            // Processes begin with different peers, so that one peer doesn't serve all.
            let own_place = addresses.partition_point(|address| *address < own);
            addresses.rotate_left(own_place);
            let stores = addresses.into_iter().map(|address| -> Rc<dyn Store> {
                Rc::new(PeerStore::new(Rc::clone(&self.transport), address))
            });
            stores.collect()
        })
    }

    /// Returns who could lead in place of this process, if it has little room itself.
    #[must_use]
    pub fn successors(self) -> Option<Rc<dyn Successors>> {
        let is_ample = self.settings.member(true).is_ample();
        (!is_ample).then(|| Rc::new(AmplePeers(self)) as Rc<dyn Successors>)
    }
}

/// Iterates over the entries. Only their views are whole, and only they stand for leadership: an agent
/// follows what concerns its own worker, however much room its machine has.
fn entries(table: &JobTable) -> impl Iterator<Item = &Member> {
    table.members.values().filter(|member| member.passes_on)
}

/// Iterates over the ample entries.
fn ample(table: &JobTable) -> impl Iterator<Item = &Member> {
    entries(table).filter(|member| member.is_ample())
}

/// Orders one process's peers unlike those of another.
fn rank(own: &str, peer: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (own, peer).hash(&mut hasher);
    hasher.finish()
}

/// Ample entries that are asked whether they answer, at most.
const MOST_ASKED: usize = 3;

/// The ample entries.
struct AmplePeers(Routes);

#[async_trait(?Send)]
impl Successors for AmplePeers {
    async fn any_answers(&self) -> bool {
        let ample: Vec<PeerStore> = {
            let table = self.0.live.table.borrow();
            let mut peers = self.0.near_first(ample(&table).collect(), &table.leader.node);
            peers.truncate(MOST_ASKED);
            peers
        };
        for peer in ample {
            if peer.responds().await {
                return true;
            }
        }
        false
    }
}
