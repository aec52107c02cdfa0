//! A fake worker that follows the worker protocol, with configurable faults.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::{EpochMillis, TaskId};
use rampbay_jobs::record::{EndReason, RunProgress};
use rampbay_jobs::worker::{
    ListedEnd, Listing, Refusal, RenewOrder, StartOrder, Started, StopOrder, StoppedRun, Worker,
    WorkerError,
};
use tokio::time::{Instant, sleep};

/// Fault in how a worker handles starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartFault {
    /// It carries out starts and answers.
    #[default]
    None,
    /// It carries out starts and doesn't answer.
    AnswerLost,
    /// It doesn't answer starts and never carries them out.
    OrderLost,
    /// It doesn't answer the first start and never carries it out; later ones succeed.
    FirstOrderLost,
    /// It carries out the first start and doesn't answer; it rejects later ones.
    AnswerLostThenUnhealthy,
    /// It rejects the first start; later ones succeed.
    FirstRefused,
    /// It rejects starts.
    Unhealthy,
}

/// Calls that get no answer and are carried out later, by whichever incarnation exists then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCalls {
    /// Starts.
    Starts(Duration),
    /// Renewals that acknowledge ends, so that the worker forgets them.
    Acknowledgements(Duration),
}

#[derive(Default)]
struct State {
    running: BTreeMap<(TaskId, u32), Instant>,
    ended: Vec<ListedEnd>,
    next_number: u64,
    highest_ended: BTreeMap<TaskId, u32>,
    lease_until: Option<u64>,
    starts: Vec<(TaskId, u32)>,
    last_acknowledged: u64,
    fence: u64,
    /// The worker's clock when each end happened, by the number of the end.
    ended_at: BTreeMap<u64, u64>,
    /// When the worker's leases last expired, by the worker's clock.
    expired_at: Option<u64>,
}

/// Called with a task and an attempt.
pub type OnStart = Rc<dyn Fn(&TaskId, u32)>;
/// Called with an end that was acknowledged, if the worker's leases haven't expired since.
pub type OnAcknowledge = Rc<dyn Fn(&ListedEnd)>;

/// The fake worker; a client reaches only the incarnation that it names.
pub struct FakeWorker {
    state: RefCell<State>,
    started_at: Cell<Instant>,
    /// Id of the current incarnation.
    pub instance: RefCell<String>,
    /// Whether calls get no answer and have no effect.
    pub silent: Cell<bool>,
    /// Whether its address refuses connections.
    pub gone: Cell<bool>,
    /// Fault in how it handles starts.
    pub start_fault: Cell<StartFault>,
    /// Called for each start that is carried out.
    pub on_start: RefCell<Option<OnStart>>,
    /// Called for each end that the agent acknowledges.
    pub on_acknowledge: RefCell<Option<OnAcknowledge>>,
    /// Whether stops get no answer and have no effect.
    pub loses_stops: Cell<bool>,
    /// Whether runs go on although their stop was answered.
    pub ignores_stops: Cell<bool>,
    /// Calls to carry out late.
    pub late_calls: Cell<Option<LateCalls>>,
}

/// Most ends that a worker lists at once.
const MAX_LISTED_ENDS: usize = 500;
/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

impl FakeWorker {
    /// Creates a worker with its first incarnation.
    pub fn new(instance: &str) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            started_at: Cell::new(Instant::now()),
            instance: RefCell::new(instance.to_owned()),
            silent: Cell::new(false),
            gone: Cell::new(false),
            start_fault: Cell::default(),
            on_start: RefCell::default(),
            on_acknowledge: RefCell::default(),
            loses_stops: Cell::new(false),
            ignores_stops: Cell::new(false),
            late_calls: Cell::default(),
        })
    }

    /// Ends a run.
    pub fn end(&self, task: &TaskId, attempt: u32, reason: EndReason) {
        let mut state = self.state.borrow_mut();
        state.end(task, attempt, reason);
        let (number, clock) = (state.next_number, self.clock());
        state.ended_at.insert(number, clock);
    }

    /// Carries out a start whose answer an earlier agent process didn't get.
    pub fn start_without_agent(&self, task: &TaskId, attempt: u32) {
        self.take_lease(self.clock() + 6000);
        self.state.borrow_mut().running.insert((task.clone(), attempt), Instant::now());
    }

    /// Records a fencing token, after which lower ones are rejected.
    pub fn observe_fencing_token(&self, token: u64) {
        self.state.borrow_mut().fence = token;
    }

    /// Lists all starts that it has carried out.
    pub fn starts(&self) -> Vec<(TaskId, u32)> {
        self.state.borrow().starts.clone()
    }

    /// Lists the running tasks.
    pub fn running(&self) -> Vec<(TaskId, u32)> {
        self.expire_leases();
        self.state.borrow().running.keys().cloned().collect()
    }

    /// Returns the number of the last acknowledged end.
    pub fn last_acknowledged(&self) -> u64 {
        self.state.borrow().last_acknowledged
    }

    /// Starts a new incarnation, without any state of the previous one and with a new clock.
    pub fn replace(&self, instance: &str) {
        *self.state.borrow_mut() = State::default();
        self.started_at.set(Instant::now());
        instance.clone_into(&mut self.instance.borrow_mut());
    }

    fn clock(&self) -> u64 {
        self.started_at.get().elapsed().as_millis() as u64
    }

    /// Ends all runs whose lease has expired.
    fn expire_leases(&self) {
        let clock = self.clock();
        let mut state = self.state.borrow_mut();
        if state.lease_until.is_none_or(|until| clock <= until) {
            return;
        }
        state.expired_at = state.expired_at.max(state.lease_until);
        let expired: Vec<(TaskId, u32)> = state.running.keys().cloned().collect();
        for (task, attempt) in expired {
            state.end(&task, attempt, EndReason::Lapsed);
        }
    }

    /// Returns whether a fencing token is valid, and records it as the highest if so.
    fn accept_fencing_token(&self, token: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let is_accepted = token >= state.fence;
        state.fence = state.fence.max(token);
        is_accepted
    }

    /// Carries out a start.
    fn carry_out_start(&self, order: &StartOrder) -> Started {
        if !self.accept_fencing_token(order.fencing_token) {
            return Started::No(Refusal::Fenced);
        }
        if self.clock() > order.lease_until {
            return Started::No(Refusal::Late);
        }
        self.take_lease(order.lease_until);
        let mut state = self.state.borrow_mut();
        if state.highest_ended.get(&order.task).is_some_and(|&ended| order.attempt <= ended) {
            return Started::No(Refusal::Superseded);
        }
        let key = (order.task.clone(), order.attempt);
        if state.running.contains_key(&key) {
            return Started::Yes;
        }
        state.running.insert(key.clone(), Instant::now());
        state.starts.push(key);
        drop(state);
        let on_start = self.on_start.borrow().clone();
        on_start.into_iter().for_each(|on_start| on_start(&order.task, order.attempt));
        Started::Yes
    }

    /// Renews leases and forgets acknowledged ends. Returns whether the order's fencing token is
    /// valid.
    fn carry_out_renewal(&self, order: &RenewOrder) -> bool {
        if !self.accept_fencing_token(order.fencing_token) {
            return false;
        }
        if let Some(until) = order.lease_until {
            self.take_lease(until);
        }
        let acknowledged = self.state.borrow_mut().forget(order.last_seen);
        let on_acknowledge = self.on_acknowledge.borrow().clone();
        on_acknowledge
            .into_iter()
            .for_each(|on_acknowledge| acknowledged.iter().for_each(|end| on_acknowledge(end)));
        true
    }

    /// Lists what runs, and the ends with numbers above `last_seen`.
    fn listing(&self, last_seen: u64) -> Listing {
        let state = self.state.borrow();
        let running = state.running.iter().map(|((task, attempt), started_at)| RunProgress {
            task: task.clone(),
            attempt: *attempt,
            percent: percent_after(started_at.elapsed()),
            ran_ms: 0,
            checkpoint: String::new(),
        });
        let ended = state.ended.iter().filter(|end| end.number > last_seen).cloned();
        Listing { clock: self.clock(), running: running.collect(), ended: ended.collect() }
    }

    fn take_lease(&self, until: u64) {
        let most = self.clock() + 6000;
        let mut state = self.state.borrow_mut();
        state.lease_until = state.lease_until.max(Some(until.min(most)));
    }
}

impl State {
    /// Forgets acknowledged ends. Returns those after which the leases haven't expired.
    fn forget(&mut self, last_seen: u64) -> Vec<ListedEnd> {
        self.last_acknowledged = self.last_acknowledged.max(last_seen);
        let acknowledged = self.ended.extract_if(.., |end| end.number <= last_seen);
        let acknowledged: Vec<ListedEnd> = acknowledged.collect();
        let expired_at = self.expired_at;
        let ended_at = &self.ended_at;
        let within_lease = |end: &ListedEnd| ended_at.get(&end.number).copied() > expired_at;
        acknowledged.into_iter().filter(within_lease).collect()
    }

    fn end(&mut self, task: &TaskId, attempt: u32, reason: EndReason) {
        self.running.remove(&(task.clone(), attempt));
        self.next_number += 1;
        self.highest_ended.insert(task.clone(), attempt);
        self.ended.push(ListedEnd {
            number: self.next_number,
            task: task.clone(),
            attempt,
            reason,
            checkpoint: String::new(),
        });
    }
}

/// Returns a run's progress: 10 percent, and another one each second, up to 99.
fn percent_after(time: Duration) -> u32 {
    u32::try_from(10 + time.as_secs()).map_or(99, |percent| percent.min(99))
}

/// Compares two incarnations of one worker, `NAME~NUMBER`, by their numbers; `None` if the workers
/// differ.
pub fn compare_incarnations(one: &str, other: &str) -> Option<Ordering> {
    let is_same = one.contains('~') && other.contains('~') && name(one) == name(other);
    is_same.then(|| start_time(one).cmp(&start_time(other)))
}

/// Returns when an incarnation, `NAME~NUMBER`, started: its number.
pub fn start_time(instance: &str) -> Option<EpochMillis> {
    instance.split_once('~')?.1.parse().ok()
}

/// Returns the name that a worker's incarnations share, if they share one.
fn name(instance: &str) -> &str {
    instance.split('~').next().unwrap_or(instance)
}

/// A client of one incarnation.
pub struct Client {
    worker: Rc<FakeWorker>,
    instance: String,
}

impl Client {
    /// Creates a client.
    pub fn new(worker: Rc<FakeWorker>, instance: &str) -> Self {
        Self { worker, instance: instance.to_owned() }
    }

    async fn reach(&self) -> Result<(), WorkerError> {
        if self.worker.gone.get() {
            return Err(WorkerError::Refused);
        }
        if self.worker.silent.get() {
            sleep(CALL_TIMEOUT).await;
            return Err(WorkerError::NoAnswer);
        }
        sleep(Duration::from_millis(1)).await;
        // Orders name only the worker; only listings distinguish its incarnations.
        if name(&self.worker.instance.borrow()) != name(&self.instance) {
            return Err(WorkerError::OtherLife(None));
        }
        self.worker.expire_leases();
        Ok(())
    }

    /// Schedules a call to be carried out later, and times out without an answer.
    async fn carry_out_later<T>(
        &self,
        after: Duration,
        carry_out: impl FnOnce(&FakeWorker) + 'static,
    ) -> Result<T, WorkerError> {
        let worker = Rc::clone(&self.worker);
        tokio::task::spawn_local(async move {
            sleep(after).await;
            if !worker.gone.get() {
                carry_out(&worker);
            }
        });
        sleep(CALL_TIMEOUT).await;
        Err(WorkerError::NoAnswer)
    }

    async fn reach_incarnation(&self) -> Result<(), WorkerError> {
        self.reach().await?;
        if *self.worker.instance.borrow() == self.instance {
            Ok(())
        } else {
            Err(WorkerError::OtherLife(Some(self.worker.instance.borrow().clone())))
        }
    }
}

#[async_trait(?Send)]
impl Worker for Client {
    async fn start(&self, order: &StartOrder) -> Result<Started, WorkerError> {
        self.reach().await?;
        if let Some(LateCalls::Starts(after)) = self.worker.late_calls.get() {
            let order = order.clone();
            return self
                .carry_out_later(after, move |worker| _ = worker.carry_out_start(&order))
                .await;
        }
        let fault = self.worker.start_fault.get();
        if fault == StartFault::Unhealthy {
            return Ok(Started::No(Refusal::Unhealthy));
        }
        if fault == StartFault::FirstRefused {
            self.worker.start_fault.set(StartFault::None);
            return Ok(Started::No(Refusal::Unhealthy));
        }
        let lost = matches!(fault, StartFault::OrderLost | StartFault::FirstOrderLost);
        if fault == StartFault::AnswerLostThenUnhealthy {
            self.worker.start_fault.set(StartFault::Unhealthy);
        }
        if fault == StartFault::FirstOrderLost {
            self.worker.start_fault.set(StartFault::None);
        }
        if !lost {
            let started = self.worker.carry_out_start(order);
            if started != Started::Yes {
                return Ok(started);
            }
        }
        if fault == StartFault::None {
            return Ok(Started::Yes);
        }
        sleep(CALL_TIMEOUT).await;
        Err(WorkerError::NoAnswer)
    }

    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError> {
        self.reach().await?;
        if self.worker.loses_stops.get() {
            sleep(CALL_TIMEOUT).await;
            return Err(WorkerError::NoAnswer);
        }
        if !self.worker.accept_fencing_token(order.fencing_token) {
            return Err(WorkerError::NoAnswer);
        }
        if self.worker.ignores_stops.get() {
            return Ok(());
        }
        let mut state = self.worker.state.borrow_mut();
        if state.running.contains_key(&(order.task.clone(), order.attempt)) {
            state.end(&order.task, order.attempt, EndReason::Stopped);
        } else {
            let ended = state.highest_ended.entry(order.task.clone()).or_default();
            *ended = (*ended).max(order.attempt);
        }
        Ok(())
    }

    async fn stop_in_any_incarnation(&self, order: &StopOrder) -> Result<StoppedRun, WorkerError> {
        match self.stop(order).await {
            Err(WorkerError::OtherLife(_)) => return Ok(StoppedRun::NotThere),
            stopped => stopped?,
        }
        Ok(StoppedRun::from_listing(order, self.worker.listing(0), MAX_LISTED_ENDS))
    }

    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError> {
        self.reach().await?;
        if let Some(LateCalls::Acknowledgements(after)) = self.worker.late_calls.get()
            && order.last_seen > 0
        {
            let order = *order;
            return self
                .carry_out_later(after, move |worker| _ = worker.carry_out_renewal(&order))
                .await;
        }
        if !self.worker.carry_out_renewal(order) {
            return Err(WorkerError::NoAnswer);
        }
        let deadline = Instant::now() + order.wait;
        loop {
            self.worker.expire_leases();
            let new =
                self.worker.state.borrow().ended.iter().any(|end| end.number > order.last_seen);
            if new || Instant::now() >= deadline || self.worker.silent.get() {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
        self.reach_incarnation().await?;
        Ok(self.worker.listing(order.last_seen))
    }
}
