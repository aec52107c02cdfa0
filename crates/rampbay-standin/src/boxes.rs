//! A stand-in for the platform's list of boxes, including the list's lag.

use std::{
    collections::VecDeque,
    sync::Mutex,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use rampbay_platform::boxes::{BoxRow, Boxes, BoxesError};

use crate::faults::{Faults, lock};

/// The list of boxes in memory.
#[derive(Debug)]
pub struct BoxesModel {
    versions: Mutex<VecDeque<(Instant, Vec<BoxRow>)>>,
    lag: Duration,
    /// Faults of the list.
    pub faults: Faults,
}

impl BoxesModel {
    /// Creates an empty list whose readers see it as it was `lag` ago.
    #[must_use]
    pub fn new(lag: Duration) -> Self {
        Self { versions: Mutex::default(), lag, faults: Faults::default() }
    }

    /// Changes the list.
    pub fn edit(&self, edit: impl FnOnce(&mut Vec<BoxRow>)) {
        let mut versions = lock(&self.versions);
        let mut rows = versions.back().map(|(_, rows)| rows.clone()).unwrap_or_default();
        edit(&mut rows);
        versions.push_back((Instant::now(), rows));
    }

    /// Adds a row, or replaces the one of the same name.
    pub fn put(&self, row: BoxRow) {
        self.edit(|rows| {
            rows.retain(|known| known.id != row.id);
            rows.push(row);
        });
    }

    /// Marks a box as leaving.
    pub fn mark_leaving(&self, id: &str) {
        self.edit(|rows| {
            for row in rows.iter_mut().filter(|row| &*row.id == id) {
                row.leaving = true;
            }
        });
    }

    /// Removes a box from the list.
    pub fn remove(&self, id: &str) {
        self.edit(|rows| rows.retain(|row| &*row.id != id));
    }
}

#[async_trait]
impl Boxes for BoxesModel {
    async fn list(&self) -> Result<Vec<BoxRow>, BoxesError> {
        self.faults.pause().await;
        if self.faults.get().down {
            return Err(BoxesError("down".into()));
        }
        let mut versions = lock(&self.versions);
        while versions.len() > 1 && versions[1].0.elapsed() >= self.lag {
            versions.pop_front();
        }
        Ok(versions.front().map(|(_, rows)| rows.clone()).unwrap_or_default())
    }
}
