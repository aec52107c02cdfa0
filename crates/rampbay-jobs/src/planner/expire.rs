//! Removes from the store what nothing needs any more: jobs that ended long ago, and ends of registrations.

use std::time::Duration;

use crate::job::JobId;
use crate::keys::{life_key, losses_key, plan_key, registrations_end_key, worker_key};
use crate::parts::part_keys;
use crate::record::Record;

use super::draft::Draft;
use super::{Planner, RoundInputs};

/// Time between two looks for jobs to remove.
const INTERVAL: Duration = Duration::from_millis(1000);
/// How long the end of a worker's registrations is kept, and so long may one of them land late: ten times as long
/// as the longest that a call was seen to be carried out late (12 s).
const KEEP_OVER: Duration = Duration::from_secs(120);
/// Jobs removed in one round, at most.
const MOST_REMOVALS: usize = 16;

/// Removes jobs whose end this planner has known for long enough. A planner that takes over counts
/// from its own start: later, never earlier.
pub fn expire(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let ended = inputs.table.jobs.len() - inputs.table.active.len();
    if ended == planner.ended_since.len() && inputs.now < planner.expires_next {
        return;
    }
    planner.expires_next = inputs.now + INTERVAL;
    planner.ended_since.retain(|id, _| inputs.table.jobs.contains_key(id));
    for id in inputs.table.jobs.keys().filter(|id| !inputs.table.active.contains(*id)) {
        if !planner.ended_since.contains_key(id) {
            planner.ended_since.insert(id.clone(), inputs.now);
        }
    }
    let old = planner.ended_since.iter().filter(|(_, since)| {
        inputs.now.saturating_sub(**since) >= planner.settings.ended_job_retention
    });
    let old: Vec<JobId> = old.map(|(id, _)| id.clone()).take(MOST_REMOVALS).collect();
    for id in old {
        remove(draft, &id);
        planner.ended_since.remove(&id);
    }
}

/// Removes registrations that landed after their end, and ends after which none lands any more. A planner that takes
/// over counts from its own start: later, never earlier.
pub fn expire_registrations(
    planner: &mut Planner,
    draft: &mut Draft<'_>,
    inputs: &RoundInputs<'_>,
) {
    let registrations = inputs.table.registrations();
    for (instance, number) in registrations.late() {
        log::info!("event=J176 late registration removed worker={instance} number={number}");
        draft.remove(worker_key(instance, *number));
    }
    let known = &mut planner.over_since;
    if known.len() != registrations.workers_with_ended().count() {
        known.retain(|instance, _| {
            registrations.workers_with_ended().any(|ended| ended == instance)
        });
        for instance in registrations.workers_with_ended() {
            known.entry(instance.clone()).or_insert(inputs.now);
        }
    }
    let old = known.iter().filter(|(_, since)| inputs.now.saturating_sub(**since) >= KEEP_OVER);
    for (instance, _) in old {
        draft.remove(registrations_end_key(instance));
        draft.remove(life_key(instance));
    }
}

fn remove(draft: &mut Draft<'_>, id: &JobId) {
    log::info!("event=J134 job removed job={id}");
    draft.remove(Record::Cancelled(id.clone()).key());
    if let Some(plan) = draft.table.jobs.get(id).and_then(|job| job.plan.as_deref()) {
        part_keys(id, plan).for_each(|(_, key)| draft.remove(key));
    }
    draft.remove(plan_key(id));
    if draft.table.losses.contains_key(id) {
        draft.remove(losses_key(id));
    }
    draft.remove(format!("job/{id}"));
}
