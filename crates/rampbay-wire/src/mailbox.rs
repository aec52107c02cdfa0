//! The mailbox and the outbox of a process, over nng pipelines.

use std::{
    collections::HashMap,
    ffi::CString,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anng::{Message as NngMessage, protocols::pipeline0};
use rampbay_core::ids::{Incarnation, ProcessId};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    clock::Clock,
    envelope::{Envelope, Message},
};

/// The most messages that are queued for one peer; further ones are dropped and counted.
const PEER_QUEUE: usize = 4_096;
/// The most received messages that are queued; when the queue is full, the mailbox stops reading
/// from its socket.
const INBOX_QUEUE: usize = 8_192;
/// Longest time to push one message to a peer; after that the message is dropped.
const PUSH_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a failed connection to a peer.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);

/// Counts of a process's messages, for metrics and for the capacity page.
#[derive(Debug, Default)]
pub struct LinkCounts {
    sent: Mutex<HashMap<&'static str, (u64, u64)>>,
    /// Messages dropped because a peer was unreachable or accepted none.
    pub dropped: AtomicU64,
    /// Messages that could not be read.
    pub unreadable: AtomicU64,
}

impl LinkCounts {
    fn count(&self, kind: &'static str, bytes: usize) {
        let mut sent = self.sent.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let row = sent.entry(kind).or_default();
        row.0 += 1;
        row.1 += bytes as u64;
    }

    /// Returns messages and bytes sent, by kind.
    #[must_use]
    pub fn sent(&self) -> Vec<(&'static str, u64, u64)> {
        let sent = self.sent.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let mut rows: Vec<_> =
            sent.iter().map(|(kind, (messages, bytes))| (*kind, *messages, *bytes)).collect();
        rows.sort_unstable();
        rows
    }
}

/// The incoming side of a process's link.
#[derive(Debug)]
pub struct Mailbox {
    addr: SocketAddr,
    rx: mpsc::Receiver<Envelope>,
    task: tokio::task::JoinHandle<()>,
}

impl Mailbox {
    /// Listens on an address; port 0 takes a free one.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn listen(
        addr: SocketAddr,
        clock: Arc<Clock>,
        counts: Arc<LinkCounts>,
    ) -> io::Result<Self> {
        let mut socket = pipeline0::Pull0::socket()?;
        let bound = {
            let listener = socket.listen_tcp(addr, &anng::pipes::TcpOptions::default()).await?;
            listener.local_addr()?
        };
        let (tx, rx) = mpsc::channel(INBOX_QUEUE);
        let task = tokio::spawn(async move {
            while let Ok(buf) = socket.pull().await {
                match Envelope::decode(buf.as_slice()) {
                    Ok(envelope) => {
                        clock.observe(envelope.stamp);
                        if tx.send(envelope).await.is_err() {
                            return;
                        }
                    }
                    Err(e) => {
                        counts.unreadable.fetch_add(1, Ordering::Relaxed);
                        log::warn!("message dropped: {e}");
                    }
                }
            }
        });
        Ok(Self { addr: bound, rx, task })
    }

    /// Returns the address that is listened on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits for the next message; `None` once the mailbox is closed.
    pub async fn next(&mut self) -> Option<Envelope> {
        self.rx.recv().await
    }
}

impl Drop for Mailbox {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The outgoing side of a process's link. Sending never waits.
#[derive(Debug)]
pub struct Outbox {
    from: ProcessId,
    incarnation: Incarnation,
    reply_to: SocketAddr,
    clock: Arc<Clock>,
    counts: Arc<LinkCounts>,
    peers: Mutex<HashMap<SocketAddr, mpsc::Sender<Vec<u8>>>>,
}

impl Outbox {
    /// Creates the outgoing side for a process whose mailbox is at `reply_to`.
    #[must_use]
    pub fn new(
        from: ProcessId,
        incarnation: Incarnation,
        reply_to: SocketAddr,
        clock: Arc<Clock>,
        counts: Arc<LinkCounts>,
    ) -> Self {
        Self { from, incarnation, reply_to, clock, counts, peers: Mutex::new(HashMap::new()) }
    }

    /// Sends a message to the mailbox at `to`, at most once.
    ///
    /// The message is dropped and counted if the peer's queue is full, or if the peer is
    /// unreachable or accepts no message.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let kind = message.kind();
        let envelope = Envelope {
            from: self.from.clone(),
            incarnation: self.incarnation,
            reply_to: self.reply_to,
            stamp: self.clock.stamp(),
            message,
        };
        let buf = match envelope.encode() {
            Ok(buf) => buf,
            Err(e) => {
                log::error!("message not sent: {e}");
                return;
            }
        };
        self.counts.count(kind, buf.len());
        if self.peer(to).try_send(buf).is_err() {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn peer(&self, to: SocketAddr) -> mpsc::Sender<Vec<u8>> {
        let mut peers = self.peers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        peers
            .entry(to)
            .or_insert_with(|| {
                let (tx, rx) = mpsc::channel(PEER_QUEUE);
                tokio::spawn(push_to(to, rx, self.counts.clone()));
                tx
            })
            .clone()
    }

    /// Closes the connections to peers that aren't in `keep`.
    pub fn retain(&self, keep: &[SocketAddr]) {
        let mut peers = self.peers.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        peers.retain(|addr, _| keep.contains(addr));
    }
}

async fn push_to(to: SocketAddr, mut rx: mpsc::Receiver<Vec<u8>>, counts: Arc<LinkCounts>) {
    let Ok(url) = CString::new(format!("tcp://{to}")) else {
        return;
    };
    let mut socket = loop {
        match pipeline0::Push0::dial(&url).await {
            Ok(socket) => break socket,
            Err(_) if rx.is_closed() => return,
            Err(_) => {
                // Messages queued for an unreachable peer are dropped: the sender sends them
                // again if they are still needed.
                while rx.try_recv().is_ok() {
                    counts.dropped.fetch_add(1, Ordering::Relaxed);
                }
                tokio::time::sleep(REDIAL_PAUSE).await;
            }
        }
    };
    while let Some(buf) = rx.recv().await {
        let mut message = NngMessage::with_capacity(buf.len());
        if io::Write::write_all(&mut message, &buf).is_err() {
            continue;
        }
        if !matches!(timeout(PUSH_TIMEOUT, socket.push(message)).await, Ok(Ok(()))) {
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}
