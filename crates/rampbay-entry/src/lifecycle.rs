//! A request's way from its arrival to its one outcome.

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

/// Returns the name of a request within rampbay: ids are the callers' own, so that two workspaces
/// may use the same.
#[must_use]
pub fn inner_id(key: &JobKey) -> JobId {
    format!("{}/{}", key.0, key.1).into()
}

/// Tells when a request is to be cancelled.
type Cancelled = watch::Receiver<bool>;

/// Runs a request that was taken in, and settles its outcome.
pub async fn run(parts: Parts, spec: JobSpec, body: Bytes, mut cancelled: Cancelled) {
    let shared = &parts.shared;
    let key = (spec.workspace.clone(), spec.id.clone());
    let arrived = shared.now();
    let inner = JobSpec { id: inner_id(&key), ..spec };
    shared.event(Code::JobReceived, Some(&inner.id), Some(&inner.workspace), "");
    let outcome = within_claim(&parts, &inner, body, arrived, &mut cancelled).await;
    let took = shared.now().saturating_sub(arrived);
    record(&parts, &inner, &outcome, took);
    shared.jobs.settle(&key, outcome, shared.now());
}

fn record(parts: &Parts, spec: &JobSpec, outcome: &Outcome, took: Duration) {
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

/// Claims work that must run at most once before anything of it is sent.
async fn within_claim(
    parts: &Parts,
    spec: &JobSpec,
    body: Bytes,
    arrived: Duration,
    cancelled: &mut Cancelled,
) -> Outcome {
    if spec.repeatable {
        return within_gang(parts, spec, body, arrived, cancelled).await;
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
    let outcome = within_gang(parts, spec, body, arrived, cancelled).await;
    if matches!(outcome, Outcome::NotRun(_)) {
        claims.release(spec.id.clone(), number);
    }
    outcome
}

/// Gets the gang that a request needs, and gives it back when the work is done.
async fn within_gang(
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
    // Once an attempt of it may have run, the request can't end as not run any more.
    let not_run = |why, may_have_run| {
        if may_have_run { Outcome::Unknown(Unknown::GangLost) } else { Outcome::NotRun(why) }
    };
    loop {
        let event = tokio::select! {
            event = gang.next() => event,
            () = is_cancelled(cancelled) => return not_run(NotRun::Cancelled, may_have_run),
        };
        match event {
            Some(GangEvent::Started { .. }) => {}
            Some(GangEvent::Refused(e)) => return not_run(refusal(&e), may_have_run),
            Some(GangEvent::Expired) => return not_run(NotRun::NotPlaced, may_have_run),
            Some(GangEvent::Interrupted) => continue,
            None => return not_run(NotRun::Stopping, may_have_run),
        }
        let Some(left) = with_time_left(parts, spec, arrived) else {
            return not_run(NotRun::Expired, may_have_run);
        };
        match on_gang(&parts.dispatching, &mut gang, left, body.clone(), cancelled).await {
            OnGang::Ended(Outcome::NotRun(why)) => return not_run(why, may_have_run),
            OnGang::Ended(outcome) => return outcome,
            OnGang::Interrupted(Outcome::Unknown(_)) if !spec.repeatable => {
                return Outcome::Unknown(Unknown::GangLost);
            }
            OnGang::Interrupted(Outcome::Answered(answer)) => return Outcome::Answered(answer),
            OnGang::Interrupted(Outcome::Unknown(_)) => may_have_run = true,
            OnGang::Interrupted(Outcome::NotRun(_)) => {}
        }
    }
}

fn refusal(e: &SubmitError) -> NotRun {
    match e {
        SubmitError::QueueFull { .. } | SubmitError::UrgentFull { .. } => NotRun::QueueFull,
        SubmitError::BeyondGuarantee { .. } => NotRun::BeyondGuarantee,
        _ => NotRun::NotPlaced,
    }
}

/// Returns the request with the time that its caller still waits.
fn with_time_left(parts: &Parts, spec: &JobSpec, arrived: Duration) -> Option<JobSpec> {
    let mut left = spec.clone();
    if let Some(deadline) = spec.deadline_ms {
        let passed = parts.shared.now().saturating_sub(arrived).as_millis();
        let passed = u64::try_from(passed).unwrap_or(u64::MAX);
        left.deadline_ms = Some(deadline.checked_sub(passed).filter(|left| *left > 0)?);
    }
    Some(left)
}

/// Waits until a request is cancelled; for ever if it never is.
async fn is_cancelled(cancelled: &mut Cancelled) {
    if cancelled.wait_for(|cancelled| *cancelled).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Sends the work to an upstream; a cancel stops it, and its outcome still says what ran.
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
        () = is_cancelled(cancelled) => dispatching.tell(Input::Cancel(job)),
    }
    work.await
}

enum OnGang {
    Ended(Outcome),
    /// The gang was lost meanwhile; what became of the attempt.
    Interrupted(Outcome),
}

/// Runs the work while its gang holds; when the gang is lost, the work is cancelled.
async fn on_gang(
    dispatching: &Dispatching,
    gang: &mut GangGuard,
    spec: JobSpec,
    body: Bytes,
    cancelled: &mut Cancelled,
) -> OnGang {
    let job = spec.id.clone();
    let work = dispatch(dispatching, spec, body, cancelled);
    tokio::pin!(work);
    loop {
        tokio::select! {
            outcome = &mut work => return OnGang::Ended(outcome),
            event = gang.next() => {
                if matches!(event, Some(GangEvent::Interrupted) | None) {
                    dispatching.tell(Input::Cancel(job));
                    return OnGang::Interrupted(work.await);
                }
            }
        }
    }
}
