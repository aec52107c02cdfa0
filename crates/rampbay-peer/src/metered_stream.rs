//! A connection whose reads are bounded, and reserved from its account.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::budget::{Account, Exhausted, Reservation};

/// Largest number of bytes read at once. It is smaller than the HTTP library's read buffer, which
/// grows after a read that fills it.
const READ_BYTES: usize = 4 << 10;
/// Bytes of a head that the price of a connection covers.
const HEAD_ALLOWANCE: usize = 8 << 10;
/// Smallest step by which the reservation for a head grows.
const HEAD_STEP: usize = 16 << 10;
/// Memory held for each byte of a head: a buffer that doubles as it grows.
const HEAD_OVERHEAD: usize = 2;

/// A connection and the request that is on it, shared between its stream and its service.
#[derive(Debug)]
pub struct Exchange {
    /// Account of the connection.
    pub(crate) account: Account,
    /// Whether the head of a request is complete, and its response isn't.
    in_request: Cell<bool>,
    /// Bytes read since the last request, all of which belong to a head.
    head_bytes: Cell<usize>,
}

impl Exchange {
    /// Creates the state of a new connection.
    #[must_use]
    pub const fn new(account: Account) -> Self {
        Self { account, in_request: Cell::new(false), head_bytes: Cell::new(0) }
    }

    /// Returns whether a request is being received or handled.
    #[must_use]
    pub const fn in_request(&self) -> bool {
        self.in_request.get()
    }

    /// Marks the head of a request as complete, until the guard is dropped.
    #[must_use]
    pub fn begin_request(&self) -> RequestGuard<'_> {
        self.in_request.set(true);
        self.head_bytes.set(0);
        RequestGuard(&self.in_request)
    }
}

/// A request that is being received or handled, until this is dropped.
#[derive(Debug)]
pub struct RequestGuard<'a>(&'a Cell<bool>);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

type Growing = Pin<Box<dyn Future<Output = Result<Reservation, Exhausted>>>>;

/// The reservation for heads. A buffer that has grown isn't given back by the HTTP library, so the
/// reservation lasts as long as the connection.
enum HeadRoom {
    Held(Reservation),
    Growing(Growing),
}

/// A stream that reserves memory for heads before it reads them, and records progress.
pub struct MeteredStream {
    stream: TcpStream,
    exchange: Rc<Exchange>,
    head_room: Option<HeadRoom>,
}

impl MeteredStream {
    /// Meters a stream.
    #[must_use]
    pub fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Self {
        let head_room = Some(HeadRoom::Held(exchange.account.reservation()));
        Self { stream, exchange, head_room }
    }

    /// Waits until there is room for the next read of a head.
    fn poll_head_room(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Exhausted>> {
        let next = self.exchange.head_bytes.get() + READ_BYTES;
        let needed = next.saturating_sub(HEAD_ALLOWANCE) * HEAD_OVERHEAD;
        loop {
            match self.head_room.take() {
                Some(HeadRoom::Held(held)) if held.bytes() < needed => {
                    let bytes = needed.max(held.bytes() + HEAD_STEP);
                    self.head_room = Some(HeadRoom::Growing(Box::pin(grow(held, bytes))));
                }
                Some(HeadRoom::Growing(mut growing)) => match growing.as_mut().poll(cx) {
                    Poll::Ready(held) => self.head_room = Some(HeadRoom::Held(held?)),
                    Poll::Pending => {
                        self.head_room = Some(HeadRoom::Growing(growing));
                        return Poll::Pending;
                    }
                },
                Some(HeadRoom::Held(held)) => {
                    self.head_room = Some(HeadRoom::Held(held));
                    return Poll::Ready(Ok(()));
                }
                None => return Poll::Ready(Err(Exhausted)),
            }
        }
    }
}

async fn grow(mut held: Reservation, bytes: usize) -> Result<Reservation, Exhausted> {
    held.grow_to(bytes).await?;
    Ok(held)
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let in_head = !self.exchange.in_request();
        if in_head && let Err(exhausted) = ready!(self.poll_head_room(cx)) {
            self.exchange.account.count_refusal();
            return Poll::Ready(Err(io::Error::other(exhausted)));
        }
        // The buffer is touched only once something has arrived.
        ready!(self.stream.poll_read_ready(cx))?;
        let size = buf.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(size));
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        self.exchange.account.record_progress();
        if in_head {
            self.exchange.head_bytes.set(self.exchange.head_bytes.get() + read);
        }
        Poll::Ready(Ok(()))
    }
}

impl MeteredStream {
    fn record_write(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(bytes)) if bytes > 0) {
            self.exchange.account.record_progress();
        }
        written
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
