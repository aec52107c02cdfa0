//! Reads of a topic through peers that follow it, which saves calls to the store.
//!
//! Every process needs every record of the state soon, and every entry needs the operators' orders.
//! If each process read them from the store, every read would cost a call, and at a slow store its
//! time too. So the leader reads from the store, and the other processes through the
//! [`tree`](crate::tree) below the leader; each answer holds the age of the peer's view. If that
//! view is too old or the peer doesn't answer, the reader tries the next peer, and falls back to
//! the store if none succeeds.
//!
//! Progress reports of runs go up through the same peers ([`Reports`](crate::reports::Reports)).
//!
//! An agent gets only the records that concern its worker. Before it continues from the store, it
//! has to read the newest record of each key, since the records that weren't sent to it would be
//! missing.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, Batch, Offset, ReadError, Snapshot, Store};
use tokio::time::Instant;

use crate::peer::PeerStore;
use crate::routes::Routes;

/// Largest accepted age of a peer's view: more than the peer's own reads take.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1500);
/// Longest wait for a record at a peer; a peer that doesn't answer is noticed shortly after that
/// time.
const MAX_PEER_WAIT: Duration = Duration::from_millis(400);
/// Longest wait for a record of the process that all others read through. It adds to the age of
/// every view below that process, and costs three calls per second and topic, whatever the size of
/// the fleet.
const MAX_ROOT_WAIT: Duration = Duration::from_millis(300);
/// Shortest and longest pause before peers are tried again after none of them could pass records
/// on; the pause doubles while that continues. Trying two peers that have no power takes 1.2 s, in
/// which the view ages. The shortest pause is longer than a failover of the leader takes (1.4 s),
/// after which the new leader reads from the store.
const MIN_PEERS_PAUSE: Duration = Duration::from_millis(2000);
const MAX_PEERS_PAUSE: Duration = Duration::from_millis(8000);
/// Pause before peers are tried again if they failed at once.
const FAST_FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// How long a process that has started may read through the peer that sent it the state while the
/// tree fails: until all processes that started with it pass records on (1.5 s). When they read
/// from the store in that time, the records that they all wrote made up most of the store's bytes.
const SNAPSHOT_PEER_TIME: Duration = Duration::from_millis(1500);
/// Pause before peers are asked again for the whole state.
const BOOTSTRAP_RETRY_PAUSE: Duration = Duration::from_millis(60);
/// Largest number of peers that are tried for one read.
const PEERS_PER_READ: usize = 2;

/// What a process reads through.
#[derive(Clone)]
pub struct Sources {
    /// The peers that pass records on, the nearest first; empty if the process reads from the
    /// store.
    pub peers: Rc<[PeerStore]>,
    /// Whether all other processes read through this one.
    pub is_root: bool,
}

/// Returns what a process currently reads through.
pub type TailSources = Box<dyn Fn() -> Sources>;

/// A store that reads one topic through peers where possible.
pub struct TailStore {
    store: Rc<dyn Store>,
    topic: String,
    sources: TailSources,
    /// The agent that reads, to get only what concerns it; `None` for all records.
    agent: Option<NodeName>,
    preferred: Cell<usize>,
    /// The time as of which the last answer of a peer was current.
    current_as_of: Cell<Option<Instant>>,
    paused_until: Cell<Option<Instant>>,
    /// Length of the next pause after none of the peers can pass records on.
    pause: Cell<Duration>,
    /// The peers at the last read.
    last_peers: RefCell<Option<Rc<[PeerStore]>>>,
    /// Whether records may have been omitted since the newest record of each key was read.
    is_partial: Cell<bool>,
    /// How the newest record of each key is read from peers first, if it is.
    bootstrap: Option<Bootstrap>,
    /// The peer that sent the whole state, and the time until which it is read through if the tree
    /// fails.
    snapshot_peer: RefCell<Option<(PeerStore, Instant)>>,
    /// Where the last answer came from: the address of a peer, or `None` for the store.
    source: RefCell<Option<String>>,
}

/// How a process that starts reads the whole state.
pub struct Bootstrap {
    /// How the process finds peers before it knows the state.
    pub routes: Routes,
    /// How long the process tries peers before it reads from the store.
    pub max_wait: Duration,
}

impl TailStore {
    /// Creates a store that reads `topic` through peers and falls back to `store`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, topic: &str, sources: TailSources) -> Self {
        Self {
            store,
            topic: topic.to_owned(),
            sources,
            agent: None,
            preferred: Cell::new(0),
            current_as_of: Cell::new(None),
            paused_until: Cell::new(None),
            pause: Cell::new(MIN_PEERS_PAUSE),
            last_peers: RefCell::default(),
            is_partial: Cell::new(false),
            bootstrap: None,
            snapshot_peer: RefCell::default(),
            source: RefCell::default(),
        }
    }

    /// Logs when the topic is read from another source than before.
    fn record_source(&self, source: Option<&str>, from: Offset) {
        let before = self.source.borrow().clone();
        if before.as_deref() != source {
            log::info!(
                "event=J109 source of topic changed topic={} source={} before={} position={from} partial={}",
                self.topic,
                source.unwrap_or("store"),
                before.as_deref().unwrap_or("store"),
                self.is_partial.get()
            );
            *self.source.borrow_mut() = source.map(str::to_owned);
        }
    }

    /// Makes the store read the newest record of each key through peers as well.
    #[must_use]
    pub fn with_bootstrap(mut self, bootstrap: Bootstrap) -> Self {
        self.bootstrap = Some(bootstrap);
        self
    }

    /// Makes the store read only what concerns an agent.
    #[must_use]
    pub fn for_agent(mut self, agent: NodeName) -> Self {
        self.agent = Some(agent);
        self
    }

    /// Reads from the first peer whose view is current. An agent accepts an older view if there is
    /// no better one; the batch holds its age.
    async fn read_from_peers(
        &self,
        peers: &[PeerStore],
        from: Offset,
        wait: Duration,
    ) -> Option<Batch> {
        let wait = wait.min(MAX_PEER_WAIT);
        let started = Instant::now();
        let mut stale = None;
        for (tried, peer) in self.preferred_first(peers).enumerate() {
            if tried > 0 && self.agent.is_none() && self.is_stale() {
                break;
            }
            match peer.tail(&self.topic, from, wait, self.agent.clone()).await {
                Ok(batch) if batch.age <= MAX_VIEW_AGE => {
                    self.record_source(Some(peer.address()), from);
                    self.pause.set(MIN_PEERS_PAUSE);
                    self.current_as_of.set(Instant::now().checked_sub(batch.age));
                    return Some(batch);
                }
                Ok(batch) => stale = Some(batch),
                Err(_) => {}
            }
            self.preferred.set(self.preferred.get() + 1);
        }
        if self.agent.is_some() && stale.is_some() {
            return stale;
        }
        self.pause_peers(started.elapsed());
        None
    }

    /// Returns whether the view has become so old that the store has to be read.
    fn is_stale(&self) -> bool {
        self.current_as_of.get().is_some_and(|current_as_of| current_as_of.elapsed() > MAX_VIEW_AGE)
    }

    /// Pauses reads through peers after an attempt that took `took`. If peers failed at once, as
    /// one that has just started does, they are tried again soon.
    fn pause_peers(&self, took: Duration) {
        if took < MAX_PEER_WAIT {
            self.paused_until.set(Some(Instant::now() + FAST_FAILURE_PAUSE));
            return;
        }
        let pause = self.pause.get();
        self.paused_until.set(Some(Instant::now() + pause));
        self.pause.set((pause * 2).min(MAX_PEERS_PAUSE));
    }

    /// Ends a pause if the list of peers has changed, because processes have joined or another one
    /// leads.
    fn update_peers(&self, peers: &Rc<[PeerStore]>) {
        let mut last_peers = self.last_peers.borrow_mut();
        if last_peers.as_ref().is_some_and(|last_peers| Rc::ptr_eq(last_peers, peers)) {
            return;
        }
        *last_peers = Some(Rc::clone(peers));
        self.preferred.set(0);
        self.paused_until.set(None);
        self.pause.set(MIN_PEERS_PAUSE);
    }

    fn are_paused(&self) -> bool {
        self.paused_until.get().is_some_and(|until| Instant::now() < until)
    }

    /// Iterates over some of the peers, the one that last succeeded first.
    fn preferred_first<'a>(
        &self,
        peers: &'a [PeerStore],
    ) -> impl Iterator<Item = &'a PeerStore> + use<'a> {
        let first = self.preferred.get();
        let count = PEERS_PER_READ.min(peers.len());
        (first..first + count).map(|index| &peers[index % peers.len()])
    }

    async fn read_followed(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let Sources { peers, is_root } = (self.sources)();
        if peers.is_empty() {
            let wait = if is_root { wait.min(MAX_ROOT_WAIT) } else { wait };
            return self.read_from_store(from, wait).await;
        }
        self.update_peers(&peers);
        if self.are_paused() {
            return self.read_outside_tree(from, wait.min(MAX_PEER_WAIT)).await;
        }
        if let Some(batch) = self.read_from_peers(&peers, from, wait).await {
            self.is_partial.set(self.agent.is_some());
            return Ok(batch);
        }
        // The view has become old in the meantime, and other processes read through this one. A
        // read without a wait makes it current again.
        self.read_outside_tree(from, Duration::ZERO).await
    }

    /// Reads through the peer that sent the state, for a while after a start, or from the store.
    async fn read_outside_tree(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let snapshot_peer = self.snapshot_peer.take().filter(|(_, until)| Instant::now() < *until);
        if let Some((peer, until)) = snapshot_peer {
            let outcome = peer.tail(&self.topic, from, wait, self.agent.clone()).await;
            if let Some(batch) = outcome.ok().filter(|batch| batch.age <= MAX_VIEW_AGE) {
                self.record_source(Some(peer.address()), from);
                self.current_as_of.set(Instant::now().checked_sub(batch.age));
                self.is_partial.set(self.agent.is_some());
                *self.snapshot_peer.borrow_mut() = Some((peer, until));
                return Ok(batch);
            }
        }
        self.read_from_store(from, wait).await
    }

    /// Reads the newest record of each key from peers; `None` if none of them knows the state in
    /// time.
    async fn newest_from_peers(&self) -> Option<Snapshot> {
        let bootstrap = self.bootstrap.as_ref()?;
        let deadline = Instant::now() + bootstrap.max_wait;
        loop {
            if let Some(snapshot) = self.newest_from_any(&bootstrap.routes).await {
                return Some(snapshot);
            }
            if Instant::now() >= deadline {
                return None;
            }
            tokio::time::sleep_until((Instant::now() + BOOTSTRAP_RETRY_PAUSE).min(deadline)).await;
        }
    }

    async fn newest_from_any(&self, routes: &Routes) -> Option<Snapshot> {
        let mut peers = (self.sources)().peers;
        if peers.is_empty() {
            peers = Rc::from(routes.bootstrap_peers().await);
        }
        for peer in self.preferred_first(&peers) {
            if let Ok(snapshot) = peer.snapshot(self.agent.clone()).await {
                let until = Instant::now() + SNAPSHOT_PEER_TIME;
                *self.snapshot_peer.borrow_mut() = Some((peer.clone(), until));
                return Some(snapshot);
            }
            self.preferred.set(self.preferred.get() + 1);
        }
        None
    }

    async fn read_from_store(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if self.is_partial.get() {
            return Err(ReadError::Trimmed);
        }
        self.record_source(None, from);
        self.store.read(&self.topic, from, wait).await
    }
}

#[async_trait(?Send)]
impl Layer for TailStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        let peers = (self.sources)().peers;
        for peer in self.preferred_first(&peers) {
            if peer.report(reports).await.is_ok() {
                return Ok(());
            }
        }
        self.store.report(reports).await
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if topic == self.topic {
            return self.read_followed(from, wait).await;
        }
        self.store.read(topic, from, wait).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if topic != self.topic {
            return self.store.newest(topic).await;
        }
        if let Some(snapshot) = self.newest_from_peers().await {
            self.is_partial.set(self.agent.is_some());
            return Ok(snapshot);
        }
        let snapshot = self.store.newest(topic).await?;
        self.is_partial.set(false);
        Ok(snapshot)
    }
}
