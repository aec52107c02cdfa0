//! The client against servers whose open connections stop responding.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rampbay_peer::client::{Call, CallError, HttpClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Time that the server takes to answer, so that concurrent calls need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// A server that answers each request on a connection, until that connection stops responding for
/// good.
struct Server {
    address: String,
    /// Connections up to this number don't respond any more; later ones do.
    silent_up_to: Rc<Cell<usize>>,
    accepted: Rc<Cell<usize>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let silent_up_to = Rc::new(Cell::new(0));
        let accepted = Rc::new(Cell::new(0));
        let (silent, count) = (Rc::clone(&silent_up_to), Rc::clone(&accepted));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.set(count.get() + 1);
                tokio::task::spawn_local(serve(stream, count.get(), Rc::clone(&silent)));
            }
        });
        Self { address, silent_up_to, accepted }
    }

    /// Stops responses on all open connections; new ones respond.
    fn silence_open_connections(&self) {
        self.silent_up_to.set(self.accepted.get());
    }

    fn call(&self) -> Call {
        Call {
            method: Method::GET,
            address: self.address.clone(),
            path: "/".to_owned(),
            headers: Vec::new(),
            content_type: None,
            body: Bytes::new(),
            timeout: TIMEOUT,
        }
    }
}

async fn serve(mut stream: TcpStream, number: usize, silent_up_to: Rc<Cell<usize>>) {
    let mut buf = [0; 1024];
    while let Ok(read) = stream.read(&mut buf).await {
        if read == 0 {
            return;
        }
        tokio::time::sleep(ANSWER_TIME).await;
        if number <= silent_up_to.get() {
            // Neither responds nor closes the connection.
            std::future::pending::<()>().await;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    }
}

fn run_on_loopback<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Several pooled connections stop responding at once: one call is lost, not one for each
/// connection.
#[test]
fn call_after_silence_uses_new_connection() {
    run_on_loopback(async {
        let server = Server::start().await;
        let client = HttpClient::default();
        let call = || client.call(server.call());
        let (one, two, three) = tokio::join!(call(), call(), call());
        assert!(one.is_ok() && two.is_ok() && three.is_ok());
        assert_eq!(server.accepted.get(), 3, "three connections are kept");
        server.silence_open_connections();
        assert_eq!(call().await.err(), Some(CallError::NoAnswer));
        for _ in 0..3 {
            assert!(call().await.is_ok(), "the others are closed, not tried in turn");
        }
    });
}

/// A call in progress on a working connection continues while the idle connections are closed.
#[test]
fn call_in_progress_survives_closing_of_idle_connections() {
    run_on_loopback(async {
        let server = Server::start().await;
        let client = HttpClient::default();
        assert!(client.call(server.call()).await.is_ok());
        server.silence_open_connections();
        let late = async {
            tokio::time::sleep(TIMEOUT - ANSWER_TIME / 2).await;
            client.call(server.call()).await
        };
        let (lost, served) = tokio::join!(client.call(server.call()), late);
        assert_eq!(lost.err(), Some(CallError::NoAnswer));
        assert!(served.is_ok());
    });
}

/// A server that doesn't respond has no effect on calls to another server.
#[test]
fn call_to_other_address_keeps_its_connection() {
    run_on_loopback(async {
        let (silent, working) = (Server::start().await, Server::start().await);
        let client = HttpClient::default();
        assert!(client.call(silent.call()).await.is_ok());
        assert!(client.call(working.call()).await.is_ok());
        silent.silence_open_connections();
        assert!(client.call(silent.call()).await.is_err());
        assert!(client.call(working.call()).await.is_ok());
        assert_eq!(working.accepted.get(), 1);
    });
}
