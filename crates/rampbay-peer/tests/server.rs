//! The server: callers that stop sending, and what it serves however it is sent.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use rampbay_peer::budget::{Budget, BudgetLimits};
use rampbay_peer::server::{
    DEFAULT_BACKLOG, Handler, HttpResponse, ServerLimits, ServerState, serve, serve_within,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// A caller that stops sending in the middle of a body gets a response and is disconnected, so that
/// it can't delay a graceful shutdown, nor occupy memory forever.
#[test]
fn incomplete_body_ends_connection() {
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

/// Largest body that the server takes.
const LARGEST_BODY: usize = 262_144;

/// Starts a server whose budget is smaller than the largest body, and which answers with the size
/// of the body.
async fn start_small_server() -> SocketAddr {
    let address = free_address().await;
    let handler: Handler = Rc::new(|request| {
        let length = request.body.len().to_string();
        Box::pin(async { HttpResponse::with_body(StatusCode::OK, "text/plain", length) })
    });
    let budget = Budget::new("test", BudgetLimits { bytes: 100_000, connections: 4 });
    let limits = ServerLimits {
        head_bytes: 64 << 10,
        body_bytes: LARGEST_BODY,
        backlog: DEFAULT_BACKLOG,
        budget,
    };
    let (closing, state) = watch::channel(ServerState::Open);
    tokio::task::spawn_local(async move {
        let served = serve_within(address, limits, handler, state).await;
        drop(closing);
        served
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    address
}

/// Sends pieces, each after the one before has left, and returns everything that is answered.
async fn exchange(address: SocketAddr, pieces: &[Vec<u8>]) -> String {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("a socket");
    let (mut reader, mut writer) = stream.into_split();
    let reading = tokio::task::spawn_local(async move {
        let mut answer = Vec::new();
        // A connection that is reset has answered what it has answered.
        let _ = reader.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    });
    for piece in pieces {
        if writer.write_all(piece).await.is_err() {
            break;
        }
        tokio::task::yield_now().await;
    }
    reading.await.expect("read")
}

fn on_small_server(pieces: &[Vec<u8>]) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let address = start_small_server().await;
        exchange(address, pieces).await
    })
}

const SIZED: &str = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";

fn sized_head(length: usize) -> Vec<u8> {
    format!("{SIZED}content-length: {length}\r\n\r\n").into_bytes()
}

fn in_chunks(size: usize, total: usize) -> Vec<Vec<u8>> {
    let head = format!("{SIZED}transfer-encoding: chunked\r\n\r\n").into_bytes();
    let chunk = [format!("{size:x}\r\n").into_bytes(), vec![b'a'; size], b"\r\n".to_vec()];
    vec![head, chunk.concat().repeat(total / size), b"0\r\n\r\n".to_vec()]
}

/// A single request inside the limits is served, however it is cut, also by a server whose budget
/// is smaller than the request.
#[rstest]
#[case::whole(vec![sized_head(LARGEST_BODY), vec![b'a'; LARGEST_BODY]])]
#[case::in_pieces([vec![sized_head(LARGEST_BODY)], vec![vec![b'a'; 1024]; LARGEST_BODY / 1024]].concat())]
#[case::large_chunks(in_chunks(65_536, LARGEST_BODY))]
#[case::chunks_of_4_kb(in_chunks(4096, LARGEST_BODY))]
#[case::chunks_of_one_byte(in_chunks(1, LARGEST_BODY))]
fn largest_body_served(#[case] pieces: Vec<Vec<u8>>) {
    let answer = on_small_server(&pieces);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("262144"), "{answer}");
}

/// The largest head is served, in one piece and in pieces, after an empty line.
#[rstest]
#[case::whole(16_384)]
#[case::in_pieces(100)]
fn largest_head_served(#[case] piece: usize) {
    let start = format!("\r\n{SIZED}content-length: 1\r\nx: ");
    let value = "a".repeat(16_384 - start.len());
    let request = format!("{start}{value}\r\n\r\nb").into_bytes();
    let pieces: Vec<Vec<u8>> = request.chunks(piece).map(<[u8]>::to_vec).collect();
    let answer = on_small_server(&pieces);
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with('1'), "{answer}");
}

/// Requests that are sent without waiting for answers are answered in order.
#[test]
fn pipelined_requests_served() {
    let request = |length: usize, last: bool| {
        let close = if last { "connection: close\r\n" } else { "" };
        let head = format!("POST / HTTP/1.1\r\nhost: a\r\n{close}content-length: {length}\r\n\r\n");
        [head.into_bytes(), vec![b'a'; length]].concat()
    };
    let answer = on_small_server(&[(0..50).flat_map(|n| request(n * 100, n == 49)).collect()]);
    let sizes: Vec<&str> = answer.split("\r\n\r\n").skip(1).collect();
    assert_eq!(sizes.len(), 50, "{answer}");
    assert!((0..50).all(|n: usize| sizes[n].starts_with(&(n * 100).to_string())), "{answer}");
}

/// A client that asks first is told to go on.
#[test]
fn expect_continue_served() {
    let head = format!("{SIZED}expect: 100-continue\r\ncontent-length: 4\r\n\r\n").into_bytes();
    let answer = on_small_server(&[head, b"body".to_vec()]);
    assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"), "{answer}");
}

/// Sends everything before anything is read, as simple clients do.
async fn send_then_read(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // A client that is refused may find that it can't send the rest.
    let _ = stream.write_all(request).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A client whose body is too large learns that, also if it sends all of it before it reads. A
/// connection that is closed with unread bytes is reset, and the response may be lost.
#[rstest]
#[case::announced([sized_head(4 * LARGEST_BODY), vec![b'a'; 4 * LARGEST_BODY]].concat())]
#[case::in_chunks(in_chunks(65_536, 4 * LARGEST_BODY).concat())]
fn too_large_body_refused(#[case] request: Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let address = start_small_server().await;
        for _ in 0..20 {
            let answer = send_then_read(address, &request).await;
            assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        }
    });
}

/// A client that connects while all connections are busy is told to come back.
#[test]
fn newcomer_refused_while_all_busy() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let address = free_address().await;
        let handler: Handler = Rc::new(|_| Box::pin(std::future::pending()));
        let budget = Budget::new("test", BudgetLimits { bytes: 1 << 20, connections: 1 });
        let limits = ServerLimits {
            head_bytes: 64 << 10,
            body_bytes: LARGEST_BODY,
            backlog: DEFAULT_BACKLOG,
            budget,
        };
        let (_closing, state) = watch::channel(ServerState::Open);
        tokio::task::spawn_local(serve_within(address, limits, handler, state));
        tokio::time::sleep(Duration::from_millis(50)).await;
        let mut busy = TcpStream::connect(address).await.expect("a connection");
        busy.write_all(&sized_head(0)).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(50)).await;
        let answer = send_then_read(address, b"").await;
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(answer.contains("retry-after: 1"), "{answer}");
    });
}
