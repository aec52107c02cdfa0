//! The state as an entry passes it on to the agent "side-1": only what concerns its worker.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::follower::Pace;
use rampbay_jobs::freshness::Freshness;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::STATE_TOPIC;
use rampbay_jobs::store::{Batch, Offset, ReadError, Store};

use super::store::MemoryStore;

/// A store whose state is read through an entry.
pub struct EntryRelayedStore {
    store: Rc<MemoryStore>,
    followed: Rc<Freshness>,
}

impl EntryRelayedStore {
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
impl Layer for EntryRelayedStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        if topic == STATE_TOPIC {
            return self.followed.pass_on(from, wait, Some("side-1")).await;
        }
        self.store.read(topic, from, wait).await
    }
}
