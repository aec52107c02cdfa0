//! Stops what runs at the worker and isn't wanted, and what may be given up already.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::metrics;
use crate::plan::TaskStatus;
use crate::worker::{StopOrder, WorkerError};

use super::incarnation::Incarnation;
use super::runs::{Phase, Run, RunKey};

/// Pause between a stop's answer and the look that shows whether a run was there at all.
const LOOK_PAUSE: Duration = Duration::from_millis(5);
/// Pause before a stop without answer is repeated.
const STOP_RETRY: Duration = Duration::from_millis(50);

impl Incarnation {
    /// Settles runs that may have been given up already: the worker is evicted, or its registration is gone or was
    /// when they were assigned, or an earlier process of this agent has refused them. The planner may start them
    /// elsewhere by a decision that is on its way, and a start by an earlier process may still be carried out. So
    /// each goes through a stop, after which it surely never starts here, and the planner is told so.
    pub(super) fn settle_given_up(&self) {
        for wanted in self.wanted().into_iter().filter(|wanted| self.may_be_given_up(&wanted.key)) {
            let (task, attempt) = &wanted.key;
            log::info!(
                "event=J174 run passed back task={task} attempt={attempt} worker={} position={}",
                self.instance,
                self.parts.freshness.position()
            );
            let run = Run::new(Phase::Unanswered(Instant::now()));
            self.runs.borrow_mut().open.insert(wanted.key, run);
        }
    }

    fn may_be_given_up(&self, key: &RunKey) -> bool {
        let table = self.parts.table.borrow();
        table.evicted.contains(&self.instance)
            || !table.workers.contains_key(&self.instance)
            || table.was_assigned_before_return(&self.instance, key)
            || table.has_refusal(&key.0, key.1)
    }

    /// Takes up runs that the planner wants stopped and this process never heard of. A start by an
    /// earlier process may still be on its way, so each goes through a stop like any other.
    pub(super) fn take_up_unknown_stops(&self) {
        let table = self.parts.table.borrow();
        let mut runs = self.runs.borrow_mut();
        for id in &table.active {
            let Some(plan) = table.jobs.get(id).and_then(|job| job.plan.as_ref()) else { continue };
            for (task_id, task) in plan.tasks(id) {
                let is_mine = task.status == TaskStatus::Stopping && task.instance == self.instance;
                let key = (task_id, task.attempt);
                if is_mine && !runs.over.contains(&key) {
                    let unheard = || Run::new(Phase::Unanswered(Instant::now()));
                    runs.open.entry(key).or_insert_with(unheard);
                }
            }
        }
    }

    pub(super) fn stop_unwanted(self: &Rc<Self>) {
        for key in self.unwanted() {
            if let Some(run) = self.runs.borrow_mut().open.get_mut(&key) {
                run.stop_in_flight = true;
            }
            let life = Rc::clone(self);
            tokio::task::spawn_local(async move { life.stop(key).await });
        }
    }

    /// Lists runs that the table doesn't want, and starts that got no answer for too long.
    fn unwanted(&self) -> Vec<RunKey> {
        let table = self.parts.table.borrow();
        let evicted = table.evicted.contains(&self.instance);
        let runs = self.runs.borrow();
        let unwanted = runs.open.iter().filter(|(key, run)| {
            let (task, attempt) = key;
            let shows_up = run.phase == Phase::Running && runs.never_started.contains(*key);
            if runs.over.contains(*key) && !shows_up {
                return false;
            }
            let is_settling = run.stop_in_flight || run.look_in_flight;
            if is_settling || run.stop_answered.is_some() || run.phase == Phase::Starting {
                return false;
            }
            let unanswered = matches!(run.phase, Phase::Unanswered(since)
                if since.elapsed() > self.parts.settings.unanswered_start_timeout);
            shows_up || unanswered || evicted || !table.should_run(&self.instance, task, *attempt)
        });
        unwanted.map(|(key, _)| key.clone()).collect()
    }

    async fn stop(self: &Rc<Self>, key: RunKey) {
        let order =
            StopOrder { task: key.0.clone(), attempt: key.1, fencing_token: self.fencing_token() };
        while !self.is_over() {
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
        self.settle_as_stopped(&key);
        let runs = |run: &Run| run.phase == Phase::Running;
        if !self.runs.borrow().open.get(&key).is_some_and(runs) {
            // It may never have started: no end will tell.
            tokio::time::sleep(LOOK_PAUSE).await;
            self.look().await;
        }
    }

    /// Leaves a run to the next listing: it has ended by now, or never starts.
    pub(super) fn settle_as_stopped(&self, key: &RunKey) {
        if let Some(run) = self.runs.borrow_mut().open.get_mut(key) {
            run.stop_answered = Some(Instant::now());
            run.stop_in_flight = false;
        }
        self.wake.notify_waiters();
    }
}
