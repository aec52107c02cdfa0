//! Stops runs that the next incarnation of a worker has started by orders for the previous one.
//!
//! A worker may restart under the same id, with no memory of its earlier runs. The new incarnation
//! carries out an order that names only the worker and was sent before the agent learned of the
//! restart. If the old incarnation's registration were removed at once, the planner would start
//! those runs elsewhere while they still run here, or after they have ended here as done. So before the
//! registration is removed, each run that may have been ordered is stopped at the incarnation that answers,
//! including runs that an earlier process of this machine may have ordered, and the ends that this incarnation
//! lists are stored with the removal.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::fencing::FencingToken;
use crate::job::InstanceId;
use crate::record::KeyedRecord;
use crate::table::JobTable;
use crate::worker::{StopOrder, StoppedRun};

use super::ends::{log_end_at_successor, record_of_end_at_successor};
use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Pause before a run that isn't certainly over is stopped again.
const STOP_RETRY: Duration = Duration::from_millis(100);

impl Incarnation {
    /// Stops all runs that orders for this incarnation may have begun at the next one. A run whose
    /// stop no incarnation answers is over once the leases of the last order have expired.
    pub(super) async fn stop_runs_at_successor(&self) {
        self.wait_for_state_since_process_start().await;
        for (task, attempt) in self.possibly_ordered_runs() {
            while !self.leases_have_expired() {
                let fencing_token = self.successor_token();
                let order = StopOrder { task: task.clone(), attempt, fencing_token };
                let end = match self.worker.stop_in_any_incarnation(&order).await {
                    Ok(StoppedRun::NotThere) => None,
                    Ok(StoppedRun::Ended(end)) => {
                        log_end_at_successor(&self.instance, &end);
                        Some(end)
                    }
                    Ok(StoppedRun::Unsettled) | Err(_) => {
                        tokio::time::sleep(STOP_RETRY).await;
                        continue;
                    }
                };
                self.stopped_at_successor.borrow_mut().insert((task, attempt), end);
                break;
            }
        }
    }

    /// Waits for a state that names all runs that an earlier process of this machine may have ordered, at most until
    /// their leases have expired.
    async fn wait_for_state_since_process_start(&self) {
        let mut changes = self.parts.freshness.subscribe();
        let is_older = |age: Duration| age > self.process_started_at.elapsed();
        while self.parts.freshness.age().is_none_or(is_older) && !self.leases_have_expired() {
            let _ = tokio::time::timeout(STOP_RETRY, changes.changed()).await;
        }
    }

    /// Returns the records of the ends that the next incarnation lists of runs that were ordered for this one. The
    /// next incarnation may have begun and ended them, so they count as the ends of these runs.
    pub(super) fn end_records_of_successor(&self) -> Vec<KeyedRecord> {
        let stopped = self.stopped_at_successor.borrow();
        let ends = stopped.values().flatten();
        ends.map(|end| record_of_end_at_successor(&self.instance, end)).collect()
    }

    /// Returns the latest of the earlier incarnations of this worker that this machine has registered. Their runs may
    /// have been carried out here, and aren't settled before their registrations are removed.
    pub(super) fn registered_predecessor(&self, table: &JobTable) -> Option<InstanceId> {
        let compare = self.parts.compare_incarnations;
        let own = table.workers.iter().filter(|(_, worker)| worker.node == self.parts.node);
        let earlier = own
            .map(|(instance, _)| instance)
            .filter(|instance| compare(instance, &self.instance) == Some(Ordering::Less));
        earlier.max_by(|one, other| compare(one, other).unwrap_or(Ordering::Equal)).cloned()
    }

    /// Returns the fencing token for orders to the next incarnation, which may reject this
    /// incarnation's lower token.
    fn successor_token(&self) -> FencingToken {
        let successor = self.successor.borrow();
        self.token_for(successor.as_ref().unwrap_or(&self.instance))
    }

    fn possibly_ordered_runs(&self) -> BTreeSet<RunKey> {
        let table = self.parts.table.borrow();
        let assigned = table.runs_assigned_to(&self.instance);
        let assigned =
            assigned.into_iter().filter(|(task, attempt)| !table.has_end(task, *attempt));
        let unanswered = table.unanswered_at(&self.instance);
        let unanswered = unanswered.map(|start| (start.task.clone(), start.attempt));
        let runs = self.runs.borrow();
        assigned.chain(unanswered).chain(runs.open.keys().cloned()).collect()
    }
}
