//! Removes jobs from the store that ended long ago.

use std::time::Duration;

use crate::job::JobId;
use crate::record::Record;

use super::draft::Draft;
use super::{Planner, RoundInputs};

/// Time between two looks for jobs to remove.
const INTERVAL: Duration = Duration::from_millis(1000);
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
    let old = planner
        .ended_since
        .iter()
        .filter(|(_, since)| inputs.now.saturating_sub(**since) >= planner.settings.keep_ended);
    let old: Vec<JobId> = old.map(|(id, _)| id.clone()).take(MOST_REMOVALS).collect();
    for id in old {
        remove(draft, &id);
        planner.ended_since.remove(&id);
    }
}

fn remove(draft: &mut Draft<'_>, id: &JobId) {
    log::info!("event=J134 job removed job={id}");
    draft.remove(Record::Cancelled(id.clone()).key());
    draft.remove(Record::Plan(id.clone(), Box::default()).key());
    draft.remove(format!("job/{id}"));
}
