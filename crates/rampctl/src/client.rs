//! Calls of an entry's operators' interface.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Method, StatusCode};
use rampbay_entry::operators::OperatorError;
use rampbay_platform::http::{CallError, OnceClient};
use serde::de::DeserializeOwned;
use thiserror::Error;

const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CtlError {
    /// The command was used wrongly.
    #[error("{0}")]
    Use(String),
    /// The entry refused the call.
    #[error("refused ({status}): {message}")]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The message of the entry's answer.
        message: String,
    },
    /// The entry can't be reached.
    #[error("entry {entry} can't be reached: {message}")]
    Unreachable {
        /// The entry's address.
        entry: SocketAddr,
        /// What went wrong.
        message: String,
    },
    /// An edit may or may not come into force.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

impl CtlError {
    /// Returns the exit code.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            CtlError::Refused { .. } => 1,
            CtlError::Use(_) => 2,
            CtlError::Unreachable { .. } => 3,
            CtlError::Unknown(_) => 4,
        }
    }
}

/// A client of one entry or side process.
#[derive(Debug, Clone)]
pub struct Client {
    addr: SocketAddr,
    key: Option<String>,
}

impl Client {
    /// Creates a client.
    #[must_use]
    pub const fn new(addr: SocketAddr, key: Option<String>) -> Self {
        Self { addr, key }
    }

    /// Calls an endpoint and returns its JSON answer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no answer, its status isn't a success, or its body isn't the
    /// expected JSON.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CtlError> {
        let bearer = self.key.as_ref().map(|key| format!("Bearer {key}"));
        let headers: Vec<(&str, &str)> =
            bearer.iter().map(|bearer| ("authorization", bearer.as_str())).collect();
        let client = OnceClient::new(self.addr, 1);
        let answer = client
            .call(method, path, &headers, body, CALL_TIMEOUT, MAX_ANSWER_BYTES)
            .await
            .map_err(|e| self.unreachable(&e))?;
        if answer.status == StatusCode::GATEWAY_TIMEOUT {
            return Err(CtlError::Unknown(message(&answer.body)));
        }
        if !answer.status.is_success() {
            let message = message(&answer.body);
            return Err(CtlError::Refused { status: answer.status.as_u16(), message });
        }
        serde_json::from_slice(&answer.body).map_err(|e| CtlError::Unknown(e.to_string()))
    }

    fn unreachable(&self, e: &CallError) -> CtlError {
        CtlError::Unreachable { entry: self.addr, message: e.to_string() }
    }

    /// Gets JSON from an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Client::call`].
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.call(Method::GET, path, Bytes::new()).await
    }
}

fn message(body: &[u8]) -> String {
    serde_json::from_slice::<OperatorError>(body)
        .map_or_else(|_| String::from_utf8_lossy(body).into_owned(), |error| error.error)
}
