//! An agent whose view has a gap, while the state can't be read in full.
//!
//! The fault, found in a review: the agent followed nothing until it could read the state, and the leases of its worker's runs
//! expired, though its peer still passed new records on.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::{KeyedRecord, Record, STATE_TOPIC};
use rampbay_jobs::store::{Batch, Offset, ReadError, Snapshot, Store};
use rstest::rstest;
use support::entry::EntryRelayedStore;
use support::store::MemoryStore;
use support::worker::FakeWorker;
use support::{AgentRig, job, run_in_virtual_time, running_plan, seed_running_job, step, task};
use tokio::time::sleep;

const JOB: &str = "00000000000000aa";
const SECOND: &str = "00000000000000bb";
const WORKER: &str = "i-1";
/// More than an agent takes to start or to stop a run.
const ACTION_TIME: Duration = Duration::from_millis(800);
/// Longer than an agent renews leases without news from the store, and than these leases last.
const EXPIRY_TIME: Duration = Duration::from_secs(20);

/// An entry that passes plans on without their jobs, and whose state can't be read in full once `has_snapshots` is cleared.
struct EntryWithoutJobs {
    entry: Rc<EntryRelayedStore>,
    has_snapshots: Cell<bool>,
}

#[async_trait(?Send)]
impl Layer for EntryWithoutJobs {
    fn inner(&self) -> &dyn Store {
        self.entry.as_ref()
    }

    async fn read(&self, topic: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let mut batch = Layer::read(self.entry.as_ref(), topic, from, wait).await?;
        let is_job = |record: &KeyedRecord| record.key.starts_with("job/");
        batch.records.retain(|record| !is_job(record));
        Ok(batch)
    }

    async fn newest(&self, topic: &str) -> Result<Snapshot, ReadError> {
        if topic == STATE_TOPIC && !self.has_snapshots.get() {
            return Err(ReadError::Unavailable);
        }
        self.inner().newest(topic).await
    }
}

/// The run that the agent knows of goes on, whatever its view lacks: its peer still passes new records on.
#[rstest]
#[case::no_gap(false)]
#[case::gap(true)]
fn run_goes_on_while_state_cannot_be_read(#[case] has_gap: bool) {
    run_in_virtual_time(async {
        let store = MemoryStore::new();
        seed_running_job(&store, JOB, 1, WORKER);
        let entry = EntryRelayedStore::start(&store);
        let shared = Rc::new(EntryWithoutJobs { entry, has_snapshots: Cell::new(true) });
        sleep(ACTION_TIME).await;
        let rig = AgentRig::start_with_store(store, shared.clone(), FakeWorker::new(WORKER));
        rig.heartbeat(WORKER, 1);
        sleep(ACTION_TIME).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
        shared.has_snapshots.set(false);
        if has_gap {
            rig.store.put(&Record::Submitted(Box::new(job(SECOND, 1, step(1, 1)))));
            rig.store.put(&Record::Plan(SECOND.to_owned(), Box::new(running_plan(1, WORKER, 1))));
        }
        sleep(EXPIRY_TIME).await;
        assert_eq!(rig.worker.running(), vec![(task(JOB, 0), 1)]);
    });
}
