//! The network between the processes: delays, bytes, and processes that don't answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use rampbay_peer::client::CallError;
use rampbay_peer::protocol::{StoreReply, StoreRequest};
use rampbay_peer::service::{PeerService, handle_request};
use rampbay_peer::transport::Transport;
use tokio::sync::Notify;

use crate::load::Load;

/// Time of a message from one process to another.
const ONE_WAY: Duration = Duration::from_millis(1);

/// How a process answers its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachable {
    /// It answers.
    #[default]
    Yes,
    /// Nobody listens at its address.
    Refused,
    /// Nothing comes back, not even a refusal: it is cut off, frozen or without power.
    Silent,
}

struct Host {
    node: String,
    served: PeerService,
    reachable: Reachable,
    /// Told when the host is no longer reachable.
    gone: Rc<Notify>,
}

/// The network.
#[derive(Default)]
pub struct Network {
    hosts: RefCell<HashMap<String, Host>>,
    load: Rc<Load>,
}

impl Network {
    /// Makes a network without processes.
    #[must_use]
    pub fn new(load: Rc<Load>) -> Rc<Self> {
        Rc::new(Self { hosts: RefCell::default(), load })
    }

    /// Puts a process at an address, in place of whichever was there.
    pub fn attach(&self, address: String, node: String, served: PeerService) {
        let host = Host { node, served, reachable: Reachable::Yes, gone: Rc::default() };
        self.hosts.borrow_mut().insert(address, host);
    }

    /// Says how the process at an address answers.
    pub fn set_reachable(&self, address: &str, reachable: Reachable) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(address) {
            host.reachable = reachable;
            host.gone.notify_waiters();
        }
    }

    async fn answer(&self, address: &str, request: StoreRequest) -> Result<StoreReply, CallError> {
        tokio::time::sleep(ONE_WAY).await;
        let host = match self.hosts.borrow().get(address) {
            Some(host) if host.reachable == Reachable::Yes => {
                Some((host.served.clone(), Rc::clone(&host.gone)))
            }
            Some(host) if host.reachable == Reachable::Silent => None,
            _ => return Err(CallError::Refused),
        };
        let Some((served, gone)) = host else { return std::future::pending().await };
        let asked = size_of(&request);
        let reply = tokio::select! {
            reply = handle_request(&served, request) => reply,
            () = gone.notified() => return self.lose(address).await,
        };
        tokio::time::sleep(ONE_WAY).await;
        match self.hosts.borrow().get(address) {
            Some(host) if host.reachable == Reachable::Yes => {
                self.load.note_served(&host.node, asked + size_of(&reply));
                Ok(reply)
            }
            _ => Err(CallError::NoAnswer),
        }
    }

    /// Answers a call whose host has gone: its connection breaks, or nothing comes back.
    async fn lose(&self, address: &str) -> Result<StoreReply, CallError> {
        let is_silent = self
            .hosts
            .borrow()
            .get(address)
            .is_some_and(|host| host.reachable == Reachable::Silent);
        if is_silent {
            return std::future::pending().await;
        }
        tokio::time::sleep(ONE_WAY).await;
        Err(CallError::NoAnswer)
    }
}

/// Returns how long a message is on the wire.
fn size_of<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_allocvec(message).map_or(0, |bytes| bytes.len())
}

#[async_trait(?Send)]
impl Transport for Network {
    async fn call(
        &self,
        address: &str,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, CallError> {
        let answer = self.answer(address, request.clone());
        tokio::time::timeout(timeout, answer).await.unwrap_or(Err(CallError::NoAnswer))
    }
}
