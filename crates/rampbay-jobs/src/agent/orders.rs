//! Gives the worker the orders that make its runs what the table wants.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::metrics;
use crate::plan::TaskStatus;
use crate::record::EndReason;
use crate::worker::{Refusal, StartOrder, Started, WorkerError};

use super::ends::PendingEnd;
use super::held_back::HeldBack;
use super::incarnation::Incarnation;
use super::room::Fit;
use super::runs::{Phase, Run, RunKey};

/// Longest time between two looks at what has to be done.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before a start that met a higher fencing token, or a wrong clock, is tried again.
const START_RETRY: Duration = Duration::from_millis(100);
/// How often a start without answer is ordered again before it is given up.
const START_REPEATS: u32 = 2;
/// How often a start that an unwell worker turned away is ordered again before it is given up.
const REFUSED_REPEATS: u32 = 3;
/// Pause before such a start is ordered again.
const REFUSED_RETRY: Duration = Duration::from_millis(60);

/// A run that the table wants.
pub(super) struct Wanted {
    pub(super) key: RunKey,
    payload: String,
    checkpoint: String,
}

impl Incarnation {
    /// Gives orders until the life is over.
    pub(super) async fn give_orders(self: &Rc<Self>) {
        let mut changes = self.parts.freshness.subscribe();
        while !self.is_over() {
            changes.borrow_and_update();
            let mut held_back = self.held_back();
            if self.listed.get() && self.parts.freshness.age().is_some() {
                self.settle_given_up();
                held_back = held_back.or_else(|| self.start_wanted());
                self.take_up_unknown_stops();
                self.stop_unwanted();
            }
            self.tell_held_back(held_back);
            let _ = tokio::time::timeout(LOOK_INTERVAL, changes.changed()).await;
        }
    }

    /// Starts what the table wants. Returns why some of it has to wait, if it does.
    fn start_wanted(self: &Rc<Self>) -> Option<HeldBack> {
        let mut held_back = None;
        for wanted in self.wanted() {
            if self.has_other_attempt(&wanted.key) {
                held_back = Some(HeldBack::OtherAttempt);
                continue;
            }
            let is_kept_off = self.is_draining() || self.is_in_drained_domain();
            let fit = self.room_for(&wanted.key);
            if fit == Fit::Unknown {
                held_back = Some(HeldBack::UnknownRoom);
                continue;
            }
            if is_kept_off || fit == Fit::No {
                self.report_end(PendingEnd::unlisted(wanted.key, EndReason::NotStarted));
                continue;
            }
            let run = Run::new(Phase::Starting);
            self.runs.borrow_mut().open.insert(wanted.key.clone(), run);
            self.wake.notify_waiters();
            let life = Rc::clone(self);
            tokio::task::spawn_local(async move { life.start(wanted).await });
        }
        held_back
    }

    /// Returns whether another attempt of a task may run here still. It is looked at again once that has ended:
    /// two attempts at one worker are two runs of the task.
    fn has_other_attempt(&self, key: &RunKey) -> bool {
        let runs = self.runs.borrow();
        let mut others =
            runs.open.keys().filter(|(task, attempt)| *task == key.0 && *attempt != key.1);
        others.any(|other| !runs.over.contains(other))
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.parts.table.borrow().evicted.contains(&self.instance)
    }

    /// Lists the runs that the table wants and that this life has never had.
    pub(super) fn wanted(&self) -> Vec<Wanted> {
        let table = self.parts.table.borrow();
        let runs = self.runs.borrow();
        let mut wanted = Vec::new();
        for id in &table.active {
            let Some(job) = table.jobs.get(id).filter(|job| !job.cancelled) else { continue };
            let Some(plan) = &job.plan else { continue };
            for (task_id, task) in plan.tasks(id) {
                let is_mine = task.status == TaskStatus::Running && task.instance == self.instance;
                let key = (task_id, task.attempt);
                if !is_mine || runs.open.contains_key(&key) || runs.over.contains(&key) {
                    continue;
                }
                let (task_id, attempt) = &key;
                if table.has_end(task_id, *attempt) {
                    continue;
                }
                wanted.push(Wanted {
                    key,
                    payload: job.submission.payload.clone(),
                    checkpoint: task.checkpoint.clone(),
                });
            }
        }
        wanted
    }

    async fn start(self: &Rc<Self>, wanted: Wanted) {
        let mut unanswered = 0;
        let mut refused = 0;
        loop {
            let Some(lease_until) = self.lease_until() else {
                tokio::time::sleep(START_RETRY).await;
                continue;
            };
            if !self.still_wants(&wanted.key) || self.room_for(&wanted.key) != Fit::Yes {
                self.give_up_start(wanted.key, unanswered);
                return;
            }
            let order = StartOrder {
                task: wanted.key.0.clone(),
                attempt: wanted.key.1,
                payload: wanted.payload.clone(),
                lease_until,
                fencing_token: self.fencing_token(),
                checkpoint: wanted.checkpoint.clone(),
            };
            let sent = Instant::now();
            self.lease_sent.set(sent);
            let outcome = self.worker.start(&order).await;
            metrics().count_order("start");
            log::info!(
                "event=J166 run ordered task={} attempt={} worker={} outcome={outcome:?} took_ms={} position={} view_age_ms={}",
                order.task,
                order.attempt,
                self.instance,
                sent.elapsed().as_millis(),
                self.parts.freshness.position(),
                self.parts.freshness.age().unwrap_or_default().as_millis()
            );
            if may_have_begun_by(&outcome) {
                self.note_may_have_begun(&wanted.key);
            }
            match outcome {
                Ok(Started::Yes) => {
                    self.set_phase(&wanted.key, Phase::Running);
                    self.wake.notify_waiters();
                    return;
                }
                Ok(Started::No(Refusal::Fenced | Refusal::Late)) => {
                    tokio::time::sleep(START_RETRY).await;
                }
                Ok(Started::No(Refusal::Superseded)) => {
                    // It has ended there: the list of ends says how, unless the store knows it.
                    self.settle_as_stopped(&wanted.key);
                    return;
                }
                Ok(Started::No(Refusal::Unhealthy)) if refused < REFUSED_REPEATS => {
                    refused += 1;
                    tokio::time::sleep(REFUSED_RETRY).await;
                }
                Ok(Started::No(_)) => {
                    self.give_up_start(wanted.key, unanswered);
                    return;
                }
                Err(WorkerError::OtherLife(by)) => {
                    self.replace(by);
                    return;
                }
                // The same run is started once, however often it is ordered.
                Err(_) if unanswered < START_REPEATS => unanswered += 1,
                Err(_) => {
                    self.give_up_start(wanted.key, unanswered + 1);
                    return;
                }
            }
        }
    }

    /// Gives a start up. Only where every order of it was answered has it surely not started;
    /// otherwise it goes through a stop.
    fn give_up_start(self: &Rc<Self>, key: RunKey, unanswered: u32) {
        if unanswered > 0 {
            self.set_phase(&key, Phase::Unanswered(Instant::now()));
            let life = Rc::clone(self);
            tokio::task::spawn_local(async move { life.look_for(&key).await });
        } else {
            self.report_end(PendingEnd::unlisted(key, EndReason::NotStarted));
        }
    }

    /// Looks whether a start without answer was carried out, before it is stopped: the call that waits for an end
    /// wouldn't show it for a second. Stopped unseen, it would take its whole gang with it.
    async fn look_for(self: &Rc<Self>, key: &RunKey) {
        self.set_look_in_flight(key, true);
        self.look().await;
        self.set_look_in_flight(key, false);
        self.parts.freshness.notify();
    }

    fn set_look_in_flight(&self, key: &RunKey, is_in_flight: bool) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            run.look_in_flight = is_in_flight;
        }
    }

    fn note_may_have_begun(&self, key: &RunKey) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            run.may_have_begun = true;
        }
    }

    fn still_wants(&self, key: &RunKey) -> bool {
        let table = self.parts.table.borrow();
        !self.is_draining()
            && !self.is_in_drained_domain()
            && !self.is_evicted()
            && table.should_run(&self.instance, &key.0, key.1)
            && self.parts.freshness.is_within(self.parts.settings.max_start_table_age)
    }

    fn set_phase(&self, key: &RunKey, phase: Phase) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            // A listing may have shown it running before the order's answer came, or didn't.
            if run.phase != Phase::Running {
                run.phase = phase;
            }
        }
    }
}

/// Returns whether a run may have begun by an order. A worker that answers otherwise has done nothing, and one that
/// nobody listens for hasn't got the order: what was only assigned to a crashed worker isn't suspected for it.
const fn may_have_begun_by(outcome: &Result<Started, WorkerError>) -> bool {
    matches!(outcome, Ok(Started::Yes) | Err(WorkerError::NoAnswer))
}
