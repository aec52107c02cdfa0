//! Checks that no task starts again after an acknowledged end as done, and that none runs twice at
//! once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::job::TaskId;
use rampbay_jobs::record::EndReason;

use tokio::time::Instant;

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

/// A done end that a worker was told to forget.
#[derive(Debug)]
struct ForgottenEnd {
    task: TaskId,
    ended: Instant,
}

/// Checks that no task starts after its end as done, if that is acknowledged then or later. The end of one member
/// of a gang counts for all.
pub struct EndChecker {
    site: Rc<Site>,
    is_gang: bool,
    forgotten: Rc<RefCell<Vec<ForgottenEnd>>>,
}

impl EndChecker {
    /// Watches tasks that work for `work` each.
    pub fn watch(site: &Rc<Site>, work: Duration, is_gang: bool) -> Self {
        let forgotten: Rc<RefCell<Vec<ForgottenEnd>>> = Rc::default();
        for (index, machine) in site.machines.iter().enumerate() {
            let (forgotten, site) = (Rc::clone(&forgotten), Rc::downgrade(site));
            *machine.worker.on_acknowledge.borrow_mut() = Some(Rc::new(move |end| {
                if end.reason != EndReason::Done {
                    return;
                }
                let site = site.upgrade().expect("the site exists");
                let starts = site.starts.borrow();
                // The worker's present incarnation has carried out the last one of them.
                let run = starts.iter().rfind(|start| {
                    start.task == end.task && start.attempt == end.attempt && start.machine == index
                });
                let ended = run.expect("the run was started").at + work;
                forgotten.borrow_mut().push(ForgottenEnd { task: end.task.clone(), ended });
            }));
        }
        Self { site: Rc::clone(site), is_gang, forgotten }
    }

    /// Checks all starts so far.
    ///
    /// # Panics
    ///
    /// Panics if a task was started after such an end, or runs twice.
    pub fn check(&self) {
        assert_runs_once(&self.site);
        let starts = self.site.starts.borrow();
        for end in self.forgotten.borrow().iter() {
            let is_concerned =
                |task: &TaskId| *task == end.task || (self.is_gang && task.job == end.task.job);
            let later =
                starts.iter().find(|start| start.at > end.ended && is_concerned(&start.task));
            assert!(
                later.is_none(),
                "{end:?} is acknowledged, and the task started again: {later:?}"
            );
        }
    }

    /// Counts the acknowledged ends as done.
    pub fn forgotten(&self) -> usize {
        self.forgotten.borrow().len()
    }
}
