//! Interface to the machines' maintenance, and to the operators' view of waves.

use async_trait::async_trait;

use crate::store::{AppendError, Fence};

pub use super::pace::CALL_INTERVAL;

use super::machine::{Machine, MachineName, WorkerId};
use super::wave::{WaveNumber, WaveStatus};

/// An order to begin the maintenance of a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpkeepOrder {
    /// The wave.
    pub wave: WaveNumber,
    /// The machine.
    pub machine: MachineName,
    /// Fencing token of the order.
    pub token: u64,
}

/// Why a call to the interface did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ControlError {
    /// A higher token was seen. Nothing was done.
    #[error("a newer holder has taken over")]
    Fenced,
    /// The machine can't have its maintenance now. Nothing was done.
    #[error("the machine is busy")]
    Busy,
    /// The machine never gets its maintenance in this wave. Nothing was done.
    #[error("refused in this wave")]
    Wave,
    /// There is no such machine. Nothing was done.
    #[error("no such machine")]
    NoMachine,
    /// Too many calls. Nothing was done.
    #[error("too many calls")]
    TooManyCalls,
    /// The call wasn't sent. Nothing was done.
    #[error("the interface can't be reached")]
    NotSent,
    /// The call may have been carried out, or may still be.
    #[error("no answer")]
    NoAnswer,
}

/// The interface.
#[async_trait(?Send)]
pub trait MachineControl {
    /// Lists all machines. If the list takes several calls, they are [`CALL_INTERVAL`] apart.
    ///
    /// # Errors
    ///
    /// Returns an error if a page of the list couldn't be read.
    async fn machines(&self) -> Result<Vec<Machine>, ControlError>;

    /// Begins the maintenance of a machine; succeeds also if the machine has had it in this wave.
    ///
    /// # Errors
    ///
    /// Returns an error that says whether the maintenance may have begun.
    async fn begin_upkeep(&self, order: &UpkeepOrder) -> Result<(), ControlError>;

    /// Tells operators the status of a wave.
    ///
    /// # Errors
    ///
    /// Returns an error if it may not have been stored.
    async fn report(
        &self,
        wave: WaveNumber,
        status: &WaveStatus,
        fence: &Fence,
    ) -> Result<(), AppendError>;

    /// Returns the id under which machines are listed with the worker of an incarnation.
    fn worker_id(&self, instance: &str) -> WorkerId;
}
