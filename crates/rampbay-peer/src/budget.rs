//! A bound on what the clients of one address make a process hold: memory, and connections.
//!
//! A connection has an [`Account`] from when it is accepted until it is closed. The account holds
//! the price of a connection, which covers an ordinary request, and [`Reservation`]s for what a
//! request or its response needs beyond that. Once the budget is used up, a reservation waits until
//! other connections are evicted: those that have held most for longest without progress, but none
//! whose request is being handled. If there are none, the reservation fails, and the request is
//! refused.
//!
//! A connection may reserve more as long as the others hold less than the budget, so the budget is
//! exceeded by what one connection holds at most: a single request that is larger is served.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::metrics::metrics;
use rampbay_jobs::settings::Settings;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Receive buffer of a connection, in bytes. It bounds what has arrived and isn't read.
pub(crate) const RECEIVE_BUFFER: usize = 16 << 10;
/// Memory that a connection holds, in bytes: its receive and read buffers, its state, and a small
/// body.
pub const CONNECTION_BYTES: usize = RECEIVE_BUFFER + (16 << 10);
/// Shortest time between two log lines on clients that were refused or disconnected.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// The budget is used up, and no connection can be evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the clients of this address hold all that they may")]
pub struct Exhausted;

/// What the clients of an address may make a process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Memory, in bytes.
    pub bytes: usize,
    /// Open connections.
    pub connections: usize,
}

impl BudgetLimits {
    /// No bound.
    pub const UNLIMITED: Self = Self { bytes: usize::MAX, connections: usize::MAX };
}

/// The budgets of all addresses that a process serves, each for itself: clients of one can't take
/// what those of another need.
#[derive(Clone, Debug)]
pub struct ClientBudgets {
    /// Callers of an entry, or the worker of an agent.
    pub main: Rc<Budget>,
    /// Peers.
    pub peers: Rc<Budget>,
    /// The readiness check; entries only.
    pub readiness: Rc<Budget>,
    /// Metrics.
    pub metrics: Rc<Budget>,
}

impl ClientBudgets {
    /// Divides what the clients of a process may make it hold among its addresses.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let part = |address, sixteenths| {
            let bytes = settings.client_bytes() / 16 * sixteenths;
            let connections = settings.client_connections() * sixteenths / 16;
            Budget::new(address, BudgetLimits { bytes, connections })
        };
        let main = if settings.registration.is_some() { "registration" } else { "callers" };
        Self {
            main: part(main, 7),
            peers: part("peers", 7),
            readiness: part("readiness", 1),
            metrics: part("metrics", 1),
        }
    }
}

/// What the clients of an address hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Usage {
    bytes: usize,
    connections: usize,
}

/// The account of a connection, as the budget sees it.
#[derive(Debug)]
struct Holder {
    held: Cell<usize>,
    progressed_at: Cell<Instant>,
    is_busy: Cell<bool>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

impl Holder {
    fn can_be_evicted(&self) -> bool {
        !self.is_busy.get() && !self.is_evicted.get()
    }

    /// Returns the product of held memory and the time without progress, in byte microseconds.
    fn idle_byte_time(&self, now: Instant) -> u128 {
        let idle = now.saturating_duration_since(self.progressed_at.get());
        self.held.get() as u128 * idle.as_micros()
    }
}

/// Refused and evicted clients since the last log line.
#[derive(Debug, Default)]
struct Unlogged {
    refused: Cell<u64>,
    evicted: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

/// The budget of the clients of one address.
#[derive(Debug)]
pub struct Budget {
    address: &'static str,
    limits: BudgetLimits,
    used: Cell<Usage>,
    /// The part of `used` that evicted connections are about to release.
    leaving: Cell<Usage>,
    holders: RefCell<BTreeMap<u64, Rc<Holder>>>,
    next_id: Cell<u64>,
    released: Notify,
    unlogged: Unlogged,
}

impl Budget {
    /// Creates a budget. `address` names what is served, in metrics and logs.
    #[must_use]
    pub fn new(address: &'static str, limits: BudgetLimits) -> Rc<Self> {
        Rc::new(Self {
            address,
            limits,
            used: Cell::default(),
            leaving: Cell::default(),
            holders: RefCell::default(),
            next_id: Cell::new(0),
            released: Notify::new(),
            unlogged: Unlogged::default(),
        })
    }

    /// Creates a budget without a bound.
    #[must_use]
    pub fn unlimited() -> Rc<Self> {
        Self::new("unlimited", BudgetLimits::UNLIMITED)
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> BudgetLimits {
        self.limits
    }

    /// Returns the reserved memory, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used.get().bytes
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.used.get().connections
    }

    /// Opens an account for a connection, once there is room for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is used up and no connection can be evicted.
    pub async fn admit(self: &Rc<Self>) -> Result<Account, Exhausted> {
        let has_room = |used: Usage| {
            used.bytes < self.limits.bytes && used.connections < self.limits.connections
        };
        self.wait_for(has_room, None).await?;
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let holder = Rc::new(Holder {
            held: Cell::new(0),
            progressed_at: Cell::new(Instant::now()),
            is_busy: Cell::new(false),
            is_evicted: Cell::new(false),
            evicted: Notify::new(),
        });
        self.holders.borrow_mut().insert(id, Rc::clone(&holder));
        let used = self.used.get();
        self.used.set(Usage { connections: used.connections + 1, ..used });
        self.take(&holder, CONNECTION_BYTES);
        Ok(Account { budget: Rc::clone(self), holder, id })
    }

    /// Waits until `has_room` holds, evicting connections other than `requester`.
    async fn wait_for(
        &self,
        has_room: impl Fn(Usage) -> bool,
        requester: Option<&Rc<Holder>>,
    ) -> Result<(), Exhausted> {
        if has_room(self.used.get()) {
            return Ok(());
        }
        let outcome = loop {
            if has_room(self.used.get()) {
                break Ok(());
            }
            if !has_room(self.remaining()) && !self.evict_one(requester) {
                break Err(Exhausted);
            }
            self.released.notified().await;
        };
        // Another one that waits may have to evict for itself.
        self.released.notify_one();
        outcome
    }

    /// Returns what will be used once all evicted connections are closed.
    fn remaining(&self) -> Usage {
        let (used, leaving) = (self.used.get(), self.leaving.get());
        Usage {
            bytes: used.bytes - leaving.bytes,
            connections: used.connections - leaving.connections,
        }
    }

    /// Evicts the connection that has held most for longest without progress. Returns whether there
    /// was one.
    fn evict_one(&self, requester: Option<&Rc<Holder>>) -> bool {
        let now = Instant::now();
        let holders = self.holders.borrow();
        let others = holders.values().filter(|holder| {
            holder.can_be_evicted() && !requester.is_some_and(|own| Rc::ptr_eq(own, holder))
        });
        let Some(victim) = others.max_by_key(|holder| holder.idle_byte_time(now)) else {
            return false;
        };
        victim.is_evicted.set(true);
        let leaving = self.leaving.get();
        self.leaving.set(Usage {
            bytes: leaving.bytes + victim.held.get(),
            connections: leaving.connections + 1,
        });
        victim.evicted.notify_waiters();
        metrics().count_client(self.address, "evicted");
        self.unlogged.evicted.set(self.unlogged.evicted.get() + 1);
        self.log_pressure(now);
        true
    }

    /// Records that a client was refused because the budget was used up.
    pub fn count_refusal(&self) {
        metrics().count_client(self.address, "refused");
        self.unlogged.refused.set(self.unlogged.refused.get() + 1);
        self.log_pressure(Instant::now());
    }

    /// Logs how many clients were refused and evicted, unless that was done recently.
    fn log_pressure(&self, now: Instant) {
        let logged_at = self.unlogged.logged_at.get();
        if logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        self.unlogged.logged_at.set(Some(now));
        let Usage { bytes, connections } = self.used.get();
        log::warn!(
            "event=J009 clients hold all that they may address={} held_bytes={bytes} max_bytes={} connections={connections} max_connections={} refused={} evicted={}",
            self.address,
            self.limits.bytes,
            self.limits.connections,
            self.unlogged.refused.take(),
            self.unlogged.evicted.take(),
        );
    }

    fn take(&self, holder: &Holder, bytes: usize) {
        holder.held.set(holder.held.get() + bytes);
        let used = self.used.get();
        self.used.set(Usage { bytes: used.bytes.saturating_add(bytes), ..used });
    }

    fn release(&self, holder: &Holder, bytes: usize) {
        holder.held.set(holder.held.get() - bytes);
        let used = self.used.get();
        self.used.set(Usage { bytes: used.bytes - bytes, ..used });
        if holder.is_evicted.get() {
            let leaving = self.leaving.get();
            self.leaving.set(Usage { bytes: leaving.bytes - bytes, ..leaving });
        }
        self.released.notify_one();
    }

    fn close(&self, id: u64, holder: &Holder) {
        self.holders.borrow_mut().remove(&id);
        let used = self.used.get();
        self.used.set(Usage { connections: used.connections - 1, ..used });
        if holder.is_evicted.get() {
            let leaving = self.leaving.get();
            self.leaving.set(Usage { connections: leaving.connections - 1, ..leaving });
        }
        self.release(holder, CONNECTION_BYTES);
    }
}

/// The account of a connection, which is closed when this is dropped.
#[derive(Debug)]
pub struct Account {
    budget: Rc<Budget>,
    holder: Rc<Holder>,
    id: u64,
}

impl Account {
    /// Starts a reservation, which holds nothing at first.
    #[must_use]
    pub fn reservation(&self) -> Reservation {
        Reservation { budget: Rc::clone(&self.budget), holder: Rc::clone(&self.holder), bytes: 0 }
    }

    /// Records that the client sent something, or read some of a response.
    pub fn record_progress(&self) {
        self.holder.progressed_at.set(Instant::now());
    }

    /// Protects the connection from eviction until the guard is dropped. Returns `None` if it has
    /// already been evicted.
    #[must_use]
    pub fn busy(&self) -> Option<BusyGuard> {
        if self.is_evicted() {
            return None;
        }
        self.holder.is_busy.set(true);
        Some(BusyGuard(Rc::clone(&self.holder)))
    }

    /// Returns whether the connection was evicted.
    #[must_use]
    pub fn is_evicted(&self) -> bool {
        self.holder.is_evicted.get()
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        let evicted = self.holder.evicted.notified();
        if !self.is_evicted() {
            evicted.await;
        }
    }

    /// Records that the request of this connection was refused because the budget was used up.
    pub fn count_refusal(&self) {
        self.budget.count_refusal();
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.budget.close(self.id, &self.holder);
    }
}

/// Protects a connection from eviction until it is dropped.
#[derive(Debug)]
pub struct BusyGuard(Rc<Holder>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.progressed_at.set(Instant::now());
        self.0.is_busy.set(false);
    }
}

/// Memory that a connection holds beyond its price, released on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    holder: Rc<Holder>,
    bytes: usize,
}

impl Reservation {
    /// Returns the reserved memory, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to `bytes`, once there is room.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is used up and no other connection can be evicted, or this
    /// one has been evicted.
    pub async fn grow_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes <= self.bytes {
            return Ok(());
        }
        let has_room = |used| self.has_room(used);
        self.budget.wait_for(has_room, Some(&self.holder)).await?;
        self.add(bytes)
    }

    /// Grows the reservation to `bytes` if there is room now. Otherwise evicts a connection for
    /// those that come later.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is used up, or this connection has been evicted.
    pub fn grow_now_to(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if bytes <= self.bytes {
            return Ok(());
        }
        if self.has_room(self.budget.used.get()) {
            return self.add(bytes);
        }
        if !self.has_room(self.budget.remaining()) {
            self.budget.evict_one(Some(&self.holder));
        }
        Err(Exhausted)
    }

    /// Returns whether the other connections hold less than the budget.
    fn has_room(&self, used: Usage) -> bool {
        used.bytes.saturating_sub(self.holder.held.get()) < self.budget.limits.bytes
    }

    fn add(&mut self, bytes: usize) -> Result<(), Exhausted> {
        if self.holder.is_evicted.get() {
            return Err(Exhausted);
        }
        self.budget.take(&self.holder, bytes - self.bytes);
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.release(&self.holder, self.bytes);
    }
}
