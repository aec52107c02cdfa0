//! Cancels jobs, known to the entry or not.

use std::time::Duration;

use tokio::time::Instant;

use crate::cancel::{Canceller, EarlyCancel, number_at};
use crate::job::JobId;
use crate::plan::JobStatus;
use crate::record::Record;

use super::{Intake, Refusal, WaitBudget};

/// Time between two checks whether the table has become current: as long as the shortest gap between reads.
const TABLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Intake {
    /// Cancels a job. If the job isn't known, the store keeps the cancellation: the job's record may still be on its way, and a
    /// caller who is told that there is no such job considers it cancelled.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoJob`] if there is no such job, or it has ended; nothing of it is started after that.
    /// [`Refusal::NotOwner`] and [`Refusal::TooManyCancels`] mean that the job isn't cancelled by this call, and
    /// [`Refusal::NotCurrent`], [`Refusal::Unavailable`] and [`Refusal::Unknown`] that the cancellation couldn't be stored
    /// in the call's time.
    pub async fn cancel(
        &self,
        id: &JobId,
        canceller: &Canceller,
        budget: WaitBudget,
    ) -> Result<(), Refusal> {
        match self.status_for(id, canceller)? {
            Some(JobStatus::Cancelled) => Ok(()),
            Some(JobStatus::Succeeded | JobStatus::Failed) => Err(Refusal::NoJob),
            Some(JobStatus::Queued | JobStatus::Running) => {
                let record = Record::Cancelled(id.clone());
                self.appends.append_cancel(&record, budget).await.map(|_| ())
            }
            None => self.cancel_unknown(id, canceller, budget).await,
        }
    }

    /// Returns the status of a job that a caller wants to cancel, if the job is known.
    fn status_for(&self, id: &JobId, canceller: &Canceller) -> Result<Option<JobStatus>, Refusal> {
        let table = self.table.borrow();
        let Some(job) = table.jobs.get(id) else { return Ok(None) };
        if canceller.may_cancel(&job.submission) {
            Ok(table.status(id))
        } else {
            Err(Refusal::NotOwner)
        }
    }

    /// Stores the cancellation of a job that the table doesn't hold.
    async fn cancel_unknown(
        &self,
        id: &JobId,
        canceller: &Canceller,
        budget: WaitBudget,
    ) -> Result<(), Refusal> {
        // The cancellation is kept for a time that is measured from the position in its number.
        self.wait_for_table(budget).await?;
        let mut is_certain = true;
        if !self.table.borrow().keeps_early_cancel(id, canceller) {
            if self.table.borrow().cancels().is_full_for(&canceller.workspace) {
                return Err(Refusal::TooManyCancels);
            }
            let position = self.table_freshness.position();
            let cancel = EarlyCancel {
                job: id.clone(),
                number: number_at(position, rand::random()),
                canceller: canceller.clone(),
            };
            let record = Record::EarlyCancel(Box::new(cancel));
            let stored = self.appends.append_cancel(&record, budget).await;
            let end = stored.map_err(|refusal| match refusal {
                Refusal::Unavailable => Refusal::NotCurrent,
                other => other,
            })?;
            // A job that was stored before the cancellation is known then.
            let reached = self.table_freshness.reach(end);
            is_certain = tokio::time::timeout_at(budget.until, reached).await.is_ok();
        }
        match self.status_for(id, canceller)? {
            None if !is_certain => Ok(()),
            None | Some(JobStatus::Succeeded | JobStatus::Failed) => Err(Refusal::NoJob),
            Some(JobStatus::Queued | JobStatus::Running | JobStatus::Cancelled) => Ok(()),
        }
    }

    /// Waits until the table is recent enough to report a job as unknown.
    async fn wait_for_table(&self, budget: WaitBudget) -> Result<(), Refusal> {
        let _guard = self.appends.wait_for_store().ok_or(Refusal::NotCurrent)?;
        while !self.table_freshness.is_within(self.limits.table_age) {
            if Instant::now() >= budget.until {
                return Err(Refusal::NotCurrent);
            }
            let next_check = Instant::now() + TABLE_POLL_INTERVAL;
            tokio::time::sleep_until(next_check.min(budget.until)).await;
        }
        Ok(())
    }
}
