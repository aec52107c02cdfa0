//! Holding, committing and releasing a gang's parts on the workers.
//!
//! A gang starts in three steps: every part is held, then every part is committed, then the gates
//! are opened. One refusal releases all parts. No worker runs a task before all parts are
//! committed. Every call carries the fencing token, so that the workers can refuse the late calls
//! of a holder that was paused.

use std::{sync::Arc, time::Duration};

use futures_util::future::join_all;
use rampbay_core::{ids::FencingToken, lease::LeaseMeta, topology::Placement};
use rampbay_platform::workers::{HoldRequest, WorkerError, Workers};

/// Durations of holds and leases.
#[derive(Debug, Clone, Copy)]
pub struct LeaseTimes {
    /// Time after which a hold expires unless it is committed.
    pub hold: Duration,
    /// Time after which a committed lease expires unless it is renewed.
    pub lease: Duration,
}

impl LeaseTimes {
    fn hold_ms(self) -> u64 {
        u64::try_from(self.hold.as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the duration of a lease in milliseconds.
    #[must_use]
    pub fn lease_ms(self) -> u64 {
        u64::try_from(self.lease.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Holds every part of a gang.
///
/// # Errors
///
/// Returns the first refusal, after a release of every part, held or not, has been tried.
pub async fn hold_all(
    workers: &Arc<dyn Workers>,
    meta: &LeaseMeta,
    placement: &Placement,
    times: LeaseTimes,
) -> Result<(), WorkerError> {
    let holds = placement.iter().map(|part| {
        let req = HoldRequest {
            version: None,
            devices: part.devices,
            meta: meta.clone(),
            ttl_ms: times.hold_ms(),
        };
        workers.hold(&part.worker, req)
    });
    let results = join_all(holds).await;
    let refusal = results.into_iter().find_map(Result::err);
    match refusal {
        None => Ok(()),
        Some(e) => {
            release_all(workers, meta.token, placement).await;
            Err(e)
        }
    }
}

/// Commits every held part, then opens the gates.
///
/// # Errors
///
/// Returns the first failure, after every part on a worker that can be reached has been released.
/// The other parts expire.
pub async fn commit_all(
    workers: &Arc<dyn Workers>,
    token: FencingToken,
    placement: &Placement,
    times: LeaseTimes,
) -> Result<(), WorkerError> {
    let commits =
        placement.iter().map(|part| workers.commit(&part.worker, token, times.lease_ms()));
    let mut refusal = join_all(commits).await.into_iter().find_map(Result::err);
    if refusal.is_none() {
        let opens = placement.iter().map(|part| workers.open(&part.worker, token));
        refusal = join_all(opens).await.into_iter().find_map(Result::err);
    }
    match refusal {
        None => Ok(()),
        Some(e) => {
            release_all(workers, token, placement).await;
            Err(e)
        }
    }
}

/// Releases every part; the parts on workers that can't be reached expire.
pub async fn release_all(workers: &Arc<dyn Workers>, token: FencingToken, placement: &Placement) {
    let releases = placement.iter().map(|part| workers.release(&part.worker, token));
    for e in join_all(releases).await.into_iter().filter_map(Result::err) {
        log::debug!("release of {token:x}: {e}");
    }
}
