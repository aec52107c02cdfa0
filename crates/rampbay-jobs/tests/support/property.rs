//! How property tests draw their cases.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Draws the same cases in every run; `RAMPBAY_SEED` and `RAMPBAY_CASES` draw others.
pub fn config(cases: u32) -> ProptestConfig {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let factor = number("RAMPBAY_CASES").unwrap_or(1);
    ProptestConfig {
        cases: cases * u32::try_from(factor).unwrap_or(1),
        rng_seed: RngSeed::Fixed(number("RAMPBAY_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
