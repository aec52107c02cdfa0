//! A client for short calls to known addresses.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// `IP:PORT` of the server.
    pub address: String,
    /// Path and query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Media type of the body, if there is one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
    /// Longest time until the whole answer is there.
    pub timeout: Duration,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nobody listens at the address: the server has not seen the call.
    #[error("nobody listens")]
    Refused,
    /// No connection could be opened: the server has not seen the call.
    #[error("no connection")]
    NotSent,
    /// The connection broke, or no answer came in time: the call may have been done.
    #[error("no answer")]
    NoAnswer,
}

/// The client; its clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self { inner }
    }
}

/// Returns why a request came to nothing.
fn reason_of(error: &hyper_util::client::legacy::Error) -> CallError {
    if !error.is_connect() {
        return CallError::NoAnswer;
    }
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(cause) = source {
        let io_error = cause.downcast_ref::<std::io::Error>();
        if io_error.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused) {
            return CallError::Refused;
        }
        source = cause.source();
    }
    CallError::NotSent
}

impl HttpClient {
    /// Makes a call. A connection whose answer doesn't come in time is closed.
    ///
    /// # Errors
    ///
    /// Says whether the server may have seen the call.
    pub async fn call(&self, call: Call) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        if let Some(content_type) = call.content_type {
            request = request.header(header::CONTENT_TYPE, content_type);
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let response = self.inner.request(request).await.map_err(|error| reason_of(&error))?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| CallError::NoAnswer)?;
            Ok(Reply { status, body: body.to_bytes() })
        };
        tokio::time::timeout(call.timeout, exchange).await.unwrap_or(Err(CallError::NoAnswer))
    }
}
