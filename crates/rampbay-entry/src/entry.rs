//! Puts an entry together and stops it.

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
    table::{self, Followers},
};

/// How often events are sent on to another entry.
const SEND_EVENTS_EVERY: Duration = Duration::from_millis(250);
/// Events that are sent on at once.
const EVENTS_AT_ONCE: usize = 32;
/// How often a stopping entry looks whether it is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Why an entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address can't be listened on.
    #[error("entry can't listen: {0}")]
    Listen(#[from] io::Error),
}

/// What the platform gives.
#[derive(Clone)]
pub struct PlatformBorders {
    /// The log.
    pub log: Arc<dyn Log>,
    /// The list of boxes.
    pub boxes: Arc<dyn Boxes>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
}

impl PlatformBorders {
    /// Meets the platform over HTTP.
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
    /// What all share.
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
    /// Starts an entry that meets the platform over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub async fn start(settings: EntrySettings) -> Result<Self, EntryError> {
        let borders = PlatformBorders::http(settings.platform);
        Self::start_with(settings, borders).await
    }

    /// Starts an entry on any platform.
    ///
    /// # Errors
    ///
    /// As [`Entry::start`].
    pub async fn start_with(
        settings: EntrySettings,
        borders: PlatformBorders,
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
            gangs: Gangs::start(shared.clone(), borders.workers.clone()),
            claims: Claims::start(shared.clone(), borders.log.clone()),
            log: borders.log.clone(),
            shared: shared.clone(),
        };
        let followers =
            Followers { dispatching: parts.dispatching.clone(), gangs: parts.gangs.clone() };
        let callers = HttpServer::start(shared.settings.callers, callers::router(&parts)).await?;
        let operators =
            HttpServer::start(shared.settings.operators, operators::router(&parts)).await?;
        shared.spawn(receive(shared.clone(), mailbox, followers.clone()));
        shared.spawn(table::follow(shared.clone(), borders.log, followers));
        let dispatching = parts.dispatching.clone();
        shared.spawn(membership::follow(shared.clone(), borders.boxes, dispatching));
        shared.spawn(send_events(shared.clone()));
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

    /// Waits until somebody asks the entry to stop.
    pub async fn asked_to_stop(&self) {
        while !self.parts.shared.is_draining() {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Takes no new requests, waits at most `longest` for those in progress, and ends.
    pub async fn drain(mut self, longest: Duration) {
        self.parts.begin_drain();
        let shared = self.parts.shared.clone();
        let until = shared.now() + longest;
        while shared.jobs.open_count() > 0 && shared.now() < until {
            tokio::time::sleep(DRAIN_LOOK).await;
        }
        self.callers.drain(longest).await;
        shared.event(Code::ProcessDrained, None, None, "");
        hand_events_on(&shared);
        // Give the link the time to pass the last events on.
        tokio::time::sleep(DRAIN_LOOK).await;
    }

    /// Ends the entry at once, as a crash does.
    pub fn kill(self) {
        drop(self);
    }
}

async fn receive(shared: Arc<Shared>, mut mailbox: Mailbox, followers: Followers) {
    while let Some(envelope) = mailbox.next().await {
        let Envelope { reply_to, .. } = envelope;
        match envelope.message {
            Message::Events(events) => shared.timeline.merge(events),
            Message::TableQuery { have } => table::answer_query(&shared, reply_to, have),
            Message::Table(record) => table::take_from_peer(&shared, &followers, &record),
            Message::Hello => {}
            _ => followers.dispatching.tell(Input::Link(Box::new(envelope))),
        }
    }
}

/// Sends events on to one other entry, so that they outlive this box.
async fn send_events(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SEND_EVENTS_EVERY).await;
        hand_events_on(&shared);
    }
}

fn hand_events_on(shared: &Shared) {
    let peers = shared.peers();
    let Some((_, addr)) = peers.first() else {
        return;
    };
    let events = shared.timeline.take_unsent(EVENTS_AT_ONCE);
    if !events.is_empty() {
        shared.outbox.send(*addr, Message::Events(events));
    }
}
