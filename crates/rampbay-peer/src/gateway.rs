//! Appends through a peer that gathers those of many processes.
//!
//! A partition of the store takes appends in turn, 250 a second, and four where it is 60 times slower than usual. If
//! every entry brought what it takes in there by itself, the queue at a slow store would grow with the fleet: with
//! 183 entries to its limit of two seconds, at which callers got no answer. So entries and agents hand their appends
//! to the leader, which the planner's own go beside: two are under way, whatever the size of the fleet. A gateway that
//! fails is followed by another one; where none is left, a process appends by itself.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_jobs::layer::Layer;
use rampbay_jobs::record::KeyedRecord;
use rampbay_jobs::store::{AppendError, Fence, Offset, Store};
use tokio::time::Instant;

use crate::relay::patience_after;

/// How long a gateway that failed is passed over.
const GATEWAY_PAUSE: Duration = Duration::from_millis(1000);
/// Gateways that are tried for one append, at most.
const GATEWAYS_PER_APPEND: usize = 2;

/// A peer that gathers the appends of others, and sees to it that they get to the store.
#[async_trait(?Send)]
pub trait GatewayPeer: Store {
    /// Returns its name.
    fn name(&self) -> &str;
    /// Returns whether its process answers.
    async fn responds(&self) -> bool;
}

/// Lists the peers that gather the appends of others, the best first.
pub type Gateways = Box<dyn Fn() -> Rc<[Rc<dyn GatewayPeer>]>>;

/// A store whose unfenced appends go through a gateway where they can.
pub struct GatewayStore {
    store: Rc<dyn Store>,
    gateways: Gateways,
    /// Gateways that failed, by their names, and until when they are passed over.
    paused: RefCell<BTreeMap<String, Instant>>,
    /// How long an append through a gateway usually takes.
    append_time: Cell<Duration>,
}

impl GatewayStore {
    /// Makes a store over gateways and the process's own ways.
    #[must_use]
    pub fn new(store: Rc<dyn Store>, gateways: Gateways) -> Self {
        Self { store, gateways, paused: RefCell::default(), append_time: Cell::new(Duration::ZERO) }
    }

    /// Lists the gateways that haven't failed lately.
    fn open_gateways(&self) -> Vec<Rc<dyn GatewayPeer>> {
        let now = Instant::now();
        let mut paused = self.paused.borrow_mut();
        paused.retain(|_, until| now < *until);
        let gateways = (self.gateways)();
        let open = gateways.iter().filter(|gateway| !paused.contains_key(gateway.name()));
        open.take(GATEWAYS_PER_APPEND).map(Rc::clone).collect()
    }

    /// Waits until the gateway is found to be gone. While its process answers, it sees to the append
    /// itself; if all whom it serves went past it, they would flood the store.
    async fn gateway_gone(&self, gateway: &dyn GatewayPeer) {
        loop {
            tokio::time::sleep(patience_after(self.append_time.get())).await;
            if !gateway.responds().await {
                return;
            }
        }
    }

    /// Appends through a gateway. After [`AppendError::Refused`] and [`AppendError::Unknown`] another way
    /// has to be taken; after the latter a gateway may still bring the records to the store.
    async fn append_through_gateway(
        &self,
        topic: &str,
        records: &[KeyedRecord],
    ) -> Result<Offset, AppendError> {
        let mut failure = AppendError::Refused;
        for gateway in self.open_gateways() {
            let started = Instant::now();
            let outcome = tokio::select! {
                outcome = gateway.append(topic, records, None) => outcome,
                () = self.gateway_gone(gateway.as_ref()) => Err(AppendError::Unknown),
            };
            match outcome {
                Ok(_) | Err(AppendError::Fenced) => {
                    self.note_append(started.elapsed());
                    return outcome;
                }
                Err(error) => {
                    self.pass_over(gateway.name(), &error);
                    if error == AppendError::Unknown {
                        failure = error;
                    }
                }
            }
        }
        Err(failure)
    }

    fn pass_over(&self, gateway: &str, error: &AppendError) {
        log::info!("event=J108 gateway passed over gateway={gateway} error={error}");
        let until = Instant::now() + GATEWAY_PAUSE;
        self.paused.borrow_mut().insert(gateway.to_owned(), until);
    }

    fn note_append(&self, took: Duration) {
        self.append_time.set((self.append_time.get() * 3 + took) / 4);
    }
}

#[async_trait(?Send)]
impl Layer for GatewayStore {
    fn inner(&self) -> &dyn Store {
        self.store.as_ref()
    }

    /// Appends through a gateway; where that fails, over the process's own ways. It is refused only if all refused it.
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
