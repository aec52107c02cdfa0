//! A server on one thread, which ends without cutting a call.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longest time between the start of a connection, or the end of a call, and the next header.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the body of a call: three times as long as callers wait for an answer. A caller whose
/// connection goes silent half way through is dropped then.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection couldn't be taken, so that a lack of descriptors isn't pressed.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// A call that was read whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Host that the caller named, without port.
    pub host: String,
    /// Value of the header `Authorization`.
    pub authorization: Option<String>,
    /// All headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
    /// When to come back, in whole seconds.
    pub retry_after_s: Option<u32>,
}

impl HttpResponse {
    /// Makes an answer without body.
    #[must_use]
    pub const fn status(status: StatusCode) -> Self {
        Self { status, content_type: "", body: Bytes::new(), retry_after_s: None }
    }

    /// Makes an answer with a body.
    #[must_use]
    pub fn with_body(
        status: StatusCode,
        content_type: &'static str,
        body: impl Into<Bytes>,
    ) -> Self {
        Self { status, content_type, body: body.into(), retry_after_s: None }
    }

    fn into_response(self, closes: bool) -> Response<Full<Bytes>> {
        let mut response = Response::builder().status(self.status);
        if !self.content_type.is_empty() {
            response = response.header(header::CONTENT_TYPE, self.content_type);
        }
        if let Some(seconds) = self.retry_after_s {
            response = response.header(header::RETRY_AFTER, seconds);
        }
        if closes {
            response = response.header(header::CONNECTION, "close");
        }
        let fallback = || Response::new(Full::new(Bytes::new()));
        response.body(Full::new(self.body)).unwrap_or_else(|_| fallback())
    }
}

/// What answers calls.
pub type Handler = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// How a server ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// It serves.
    #[default]
    Open,
    /// Connections are closed after their next answer; new ones are still taken.
    Draining,
    /// No new connections; open ones end once they are idle.
    Closed,
}

/// Counts what is under way; the count falls when the guard is dropped.
struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves `address` until closed and all open calls are answered.
///
/// # Errors
///
/// Returns an error if the address can't be listened at.
pub async fn serve(
    address: SocketAddr,
    body_limit: usize,
    handler: Handler,
    mut closing: watch::Receiver<ServerState>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let connections = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|state| *state == ServerState::Closed) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let guard = InFlight::new(&connections);
                let connection = Connection {
                    handler: Rc::clone(&handler),
                    closing: closing.clone(),
                    body_limit,
                };
                tokio::task::spawn_local(async move {
                    connection.serve(stream).await;
                    drop(guard);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
        }
    }
    drop(listener);
    while connections.get() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

struct Connection {
    handler: Handler,
    closing: watch::Receiver<ServerState>,
    body_limit: usize,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut closing = self.closing.clone();
        let service = service_fn(|request| self.answer(request));
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|state| *state == ServerState::Closed) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::convert::Infallible> {
        let answer = match receive(request, self.body_limit).await {
            Ok(received) => (self.handler)(received).await,
            Err(status) => HttpResponse::status(status),
        };
        let closes = *self.closing.borrow() != ServerState::Open;
        Ok(answer.into_response(closes))
    }
}

async fn receive(request: Request<Incoming>, body_limit: usize) -> Result<HttpRequest, StatusCode> {
    let (parts, body) = request.into_parts();
    let text = |name: header::HeaderName| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let host = text(header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let authorization = text(header::AUTHORIZATION);
    let collected = Limited::new(body, body_limit).collect();
    let collected = tokio::time::timeout(BODY_TIMEOUT, collected)
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let body = collected.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?.to_bytes();
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    Ok(HttpRequest {
        method: parts.method,
        path,
        query,
        host,
        authorization,
        headers: parts.headers,
        body,
    })
}
