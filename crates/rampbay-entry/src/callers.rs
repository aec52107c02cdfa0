//! The callers' interface over HTTP. `docs/openapi.json` describes it; a test checks that both have
//! the same routes.

use async_trait::async_trait;
use bytes::Bytes;
use rampbay_core::job::JobSpec;
use rampbay_dispatch::message::{NotRun, Outcome, Unknown};
use rampbay_node::serve::render_json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    entry::Parts,
    jobs::{Admission, JobKey, Progress},
    keys::Access,
    lifecycle::{self, reason_code},
    shared::Shared,
};

/// Header that carries a request's head, a [`JobSpec`], as JSON.
pub const HEAD_HEADER: &str = "rampbay-job";
/// Header with a request's outcome: `answered`, `not_run` or `unknown`.
pub const OUTCOME_HEADER: &str = "rampbay-outcome";
/// Header with the stable code of the outcome's reason.
pub const REASON_HEADER: &str = "rampbay-reason";
/// Header with the HTTP status that the upstream answered with.
pub const UPSTREAM_STATUS_HEADER: &str = "rampbay-upstream-status";

const MAX_ID_LENGTH: usize = 200;

/// Every path of the callers' interface with its methods.
pub const ROUTES: [(&str, &[&str]); 3] = [
    ("/v1/jobs", &["post"]),
    ("/v1/jobs/{workspace}/{id}", &["get", "delete"]),
    ("/v1/jobs/{workspace}/{id}/answer", &["get"]),
];

/// The JSON body for the status of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusBody {
    /// The request's id.
    pub id: String,
    /// `open`, `answered`, `not_run` or `unknown`.
    pub outcome: String,
    /// The stable code of the reason.
    pub reason: String,
    /// The reason in words, for people.
    pub explanation: String,
    /// The id of the entry that holds the open request in memory, empty once it is settled. An open
    /// request is lost with its entry.
    pub kept_by: String,
}

/// The JSON body that rejects bad input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The field that is wrong.
    pub field: String,
    /// What is wrong with it.
    pub error: String,
}

/// Why a request is rejected, with the status of the answer.
#[derive(Debug)]
struct RequestError {
    status: StatusCode,
    field: &'static str,
    error: String,
}

impl RequestError {
    fn new(status: StatusCode, field: &'static str, error: impl Into<String>) -> Self {
        Self { status, field, error: error.into() }
    }
}

#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Submit,
    Status,
    Fetch,
    Cancel,
}

struct Api {
    parts: Parts,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for Api {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let result = match self.endpoint {
            Endpoint::Submit => submit(&self.parts, req, res).await,
            Endpoint::Status => report_status(&self.parts, req, res).await,
            Endpoint::Fetch => fetch(&self.parts, req, res).await,
            Endpoint::Cancel => cancel(&self.parts, req, res),
        };
        if let Err(e) = result {
            let body = ErrorBody { field: e.field.to_owned(), error: e.error };
            render_json(res, e.status, &body);
        }
    }
}

/// Returns the routes.
#[must_use]
pub fn router(parts: &Parts) -> Router {
    let api = |endpoint| Api { parts: parts.clone(), endpoint };
    Router::new()
        .push(Router::with_path("v1/jobs").post(api(Endpoint::Submit)))
        .push(
            Router::with_path("v1/jobs/{workspace}/{id}")
                .get(api(Endpoint::Status))
                .delete(api(Endpoint::Cancel)),
        )
        .push(Router::with_path("v1/jobs/{workspace}/{id}/answer").get(api(Endpoint::Fetch)))
}

fn access(shared: &Shared, req: &Request) -> Access {
    let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
    shared.keys.access(header)
}

/// Checks that the request's key gives access to a workspace.
///
/// The check comes before any look-up, so that a caller of one workspace can't learn whether a
/// request of another exists.
fn allow(shared: &Shared, req: &Request, workspace: &str) -> Result<(), RequestError> {
    match access(shared, req) {
        Access::Denied => Err(RequestError::new(
            StatusCode::UNAUTHORIZED,
            "authorization",
            "key is missing or unknown",
        )),
        access if access.covers(workspace) => Ok(()),
        _ => Err(RequestError::new(
            StatusCode::FORBIDDEN,
            "workspace",
            "this key doesn't speak for the workspace",
        )),
    }
}

fn read_head(req: &Request) -> Result<JobSpec, RequestError> {
    let reject = |error: String| RequestError::new(StatusCode::BAD_REQUEST, HEAD_HEADER, error);
    let header = req
        .headers()
        .get(HEAD_HEADER)
        .ok_or_else(|| reject("header is missing; it carries the request's head as JSON".into()))?;
    let spec: JobSpec =
        serde_json::from_slice(header.as_bytes()).map_err(|e| reject(e.to_string()))?;
    Ok(spec)
}

fn check_head(shared: &Shared, spec: &JobSpec) -> Result<(), RequestError> {
    let reject =
        |field, error: String| Err(RequestError::new(StatusCode::BAD_REQUEST, field, error));
    let printable = spec.id.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/');
    if spec.id.is_empty() || spec.id.len() > MAX_ID_LENGTH || !printable {
        let error = format!("must be 1 to {MAX_ID_LENGTH} visible ASCII characters without `/`");
        return reject("id", error);
    }
    let table = shared.table();
    let Some(knobs) = table.knobs(&spec.workspace) else {
        let error = format!("workspace `{}` is not in the table", spec.workspace);
        return reject("workspace", error);
    };
    let ceiling = knobs.deadline_ceiling_ms;
    if spec.deadline_ms.is_some_and(|deadline| deadline == 0 || deadline > ceiling) {
        return reject("deadline_ms", format!("must be 1 to {ceiling} ms for this workspace"));
    }
    let Some(gang) = &spec.gang else {
        return Ok(());
    };
    if gang.devices == 0 {
        return reject("gang.devices", "must be at least 1".into());
    }
    if gang.min_devices.is_some_and(|min| min == 0 || min > gang.devices) {
        return reject("gang.min_devices", format!("must be 1 to {}", gang.devices));
    }
    let largest = shared.largest.read().unwrap_or_else(std::sync::PoisonError::into_inner);
    match largest.get(&gang.adjacency) {
        Some(max_devices) if gang.smallest() > *max_devices && *max_devices > 0 => {
            reject("gang.devices", format!("the largest such place has {max_devices} devices"))
        }
        _ => Ok(()),
    }
}

async fn read_body(shared: &Shared, req: &mut Request) -> Result<Bytes, RequestError> {
    let max_bytes = shared.settings.limits.body_bytes;
    let too_large = || {
        let error = format!("larger than {max_bytes} bytes");
        RequestError::new(StatusCode::PAYLOAD_TOO_LARGE, "body", error)
    };
    let announced = req.headers().get("content-length").and_then(|v| v.to_str().ok());
    if announced.and_then(|text| text.parse::<usize>().ok()).is_some_and(|size| size > max_bytes) {
        return Err(too_large());
    }
    req.set_secure_max_size(max_bytes);
    match req.payload().await {
        Ok(body) => Ok(body.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(too_large()),
        Err(e) => Err(RequestError::new(StatusCode::BAD_REQUEST, "body", e.to_string())),
    }
}

/// Reports on drop that the caller has gone, which may cancel its request.
///
/// The key is cleared once the outcome is known.
struct CallerGuard<'a> {
    shared: &'a Shared,
    key: Option<JobKey>,
}

impl Drop for CallerGuard<'_> {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            self.shared.jobs.caller_gone(&key);
        }
    }
}

async fn submit(parts: &Parts, req: &mut Request, res: &mut Response) -> Result<(), RequestError> {
    let shared = &parts.shared;
    let spec = read_head(req)?;
    allow(shared, req, &spec.workspace)?;
    if shared.is_draining() {
        render_outcome(res, &spec.id, &Outcome::NotRun(NotRun::Stopping));
        return Ok(());
    }
    if shared.table().version() == 0 {
        render_outcome(res, &spec.id, &Outcome::NotRun(NotRun::NoTable));
        return Ok(());
    }
    check_head(shared, &spec)?;
    let body = read_body(shared, req).await?;
    let Some(room) = shared.jobs.reserve_bytes(body.len()) else {
        render_outcome(res, &spec.id, &Outcome::NotRun(NotRun::QueueFull));
        return Ok(());
    };
    let key = (spec.workspace.clone(), spec.id.clone());
    let digest = rapidhash::v3::rapidhash_v3(&body);
    let progress = match shared.jobs.admit(&spec, digest) {
        Admission::New(progress, cancelled) => {
            shared.spawn(lifecycle::run(parts.clone(), spec.clone(), body, cancelled));
            progress
        }
        Admission::Known(progress) => progress,
        Admission::Conflict => {
            let error = "another request of this workspace has this id";
            return Err(RequestError::new(StatusCode::CONFLICT, "id", error));
        }
        Admission::Full => {
            render_outcome(res, &spec.id, &Outcome::NotRun(NotRun::QueueFull));
            return Ok(());
        }
    };
    if req.query::<bool>("wait") == Some(false) {
        render_open(shared, res, &spec.id);
        return Ok(());
    }
    let mut guard = CallerGuard { shared, key: Some(key) };
    let outcome = settled(progress).await;
    guard.key = None;
    drop(room);
    render_outcome(res, &spec.id, &outcome);
    Ok(())
}

async fn settled(mut progress: watch::Receiver<Progress>) -> Outcome {
    let settled = progress.wait_for(|progress| matches!(progress, Progress::Settled(_))).await;
    match settled.as_deref() {
        Ok(Progress::Settled(outcome)) => outcome.clone(),
        // The record was dropped before it had an outcome, so the entry is ending.
        Ok(Progress::Open) | Err(_) => Outcome::Unknown(Unknown::SideUnreachable),
    }
}

fn key_of(req: &Request) -> JobKey {
    let param = |name| req.param::<String>(name).unwrap_or_default();
    (param("workspace").into(), param("id").into())
}

fn find(
    shared: &Shared,
    req: &Request,
) -> Result<(JobKey, watch::Receiver<Progress>), RequestError> {
    let key = key_of(req);
    allow(shared, req, &key.0)?;
    match shared.jobs.find(&key) {
        Some((_, progress)) => Ok((key, progress)),
        None => {
            Err(RequestError::new(StatusCode::NOT_FOUND, "id", "this entry has no such request"))
        }
    }
}

async fn report_status(
    parts: &Parts,
    req: &mut Request,
    res: &mut Response,
) -> Result<(), RequestError> {
    let shared = &parts.shared;
    let (key, progress) = find(shared, req)?;
    let progress = progress.borrow().clone();
    let body = match progress {
        Progress::Open => {
            let explanation = crate::operators::explain(parts, &key).await;
            StatusBody {
                id: key.1.to_string(),
                outcome: "open".into(),
                reason: explanation.reason,
                explanation: explanation.text,
                kept_by: shared.settings.id.to_string(),
            }
        }
        Progress::Settled(outcome) => status_of(&key.1, &outcome),
    };
    render_json(res, StatusCode::OK, &body);
    Ok(())
}

async fn fetch(parts: &Parts, req: &mut Request, res: &mut Response) -> Result<(), RequestError> {
    let shared = &parts.shared;
    let (key, progress) = find(shared, req)?;
    if req.query::<bool>("wait") == Some(false) && matches!(*progress.borrow(), Progress::Open) {
        render_open(shared, res, &key.1);
        return Ok(());
    }
    let outcome = settled(progress).await;
    render_outcome(res, &key.1, &outcome);
    Ok(())
}

fn cancel(parts: &Parts, req: &mut Request, res: &mut Response) -> Result<(), RequestError> {
    let (key, _) = find(&parts.shared, req)?;
    parts.shared.jobs.cancel(&key);
    render_open(&parts.shared, res, &key.1);
    Ok(())
}

fn render_open(shared: &Shared, res: &mut Response, id: &str) {
    let body = StatusBody {
        id: id.to_owned(),
        outcome: "open".into(),
        reason: "accepted".into(),
        explanation: "held in this entry's memory; fetch the answer here".into(),
        kept_by: shared.settings.id.to_string(),
    };
    render_json(res, StatusCode::ACCEPTED, &body);
}

fn status_of(id: &str, outcome: &Outcome) -> StatusBody {
    let explanation = match outcome {
        Outcome::Answered(_) => "the whole answer is there",
        Outcome::NotRun(_) => "nothing of it has run; it may be sent again",
        Outcome::Unknown(_) => "it may have run",
    };
    StatusBody {
        id: id.to_owned(),
        outcome: outcome.name().into(),
        reason: reason_code(outcome),
        explanation: explanation.into(),
        kept_by: String::new(),
    }
}

/// Writes an outcome as the answer to a caller.
fn render_outcome(res: &mut Response, id: &str, outcome: &Outcome) {
    let (status, retry_after) = status_code(outcome);
    let reason = reason_code(outcome);
    let _ = res.add_header(OUTCOME_HEADER, outcome.name(), true);
    let _ = res.add_header(REASON_HEADER, reason.as_str(), true);
    if let Some(seconds) = retry_after {
        let _ = res.add_header("retry-after", seconds.to_string(), true);
    }
    match outcome {
        Outcome::Answered(answer) => {
            let _ = res.add_header(UPSTREAM_STATUS_HEADER, answer.status.to_string(), true);
            let _ = res.add_header("content-type", "application/octet-stream", true);
            res.status_code(status);
            let _ = res.write_body(answer.body.clone());
        }
        Outcome::NotRun(_) | Outcome::Unknown(_) => {
            render_json(res, status, &status_of(id, outcome));
        }
    }
}

/// Returns the HTTP status of an outcome and the value of `retry-after` in seconds, if it has one.
fn status_code(outcome: &Outcome) -> (StatusCode, Option<u32>) {
    match outcome {
        Outcome::Answered(_) => (StatusCode::OK, None),
        Outcome::NotRun(NotRun::QueueFull | NotRun::Busy) => {
            (StatusCode::TOO_MANY_REQUESTS, Some(1))
        }
        Outcome::NotRun(NotRun::BeyondGuarantee) => (StatusCode::UNPROCESSABLE_ENTITY, None),
        Outcome::NotRun(NotRun::Cancelled) => (StatusCode::CONFLICT, None),
        Outcome::NotRun(NotRun::Expired | NotRun::NotPlaced) => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(5))
        }
        Outcome::NotRun(_) => (StatusCode::SERVICE_UNAVAILABLE, Some(1)),
        Outcome::Unknown(Unknown::DeadlinePassed) => (StatusCode::GATEWAY_TIMEOUT, None),
        Outcome::Unknown(_) => (StatusCode::BAD_GATEWAY, None),
    }
}
