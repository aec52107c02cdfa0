//! Machines, as the interface for their maintenance lists them.

use std::collections::BTreeMap;
use std::time::Duration;

/// Name of a machine.
pub type MachineName = String;
/// The id under which the list of machines names a worker. Several incarnations may share it.
pub type WorkerId = String;

/// State of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It serves.
    Up,
    /// It moves to another pool.
    Moving,
    /// It is down for its maintenance.
    Upkeep,
    /// It is down for another reason, or in a state that isn't known here.
    Down,
}

/// A machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Its name.
    pub name: MachineName,
    /// Name of its pool.
    pub pool: String,
    /// Its state.
    pub state: MachineState,
    /// Id of its worker; empty if it has none.
    pub worker: WorkerId,
}

/// Number of successive lists that must lack a machine before it counts as gone. A list is read in pages, and a machine
/// may move from one page to an earlier one in between.
const LISTS_WITHOUT_GONE_MACHINE: u32 = 2;

/// The machines as last listed.
#[derive(Debug, Default)]
pub(super) struct KnownMachines {
    machines: BTreeMap<MachineName, Machine>,
    /// For machines that waves name: the number of successive lists that lacked them.
    absences: BTreeMap<MachineName, u32>,
    /// When the last list was requested.
    requested_at: Option<Duration>,
}

impl KnownMachines {
    /// Replaces the list. `named` are the machines that waves name.
    pub fn replace<'a>(
        &mut self,
        machines: Vec<Machine>,
        requested_at: Duration,
        named: impl Iterator<Item = &'a MachineName>,
    ) {
        self.machines =
            machines.into_iter().map(|machine| (machine.name.clone(), machine)).collect();
        let before = std::mem::take(&mut self.absences);
        for name in named.filter(|name| !self.machines.contains_key(*name)) {
            let count = before.get(name).copied().unwrap_or(0) + 1;
            self.absences.insert(name.clone(), count);
        }
        self.requested_at = Some(requested_at);
    }

    /// Returns a machine, if the last list has it.
    pub fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Returns whether a machine is gone.
    pub fn is_gone(&self, name: &str) -> bool {
        self.absences.get(name).is_some_and(|count| *count >= LISTS_WITHOUT_GONE_MACHINE)
    }

    /// Returns whether the last list lacks a machine that doesn't count as gone yet.
    pub fn may_be_gone(&self, name: &str) -> bool {
        self.absences.contains_key(name) && !self.is_gone(name)
    }

    /// Returns whether a list was requested at a time or later.
    pub fn is_listed_since(&self, time: Duration) -> bool {
        self.requested_at.is_some_and(|at| at >= time)
    }

    /// Returns the age of the list; `None` if there is none.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.requested_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the state of a machine by a list that was requested at a time or later.
    pub fn state_since(&self, name: &str, time: Duration) -> Option<MachineState> {
        if !self.is_listed_since(time) {
            return None;
        }
        self.get(name).map(|machine| machine.state)
    }
}
