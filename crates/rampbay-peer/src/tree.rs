//! The tree of entries that records are passed down, with the leader at its root.
//!
//! A process that serves many others needs a wide link and a good share of a core. Entries that
//! have them are called well-provisioned ([`Member::is_well_provisioned`]). [`FAN_OUT`] of these,
//! the inner ones, read through the leader; the other well-provisioned entries, the outer ones,
//! read through the inner ones; small entries and agents read through all well-provisioned entries
//! except the leader. So a record reaches each process in three hops at most, and the leader serves
//! no more processes in a larger fleet. The load that grows with the fleet is shared by the
//! well-provisioned entries, whose number grows with it.
//!
//! Every process computes the tree from its own table. While two tables differ, two processes may
//! read through each other: their views then age, and both fall back to the store.

use std::collections::BTreeMap;

use rampbay_jobs::candidacy::LEADER_POLLER_COUNT;
use rampbay_jobs::record::Member;
use rampbay_jobs::table::JobTable;

/// Largest number of well-provisioned entries that read through the leader. With as many below each
/// of them the tree holds 272 well-provisioned entries: those of 5,400 machines, if five in a
/// hundred are well-provisioned.
pub const FAN_OUT: usize = 16;

/// The tree according to one table.
#[derive(Clone, Debug, Default)]
pub struct Tree<'a> {
    /// The leader, if it is well-provisioned.
    pub root: Option<&'a Member>,
    /// The well-provisioned entries that read through the leader.
    pub inner: Vec<&'a Member>,
    /// The other well-provisioned entries.
    pub outer: Vec<&'a Member>,
}

impl<'a> Tree<'a> {
    /// Computes the tree of all known entries.
    #[must_use]
    pub fn of(table: &'a JobTable) -> Self {
        let (root, others): (Vec<_>, Vec<_>) =
            well_provisioned(table).partition(|member| member.node == table.leader.node);
        let mut inner = spread_over_domains(others);
        // The former leader may be down, so it comes last and no process has to read through it.
        inner.sort_by_key(|member| member.node == table.former_leader);
        let outer = inner.split_off(inner.len().min(FAN_OUT));
        Self { root: root.first().copied(), inner, outer }
    }

    /// Iterates over the well-provisioned entries except the leader.
    pub fn well_provisioned(&self) -> impl Iterator<Item = &'a Member> {
        self.inner.iter().chain(&self.outer).copied()
    }

    /// Returns how many processes lie between a process and the store: 0 for the leader.
    #[must_use]
    pub fn depth_of(&self, node: &str) -> usize {
        let is_node = |member: &&Member| member.node == node;
        if self.root.as_ref().is_some_and(is_node) {
            0
        } else if self.inner.iter().any(is_node) {
            1
        } else if self.outer.is_empty() || self.outer.iter().any(is_node) {
            2
        } else {
            3
        }
    }
}

/// Iterates over the entries that poll the store for the leader, in as many failure domains as
/// possible: well-provisioned ones, or all entries if none is well-provisioned, in both cases
/// without the leader and the former leader.
pub fn leader_pollers(table: &JobTable) -> impl Iterator<Item = &Member> {
    let is_other =
        |member: &&Member| member.node != table.leader.node && member.node != table.former_leader;
    let mut pollers: Vec<&Member> = well_provisioned(table).filter(is_other).collect();
    if pollers.is_empty() {
        pollers = entries(table).filter(is_other).collect();
    }
    spread_over_domains(pollers).into_iter().take(LEADER_POLLER_COUNT)
}

/// Iterates over the entries. Only their views are complete, and only they stand for election: an
/// agent follows what concerns its own worker, however well-provisioned its machine is.
pub fn entries(table: &JobTable) -> impl Iterator<Item = &Member> {
    table.members.values().filter(|member| member.passes_on)
}

/// Iterates over the well-provisioned entries.
pub fn well_provisioned(table: &JobTable) -> impl Iterator<Item = &Member> {
    entries(table).filter(|member| member.is_well_provisioned())
}

/// Orders processes so that the first few of them are in as many failure domains as possible.
fn spread_over_domains(mut members: Vec<&Member>) -> Vec<&Member> {
    members.sort_by_key(|member| (name_hash(&member.node), &member.node));
    let mut next_positions: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ordered: Vec<(usize, &Member)> = Vec::with_capacity(members.len());
    for member in members {
        let position = next_positions.entry(&member.failure_domain).or_default();
        ordered.push((*position, member));
        *position += 1;
    }
    ordered.sort_by_key(|(position, _)| *position);
    ordered.into_iter().map(|(_, member)| member).collect()
}

/// Returns a hash by which all processes order the members alike, and not by name.
fn name_hash(node: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(node.as_bytes())
}

/// Returns a hash by which each process orders its peers differently.
#[must_use]
pub fn rank(own: &str, peer: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(format!("{own}\u{0}{peer}").as_bytes())
}
