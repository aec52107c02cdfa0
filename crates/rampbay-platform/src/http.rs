//! Clients of the platform and of upstreams over HTTP.
//!
//! The client library may send a request again when a kept connection turns out to be closed;
//! that is switched off here, since a request must reach an upstream at most once.

use std::{net::SocketAddr, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use rampbay_core::{ids::FencingToken, topology::DeviceMask};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    boxes::{BoxRow, Boxes, BoxesError},
    log::{Log, LogError, LogPage},
    upstream::{Upstream, UpstreamAnswer, UpstreamError, UpstreamRequest},
    workers::{HoldRequest, LostLease, WorkerError, Workers, WorkersPage},
};

/// Longest wait for an answer of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// The largest answer of the platform that is read, in bytes.
const MAX_PLATFORM_ANSWER: usize = 64 * 1024 * 1024;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes as base64 text in JSON.
pub mod base64_bytes {
    use base64::{Engine, engine::general_purpose::STANDARD};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes bytes as base64.
    ///
    /// # Errors
    ///
    /// Returns the serializer's error.
    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads bytes from base64.
    ///
    /// # Errors
    ///
    /// Returns an error if the text isn't base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(D::Error::custom)
    }
}

/// Why an HTTP call has no whole answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be made: nothing was sent.
    #[error("can't connect: {0}")]
    Connect(String),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(String),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
    /// The answer is larger than is allowed.
    #[error("answer too large")]
    TooLarge,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct HttpAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// An HTTP client that sends each request at most once.
#[derive(Debug, Clone)]
pub struct OnceClient {
    client: Client<HttpConnector, Full<Bytes>>,
    addr: SocketAddr,
}

impl OnceClient {
    /// Creates a client of one server, with at most `max_idle` unused connections.
    #[must_use]
    pub fn new(addr: SocketAddr, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { client, addr }
    }

    /// Sends one request and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Only [`CallError::Connect`] proves that nothing was sent.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
        wait: Duration,
        max_answer: usize,
    ) -> Result<HttpAnswer, CallError> {
        let uri = format!("http://{}{path}", self.addr);
        let mut req = Request::builder().method(method).uri(uri);
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|e| CallError::Connect(format!("bad request: {e}")))?;
        timeout(wait, self.exchange(req, max_answer)).await.unwrap_or(Err(CallError::TimedOut))
    }

    async fn exchange(
        &self,
        req: Request<Full<Bytes>>,
        max_answer: usize,
    ) -> Result<HttpAnswer, CallError> {
        let res = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                CallError::Connect(e.to_string())
            } else {
                CallError::Broken(e.to_string())
            }
        })?;
        let (status, headers) = (res.status(), res.headers().clone());
        let body = Limited::new(res.into_body(), max_answer).collect().await.map_err(|e| {
            if e.downcast_ref::<LengthLimitError>().is_some() {
                CallError::TooLarge
            } else {
                CallError::Broken(e.to_string())
            }
        })?;
        Ok(HttpAnswer { status, headers, body: body.to_bytes() })
    }

    async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Result<T, (StatusCode, Bytes)>, CallError> {
        let headers = [("content-type", "application/json")];
        let answer =
            self.call(method, path, &headers, body, PLATFORM_TIMEOUT, MAX_PLATFORM_ANSWER).await?;
        if !answer.status.is_success() {
            return Ok(Err((answer.status, answer.body)));
        }
        let value =
            serde_json::from_slice(&answer.body).map_err(|e| CallError::Broken(e.to_string()))?;
        Ok(Ok(value))
    }
}

fn to_json(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}

/// The log over HTTP.
#[derive(Debug, Clone)]
pub struct HttpLog {
    client: OnceClient,
}

impl HttpLog {
    /// Creates a client of the log at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: OnceClient::new(addr, 4) }
    }
}

/// The log's answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// The record's offset.
    pub offset: u64,
}

fn log_error(e: CallError) -> LogError {
    match e {
        CallError::Connect(message) => LogError::Refused(message),
        other => LogError::NoAnswer(other.to_string()),
    }
}

fn log_refusal((status, body): (StatusCode, Bytes)) -> LogError {
    let text = format!("{status}: {}", String::from_utf8_lossy(&body));
    if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() {
        LogError::Refused(text)
    } else {
        LogError::NoAnswer(text)
    }
}

#[async_trait]
impl Log for HttpLog {
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, LogError> {
        let path = format!("/log/{stream}");
        let answer: Result<Appended, _> =
            self.client.json(Method::POST, &path, record.into()).await.map_err(log_error)?;
        answer.map(|appended| appended.offset).map_err(log_refusal)
    }

    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<LogPage, LogError> {
        let path = format!("/log/{stream}?from={from}&max={max}");
        let answer = self.client.json(Method::GET, &path, Bytes::new()).await.map_err(log_error)?;
        answer.map_err(log_refusal)
    }
}

/// The list of boxes over HTTP.
#[derive(Debug, Clone)]
pub struct HttpBoxes {
    client: OnceClient,
}

impl HttpBoxes {
    /// Creates a client of the list at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: OnceClient::new(addr, 2) }
    }
}

#[async_trait]
impl Boxes for HttpBoxes {
    async fn list(&self) -> Result<Vec<BoxRow>, BoxesError> {
        let answer = self
            .client
            .json(Method::GET, "/boxes", Bytes::new())
            .await
            .map_err(|e| BoxesError(e.to_string()))?;
        answer.map_err(|(status, _)| BoxesError(status.to_string()))
    }
}

/// The workers over HTTP.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    client: OnceClient,
}

/// The body of a commit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    /// The gang.
    pub token: FencingToken,
    /// How long the lease lasts, in milliseconds.
    pub lease_ms: u64,
}

/// The body of a request that only names a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The gang.
    pub token: FencingToken,
}

/// The body of a request to renew leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// The gangs.
    pub tokens: Vec<FencingToken>,
    /// How long the leases last from now, in milliseconds.
    pub lease_ms: u64,
}

/// The body of a request to shrink a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShrinkRequest {
    /// The gang.
    pub token: FencingToken,
    /// The devices that the lease keeps.
    pub keep: DeviceMask,
}

/// The body of a request to stop a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopRequest {
    /// The gang.
    pub token: FencingToken,
    /// Whether a checkpoint is written first.
    pub checkpoint: bool,
    /// The job for which the task is stopped.
    pub for_job: String,
}

impl HttpWorkers {
    /// Creates a client of the workers at `addr`.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        Self { client: OnceClient::new(addr, 32) }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        worker: &str,
        operation: &str,
        body: &impl Serialize,
    ) -> Result<T, WorkerError> {
        let path = format!("/workers/{worker}/{operation}");
        let answer =
            self.client.json(Method::POST, &path, to_json(body)).await.map_err(no_answer)?;
        answer.map_err(refusal)
    }
}

fn no_answer(e: CallError) -> WorkerError {
    WorkerError::NoAnswer { message: e.to_string() }
}

fn refusal((status, body): (StatusCode, Bytes)) -> WorkerError {
    serde_json::from_slice(&body)
        .unwrap_or_else(|_| WorkerError::NoAnswer { message: status.to_string() })
}

#[async_trait]
impl Workers for HttpWorkers {
    async fn list(&self, since: u64) -> Result<WorkersPage, WorkerError> {
        let path = format!("/workers?since={since}");
        let answer = self.client.json(Method::GET, &path, Bytes::new()).await.map_err(no_answer)?;
        answer.map_err(refusal)
    }

    async fn hold(&self, worker: &str, req: HoldRequest) -> Result<u64, WorkerError> {
        self.call(worker, "hold", &req).await
    }

    async fn commit(
        &self,
        worker: &str,
        token: FencingToken,
        lease_ms: u64,
    ) -> Result<(), WorkerError> {
        self.call(worker, "commit", &CommitRequest { token, lease_ms }).await
    }

    async fn open(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError> {
        self.call(worker, "open", &TokenRequest { token }).await
    }

    async fn renew(
        &self,
        worker: &str,
        tokens: &[FencingToken],
        lease_ms: u64,
    ) -> Result<Vec<LostLease>, WorkerError> {
        self.call(worker, "renew", &RenewRequest { tokens: tokens.to_vec(), lease_ms }).await
    }

    async fn release(&self, worker: &str, token: FencingToken) -> Result<(), WorkerError> {
        self.call(worker, "release", &TokenRequest { token }).await
    }

    async fn shrink(
        &self,
        worker: &str,
        token: FencingToken,
        keep: DeviceMask,
    ) -> Result<(), WorkerError> {
        self.call(worker, "shrink", &ShrinkRequest { token, keep }).await
    }

    async fn stop(
        &self,
        worker: &str,
        token: FencingToken,
        checkpoint: bool,
        for_job: &str,
    ) -> Result<(), WorkerError> {
        let req = StopRequest { token, checkpoint, for_job: for_job.to_owned() };
        self.call(worker, "stop", &req).await
    }
}

/// An upstream over HTTP.
#[derive(Debug, Clone)]
pub struct HttpUpstream {
    client: OnceClient,
}

/// Header that names the job.
pub const JOB_HEADER: &str = "rampbay-job-id";
/// Header that names the attempt.
pub const ATTEMPT_HEADER: &str = "rampbay-attempt";
/// Header that names the workspace.
pub const WORKSPACE_HEADER: &str = "rampbay-workspace";

impl HttpUpstream {
    /// Creates a client of the upstream at `addr`, with at most `connections` kept open.
    #[must_use]
    pub fn new(addr: SocketAddr, connections: usize) -> Self {
        Self { client: OnceClient::new(addr, connections) }
    }
}

#[async_trait]
impl Upstream for HttpUpstream {
    async fn run(&self, req: UpstreamRequest) -> Result<UpstreamAnswer, UpstreamError> {
        let headers = [
            (JOB_HEADER, &*req.job),
            (ATTEMPT_HEADER, req.attempt.as_str()),
            (WORKSPACE_HEADER, &*req.workspace),
        ];
        let answer = self
            .client
            .call(Method::POST, "/work", &headers, req.body, req.timeout, req.max_answer)
            .await;
        match answer {
            Ok(answer) if answer.status.is_server_error() => {
                Err(UpstreamError::ServerError(answer.status.as_u16()))
            }
            Ok(answer) => Ok(UpstreamAnswer { status: answer.status.as_u16(), body: answer.body }),
            Err(CallError::Connect(message)) => Err(UpstreamError::Refused(message)),
            Err(CallError::Broken(message)) => Err(UpstreamError::Cut(message)),
            Err(CallError::TimedOut) => Err(UpstreamError::TimedOut),
            Err(CallError::TooLarge) => Err(UpstreamError::TooLarge),
        }
    }
}
