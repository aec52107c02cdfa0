//! What the planner's commands come to on the workers.

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
    /// Together with what others hold by now it would leave a guarantee short, or it isn't
    /// wanted any more.
    #[error("another planner's hold came first, and both would leave a guarantee short")]
    Endangers,
}

/// Holds every part, has the planner look again at what others hold, then commits.
///
/// # Errors
///
/// Returns why the gang didn't start; by then every part has been released or will lapse.
pub async fn start_parts(
    workers: &Arc<dyn Workers>,
    meta: &LeaseMeta,
    placement: &Placement,
    times: LeaseTimes,
    seen: u64,
    tx: &mpsc::UnboundedSender<Input>,
) -> Result<(), StartError> {
    hold_all(workers, meta, placement, times).await?;
    // Two planners may each see room for one gang, and together leave a guarantee short. So each
    // looks again at all holds before it commits.
    let page = workers.list(seen).await.ok();
    let (answer, verdict) = oneshot::channel();
    let _ = tx.send(Input::Held(meta.token, meta.job.clone(), page, answer));
    if !verdict.await.unwrap_or(false) {
        release_all(workers, meta.token, placement).await;
        return Err(StartError::Endangers);
    }
    commit_all(workers, meta.token, placement, times).await?;
    Ok(())
}

/// Has each part keep what `keep` says; returns whether every worker answered.
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

/// Asks every worker to stop the gang's task; what can't be reached is asked again later.
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
