//! Keeps new work away from the failure domains that operators have drained.
//!
//! Runs that are there end by themselves: a drain asks for no new starts.

use crate::metrics::metrics;
use crate::record::{Record, WorkerRecord};

use super::draft::Draft;
use super::{Planner, RoundInputs};

/// Brings the drained failure domains into the state, where agents read them.
pub fn record(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let known = &inputs.table.drained;
    if !inputs.drained.supersedes(known) {
        return;
    }
    log::info!(
        "event=J145 drained failure domains changed names={:?} before={:?} read_to={} read_age_ms={}",
        inputs.drained.names,
        known.names,
        inputs.drained.read_to,
        inputs.drain_orders_age.unwrap_or_default().as_millis()
    );
    metrics().drained_domains.set(inputs.drained.names.len() as i64);
    draft.add(Record::Drained(inputs.drained.clone()).encode());
}

/// Returns whether the operators' orders are known well enough to assign runs, and tells when that changes.
pub fn check_known(planner: &mut Planner, inputs: &RoundInputs<'_>) -> bool {
    let limit = planner.settings.max_drain_orders_age;
    let is_known = inputs.drain_orders_age.is_some_and(|age| age <= limit);
    let was_known = std::mem::replace(&mut planner.knows_operators, is_known);
    if is_known != was_known {
        let age_ms = inputs.drain_orders_age.map_or(-1, |age| age.as_millis() as i128);
        log::info!(
            "event=J146 operators' orders known={is_known} age_ms={age_ms} limit_ms={}",
            limit.as_millis()
        );
    }
    is_known
}

/// Returns whether nothing may be started at a worker. A domain that is restored is used from the
/// round on in which the state says so, so that its agents have read it before the first start.
pub fn keeps_off(worker: &WorkerRecord, inputs: &RoundInputs<'_>) -> bool {
    inputs.drained.contains(&worker.failure_domain) || inputs.table.is_in_drained_domain(worker)
}
