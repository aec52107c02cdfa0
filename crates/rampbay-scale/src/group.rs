//! The store's group of candidates, whose one partition is leadership.

use std::collections::BTreeMap;
use std::time::Duration;

use rampbay_jobs::job::NodeName;
use rampbay_jobs::store::Candidacy;
use tokio::time::Instant;

/// Time without a call of its leader after which leadership lapses.
const TIME_TO_LIVE: Duration = Duration::from_secs(1);

/// The group of candidates for leadership. Its one partition is dealt anew with each change of the group.
#[derive(Default)]
pub(crate) struct Group {
    members: BTreeMap<NodeName, Instant>,
    /// How often the partition has been dealt.
    pub(crate) generation: u64,
    /// Who leads.
    pub(crate) holder: Option<NodeName>,
}

impl Group {
    /// Drops members that were silent for their time to live.
    pub(crate) fn lapse(&mut self) {
        let before = self.members.len();
        self.members.retain(|_, joined| joined.elapsed() < TIME_TO_LIVE);
        if self.members.len() != before {
            self.change();
        }
        let is_there = |holder: &NodeName| self.members.contains_key(holder);
        self.holder = self.holder.take().filter(is_there);
    }

    fn change(&mut self) {
        self.generation += 1;
    }

    /// Returns whom the partition is dealt to: one of the members, another one with each change.
    fn dealt_to(&self) -> Option<&NodeName> {
        let place = self.generation as usize % self.members.len().max(1);
        self.members.keys().nth(place)
    }

    /// Takes a call of a member in.
    pub(crate) fn join(&mut self, member: &str) -> Candidacy {
        self.lapse();
        if self.members.insert(member.to_owned(), Instant::now()).is_none() {
            self.change();
        }
        let is_dealt = self.dealt_to().is_some_and(|dealt| dealt == member);
        if !is_dealt && self.holder.as_deref() == Some(member) {
            // It learns with this answer that the partition is no longer its own.
            self.holder = None;
        }
        if is_dealt && self.holder.is_none() {
            self.holder = Some(member.to_owned());
        }
        let leads = self.holder.as_deref() == Some(member);
        Candidacy { generation: self.generation, leads }
    }

    /// Lets a member go.
    pub(crate) fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.change();
        }
        self.holder = self.holder.take().filter(|holder| holder != member);
    }
}
