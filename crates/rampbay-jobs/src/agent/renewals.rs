//! Renews leases and learns what runs and what has ended.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::record::EndReason;
use crate::worker::{Listing, RenewOrder, WorkerError};

use super::ends::PendingEnd;
use super::incarnation::{Incarnation, LifeEnd};
use super::runs::{Phase, Run, RunKey, Runs};

/// Pause after a call without answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause while ends are on their way to the store, during which the worker would answer at once.
const STORING_PAUSE: Duration = Duration::from_millis(100);
/// Pause between looks at a life that hasn't answered yet: until it has seen an order of its own, it carries out late
/// ones for the life before.
const FIRST_LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Most such looks: in a second the usual calls have followed each other too.
const MOST_FIRST_LOOKS: u32 = 20;
/// Time after which an idle worker is looked at, whether it sends heartbeats or not: a start that was given up may be
/// carried out late, and a heartbeat doesn't tell what runs.
const IDLE_LOOK: Duration = Duration::from_millis(2000);

impl Incarnation {
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
            let outcome = self.worker.renew(&order).await;
            self.tell_noting(&order, outcome.as_ref().err());
            match outcome {
                Ok(listing) => {
                    self.noted.set(self.noted.get().max(order.last_seen));
                    self.take_in(&listing, sent);
                    if self.storing.get() {
                        tokio::time::sleep(STORING_PAUSE).await;
                    }
                }
                Err(WorkerError::OtherLife(by)) => self.replace(by),
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

    /// Looks again and again until the life has answered once, beside the calls that wait for their answers; then waits for
    /// ever.
    pub(super) async fn look_until_listed(self: &Rc<Self>) {
        for _ in 0..MOST_FIRST_LOOKS {
            tokio::time::sleep(FIRST_LOOK_PAUSE).await;
            if self.listed.get() || self.is_over() {
                break;
            }
            let life = Rc::clone(self);
            tokio::task::spawn_local(async move { life.look().await });
        }
        std::future::pending::<()>().await;
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

    /// Returns a call that changes nothing at the worker.
    fn look_order(&self) -> RenewOrder {
        RenewOrder {
            lease_until: None,
            fencing_token: self.fencing_token(),
            last_seen: 0,
            wait: Duration::ZERO,
        }
    }

    /// Looks once, beside the call that waits for an end.
    pub(super) async fn look(self: &Rc<Self>) {
        let sent = Instant::now();
        let order = self.look_order();
        if let Ok(listing) = self.worker.renew(&order).await {
            self.take_in(&listing, sent);
        }
    }

    /// Tells of a call that lets the worker forget ends, and whether it was answered: without an answer it may be carried
    /// out later.
    fn tell_noting(&self, order: &RenewOrder, error: Option<&WorkerError>) {
        if order.last_seen > 0 {
            log::info!(
                "event=J185 ends noted at the worker worker={} last_seen={} error={error:?}",
                self.instance,
                order.last_seen
            );
        }
    }

    /// Returns whether calls to the worker are turned away for want of a listener.
    pub(super) async fn nobody_listens(self: &Rc<Self>) -> bool {
        let order = self.look_order();
        self.worker.renew(&order).await.is_err_and(|error| error == WorkerError::Refused)
    }

    /// Ends the life once all its leases have surely lapsed without a sign of the worker.
    fn judge_silence(&self) {
        let settings = &self.parts.settings;
        let silent = self.heard.get().elapsed() > settings.silence_timeout;
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
        self.tell_unlisted(listing, sent);
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

    /// Tells once of each run that was listed as running, wasn't stopped, and is in neither list now: its end is forgotten.
    fn tell_unlisted(&self, listing: &Listing, sent: Instant) {
        let mut runs = self.runs.borrow_mut();
        let Runs { open, over, .. } = &mut *runs;
        for (key, run) in open.iter_mut() {
            let was_listed = run.phase == Phase::Running && run.listed_at > run.known_since;
            let is_due = was_listed && run.listed_at < sent && run.stop_answered.is_none();
            if !is_due || over.contains(key) || is_listed(listing, key) || run.told_unlisted {
                continue;
            }
            run.told_unlisted = true;
            log::warn!(
                "event=J186 run neither running nor ended at its worker task={} attempt={} worker={} percent={} listed_ms={}",
                key.0,
                key.1,
                self.instance,
                run.percent,
                run.listed_at.elapsed().as_millis()
            );
        }
    }

    /// Reports runs that a listing made after their stop was answered no longer shows.
    fn finish_vanished(self: &Rc<Self>, listing: &Listing, sent: Instant) {
        let vanished: Vec<(RunKey, EndReason)> = {
            let runs = self.runs.borrow();
            let stopped = runs.open.iter().filter(|(key, run)| {
                run.stop_answered.is_some_and(|at| at < sent) && !is_listed(listing, key)
            });
            stopped.map(|(key, run)| (key.clone(), reason_of_vanished(run))).collect()
        };
        for (key, reason) in vanished {
            self.report_end(PendingEnd::unlisted(key, reason));
        }
    }
}

fn is_listed(listing: &Listing, key: &RunKey) -> bool {
    let runs = listing.running.iter().any(|run| run.task == key.0 && run.attempt == key.1);
    runs || listing.ended.iter().any(|end| end.task == key.0 && end.attempt == key.1)
}

fn reason_of_vanished(run: &Run) -> EndReason {
    if run.phase == Phase::Running { EndReason::Stopped } else { EndReason::NotStarted }
}
