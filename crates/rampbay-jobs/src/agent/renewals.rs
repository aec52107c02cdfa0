//! Renews leases, and processes the worker's lists of running and ended runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::Moment;
use crate::record::EndReason;
use crate::worker::{Listing, RenewOrder, WorkerError, checkpoint_to_keep};

use super::ends::PendingEnd;
use super::incarnation::{EndCause, Incarnation};
use super::runs::{Phase, Run, RunKey, Runs};

/// Pause after a call without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause while listed ends are being appended to the store; the worker would answer a renewal at
/// once until they are acknowledged.
const STORING_PAUSE: Duration = Duration::from_millis(100);
/// Pause between polls of an incarnation that hasn't answered yet. Until it has seen a call meant
/// for it, it carries out late orders for its predecessor.
const FIRST_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Most such polls. They cover a second, after which the regular calls have followed each other as
/// well.
const MAX_FIRST_POLLS: u32 = 20;
/// Pause between polls of a worker that lists withheld ends.
const WITHHOLDING_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time since the incarnation's last answer with which ends are acknowledged to it. Another incarnation that
/// got the call would forget ends of its own.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(250);
/// Time after which an idle worker is polled, even if its heartbeats arrive: a start that was given
/// up may be carried out late, and heartbeats don't list runs.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(2000);

impl Incarnation {
    /// Renews leases and processes listings until the incarnation has ended.
    pub(super) async fn renew_forever(self: &Rc<Self>) {
        while !self.has_ended() {
            if !self.needs_poll() {
                let _ =
                    tokio::time::timeout(Duration::from_millis(500), self.wake.notified()).await;
                continue;
            }
            if let Err(error) = self.confirm().await {
                self.handle_call_error(error).await;
                continue;
            }
            let order = self.renew_order();
            let sent = Instant::now();
            if order.lease_until.is_some() {
                self.lease_sent.set(sent);
            }
            let outcome = self.worker.renew(&order).await;
            self.log_acknowledgement(&order, outcome.as_ref().err());
            match outcome {
                Ok(listing) => {
                    self.acknowledged.set(self.acknowledged.get().max(order.last_seen));
                    self.handle_listing(&listing, sent);
                    if self.listed_append_in_flight.get() {
                        tokio::time::sleep(STORING_PAUSE).await;
                    }
                    self.pause_while_withholding().await;
                }
                Err(error) => self.handle_call_error(error).await,
            }
        }
    }

    async fn handle_call_error(&self, error: WorkerError) {
        let is_refused = error == WorkerError::Refused;
        if let WorkerError::OtherLife(by) = error {
            self.replace(by);
            return;
        }
        self.answered_at.set(None);
        if is_refused {
            self.handle_refused();
        }
        self.end_if_silent();
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Makes sure that the worker is this incarnation, if an earlier one is registered. The call carries the earlier
    /// one's fencing token: should the earlier one still be there, since another writer has sent the heartbeat, it would
    /// reject its own orders after a higher token.
    async fn confirm(&self) -> Result<(), WorkerError> {
        let predecessor = || self.registered_predecessor(&self.parts.table.borrow());
        let Some(predecessor) = (!self.is_confirmed()).then(predecessor).flatten() else {
            return Ok(());
        };
        let fencing_token = self.token_for(&predecessor);
        self.worker.renew(&RenewOrder { fencing_token, ..self.poll_order() }).await?;
        self.confirmed.set(true);
        self.parts.freshness.notify();
        Ok(())
    }

    /// Polls the worker until the incarnation has answered once, without waiting for earlier polls;
    /// then never returns.
    pub(super) async fn poll_until_listed(self: &Rc<Self>) {
        for _ in 0..MAX_FIRST_POLLS {
            tokio::time::sleep(FIRST_POLL_INTERVAL).await;
            if self.listed.get() || self.has_ended() {
                break;
            }
            let incarnation = Rc::clone(self);
            tokio::task::spawn_local(async move { incarnation.poll().await });
        }
        std::future::pending::<()>().await;
    }

    /// Polls the worker while it lists withheld ends, without waiting for earlier polls; never returns. The worker
    /// answers a renewal at once then, instead of waiting for the next end.
    pub(super) async fn poll_while_withholding(self: &Rc<Self>) {
        loop {
            tokio::time::sleep(WITHHOLDING_POLL_INTERVAL).await;
            if self.has_runs() && self.withholds_ends() && !self.has_ended() {
                let incarnation = Rc::clone(self);
                tokio::task::spawn_local(async move { incarnation.poll().await });
            }
        }
    }

    /// Waits as long as the worker would wait for the next end, while all ends that it lists are withheld.
    async fn pause_while_withholding(&self) {
        let until = Instant::now() + self.parts.settings.renewal_wait;
        while self.withholds_ends() && !self.has_ends_to_acknowledge() && Instant::now() < until {
            tokio::time::sleep(WITHHOLDING_POLL_INTERVAL).await;
        }
    }

    fn needs_poll(&self) -> bool {
        !self.listed.get()
            || self.has_runs()
            || self.has_ends_to_acknowledge()
            || self.last_listing.get().elapsed() > IDLE_POLL_INTERVAL
    }

    fn renew_order(&self) -> RenewOrder {
        // The worker's clock is read before the check of what this process knows. A process that is
        // paused between the two then orders a lease that counts from before the pause.
        let lease_until = self.lease_until().filter(|_| self.may_renew());
        let waits = self.listed.get() && self.has_runs() && !self.listed_append_in_flight.get();
        let wait = if waits { self.parts.settings.renewal_wait } else { Duration::ZERO };
        // Each end is acknowledged once: a worker that restarts under the same id numbers its ends
        // from 1 again, and would forget new ends by a repeated acknowledgement.
        let answers = self.answered_at.get().is_some_and(|at| at.elapsed() <= MAX_ANSWER_AGE);
        let acknowledges = answers && self.has_ends_to_acknowledge();
        let last_seen = if acknowledges { self.acknowledgeable() } else { 0 };
        RenewOrder { lease_until, fencing_token: self.fencing_token(), last_seen, wait }
    }

    /// Returns a call that only lists: it renews no lease and acknowledges no end.
    fn poll_order(&self) -> RenewOrder {
        RenewOrder {
            lease_until: None,
            fencing_token: self.fencing_token(),
            last_seen: 0,
            wait: Duration::ZERO,
        }
    }

    /// Polls the worker once, concurrently with the renewal that waits for an end.
    pub(super) async fn poll(self: &Rc<Self>) {
        if self.confirm().await.is_err() {
            return;
        }
        let sent = Instant::now();
        let order = self.poll_order();
        if let Ok(listing) = self.worker.renew(&order).await {
            self.handle_listing(&listing, sent);
        }
    }

    /// Logs a call that acknowledges ends, and whether it was answered: without an answer it may
    /// still be carried out later.
    fn log_acknowledgement(&self, order: &RenewOrder, error: Option<&WorkerError>) {
        if order.last_seen > 0 {
            log::info!(
                "event=J185 ends acknowledged at the worker worker={} last_seen={} error={error:?}",
                self.instance,
                order.last_seen
            );
        }
    }

    /// Returns whether the worker's address refuses connections.
    pub(super) async fn refuses_connections(self: &Rc<Self>) -> bool {
        let order = self.poll_order();
        self.worker.renew(&order).await.is_err_and(|error| error == WorkerError::Refused)
    }

    /// Ends the incarnation if the worker is silent and all its leases have certainly expired.
    fn end_if_silent(&self) {
        let settings = &self.parts.settings;
        let silent = self.last_contact.get().elapsed() > settings.silence_timeout;
        if silent && self.leases_have_expired() {
            self.end(EndCause::Silent);
        }
    }

    fn handle_listing(self: &Rc<Self>, listing: &Listing, sent: Instant) {
        let now = Instant::now();
        self.last_contact.set(Moment::now());
        self.last_listing.set(now);
        self.answered_at.set(Some(now));
        self.clock.set(Some((listing.clock, now)));
        self.update_running(listing);
        self.end_unlisted(listing, sent);
        self.store_listed_ends(listing);
        self.log_lost_ends(listing, sent);
        if !self.listed.replace(true) {
            self.parts.freshness.notify();
        }
        self.wake.notify_waiters();
    }

    fn update_running(&self, listing: &Listing) {
        let mut runs = self.runs.borrow_mut();
        for progress in &listing.running {
            let key = (progress.task.clone(), progress.attempt);
            // An answer that was delayed may list a run whose end a later answer has listed.
            let has_ended = runs.ended.contains(&key) && !runs.never_started.contains(&key);
            if has_ended && !runs.open.contains_key(&key) {
                continue;
            }
            let run = runs.open.entry(key).or_insert_with(|| {
                Run::of_earlier_process(Phase::Running, self.foreign_starts_until)
            });
            run.phase = Phase::Running;
            run.may_have_begun = true;
            run.may_hold_resources = true;
            run.percent = progress.percent;
            run.listed_at = Instant::now();
            checkpoint_to_keep(&progress.checkpoint).clone_into(&mut run.checkpoint);
        }
    }

    /// Logs once each run that was listed as running, wasn't stopped, and is now in neither list:
    /// the worker has forgotten its end.
    fn log_lost_ends(&self, listing: &Listing, sent: Instant) {
        let mut runs = self.runs.borrow_mut();
        let Runs { open, ended, .. } = &mut *runs;
        for (key, run) in open.iter_mut() {
            let was_listed = run.phase == Phase::Running && run.listed_at > run.known_since;
            let is_due = was_listed && run.listed_at < sent && run.stop_answered.is_none();
            if !is_due || ended.contains(key) || is_listed(listing, key) || run.logged_lost_end {
                continue;
            }
            run.logged_lost_end = true;
            log::warn!(
                "event=J186 run listed neither as running nor as ended task={} attempt={} worker={} percent={} listed_ms={}",
                key.0,
                key.1,
                self.instance,
                run.percent,
                run.listed_at.elapsed().as_millis()
            );
        }
    }

    /// Reports the end of stopped runs that are missing from a listing requested after their stop
    /// was answered.
    fn end_unlisted(self: &Rc<Self>, listing: &Listing, sent: Instant) {
        let unlisted: Vec<(RunKey, EndReason)> = {
            let runs = self.runs.borrow();
            let stopped = runs.open.iter().filter(|(key, run)| {
                run.stop_answered.is_some_and(|at| at < sent) && !is_listed(listing, key)
            });
            stopped.map(|(key, run)| (key.clone(), reason_of_unlisted(run))).collect()
        };
        for (key, reason) in unlisted {
            self.report_end(PendingEnd::unlisted(key, reason));
        }
    }
}

fn is_listed(listing: &Listing, key: &RunKey) -> bool {
    let runs = listing.running.iter().any(|run| run.task == key.0 && run.attempt == key.1);
    runs || listing.ended.iter().any(|end| end.task == key.0 && end.attempt == key.1)
}

fn reason_of_unlisted(run: &Run) -> EndReason {
    if run.phase == Phase::Running { EndReason::Stopped } else { EndReason::NotStarted }
}
