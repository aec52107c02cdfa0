//! Why runs that the table wants aren't ordered.

use super::incarnation::Incarnation;

/// Why an agent holds wanted runs back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeldBack {
    /// The worker's runs haven't been listed yet.
    NotListed,
    /// The state hasn't been read yet.
    NoState,
    /// The worker is evicted.
    Evicted,
    /// The worker isn't registered by this process.
    NotRegistered,
    /// The view of the state is too old.
    OldView,
    /// Another attempt of the task may run still.
    OtherAttempt,
    /// What the worker's runs hold isn't known.
    UnknownRoom,
}

impl Incarnation {
    /// Returns why no run at all may be ordered now.
    pub(super) fn held_back(&self) -> Option<HeldBack> {
        if !self.listed.get() {
            Some(HeldBack::NotListed)
        } else if self.parts.freshness.age().is_none() {
            Some(HeldBack::NoState)
        } else if self.is_evicted() {
            Some(HeldBack::Evicted)
        } else if !self.is_registered() {
            Some(HeldBack::NotRegistered)
        } else if !self.parts.freshness.is_within(self.parts.settings.max_start_table_age) {
            Some(HeldBack::OldView)
        } else {
            None
        }
    }

    /// Tells when wanted runs begin to be held back, and when the reason changes.
    pub(super) fn tell_held_back(&self, reason: Option<HeldBack>) {
        if self.told_held_back.get() == reason {
            return;
        }
        let wanted = if reason.is_some() { self.wanted().len() } else { 0 };
        let told = reason.filter(|_| wanted > 0);
        if let Some(reason) = told {
            let age = self.parts.freshness.age().unwrap_or_default();
            log::warn!(
                "event=J182 runs held back worker={} reason={reason:?} wanted={wanted} position={} view_age_ms={} open={:?}",
                self.instance,
                self.parts.freshness.position(),
                age.as_millis(),
                self.runs.borrow().describe_open()
            );
        }
        self.told_held_back.set(told);
    }
}
