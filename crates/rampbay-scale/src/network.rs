//! The network between the processes: delays, byte counts, and processes that don't answer.

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

/// Time that a message takes from one process to another.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

/// How a process responds to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// The process answers.
    #[default]
    Yes,
    /// Nothing listens at the address of the process.
    Refused,
    /// Nothing comes back, not even a refusal: the process is cut off, suspended or without power.
    Silent,
}

struct Host {
    node: String,
    peer_service: PeerService,
    reachability: Reachability,
    /// Notified when the host's reachability changes.
    changed: Rc<Notify>,
}

/// The network between the processes.
#[derive(Default)]
pub struct Network {
    hosts: RefCell<HashMap<String, Host>>,
    load: Rc<Load>,
}

impl Network {
    /// Creates a network without processes.
    #[must_use]
    pub fn new(load: Rc<Load>) -> Rc<Self> {
        Rc::new(Self { hosts: RefCell::default(), load })
    }

    /// Attaches a process to an address, replacing any previous one.
    pub fn attach(&self, address: String, node: String, peer_service: PeerService) {
        let host =
            Host { node, peer_service, reachability: Reachability::Yes, changed: Rc::default() };
        self.hosts.borrow_mut().insert(address, host);
    }

    /// Sets how the process at an address responds.
    pub fn set_reachability(&self, address: &str, reachability: Reachability) {
        if let Some(host) = self.hosts.borrow_mut().get_mut(address) {
            host.reachability = reachability;
            host.changed.notify_waiters();
        }
    }

    async fn answer(&self, address: &str, request: StoreRequest) -> Result<StoreReply, CallError> {
        tokio::time::sleep(ONE_WAY_DELAY).await;
        let host = match self.hosts.borrow().get(address) {
            Some(host) if host.reachability == Reachability::Yes => {
                Some((host.peer_service.clone(), Rc::clone(&host.changed)))
            }
            Some(host) if host.reachability == Reachability::Silent => None,
            _ => return Err(CallError::Refused),
        };
        let Some((peer_service, changed)) = host else { return std::future::pending().await };
        let request_size = size_of(&request);
        let reply = tokio::select! {
            reply = handle_request(&peer_service, request) => reply,
            () = changed.notified() => return self.fail_call(address).await,
        };
        tokio::time::sleep(ONE_WAY_DELAY).await;
        match self.hosts.borrow().get(address) {
            Some(host) if host.reachability == Reachability::Yes => {
                self.load.record_peer_call(&host.node, request_size + size_of(&reply));
                Ok(reply)
            }
            _ => Err(CallError::NoAnswer),
        }
    }

    /// Fails a call whose host is no longer reachable: the connection breaks, or nothing comes back.
    async fn fail_call(&self, address: &str) -> Result<StoreReply, CallError> {
        let is_silent = self
            .hosts
            .borrow()
            .get(address)
            .is_some_and(|host| host.reachability == Reachability::Silent);
        if is_silent {
            return std::future::pending().await;
        }
        tokio::time::sleep(ONE_WAY_DELAY).await;
        Err(CallError::NoAnswer)
    }
}

/// Returns the size of a message on the wire.
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
