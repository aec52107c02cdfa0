//! Stops runs that the table doesn't want, and hands back runs that the planner may have
//! reassigned.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::metrics;
use crate::plan::TaskStatus;
use crate::worker::{StopOrder, WorkerError};

use super::incarnation::Incarnation;
use super::runs::{Phase, Run, RunKey};

/// Pause between the answer to a stop and the poll that shows whether the worker had the run at
/// all.
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Pause before an unanswered stop is repeated.
const STOP_RETRY: Duration = Duration::from_millis(50);

impl Incarnation {
    /// Hands back runs that the planner may have reassigned: the worker is evicted, its
    /// registration is gone or was gone when they were assigned, or an earlier process of this
    /// agent has refused them. The planner may start them elsewhere by a decision that isn't in the
    /// table yet, and a start by an earlier process may still be carried out. So each of them is
    /// stopped, after which it certainly never starts here, and its end is reported to the planner.
    pub(super) fn hand_back_reassigned(&self) {
        for wanted in self.wanted().into_iter().filter(|wanted| self.may_be_reassigned(&wanted.key))
        {
            let (task, attempt) = &wanted.key;
            log::info!(
                "event=J174 run handed back task={task} attempt={attempt} worker={} position={}",
                self.instance,
                self.parts.freshness.position()
            );
            let phase = Phase::Unanswered(Instant::now());
            let run = Run::of_earlier_process(phase, self.process_started_at);
            self.runs.borrow_mut().open.insert(wanted.key, run);
        }
    }

    fn may_be_reassigned(&self, key: &RunKey) -> bool {
        let table = self.parts.table.borrow();
        table.evicted.contains(&self.instance)
            || !table.workers.contains_key(&self.instance)
            || table.was_assigned_before_return(&self.instance, key)
            || table.has_refusal(&key.0, key.1)
    }

    /// Adopts runs that are to be stopped and that this process doesn't know. A start by an earlier
    /// process may still be in flight, so they are stopped like any other run.
    pub(super) fn adopt_unknown_stops(&self) {
        let table = self.parts.table.borrow();
        let mut runs = self.runs.borrow_mut();
        for id in &table.active {
            let Some(plan) = table.jobs.get(id).and_then(|job| job.plan.as_ref()) else { continue };
            for (task_id, task) in plan.tasks(id) {
                let is_mine = task.status == TaskStatus::Stopping && task.instance == self.instance;
                let key = (task_id, task.attempt);
                if is_mine && !runs.ended.contains(&key) {
                    let phase = Phase::Unanswered(Instant::now());
                    let unknown = || Run::of_earlier_process(phase, self.process_started_at);
                    runs.open.entry(key).or_insert_with(unknown);
                }
            }
        }
    }

    pub(super) fn stop_unwanted(self: &Rc<Self>) {
        for key in self.unwanted() {
            if let Some(run) = self.runs.borrow_mut().open.get_mut(&key) {
                run.stop_in_flight = true;
            }
            let incarnation = Rc::clone(self);
            tokio::task::spawn_local(async move { incarnation.stop(key).await });
        }
    }

    /// Lists runs to stop: those that the table doesn't want, and those whose start stayed
    /// unanswered for too long.
    fn unwanted(&self) -> Vec<RunKey> {
        let table = self.parts.table.borrow();
        let evicted = table.evicted.contains(&self.instance);
        let runs = self.runs.borrow();
        let unwanted = runs.open.iter().filter(|(key, run)| {
            let (task, attempt) = key;
            let has_reappeared = run.phase == Phase::Running && runs.never_started.contains(*key);
            if runs.ended.contains(*key) && !has_reappeared {
                return false;
            }
            let is_settling = run.stop_in_flight || run.poll_in_flight;
            if is_settling || run.stop_answered.is_some() || run.phase == Phase::Starting {
                return false;
            }
            let unanswered = matches!(run.phase, Phase::Unanswered(since)
                if since.elapsed() > self.parts.settings.unanswered_start_timeout);
            has_reappeared
                || unanswered
                || evicted
                || !table.should_run(&self.instance, task, *attempt)
        });
        unwanted.map(|(key, _)| key.clone()).collect()
    }

    async fn stop(self: &Rc<Self>, key: RunKey) {
        let order =
            StopOrder { task: key.0.clone(), attempt: key.1, fencing_token: self.fencing_token() };
        while !self.has_ended() {
            let order = StopOrder { fencing_token: self.fencing_token(), ..order.clone() };
            let outcome = self.worker.stop(&order).await;
            metrics().count_order("stop");
            log::info!(
                "event=J167 stop ordered task={} attempt={} worker={} outcome={outcome:?}",
                key.0,
                key.1,
                self.instance
            );
            match outcome {
                Ok(()) => break,
                Err(WorkerError::OtherLife(by)) => self.replace(by),
                Err(_) => tokio::time::sleep(STOP_RETRY).await,
            }
        }
        self.mark_stop_answered(&key);
        let runs = |run: &Run| run.phase == Phase::Running;
        if !self.runs.borrow().open.get(&key).is_some_and(runs) {
            // The run may never have started, in which case the worker lists no end for it.
            tokio::time::sleep(POLL_PAUSE).await;
            self.poll().await;
        }
    }

    /// Records that a run has ended or will never start; the next listing shows which.
    pub(super) fn mark_stop_answered(&self, key: &RunKey) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            run.stop_answered = Some(Instant::now());
            run.stop_in_flight = false;
        }
        self.wake.notify_waiters();
    }
}
