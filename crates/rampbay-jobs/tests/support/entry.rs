//! The state as an entry passes it on to the agent "side-1": only what concerns its worker.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};

use super::store::MemoryStore;

/// A store whose state is read through an entry.
pub struct ThroughEntry {
    store: Rc<MemoryStore>,
    followed: Rc<Freshness>,
}

impl ThroughEntry {
    /// Starts an entry that follows the store.
    pub fn start(store: &Rc<MemoryStore>) -> Rc<Self> {
        let live = LiveTable::default();
        live.freshness.keep_recent();
        let followed = Rc::clone(&live.freshness);
        let pace = Pace { wait: Duration::from_millis(1000), gap: Duration::from_millis(10) };
        let shared: Rc<dyn Store> = store.clone();
        tokio::task::spawn_local(live.follow(shared, pace));
        Rc::new(Self { store: Rc::clone(store), followed })
    }
}

#[async_trait(?Send)]
impl Store for ThroughEntry {
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
            return self.followed.pass_on(from, wait, Some("side-1")).await;
        }
        self.store.read(topic, from, wait).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        self.store.newest(topic).await
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
}
