//! The side process: its mailbox, its register, and what it tells the entries.

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

/// How often waiting attempts and reports are looked after.
const TICK: Duration = Duration::from_millis(50);
/// A changed load is reported at most this often.
const REPORT_CHANGED: Duration = Duration::from_millis(100);
/// An unchanged load is reported this often, as a heartbeat.
const REPORT_UNCHANGED: Duration = Duration::from_millis(500);
/// An entry that hasn't said hello for this long gets no more reports.
const FORGET_ENTRY: Duration = Duration::from_secs(10);
/// Events that the time line keeps here.
const TIMELINE: usize = 2_048;
/// Events that are sent on at once.
const EVENTS_AT_ONCE: usize = 64;

/// Why a side process can't start.
#[derive(Debug, Error)]
pub enum SideError {
    /// An address can't be listened on.
    #[error("side process can't listen: {0}")]
    Listen(#[from] io::Error),
}

/// What the process can be told from within.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Command {
    /// Take no new work, and end when what runs has ended.
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
    /// Starts a side process whose upstream is met over HTTP.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub async fn start(settings: SideSettings) -> Result<Self, SideError> {
        let upstream = HttpUpstream::new(settings.upstream, settings.connections);
        Self::start_with(settings, Arc::new(upstream)).await
    }

    /// Starts a side process beside any upstream.
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
            timeline: Timeline::new(settings.id.clone(), TIMELINE),
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

    /// Returns the counts of its link.
    #[must_use]
    pub const fn link_counts(&self) -> &Arc<LinkCounts> {
        &self.counts
    }

    /// Takes no new work from now on, without waiting.
    pub fn begin_drain(&self) {
        let _ = self.commands.send(Command::Drain);
    }

    /// Takes no new work and waits until what runs has ended.
    pub async fn drain(mut self) {
        self.begin_drain();
        // The task only ends by itself; a panic in it has been logged.
        let _ = (&mut self.task).await;
    }

    /// Waits until the process has drained, because somebody asked for it.
    pub async fn wait(&mut self) {
        let _ = (&mut self.task).await;
    }

    /// Ends the process at once, as a crash does.
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
    /// Entries that said hello, with their mailbox and when they did.
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
        let mut ticks = tokio::time::interval(TICK);
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
        // Give the link the time to pass the last answers on.
        tokio::time::sleep(REPORT_CHANGED).await;
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
                self.act(actions);
            }
            Message::Cancel(cancel) => {
                self.event(Code::AttemptCancelled, Some(&cancel.job), cancel.attempt.to_string());
                let actions = self.register.cancel(from, &cancel, now);
                self.act(actions);
            }
            other => log::debug!("{} has no use for a {} message", self.id, other.kind()),
        }
        self.report_if_due(now);
    }

    fn done(&mut self, done: Done) {
        self.running.remove(&done.attempt);
        self.event(Code::AttemptEnded, Some(&done.job), done.attempt.to_string());
        let actions = self.register.done(done.attempt, done.job, done.result, self.now());
        self.act(actions);
        self.report_if_due(self.now());
    }

    fn drain(&mut self) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.event(Code::ProcessDraining, None, String::new());
        let actions = self.register.leave();
        // The load goes first, so that the entries send nothing more.
        self.report_to_all();
        self.act(actions);
    }

    fn act(&mut self, actions: Vec<Action>) {
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
        let word = match result {
            AttemptResult::Answered(_) => "answered",
            AttemptResult::NotRun(_) => "not_run",
            AttemptResult::Failed(_) => "failed",
        };
        let labels = rampbay_node::metrics::labels(&[("result", word)]);
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
        self.act(actions);
        let before = self.entries.len();
        self.entries.retain(|_, (_, heard)| now.saturating_sub(*heard) < FORGET_ENTRY);
        if self.entries.len() != before {
            let keep: Vec<SocketAddr> = self.entries.values().map(|(addr, _)| *addr).collect();
            self.outbox.retain(&keep);
        }
        self.report_if_due(now);
        self.send_events();
    }

    fn report_if_due(&mut self, now: Duration) {
        let load = self.register.load();
        let changed = self.reported.as_ref() != Some(&load);
        let since = now.saturating_sub(self.reported_at);
        if (changed && since >= REPORT_CHANGED) || since >= REPORT_UNCHANGED {
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

    /// Sends events on to one entry, so that they outlive this box.
    fn send_events(&self) {
        let latest = self.entries.values().max_by_key(|(_, heard)| *heard);
        let Some((addr, _)) = latest else { return };
        let events = self.timeline.take_unsent(EVENTS_AT_ONCE);
        if !events.is_empty() {
            self.outbox.send(*addr, Message::Events(events));
        }
    }
}
