//! Checks that no task starts again after an end as done that its worker was told to forget, and that none runs twice.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rampbay_jobs::job::TaskId;
use rampbay_jobs::record::EndReason;

use super::site::Site;

/// Ends as done that workers were told to forget.
pub struct AcknowledgedEnds {
    noted: Rc<RefCell<BTreeMap<TaskId, u32>>>,
    /// Number of starts that have been checked.
    checked: usize,
}

impl AcknowledgedEnds {
    /// Watches all workers of a site.
    pub fn watch(site: &Site) -> Self {
        let noted = Rc::default();
        for machine in &site.machines {
            let noted: Rc<RefCell<BTreeMap<TaskId, u32>>> = Rc::clone(&noted);
            *machine.worker.on_acknowledge.borrow_mut() = Some(Rc::new(move |end| {
                if end.reason == EndReason::Done {
                    noted.borrow_mut().insert(end.task.clone(), end.attempt);
                }
            }));
        }
        Self { noted, checked: 0 }
    }

    /// Checks the starts since the last check.
    ///
    /// # Panics
    ///
    /// Panics if a task was started after such an end.
    pub fn check(&mut self, site: &Site) {
        let starts = site.starts.borrow();
        for start in &starts[self.checked..] {
            let ended = self.noted.borrow().get(&start.task).copied();
            assert_eq!(ended, None, "started after its noted end: {start:?}");
        }
        self.checked = starts.len();
    }
}

/// Checks that no task runs at two workers.
///
/// # Panics
///
/// Panics if one does.
pub fn assert_runs_once(site: &Site) {
    let mut running = BTreeMap::new();
    for machine in &site.machines {
        for (task, attempt) in machine.worker.running() {
            let other = running.insert(task.clone(), attempt);
            assert_eq!(other, None, "{task} runs twice, also as {attempt}");
        }
    }
}
