//! Orders the starts and stops that bring the worker's runs in line with the table.

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

/// Longest time between two checks of what has to be ordered.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before a start is retried that was rejected for its fencing token or for a lease that had
/// ended by the worker's clock, or that waits until no suspicion of the worker is unanswered.
const START_RETRY: Duration = Duration::from_millis(100);
/// How often an unanswered start is repeated before the agent gives it up.
const START_REPEATS: u32 = 2;
/// How often a start that an unhealthy worker rejected is repeated before the agent gives it up.
const REFUSED_REPEATS: u32 = 3;
/// Pause before a start that an unhealthy worker rejected is repeated.
const REFUSED_RETRY: Duration = Duration::from_millis(60);

/// A run that the table assigns to this incarnation.
pub(super) struct Wanted {
    pub(super) key: RunKey,
    payload: String,
    checkpoint: String,
}

impl Incarnation {
    /// Orders starts and stops until the incarnation has ended.
    pub(super) async fn give_orders(self: &Rc<Self>) {
        let mut changes = self.parts.freshness.subscribe();
        while !self.has_ended() {
            changes.borrow_and_update();
            let mut held_back = self.held_back();
            if self.listed.get() && self.parts.freshness.age().is_some() {
                self.hand_back_reassigned();
                held_back = held_back.or_else(|| self.start_wanted());
                self.adopt_unknown_stops();
                self.stop_unwanted();
            }
            self.log_held_back(held_back);
            let _ = tokio::time::timeout(CHECK_INTERVAL, changes.changed()).await;
        }
    }

    /// Starts the runs that the table assigns. Returns why some of them have to wait, if they do.
    fn start_wanted(self: &Rc<Self>) -> Option<HeldBack> {
        let mut held_back = None;
        let all_wanted = self.wanted();
        let keys = || all_wanted.iter().map(|wanted| wanted.key.clone()).collect();
        let inherited = self.inherited.get_or_init(keys);
        for wanted in all_wanted {
            if self.has_other_attempt(&wanted.key) {
                held_back = Some(HeldBack::OtherAttempt);
                continue;
            }
            let is_blocked = self.is_draining() || self.is_in_drained_domain();
            let fit = self.check_fit(&wanted.key);
            if fit == Fit::Unknown {
                held_back = Some(HeldBack::UnknownRoom);
                continue;
            }
            let mut run = if inherited.contains(&wanted.key) {
                Run::of_earlier_process(Phase::Starting, self.process_started_at)
            } else {
                Run::new(Phase::Starting)
            };
            let is_refused = is_blocked || fit == Fit::No;
            run.may_hold_resources = !is_refused;
            self.runs.borrow_mut().open.insert(wanted.key.clone(), run);
            if is_refused {
                self.give_up_start(wanted.key, 0);
                continue;
            }
            self.wake.notify_waiters();
            let incarnation = Rc::clone(self);
            tokio::task::spawn_local(async move { incarnation.start(wanted).await });
        }
        held_back
    }

    /// Returns whether another attempt of a task may still be running at this worker. The run is
    /// checked again once that attempt has ended: two attempts at one worker would be two runs of
    /// the task.
    fn has_other_attempt(&self, key: &RunKey) -> bool {
        let runs = self.runs.borrow();
        let mut others =
            runs.open.keys().filter(|(task, attempt)| *task == key.0 && *attempt != key.1);
        others.any(|other| !runs.ended.contains(other))
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.parts.table.borrow().evicted.contains(&self.instance)
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.parts.table.borrow().is_suspected(&self.instance)
    }

    /// Lists the runs that the table assigns to this incarnation and that it has neither open nor
    /// ended.
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
                if !is_mine || runs.open.contains_key(&key) || runs.ended.contains(&key) {
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
            self.announce_unanswered_start(&wanted.key).await;
            if self.has_ceased() {
                // The next process of this machine orders the run.
                return;
            }
            let Some(lease_until) = self.lease_until().filter(|_| !self.is_suspected()) else {
                tokio::time::sleep(START_RETRY).await;
                continue;
            };
            if !self.still_wants(&wanted.key) || self.check_fit(&wanted.key) != Fit::Yes {
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
            let earlier = self.replace_unanswered_start(&wanted.key, Some(sent));
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
            if is_definite(&outcome) {
                self.replace_unanswered_start(&wanted.key, earlier);
            }
            if may_have_begun_by(&outcome) {
                self.mark_may_have_begun(&wanted.key);
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
                    // The run has ended at the worker, whose list of ends says how, unless the
                    // store holds that end already.
                    self.mark_stop_answered(&wanted.key);
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
                // A repeat is safe: the worker starts the same run only once.
                Err(_) if unanswered < START_REPEATS => unanswered += 1,
                Err(_) => {
                    self.give_up_start(wanted.key, unanswered + 1);
                    return;
                }
            }
        }
    }

    /// Gives up a start. The run is reported as not started only if every order for it was
    /// answered, also those of an earlier process; otherwise it may have started, and has to be
    /// stopped first.
    fn give_up_start(self: &Rc<Self>, key: RunKey, unanswered: u32) {
        let may_start = |run: &Run| run.unanswered_start.is_some();
        let may_start = self.runs.borrow().open.get(&key).is_some_and(may_start);
        if unanswered > 0 || may_start {
            self.set_phase(&key, Phase::Unanswered(Instant::now()));
            let incarnation = Rc::clone(self);
            tokio::task::spawn_local(async move { incarnation.poll_for(&key).await });
        } else {
            self.report_end(PendingEnd::unlisted(key, EndReason::NotStarted));
        }
    }

    /// Polls the worker for a run whose start got no answer, before that run is stopped: the
    /// renewal that waits for an end wouldn't show the run for a second. Without the poll, a run
    /// that did start would be stopped, and its whole gang with it.
    async fn poll_for(self: &Rc<Self>, key: &RunKey) {
        self.set_poll_in_flight(key, true);
        self.poll().await;
        self.set_poll_in_flight(key, false);
        self.parts.freshness.notify();
    }

    fn set_poll_in_flight(&self, key: &RunKey, is_in_flight: bool) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            run.poll_in_flight = is_in_flight;
        }
    }

    /// Sets when a run's last start was sent that got no definite answer. Returns the previous value.
    fn replace_unanswered_start(&self, key: &RunKey, sent: Option<Instant>) -> Option<Instant> {
        let mut runs = self.runs.borrow_mut();
        let run = runs.open.get_mut(key)?;
        std::mem::replace(&mut run.unanswered_start, sent)
    }

    fn mark_may_have_begun(&self, key: &RunKey) {
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
            // A listing may show the run as running before the start's answer arrives, or without
            // any answer.
            if run.phase != Phase::Running {
                run.phase = phase;
            }
        }
    }
}

/// Returns whether a start is certainly not carried out any more after this outcome.
const fn is_definite(outcome: &Result<Started, WorkerError>) -> bool {
    !matches!(outcome, Err(WorkerError::NoAnswer))
}

/// Returns whether the run may have begun, given the outcome of its start. A worker that gives
/// another answer has started nothing, and a refused connection means that the order didn't arrive.
/// So runs that were only assigned to a crashed worker aren't suspected of the crash.
const fn may_have_begun_by(outcome: &Result<Started, WorkerError>) -> bool {
    matches!(outcome, Ok(Started::Yes) | Err(WorkerError::NoAnswer))
}
