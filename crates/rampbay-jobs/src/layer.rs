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
    fn inner(&self) -> &dyn Store;

    /// See [`Store::append`].
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.inner().append(topic, records, fence).await
    }

    /// See [`Store::report`].
    async fn report(&self, reports: &[KeyedRecord]) -> Result<(), AppendError> {
        self.inner().report(reports).await
    }

    /// See [`Store::read`].
    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        self.inner().read(topic, from, wait).await
    }

    /// See [`Store::end`].
    async fn end(&self, topic: &str, known: Offset) -> Result<Offset, ReadError> {
        self.inner().end(topic, known).await
    }

    /// See [`Store::newest`].
    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        self.inner().newest(topic).await
    }

    /// See [`Store::stand_for_election`].
    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        self.inner().stand_for_election(member, generation).await
    }

    /// See [`Store::resign`].
    async fn resign(&self, member: &str) {
        self.inner().resign(member).await;
    }

    /// See [`Store::holder`].
    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.inner().holder().await
    }

    /// See [`Store::recovered`].
    async fn recovered(&self) {
        self.inner().recovered().await;
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

    async fn stand_for_election(
        &self,
        member: &str,
        generation: u64,
    ) -> Result<Candidacy, ReadError> {
        Layer::stand_for_election(self, member, generation).await
    }

    async fn resign(&self, member: &str) {
        Layer::resign(self, member).await;
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        Layer::holder(self).await
    }

    async fn recovered(&self) {
        Layer::recovered(self).await;
    }
}
