//! The side process: its mailbox, its register of attempts, and its reports to the entries.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rampbay_core::ids::{Incarnation, JobId, ProcessId};
use rampbay_dispatch::{
    message::{AttemptId, Load},
    register::{Action, Register},
};
use rampbay_node::{draw_incarnation, logs, metrics::Metrics, serve::HttpServer};
use rampbay_platform::{http::HttpUpstream, upstream::Upstream};
use rampbay_wire::{
    clock::Clock,
    envelope::{Envelope, Message},
    event::{Code, Timeline},
    mailbox::{LinkCounts, Mailbox, Outbox},
};
use thiserror::Error;
use tokio::{
    sync::{mpsc, watch},
    task::{AbortHandle, JoinHandle},
};

use crate::{
    http::{self, Health},
    run::{self, Done},
    settings::SideSettings,
};

/// Interval at which waiting attempts, silent entries, due reports and unsent events are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest interval between reports of a changed load.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which an unchanged load is reported as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// An entry that hasn't sent a message for this long gets no more reports.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(10);
/// Most events that the time line of a side process keeps.
const TIMELINE_EVENTS: usize = 2_048;
/// Most events that are forwarded in one message.
const MAX_EVENTS_PER_MESSAGE: usize = 64;

/// Why a side process can't start.
#[derive(Debug, Error)]
pub enum SideError {
    /// An address can't be listened on.
    #[error("side process can't listen: {0}")]
    Listen(#[from] io::Error),
}

/// A command to the side process's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Take no new work, and end once all attempts have ended.
    Drain,
}

/// A running side process.
#[derive(Debug)]
pub struct Side {
    id: ProcessId,
    mailbox: SocketAddr,
    http: SocketAddr,
    commands: mpsc::UnboundedSender<Command>,
    counts: Arc<LinkCounts>,
    task: JoinHandle<()>,
    _serving: HttpServer,
}

impl Side {
    /// Starts a side process that calls its upstream over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub async fn start(settings: SideSettings) -> Result<Self, SideError> {
        let upstream = HttpUpstream::new(settings.upstream, settings.connections);
        Self::start_with(settings, Arc::new(upstream)).await
    }

    /// Starts a side process with any client of an upstream.
    ///
    /// # Errors
    ///
    /// As [`Side::start`].
    pub async fn start_with(
        settings: SideSettings,
        upstream: Arc<dyn Upstream>,
    ) -> Result<Self, SideError> {
        let incarnation = draw_incarnation();
        let clock = Arc::new(Clock::new(incarnation));
        let counts = Arc::new(LinkCounts::default());
        let mailbox = Mailbox::listen(settings.mailbox, clock.clone(), counts.clone()).await?;
        let addr = mailbox.addr();
        let outbox =
            Outbox::new(settings.id.clone(), incarnation, addr, clock.clone(), counts.clone());
        let (commands, commands_rx) = mpsc::unbounded_channel();
        let (health_tx, health) = watch::channel(Health { serving: true, used: 0, waiting: 0 });
        let metrics = Metrics::default();
        let router = http::router(&metrics, &health, &commands);
        let serving = HttpServer::start(settings.http, router).await?;
        let (done_tx, done_rx) = mpsc::unbounded_channel();
        let state = State {
            register: Register::new(incarnation, settings.slots, settings.queue),
            timeline: Timeline::new(settings.id.clone(), TIMELINE_EVENTS),
            started: Instant::now(),
            entries: HashMap::new(),
            running: HashMap::new(),
            reported: None,
            reported_at: Duration::ZERO,
            draining: false,
            attempts: metrics.counters("attempts", "Attempts by what became of them"),
            slots: metrics.gauges("slots_used", "Slots of the upstream in use"),
            id: settings.id.clone(),
            max_answer: settings.max_answer_bytes,
            clock,
            outbox,
            upstream,
            done_tx,
            health_tx,
        };
        let http = serving.addr();
        let id = settings.id;
        let task = tokio::spawn(state.run(incarnation, mailbox, done_rx, commands_rx));
        Ok(Self { id, mailbox: addr, http, commands, counts, task, _serving: serving })
    }

    /// Returns the process's name.
    #[must_use]
    pub const fn id(&self) -> &ProcessId {
        &self.id
    }

    /// Returns the address of its mailbox.
    #[must_use]
    pub const fn mailbox(&self) -> SocketAddr {
        self.mailbox
    }

    /// Returns the address of its HTTP server.
    #[must_use]
    pub const fn http(&self) -> SocketAddr {
        self.http
    }

    /// Returns the counts of messages on its link.
    #[must_use]
    pub const fn link_counts(&self) -> &Arc<LinkCounts> {
        &self.counts
    }

    /// Starts a drain without waiting for its end.
    pub fn begin_drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Takes no new work and waits until all attempts have ended.
    pub async fn drain(mut self) {
        self.begin_drain();
        // The task isn't aborted here, so the only error is a panic, which has been logged.
        let _ = (&mut self.task).await;
    }

    /// Waits until the process has drained, which another task or an operator may request.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Stops the process at once without a drain, as a crash would.
    pub fn kill(self) {
        self.task.abort();
    }
}

impl Drop for Side {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct State {
    id: ProcessId,
    register: Register,
    timeline: Timeline,
    clock: Arc<Clock>,
    outbox: Outbox,
    upstream: Arc<dyn Upstream>,
    max_answer: usize,
    started: Instant,
    /// Entries that sent a message, with their mailbox and the time of their last message.
    entries: HashMap<ProcessId, (SocketAddr, Duration)>,
    running: HashMap<AttemptId, AbortHandle>,
    reported: Option<Load>,
    reported_at: Duration,
    draining: bool,
    done_tx: mpsc::UnboundedSender<Done>,
    health_tx: watch::Sender<Health>,
    attempts: prometheus_client::metrics::family::Family<
        rampbay_node::metrics::Labels,
        prometheus_client::metrics::counter::Counter<u64, std::sync::atomic::AtomicU64>,
    >,
    slots: prometheus_client::metrics::family::Family<
        rampbay_node::metrics::Labels,
        prometheus_client::metrics::gauge::Gauge,
    >,
}

impl State {
    async fn run(
        mut self,
        incarnation: Incarnation,
        mut mailbox: Mailbox,
        mut done_rx: mpsc::UnboundedReceiver<Done>,
        mut commands: mpsc::UnboundedReceiver<Command>,
    ) {
        self.event(Code::ProcessStarted, None, format!("incarnation {incarnation:x}"));
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                envelope = mailbox.next() => {
                    let Some(envelope) = envelope else { return };
                    self.receive(envelope);
                }
                Some(done) = done_rx.recv() => self.done(done),
                Some(Command::Drain) = commands.recv() => self.drain(),
                _ = ticks.tick() => self.tick(),
            }
            if self.draining && self.register.is_idle() {
                break;
            }
        }
        self.event(Code::ProcessDrained, None, String::new());
        self.tick();
        // Gives the link time to send the last answers.
        tokio::time::sleep(MIN_REPORT_INTERVAL).await;
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn event(&self, code: Code, job: Option<&JobId>, detail: String) {
        logs::event(&self.timeline, &self.clock, code, job, None, detail);
    }

    fn receive(&mut self, envelope: Envelope) {
        let now = self.now();
        let from = envelope.from.clone();
        self.entries.insert(from.clone(), (envelope.reply_to, now));
        match envelope.message {
            Message::Hello => self.report_to(envelope.reply_to),
            Message::Dispatch(dispatch) => {
                let actions = self.register.dispatch(from, *dispatch, now);
                self.execute(actions);
            }
            Message::Cancel(cancel) => {
                self.event(Code::AttemptCancelled, Some(&cancel.job), cancel.attempt.to_string());
                let actions = self.register.cancel(from, &cancel, now);
                self.execute(actions);
            }
            other => log::debug!("{} ignores a message of kind {}", self.id, other.kind()),
        }
        self.report_if_due(now);
    }

    fn done(&mut self, done: Done) {
        self.running.remove(&done.attempt);
        self.event(Code::AttemptEnded, Some(&done.job), done.attempt.to_string());
        let actions = self.register.done(done.attempt, done.job, done.result, self.now());
        self.execute(actions);
        self.report_if_due(self.now());
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.event(Code::ProcessDraining, None, String::new());
        let actions = self.register.leave();
        // The load is reported first, so that the entries send no more work.
        self.report_to_all();
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Run(dispatch) => self.start(*dispatch),
                Action::Abort(attempt) => {
                    if let Some(handle) = self.running.get(&attempt) {
                        handle.abort();
                    }
                }
                Action::Accept(to, accepted) => self.send(&to, Message::Accepted(accepted)),
                Action::Reply(to, reply) => {
                    self.count(&reply.result);
                    self.send(&to, Message::Reply(reply));
                }
                Action::CancelAck(to, ack) => self.send(&to, Message::CancelAck(ack)),
            }
        }
    }

    fn start(&mut self, dispatch: rampbay_dispatch::message::Dispatch) {
        let attempt = dispatch.attempt;
        self.event(Code::AttemptStarted, Some(&dispatch.job), attempt.to_string());
        let upstream = self.upstream.clone();
        let handle = run::start(upstream, dispatch, self.max_answer, self.done_tx.clone());
        self.running.insert(attempt, handle);
    }

    fn count(&self, result: &rampbay_dispatch::message::AttemptResult) {
        use rampbay_dispatch::message::AttemptResult;
        let label = match result {
            AttemptResult::Answered(_) => "answered",
            AttemptResult::NotRun(_) => "not_run",
            AttemptResult::Failed(_) => "failed",
        };
        let labels = rampbay_node::metrics::labels(&[("result", label)]);
        self.attempts.get_or_create(&labels).inc();
    }

    fn send(&self, to: &ProcessId, message: Message) {
        if let Some((addr, _)) = self.entries.get(to) {
            self.outbox.send(*addr, message);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        let actions = self.register.tick(now);
        self.execute(actions);
        let before = self.entries.len();
        self.entries
            .retain(|_, (_, last_contact)| now.saturating_sub(*last_contact) < ENTRY_TIMEOUT);
        if self.entries.len() != before {
            let keep: Vec<SocketAddr> = self.entries.values().map(|(addr, _)| *addr).collect();
            self.outbox.retain(&keep);
        }
        self.report_if_due(now);
        self.forward_events();
    }

    fn report_if_due(&mut self, now: Duration) {
        let load = self.register.load();
        let changed = self.reported.as_ref() != Some(&load);
        let since = now.saturating_sub(self.reported_at);
        if (changed && since >= MIN_REPORT_INTERVAL) || since >= HEARTBEAT_INTERVAL {
            self.report_to_all();
        }
    }

    fn report_to_all(&mut self) {
        let load = self.register.load();
        self.reported_at = self.now();
        self.slots.get_or_create(&Vec::new()).set(i64::from(load.used));
        self.health_tx.send_replace(Health {
            serving: !load.leaving,
            used: load.used,
            waiting: load.waiting,
        });
        for (addr, _) in self.entries.values() {
            self.outbox.send(*addr, Message::Load(load.clone()));
        }
        self.reported = Some(load);
    }

    fn report_to(&self, to: SocketAddr) {
        self.outbox.send(to, Message::Load(self.register.load()));
    }

    /// Forwards events to the entry that sent a message last, so that they survive the loss of this
    /// box.
    fn forward_events(&self) {
        let latest = self.entries.values().max_by_key(|(_, last_contact)| *last_contact);
        let Some((addr, _)) = latest else { return };
        let events = self.timeline.take_unsent(MAX_EVENTS_PER_MESSAGE);
        if !events.is_empty() {
            self.outbox.send(*addr, Message::Events(events));
        }
    }
}
