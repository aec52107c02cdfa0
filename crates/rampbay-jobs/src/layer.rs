//! Layers over a store.
//!
//! Each layer adds one thing to its inner store: it groups appends, counts calls, or reads through peers. Calls to which
//! a layer adds nothing are forwarded, here once for all layers: a call that a layer forgot to forward would fall back to
//! the defaults of [`Store`], which make it up of other calls and cost more than needed.

use std::time::Duration;

use async_trait::async_trait;

use crate::job::NodeName;
use crate::record::KeyedRecord;
use crate::store::{AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store};

/// A layer over another store. Calls to which it adds nothing are forwarded; see [`Store`] for what they do.
#[async_trait(?Send)]
pub trait Layer {
    /// Returns the inner store.
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
