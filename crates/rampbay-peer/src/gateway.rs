//! Appends through a gateway: a peer that batches the appends of many processes.
//!
//! A partition of the store applies appends one after the other: 250 a second, and four a second
//! where the store is 60 times slower than usual. If every entry appended directly, the queue at a
//! slow store would grow with the fleet: with 183 entries it reached its limit of two seconds, at
//! which callers got no answer. So entries and agents hand their appends to the leader, whose
//! planner appends separately. Two appends are then in progress, whatever the size of the fleet. If
//! a gateway fails, the next one is tried; if none is left, the process appends directly.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, Fence, Offset, Store};
use tokio::time::Instant;

use crate::relay::check_delay_after;

/// How long a gateway that failed isn't used.
const GATEWAY_PAUSE: Duration = Duration::from_millis(1000);
/// Largest number of gateways that are tried for one append.
const GATEWAYS_PER_APPEND: usize = 2;

/// A peer that batches the appends of other processes and delivers them to the store.
#[async_trait(?Send)]
pub trait GatewayPeer: Store {
    /// Returns the name of the peer.
    fn name(&self) -> &str;
    /// Returns whether the peer's process answers a ping.
    async fn responds(&self) -> bool;
}

/// Lists the gateways, the preferred one first.
pub type Gateways = Box<dyn Fn() -> Rc<[Rc<dyn GatewayPeer>]>>;

/// A store whose unfenced appends go through a gateway if one is usable.
pub struct GatewayStore {
    store: Rc<dyn Store>,
    gateways: Gateways,
    /// Gateways that failed, by name, and the time until which each isn't used.
    paused: RefCell<BTreeMap<String, Instant>>,
    /// Moving average of the time of an append through a gateway.
    append_time: Cell<Duration>,
}

impl GatewayStore {
    /// Creates a store that prefers gateways and falls back to `store`.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, gateways: Gateways) -> Self {
        Self { store, gateways, paused: RefCell::default(), append_time: Cell::new(Duration::ZERO) }
    }

    /// Lists the gateways that haven't failed recently.
    fn usable_gateways(&self) -> Vec<Rc<dyn GatewayPeer>> {
        let now = Instant::now();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, until| now < *until);
        let gateways = (self.gateways)();
        let usable = gateways.iter().filter(|gateway| !paused.contains_key(gateway.name()));
        usable.take(GATEWAYS_PER_APPEND).map(Rc::clone).collect()
    }

    /// Waits until the gateway doesn't answer a ping. As long as its process answers, the gateway
    /// handles the append itself: if all processes that it serves bypassed it, they would overload
    /// the store.
    async fn gateway_unreachable(&self, gateway: &dyn GatewayPeer) {
        loop {
            tokio::time::sleep(check_delay_after(self.append_time.get())).await;
            if !gateway.responds().await {
                return;
            }
        }
    }

    /// Appends through a gateway. After [`AppendError::Refused`] and [`AppendError::Unknown`]
    /// another path has to be taken; after the latter a gateway may still deliver the records to
    /// the store.
    async fn append_through_gateway(
        &self,
        topic: &str,
        records: &[KeyedRecord],
    ) -> Result<Offset, AppendError> {
        let mut failure = AppendError::Refused;
        for gateway in self.usable_gateways() {
            let started = Instant::now();
            let outcome = tokio::select! {
                outcome = gateway.append(topic, records, None) => outcome,
                () = self.gateway_unreachable(gateway.as_ref()) => Err(AppendError::Unknown),
            };
            match outcome {
                Ok(_) | Err(AppendError::Fenced | AppendError::TooLarge) => {
                    self.record_append(started.elapsed());
                    return outcome;
                }
                Err(error) => {
                    self.pause_gateway(gateway.name(), &error);
                    if error == AppendError::Unknown {
                        failure = error;
                    }
                }
            }
        }
        Err(failure)
    }

    fn pause_gateway(&self, gateway: &str, error: &AppendError) {
        log::info!("event=J108 gateway paused gateway={gateway} error={error}");
        let until = Instant::now() + GATEWAY_PAUSE;
        self.paused.borrow_mut().insert(gateway.to_owned(), until);
    }

    fn record_append(&self, took: Duration) {
        self.append_time.set((self.append_time.get() * 3 + took) / 4);
    }
}

#[async_trait(?Send)]
impl Layer for GatewayStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    /// Appends through a gateway, or over the process's own paths if that fails. Returns
    /// [`AppendError::Refused`] only if all of them refused the append.
    async fn append(
        &self,
        topic: &str,
        records: &[KeyedRecord],
        fence: Option<&Fence>,
    ) -> Result<Offset, AppendError> {
        if fence.is_some() {
            return self.store.append(topic, records, fence).await;
        }
        let failure = match self.append_through_gateway(topic, records).await {
            Err(error @ (AppendError::Refused | AppendError::Unknown)) => error,
            settled => return settled,
        };
        let outcome = self.store.append(topic, records, None).await;
        if outcome == Err(AppendError::Refused) { Err(failure) } else { outcome }
    }
}
