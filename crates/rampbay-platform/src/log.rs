//! The append-only log service.

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Why a call of the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LogError {
    /// The call provably had no effect.
    #[error("log refused: {0}")]
    Refused(String),
    /// No answer came; an append may have taken effect.
    #[error("log gave no answer: {0}")]
    NoAnswer(String),
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: u64,
    /// Its bytes.
    #[serde(with = "crate::http::base64_bytes")]
    pub data: Vec<u8>,
}

/// A range of records of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that is kept.
    pub oldest: u64,
    /// The offset that the next append gets.
    pub next: u64,
    /// The records, in order, from the offset asked for or the oldest that is kept.
    pub records: Vec<LogRecord>,
}

/// The log. Each named stream has its own offsets.
#[async_trait]
pub trait Log: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`LogError::Refused`] proves that nothing was appended; [`LogError::NoAnswer`] doesn't.
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, LogError>;

    /// Reads at most `max` records from `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the log can't be read now.
    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<LogPage, LogError>;
}
