//! Starts, drains and stops an entry.

use std::{io, net::SocketAddr, sync::Arc, sync::atomic::Ordering, time::Duration};

use rampbay_core::ids::ProcessId;
use rampbay_node::{draw_incarnation, serve::HttpServer};
use rampbay_platform::{
    boxes::Boxes,
    http::{HttpBoxes, HttpLog, HttpWorkers},
    log::Log,
    workers::Workers,
};
use rampbay_wire::{
    clock::Clock,
    envelope::{Envelope, Message},
    event::Code,
    mailbox::{LinkCounts, Mailbox, Outbox},
};
use thiserror::Error;

use crate::{
    callers,
    claims::Claims,
    dispatching::{Dispatching, Input},
    gangs::Gangs,
    membership, operators,
    settings::EntrySettings,
    shared::Shared,
    table::{self, TableConsumers},
};

/// Interval at which events are forwarded to another entry.
const FORWARD_EVENTS_INTERVAL: Duration = Duration::from_millis(250);
/// Most events that are forwarded in one message.
const MAX_EVENTS_PER_MESSAGE: usize = 32;
/// Interval at which the entry checks whether a drain was requested or is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be listened on.
    #[error("entry can't listen: {0}")]
    Listen(#[from] io::Error),
}

/// Clients of the platform's services.
#[derive(Clone)]
pub struct PlatformClients {
    /// The log.
    pub log: Arc<dyn Log>,
    /// The list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
}

impl PlatformClients {
    /// Creates clients that reach the platform over HTTP.
    #[must_use]
    pub fn http(addr: SocketAddr) -> Self {
        Self {
            log: Arc::new(HttpLog::new(addr)),
            boxes: Arc::new(HttpBoxes::new(addr)),
            workers: Arc::new(HttpWorkers::new(addr)),
        }
    }
}

/// The parts of a running entry that requests go through.
#[derive(Clone)]
pub struct Parts {
    /// The state that all parts share.
    pub shared: Arc<Shared>,
    /// The dispatcher.
    pub dispatching: Dispatching,
    /// The planner.
    pub gangs: Gangs,
    /// The claims.
    pub claims: Claims,
    /// The log.
    pub log: Arc<dyn Log>,
}

impl Parts {
    /// Takes no new requests from now on.
    pub fn begin_drain(&self) {
        if !self.shared.draining.swap(true, Ordering::Relaxed) {
            self.shared.event(Code::ProcessDraining, None, None, "");
        }
    }
}

/// A running entry.
pub struct Entry {
    parts: Parts,
    callers: HttpServer,
    operators: HttpServer,
    mailbox: SocketAddr,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.parts.shared.abort_tasks();
        self.parts.shared.outbox.retain(&[]);
    }
}

impl Entry {
    /// Starts an entry that reaches the platform over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let clients = PlatformClients::http(settings.platform);
        Self::start_with(settings, clients).await
    }

    /// Starts an entry with any clients of a platform.
    ///
    /// # Errors
    ///
    /// As [`Entry::start`].
    pub async fn start_with(
        settings: EntrySettings,
        clients: PlatformClients,
    ) -> Result<Self, EntryError> {
        let incarnation = draw_incarnation();
        let clock = Arc::new(Clock::new(incarnation));
        let counts = Arc::new(LinkCounts::default());
        let mailbox = Mailbox::listen(settings.mailbox, clock.clone(), counts.clone()).await?;
        let addr = mailbox.addr();
        let outbox =
            Outbox::new(settings.id.clone(), incarnation, addr, clock.clone(), counts.clone());
        let shared = Arc::new(Shared::new(settings, incarnation, clock, outbox, counts));
        let parts = Parts {
            dispatching: Dispatching::start(shared.clone()),
            gangs: Gangs::start(shared.clone(), clients.workers.clone()),
            claims: Claims::start(shared.clone(), clients.log.clone()),
            log: clients.log.clone(),
            shared: shared.clone(),
        };
        let consumers =
            TableConsumers { dispatching: parts.dispatching.clone(), gangs: parts.gangs.clone() };
        let callers = HttpServer::start(shared.settings.callers, callers::router(&parts)).await?;
        let operators =
            HttpServer::start(shared.settings.operators, operators::router(&parts)).await?;
        shared.spawn(receive(shared.clone(), mailbox, consumers.clone()));
        shared.spawn(table::follow(shared.clone(), clients.log, consumers));
        let dispatching = parts.dispatching.clone();
        shared.spawn(membership::follow(shared.clone(), clients.boxes, dispatching));
        shared.spawn(forward_events_periodically(shared.clone()));
        shared.event(Code::ProcessStarted, None, None, format!("incarnation {incarnation:x}"));
        Ok(Self { parts, callers, operators, mailbox: addr })
    }

    /// Returns the entry's name.
    #[must_use]
    pub fn id(&self) -> &ProcessId {
        &self.parts.shared.settings.id
    }

    /// Returns the address for callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn operators(&self) -> SocketAddr {
        self.operators.addr()
    }

    /// Returns the address of the mailbox.
    #[must_use]
    pub const fn mailbox(&self) -> SocketAddr {
        self.mailbox
    }

    /// Returns the parts that requests go through.
    #[must_use]
    pub const fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Waits until the entry is draining, for example after an operator's drain request.
    pub async fn asked_to_stop(&self) {
        while !self.parts.shared.is_draining() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    /// Takes no new requests, waits at most `longest` for those in progress, and ends.
    pub async fn drain(mut self, longest: Duration) {
        self.parts.begin_drain();
        let shared = self.parts.shared.clone();
        let until = shared.now() + longest;
        while shared.jobs.open_count() > 0 && shared.now() < until {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.callers.drain(longest).await;
        shared.event(Code::ProcessDrained, None, None, "");
        forward_events(&shared);
        // Gives the link time to send the last events.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }

    /// Stops the entry at once without a drain, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

async fn receive(shared: Arc<Shared>, mut mailbox: Mailbox, consumers: TableConsumers) {
    while let Some(envelope) = mailbox.next().await {
        let Envelope { reply_to, .. } = envelope;
        match envelope.message {
            Message::Events(events) => shared.timeline.merge(events),
            Message::TableQuery { have } => table::answer_query(&shared, reply_to, have),
            Message::Table(record) => table::take_from_peer(&shared, &consumers, &record),
            Message::Hello => {}
            _ => consumers.dispatching.tell(Input::Link(Box::new(envelope))),
        }
    }
}

/// Forwards events to one other entry, so that they survive the loss of this box.
async fn forward_events_periodically(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(FORWARD_EVENTS_INTERVAL).await;
        forward_events(&shared);
    }
}

fn forward_events(shared: &Shared) {
    let peers = shared.peers();
    let Some((_, addr)) = peers.first() else {
        return;
    };
    let events = shared.timeline.take_unsent(MAX_EVENTS_PER_MESSAGE);
    if !events.is_empty() {
        shared.outbox.send(*addr, Message::Events(events));
    }
}
