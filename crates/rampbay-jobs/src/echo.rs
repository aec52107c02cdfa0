//! Takes this process's own appends into its table as soon as the store has them.
//!
//! Without it, a process that has just appended records waits until it has read them back. The
//! table stays a function of the records in their order: an append is taken in only where nothing
//! lies between the table's position and it, otherwise the follower reads it like any other.

use std::rc::Rc;
use std::time::Duration;

use crate::clock::Moment;
use crate::job::NodeName;
use crate::process::LiveTable;
use crate::record::{KeyedRecord, STATE_TOPIC};
use crate::store::{AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store};
use async_trait::async_trait;

/// A store whose appends go into a table at once.
pub struct EchoStore {
    store: Rc<dyn Store>,
    live: LiveTable,
}

impl EchoStore {
    /// Makes a store over another, with the table that this process keeps.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, live: LiveTable) -> Self {
        Self { store, live }
    }
}

#[async_trait(?Send)]
impl Store for EchoStore {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        // A repeat of a fenced append gets its first answer again, also one that came another way: it says
        // nothing about what came after the first.
        let sent = fence.is_none().then(Moment::now);
        let end = self.store.append(topic, records, fence).await?;
        if topic == STATE_TOPIC {
            self.live.take_in(end, records, sent);
        }
        Ok(end)
    }

    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        self.store.report(reports).await
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
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

    async fn regained(&self) {
        self.store.regained().await;
    }
}
