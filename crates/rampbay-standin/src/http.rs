//! The stand-ins over HTTP, with their faults.

use std::{io, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use rampbay_node::serve::{HttpServer, render_json};
use rampbay_platform::{
    boxes::{BoxRow, Boxes},
    http::{
        Appended, CommitRequest, JOB_HEADER, RenewRequest, ShrinkRequest, StopRequest, TokenRequest,
    },
    log::{Log, LogError},
    upstream::UpstreamError,
    workers::{HoldRequest, WorkerError, Workers},
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, http::StatusCode, prelude::Text};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    boxes::BoxesModel,
    faults::{FaultSet, Faults},
    log::LogModel,
    upstream::UpstreamModel,
    workers::WorkersModel,
};

/// The largest body that the stand-ins read, in bytes.
const MAX_BODY: usize = 64 * 1024 * 1024;
/// Records in one page of the log unless the request sets `max`.
const DEFAULT_PAGE: usize = 1_000;

/// The platform's stand-ins.
#[derive(Debug, Clone)]
pub struct Platform {
    /// The log.
    pub log: Arc<LogModel>,
    /// The list of boxes.
    pub boxes: Arc<BoxesModel>,
    /// The workers.
    pub workers: Arc<WorkersModel>,
}

#[derive(Debug, Clone, Copy)]
enum Endpoint {
    Append,
    Read,
    Boxes,
    PutBox,
    RemoveBox,
    Workers,
    WorkerCall,
    KillWorker,
    Record,
    Faults,
}

struct Api {
    platform: Platform,
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
        let platform = &self.platform;
        match self.endpoint {
            Endpoint::Append => append(platform, req, res).await,
            Endpoint::Read => read(platform, req, res).await,
            Endpoint::Boxes => match platform.boxes.list().await {
                Ok(rows) => render_json(res, StatusCode::OK, &rows),
                Err(e) => refuse(res, StatusCode::SERVICE_UNAVAILABLE, &e.to_string()),
            },
            Endpoint::PutBox => {
                if let Some(row) = body::<BoxRow>(req, res).await {
                    platform.boxes.put(row);
                }
            }
            Endpoint::RemoveBox => platform.boxes.remove(&param(req, "id")),
            Endpoint::Workers => {
                let since = req.query::<u64>("since").unwrap_or(0);
                respond(res, platform.workers.list(since).await);
            }
            Endpoint::WorkerCall => worker_call(platform, req, res).await,
            Endpoint::KillWorker => platform.workers.kill(&param(req, "id")),
            Endpoint::Record => render_json(res, StatusCode::OK, &platform.workers.record()),
            Endpoint::Faults => {
                let name = param(req, "name");
                let faults = match name.as_str() {
                    "log" => &platform.log.faults,
                    "boxes" => &platform.boxes.faults,
                    "workers" => &platform.workers.faults,
                    _ => return refuse(res, StatusCode::NOT_FOUND, "log, boxes or workers"),
                };
                set_faults(faults, req, res).await;
            }
        }
    }
}

async fn set_faults(faults: &Faults, req: &mut Request, res: &mut Response) {
    if let Some(set) = body::<FaultSet>(req, res).await {
        faults.set(set);
        render_json(res, StatusCode::OK, &set);
    }
}

fn param(req: &Request, name: &str) -> String {
    req.param::<String>(name).unwrap_or_default()
}

async fn bytes(req: &mut Request) -> Bytes {
    req.set_secure_max_size(MAX_BODY);
    req.payload().await.cloned().unwrap_or_default()
}

async fn body<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let bytes = bytes(req).await;
    match serde_json::from_slice(&bytes) {
        Ok(value) => Some(value),
        Err(e) => {
            refuse(res, StatusCode::BAD_REQUEST, &e.to_string());
            None
        }
    }
}

fn refuse(res: &mut Response, status: StatusCode, text: &str) {
    res.status_code(status);
    res.render(Text::Plain(text.to_owned()));
}

fn respond<T: Serialize>(res: &mut Response, result: Result<T, WorkerError>) {
    match result {
        Ok(value) => render_json(res, StatusCode::OK, &value),
        Err(e @ WorkerError::NoWorker) => render_json(res, StatusCode::NOT_FOUND, &e),
        Err(e @ WorkerError::NoAnswer { .. }) => render_json(res, StatusCode::BAD_GATEWAY, &e),
        Err(e) => render_json(res, StatusCode::CONFLICT, &e),
    }
}

fn log_failure(res: &mut Response, e: &LogError) {
    let status = match e {
        LogError::Refused(_) => StatusCode::SERVICE_UNAVAILABLE,
        LogError::NoAnswer(_) => StatusCode::GATEWAY_TIMEOUT,
    };
    refuse(res, status, &e.to_string());
}

async fn append(platform: &Platform, req: &mut Request, res: &mut Response) {
    let record = bytes(req).await;
    match platform.log.append(&param(req, "stream"), record.to_vec()).await {
        Ok(offset) => render_json(res, StatusCode::OK, &Appended { offset }),
        Err(e) => log_failure(res, &e),
    }
}

async fn read(platform: &Platform, req: &mut Request, res: &mut Response) {
    let from = req.query::<u64>("from").unwrap_or(0);
    let max = req.query::<usize>("max").unwrap_or(DEFAULT_PAGE);
    match platform.log.read(&param(req, "stream"), from, max).await {
        Ok(page) => render_json(res, StatusCode::OK, &page),
        Err(e) => log_failure(res, &e),
    }
}

async fn worker_call(platform: &Platform, req: &mut Request, res: &mut Response) {
    let (id, call) = (param(req, "id"), param(req, "call"));
    let workers = &platform.workers;
    match call.as_str() {
        "hold" => {
            let Some(hold) = body::<HoldRequest>(req, res).await else {
                return;
            };
            respond(res, workers.hold(&id, hold).await);
        }
        "commit" => {
            let Some(commit) = body::<CommitRequest>(req, res).await else {
                return;
            };
            respond(res, workers.commit(&id, commit.token, commit.lease_ms).await);
        }
        "open" => {
            let Some(open) = body::<TokenRequest>(req, res).await else {
                return;
            };
            respond(res, workers.open(&id, open.token).await);
        }
        "renew" => {
            let Some(renew) = body::<RenewRequest>(req, res).await else {
                return;
            };
            respond(res, workers.renew(&id, &renew.tokens, renew.lease_ms).await);
        }
        "release" => {
            let Some(release) = body::<TokenRequest>(req, res).await else {
                return;
            };
            respond(res, workers.release(&id, release.token).await);
        }
        "shrink" => {
            let Some(shrink) = body::<ShrinkRequest>(req, res).await else {
                return;
            };
            respond(res, workers.shrink(&id, shrink.token, shrink.keep).await);
        }
        "stop" => {
            let Some(stop) = body::<StopRequest>(req, res).await else {
                return;
            };
            let result = workers.stop(&id, stop.token, stop.checkpoint, &stop.for_job).await;
            respond(res, result);
        }
        other => refuse(res, StatusCode::NOT_FOUND, &format!("no call `{other}`")),
    }
}

/// Serves the platform's stand-ins.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub async fn serve_platform(addr: SocketAddr, platform: Platform) -> io::Result<HttpServer> {
    let api = |endpoint| Api { platform: platform.clone(), endpoint };
    let router = Router::new()
        .push(
            Router::with_path("log/{stream}").post(api(Endpoint::Append)).get(api(Endpoint::Read)),
        )
        .push(Router::with_path("boxes").get(api(Endpoint::Boxes)).post(api(Endpoint::PutBox)))
        .push(Router::with_path("boxes/{id}").delete(api(Endpoint::RemoveBox)))
        .push(Router::with_path("workers").get(api(Endpoint::Workers)))
        .push(Router::with_path("workers/{id}").delete(api(Endpoint::KillWorker)))
        .push(Router::with_path("workers/{id}/{call}").post(api(Endpoint::WorkerCall)))
        .push(Router::with_path("record").get(api(Endpoint::Record)))
        .push(Router::with_path("faults/{name}").post(api(Endpoint::Faults)));
    HttpServer::start(addr, router).await
}

struct UpstreamApi {
    upstream: Arc<UpstreamModel>,
    endpoint: UpstreamEndpoint,
}

#[derive(Debug, Clone, Copy)]
enum UpstreamEndpoint {
    Work,
    Record,
    Faults,
}

#[async_trait]
impl Handler for UpstreamApi {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.endpoint {
            UpstreamEndpoint::Work => work(&self.upstream, req, res).await,
            UpstreamEndpoint::Record => {
                render_json(res, StatusCode::OK, &self.upstream.record());
            }
            UpstreamEndpoint::Faults => set_faults(&self.upstream.faults, req, res).await,
        }
    }
}

async fn work(upstream: &UpstreamModel, req: &mut Request, res: &mut Response) {
    let job = req.header::<String>(JOB_HEADER).unwrap_or_default();
    let body = bytes(req).await;
    match upstream.work(&job, &body).await {
        Ok(answer) => {
            res.status_code(StatusCode::OK);
            let _ = res.write_body(answer);
        }
        Err(UpstreamError::ServerError(status)) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            refuse(res, status, "failed");
        }
        // A content length larger than the body makes the server break the connection off.
        Err(_) => {
            res.status_code(StatusCode::OK);
            let _ = res.add_header("content-length", "1000000", true);
            let _ = res.write_body("cut");
        }
    }
}

/// Serves one upstream's stand-in.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub async fn serve_upstream(
    addr: SocketAddr,
    upstream: Arc<UpstreamModel>,
) -> io::Result<HttpServer> {
    let api = |endpoint| UpstreamApi { upstream: upstream.clone(), endpoint };
    let router = Router::new()
        .push(Router::with_path("work").post(api(UpstreamEndpoint::Work)))
        .push(Router::with_path("record").get(api(UpstreamEndpoint::Record)))
        .push(Router::with_path("faults").post(api(UpstreamEndpoint::Faults)));
    HttpServer::start(addr, router).await
}
