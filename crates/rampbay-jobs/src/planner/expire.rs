//! Removes records that are no longer needed: jobs that ended long ago, ends of registrations, and cancellations without
//! jobs.

use std::time::Duration;

use crate::cancel::CancelNumber;
use crate::job::JobId;
use crate::keys::{
    STRAY_CANCELS_TIMER, cancel_key, early_cancel_key, life_key, losses_key, plan_key,
    registrations_end_key, worker_key,
};
use crate::parts::part_keys;

use super::draft::Draft;
use super::{Planner, RoundInputs};

/// Time between two checks for jobs to remove.
const CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a record is kept that decides what a late call does: the end of a worker's registrations, and the
/// cancellation of a job that isn't stored. It is ten times the longest delay with which a call was seen to be carried
/// out (12 s).
const LATE_CALL_RETENTION: Duration = Duration::from_secs(120);
/// Largest number of jobs that are removed in one round.
const MAX_REMOVALS: usize = 16;
/// Largest number of cancellations without jobs that are removed in one round.
const MAX_CANCEL_REMOVALS: usize = 256;

/// Removes jobs whose end this planner has known for long enough. A planner that takes over measures
/// from its own start, so it removes them later, never earlier.
pub fn expire(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let ended = inputs.table.jobs.len() - inputs.table.active.len();
    if ended == planner.ended_since.len() && inputs.now < planner.next_expiry_check {
        return;
    }
    planner.next_expiry_check = inputs.now + CHECK_INTERVAL;
    planner.ended_since.retain(|id, _| inputs.table.jobs.contains_key(id));
    for id in inputs.table.jobs.keys().filter(|id| !inputs.table.active.contains(*id)) {
        if !planner.ended_since.contains_key(id) {
            planner.ended_since.insert(id.clone(), inputs.now);
        }
    }
    let old = planner.ended_since.iter().filter(|(_, since)| {
        inputs.now.saturating_sub(**since) >= planner.settings.ended_job_retention
    });
    let old: Vec<JobId> = old.map(|(id, _)| id.clone()).take(MAX_REMOVALS).collect();
    for id in old {
        remove(draft, &id);
        planner.ended_since.remove(&id);
    }
}

/// Removes registrations that were stored after their end, and ends after which no late registration is expected any
/// more. A planner that takes over measures from its own start, so it removes them later, never earlier.
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
    let known = &mut planner.registrations_ended_since;
    if known.len() != registrations.workers_with_ended().count() {
        known.retain(|instance, _| {
            registrations.workers_with_ended().any(|ended| ended == instance)
        });
        for instance in registrations.workers_with_ended() {
            known.entry(instance.clone()).or_insert(inputs.now);
        }
    }
    let old =
        known.iter().filter(|(_, since)| inputs.now.saturating_sub(**since) >= LATE_CALL_RETENTION);
    for (instance, _) in old {
        draft.remove(registrations_end_key(instance));
        draft.remove(life_key(instance));
    }
}

/// The wait after which cancellations without jobs are removed. One timer covers all that are there when it starts, so
/// its elapsed time can be stored for the next leader.
#[derive(Debug, Default)]
pub struct StrayCancels {
    /// Highest number that the running timer covers.
    up_to: Option<CancelNumber>,
    /// Time of the next check for new ones, while no timer is running.
    next_check: Duration,
}

/// Removes cancellations whose jobs didn't come. Each is kept for [`LATE_CALL_RETENTION`] at least, and for twice as long at
/// most, apart from the times between a leader's last record of its timers and its end.
pub fn expire_cancels(planner: &mut Planner, draft: &mut Draft<'_>, inputs: &RoundInputs<'_>) {
    let now = inputs.now;
    let known = &mut planner.stray_cancels;
    if known.up_to.is_none() {
        if now < known.next_check {
            return;
        }
        known.next_check = now + CHECK_INTERVAL;
        let newest = inputs.table.stray_cancels().iter().map(|cancel| cancel.number).max();
        let Some(newest) = newest else { return };
        let inherited = planner.timers.inherited_number(STRAY_CANCELS_TIMER);
        known.up_to = inherited.or(Some(newest));
    }
    let Some(up_to) = known.up_to else { return };
    let waited = planner.timers.elapsed(format!("{STRAY_CANCELS_TIMER}{up_to}"), now);
    if waited < LATE_CALL_RETENTION {
        return;
    }
    let strays = inputs.table.stray_cancels();
    let covered = strays.iter().filter(|cancel| cancel.number <= up_to);
    let old: Vec<_> = covered.take(MAX_CANCEL_REMOVALS).collect();
    if old.len() < MAX_CANCEL_REMOVALS {
        known.up_to = None;
    }
    if !old.is_empty() {
        log::info!("event=J226 cancellations without jobs removed count={}", old.len());
    }
    old.into_iter().for_each(|cancel| draft.remove(cancel.key.clone()));
}

fn remove(draft: &mut Draft<'_>, id: &JobId) {
    log::info!("event=J134 job removed job={id}");
    draft.remove(cancel_key(id));
    for cancel in draft.table.cancels().early_of(id) {
        draft.remove(early_cancel_key(id, cancel.number));
    }
    if let Some(job) = draft.table.jobs.get(id) {
        let plan = job.plan.as_deref().into_iter();
        let keys = plan.flat_map(|plan| part_keys(id, plan, job.plan_layout));
        keys.for_each(|key| draft.remove(key));
    }
    draft.remove(plan_key(id));
    if draft.table.losses.contains_key(id) {
        draft.remove(losses_key(id));
    }
    draft.remove(format!("job/{id}"));
}
