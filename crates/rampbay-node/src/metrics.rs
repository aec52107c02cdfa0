//! Prometheus metrics of a process.

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
};

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::{Registry, Unit},
};

/// Labels as pairs of name and value.
pub type Labels = Vec<(String, String)>;

/// The metrics of one process.
#[derive(Clone)]
pub struct Metrics {
    registry: Arc<Mutex<Registry>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self { registry: Arc::new(Mutex::new(Registry::with_prefix("rampbay"))) }
    }
}

impl Metrics {
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a counter with labels.
    #[must_use]
    pub fn counters(&self, name: &str, help: &str) -> Family<Labels, Counter<u64, AtomicU64>> {
        let family = Family::<Labels, Counter<u64, AtomicU64>>::default();
        self.registry().register(name, help, family.clone());
        family
    }

    /// Registers a gauge with labels.
    #[must_use]
    pub fn gauges(&self, name: &str, help: &str) -> Family<Labels, Gauge> {
        let family = Family::<Labels, Gauge>::default();
        self.registry().register(name, help, family.clone());
        family
    }

    /// Registers a histogram of seconds with labels.
    #[must_use]
    pub fn seconds(&self, name: &str, help: &str) -> Family<Labels, Histogram> {
        let family =
            Family::<Labels, Histogram>::new_with_constructor(|| Histogram::new(SECONDS_BUCKETS));
        self.registry().register_with_unit(name, help, Unit::Seconds, family.clone());
        family
    }

    /// Writes all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing into a string can't fail.
        let _ = encode(&mut text, &self.registry());
        text
    }
}

const SECONDS_BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 5.0, 30.0, 300.0];

/// Makes labels out of pairs.
#[must_use]
pub fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}
