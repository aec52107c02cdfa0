//! Runs a request from its arrival to its single outcome.

use std::time::Duration;

use bytes::Bytes;
use rampbay_core::{ids::JobId, job::JobSpec, plan::SubmitError};
use rampbay_dispatch::message::{NotRun, Outcome, Unknown};
use rampbay_node::metrics::labels;
use rampbay_wire::event::Code;
use tokio::sync::watch;

use crate::{
    claims::{Claimed, Claims},
    dispatching::{Dispatching, Input},
    entry::Parts,
    gangs::{GangEvent, GangGuard},
    jobs::JobKey,
};

/// Returns the id of a request within rampbay, `workspace/id`: callers choose their ids, so two
/// workspaces may use the same one.
#[must_use]
pub fn qualified_id(key: &JobKey) -> JobId {
    format!("{}/{}", key.0, key.1).into()
}

/// Signals that a request is to be cancelled.
type Cancelled = watch::Receiver<bool>;

/// Runs a request that was admitted, and settles its outcome.
pub async fn run(parts: Parts, spec: JobSpec, body: Bytes, mut cancelled: Cancelled) {
    let shared = &parts.shared;
    let key = (spec.workspace.clone(), spec.id.clone());
    let arrived = shared.now();
    let inner = JobSpec { id: qualified_id(&key), ..spec };
    shared.event(Code::JobReceived, Some(&inner.id), Some(&inner.workspace), "");
    let outcome = run_claimed(&parts, &inner, body, arrived, &mut cancelled).await;
    let took = shared.now().saturating_sub(arrived);
    record_outcome(&parts, &inner, &outcome, took);
    shared.jobs.settle(&key, outcome, shared.now());
}

fn record_outcome(parts: &Parts, spec: &JobSpec, outcome: &Outcome, took: Duration) {
    let shared = &parts.shared;
    let reason = reason_code(outcome);
    let code = match outcome {
        Outcome::NotRun(_) => Code::JobRefused,
        Outcome::Answered(_) | Outcome::Unknown(_) => Code::JobSettled,
    };
    let detail = format!("{} {reason} after {} ms", outcome.name(), took.as_millis());
    shared.event(code, Some(&spec.id), Some(&spec.workspace), detail);
    let by_outcome =
        labels(&[("workspace", &spec.workspace), ("outcome", outcome.name()), ("reason", &reason)]);
    shared.metrics.outcomes.get_or_create(&by_outcome).inc();
    let by_workspace = labels(&[("workspace", &spec.workspace)]);
    shared.metrics.completion.get_or_create(&by_workspace).observe(took.as_secs_f64());
}

/// Returns the stable code of an outcome's reason.
#[must_use]
pub fn reason_code(outcome: &Outcome) -> String {
    let value = match outcome {
        Outcome::Answered(_) => return "ok".to_owned(),
        Outcome::NotRun(why) => serde_json::to_value(why),
        Outcome::Unknown(why) => serde_json::to_value(why),
    };
    value.ok().and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
}

/// Runs a request; work that must run at most once is claimed before any attempt of it is sent.
async fn run_claimed(
    parts: &Parts,
    spec: &JobSpec,
    body: Bytes,
    arrived: Duration,
    cancelled: &mut Cancelled,
) -> Outcome {
    if spec.repeatable {
        return run_with_gang(parts, spec, body, arrived, cancelled).await;
    }
    let claims: &Claims = &parts.claims;
    let (claimed, number) = claims.claim(spec.id.clone()).await;
    match claimed {
        Claimed::Won => {}
        Claimed::Lost => return Outcome::Unknown(Unknown::ClaimedElsewhere),
        Claimed::Unavailable => {
            claims.release(spec.id.clone(), number);
            return Outcome::NotRun(NotRun::ClaimUnavailable);
        }
    }
    let outcome = run_with_gang(parts, spec, body, arrived, cancelled).await;
    if matches!(outcome, Outcome::NotRun(_)) {
        claims.release(spec.id.clone(), number);
    }
    outcome
}

/// Runs a request on the gang that it needs, if any, and releases the gang when the work is done.
///
/// If the gang is lost before the work is answered, the request waits for another gang, unless its
/// work may have run and must not be repeated.
async fn run_with_gang(
    parts: &Parts,
    spec: &JobSpec,
    body: Bytes,
    arrived: Duration,
    cancelled: &mut Cancelled,
) -> Outcome {
    if spec.gang.is_none() {
        return dispatch(&parts.dispatching, spec.clone(), body, cancelled).await;
    }
    let mut gang = parts.gangs.acquire(spec.clone());
    let mut may_have_run = false;
    // Once an attempt of the request may have run, the request must not end as not run.
    let not_run = |why, may_have_run| {
        if may_have_run { Outcome::Unknown(Unknown::GangLost) } else { Outcome::NotRun(why) }
    };
    loop {
        let event = tokio::select! {
            event = gang.next() => event,
            () = until_cancelled(cancelled) => return not_run(NotRun::Cancelled, may_have_run),
        };
        match event {
            Some(GangEvent::Started { .. }) => {}
            Some(GangEvent::Refused(e)) => return not_run(refusal_reason(&e), may_have_run),
            Some(GangEvent::Expired) => return not_run(NotRun::NotPlaced, may_have_run),
            Some(GangEvent::Interrupted) => continue,
            None => return not_run(NotRun::Stopping, may_have_run),
        }
        let Some(remaining) = with_remaining_deadline(parts, spec, arrived) else {
            return not_run(NotRun::Expired, may_have_run);
        };
        match run_on_gang(&parts.dispatching, &mut gang, remaining, body.clone(), cancelled).await {
            GangRun::Ended(Outcome::NotRun(why)) => return not_run(why, may_have_run),
            GangRun::Ended(outcome) => return outcome,
            GangRun::Interrupted(Outcome::Unknown(_)) if !spec.repeatable => {
                return Outcome::Unknown(Unknown::GangLost);
            }
            GangRun::Interrupted(Outcome::Answered(answer)) => return Outcome::Answered(answer),
            GangRun::Interrupted(Outcome::Unknown(_)) => may_have_run = true,
            GangRun::Interrupted(Outcome::NotRun(_)) => {}
        }
    }
}

fn refusal_reason(e: &SubmitError) -> NotRun {
    match e {
        SubmitError::QueueFull { .. } | SubmitError::UrgentFull { .. } => NotRun::QueueFull,
        SubmitError::BeyondGuarantee { .. } => NotRun::BeyondGuarantee,
        _ => NotRun::NotPlaced,
    }
}

/// Returns the request with its deadline reduced by the time since its arrival, or `None` if its
/// deadline has passed.
fn with_remaining_deadline(parts: &Parts, spec: &JobSpec, arrived: Duration) -> Option<JobSpec> {
    let mut remaining = spec.clone();
    if let Some(deadline) = spec.deadline_ms {
        let passed = parts.shared.now().saturating_sub(arrived).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        remaining.deadline_ms =
            Some(deadline.checked_sub(passed).filter(|remaining| *remaining > 0)?);
    }
    Some(remaining)
}

/// Waits until a request is cancelled, forever if that never happens.
async fn until_cancelled(cancelled: &mut Cancelled) {
    if cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Sends the work to an upstream and returns its outcome.
///
/// A cancel stops the work; the outcome still tells whether it may have run.
async fn dispatch(
    dispatching: &Dispatching,
    spec: JobSpec,
    body: Bytes,
    cancelled: &mut Cancelled,
) -> Outcome {
    let job = spec.id.clone();
    let work = dispatching.run(spec, body);
    tokio::pin!(work);
    tokio::select! {
        outcome = &mut work => return outcome,
        () = until_cancelled(cancelled) => dispatching.tell(Input::Cancel(job)),
    }
    work.await
}

/// How a run on a gang ended.
enum GangRun {
    /// The work ended before the gang was lost.
    Ended(Outcome),
    /// The gang was lost in the meantime; holds the outcome of the cancelled work.
    Interrupted(Outcome),
}

/// Runs the work on its gang; cancels the work if the gang is lost.
async fn run_on_gang(
    dispatching: &Dispatching,
    gang: &mut GangGuard,
    spec: JobSpec,
    body: Bytes,
    cancelled: &mut Cancelled,
) -> GangRun {
    let job = spec.id.clone();
    let work = dispatch(dispatching, spec, body, cancelled);
    tokio::pin!(work);
    loop {
        tokio::select! {
            outcome = &mut work => return GangRun::Ended(outcome),
            event = gang.next() => {
                if matches!(event, Some(GangEvent::Interrupted) | None) {
                    dispatching.tell(Input::Cancel(job));
                    return GangRun::Interrupted(work.await);
                }
            }
        }
    }
}
