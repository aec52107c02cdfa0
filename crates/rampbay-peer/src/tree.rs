//! How records travel: the entries as a tree, with the leader at its root.
//!
//! Whoever serves many others needs room: a wide link and a good share of a core. Such entries are called ample
//! ([`Member::is_well_provisioned`]). [`FAN_OUT`] of them, the inner ones, read through the leader; the other ample ones, the
//! outer ones, read through the inner ones; small entries and agents read through all ample ones but the leader. So
//! a record comes to each process in three hops at most, and the leader serves no more of them however large the
//! fleet is. What grows with the fleet is shared by the ample entries, which grow with it.
//!
//! Every process works the tree out from its own table. Where two tables differ for a moment, two processes may
//! read through each other: what neither proves grows old, and both turn to the store.

use std::collections::BTreeMap;

use rampbay_jobs::candidacy::LEADER_POLLER_COUNT;
use rampbay_jobs::record::Member;
use rampbay_jobs::table::JobTable;

/// Ample entries that read through the leader, at most. With as many below each of them the tree holds 272 ample
/// entries: those of 5,400 machines, where five in a hundred are.
pub const FAN_OUT: usize = 16;

/// The tree as one table shows it.
#[derive(Clone, Debug, Default)]
pub struct Tree<'a> {
    /// The leader, if it is ample.
    pub root: Option<&'a Member>,
    /// The ample entries that read through the leader.
    pub inner: Vec<&'a Member>,
    /// The other ample entries.
    pub outer: Vec<&'a Member>,
}

impl<'a> Tree<'a> {
    /// Works out the tree of all known entries.
    #[must_use]
    pub fn of(table: &'a JobTable) -> Self {
        let (root, others): (Vec<_>, Vec<_>) =
            ample(table).partition(|member| member.node == table.leader.node);
        let mut inner = by_domain_in_turn(others);
        // The leader before may be gone: nobody has to read through it.
        inner.sort_by_key(|member| member.node == table.former_leader);
        let outer = inner.split_off(inner.len().min(FAN_OUT));
        Self { root: root.first().copied(), inner, outer }
    }

    /// Iterates over the ample entries that don't lead.
    pub fn ample(&self) -> impl Iterator<Item = &'a Member> {
        self.inner.iter().chain(&self.outer).copied()
    }

    /// Returns how many processes stand between this one and the store: 0 for the leader.
    #[must_use]
    pub fn depth_of(&self, node: &str) -> usize {
        let is_it = |member: &&Member| member.node == node;
        if self.root.as_ref().is_some_and(is_it) {
            0
        } else if self.inner.iter().any(is_it) {
            1
        } else if self.outer.is_empty() || self.outer.iter().any(is_it) {
            2
        } else {
            3
        }
    }
}

/// Iterates over the entries that watch over who leads, beside the leader and the one before it, in as many failure
/// domains as there are: ample ones, or all where none is.
pub fn leader_pollers(table: &JobTable) -> impl Iterator<Item = &Member> {
    let is_other =
        |member: &&Member| member.node != table.leader.node && member.node != table.former_leader;
    let mut watch: Vec<&Member> = ample(table).filter(is_other).collect();
    if watch.is_empty() {
        watch = entries(table).filter(is_other).collect();
    }
    by_domain_in_turn(watch).into_iter().take(LEADER_POLLER_COUNT)
}

/// Iterates over the entries. Only their views are whole, and only they stand for leadership: an agent
/// follows what concerns its own worker, however much room its machine has.
pub fn entries(table: &JobTable) -> impl Iterator<Item = &Member> {
    table.members.values().filter(|member| member.passes_on)
}

/// Iterates over the ample entries.
pub fn ample(table: &JobTable) -> impl Iterator<Item = &Member> {
    entries(table).filter(|member| member.is_well_provisioned())
}

/// Orders processes so that the first few of them stand in as many failure domains as there are.
fn by_domain_in_turn(mut members: Vec<&Member>) -> Vec<&Member> {
    members.sort_by_key(|member| (weight(&member.node), &member.node));
    let mut places: BTreeMap<&str, usize> = BTreeMap::new();
    let mut ordered: Vec<(usize, &Member)> = Vec::with_capacity(members.len());
    for member in members {
        let place = places.entry(&member.failure_domain).or_default();
        ordered.push((*place, member));
        *place += 1;
    }
    ordered.sort_by_key(|(place, _)| *place);
    ordered.into_iter().map(|(_, member)| member).collect()
}

/// Orders processes alike at all of them, and unlike their names do.
fn weight(node: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(node.as_bytes())
}

/// Orders one process's peers unlike those of another.
#[must_use]
pub fn rank(own: &str, peer: &str) -> u64 {
    rapidhash::v3::rapidhash_v3(format!("{own}\u{0}{peer}").as_bytes())
}
