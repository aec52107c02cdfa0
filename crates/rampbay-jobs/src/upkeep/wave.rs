//! Waves, as operators order them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use super::machine::MachineName;

/// Number of a wave, which its operator chooses.
pub type WaveNumber = u64;

/// What a wave asks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSpec {
    /// The machines, each once.
    pub machines: Vec<MachineName>,
    /// Time within which each machine must have had its maintenance, in milliseconds.
    pub duration_ms: u64,
    /// Largest number of machines that may be down for their maintenance at once.
    pub max_count: u32,
}

/// The newest record under the key of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveOrder {
    /// A wave.
    Readable(WaveSpec),
    /// A record that isn't a wave, and why.
    Unreadable(String),
}

impl WaveOrder {
    /// Returns why nothing can be done of the wave, if that is certain from the record alone.
    #[must_use]
    pub fn defect(&self) -> Option<String> {
        match self {
            Self::Unreadable(reason) => Some(reason.clone()),
            Self::Readable(spec) if spec.machines.is_empty() => Some("no machines".to_owned()),
            Self::Readable(spec) if spec.max_count == 0 => Some("max_count is 0".to_owned()),
            Self::Readable(_) => None,
        }
    }

    /// Returns the machines of the wave.
    #[must_use]
    pub fn machines(&self) -> &[MachineName] {
        match self {
            Self::Readable(spec) => &spec.machines,
            Self::Unreadable(_) => &[],
        }
    }
}

/// What operators are told of a wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WaveStatus {
    /// It is being worked on.
    Running,
    /// Each of its machines that stays has begun its maintenance.
    Succeeded,
    /// It ends without that, and why.
    Failed(String),
}

/// The waves in force, as a process has read them from the operators' topic. The newest record of a key counts.
#[derive(Debug, Default)]
pub struct CurrentWaves {
    waves: RefCell<Rc<BTreeMap<WaveNumber, WaveOrder>>>,
}

impl CurrentWaves {
    /// Forgets all waves. Those in force are read again from the newest record of each key.
    pub fn reset(&self) {
        *self.waves.borrow_mut() = Rc::default();
    }

    /// Sets the newest record of a wave.
    pub fn set(&self, wave: WaveNumber, order: WaveOrder) {
        Rc::make_mut(&mut *self.waves.borrow_mut()).insert(wave, order);
    }

    /// Removes a wave.
    pub fn remove(&self, wave: WaveNumber) {
        Rc::make_mut(&mut *self.waves.borrow_mut()).remove(&wave);
    }

    /// Returns the waves.
    #[must_use]
    pub fn view(&self) -> Rc<BTreeMap<WaveNumber, WaveOrder>> {
        Rc::clone(&self.waves.borrow())
    }
}
