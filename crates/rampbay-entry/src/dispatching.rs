//! Runs the dispatcher in a task that owns it and receives its inputs through a channel.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use rampbay_core::{
    ids::{JobId, ProcessId, WorkspaceId},
    job::JobSpec,
};
use rampbay_dispatch::{
    dispatcher::{Action, Dispatcher, Limits, Settings},
    message::{Outcome, Unknown},
};
use rampbay_platform::boxes::BoxRow;
use rampbay_wire::{
    envelope::{Envelope, Message},
    event::Code,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The inputs of the dispatcher task.
#[derive(Debug)]
pub enum Input {
    /// A request is to be sent to an upstream.
    Submit(Box<JobSpec>, Bytes, oneshot::Sender<Outcome>),
    /// A request is cancelled: no attempt of it may start any more.
    Cancel(JobId),
    /// A message arrived from a side process.
    Link(Box<Envelope>),
    /// The list of side processes has changed.
    Listed(Vec<BoxRow>),
    /// The limits of all workspaces, from the accepted table.
    Limits(HashMap<WorkspaceId, Limits>),
    /// Asks for a view of the side processes.
    View(oneshot::Sender<Vec<UpstreamView>>),
}

/// One upstream as this entry sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamView {
    /// The side process.
    pub id: ProcessId,
    /// Its failure domain.
    pub failure_domain: String,
    /// Slots of the upstream.
    pub slots: u32,
    /// Slots in use.
    pub used: u32,
    /// Attempts that wait for a slot.
    pub waiting: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time since its last report, in milliseconds.
    pub silent_ms: u64,
    /// Attempts of this entry that have no result yet.
    pub outstanding: u32,
}

/// A handle to the dispatcher task.
#[derive(Debug, Clone)]
pub struct Dispatching {
    tx: mpsc::UnboundedSender<Input>,
}

impl Dispatching {
    /// Starts the dispatcher task.
    #[must_use]
    pub fn start(shared: Arc<Shared>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        let settings = Settings {
            queue_limit: shared.settings.limits.queue,
            default_deadline: Duration::from_millis(shared.settings.times.default_deadline_ms),
            ..Settings::default()
        };
        let domain = shared.settings.failure_domain.clone();
        let dispatcher = Dispatcher::new(shared.incarnation, &domain, settings);
        let task = Task {
            shared: shared.clone(),
            dispatcher,
            addrs: HashMap::new(),
            callers: HashMap::new(),
        };
        shared.spawn(task.run(rx));
        Self { tx }
    }

    /// Sends an input to the task. A failure is ignored, since the task ends only with the entry.
    pub fn tell(&self, input: Input) {
        let _ = self.tx.send(input);
    }

    /// Sends a request to an upstream and waits for its outcome.
    ///
    /// Dropping the future cancels the request.
    pub async fn run(&self, spec: JobSpec, body: Bytes) -> Outcome {
        let (tx, rx) = oneshot::channel();
        let mut guard = CancelGuard { dispatching: self, job: Some(spec.id.clone()) };
        self.tell(Input::Submit(Box::new(spec), body, tx));
        // If the task has ended, it isn't known whether an attempt that was sent has run.
        let outcome = rx.await.unwrap_or(Outcome::Unknown(Unknown::SideUnreachable));
        guard.job = None;
        outcome
    }

    /// Returns the side processes as this entry sees them.
    pub async fn view(&self) -> Vec<UpstreamView> {
        let (tx, rx) = oneshot::channel();
        self.tell(Input::View(tx));
        rx.await.unwrap_or_default()
    }
}

/// Cancels the request on drop, unless its outcome is known.
struct CancelGuard<'a> {
    dispatching: &'a Dispatching,
    job: Option<JobId>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(job) = self.job.take() {
            self.dispatching.tell(Input::Cancel(job));
        }
    }
}

struct Task {
    shared: Arc<Shared>,
    dispatcher: Dispatcher,
    addrs: HashMap<ProcessId, SocketAddr>,
    callers: HashMap<JobId, oneshot::Sender<Outcome>>,
}

impl Task {
    async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Input>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = rx.recv() => {
                    let Some(input) = input else { return };
                    self.handle(input);
                }
                _ = ticks.tick() => {
                    let actions = self.dispatcher.tick(self.shared.now());
                    self.execute(actions);
                    self.update_metrics();
                }
            }
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.shared.now();
        match input {
            Input::Submit(spec, body, tx) => self.submit(*spec, body, tx, now),
            Input::Cancel(job) => {
                let actions = self.dispatcher.cancel(&job, now);
                self.execute(actions);
            }
            Input::Link(envelope) => self.receive(*envelope, now),
            Input::Listed(rows) => self.listed(&rows, now),
            Input::Limits(limits) => self.dispatcher.set_limits(limits),
            Input::View(tx) => {
                let _ = tx.send(self.view(now));
            }
        }
    }

    fn submit(&mut self, spec: JobSpec, body: Bytes, tx: oneshot::Sender<Outcome>, now: Duration) {
        let job = spec.id.clone();
        match self.dispatcher.submit(spec, body, now) {
            Ok(actions) => {
                self.callers.insert(job, tx);
                self.execute(actions);
            }
            Err(why) => {
                let _ = tx.send(Outcome::NotRun(why));
            }
        }
    }

    fn receive(&mut self, envelope: Envelope, now: Duration) {
        let actions = match envelope.message {
            Message::Load(load) => self.dispatcher.load(&envelope.from, load, now),
            Message::Accepted(accepted) => {
                self.dispatcher.accepted(&accepted);
                Vec::new()
            }
            Message::Reply(reply) => self.dispatcher.reply(reply, now),
            Message::CancelAck(ack) => self.dispatcher.cancel_ack(&ack, now),
            _ => Vec::new(),
        };
        self.execute(actions);
    }

    fn listed(&mut self, rows: &[BoxRow], now: Duration) {
        let listed: Vec<(ProcessId, String, bool)> = rows
            .iter()
            .map(|row| (row.id.clone(), row.failure_domain.clone(), row.leaving))
            .collect();
        for row in rows {
            self.addrs.insert(row.id.clone(), row.mailbox);
        }
        self.dispatcher.listed(&listed, now);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Dispatch(side, dispatch) => {
                    let job = dispatch.job.clone();
                    let detail = format!("{} to {side}", dispatch.attempt);
                    self.shared.event(Code::AttemptSent, Some(&job), None, detail);
                    self.send(&side, Message::Dispatch(dispatch));
                }
                Action::Cancel(side, cancel) => self.send(&side, Message::Cancel(cancel)),
                Action::Settle(job, outcome) => {
                    if let Some(tx) = self.callers.remove(&job) {
                        // The send fails only if the caller has gone and needs no outcome.
                        let _ = tx.send(outcome);
                    }
                }
                Action::Ejected(side, pause) => {
                    let detail = format!("{side} for {} ms", pause.as_millis());
                    self.shared.event(Code::UpstreamEjected, None, None, detail);
                }
            }
        }
    }

    fn send(&self, side: &ProcessId, message: Message) {
        if let Some(addr) = self.addrs.get(side) {
            self.shared.outbox.send(*addr, message);
        }
    }

    fn view(&self, now: Duration) -> Vec<UpstreamView> {
        let rows = self.dispatcher.sides().iter();
        rows.map(|(id, row)| {
            let load = row.load.as_ref();
            let silent = now.saturating_sub(row.last_contact);
            UpstreamView {
                id: id.clone(),
                failure_domain: row.failure_domain.clone(),
                slots: load.map_or(0, |load| load.slots),
                used: load.map_or(0, |load| load.used),
                waiting: load.map_or(0, |load| load.waiting),
                leaving: row.listed_leaving || load.is_some_and(|load| load.leaving),
                silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
                outstanding: row.outstanding,
            }
        })
        .collect()
    }

    /// Sets the metrics to the dispatcher's counts.
    fn update_metrics(&self) {
        let counts = self.dispatcher.counts();
        let dropped = &self.shared.metrics.dropped;
        let set = |why: &str, count: u64| {
            let labels = rampbay_node::metrics::labels(&[("why", why)]);
            dropped.get_or_create(&labels).set(i64::try_from(count).unwrap_or(i64::MAX));
        };
        set("stale_reply", counts.stale_replies);
        set("retry_denied", counts.retries_denied);
    }
}
