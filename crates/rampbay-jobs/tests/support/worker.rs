//! A worker that keeps to its protocol, with faults.

use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::{EpochMillis, TaskId};
use rampbay_jobs::record::{EndReason, RunProgress};
use rampbay_jobs::worker::{
    ListedEnd, Listing, Refusal, RenewOrder, StartOrder, Started, StopOrder, Worker, WorkerError,
};
use tokio::time::Instant;

/// How a worker treats starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StartFault {
    /// It carries them out and answers.
    #[default]
    None,
    /// It carries them out and doesn't answer.
    AnswerLost,
    /// It doesn't answer and never carries them out.
    OrderLost,
    /// It doesn't answer the first and never carries it out; later ones are sound.
    FirstOrderLost,
    /// It carries the first out and doesn't answer; it turns later ones away.
    AnswerLostThenUnhealthy,
    /// It turns the first away; later ones are sound.
    FirstRefused,
    /// It turns them away.
    Unhealthy,
}

/// Calls that get no answer, and are carried out later, by whichever life is there then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LateCalls {
    /// Starts.
    Starts(Duration),
    /// Renewals that let the worker forget ends.
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
    seen: u64,
    fence: u64,
    /// Ends with the worker's clock at that time.
    ended_at: BTreeMap<u64, u64>,
    /// When leases were over last, by the worker's clock.
    lapsed_at: Option<u64>,
}

/// Is told of a task and an attempt.
pub type OnStart = Rc<dyn Fn(&TaskId, u32)>;
/// Is told of an end that was taken note of while the worker's leases lasted.
pub type OnAcknowledge = Rc<dyn Fn(&ListedEnd)>;

/// The worker; a client reaches only the life that it names.
pub struct FakeWorker {
    state: RefCell<State>,
    born: Cell<Instant>,
    /// The id of the present life.
    pub instance: RefCell<String>,
    /// Whether calls get no answer and have no effect.
    pub silent: Cell<bool>,
    /// Whether nobody listens at its address any more.
    pub gone: Cell<bool>,
    /// How it treats starts.
    pub start_fault: Cell<StartFault>,
    /// Is told of each start that is carried out.
    pub on_start: RefCell<Option<OnStart>>,
    /// Is told of each end that its agent takes note of.
    pub on_acknowledge: RefCell<Option<OnAcknowledge>>,
    /// Whether runs go on after their stop was answered.
    pub ignores_stops: Cell<bool>,
    /// Calls that are carried out late.
    pub late_calls: Cell<Option<LateCalls>>,
}

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

impl FakeWorker {
    /// Makes a worker with a first life.
    pub fn new(instance: &str) -> Rc<Self> {
        Rc::new(Self {
            state: RefCell::default(),
            born: Cell::new(Instant::now()),
            instance: RefCell::new(instance.to_owned()),
            silent: Cell::new(false),
            gone: Cell::new(false),
            start_fault: Cell::default(),
            on_start: RefCell::default(),
            on_acknowledge: RefCell::default(),
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

    /// Carries out a start whose answer an earlier agent didn't hear.
    pub fn start_without_agent(&self, task: &TaskId, attempt: u32) {
        self.take_lease(self.clock() + 6000);
        self.state.borrow_mut().running.insert((task.clone(), attempt), Instant::now());
    }

    /// Takes a fencing token, after which lower ones are turned away.
    pub fn observe_fencing_token(&self, token: u64) {
        self.state.borrow_mut().fence = token;
    }

    /// Lists all starts that it has carried out.
    pub fn starts(&self) -> Vec<(TaskId, u32)> {
        self.state.borrow().starts.clone()
    }

    /// Lists what runs.
    pub fn running(&self) -> Vec<(TaskId, u32)> {
        self.lapse();
        self.state.borrow().running.keys().cloned().collect()
    }

    /// Returns the number of the last end that was taken note of.
    pub fn last_acknowledged(&self) -> u64 {
        self.state.borrow().seen
    }

    /// Begins a new life; nothing of the old one is left, and its clock begins anew.
    pub fn replace(&self, instance: &str) {
        *self.state.borrow_mut() = State::default();
        self.born.set(Instant::now());
        instance.clone_into(&mut self.instance.borrow_mut());
    }

    fn clock(&self) -> u64 {
        self.born.get().elapsed().as_millis() as u64
    }

    /// Kills everything whose lease is over.
    fn lapse(&self) {
        let clock = self.clock();
        let mut state = self.state.borrow_mut();
        if state.lease_until.is_none_or(|until| clock <= until) {
            return;
        }
        state.lapsed_at = state.lapsed_at.max(state.lease_until);
        let lapsed: Vec<(TaskId, u32)> = state.running.keys().cloned().collect();
        for (task, attempt) in lapsed {
            state.end(&task, attempt, EndReason::Lapsed);
        }
    }

    /// Takes a fencing token, unless it has seen a higher one.
    fn passes_fence(&self, token: u64) -> bool {
        let mut state = self.state.borrow_mut();
        let passes = token >= state.fence;
        state.fence = state.fence.max(token);
        passes
    }

    /// Carries a start out.
    fn carry_out_start(&self, order: &StartOrder) -> Started {
        if !self.passes_fence(order.fencing_token) {
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

    /// Renews leases and forgets ends. Returns whether the order passes the fence.
    fn carry_out_renewal(&self, order: &RenewOrder) -> bool {
        if !self.passes_fence(order.fencing_token) {
            return false;
        }
        if let Some(until) = order.lease_until {
            self.take_lease(until);
        }
        let noted = self.state.borrow_mut().forget(order.last_seen);
        let on_acknowledge = self.on_acknowledge.borrow().clone();
        on_acknowledge
            .into_iter()
            .for_each(|on_acknowledge| noted.iter().for_each(|end| on_acknowledge(end)));
        true
    }

    fn take_lease(&self, until: u64) {
        let most = self.clock() + 6000;
        let mut state = self.state.borrow_mut();
        state.lease_until = state.lease_until.max(Some(until.min(most)));
    }
}

impl State {
    /// Forgets ends that were taken note of. Returns those after which all leases have lasted.
    fn forget(&mut self, last_seen: u64) -> Vec<ListedEnd> {
        self.seen = self.seen.max(last_seen);
        let noted = self.ended.extract_if(.., |end| end.number <= last_seen);
        let noted: Vec<ListedEnd> = noted.collect();
        let lapsed_at = self.lapsed_at;
        let ended_at = &self.ended_at;
        let lasted = |end: &ListedEnd| ended_at.get(&end.number).copied() > lapsed_at;
        noted.into_iter().filter(lasted).collect()
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

/// A run gets on by a percent a second.
fn percent_after(time: Duration) -> u32 {
    u32::try_from(10 + time.as_secs()).map_or(99, |percent| percent.min(99))
}

/// Compares two lives of one worker, `NAME~NUMBER`, by their numbers; `None` for lives of two workers.
pub fn compare_incarnations(one: &str, other: &str) -> Option<Ordering> {
    let is_same = one.contains('~') && other.contains('~') && name(one) == name(other);
    is_same.then(|| start_time(one).cmp(&start_time(other)))
}

/// Returns when a life began, `NAME~NUMBER`: its number.
pub fn start_time(instance: &str) -> Option<EpochMillis> {
    instance.split_once('~')?.1.parse().ok()
}

/// Returns the name that a worker's lives share, where they share one.
fn name(instance: &str) -> &str {
    instance.split('~').next().unwrap_or(instance)
}

/// A client of one life.
pub struct Client {
    worker: Rc<FakeWorker>,
    instance: String,
}

impl Client {
    /// Makes a client.
    pub fn new(worker: Rc<FakeWorker>, instance: &str) -> Self {
        Self { worker, instance: instance.to_owned() }
    }

    async fn reach(&self) -> Result<(), WorkerError> {
        if self.worker.gone.get() {
            return Err(WorkerError::Refused);
        }
        if self.worker.silent.get() {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(WorkerError::NoAnswer);
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
        // Orders name the worker; only what it lists tells its lives apart.
        if name(&self.worker.instance.borrow()) != name(&self.instance) {
            return Err(WorkerError::OtherLife(None));
        }
        self.worker.lapse();
        Ok(())
    }

    /// Lets a call be carried out later, and waits for its answer in vain.
    async fn later<T>(
        &self,
        after: Duration,
        carry_out: impl FnOnce(&FakeWorker) + 'static,
    ) -> Result<T, WorkerError> {
        let worker = Rc::clone(&self.worker);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(after).await;
            if !worker.gone.get() {
                carry_out(&worker);
            }
        });
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(WorkerError::NoAnswer)
    }

    async fn reach_life(&self) -> Result<(), WorkerError> {
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
            return self.later(after, move |worker| _ = worker.carry_out_start(&order)).await;
        }
        let trouble = self.worker.start_fault.get();
        if trouble == StartFault::Unhealthy {
            return Ok(Started::No(Refusal::Unhealthy));
        }
        if trouble == StartFault::FirstRefused {
            self.worker.start_fault.set(StartFault::None);
            return Ok(Started::No(Refusal::Unhealthy));
        }
        let lost = matches!(trouble, StartFault::OrderLost | StartFault::FirstOrderLost);
        if trouble == StartFault::AnswerLostThenUnhealthy {
            self.worker.start_fault.set(StartFault::Unhealthy);
        }
        if trouble == StartFault::FirstOrderLost {
            self.worker.start_fault.set(StartFault::None);
        }
        if !lost {
            let started = self.worker.carry_out_start(order);
            if started != Started::Yes {
                return Ok(started);
            }
        }
        if trouble == StartFault::None {
            return Ok(Started::Yes);
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(WorkerError::NoAnswer)
    }

    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError> {
        self.reach().await?;
        if !self.worker.passes_fence(order.fencing_token) {
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

    async fn stop_in_any_incarnation(&self, order: &StopOrder) -> Result<bool, WorkerError> {
        match self.stop(order).await {
            Err(WorkerError::OtherLife(_)) => return Ok(true),
            stopped => stopped?,
        }
        let key = (order.task.clone(), order.attempt);
        Ok(!self.worker.state.borrow().running.contains_key(&key))
    }

    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError> {
        self.reach().await?;
        if let Some(LateCalls::Acknowledgements(after)) = self.worker.late_calls.get()
            && order.last_seen > 0
        {
            let order = *order;
            return self.later(after, move |worker| _ = worker.carry_out_renewal(&order)).await;
        }
        if !self.worker.carry_out_renewal(order) {
            return Err(WorkerError::NoAnswer);
        }
        let deadline = Instant::now() + order.wait;
        loop {
            self.worker.lapse();
            let new =
                self.worker.state.borrow().ended.iter().any(|end| end.number > order.last_seen);
            if new || Instant::now() >= deadline || self.worker.silent.get() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        self.reach_life().await?;
        let state = self.worker.state.borrow();
        let running = state.running.iter().map(|((task, attempt), began)| RunProgress {
            task: task.clone(),
            attempt: *attempt,
            percent: percent_after(began.elapsed()),
            ran_ms: 0,
            checkpoint: String::new(),
        });
        let ended = state.ended.iter().filter(|end| end.number > order.last_seen).cloned();
        Ok(Listing {
            clock: self.worker.clock(),
            running: running.collect(),
            ended: ended.collect(),
        })
    }
}
