//! The client against servers whose open connections go silent.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use rampbay_peer::client::{Call, CallError, HttpClient};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which a call is given up.
const TIMEOUT: Duration = Duration::from_millis(200);
/// Time that the server takes for an answer, so that calls made together need a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(20);

/// A server that answers each request on a connection, until that connection goes silent for good.
struct Server {
    address: String,
    /// Connections taken later than so many are sound.
    silent_up_to: Rc<Cell<usize>>,
    taken: Rc<Cell<usize>>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let silent_up_to = Rc::new(Cell::new(0));
        let taken = Rc::new(Cell::new(0));
        let (silent, count) = (Rc::clone(&silent_up_to), Rc::clone(&taken));
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                count.set(count.get() + 1);
                tokio::task::spawn_local(serve(stream, count.get(), Rc::clone(&silent)));
            }
        });
        Self { address, silent_up_to, taken }
    }

    /// Lets all open connections go silent; new ones are sound.
    fn silence_open_connections(&self) {
        self.silent_up_to.set(self.taken.get());
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
            // Neither an answer nor an end.
            std::future::pending::<()>().await;
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    }
}

fn on_loopback<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Several connections that are kept open go silent at once: one call is lost, not one for each.
#[test]
fn call_after_silence_uses_new_connection() {
    on_loopback(async {
        let server = Server::start().await;
        let client = HttpClient::default();
        let call = || client.call(server.call());
        let (one, two, three) = tokio::join!(call(), call(), call());
        assert!(one.is_ok() && two.is_ok() && three.is_ok());
        assert_eq!(server.taken.get(), 3, "three connections are kept");
        server.silence_open_connections();
        assert_eq!(call().await.err(), Some(CallError::NoAnswer));
        for _ in 0..3 {
            assert!(call().await.is_ok(), "the others are closed, not tried in turn");
        }
    });
}

/// A call that is under way on a sound connection outlasts the closing of the idle ones.
#[test]
fn call_under_way_outlasts_closing_of_idle_ones() {
    on_loopback(async {
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

/// A server that is silent doesn't hold up calls to another.
#[test]
fn call_to_other_address_keeps_its_connection() {
    on_loopback(async {
        let (silent, sound) = (Server::start().await, Server::start().await);
        let client = HttpClient::default();
        assert!(client.call(silent.call()).await.is_ok());
        assert!(client.call(sound.call()).await.is_ok());
        silent.silence_open_connections();
        assert!(client.call(silent.call()).await.is_err());
        assert!(client.call(sound.call()).await.is_ok());
        assert_eq!(sound.taken.get(), 1);
    });
}
