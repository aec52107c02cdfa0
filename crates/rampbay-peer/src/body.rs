//! Bodies of requests and responses, whose memory is reserved from the account of their connection.

use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};

use crate::budget::{Account, Reservation};

/// Bytes of a body, and of what is made of it, that the price of a connection covers.
pub const ALLOWANCE: usize = 4 << 10;

/// Why a body wasn't received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the limit.
    TooLarge,
    /// The connection broke, or the body's encoding is invalid.
    Incomplete,
    /// The clients of this address hold all that they may.
    NoRoom,
}

impl BodyError {
    /// Returns the status of the response.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Receives a body of at most `limit` bytes into one buffer, so that the memory it takes doesn't
/// depend on how it is cut into frames.
///
/// # Errors
///
/// Returns an error if the body isn't received completely. One whose announced length is too large
/// isn't read.
pub async fn receive(
    mut body: Incoming,
    limit: usize,
    account: &Account,
) -> Result<(Bytes, Reservation), BodyError> {
    let announced = body.size_hint().lower();
    if announced > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let announced = announced as usize;
    let mut buf = Vec::new();
    let mut held = account.reservation();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else { continue };
        let length = buf.len() + data.len();
        if length > limit {
            return Err(BodyError::TooLarge);
        }
        if length > buf.capacity() {
            let capacity = next_capacity(length, announced, limit);
            let beyond_allowance = capacity.saturating_sub(ALLOWANCE);
            held.grow_to(beyond_allowance).await.map_err(|_| BodyError::NoRoom)?;
            buf.reserve_exact(capacity - buf.len());
        }
        buf.extend_from_slice(&data);
    }
    Ok((Bytes::from(buf), held))
}

/// Returns the capacity of a buffer that has to hold `length` bytes, and more bytes later: at most
/// twice as much.
fn next_capacity(length: usize, announced: usize, limit: usize) -> usize {
    let largest = if announced < length { limit } else { announced };
    (length * 2).min(largest)
}

/// The body of a response, and the memory that it holds until it is written.
pub type ResponseBody = Full<HeldBytes>;

/// Bytes whose reservation ends when they are written or dropped.
#[derive(Debug, Default)]
pub struct HeldBytes {
    bytes: Bytes,
    _held: Option<Reservation>,
}

impl HeldBytes {
    /// Creates bytes that are part of the price of their connection.
    #[must_use]
    pub const fn small(bytes: Bytes) -> Self {
        Self { bytes, _held: None }
    }

    /// Reserves the memory of a response. Returns `None` if there is no room for it.
    #[must_use]
    pub fn reserve(bytes: Bytes, account: &Account) -> Option<Self> {
        if bytes.len() <= ALLOWANCE {
            return Some(Self::small(bytes));
        }
        let mut held = account.reservation();
        held.grow_now_to(bytes.len()).ok()?;
        Some(Self { bytes, _held: Some(held) })
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}
