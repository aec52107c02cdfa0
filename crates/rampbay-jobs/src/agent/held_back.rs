//! Why the agent doesn't order runs that the table assigns to its worker.

use super::incarnation::Incarnation;

/// Reason for which an agent holds back assigned runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeldBack {
    /// The worker's runs haven't been listed yet.
    NotListed,
    /// The state hasn't been read yet.
    NoState,
    /// The worker is evicted.
    Evicted,
    /// The worker is suspected, and this process hasn't answered yet.
    Suspected,
    /// This process hasn't registered the worker.
    NotRegistered,
    /// The table is too old.
    OldView,
    /// Another attempt of the task may still be running.
    OtherAttempt,
    /// The free capacity isn't known: a run's resources or the worker's own are unknown.
    UnknownRoom,
    /// This process is about to end.
    Ceased,
}

impl Incarnation {
    /// Returns why no run at all may be started now, if so.
    pub(super) fn held_back(&self) -> Option<HeldBack> {
        if self.has_ceased() {
            Some(HeldBack::Ceased)
        } else if !self.listed.get() {
            Some(HeldBack::NotListed)
        } else if self.parts.freshness.age().is_none() {
            Some(HeldBack::NoState)
        } else if self.is_evicted() {
            Some(HeldBack::Evicted)
        } else if self.is_suspected() {
            Some(HeldBack::Suspected)
        } else if !self.is_registered() {
            Some(HeldBack::NotRegistered)
        } else if !self.parts.freshness.is_within(self.parts.settings.max_start_table_age) {
            Some(HeldBack::OldView)
        } else {
            None
        }
    }

    /// Logs when assigned runs begin to be held back, and when the reason changes.
    pub(super) fn log_held_back(&self, reason: Option<HeldBack>) {
        if self.logged_held_back.get() == reason {
            return;
        }
        let wanted = if reason.is_some() { self.wanted().len() } else { 0 };
        let logged = reason.filter(|_| wanted > 0);
        if let Some(reason) = logged {
            let age = self.parts.freshness.age().unwrap_or_default();
            log::warn!(
                "event=J182 runs held back worker={} reason={reason:?} wanted={wanted} position={} view_age_ms={} open={:?}",
                self.instance,
                self.parts.freshness.position(),
                age.as_millis(),
                self.runs.borrow().describe_open()
            );
        }
        self.logged_held_back.set(logged);
    }
}
