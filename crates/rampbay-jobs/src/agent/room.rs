//! Checks that a run fits beside the others at the worker. Workers may start whatever they are
//! ordered to.

use crate::job::{Resources, Step, TaskId};
use crate::table::JobTable;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Whether the worker has capacity for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fit {
    /// The run fits.
    Yes,
    /// The run doesn't fit, by the worker's latest heartbeat.
    No,
    /// Not known yet: no heartbeat has reached this process, or the worker has a run of an unknown
    /// job, so that the resources it holds aren't known. Such a run is being stopped.
    Unknown,
}

impl Incarnation {
    /// Checks whether a run fits beside all others that may exist at the worker, including those
    /// that are being stopped. Called before each order, even a repeated one, since the capacity
    /// may have shrunk in between.
    pub(super) fn check_fit(&self, key: &RunKey) -> Fit {
        if let Some(fit) = self.fit_without_heartbeat() {
            return fit;
        }
        let table = self.parts.table.borrow();
        let Some(demand) = charge_of(&table, &key.0) else { return Fit::No };
        let mut free = self.capacity();
        let runs = self.runs.borrow();
        for (held, _) in runs.others(key) {
            let Some(charge) = charge_of(&table, held) else { return Fit::Unknown };
            free.take(&charge);
        }
        if free.fits(&demand) {
            return Fit::Yes;
        }
        log::warn!(
            "event=J170 start refused for lack of capacity task={} worker={} free={free:?} demand={demand:?}",
            key.0,
            self.instance
        );
        Fit::No
    }

    /// Returns the result to use while the worker has sent no recent heartbeat; `None` if it has.
    /// The state's record of its capacity may be of any age, since an earlier process of this
    /// machine may have written it.
    fn fit_without_heartbeat(&self) -> Option<Fit> {
        let last_heartbeat = self.last_heartbeat.get();
        if last_heartbeat.unwrap_or(self.discovered).elapsed()
            <= self.parts.settings.max_heartbeat_age
        {
            return last_heartbeat.is_none().then_some(Fit::Unknown);
        }
        log::warn!(
            "event=J179 start refused, no recent heartbeat worker={} heard={}",
            self.instance,
            last_heartbeat.is_some()
        );
        Some(Fit::No)
    }
}

fn charge_of(table: &JobTable, task: &TaskId) -> Option<Resources> {
    let job = table.jobs.get(&task.job)?;
    job.submission.steps.get(task.step as usize).map(Step::charge)
}
