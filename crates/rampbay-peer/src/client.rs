//! An HTTP client for short calls to known addresses.
//!
//! An open connection may stop carrying data for good while new connections work, and only a
//! timeout reveals that. TCP keepalive ends a connection whose peer acknowledges nothing. In
//! addition, a call that isn't answered before its timeout closes all idle connections to that
//! address, so that the next call doesn't use another dead one.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
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

/// Time without traffic before the first keepalive probe, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection is considered broken.
const PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged: one second more than a pause of 1 s, the
/// shortest that a peer's machine has to survive, and much less than an agent's lease (6 s).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of addresses with pooled connections; beyond it all idle connections are closed.
/// More than the entries of one deployment, which are what a process calls.
const MAX_ADDRESSES: usize = 512;

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// `IP:PORT` of the server.
    pub address: String,
    /// Path and query.
    pub path: String,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
    /// Media type of the body, if there is one.
    pub content_type: Option<&'static str>,
    /// Body.
    pub body: Bytes,
    /// Longest time until the whole response has arrived.
    pub timeout: Duration,
}

/// An HTTP response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The connection was refused: the server has not seen the call.
    #[error("connection refused")]
    Refused,
    /// No connection could be opened: the server has not seen the call.
    #[error("no connection could be opened")]
    NotSent,
    /// The connection broke, or no response came before the timeout: the server may have carried
    /// out the call.
    #[error("no response")]
    NoAnswer,
}

/// The connections to one address.
type Pool = Client<HttpConnector, Full<Bytes>>;

/// The pool of an address and its generation, which changes whenever the pool is replaced.
#[derive(Clone, Debug)]
struct PoolEntry {
    pool: Pool,
    generation: u64,
}

#[derive(Debug, Default)]
struct Pools {
    by_address: HashMap<String, PoolEntry>,
    created: u64,
}

/// The client; its clones share connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    connector: HttpConnector,
    pools: Rc<RefCell<Pools>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBES));
        connector.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
        Self { connector, pools: Rc::default() }
    }
}

/// Converts a client error, distinguishing whether the server may have seen the request.
fn call_error(error: &hyper_util::client::legacy::Error) -> CallError {
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
    fn pool(&self, address: &str) -> PoolEntry {
        let mut pools = self.pools.borrow_mut();
        if let Some(entry) = pools.by_address.get(address) {
            return entry.clone();
        }
        if pools.by_address.len() >= MAX_ADDRESSES {
            pools.by_address.clear();
        }
        let pool = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(self.connector.clone());
        pools.created += 1;
        let entry = PoolEntry { pool, generation: pools.created };
        pools.by_address.insert(address.to_owned(), entry.clone());
        entry
    }

    /// Closes the idle connections of a pool, unless the pool has already been replaced. Calls in
    /// progress on its other connections continue.
    fn close_idle(&self, address: &str, generation: u64) {
        let mut pools = self.pools.borrow_mut();
        if pools.by_address.get(address).is_some_and(|entry| entry.generation == generation) {
            pools.by_address.remove(address);
        }
    }

    /// Makes a call. If the response doesn't arrive before the timeout, its connection and all idle
    /// ones to the same address are closed.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response; the variant says whether the server may
    /// have seen the call.
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
        let entry = self.pool(&call.address);
        let exchange = async {
            let response = entry.pool.request(request).await.map_err(|error| call_error(&error))?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| CallError::NoAnswer)?;
            Ok(Reply { status, body: body.to_bytes() })
        };
        let Ok(outcome) = tokio::time::timeout(call.timeout, exchange).await else {
            self.close_idle(&call.address, entry.generation);
            return Err(CallError::NoAnswer);
        };
        outcome
    }
}
