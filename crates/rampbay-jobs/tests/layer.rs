//! Ways to the store over other ways.
//!
//! Found by reading: four of them passed each call on by hand, and three had missed a newer one: asked how far a topic
//! goes, they read its records instead, as the default says.

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
use support::on_virtual_time;

/// A store that takes note of the calls that it gets.
#[derive(Default)]
struct Noting(RefCell<Vec<&'static str>>);

impl Noting {
    fn note(&self, call: &'static str) {
        self.0.borrow_mut().push(call);
    }
}

#[async_trait(?Send)]
impl Store for Noting {
    async fn append(
        &self,
        _: &str,
        _: &[KeyedRecord],
        _: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        self.note("append");
        Ok(0)
    }

    async fn report(&self, _: &[KeyedRecord]) -> Result<(), AppendError> {
        self.note("report");
        Ok(())
    }

    async fn read(&self, _: &str, _: Offset, _: Duration) -> Result<Batch, ReadError> {
        self.note("read");
        Ok(Batch::default())
    }

    async fn end(&self, _: &str, _: Offset) -> Result<Offset, ReadError> {
        self.note("end");
        Ok(0)
    }

    async fn newest(&self, _: &str) -> Result<Snapshot, ReadError> {
        self.note("newest");
        Ok(Snapshot::default())
    }

    async fn stand_for_election(&self, _: &str, _: u64) -> Result<Candidacy, ReadError> {
        self.note("stand");
        Ok(Candidacy::default())
    }

    async fn resign(&self, _: &str) {
        self.note("resign");
    }

    async fn holder(&self) -> Result<Option<NodeName>, ReadError> {
        self.note("holder");
        Ok(None)
    }

    async fn recovered(&self) {
        self.note("regained");
    }
}

/// A way that adds nothing.
struct Plain(Rc<dyn Store>);

impl Layer for Plain {
    fn inner(&self) -> &dyn Store {
        self.0.as_ref()
    }
}

#[rstest]
#[case::plain(|below: Rc<dyn Store>| -> Rc<dyn Store> { Rc::new(Plain(below)) })]
#[case::echo(|below| -> Rc<dyn Store> { Rc::new(ReadYourWritesStore::new(below, LiveTable::default())) })]
fn every_call_reaches_store_below_as_it_is(#[case] over: fn(Rc<dyn Store>) -> Rc<dyn Store>) {
    on_virtual_time(async {
        let below = Rc::new(Noting::default());
        let store = over(Rc::clone(&below) as Rc<dyn Store>);
        let _ = store.append(STATE_TOPIC, &[], None).await;
        let _ = store.report(&[]).await;
        let _ = store.read(STATE_TOPIC, 0, Duration::ZERO).await;
        let _ = store.end(STATE_TOPIC, 0).await;
        let _ = store.newest(STATE_TOPIC).await;
        let _ = store.stand_for_election("entry-1", 0).await;
        store.resign("entry-1").await;
        let _ = store.holder().await;
        store.recovered().await;
        let all =
            ["append", "report", "read", "end", "newest", "stand", "resign", "holder", "regained"];
        assert_eq!(*below.0.borrow(), all);
    });
}
