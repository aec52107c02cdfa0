//! The platform's list of live and leaving boxes, which lags behind their actual state.

use std::net::SocketAddr;

use async_trait::async_trait;
use rampbay_core::ids::ProcessId;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The role of a listed process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// The side process of an upstream.
    Side,
}

/// One listed process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxRow {
    /// The process's name.
    pub id: ProcessId,
    /// The process's role.
    pub role: Role,
    /// The address of its mailbox.
    pub mailbox: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// Whether the box is leaving.
    pub leaving: bool,
}

/// Why the list can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("list of boxes can't be read: {0}")]
pub struct BoxesError(pub String);

/// The platform's list of boxes.
#[async_trait]
pub trait Boxes: Send + Sync {
    /// Returns every listed process.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be read now.
    async fn list(&self) -> Result<Vec<BoxRow>, BoxesError>;
}
