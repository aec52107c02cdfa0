//! Keeps new work away from the failure domains that operators have drained.
//!
//! A drain only forbids new starts; existing runs continue until they end.

use crate::metrics::metrics;
use crate::record::{Record, WorkerRecord};

use super::draft::Draft;
use super::{Planner, RoundInputs};

/// Copies the drained failure domains into the state topic, where agents read them.
pub fn record_drained_domains(draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
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

/// Returns whether the drain orders were read recently enough to assign runs, and logs when that
/// changes.
pub fn check_orders_recent(planner: &mut Planner, inputs: &RoundInputs<'_>) -> bool {
    let limit = planner.settings.max_drain_orders_age;
    let is_recent = inputs.drain_orders_age.is_some_and(|age| age <= limit);
    let was_recent = std::mem::replace(&mut planner.drain_orders_recent, is_recent);
    if is_recent != was_recent {
        let age_ms = inputs.drain_orders_age.map_or(-1, |age| age.as_millis() as i128);
        log::info!(
            "event=J146 drain orders known={is_recent} age_ms={age_ms} limit_ms={}",
            limit.as_millis()
        );
    }
    is_recent
}

/// Returns whether a worker's failure domain is drained, so that nothing may be started there. A
/// restored domain is used again only once the state topic shows the restoration, so that the
/// domain's agents read of it before the first start.
pub fn is_drained(worker: &WorkerRecord, inputs: &RoundInputs<'_>) -> bool {
    inputs.drained.contains(&worker.failure_domain) || inputs.table.is_in_drained_domain(worker)
}
