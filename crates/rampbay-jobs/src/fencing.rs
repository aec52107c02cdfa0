//! Fencing tokens of orders to workers.
//!
//! A worker keeps the highest token that it has seen, and rejects lower ones. Orders address a
//! worker by an id under which it may restart, so the high bits of a token hold the incarnation's
//! start and the low bits the leader's term. An incarnation that has seen an order of its own
//! rejects orders meant for an earlier one, however late they arrive.

use crate::job::EpochMillis;
use crate::leader::term_of;

/// Number by which a worker rejects outdated orders.
pub type FencingToken = u64;

/// Resolution of the start times that distinguish a worker's incarnations, in milliseconds.
const START_RESOLUTION_MS: u64 = 16;
/// Bits of the leader's term. Together with the bits of a start time, a token is an integer that a
/// double holds exactly.
const TERM_BITS: u32 = 15;

/// Returns the token for orders to an incarnation that started at a time, under a leader's epoch.
/// Workers that don't report when they started never restart under the same id, so for them the
/// epoch alone is the token.
#[must_use]
pub fn token(started_at: Option<EpochMillis>, epoch: u64) -> FencingToken {
    let Some(started_at) = started_at else { return epoch };
    let term = term_of(epoch).min((1 << TERM_BITS) - 1);
    ((started_at / START_RESOLUTION_MS) << TERM_BITS) | term
}
