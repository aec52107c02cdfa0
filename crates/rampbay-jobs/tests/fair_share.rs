//! The shares of workspaces, without a planner: what the ranks depend on, and what they don't.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use rampbay_jobs::planner::fair_share::{
    FairShares, MAX_RANK, RANK_INTERVAL, Share, WINDOW, WorkspaceUsage,
};
use rstest::rstest;
use support::property::config;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(50);

fn using(workspace: &str, running: u64) -> WorkspaceUsage {
    WorkspaceUsage { workspace: workspace.to_owned(), running, guaranteed_devices: 0 }
}

/// Updates shares in rounds from `from` on, for a time in which the workspaces hold the same throughout. Returns the
/// end.
fn hold(
    shares: &mut FairShares,
    from: Duration,
    time: Duration,
    usage: &[WorkspaceUsage],
) -> Duration {
    let mut now = from;
    while now < from + time {
        now += ROUND;
        shares.update(now, usage);
    }
    now
}

/// Returns shares after some time in which the workspaces held the same throughout.
fn shares_of(usage: &[WorkspaceUsage]) -> FairShares {
    let mut shares = FairShares::default();
    hold(&mut shares, Duration::ZERO, Duration::from_secs(3), usage);
    shares
}

/// Small differences must not reorder work, since the order by lateness and work keeps most jobs in time; a workspace
/// with several times the usage of the others must go after them.
#[rstest]
#[case::equal(100, 0)]
#[case::slightly_more(199, 0)]
#[case::twice(200, 1)]
#[case::four_times(400, 2)]
#[case::all_but_nothing(100_000, MAX_RANK)]
fn rank_rises_with_doubled_usage(#[case] running: u64, #[case] expected: u32) {
    let shares = shares_of(&[using("large", running), using("a", 100), using("b", 100)]);
    assert_eq!((shares.rank("large"), shares.rank("a"), shares.rank("b")), (expected, 0, 0));
}

/// A guarantee counts as a right to a larger share: its owner isn't put behind others for using what is guaranteed.
#[test]
fn rank_weighted_by_guarantee() {
    let guaranteed = WorkspaceUsage { guaranteed_devices: 9, ..using("guaranteed", 1_000) };
    let shares = shares_of(&[guaranteed, using("a", 100)]);
    assert_eq!((shares.rank("guaranteed"), shares.rank("a")), (0, 0));
    assert_eq!(shares.share("guaranteed"), Share { used_permille: 909, fair_permille: 909 });
}

/// A workspace that only waits goes before those that use the fleet evenly among themselves.
#[test]
fn idle_workspace_before_even_users() {
    let shares = shares_of(&[using("a", 100), using("b", 100), using("waiting", 0)]);
    assert_eq!((shares.rank("a"), shares.rank("b"), shares.rank("waiting")), (1, 1, 0));
}

/// Ranks that change with every round would let two workspaces take turns and delay both.
#[test]
fn ranks_change_at_most_twice_a_second() {
    let mut shares = FairShares::default();
    let mut now = Duration::ZERO;
    let mut changes: Vec<Duration> = Vec::new();
    let mut before = (0, 0);
    for round in 0..1_600_u64 {
        now += ROUND;
        let (a, b) = if round % 400 < 200 { (900, 10) } else { (10, 900) };
        shares.update(now, &[using("a", a), using("b", b)]);
        let ranks = (shares.rank("a"), shares.rank("b"));
        if ranks != before {
            changes.push(now);
        }
        before = ranks;
    }
    assert!(changes.len() > 4, "the load changes the ranks: {changes:?}");
    let gaps = changes.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(RANK_INTERVAL), "{changes:?}");
}

/// A workspace isn't held back for what it used longer ago than the window, and another's usage counts in its place.
#[test]
fn usage_leaves_window() {
    let mut shares = FairShares::default();
    let (before, after) = ([using("a", 900), using("b", 0)], [using("a", 0), using("b", 0)]);
    let now = hold(&mut shares, Duration::ZERO, Duration::from_secs(4), &before);
    let now = hold(&mut shares, now, WINDOW - Duration::from_secs(2), &after);
    assert_eq!(shares.rank("a"), MAX_RANK, "a part of its usage is within the window");
    hold(&mut shares, now, Duration::from_secs(4), &after);
    assert_eq!(shares.rank("a"), 0);
    assert_eq!(shares.share("a"), Share { used_permille: 0, fair_permille: 500 });
}

/// A new leader must not treat the workspace that fills the fleet as idle until 10 s have passed. It doesn't know what
/// has ended before: a workspace whose runs have just ended counts as idle there.
#[test]
fn new_leader_ranks_by_what_runs() {
    let usage = [using("large", 900), using("small", 100), using("ended", 0)];
    let mut shares = FairShares::default();
    shares.update(Duration::ZERO, &usage);
    let ranks = |shares: &FairShares| ["large", "small", "ended"].map(|name| shares.rank(name));
    assert_eq!(ranks(&shares), [MAX_RANK, 0, 0]);
    let mut now = Duration::ZERO;
    for _ in 0..30 {
        now = hold(&mut shares, now, Duration::from_millis(500), &usage);
        assert_eq!(ranks(&shares), [MAX_RANK, 0, 0], "at {now:?}");
    }
}

/// What a new leader assumes about the time before it gives way to what it measures.
#[test]
fn assumption_of_new_leader_replaced() {
    let mut shares = FairShares::default();
    shares.update(Duration::ZERO, &[using("a", 900), using("b", 100)]);
    let swapped = [using("a", 100), using("b", 900)];
    hold(&mut shares, Duration::ZERO, WINDOW + Duration::from_secs(1), &swapped);
    assert_eq!((shares.rank("a"), shares.rank("b")), (0, MAX_RANK));
}

/// Without usage nobody goes after another, and nothing is divided by zero.
#[test]
fn no_usage_no_order() {
    let shares = FairShares::default();
    assert_eq!((shares.rank("a"), shares.share("a")), (0, Share::default()));
    let shares = shares_of(&[using("a", 0), using("b", 0)]);
    assert_eq!((shares.rank("a"), shares.rank("b")), (0, 0));
    assert_eq!(shares.largest_shares(3), Vec::<u64>::new());
}

/// A clock that stands still or goes back adds no usage, changes no ranks, and isn't added up later.
#[test]
fn time_that_does_not_advance_adds_nothing() {
    let mut shares = FairShares::default();
    let even = [using("a", 100), using("b", 100)];
    let now = hold(&mut shares, Duration::ZERO, Duration::from_secs(1), &even);
    let (share, uneven) = (shares.share("a"), [using("a", 1_000_000), using("b", 1)]);
    for earlier in [0, 0, 400, 900] {
        shares.update(now - Duration::from_millis(earlier), &uneven);
        assert_eq!((shares.rank("a"), shares.share("a")), (0, share));
    }
    shares.update(now, &even);
    hold(&mut shares, now, Duration::from_secs(1), &even);
    assert_eq!((shares.rank("a"), shares.rank("b")), (0, 0));
}

/// After a pause that is longer than the window, only the window counts.
#[test]
fn pause_counts_at_most_window() {
    let mut shares = FairShares::default();
    shares.update(Duration::ZERO, &[using("a", 100), using("b", 0)]);
    let after = [using("a", 0), using("b", 100)];
    let now = Duration::from_secs(3600);
    shares.update(now, &after);
    hold(&mut shares, now, WINDOW - Duration::from_secs(1), &after);
    assert_eq!((shares.rank("a"), shares.rank("b")), (0, 0), "both have used as much");
}

/// A workspace that the configuration no longer holds counts while its runs go on and its usage is in the window, by the
/// weight of one without a guarantee, and is forgotten after that, so that memory stays bounded.
#[test]
fn workspace_without_configuration_forgotten() {
    let mut shares = FairShares::default();
    let guaranteed = WorkspaceUsage { guaranteed_devices: 99, ..using("a", 1_000) };
    let now = hold(&mut shares, Duration::ZERO, WINDOW, &[guaranteed, using("b", 100)]);
    assert_eq!(shares.rank("a"), 0);
    let now = hold(&mut shares, now, RANK_INTERVAL, &[using("a", 1_000), using("b", 100)]);
    assert_eq!(shares.rank("a"), MAX_RANK, "its guarantee is gone");
    let now = hold(&mut shares, now, RANK_INTERVAL, &[using("b", 100)]);
    assert!(shares.share("a").used_permille > 800, "its usage is in the window");
    hold(&mut shares, now, WINDOW + RANK_INTERVAL, &[using("b", 100)]);
    assert_eq!(shares.share("a"), Share::default());
    assert_eq!(shares.largest_shares(3), [1000]);
}

/// The callers of public queues have no workspace; together they must not take the fleet from the others.
#[test]
fn public_callers_share_one_rank() {
    let shares = shares_of(&[using("", 400), using("", 500), using("a", 100), using("b", 100)]);
    assert_eq!((shares.rank(""), shares.rank("a")), (MAX_RANK, 0));
}

/// Returns the usage of up to nine workspaces.
fn usages() -> impl Strategy<Value = Vec<WorkspaceUsage>> {
    let usage = (0..100_000_u64, 0..40_u64);
    prop::collection::vec(usage, 1..10).prop_map(|drawn| {
        let usage = drawn.into_iter().enumerate();
        let usage = usage.map(|(index, (running, guaranteed_devices))| WorkspaceUsage {
            workspace: format!("w{index}"),
            running: running.saturating_sub(20_000),
            guaranteed_devices,
        });
        usage.collect()
    })
}

fn ranks_after(usage: &[WorkspaceUsage]) -> Vec<u32> {
    let mut shares = FairShares::default();
    for millis in [0, 50, 700, 1_300] {
        shares.update(Duration::from_millis(millis), usage);
    }
    (0..10).map(|index| shares.rank(&format!("w{index}"))).collect()
}

proptest! {
    #![proptest_config(config(300))]

    /// Ranks that depended on the order of inputs would differ between two leaders that see the same.
    #[test]
    fn order_of_inputs_counts_for_nothing(usage in usages(), shuffled in any::<prop::sample::Index>()) {
        let mut other = usage.clone();
        other.rotate_left(shuffled.index(usage.len()));
        other.reverse();
        prop_assert_eq!(ranks_after(&usage), ranks_after(&other));
    }

    /// A workspace that has used nothing goes before all others, or a single job would wait for a burst.
    #[test]
    fn idle_workspace_ranks_first(usage in usages(), idle in any::<prop::sample::Index>()) {
        let mut usage = usage;
        let idle = idle.index(usage.len());
        usage[idle].running = 0;
        prop_assert_eq!(ranks_after(&usage)[idle], 0);
    }

    /// Ranks follow the shares, not the size of the fleet.
    #[test]
    fn scaled_usage_changes_nothing(usage in usages(), factor in 1..10_000_u64) {
        let scale = |of: &WorkspaceUsage| WorkspaceUsage { running: of.running * factor, ..of.clone() };
        let scaled: Vec<WorkspaceUsage> = usage.iter().map(scale).collect();
        prop_assert_eq!(ranks_after(&usage), ranks_after(&scaled));
    }

    /// More usage by the same weight never ranks before less, so a burst can't gain by growing.
    #[test]
    fn more_usage_ranks_no_lower(usage in usages()) {
        let mut usage = usage;
        usage.iter_mut().for_each(|of| of.guaranteed_devices = 0);
        usage.sort_by_key(|of| of.running);
        let ranks = ranks_after(&usage);
        let index = |of: &WorkspaceUsage| of.workspace[1..].parse::<usize>().expect("a number");
        let sorted = usage.iter().map(|of| ranks[index(of)]);
        prop_assert!(sorted.is_sorted());
    }

    /// The ranks rise along a workspace's waiting work, so the order within a workspace stays as it is.
    #[test]
    fn rank_rises_with_work_ahead(usage in usages(), steps in prop::collection::vec(0..1_000_000_u64, 1..20)) {
        let mut shares = FairShares::default();
        shares.update(Duration::ZERO, &usage);
        let mut ahead = steps;
        ahead.sort_unstable();
        let ranks = ahead.iter().map(|ahead| shares.rank_behind("w0", *ahead));
        prop_assert!(ranks.is_sorted());
        prop_assert_eq!(shares.rank_behind("w0", 0), shares.rank("w0"));
    }
}
