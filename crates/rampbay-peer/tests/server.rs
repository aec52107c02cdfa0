//! The server against callers that go silent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rampbay_peer::server::{Handler, HttpResponse, ServerState, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// A caller that falls silent within its body is answered and dropped, so that it can't hold an orderly
/// stop up, nor its memory for ever.
#[test]
fn body_that_stays_away_ends_its_connection() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let address = free_address().await;
        let (closing, state) = watch::channel(ServerState::Open);
        let handler: Handler =
            Rc::new(|_| Box::pin(async { HttpResponse::status(StatusCode::OK) }));
        let serving = tokio::task::spawn_local(serve(address, 1 << 20, handler, state));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nhalf";
        stream.write_all(head).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(50)).await;
        closing.send(ServerState::Closed).expect("a server");
        tokio::time::pause();
        let mut answer = String::new();
        let read = stream.read_to_string(&mut answer);
        let read = tokio::time::timeout(Duration::from_secs(60), read).await;
        assert!(read.is_ok(), "the connection is still open");
        assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
        let served = tokio::time::timeout(Duration::from_secs(5), serving).await;
        assert!(served.is_ok(), "the server still waits for the call");
    });
}
