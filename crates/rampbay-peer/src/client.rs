//! A client for short calls to known addresses.
//!
//! An open connection may go silent for good while new ones work. Nothing tells so but time: the kernel's
//! probes end a connection whose peer acknowledges nothing, and a call that got no answer in its time
//! closes all idle connections to that address, so that the next call doesn't meet another silent one.

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

/// Time without traffic after which the kernel probes a connection, and time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without answer after which a connection is broken.
const PROBES: u32 = 2;
/// Longest time that sent bytes may stay unacknowledged: a second more than a stop of 1 s, the shortest that
/// a peer's machine should outlast, and less than agents' leases (6 s) by far.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);
/// Addresses whose connections are kept; beyond it all idle ones are closed. More than the entries of one
/// deployment, which are what a process calls.
const MOST_ADDRESSES: usize = 512;

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

/// Connections to one address.
type Pool = Client<HttpConnector, Full<Bytes>>;

/// The pool of an address, and which one it is: pools are replaced.
#[derive(Clone, Debug)]
struct KnownPool {
    pool: Pool,
    generation: u64,
}

#[derive(Debug, Default)]
struct Pools {
    by_address: HashMap<String, KnownPool>,
    made: u64,
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
    fn pool(&self, address: &str) -> KnownPool {
        let mut pools = self.pools.borrow_mut();
        if let Some(known) = pools.by_address.get(address) {
            return known.clone();
        }
        if pools.by_address.len() >= MOST_ADDRESSES {
            pools.by_address.clear();
        }
        let pool = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .build(self.connector.clone());
        pools.made += 1;
        let known = KnownPool { pool, generation: pools.made };
        pools.by_address.insert(address.to_owned(), known.clone());
        known
    }

    /// Closes the idle connections of a pool; calls that are under way on others go on.
    fn close_idle(&self, address: &str, generation: u64) {
        let mut pools = self.pools.borrow_mut();
        if pools.by_address.get(address).is_some_and(|known| known.generation == generation) {
            pools.by_address.remove(address);
        }
    }

    /// Makes a call. A connection whose answer doesn't come in time is closed, and with it all idle ones to
    /// the same address.
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
        let known = self.pool(&call.address);
        let exchange = async {
            let response = known.pool.request(request).await.map_err(|error| reason_of(&error))?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|_| CallError::NoAnswer)?;
            Ok(Reply { status, body: body.to_bytes() })
        };
        let Ok(outcome) = tokio::time::timeout(call.timeout, exchange).await else {
            self.close_idle(&call.address, known.generation);
            return Err(CallError::NoAnswer);
        };
        outcome
    }
}
