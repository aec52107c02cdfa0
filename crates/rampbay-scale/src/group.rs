//! The store's group of candidates, whose only partition stands for leadership.

use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::job::NodeName;
use rampbay_jobs::store::Candidacy;
use tokio::time::Instant;

/// Time without a call after which a member is removed, and leadership expires if it was the leader.
const TIME_TO_LIVE: Duration = Duration::from_secs(1);

/// The group of candidates for leadership. Its only partition is reassigned with each change of the group.
#[derive(Default)]
pub(crate) struct Group {
    members: BTreeMap<NodeName, Instant>,
    /// Number of assignments of the partition.
    pub(crate) generation: u64,
    /// The leader.
    pub(crate) holder: Option<NodeName>,
}

impl Group {
    /// Removes members that have been silent for the time to live.
    pub(crate) fn expire(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, joined| joined.elapsed() < TIME_TO_LIVE);
        if self.members.len() != before {
            self.bump_generation();
        }
        let is_there = |holder: &NodeName| self.members.contains_key(holder);
        self.holder = self.holder.take().filter(is_there);
    }

    fn bump_generation(&mut self) {
        self.generation += 1;
    }

    /// Returns the member to which the partition is assigned: another one with each change.
    fn assigned_member(&self) -> Option<&NodeName> {
        let index = self.generation as usize % self.members.len().max(1);
        self.members.keys().nth(index)
    }

    /// Adds or renews a member.
    pub(crate) fn join(&mut self, member: &str) -> Candidacy {
        self.expire();
        if self.members.insert(member.to_owned(), Instant::now()).is_none() {
            self.bump_generation();
        }
        let is_assigned = self.assigned_member().is_some_and(|assigned| assigned == member);
        if !is_assigned && self.holder.as_deref() == Some(member) {
            // With this answer the member learns that the partition is no longer its own.
            self.holder = None;
        }
        if is_assigned && self.holder.is_none() {
            self.holder = Some(member.to_owned());
        }
        let leads = self.holder.as_deref() == Some(member);
        Candidacy { generation: self.generation, leads }
    }

    /// Removes a member.
    pub(crate) fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.bump_generation();
        }
        self.holder = self.holder.take().filter(|holder| holder != member);
    }
}
