//! Stops runs that the next incarnation of a worker has started by orders for the previous one.
//!
//! A worker may restart under the same id, with no memory of its earlier runs. The new incarnation
//! carries out an order that names only the worker and was sent before the agent learned of the
//! restart. If the old incarnation's registration were removed at once, the planner would start
//! those runs elsewhere while they still run here. So before the registration is removed, each run
//! that may have been ordered is stopped at the incarnation that answers, including runs that an
//! earlier process of this machine may have ordered.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fencing::FencingToken;
use crate::worker::StopOrder;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Pause before a run that isn't certainly over is stopped again.
const STOP_RETRY: Duration = Duration::from_millis(100);

impl Incarnation {
    /// Stops all runs that orders for this incarnation may have begun at the next one. A run whose
    /// stop no incarnation answers is over once the leases of the last order have expired.
    pub(super) async fn stop_runs_at_successor(&self) {
        for (task, attempt) in self.possibly_ordered_runs() {
            while !self.leases_have_expired() {
                let fencing_token = self.successor_token();
                let order = StopOrder { task: task.clone(), attempt, fencing_token };
                match self.worker.stop_in_any_incarnation(&order).await {
                    Ok(true) => {
                        self.stopped_at_successor.borrow_mut().insert((task.clone(), attempt));
                        break;
                    }
                    Ok(false) | Err(_) => tokio::time::sleep(STOP_RETRY).await,
                }
            }
        }
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
        let unanswered = table.unanswered_at(&self.instance);
        let unanswered = unanswered.map(|start| (start.task.clone(), start.attempt));
        let runs = self.runs.borrow();
        assigned.into_iter().chain(unanswered).chain(runs.open.keys().cloned()).collect()
    }
}
