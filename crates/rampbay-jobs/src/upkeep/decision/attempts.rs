//! What this term knows of its orders for one machine of a wave.

use std::time::Duration;

use crate::upkeep::control::ControlError;

pub use crate::settings::MAX_CALL_DELAY;

/// First pause before a busy machine is asked again; doubled each time. A worker that leaves or starts needs about as long.
const FIRST_BUSY_PAUSE: Duration = Duration::from_millis(1000);
/// Longest of these pauses: a machine that is free again still gets its turn within a few turns of other machines.
const MAX_BUSY_PAUSE: Duration = Duration::from_secs(16);

/// How the latest order ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Latest {
    /// None was sent.
    #[default]
    None,
    /// It is under way.
    Sent,
    /// It got no answer.
    Unanswered,
    /// It was certainly not carried out.
    Refused,
    /// A higher token was seen; nothing more is ordered in this term.
    Fenced,
    /// It was carried out.
    Begun,
}

/// The orders of this term for one machine of a wave.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// How the latest one ended.
    pub latest: Latest,
    /// When the latest one ended; a list that was requested earlier says nothing about it.
    pub since: Duration,
    /// Time until which an earlier order without an answer may be carried out.
    pub may_land_until: Duration,
    /// Time before which the machine isn't ordered again.
    pub retry_at: Duration,
    busy_pause: Option<Duration>,
}

impl Attempt {
    /// Creates the attempt of an order that an earlier leader kept. It may be carried out until a time; zero if it wasn't
    /// sent.
    pub fn of_earlier_order(may_land_until: Duration) -> Self {
        let latest = if may_land_until.is_zero() { Latest::None } else { Latest::Unanswered };
        Self { latest, may_land_until, ..Self::default() }
    }

    /// Begins a new turn of the machine, after earlier orders were certainly not carried out.
    pub fn begin_turn(&mut self, now: Duration) {
        self.latest = Latest::None;
        if !self.may_land(now) {
            self.may_land_until = Duration::ZERO;
        }
    }

    /// Notes an answer.
    pub fn note(&mut self, answer: Result<(), ControlError>, now: Duration) {
        self.since = now;
        self.latest = match answer {
            Ok(()) => Latest::Begun,
            Err(ControlError::NoAnswer) => {
                self.may_land_until = now + MAX_CALL_DELAY;
                Latest::Unanswered
            }
            Err(ControlError::Fenced) => Latest::Fenced,
            Err(ControlError::Busy | ControlError::NoMachine) => {
                self.pause(now);
                Latest::Refused
            }
            Err(ControlError::Wave | ControlError::TooManyCalls | ControlError::NotSent) => {
                Latest::Refused
            }
        };
    }

    fn pause(&mut self, now: Duration) {
        let pause = self.busy_pause.map_or(FIRST_BUSY_PAUSE, |pause| pause * 2);
        let pause = pause.min(MAX_BUSY_PAUSE);
        self.busy_pause = Some(pause);
        self.retry_at = now + pause;
    }

    /// Returns whether an order of this turn may have been carried out without an answer.
    pub const fn may_have_landed(&self) -> bool {
        !self.may_land_until.is_zero()
    }

    /// Returns whether an order without an answer may still be carried out.
    pub fn may_land(&self, now: Duration) -> bool {
        now < self.may_land_until
    }
}
