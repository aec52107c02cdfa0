//! Progress reports of runs, which are passed up the tree to the leader and appended to the store
//! there.
//!
//! Every agent reports once every one or two seconds. One append per report would be 120 appends a
//! second with 800 workers and 250 with 2,000, as many as the store applies one after the other,
//! and one call to the leader per report a third of its load. So every entry collects the newest
//! report of each worker for a moment and passes them on together; the leader appends them. A
//! report that is lost is superseded by the next one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{Store, split_into_appends};
use tokio::sync::Notify;

/// How long an entry collects reports. At most three entries lie between an agent and the store,
/// and a planner suspects a worker that hasn't reported for 3.5 s, where idle workers report every
/// 2 s: half a second is spent here.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// Reports that wait to be passed on, the newest of each worker.
#[derive(Debug, Default)]
pub struct Reports {
    pending: RefCell<BTreeMap<String, KeyedRecord>>,
    added: Notify,
}

impl Reports {
    /// Adds reports, which replace older ones of the same worker.
    pub fn add(&self, reports: Vec<KeyedRecord>) {
        let by_key = reports.into_iter().map(|report| (report.key.clone(), report));
        self.pending.borrow_mut().extend(by_key);
        self.added.notify_one();
    }

    /// Passes on reports forever.
    pub async fn pass_on(&self, store: &dyn Store) {
        loop {
            self.added.notified().await;
            tokio::time::sleep(BATCH_INTERVAL).await;
            let reports: Vec<KeyedRecord> = self.pending.take().into_values().collect();
            for group in split_into_appends(&reports) {
                if let Err(error) = store.report(group).await {
                    log::info!("event=J181 reports lost reports={} error={error}", group.len());
                }
            }
        }
    }
}
