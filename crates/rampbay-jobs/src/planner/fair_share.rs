//! Fair shares of the fleet between workspaces.
//!
//! Load: a burst of one workspace, of hundreds of tasks, beside single jobs of others with the same urgency. By work alone
//! the burst's small tasks go first, and the single jobs wait until all of them have been placed. By shares, a workspace
//! that has used much more than the others goes after them.
//!
//! The shares are kept in the leader's memory. A new leader knows what runs now, not what ran in the last 10 s: it takes
//! what runs at its first update to have run for the whole window, and each half second that it sees replaces as much of
//! that.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::job::WorkspaceName;

/// Time for which usage counts. A task takes some 2 to 10 s, so a burst counts for about as long as its tasks run, and a
/// workspace that was idle before can't claim that time for minutes.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Smallest time between two changes of the ranks, so that the order doesn't oscillate from round to round.
pub const RANK_INTERVAL: Duration = Duration::from_millis(500);
/// The highest rank: 8 times the usage of the others. Beyond that, callers notice no difference.
pub const MAX_RANK: u32 = 3;
/// Ratio of usage between two ranks. Jobs hold from one accelerator to dozens of workers, so shares that are fair over a
/// minute differ by half within 10 s; a burst that delays others has several times their usage. Below this ratio the
/// order by lateness and work holds, which keeps most jobs in time.
const RANK_RATIO: u128 = 2;

/// What a workspace holds at a moment, and its guarantee.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceUsage {
    /// Its name. The callers of public queues, who have none, share the empty name, and so one share.
    pub workspace: WorkspaceName,
    /// Weight of what its runs hold, in thousandths of a core; 0 if it only waits.
    pub running: u64,
    /// Accelerators that are guaranteed to it; 0 if the configuration doesn't hold it.
    pub guaranteed_devices: u64,
}

/// A workspace's part of what was used and of what is fair, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// Its part of the usage in the window.
    pub used_permille: u64,
    /// Its part by the weights of the workspaces that use the fleet or wait for it.
    pub fair_permille: u64,
}

/// The usage of the workspaces over a sliding window, and the ranks that follow from it.
///
/// Usage is in thousandths of a core times microseconds, which are billionths of core-seconds.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    slices: VecDeque<Slice>,
    /// The workspaces that use the fleet, wait for it, or have used it in the window.
    known: BTreeMap<WorkspaceName, Known>,
    updated_at: Option<Duration>,
    ranked_at: Option<Duration>,
    /// The workspaces when they were last ranked.
    ranked: BTreeMap<WorkspaceName, Standing>,
    /// The sum of all of them.
    total: Standing,
}

/// Usage of a part of the window.
#[derive(Clone, Debug)]
struct Slice {
    since: Duration,
    /// When it leaves the window.
    expires: Duration,
    usage: BTreeMap<WorkspaceName, u64>,
}

/// A workspace at the last update.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    running: u64,
    weight: u64,
}

/// What a workspace has used, and its weight.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    usage: u64,
    weight: u64,
}

impl FairShares {
    /// Takes in what the workspaces hold at `now`, a monotonic time, and ranks them if the last ranks are old enough.
    ///
    /// Workspaces that use the fleet or wait for it are to be among `usage`; entries for the same workspace are added up.
    /// What was held at the last update counts for the time since then. A time that doesn't advance adds nothing.
    pub fn update(&mut self, now: Duration, usage: &[WorkspaceUsage]) {
        let began = self.updated_at.is_some();
        let elapsed = now.saturating_sub(self.updated_at.unwrap_or(now)).min(WINDOW);
        self.add_usage(now, elapsed);
        self.updated_at = Some(self.updated_at.map_or(now, |before| before.max(now)));
        self.slices.retain(|slice| slice.expires > now);
        self.replace_known(usage);
        if !began {
            self.fill_window(now);
        }
        let is_due = |at: Duration| now.saturating_sub(at) >= RANK_INTERVAL;
        if self.ranked_at.is_none_or(is_due) {
            self.rank_all();
            self.ranked_at = Some(now);
        }
    }

    /// Returns the rank of a workspace, from 0 to [`MAX_RANK`]; a lower one goes first. It is 0 for a workspace that has
    /// used nothing, or by its weight less than twice as much as the others together, and rises by one with each
    /// doubling.
    #[must_use]
    pub fn rank(&self, workspace: &str) -> u32 {
        self.rank_behind(workspace, 0)
    }

    /// Returns the rank that a workspace would have if it had also used `ahead`, in thousandths of core-seconds.
    #[must_use]
    pub fn rank_behind(&self, workspace: &str, ahead: u64) -> u32 {
        let own = self.ranked.get(workspace).copied().unwrap_or_default();
        let weight = if own.weight > 0 {
            own.weight
        } else {
            self.known.get(workspace).map_or(1, |known| known.weight)
        };
        let others = Standing {
            usage: self.total.usage.saturating_sub(own.usage),
            weight: self.total.weight.saturating_sub(own.weight),
        };
        let usage = own.usage.saturating_add(ahead.saturating_mul(1_000_000));
        rank_against(Standing { usage, weight }, others)
    }

    /// Returns the share of a workspace when it was last ranked.
    #[must_use]
    pub fn share(&self, workspace: &str) -> Share {
        let own = self.ranked.get(workspace).copied().unwrap_or_default();
        Share {
            used_permille: permille(own.usage, self.total.usage),
            fair_permille: permille(own.weight, self.total.weight),
        }
    }

    /// Returns the parts of the usage, in thousandths, of the `count` workspaces with the largest ones; the largest
    /// comes first.
    #[must_use]
    pub fn largest_shares(&self, count: usize) -> Vec<u64> {
        let parts = self.ranked.values().map(|own| permille(own.usage, self.total.usage));
        let mut parts: Vec<u64> = parts.filter(|part| *part > 0).collect();
        parts.sort_unstable_by(|a, b| b.cmp(a));
        parts.truncate(count);
        parts
    }

    /// Counts what was held since the last update.
    fn add_usage(&mut self, now: Duration, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        if micros == 0 {
            return;
        }
        let is_full = |slice: &Slice| now.saturating_sub(slice.since) > RANK_INTERVAL;
        if self.slices.back().is_none_or(is_full) {
            let since = now.saturating_sub(elapsed);
            let expires = now + WINDOW;
            self.slices.push_back(Slice { since, expires, usage: BTreeMap::new() });
        }
        let Some(slice) = self.slices.back_mut() else { return };
        for (workspace, known) in self.known.iter().filter(|(_, known)| known.running > 0) {
            let usage = slice.usage.entry(workspace.clone()).or_default();
            *usage = usage.saturating_add(known.running.saturating_mul(micros));
        }
    }

    /// Takes what runs now to have run for the whole window.
    fn fill_window(&mut self, now: Duration) {
        let micros = u64::try_from(RANK_INTERVAL.as_micros()).unwrap_or(u64::MAX);
        let running = self.known.iter().filter(|(_, known)| known.running > 0);
        let usage: BTreeMap<WorkspaceName, u64> =
            running.map(|(name, known)| (name.clone(), known.running * micros)).collect();
        let mut expires = now;
        while expires < now + WINDOW {
            expires += RANK_INTERVAL;
            self.slices.push_back(Slice { since: now, expires, usage: usage.clone() });
        }
        // The first usage that is measured begins a slice of its own.
        self.slices.push_back(Slice { since: now, expires: now + WINDOW, usage: BTreeMap::new() });
    }

    fn replace_known(&mut self, usage: &[WorkspaceUsage]) {
        self.known.values_mut().for_each(|known| known.running = 0);
        for given in usage {
            let known = self.known.entry(given.workspace.clone()).or_default();
            known.running = known.running.saturating_add(given.running);
            known.weight = given.guaranteed_devices.saturating_add(1);
        }
        let is_given = |name: &str| usage.iter().any(|given| given.workspace == name);
        let is_counted =
            |name: &str| self.slices.iter().any(|slice| slice.usage.contains_key(name));
        self.known.retain(|name, known| known.running > 0 || is_given(name) || is_counted(name));
    }

    fn rank_all(&mut self) {
        let with_weight = |(name, known): (&WorkspaceName, &Known)| {
            (name.clone(), Standing { usage: 0, weight: known.weight })
        };
        self.ranked = self.known.iter().map(with_weight).collect();
        for (name, usage) in self.slices.iter().flat_map(|slice| &slice.usage) {
            if let Some(own) = self.ranked.get_mut(name) {
                own.usage = own.usage.saturating_add(*usage);
            }
        }
        self.total = self.ranked.values().fold(Standing::default(), |sum, own| Standing {
            usage: sum.usage.saturating_add(own.usage),
            weight: sum.weight.saturating_add(own.weight),
        });
    }
}

/// Returns the rank of a workspace by how often its usage holds that of all others, each by its weight. Beside others
/// that have used nothing, any usage is the largest.
fn rank_against(own: Standing, others: Standing) -> u32 {
    if own.usage == 0 {
        return 0;
    }
    let used = u128::from(own.usage) * u128::from(others.weight);
    let fair = u128::from(others.usage) * u128::from(own.weight);
    let is_reached = |rank: &u32| used >= fair.saturating_mul(RANK_RATIO.pow(*rank));
    (1..=MAX_RANK).take_while(is_reached).count() as u32
}

fn permille(part: u64, whole: u64) -> u64 {
    let permille = u128::from(part) * 1000 / u128::from(whole.max(1));
    u64::try_from(permille).unwrap_or(u64::MAX)
}
