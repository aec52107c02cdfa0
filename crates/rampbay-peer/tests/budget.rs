//! What the clients of an address may hold, and who gives way.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use rampbay_peer::budget::{
    Account, Budget, BudgetLimits, CONNECTION_BYTES, ClientBudgets, Exhausted, Reservation,
};
use rstest::rstest;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{advance, timeout};

const SECOND: Duration = Duration::from_secs(1);

fn run<F: Future<Output = ()>>(test: F) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

fn budget(bytes: usize, connections: usize) -> Rc<Budget> {
    Budget::new("test", BudgetLimits { bytes, connections })
}

async fn admit(budget: &Rc<Budget>) -> Account {
    timeout(SECOND, budget.admit()).await.expect("no wait").expect("room")
}

async fn reserve(account: &Account, bytes: usize) -> Reservation {
    let mut held = account.reservation();
    timeout(SECOND, held.grow_to(bytes)).await.expect("no wait").expect("room");
    held
}

/// Closes a connection once it is evicted, as the server does.
fn close_when_evicted(account: Account, held: Option<Reservation>) {
    spawn_local(async move {
        account.evicted().await;
        drop(held);
    });
}

/// Everything that was reserved is released when a connection closes.
#[test]
fn usage_zero_after_close() {
    run(async {
        let budget = budget(1 << 20, 10);
        let account = admit(&budget).await;
        let held = reserve(&account, 5000).await;
        assert_eq!(budget.used_bytes(), CONNECTION_BYTES + 5000);
        assert_eq!(budget.connections(), 1);
        drop(account);
        drop(held);
        assert_eq!((budget.used_bytes(), budget.connections()), (0, 0));
    });
}

/// At the limit of connections, the one that was idle for longest gives way.
#[test]
fn admit_evicts_longest_idle() {
    run(async {
        let budget = budget(1 << 20, 2);
        let (first, second) = (admit(&budget).await, admit(&budget).await);
        advance(SECOND).await;
        first.record_progress();
        advance(SECOND).await;
        let first = Rc::new(first);
        close_when_evicted(second, None);
        let third = budget.admit().await;
        assert!(third.is_ok());
        assert!(!first.is_evicted());
        assert_eq!(budget.connections(), 2);
    });
}

/// A client that sends slowly but goes on isn't the first to give way, though it holds more than
/// one that stands still.
#[test]
fn reserve_evicts_stalled_before_slow() {
    run(async {
        let budget = budget(300_000, 10);
        let (slow, stalled) = (admit(&budget).await, admit(&budget).await);
        let slow_body = reserve(&slow, 150_000).await;
        let stalled_body = reserve(&stalled, 120_000).await;
        for _ in 0..20 {
            advance(SECOND / 10).await;
            slow.record_progress();
        }
        advance(SECOND / 10).await;
        close_when_evicted(stalled, Some(stalled_body));
        let newcomer = admit(&budget).await;
        let body = reserve(&newcomer, 100_000).await;
        assert!(!slow.is_evicted());
        assert_eq!((slow_body.bytes(), body.bytes()), (150_000, 100_000));
    });
}

/// A request that is being handled is never given up: it may have been carried out.
#[test]
fn admit_refused_if_all_busy() {
    run(async {
        let budget = budget(1 << 20, 2);
        let (first, second) = (admit(&budget).await, admit(&budget).await);
        let _busy = (first.busy().expect("not evicted"), second.busy().expect("not evicted"));
        advance(SECOND).await;
        let refused = timeout(SECOND, budget.admit()).await.expect("refused at once");
        assert_eq!(refused.err(), Some(Exhausted));
        assert!(!first.is_evicted() && !second.is_evicted());
    });
}

/// A single request that is larger than the whole budget is served.
#[test]
fn reserve_beyond_budget_alone() {
    run(async {
        let budget = budget(100_000, 10);
        let account = admit(&budget).await;
        let held = reserve(&account, 4 << 20).await;
        assert_eq!(held.bytes(), 4 << 20);
    });
}

/// All who wait get room or an error, however many connections leave.
#[rstest]
#[case::one_leaves(1)]
#[case::two_leave(2)]
#[case::three_leave(3)]
fn waiting_reservations_all_end(#[case] stalled: usize) {
    run(async {
        let budget = budget(200_000, 20);
        for _ in 0..stalled {
            let account = admit(&budget).await;
            let held = reserve(&account, 200_000 / stalled - CONNECTION_BYTES).await;
            close_when_evicted(account, Some(held));
        }
        advance(SECOND).await;
        let waiting: Vec<_> = (0..5)
            .map(|_| {
                let budget = Rc::clone(&budget);
                spawn_local(async move {
                    let account = budget.admit().await?;
                    let busy = account.busy();
                    let mut held = account.reservation();
                    held.grow_to(150_000).await?;
                    tokio::time::sleep(SECOND).await;
                    drop(busy);
                    Ok::<_, Exhausted>(())
                })
            })
            .collect();
        let mut served = 0;
        for waits in waiting {
            let ended = timeout(60 * SECOND, waits).await.expect("an end").expect("no panic");
            served += usize::from(ended.is_ok());
        }
        assert!(served > 0);
        assert_eq!((budget.used_bytes(), budget.connections()), (0, 0));
    });
}

/// A response that finds no room is refused at once, and makes room for those that come later.
#[test]
fn response_refused_evicts_stalled() {
    run(async {
        let budget = budget(100_000, 10);
        let (stalled, reader) = (admit(&budget).await, admit(&budget).await);
        let unread = reserve(&stalled, 90_000).await;
        advance(SECOND).await;
        let mut held = reader.reservation();
        assert_eq!(held.grow_now_to(20_000), Err(Exhausted));
        assert!(stalled.is_evicted());
        drop((unread, stalled));
        assert_eq!(held.grow_now_to(20_000), Ok(()));
    });
}

/// The parts of all addresses together are within what clients may hold, and each is its own.
#[rstest]
#[case::smallest_agent(128, 4096)]
#[case::entry(260, 4100)]
#[case::large_entry(1024, 16_384)]
fn budgets_divide_machine(#[case] memory_mb: usize, #[case] max_fds: usize) {
    let settings = serde_json::json!({
        "node": "n", "ip": "127.0.0.1", "failure_domain": "d", "peer_port": 7000,
        "metrics_port": 7001, "store": "127.0.0.1:1", "lease_ms": 6000, "stop_ms": 400,
        "revocation_ms": 5000, "visible_ms": 3000, "grace_s": 6.0, "remote_penalty": 3,
        "leader_ttl_ms": 1000, "memory_mb": memory_mb, "max_fds": max_fds,
    });
    let settings = serde_json::from_value(settings).expect("settings");
    let budgets = ClientBudgets::new(&settings);
    let parts = [&budgets.main, &budgets.peers, &budgets.readiness, &budgets.metrics];
    let bytes: usize = parts.iter().map(|part| part.limits().bytes).sum();
    let connections: usize = parts.iter().map(|part| part.limits().connections).sum();
    assert!(bytes <= memory_mb * (1 << 20) / 4);
    assert!(connections <= (max_fds - 200) * 3 / 4);
    assert!(parts.iter().all(|part| part.limits().connections >= 100));
}
