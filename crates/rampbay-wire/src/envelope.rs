//! The messages between processes and their binary encoding.

use std::net::SocketAddr;

use rampbay_core::ids::{Incarnation, ProcessId};
use rampbay_dispatch::message::{Accepted, Cancel, CancelAck, Dispatch, Load, Reply};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{clock::Stamp, event::Event};

/// The largest message that is read, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;
/// Bytes of the digest before each message.
const DIGEST_BYTES: usize = 8;

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sending process.
    pub from: ProcessId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The address of its mailbox.
    pub reply_to: SocketAddr,
    /// The time of sending, by the sender's clock.
    pub stamp: Stamp,
    /// The message.
    pub message: Message,
}

/// The messages between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An entry announces itself to a side process, which answers with its load, or to another
    /// entry.
    Hello,
    /// A side process's load.
    Load(Load),
    /// See [`Dispatch`].
    Dispatch(Box<Dispatch>),
    /// See [`Accepted`].
    Accepted(Accepted),
    /// See [`Reply`].
    Reply(Reply),
    /// See [`Cancel`].
    Cancel(Cancel),
    /// See [`CancelAck`].
    CancelAck(CancelAck),
    /// Events of the sender's time line.
    Events(Vec<Event>),
    /// An entry asks another for its table if that is newer than this version.
    TableQuery {
        /// The version that the asking entry has.
        have: u64,
    },
    /// A table, as a snapshot record of the log.
    Table(Vec<u8>),
}

impl Message {
    /// Returns the name of the message's kind, for counters.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Message::Hello => "hello",
            Message::Load(_) => "load",
            Message::Dispatch(_) => "dispatch",
            Message::Accepted(_) => "accepted",
            Message::Reply(_) => "reply",
            Message::Cancel(_) => "cancel",
            Message::CancelAck(_) => "cancel_ack",
            Message::Events(_) => "events",
            Message::TableQuery { .. } => "table_query",
            Message::Table(_) => "table",
        }
    }
}

/// Why a message can't be encoded or decoded.
#[derive(Debug, Error)]
pub enum EnvelopeError {
    /// More bytes than are allowed, or fewer than a digest.
    #[error("message of {0} bytes is outside of the bounds")]
    Length(usize),
    /// The digest doesn't match: the message was cut or changed.
    #[error("message digest doesn't match")]
    Digest,
    /// The message can't be encoded, or the bytes aren't a known message.
    #[error("message can't be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

impl Envelope {
    /// Encodes the envelope: a digest, then the message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message can't be written.
    pub fn encode(&self) -> Result<Vec<u8>, EnvelopeError> {
        let buf = postcard::to_extend(self, vec![0; DIGEST_BYTES])?;
        let mut buf: Vec<u8> = buf;
        let digest = rapidhash::v3::rapidhash_v3(&buf[DIGEST_BYTES..]);
        buf[..DIGEST_BYTES].copy_from_slice(&digest.to_le_bytes());
        Ok(buf)
    }

    /// Decodes an envelope after checking its length and digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is out of bounds, the digest doesn't match, or the message
    /// can't be decoded.
    pub fn decode(bytes: &[u8]) -> Result<Self, EnvelopeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(EnvelopeError::Length(bytes.len()));
        }
        let Some((digest, body)) = bytes.split_first_chunk::<DIGEST_BYTES>() else {
            return Err(EnvelopeError::Length(bytes.len()));
        };
        if rapidhash::v3::rapidhash_v3(body) != u64::from_le_bytes(*digest) {
            return Err(EnvelopeError::Digest);
        }
        Ok(postcard::from_bytes(body)?)
    }
}
