//! A single-threaded HTTP server that completes open calls before it ends.
//!
//! What its clients make the process hold stays within a [`Budget`]. A client that gets no room is
//! refused with 503, and the connection of one that has held much for long is closed.

use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, header};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::body::{self, BodyError, HeldBytes, ResponseBody};
use crate::budget::{Account, Budget, Exhausted, RECEIVE_BUFFER, Reservation};
use crate::metered_stream::{Exchange, MeteredStream};

/// Longest time from the start of a connection, or the end of a call, until the next header is
/// complete.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for the body of a call: three times as long as callers wait for an answer. It ends
/// the connection of a caller that stops sending in the middle of a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that the server doesn't spin while the process has no file
/// descriptors left.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Longest time in which an evicted connection may still send the refusal of its request.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Connections that wait to be accepted if nothing else is set. Each holds up to a receive buffer.
pub const DEFAULT_BACKLOG: u32 = 512;
/// Largest head of a request if nothing else is set, in bytes.
pub const DEFAULT_HEAD_BYTES: usize = 64 << 10;
/// Response to a connection for which there is no room.
const NO_ROOM: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";
/// Value of `Retry-After` for a request for which there is no room, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// A request that was read completely.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Value of the header `Host`, without port.
    pub host: String,
    /// Value of the header `Authorization`.
    pub authorization: Option<String>,
    /// All headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory for what is made of the request while it is handled.
    pub memory: RequestMemory,
}

/// Reserves memory for what is made of a request while it is handled, from the budget of the
/// clients. The default has no bound.
#[derive(Clone, Debug, Default)]
pub struct RequestMemory(Option<Rc<Exchange>>);

impl RequestMemory {
    /// Reserves memory, unless it is so little that the price of the connection covers it. The
    /// reservation ends when the result is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room now. The request should be refused then.
    pub fn hold(&self, bytes: usize) -> Result<Option<Reservation>, Exhausted> {
        let Some(exchange) = self.0.as_ref().filter(|_| bytes > body::ALLOWANCE) else {
            return Ok(None);
        };
        let mut held = exchange.account.reservation();
        let outcome = held.grow_now_to(bytes);
        if outcome.is_err() {
            self.count_refusal();
        }
        outcome.map(|()| Some(held))
    }

    /// Counts the request as refused because clients hold all that they may.
    pub fn count_refusal(&self) {
        if let Some(exchange) = &self.0 {
            exchange.account.count_refusal();
        }
    }
}

/// The response to a request.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Bytes,
    /// Value of the header `Retry-After`, in seconds.
    pub retry_after_s: Option<u32>,
}

impl HttpResponse {
    /// Creates a response without a body.
    #[must_use]
    pub const fn status(status: StatusCode) -> Self {
        Self { status, content_type: "", body: Bytes::new(), retry_after_s: None }
    }

    /// Creates a response with a body.
    #[must_use]
    pub fn with_body(
        status: StatusCode,
        content_type: &'static str,
        body: impl Into<Bytes>,
    ) -> Self {
        Self { status, content_type, body: body.into(), retry_after_s: None }
    }

    fn into_response(self, closes_connection: bool, account: &Account) -> Response<ResponseBody> {
        // Only reads have large responses, so nothing has been done that the client doesn't learn of.
        let Some(body) = HeldBytes::reserve(self.body, account) else {
            account.count_refusal();
            return Self::no_room().into_response(true, account);
        };
        let mut response = Response::builder().status(self.status);
        if !self.content_type.is_empty() {
            response = response.header(header::CONTENT_TYPE, self.content_type);
        }
        if let Some(seconds) = self.retry_after_s {
            response = response.header(header::RETRY_AFTER, seconds);
        }
        if closes_connection {
            response = response.header(header::CONNECTION, "close");
        }
        let fallback = || Response::new(ResponseBody::default());
        response.body(ResponseBody::new(body)).unwrap_or_else(|_| fallback())
    }

    /// Creates the response to a request for which there is no room: it isn't handled.
    #[must_use]
    pub fn no_room() -> Self {
        let retry_after_s = Some(RETRY_AFTER_S);
        Self { retry_after_s, ..Self::status(StatusCode::SERVICE_UNAVAILABLE) }
    }
}

/// Function that handles requests.
pub type Handler = Rc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse>>>>;

/// Whether a server accepts connections, and keeps open ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServerState {
    /// Connections are accepted and kept open.
    #[default]
    Open,
    /// Connections are closed after their next response; new ones are still accepted.
    Draining,
    /// New connections aren't accepted; open ones are closed once they are idle.
    Closed,
}

/// Counts a connection as open until the guard is dropped.
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

/// What the clients of an address may send and hold.
#[derive(Clone)]
pub struct ServerLimits {
    /// Largest head of a request, in bytes, at least 8 KiB.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Largest number of connections that wait to be accepted.
    pub backlog: u32,
    /// What all clients together may make the process hold.
    pub budget: Rc<Budget>,
}

/// Serves `address` like [`serve_within`], without a bound on what its clients make the process
/// hold.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    address: SocketAddr,
    body_limit: usize,
    handler: Handler,
    closing: watch::Receiver<ServerState>,
) -> std::io::Result<()> {
    let limits = ServerLimits {
        head_bytes: DEFAULT_HEAD_BYTES,
        body_bytes: body_limit,
        backlog: DEFAULT_BACKLOG,
        budget: Budget::unlimited(),
    };
    serve_within(address, limits, handler, closing).await
}

/// Serves `address` until the state is [`ServerState::Closed`] and all open calls are answered.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve_within(
    address: SocketAddr,
    limits: ServerLimits,
    handler: Handler,
    mut closing: watch::Receiver<ServerState>,
) -> std::io::Result<()> {
    let listener = listen(address, limits.backlog)?;
    let connections = Rc::new(Cell::new(0));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|state| *state == ServerState::Closed) => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(account) = limits.budget.admit().await else {
            limits.budget.count_refusal();
            // Without room there is nothing to wait with: the client may not get the response.
            let _ = stream.try_write(NO_ROOM);
            continue;
        };
        let guard = InFlight::new(&connections);
        let connection = Connection {
            handler: Rc::clone(&handler),
            closing: closing.clone(),
            limits: limits.clone(),
            exchange: Rc::new(Exchange::new(account)),
        };
        tokio::task::spawn_local(async move {
            connection.serve(stream).await;
            drop(guard);
        });
    }
    drop(listener);
    while connections.get() > 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Listens on `address`. Accepted connections inherit the size of the receive buffer.
fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if let Err(error) = socket.set_recv_buffer_size(RECEIVE_BUFFER as u32) {
        log::warn!("event=J010 receive buffer keeps its size address={address} error={error}");
    }
    socket.bind(address)?;
    socket.listen(backlog)
}

struct Connection {
    handler: Handler,
    closing: watch::Receiver<ServerState>,
    limits: ServerLimits,
    exchange: Rc<Exchange>,
}

impl Connection {
    async fn serve(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut closing = self.closing.clone();
        let stream = MeteredStream::new(stream, Rc::clone(&self.exchange));
        let service = service_fn(|request| self.answer(request));
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .max_buf_size(self.limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let is_evicted = tokio::select! {
            _ = connection.as_mut() => return,
            () = self.exchange.account.evicted() => true,
            _ = closing.wait_for(|state| *state == ServerState::Closed) => false,
        };
        if !is_evicted {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                _ = connection.as_mut() => return,
                () = self.exchange.account.evicted() => {}
            }
        }
        if self.exchange.in_request() {
            // The request is refused, since its body isn't complete.
            let _ = tokio::time::timeout(REFUSAL_TIME, connection).await;
        }
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, std::convert::Infallible> {
        let account = &self.exchange.account;
        let _in_request = self.exchange.begin_request();
        // Boxed, since an idle connection has room for this future.
        let answer = Box::pin(self.receive_and_handle(request)).await;
        let closes_connection = *self.closing.borrow() != ServerState::Open || account.is_evicted();
        Ok(answer.into_response(closes_connection, account))
    }

    async fn receive_and_handle(&self, request: Request<Incoming>) -> HttpResponse {
        let account = &self.exchange.account;
        let received = tokio::select! {
            received = receive(request, self.limits.body_bytes, &self.exchange) => received,
            () = account.evicted() => Err(BodyError::NoRoom.status()),
        };
        // The memory of the body is reserved until the request is handled.
        let (received, _held) = match received {
            Ok(received) => received,
            Err(StatusCode::SERVICE_UNAVAILABLE) => {
                account.count_refusal();
                return HttpResponse::no_room();
            }
            Err(status) => return HttpResponse::status(status),
        };
        let Some(_busy) = account.busy() else { return HttpResponse::no_room() };
        (self.handler)(received).await
    }
}

async fn receive(
    request: Request<Incoming>,
    body_limit: usize,
    exchange: &Rc<Exchange>,
) -> Result<(HttpRequest, Reservation), StatusCode> {
    let (parts, body) = request.into_parts();
    let text = |name: header::HeaderName| {
        parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let host = text(header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let authorization = text(header::AUTHORIZATION);
    let received = body::receive(body, body_limit, &exchange.account);
    let received = tokio::time::timeout(BODY_TIMEOUT, received)
        .await
        .map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
    let (body, held) = received.map_err(BodyError::status)?;
    let request = HttpRequest {
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        method: parts.method,
        host,
        authorization,
        headers: parts.headers,
        body,
        memory: RequestMemory(Some(Rc::clone(exchange))),
    };
    Ok((request, held))
}
