//! The operators' interface over HTTP: the table, explanations, the time line, health and drain.

use async_trait::async_trait;
use rampbay_core::{ids::WorkspaceId, job::JobSpec};
use rampbay_node::serve::render_json;
use rampbay_table::{
    record::{Edit, VersionedRow},
    state::HistoryRow,
};
use rampbay_wire::event::Event;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode, prelude::Text};
use serde::{Deserialize, Serialize};

use crate::{
    entry::Parts,
    gangs::Input as GangInput,
    jobs::JobKey,
    keys::Access,
    lifecycle::qualified_id,
    table::{PublishError, publish},
};

const MAX_EDIT_BYTES: usize = 256 * 1024;
const MAX_JOBS: usize = 1_000;
const MAX_EVENTS: usize = 20_000;

/// The table as operators see it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TableView {
    /// The table's version.
    pub version: u64,
    /// The table's rows, with the version of each row's last change.
    pub rows: std::collections::BTreeMap<WorkspaceId, VersionedRow>,
    /// Number of log records that were skipped.
    pub skipped: u64,
}

/// Why a job is in its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainView {
    /// The job, with its workspace.
    pub job: String,
    /// The stable code of the reason.
    pub reason: String,
    /// The reason in words, for people.
    pub text: String,
    /// Time since the job arrived, in milliseconds; 0 if the planner doesn't have it.
    pub age_ms: u64,
    /// Time since the job last began to wait, in milliseconds; 0 if it isn't waiting.
    pub waiting_ms: u64,
    /// Jobs with the same demand that are ahead in the queue.
    pub ahead: u32,
}

/// The health of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthView {
    /// The entry's id.
    pub id: String,
    /// Whether the entry has a table and takes requests.
    pub ready: bool,
    /// The table's version.
    pub table_version: u64,
    /// Requests without an outcome.
    pub open: usize,
    /// The number and the bytes of the messages that the entry sent, by kind.
    pub link: Vec<(String, u64, u64)>,
}

/// An error of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// What went wrong.
    pub error: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Endpoint {
    Table,
    Publish,
    TableLog,
    Jobs,
    Explain,
    Workers,
    Upstreams,
    Plan,
    Timeline,
    Drain,
    Metrics,
    Health,
    Ready,
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
        let open = matches!(self.endpoint, Endpoint::Metrics | Endpoint::Health | Endpoint::Ready);
        if !open && !is_operator(&self.parts, req) {
            return fail(res, StatusCode::UNAUTHORIZED, "an operator's key is needed");
        }
        let parts = &self.parts;
        match self.endpoint {
            Endpoint::Table => render_json(res, StatusCode::OK, &table(parts)),
            Endpoint::Publish => publish_edit(parts, req, res).await,
            Endpoint::TableLog => {
                let rows: Vec<HistoryRow> = parts.shared.table().history().cloned().collect();
                render_json(res, StatusCode::OK, &rows);
            }
            Endpoint::Jobs => {
                let jobs: Vec<JobSpec> = parts.shared.jobs.open(MAX_JOBS);
                render_json(res, StatusCode::OK, &jobs);
            }
            Endpoint::Explain => explain_job(parts, req, res).await,
            Endpoint::Workers => {
                let views = parts.gangs.ask(GangInput::Workers).await.unwrap_or_default();
                render_json(res, StatusCode::OK, &views);
            }
            Endpoint::Upstreams => {
                render_json(res, StatusCode::OK, &parts.dispatching.view().await);
            }
            Endpoint::Plan => match parts.gangs.ask(GangInput::View).await {
                Some(view) => render_json(res, StatusCode::OK, &view),
                None => fail(res, StatusCode::SERVICE_UNAVAILABLE, "the planner has ended"),
            },
            Endpoint::Timeline => timeline(parts, req, res),
            Endpoint::Drain => {
                parts.begin_drain();
                render_json(res, StatusCode::ACCEPTED, &health(parts));
            }
            Endpoint::Metrics => {
                let open = i64::try_from(parts.shared.jobs.open_count()).unwrap_or(i64::MAX);
                parts.shared.metrics.open.get_or_create(&Vec::new()).set(open);
                res.render(Text::Plain(parts.shared.metrics.all.render()));
            }
            Endpoint::Health => render_json(res, StatusCode::OK, &health(parts)),
            Endpoint::Ready => {
                let view = health(parts);
                let status =
                    if view.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
                render_json(res, status, &view);
            }
        }
    }
}

/// Returns the routes.
#[must_use]
pub fn router(parts: &Parts) -> Router {
    let api = |endpoint| Api { parts: parts.clone(), endpoint };
    Router::new()
        .push(Router::with_path("v1/table").get(api(Endpoint::Table)).post(api(Endpoint::Publish)))
        .push(Router::with_path("v1/table/log").get(api(Endpoint::TableLog)))
        .push(Router::with_path("v1/jobs").get(api(Endpoint::Jobs)))
        .push(Router::with_path("v1/explain/{workspace}/{id}").get(api(Endpoint::Explain)))
        .push(Router::with_path("v1/workers").get(api(Endpoint::Workers)))
        .push(Router::with_path("v1/upstreams").get(api(Endpoint::Upstreams)))
        .push(Router::with_path("v1/plan").get(api(Endpoint::Plan)))
        .push(Router::with_path("v1/timeline").get(api(Endpoint::Timeline)))
        .push(Router::with_path("v1/drain").post(api(Endpoint::Drain)))
        .push(Router::with_path("metrics").get(api(Endpoint::Metrics)))
        .push(Router::with_path("healthz").get(api(Endpoint::Health)))
        .push(Router::with_path("readyz").get(api(Endpoint::Ready)))
}

fn is_operator(parts: &Parts, req: &Request) -> bool {
    let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
    parts.shared.keys.access(header) == Access::Operator
}

fn fail(res: &mut Response, status: StatusCode, error: &str) {
    render_json(res, status, &OperatorError { error: error.to_owned() });
}

fn table(parts: &Parts) -> TableView {
    let table = parts.shared.table();
    TableView { version: table.version(), rows: table.rows().clone(), skipped: table.skipped() }
}

fn health(parts: &Parts) -> HealthView {
    let shared = &parts.shared;
    let table_version = shared.table().version();
    let link = shared.link_counts.sent();
    HealthView {
        id: shared.settings.id.to_string(),
        ready: !shared.is_draining() && table_version > 0,
        table_version,
        open: shared.jobs.open_count(),
        link: link.into_iter().map(|(kind, n, bytes)| (kind.to_owned(), n, bytes)).collect(),
    }
}

async fn publish_edit(parts: &Parts, req: &mut Request, res: &mut Response) {
    req.set_secure_max_size(MAX_EDIT_BYTES);
    let bytes = match req.payload().await {
        Ok(bytes) => bytes.clone(),
        Err(e) => return fail(res, StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let edit: Edit = match serde_json::from_slice(&bytes) {
        Ok(edit) => edit,
        Err(e) => return fail(res, StatusCode::BAD_REQUEST, &e.to_string()),
    };
    match publish(&parts.shared, &parts.log, &parts.gangs, edit).await {
        Ok(row) => render_json(res, StatusCode::OK, &row),
        Err(e) => {
            let status = match e {
                PublishError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
                PublishError::Late { .. } => StatusCode::CONFLICT,
                PublishError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
                PublishError::Unknown => StatusCode::GATEWAY_TIMEOUT,
            };
            fail(res, status, &e.to_string());
        }
    }
}

/// Explains the state of a request that has no outcome yet.
pub async fn explain(parts: &Parts, key: &JobKey) -> ExplainView {
    let job = qualified_id(key);
    let asked = job.clone();
    let planned = parts.gangs.ask(|tx| GangInput::Explain(asked, tx)).await.flatten();
    let millis = |time: std::time::Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    match planned {
        Some(explanation) => {
            let value = serde_json::to_value(&explanation.reason).unwrap_or_default();
            let reason = value.get("reason").and_then(|reason| reason.as_str());
            ExplainView {
                job: job.to_string(),
                reason: reason.unwrap_or_default().to_owned(),
                text: explanation.reason.to_string(),
                age_ms: millis(explanation.age),
                waiting_ms: millis(explanation.waiting),
                ahead: explanation.ahead,
            }
        }
        None => ExplainView {
            job: job.to_string(),
            reason: "dispatching".into(),
            text: "needs no gang: waits for a slot of an upstream, or runs there".into(),
            age_ms: 0,
            waiting_ms: 0,
            ahead: 0,
        },
    }
}

async fn explain_job(parts: &Parts, req: &mut Request, res: &mut Response) {
    let param = |name| req.param::<String>(name).unwrap_or_default();
    let key: JobKey = (param("workspace").into(), param("id").into());
    if parts.shared.jobs.find(&key).is_none() {
        return fail(res, StatusCode::NOT_FOUND, "this entry has no such request");
    }
    render_json(res, StatusCode::OK, &explain(parts, &key).await);
}

/// Returns the events that match the query's job, workspace, process, text and start time, in
/// order; beyond [`MAX_EVENTS`] the oldest are left out.
fn timeline(parts: &Parts, req: &mut Request, res: &mut Response) {
    let job = req.query::<String>("job");
    let workspace = req.query::<String>("workspace");
    let process = req.query::<String>("process");
    let text = req.query::<String>("text");
    let since_ms = req.query::<u64>("since_ms").unwrap_or(0);
    let fits = |event: &Event| {
        let job_fits = job.as_ref().is_none_or(|job| event.job.as_deref() == Some(job));
        let workspace_fits =
            workspace.as_ref().is_none_or(|name| event.workspace.as_deref() == Some(name));
        let process_fits = process.as_ref().is_none_or(|id| *event.process == **id);
        let text_fits = text.as_ref().is_none_or(|text| event.detail.contains(text.as_str()));
        let recent = event.stamp.since_epoch().as_millis() >= u128::from(since_ms);
        job_fits && workspace_fits && process_fits && text_fits && recent
    };
    let mut events = parts.shared.timeline.select(fits);
    let surplus = events.len().saturating_sub(MAX_EVENTS);
    events.drain(..surplus);
    render_json(res, StatusCode::OK, &events);
}
