//! Checks that no task starts again after an acknowledged end as done, and that none runs twice at
//! once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rampbay_jobs::job::TaskId;
use rampbay_jobs::record::EndReason;

use super::site::Site;

/// Ends as done that agents have acknowledged to their workers, which forget them.
pub struct AcknowledgedEnds {
    acknowledged: Rc<RefCell<BTreeMap<TaskId, u32>>>,
    /// Number of starts that have been checked.
    checked: usize,
}

impl AcknowledgedEnds {
    /// Records the acknowledged ends of all workers of a site.
    pub fn watch(site: &Site) -> Self {
        let acknowledged = Rc::default();
        for machine in &site.machines {
            let acknowledged: Rc<RefCell<BTreeMap<TaskId, u32>>> = Rc::clone(&acknowledged);
            *machine.worker.on_acknowledge.borrow_mut() = Some(Rc::new(move |end| {
                if end.reason == EndReason::Done {
                    acknowledged.borrow_mut().insert(end.task.clone(), end.attempt);
                }
            }));
        }
        Self { acknowledged, checked: 0 }
    }

    /// Checks the starts since the previous check.
    ///
    /// # Panics
    ///
    /// Panics if a task was started after an acknowledged end.
    pub fn check(&mut self, site: &Site) {
        let starts = site.starts.borrow();
        for start in &starts[self.checked..] {
            let ended = self.acknowledged.borrow().get(&start.task).copied();
            assert_eq!(ended, None, "started after its acknowledged end: {start:?}");
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
            assert_eq!(other, None, "{task} runs at two workers, here as attempt {attempt}");
        }
    }
}
