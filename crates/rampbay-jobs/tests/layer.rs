//! Layers over a store forward every call.
//!
//! The fault, found by reading the code: four layers forwarded each call by hand, and three of them lacked a newer call:
//! asked for the end of a topic, they read its records instead, as the default does.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::NodeName;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::process::LiveTable;
use rampbay_jobs::read_your_writes::ReadYourWritesStore;
use rampbay_jobs::record::{KeyedRecord, STATE_TOPIC};
use rampbay_jobs::store::{
    AppendError, Batch, Candidacy, Fence, Offset, ReadError, Snapshot, Store,
};
use rstest::rstest;
use support::run_in_virtual_time;

/// A store that records the calls that it receives.
#[derive(Default)]
struct RecordingStore(RefCell<Vec<&'static str>>);

impl RecordingStore {
    fn record(&self, call: &'static str) {
        self.0.borrow_mut().push(call);
    }
}

#[async_trait(?Send)]
impl Store for RecordingStore {
    async fn append(
        &self,
        _: &str,
        _: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.record("append");
        Ok(0)
    }

    async fn report(&self, _: &[KeyedRecord]) -> Result<(), AppendError> {
        self.record("report");
        Ok(())
    }

    async fn read(&self, _: &str, _: Offset, _: Duration) -> Result<Batch, ReadError> {
        self.record("read");
        Ok(Batch::default())
    }

    async fn end(&self, _: &str, _: Offset) -> Result<Offset, ReadError> {
        self.record("end");
        Ok(0)
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        self.record("newest");
        Ok(Snapshot::default())
    }

    async fn stand_for_election(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        self.record("stand_for_election");
        Ok(Candidacy::default())
    }

    async fn resign(&self, _: &str) {
        self.record("resign");
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.record("holder");
        Ok(None)
    }

    async fn recovered(&self) {
        self.record("recovered");
    }
}

/// A layer that adds nothing.
struct PlainLayer(Rc<dyn Store>);

impl Layer for PlainLayer {
    fn inner(&self) -> &dyn Store {
        self.0.as_ref()
    }
}

#[rstest]
#[case::plain(|inner: Rc<dyn Store>| -> Rc<dyn Store> { Rc::new(PlainLayer(inner)) })]
#[case::read_your_writes(|inner| -> Rc<dyn Store> { Rc::new(ReadYourWritesStore::new(inner, LiveTable::default())) })]
fn every_call_reaches_inner_store_unchanged(#[case] add_layer: fn(Rc<dyn Store>) -> Rc<dyn Store>) {
    run_in_virtual_time(async {
        let inner = Rc::new(RecordingStore::default());
        let store = add_layer(Rc::clone(&inner) as Rc<dyn Store>);
        let _ = store.append(STATE_TOPIC, &[], None).await;
        let _ = store.report(&[]).await;
        let _ = store.read(STATE_TOPIC, 0, Duration::ZERO).await;
        let _ = store.end(STATE_TOPIC, 0).await;
        let _ = store.newest(STATE_TOPIC).await;
        let _ = store.stand_for_election("entry-1", 0).await;
        store.resign("entry-1").await;
        let _ = store.holder().await;
        store.recovered().await;
        let all = [
            "append",
            "report",
            "read",
            "end",
            "newest",
            "stand_for_election",
            "resign",
            "holder",
            "recovered",
        ];
        assert_eq!(*inner.0.borrow(), all);
    });
}
