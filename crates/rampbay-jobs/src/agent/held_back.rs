//! Tells why runs that the table wants aren't ordered.

use super::life::Life;

/// Why an agent orders none of the runs that the table wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HeldBack {
    /// The worker's runs haven't been listed yet.
    NotListed,
    /// The state hasn't been read yet.
    NoState,
    /// The worker isn't registered by this process.
    NotRegistered,
    /// The worker is evicted.
    Evicted,
    /// The view of the state is too old.
    OldView,
    /// Another attempt of the task may run still.
    OtherAttempt,
    /// What the worker's runs hold isn't known.
    UnknownRoom,
}

impl Life {
    /// Tells when wanted runs begin to be held back, and when the reason changes.
    pub(super) fn tell_held_back(&self) {
        let reason = self.held_back_by();
        if self.held_back.replace(reason) == reason {
            return;
        }
        if let Some(reason) = reason {
            let age = self.parts.freshness.age().unwrap_or_default();
            log::warn!(
                "event=J182 runs held back worker={} reason={reason:?} wanted={} position={} view_age_ms={} open={:?}",
                self.instance,
                self.wanted().len(),
                self.parts.freshness.position(),
                age.as_millis(),
                self.runs.borrow().describe_open()
            );
        }
    }

    fn held_back_by(&self) -> Option<HeldBack> {
        let wanted = self.wanted();
        if wanted.is_empty() {
            return None;
        }
        if !self.listed.get() {
            return Some(HeldBack::NotListed);
        }
        if self.parts.freshness.age().is_none() {
            return Some(HeldBack::NoState);
        }
        if self.is_evicted() {
            return Some(HeldBack::Evicted);
        }
        if !self.is_registered() {
            return Some(HeldBack::NotRegistered);
        }
        if !self.parts.freshness.is_within(self.parts.settings.start_age) {
            return Some(HeldBack::OldView);
        }
        let is_held = |key| match self.has_other_attempt(key) {
            true => Some(HeldBack::OtherAttempt),
            false => self.is_room_unknown(key).then_some(HeldBack::UnknownRoom),
        };
        wanted.iter().find_map(|wanted| is_held(&wanted.key))
    }
}
