//! Settings in JSON, validated completely before a process starts.

use std::{fmt, fs, path::Path, process::ExitCode};

use serde::de::DeserializeOwned;
use thiserror::Error;

/// One invalid value in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Where in the file, for example `limits.body_bytes`.
    pub path: String,
    /// The value found there.
    pub value: String,
    /// The expected range and unit.
    pub expected: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {}: expected {}", self.path, self.value, self.expected)
    }
}

/// Collects every fault of a settings file.
#[derive(Debug, Default)]
pub struct Checker {
    faults: Vec<Fault>,
}

impl Checker {
    /// Checks that a number is within a range.
    pub fn range(&mut self, path: &str, value: u64, low: u64, high: u64, unit: &str) {
        if !(low..=high).contains(&value) {
            let expected = format!("{low} to {high} {unit}");
            self.fault(path, value.to_string(), expected);
        }
    }

    /// Checks that a text isn't empty.
    pub fn not_empty(&mut self, path: &str, value: &str) {
        if value.trim().is_empty() {
            self.fault(path, "\"\"".to_owned(), "a text that is not empty".to_owned());
        }
    }

    /// Adds a fault.
    pub fn fault(
        &mut self,
        path: impl Into<String>,
        value: impl Into<String>,
        expected: impl Into<String>,
    ) {
        let fault = Fault { path: path.into(), value: value.into(), expected: expected.into() };
        self.faults.push(fault);
    }

    /// Ends the check.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found.
    pub fn finish(self) -> Result<(), SettingsError> {
        if self.faults.is_empty() { Ok(()) } else { Err(SettingsError::Faults(self.faults)) }
    }
}

/// Settings that can be checked as a whole.
pub trait Checked {
    /// Reports every fault.
    fn check(&self, checker: &mut Checker);
}

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings {path} can't be read: {source}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The text isn't JSON, or its structure isn't that of the settings.
    #[error("settings are not of the expected form: {0}")]
    Form(#[from] serde_json::Error),
    /// Values are out of their ranges.
    #[error("settings have {} fault(s):\n{}", .0.len(), fault_lines(.0))]
    Faults(Vec<Fault>),
}

fn fault_lines(faults: &[Fault]) -> String {
    faults.iter().map(|fault| format!("  {fault}")).collect::<Vec<_>>().join("\n")
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns every fault at once, each with its path, expected range and unit.
pub fn load<T: DeserializeOwned + Checked>(path: &Path) -> Result<T, SettingsError> {
    let text = fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { path: path.display().to_string(), source })?;
    parse(&text)
}

/// Reads and checks the settings of a daemon; with `check` set, the daemon ends after the check.
///
/// # Errors
///
/// Returns the exit code with which the daemon ends at once: 0 after `--check` found nothing wrong,
/// 2 for settings that can't be used, after their faults were written to standard error.
pub fn for_daemon<T: DeserializeOwned + Checked>(path: &Path, check: bool) -> Result<T, ExitCode> {
    match load(path) {
        Ok(_) if check => {
            println!("settings are good");
            Err(ExitCode::SUCCESS)
        }
        Ok(settings) => Ok(settings),
        Err(e) => {
            eprintln!("{e}");
            Err(ExitCode::from(INVALID_SETTINGS_EXIT))
        }
    }
}

/// Exit code of a daemon whose settings can't be used.
const INVALID_SETTINGS_EXIT: u8 = 2;

/// Parses and checks settings.
///
/// # Errors
///
/// As [`load`].
pub fn parse<T: DeserializeOwned + Checked>(text: &str) -> Result<T, SettingsError> {
    let settings: T = serde_json::from_str(text)?;
    let mut checker = Checker::default();
    settings.check(&mut checker);
    checker.finish()?;
    Ok(settings)
}
