//! Carries out the planner's commands on the workers.

use std::sync::Arc;

use rampbay_core::{
    ids::{FencingToken, JobId, WorkerId},
    lease::LeaseMeta,
    topology::Placement,
};
use rampbay_platform::workers::{WorkerError, Workers};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::{
    gangs::Input,
    leases::{LeaseTimes, commit_all, hold_all, release_all},
};

/// Why a gang didn't start.
#[derive(Debug, Error)]
pub enum StartError {
    /// A worker refused or didn't answer.
    #[error("{0}")]
    Worker(#[from] WorkerError),
    /// The check after all holds failed: together with what other planners hold by now, the gang
    /// would leave a guarantee short of devices, or its request doesn't need it any more.
    #[error("another planner's hold came first, and both would leave a guarantee short")]
    RecheckFailed,
}

/// Holds every part, has the planner check the gang against the current holds of others, then
/// commits every part.
///
/// # Errors
///
/// Returns why the gang didn't start; by then every part has been released or will expire.
pub async fn start_parts(
    workers: &Arc<dyn Workers>,
    meta: &LeaseMeta,
    placement: &Placement,
    times: LeaseTimes,
    revision: u64,
    tx: &mpsc::UnboundedSender<Input>,
) -> Result<(), StartError> {
    hold_all(workers, meta, placement, times).await?;
    // Two planners may each find room for a gang, and both gangs together leave a guarantee short.
    // So each planner checks all holds again before it commits.
    let page = workers.list(revision).await.ok();
    let (answer, verdict) = oneshot::channel();
    let _ = tx.send(Input::Held(meta.token, meta.job.clone(), page, answer));
    if !verdict.await.unwrap_or(false) {
        release_all(workers, meta.token, placement).await;
        return Err(StartError::RecheckFailed);
    }
    commit_all(workers, meta.token, placement, times).await?;
    Ok(())
}

/// Shrinks each part to its devices in `keep`, or to none; returns whether every worker did so.
///
/// Stops at the first worker that fails.
pub async fn shrink_parts(
    workers: &Arc<dyn Workers>,
    token: FencingToken,
    parts: &Placement,
    keep: &Placement,
) -> bool {
    let kept = |worker: &WorkerId| {
        keep.iter().find(|part| part.worker == *worker).map_or(0, |part| part.devices)
    };
    for part in parts {
        let keep = kept(&part.worker);
        if keep != part.devices && workers.shrink(&part.worker, token, keep).await.is_err() {
            return false;
        }
    }
    true
}

/// Asks every worker to stop the gang's task.
///
/// Failures are only logged: the planner repeats a yield that had no effect.
pub async fn stop_parts(
    workers: &Arc<dyn Workers>,
    token: FencingToken,
    parts: &Placement,
    checkpoint: bool,
    for_job: &JobId,
) {
    let stops = parts.iter().map(|part| workers.stop(&part.worker, token, checkpoint, for_job));
    for e in futures_util::future::join_all(stops).await.into_iter().filter_map(Result::err) {
        log::debug!("stop of {token:x}: {e}");
    }
}
