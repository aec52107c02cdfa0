//! A worker that carries out its orders; every run takes the same time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::job::TaskId;
use rampbay_jobs::record::{EndReason, RunProgress};
use rampbay_jobs::worker::{
    ListedEnd, Listing, RenewOrder, StartOrder, Started, StopOrder, Worker, WorkerError,
};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};

/// Time of an answer: the worker is on its agent's machine.
const ANSWER_TIME: Duration = Duration::from_micros(200);

type RunKey = (TaskId, u32);

#[derive(Default)]
struct Runs {
    running: BTreeMap<RunKey, Instant>,
    ended: Vec<ListedEnd>,
    next_number: u64,
}

impl Runs {
    fn end(&mut self, key: &RunKey, reason: EndReason) {
        if self.running.remove(key).is_none() {
            return;
        }
        self.next_number += 1;
        let (task, attempt) = key.clone();
        let number = self.next_number;
        let checkpoint = String::new();
        self.ended.push(ListedEnd { number, task, attempt, reason, checkpoint });
    }

    fn finish(&mut self, run_time: Duration) {
        let is_over = |began: &Instant| began.elapsed() >= run_time;
        let over = self.running.iter().filter(|(_, began)| is_over(began));
        let over: Vec<RunKey> = over.map(|(key, _)| key.clone()).collect();
        over.iter().for_each(|key| self.end(key, EndReason::Done));
    }
}

/// A worker of the model.
pub struct ModelWorker {
    born: Instant,
    run_time: Duration,
    runs: RefCell<Runs>,
    changed: Notify,
}

impl ModelWorker {
    /// Creates a worker whose runs take `run_time`.
    #[must_use]
    pub fn new(run_time: Duration) -> Rc<Self> {
        Rc::new(Self {
            born: Instant::now(),
            run_time,
            runs: RefCell::default(),
            changed: Notify::new(),
        })
    }

    /// Returns the number of active runs.
    pub fn running(&self) -> usize {
        self.runs.borrow().running.len()
    }

    /// Returns when the next run ends.
    fn next_end(&self) -> Option<Instant> {
        let runs = self.runs.borrow();
        runs.running.values().min().map(|began| *began + self.run_time)
    }
}

#[async_trait(?Send)]
impl Worker for ModelWorker {
    async fn start(&self, order: &StartOrder) -> Result<Started, WorkerError> {
        sleep(ANSWER_TIME).await;
        let key = (order.task.clone(), order.attempt);
        self.runs.borrow_mut().running.entry(key).or_insert_with(Instant::now);
        self.changed.notify_waiters();
        Ok(Started::Yes)
    }

    async fn stop(&self, order: &StopOrder) -> Result<(), WorkerError> {
        sleep(ANSWER_TIME).await;
        let key = (order.task.clone(), order.attempt);
        self.runs.borrow_mut().end(&key, EndReason::Stopped);
        self.changed.notify_waiters();
        Ok(())
    }

    async fn renew(&self, order: &RenewOrder) -> Result<Listing, WorkerError> {
        sleep(ANSWER_TIME).await;
        let deadline = Instant::now() + order.wait;
        loop {
            let changed = self.changed.notified();
            self.runs.borrow_mut().finish(self.run_time);
            let is_new = |end: &ListedEnd| end.number > order.last_seen;
            let has_new = self.runs.borrow().ended.iter().any(is_new);
            if has_new || Instant::now() >= deadline {
                break;
            }
            let until = self.next_end().map_or(deadline, |end| end.min(deadline));
            let _ = timeout_at(until, changed).await;
        }
        let mut runs = self.runs.borrow_mut();
        runs.ended.retain(|end| end.number > order.last_seen);
        let running = runs.running.iter().map(|((task, attempt), began)| RunProgress {
            task: task.clone(),
            attempt: *attempt,
            percent: percent(began.elapsed(), self.run_time),
            ran_ms: 0,
            checkpoint: String::new(),
        });
        Ok(Listing {
            clock: self.born.elapsed().as_millis() as u64,
            running: running.collect(),
            ended: runs.ended.clone(),
        })
    }
}

fn percent(elapsed: Duration, total: Duration) -> u32 {
    let percent = elapsed.as_millis() * 100 / total.as_millis().max(1);
    u32::try_from(percent).map_or(99, |percent| percent.min(99))
}
