//! Ends what orders for a life have begun at the next one.
//!
//! A worker may start again under its name, and then knows nothing of before. An order that names the worker alone, sent
//! before its agent has learnt so, is carried out by the new life. Were the old life given up at once, the planner would
//! start elsewhere what still runs there. So before its registration goes, each run that may have been ordered is ended
//! at the life that answers, also those that an earlier process of this machine may have ordered.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fencing::FencingToken;
use crate::worker::StopOrder;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Pause before a run that isn't surely over is ended again.
const CLEAR_RETRY: Duration = Duration::from_millis(100);

impl Incarnation {
    /// Ends all runs that orders for this life may have begun at the next one. What no life answers for is over once
    /// all leases of the last order have lapsed.
    pub(super) async fn clear_successor(&self) {
        for (task, attempt) in self.may_have_been_ordered() {
            while !self.leases_have_lapsed() {
                let fencing_token = self.successor_token();
                let order = StopOrder { task: task.clone(), attempt, fencing_token };
                match self.worker.stop_in_any_incarnation(&order).await {
                    Ok(true) => break,
                    Ok(false) | Err(_) => tokio::time::sleep(CLEAR_RETRY).await,
                }
            }
        }
    }

    /// Returns the fencing token that the next life goes by: it may have seen it, and turn away this life's.
    fn successor_token(&self) -> FencingToken {
        let successor = self.successor.borrow();
        self.token_for(successor.as_ref().unwrap_or(&self.instance))
    }

    fn may_have_been_ordered(&self) -> BTreeSet<RunKey> {
        let table = self.parts.table.borrow();
        let assigned = table.runs_assigned_to(&self.instance);
        let runs = self.runs.borrow();
        assigned.into_iter().chain(runs.open.keys().cloned()).collect()
    }
}
