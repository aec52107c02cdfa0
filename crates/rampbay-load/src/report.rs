//! The results of a load run.

use std::{collections::BTreeMap, time::Duration};

use comfy_table::Table;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Completion times of one group of requests.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Quantiles {
    /// Requests that were answered.
    pub answered: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
}

/// The result of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Requests by outcome and reason.
    pub outcomes: BTreeMap<String, u64>,
    /// Answers that aren't the complete answer to their own request; must be 0.
    pub wrong_answers: u64,
    /// Ids of requests that were refused as not run.
    #[serde(skip)]
    pub not_run: Vec<String>,
    /// Ids of requests that were answered.
    #[serde(skip)]
    pub answered: Vec<String>,
    /// Completion times by workspace and class.
    pub completion: BTreeMap<String, Quantiles>,
    /// Completion times of all answered requests.
    pub all: Quantiles,
    /// Time from the first request until the last answer, in milliseconds.
    pub wall_ms: f64,
    /// Answers a second.
    pub answers_per_second: f64,
}

/// Collects completion times.
#[derive(Debug)]
pub struct Times {
    histogram: Histogram<u64>,
}

const HOUR_US: u64 = 3_600_000_000;

impl Default for Times {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HOUR_US, 3);
        Self { histogram: histogram.expect("the bounds are fixed and valid") }
    }
}

impl Times {
    /// Adds one time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(HOUR_US);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Returns the quantiles.
    #[must_use]
    pub fn quantiles(&self) -> Quantiles {
        const US_IN_MS: f64 = 1_000.0;
        #[expect(clippy::cast_precision_loss, reason = "an hour in microseconds fits")]
        let at = |quantile| self.histogram.value_at_quantile(quantile) as f64 / US_IN_MS;
        Quantiles {
            answered: self.histogram.len(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
        }
    }
}

impl Report {
    /// Returns how many requests ended with an outcome, whatever the reason.
    #[must_use]
    pub fn outcome(&self, name: &str) -> u64 {
        let of = |(key, _): &(&String, &u64)| key.split(' ').next() == Some(name);
        self.outcomes.iter().filter(of).map(|(_, count)| count).sum()
    }

    /// Formats the report as a table and a summary line.
    #[must_use]
    pub fn to_text(&self) -> String {
        let mut table = Table::new();
        table.set_header(["workspace class", "answered", "p50 ms", "p90 ms", "p99 ms", "p99.9 ms"]);
        for (name, row) in self.completion.iter().chain([(&"all".to_owned(), &self.all)]) {
            table.add_row([
                name.clone(),
                row.answered.to_string(),
                format!("{:.2}", row.p50_ms),
                format!("{:.2}", row.p90_ms),
                format!("{:.2}", row.p99_ms),
                format!("{:.2}", row.p999_ms),
            ]);
        }
        let outcomes: Vec<String> =
            self.outcomes.iter().map(|(name, count)| format!("{name}: {count}")).collect();
        format!(
            "{table}\nsent {}, {}, wrong answers {}, {:.0} answers/s\n",
            self.sent,
            outcomes.join(", "),
            self.wrong_answers,
            self.answers_per_second
        )
    }
}
