//! Interface to the network between processes: one call to a peer, encoded with postcard over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;

use crate::client::{Call, CallError, HttpClient};
use crate::protocol::{StoreReply, StoreRequest};

/// Path of the HTTP endpoint.
const PATH: &str = "/peer/store";

/// Sends calls to peers.
#[async_trait(?Send)]
pub trait Transport {
    /// Makes a call to the peer at an address, `IP:PORT`.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no reply; the variant says whether the peer may have seen the
    /// call.
    async fn call(
        &self,
        address: &str,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, CallError>;
}

#[async_trait(?Send)]
impl Transport for HttpClient {
    async fn call(
        &self,
        address: &str,
        request: &StoreRequest,
        timeout: Duration,
    ) -> Result<StoreReply, CallError> {
        let body = postcard::to_allocvec(request).map_err(|_| CallError::NotSent)?;
        let call = Call {
            method: Method::POST,
            address: address.to_owned(),
            path: PATH.to_owned(),
            headers: Vec::new(),
            content_type: Some("application/octet-stream"),
            body: Bytes::from(body),
            timeout,
        };
        let reply = Self::call(self, call).await?;
        postcard::from_bytes(&reply.body).map_err(|_| CallError::NoAnswer)
    }
}
