//! How old the outlook is that a process knows.

use std::cell::Cell;
use std::time::Duration;

use crate::clock::Moment;

use super::Outlook;

/// The age of the newest outlook.
///
/// An outlook that arrives wasn't in the store when the view was last current, which bounds its age whatever the clocks of
/// the machines say. An outlook that came with the whole state may be of any age: it isn't used.
#[derive(Debug, Default)]
pub struct ReceivedOutlook {
    /// Version of the outlook, and a moment after which it was stored.
    arrival: Cell<Option<((u64, u64), Moment)>>,
}

impl ReceivedOutlook {
    /// Records that an outlook has arrived in a view that was `view_age` old; `None` if nothing was known before.
    pub fn note(&self, outlook: &Outlook, view_age: Option<Duration>) {
        let stored_after = view_age.and_then(|age| Moment::now().checked_sub(age));
        self.arrival.set(stored_after.map(|at| (outlook.version(), at)));
    }

    /// Forgets the arrival, since the whole state was read anew.
    pub fn forget(&self) {
        self.arrival.set(None);
    }

    /// Returns the greatest possible time since an outlook was stored; `None` if it isn't known.
    #[must_use]
    pub fn age(&self, outlook: &Outlook) -> Option<Duration> {
        let (version, stored_after) = self.arrival.get()?;
        (version == outlook.version()).then(|| stored_after.elapsed())
    }
}
