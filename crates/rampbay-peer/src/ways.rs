//! All ways of a process to the store, one around the other.

use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::echo::EchoStore;
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::Member;
use rampbay_jobs::settings::Settings;
use rampbay_jobs::store::Store;

use crate::direct::DirectStore;
use crate::group::GroupStore;
use crate::metered::MeteredStore;
use crate::relay::{PeerList, RelayStore};
use crate::routes::Routes;
use crate::served::Served;
use crate::tail::TailStore;
use crate::transport::Transport;

/// Whether a process passes the records on that it follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tail {
    /// It reads through the leader and passes records on.
    PassesOn,
    /// It reads through those that pass records on.
    ReadsThrough,
}

impl Tail {
    /// Returns the time between two probes of a broken way to the store. Callers wait for entries, and
    /// entries are few; agents are many, and what they send goes through the leader.
    const fn probe_interval(self) -> Duration {
        match self {
            Self::PassesOn => Duration::from_millis(100),
            Self::ReadsThrough => Duration::from_millis(1000),
        }
    }
}

/// What the ways of a process are made of.
pub struct WaysParts {
    /// Its settings.
    pub settings: Rc<Settings>,
    /// Carries its calls to peers.
    pub transport: Rc<dyn Transport>,
    /// The table that it keeps.
    pub live: LiveTable,
    /// The store itself.
    pub store: Rc<dyn Store>,
    /// Whether it passes on what it follows.
    pub tail: Tail,
}

/// The ways of a process to the store.
pub struct Ways {
    /// The store, over whichever way is open.
    pub store: Rc<dyn Store>,
    /// What the process serves its peers with.
    pub served: Served,
    /// How it finds its peers.
    pub routes: Routes,
    direct: Rc<DirectStore>,
    announced: Rc<dyn Store>,
    member: Member,
}

impl Ways {
    /// Opens all ways to the store.
    #[must_use]
    pub fn open(parts: WaysParts) -> Self {
        let WaysParts { settings, transport, live, store, tail } = parts;
        let direct = DirectStore::new(store, tail.probe_interval());
        let routes = Routes { settings: Rc::clone(&settings), transport, live: live.clone() };
        let echo = |store: Rc<dyn Store>| -> Rc<dyn Store> {
            Rc::new(GroupStore::new(Rc::new(EchoStore::new(store, live.clone()))))
        };
        // Peers are served out of the direct way alone, so that a call takes one hop at most.
        let no_peers: PeerList = Box::new(Vec::new);
        let alone = RelayStore::new(Rc::clone(&direct), no_peers).among(routes.clone().writers());
        let relay = RelayStore::new(Rc::clone(&direct), routes.clone().relays());
        let mut relay = relay.among(routes.clone().writers());
        // An entry's callers wait for its appends: a stop on the way would double their time.
        if tail == Tail::ReadsThrough {
            relay = relay.through(routes.clone().gateways());
        }
        let own = echo(Rc::new(MeteredStore(Rc::new(relay))));
        let served = Served {
            direct: echo(Rc::new(alone)),
            own: Rc::clone(&own),
            followed: passed_on(&settings, &live, tail),
        };
        let announced = Rc::clone(&own);
        let store = match tail {
            Tail::PassesOn => TailStore::new(own, routes.clone().tails_of_entry()),
            Tail::ReadsThrough => TailStore::new(own, routes.clone().tails_of_agent())
                .for_agent(settings.node.clone()),
        };
        let member = settings.member(tail == Tail::PassesOn);
        Self { store: Rc::new(store), served, routes, direct, announced, member }
    }

    /// Probes the direct way while it is broken, and keeps the process's address in the state, for ever.
    pub async fn maintain(self) {
        let announce = self.routes.live.announce(self.announced, self.member);
        tokio::join!(self.direct.probe_for_ever(), announce);
    }
}

/// Returns the view that a process passes on: its own if that is whole. What an agent reads has gaps, and
/// whoever took it for the state would miss records; nothing is ever read into the view that stands in
/// for it, so that peers are told no.
fn passed_on(settings: &Settings, live: &LiveTable, tail: Tail) -> Rc<Freshness> {
    if tail == Tail::ReadsThrough {
        return Rc::default();
    }
    let followed = Rc::clone(&live.freshness);
    if settings.member(true).is_ample() {
        followed.keep_recent();
    }
    followed
}
