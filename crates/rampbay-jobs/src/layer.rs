//! Stores over other stores.
//!
//! Each way to the store adds one thing to the way below it: groups appends, counts calls, reads through peers. What it
//! adds nothing to is passed on, here once for all of them: a call that one of them forgot would be made up of its
//! others, as the defaults of [`Store`] say, and cost more than it needs.

use std::time::Duration;

use async_trait::async_trait;

use crate::job::NodeName;
use crate::record::KeyedRecord;
use crate::store::{AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store};

/// A store over another. Calls that it has nothing to add to are passed on; see [`Store`] for what they do.
#[async_trait(?Send)]
pub trait Layer {
    /// Returns the store below.
    fn below(&self) -> &dyn Store;

    /// See [`Store::append`].
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.below().append(topic, records, fence).await
    }

    /// See [`Store::report`].
    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        self.below().report(reports).await
    }

    /// See [`Store::read`].
    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        self.below().read(topic, from, wait).await
    }

    /// See [`Store::end`].
    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        self.below().end(topic, known).await
    }

    /// See [`Store::newest`].
    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        self.below().newest(topic).await
    }

    /// See [`Store::stand`].
    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        self.below().stand(member, generation).await
    }

    /// See [`Store::resign`].
    async fn resign(&self, member: &str) {
        self.below().resign(member).await;
    }

    /// See [`Store::holder`].
    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.below().holder().await
    }

    /// See [`Store::regained`].
    async fn regained(&self) {
        self.below().regained().await;
    }
}

#[async_trait(?Send)]
impl<T: Layer> Store for T {
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        Layer::append(self, topic, records, fence).await
    }

    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        Layer::report(self, reports).await
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        Layer::read(self, topic, from, wait).await
    }

    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        Layer::end(self, topic, known).await
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        Layer::newest(self, topic).await
    }

    async fn stand(&self, member: &str, generation: u64) -> Result<Candidacy, ReadError> {
        Layer::stand(self, member, generation).await
    }

    async fn resign(&self, member: &str) {
        Layer::resign(self, member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        Layer::holder(self).await
    }

    async fn regained(&self) {
        Layer::regained(self).await;
    }
}
