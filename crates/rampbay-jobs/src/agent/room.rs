//! Whether a run fits beside what may run at the worker. Workers may start whatever they are told.

use crate::job::{Resources, Step, TaskId};
use crate::table::JobTable;

use super::incarnation::Incarnation;
use super::runs::RunKey;

/// Whether there is room for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fit {
    /// There is.
    Yes,
    /// There isn't, by the worker's latest account of itself.
    No,
    /// That can't be told yet: this process hasn't heard the worker, or something runs there whose job isn't known, and
    /// so what it holds. It is being stopped.
    Unknown,
}

impl Incarnation {
    /// Looks whether a run fits beside all others that may exist here, those that are being stopped among them. Asked
    /// before each order, also a repeated one: the room may have shrunk since the one before.
    pub(super) fn room_for(&self, key: &RunKey) -> Fit {
        if let Some(fit) = self.fit_without_account() {
            return fit;
        }
        let table = self.parts.table.borrow();
        let Some(demand) = charge_of(&table, &key.0) else { return Fit::No };
        let mut free = self.capacity();
        let runs = self.runs.borrow();
        for (held, _) in runs.beside(key) {
            let Some(charge) = charge_of(&table, held) else { return Fit::Unknown };
            free.take(&charge);
        }
        if free.fits(&demand) {
            return Fit::Yes;
        }
        log::warn!(
            "event=J170 start refused for want of room task={} worker={} free={free:?} demand={demand:?}",
            key.0,
            self.instance
        );
        Fit::No
    }

    /// Returns what to take the room for while there is no young account of the worker. What the state says of it may be
    /// of any age: an earlier process of this machine wrote it.
    fn fit_without_account(&self) -> Option<Fit> {
        let heard = self.account_heard.get();
        if heard.unwrap_or(self.found).elapsed() <= self.parts.settings.max_heartbeat_age {
            return heard.is_none().then_some(Fit::Unknown);
        }
        log::warn!(
            "event=J179 start refused, the worker's heartbeats don't get through worker={} heard={}",
            self.instance,
            heard.is_some()
        );
        Some(Fit::No)
    }
}

fn charge_of(table: &JobTable, task: &TaskId) -> Option<Resources> {
    let job = table.jobs.get(&task.job)?;
    job.submission.steps.get(task.step as usize).map(Step::charge)
}
