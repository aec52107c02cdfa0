//! Reads of the state through a process that follows it anyway, to spare the store's calls.
//!
//! Every process needs every record of the state soon. A read of its own for each costs a call to the
//! store, and at a slow store its time too. The leader appends most records itself and reads the
//! others; entries read through the leader, agents through entries, each with the age of the view.
//! A view that is too old, or a peer that doesn't answer, sends the reader to the next peer, and where
//! none answers to the store.
//!
//! An agent gets only what concerns its worker. Before it reads on from the store itself, it has to
//! read the newest record of each key: what wasn't sent to it would be missing.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use tokio::time::Instant;

use crate::peer::PeerStore;

/// Oldest view that is taken from a peer; more than the time that its own reads take.
const OLDEST_VIEW: Duration = Duration::from_millis(1500);
/// Longest wait for a record at a peer: so late is a peer that says nothing noticed, and a little more.
const LONGEST_WAIT: Duration = Duration::from_millis(400);
/// How long peers are left alone after none of them could pass records on.
const PEERS_PAUSE: Duration = Duration::from_millis(1000);
/// Peers that are asked for one read, at most.
const PEERS_PER_READ: usize = 2;

/// Lists the peers that pass records on, the nearest first.
pub type TailPeers = Box<dyn Fn() -> Vec<PeerStore>>;

/// A store whose reads of the state go through peers where they can.
pub struct TailStore {
    store: Rc<dyn Store>,
    peers: TailPeers,
    /// The agent that reads, if it wants only what concerns it.
    agent: Option<NodeName>,
    preferred: Cell<usize>,
    paused_until: Cell<Option<Instant>>,
    /// Whether records may have been left out since the newest of each key were read.
    is_partial: Cell<bool>,
}

impl TailStore {
    /// Makes a store over peers and the ways to the store itself.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, peers: TailPeers) -> Self {
        Self {
            store,
            peers,
            agent: None,
            preferred: Cell::new(0),
            paused_until: Cell::new(None),
            is_partial: Cell::new(false),
        }
    }

    /// Reads only what concerns an agent.
    #[must_use]
    pub fn for_agent(mut self, agent: NodeName) -> Self {
        self.agent = Some(agent);
        self
    }

    /// Reads from the first peer whose view is current. An agent takes an older one where no better
    /// is at hand; its age is told.
    async fn read_from_peers(&self, from: Offset, wait: Duration) -> Option<Batch> {
        if self.paused_until.get().is_some_and(|until| Instant::now() < until) {
            return None;
        }
        let peers = (self.peers)();
        if peers.is_empty() {
            return None;
        }
        let wait = wait.min(LONGEST_WAIT);
        let mut older = None;
        for _ in 0..PEERS_PER_READ.min(peers.len()) {
            let peer = &peers[self.preferred.get() % peers.len()];
            match peer.tail(from, wait, self.agent.clone()).await {
                Ok(batch) if batch.age <= OLDEST_VIEW => return Some(batch),
                Ok(batch) => older = Some(batch),
                Err(_) => {}
            }
            self.preferred.set(self.preferred.get() + 1);
        }
        if self.agent.is_some() && older.is_some() {
            return older;
        }
        self.paused_until.set(Some(Instant::now() + PEERS_PAUSE));
        None
    }

    async fn read_state(&self, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if let Some(batch) = self.read_from_peers(from, wait).await {
            self.is_partial.set(self.agent.is_some());
            return Ok(batch);
        }
        if self.is_partial.get() {
            return Err(ReadError::Trimmed);
        }
        self.store.read(STATE_TOPIC, from, wait).await
    }
}

#[async_trait(?Send)]
impl Store for TailStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.store.append(topic, records, fence).await
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if topic == STATE_TOPIC {
            return self.read_state(from, wait).await;
        }
        self.store.read(topic, from, wait).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        let snapshot = self.store.newest(topic).await?;
        if topic == STATE_TOPIC {
            self.is_partial.set(false);
        }
        Ok(snapshot)
    }

    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        self.store.stand(member, generation).await
    }

    async fn resign(&self, member: &str) {
        self.store.resign(member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.store.holder().await
    }

    async fn regained(&self) {
        self.store.regained().await;
    }
}
