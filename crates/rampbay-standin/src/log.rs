//! A stand-in for the platform's log.

use std::{
    collections::{HashMap, VecDeque},
    sync::Mutex,
};

use async_trait::async_trait;
use rampbay_platform::log::{Log, LogError, LogPage, LogRecord};

use crate::faults::{Faults, lock};

/// Records that are kept of each stream by default.
pub const DEFAULT_RETENTION: usize = 100_000;

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Vec<u8>>,
}

/// The log in memory.
#[derive(Debug)]
pub struct LogModel {
    streams: Mutex<HashMap<String, Stream>>,
    retention: usize,
    /// Faults of the log.
    pub faults: Faults,
}

impl Default for LogModel {
    fn default() -> Self {
        Self::new(DEFAULT_RETENTION)
    }
}

impl LogModel {
    /// Creates a log that keeps `retention` records of each stream.
    #[must_use]
    pub fn new(retention: usize) -> Self {
        Self { streams: Mutex::default(), retention, faults: Faults::default() }
    }

    /// Drops every record of a stream below an offset, as retention does.
    pub fn expire(&self, stream: &str, below: u64) {
        let mut streams = lock(&self.streams);
        let stream = streams.entry(stream.to_owned()).or_default();
        while stream.oldest < below && stream.records.pop_front().is_some() {
            stream.oldest += 1;
        }
    }

    /// Returns every record that is kept of a stream, for checks.
    #[must_use]
    pub fn kept(&self, stream: &str) -> Vec<Vec<u8>> {
        let streams = lock(&self.streams);
        streams.get(stream).map(|s| s.records.iter().cloned().collect()).unwrap_or_default()
    }
}

#[async_trait]
impl Log for LogModel {
    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, LogError> {
        let faults = self.faults.get();
        self.faults.pause().await;
        if faults.down {
            return Err(LogError::Refused("down".into()));
        }
        let offset = {
            let mut streams = lock(&self.streams);
            let stream = streams.entry(stream.to_owned()).or_default();
            stream.records.push_back(record);
            let offset = stream.oldest + stream.records.len() as u64 - 1;
            while stream.records.len() > self.retention {
                stream.records.pop_front();
                stream.oldest += 1;
            }
            offset
        };
        if self.faults.hits(faults.lose_answer_percent) {
            return Err(LogError::NoAnswer("answer lost".into()));
        }
        Ok(offset)
    }

    async fn read(&self, stream: &str, from: u64, max: usize) -> Result<LogPage, LogError> {
        self.faults.pause().await;
        if self.faults.get().down {
            return Err(LogError::Refused("down".into()));
        }
        let streams = lock(&self.streams);
        let Some(stream) = streams.get(stream) else {
            return Ok(LogPage::default());
        };
        let start = from.max(stream.oldest);
        let skip = usize::try_from(start - stream.oldest).unwrap_or(usize::MAX);
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take(max)
            .zip(start..)
            .map(|(data, offset)| LogRecord { offset, data: data.clone() })
            .collect();
        let next = stream.oldest + stream.records.len() as u64;
        Ok(LogPage { oldest: stream.oldest, next, records })
    }
}
