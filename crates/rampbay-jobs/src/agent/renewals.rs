//! Renews leases and learns what runs and what has ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::record::EndReason;
use crate::worker::{Listing, RenewOrder, WorkerError};

use super::ends::PendingEnd;
use super::life::{Life, LifeEnd};
use super::runs::{Phase, Run, RunKey};

/// Pause after a call without answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause while ends are on their way to the store, during which the worker would answer at once.
const STORING_PAUSE: Duration = Duration::from_millis(100);
/// Time after which an idle worker is looked at, whether it sends heartbeats or not: a start that was given up may be
/// carried out late, and a heartbeat doesn't tell what runs.
const IDLE_LOOK: Duration = Duration::from_millis(2000);

impl Life {
    /// Renews and lists until the life is over.
    pub(super) async fn renew_for_ever(self: &Rc<Self>) {
        while !self.is_over() {
            if !self.needs_look() {
                let _ =
                    tokio::time::timeout(Duration::from_millis(500), self.wake.notified()).await;
                continue;
            }
            let order = self.renew_order();
            let sent = Instant::now();
            if order.lease_until.is_some() {
                self.lease_sent.set(sent);
            }
            match self.worker.renew(&order).await {
                Ok(listing) => {
                    self.noted.set(self.noted.get().max(order.last_seen));
                    self.take_in(&listing, sent);
                    if self.storing.get() {
                        tokio::time::sleep(STORING_PAUSE).await;
                    }
                }
                Err(WorkerError::OtherLife) => self.end(LifeEnd::Replaced),
                Err(error @ (WorkerError::NoAnswer | WorkerError::Refused)) => {
                    if error == WorkerError::Refused {
                        self.note_refused();
                    }
                    self.judge_silence();
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn needs_look(&self) -> bool {
        !self.listed.get()
            || self.has_runs()
            || self.noted.get() < self.last_seen.get()
            || self.looked.get().elapsed() > IDLE_LOOK
    }

    fn renew_order(&self) -> RenewOrder {
        // The clock is read before the check: a process that is stopped between the two, and goes on by
        // what it knew before, so never renews from after the stop.
        let lease_until = self.lease_until().filter(|_| self.may_renew());
        let waits = self.listed.get() && self.has_runs() && !self.storing.get();
        let wait = if waits { self.parts.settings.renewal_wait } else { Duration::ZERO };
        // Said once: a worker that has started again under its name counts its ends anew, and would forget them.
        let is_noted = self.noted.get() >= self.last_seen.get();
        let last_seen = if is_noted { 0 } else { self.last_seen.get() };
        RenewOrder { lease_until, fencing_token: self.fencing_token(), last_seen, wait }
    }

    /// Looks once, beside the call that waits for an end.
    pub(super) async fn look(self: &Rc<Self>) {
        let sent = Instant::now();
        let order = RenewOrder { lease_until: None, wait: Duration::ZERO, ..self.renew_order() };
        if let Ok(listing) = self.worker.renew(&order).await {
            self.take_in(&listing, sent);
        }
    }

    /// Returns whether calls to the worker are turned away for want of a listener.
    pub(super) async fn nobody_listens(self: &Rc<Self>) -> bool {
        let order = RenewOrder { lease_until: None, wait: Duration::ZERO, ..self.renew_order() };
        self.worker.renew(&order).await.is_err_and(|error| error == WorkerError::Refused)
    }

    /// Ends the life once all its leases have surely lapsed without a sign of the worker.
    fn judge_silence(&self) {
        let settings = &self.parts.settings;
        let silent = self.heard.get().elapsed() > settings.silence;
        if silent && self.leases_have_lapsed() {
            self.end(LifeEnd::Silent);
        }
    }

    fn take_in(self: &Rc<Self>, listing: &Listing, sent: Instant) {
        let now = Instant::now();
        self.heard.set(Moment::now());
        self.looked.set(now);
        self.clock.set(Some((listing.clock, now)));
        self.take_in_running(listing);
        self.finish_vanished(listing, sent);
        self.take_in_ended(listing);
        if !self.listed.replace(true) {
            self.parts.freshness.notify();
        }
        self.wake.notify_waiters();
    }

    fn take_in_running(&self, listing: &Listing) {
        let mut runs = self.runs.borrow_mut();
        for progress in &listing.running {
            let key = (progress.task.clone(), progress.attempt);
            // An answer that was overtaken may show a run whose end has been listed since.
            let has_ended = runs.over.contains(&key) && !runs.never_started.contains(&key);
            if has_ended && !runs.open.contains_key(&key) {
                continue;
            }
            let run = runs.open.entry(key).or_insert_with(|| Run::new(Phase::Running));
            run.phase = Phase::Running;
            run.may_have_begun = true;
            run.percent = progress.percent;
            run.listed_at = Instant::now();
            run.checkpoint.clone_from(&progress.checkpoint);
        }
    }

    /// Reports runs that a listing made after their stop was answered no longer shows.
    fn finish_vanished(self: &Rc<Self>, listing: &Listing, sent: Instant) {
        let is_listed = |key: &RunKey| {
            let runs = listing.running.iter().any(|run| run.task == key.0 && run.attempt == key.1);
            runs || listing.ended.iter().any(|end| end.task == key.0 && end.attempt == key.1)
        };
        let vanished: Vec<(RunKey, EndReason)> = {
            let runs = self.runs.borrow();
            let stopped = runs.open.iter().filter(|(key, run)| {
                run.stop_answered.is_some_and(|at| at < sent) && !is_listed(key)
            });
            stopped.map(|(key, run)| (key.clone(), reason_of_vanished(run))).collect()
        };
        for (key, reason) in vanished {
            self.report_end(PendingEnd::unlisted(key, reason));
        }
    }
}

fn reason_of_vanished(run: &Run) -> EndReason {
    if run.phase == Phase::Running { EndReason::Stopped } else { EndReason::NotStarted }
}
