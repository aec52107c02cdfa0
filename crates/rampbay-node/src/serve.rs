//! The HTTP server of a process, built on the salvo library.

use std::{io, net::SocketAddr, time::Duration};

use salvo::{
    Router, Server, conn::tcp::TcpAcceptor, fuse::FuseConfig, http::StatusCode, prelude::Text,
    server::ServerHandle,
};
use serde::Serialize;
use tokio::net::TcpListener;

/// The most connections that a server keeps open.
pub const MAX_CONNECTIONS: usize = 16_384;
/// Time in which a caller must have sent its request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which a caller must have sent its whole body, or read some of an answer.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP server that runs until it is stopped or dropped.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    handle: ServerHandle,
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Serves a router at an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(addr: SocketAddr, router: Router) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let acceptor = TcpAcceptor::try_from(listener)?;
        let fuse = FuseConfig::default()
            .with_http1_header_timeout(HEAD_TIMEOUT)
            .with_request_body_timeout(BODY_TIMEOUT)
            .with_write_stall_timeout(BODY_TIMEOUT);
        let server = Server::new(acceptor).max_connections(MAX_CONNECTIONS).fuse_config(fuse);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Ok(Self { addr, handle, task })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts no new connections and waits until requests in progress are answered, at most for
    /// `max_wait`.
    pub async fn drain(&mut self, max_wait: Duration) {
        self.handle.stop_graceful(max_wait);
        // The task ends when the last answer is out; a panic in it has been logged by then.
        let _ = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Writes a value as the JSON answer.
pub fn render_json(res: &mut salvo::Response, status: StatusCode, value: &impl Serialize) {
    res.status_code(status);
    match serde_json::to_string(value) {
        Ok(text) => res.render(Text::Json(text)),
        Err(_) => {
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}
